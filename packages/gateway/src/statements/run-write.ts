import { describeError } from '@camphorpitch/wire'
import type { ServiceGroup } from '../groups/service-group.ts'
import type { EndpointPool } from '../pool/endpoint-pool.ts'
import { PoolError } from '../pool/errors.ts'
import type { PooledConnection } from '../pool/pooled-connection.ts'
import { computeTimeLeftMs, computeWaitMs, createRetryRefusal, type Operation, type Outcome } from './operation.ts'
import type { StatementContext } from './statement-context.ts'

/** When a write that found no free connection is worth repeating, in milliseconds. */
const BUSY_RETRY_AFTER_MS = 100

export type AcquiredPrimary = { pool: EndpointPool, connection: PooledConnection } | { refusal: { code: 'busy', text: string } }

/** Gets a connection to the primary, waiting shortly for one, and for a primary. */
export async function acquirePrimaryConnection (context: StatementContext, group: ServiceGroup, operation: Operation): Promise<AcquiredPrimary> {
  const { clock } = context
  const recoveryMs = context.estimateRecoveryMs(group)
  const waitMs = computeWaitMs(operation, clock.readNow())
  if (!group.isWritable && (recoveryMs > waitMs || !await group.waitUntil(() => group.isWritable, waitMs))) {
    return createRetryRefusal('busy', 'the service has no primary now', context.estimateRecoveryMs(group))
  }
  const pool = group.primaryPool
  if (pool === undefined) return createRetryRefusal('busy', 'the service has no primary now', recoveryMs)
  const { workspace, requiredState, route } = operation
  try {
    const connection = await pool.acquire({ workspace, session: requiredState.session, priority: route.priority, waitMs: computeWaitMs(operation, clock.readNow()) })
    if (!group.isWritable || group.primaryPool !== pool) {
      pool.release(connection, true)
      return createRetryRefusal('busy', 'the primary is being replaced', context.estimateRecoveryMs(group))
    }
    return { pool, connection }
  } catch (error) {
    if (!(error instanceof PoolError)) throw error
    return createRetryRefusal('busy', error.message, error.refusal === 'busy' ? BUSY_RETRY_AFTER_MS : context.estimateRecoveryMs(group))
  }
}

/** Runs a single write. Once it is sent it is never repeated: without an answer its outcome is unknown. */
export async function runWrite (context: StatementContext, group: ServiceGroup, operation: Operation): Promise<Outcome> {
  const acquired = await acquirePrimaryConnection(context, group, operation)
  if ('refusal' in acquired) return acquired
  const { pool, connection } = acquired
  const { requiredState, preparedName, statement } = operation
  const restoreResponses = connection.restoreSession(requiredState, preparedName)
  try {
    const timeLeftMs = computeTimeLeftMs(operation, context.clock.readNow())
    const answer = await group.runStatement(pool, true, timeLeftMs, async () => await connection.run(statement.id, statement.text, null))
    await Promise.all(restoreResponses)
    pool.release(connection, answer.state === 'idle')
    context.logResponse(operation, pool, null, answer)
    if (answer.error?.code === 'readOnly') context.refreshPrimary(group)
    return { answer, endpoint: pool.entry.endpoint }
  } catch (error) {
    pool.release(connection, false)
    const reason = describeError(error)
    context.logNoResponse(operation, pool, reason)
    return { refusal: { code: 'inDoubt', text: reason } }
  }
}
