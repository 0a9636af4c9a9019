import type { EndpointResponse } from '../backend/endpoint-connector.ts'
import { hasLeadershipLease } from '../freshness/group-state.ts'
import type { ServiceGroup } from '../groups/service-group.ts'
import type { EndpointPool } from '../pool/endpoint-pool.ts'
import type { PooledConnection } from '../pool/pooled-connection.ts'
import { computeTimeLeftMs, type Operation } from './operation.ts'
import type { StatementContext } from './statement-context.ts'

/**
 * Runs a write outside of a transaction, or a commit, at the primary. Records a response that arrives without a lease of the
 * primary's leadership.
 *
 * @throws ConnectionLostError if no response arrived in time; the connection must not be used again
 */
export async function runLeasedWrite (context: StatementContext, group: ServiceGroup, operation: Operation, pool: EndpointPool, connection: PooledConnection): Promise<EndpointResponse> {
  const { clock } = context
  const { id, text } = operation.statement
  let isLeased = true
  const response = await group.runStatement(pool, true, computeTimeLeftMs(operation, clock.readNow()), async () => {
    const received = await connection.run(id, text, null)
    isLeased = hasLeadershipLease(group.state, pool.entry.endpoint, clock.readNow())
    return received
  })
  if (!isLeased) context.recordUnleasedResponse(operation, group, pool, response, 'passed on')
  return response
}
