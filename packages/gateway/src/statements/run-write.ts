import { describeError } from '@camphorpitch/wire'
import { StatementNotSentError } from '../backend/errors.ts'
import type { ServiceGroup } from '../groups/service-group.ts'
import { isUnreachable } from '../pool/endpoint-health.ts'
import type { EndpointPool } from '../pool/endpoint-pool.ts'
import { PoolError } from '../pool/errors.ts'
import { describeRestoreRefusal, type PooledConnection } from '../pool/pooled-connection.ts'
import { ensureLease, runLeasedWrite } from './leased-write.ts'
import { computeWaitMs, createRetryRefusal, type Operation, type Outcome } from './operation.ts'
import type { StatementContext } from './statement-context.ts'
import { refuseRuledOutPrimary } from './usable-pools.ts'
import { WarmupLimitError } from '../warmup/warmup-limits.ts'

/** Retry time given to the client when its write was not sent to the primary, in milliseconds. */
const UNSENT_RETRY_AFTER_MS = 200

/** A connection to the primary, or the refusal for the client. */
export type AcquiredPrimary = { pool: EndpointPool, connection: PooledConnection } | { refusal: { code: 'busy', text: string }, isUnreachable?: boolean }

/**
 * Acquires a connection to the primary. Waits for a primary, and for a free connection, for the operation's waiting
 * time (`computeWaitMs`); it does not wait for a primary that is expected later than that.
 *
 * @param use whether the connection is for a single statement or to open a transaction
 */
export async function acquirePrimaryConnection (context: StatementContext, group: ServiceGroup, operation: Operation, use: 'only' | 'transaction' = 'only'): Promise<AcquiredPrimary> {
  const refusalBefore = findPrimaryRefusal(context, group, operation, use)
  if (refusalBefore !== undefined) return refusalBefore
  const { clock } = context
  const recoveryMs = context.estimateRecoveryMs(group)
  const waitMs = computeWaitMs(operation, clock.readNow())
  if (!group.isWritable && !await group.waitUntil(() => group.isWritable, waitMs)) {
    return createRetryRefusal('busy', 'the service has no primary now', context.estimateRecoveryMs(group))
  }
  const pool = group.primaryPool
  if (pool === undefined) return createRetryRefusal('busy', 'the service has no primary now', recoveryMs)
  const { workspace, requiredState, route } = operation
  const warmupRefusal = await group.waitForWarmupPermit(pool, computeWaitMs(operation, clock.readNow()))
  if (warmupRefusal !== null) return createRetryRefusal('busy', warmupRefusal.message, warmupRefusal.retryAfterMs)
  try {
    const connection = await pool.acquire({ workspace, session: requiredState.session, priority: route.priority, waitMs: group.computeMaxWaitMs(pool.entry, computeWaitMs(operation, clock.readNow())) })
    const refused = await refuseAfterWait(context, group, operation, pool, use)
    if (refused !== null) {
      pool.release(connection, true)
      return refused
    }
    return { pool, connection }
  } catch (error) {
    if (!(error instanceof PoolError)) throw error
    const refused = createRetryRefusal('busy', error.message, error.refusal === 'busy' ? error.retryAfterMs : Math.max(error.retryAfterMs, context.estimateRecoveryMs(group)))
    return { ...refused, isUnreachable: error.refusal === 'unreachable' || isUnreachable(pool.health, clock.readNow()) }
  }
}

/** Refuses an operation that has got a connection to the primary, if the primary may not be used any more, or gets no permit in time. @returns `null` if it may run */
async function refuseAfterWait (context: StatementContext, group: ServiceGroup, operation: Operation, pool: EndpointPool, use: 'only' | 'transaction'): Promise<{ refusal: { code: 'busy', text: string } } | null> {
  const permitRefusal = await group.waitForWarmupPermit(pool, computeWaitMs(operation, context.clock.readNow()))
  if (permitRefusal !== null) return createRetryRefusal('busy', permitRefusal.message, permitRefusal.retryAfterMs)
  const ruledOut = refuseRuledOutPrimary(context, group, operation, use)
  if (ruledOut !== undefined) return ruledOut
  return group.isWritable && group.primaryPool === pool ? null : createRetryRefusal('busy', 'the primary is being replaced', context.estimateRecoveryMs(group))
}

/** Refuses at once what no primary can run in time: the rules exclude it, or a new one is expected later than the operation may wait. */
export function findPrimaryRefusal (context: StatementContext, group: ServiceGroup, operation: Operation, use: 'only' | 'transaction'): { refusal: { code: 'busy', text: string } } | undefined {
  const ruledOut = refuseRuledOutPrimary(context, group, operation, use)
  if (ruledOut !== undefined) return ruledOut
  const recoveryMs = context.estimateRecoveryMs(group)
  const isTooLate = !group.isWritable && recoveryMs > computeWaitMs(operation, context.clock.readNow())
  return isTooLate ? createRetryRefusal('busy', 'the service has no primary now', recoveryMs) : undefined
}

/** Runs a single write. Once sent, it is never sent again: without a response its outcome is unknown (`inDoubt`). */
export async function runWrite (context: StatementContext, group: ServiceGroup, operation: Operation): Promise<Outcome> {
  const acquired = await acquirePrimaryConnection(context, group, operation)
  if ('refusal' in acquired) return acquired
  const { pool, connection } = acquired
  const { requiredState, preparedName } = operation
  const { endpoint } = pool.entry
  const canSend = (): boolean => group.isWritable && group.primaryPool === pool && group.hasLease(endpoint)
  const refuseUnsent = (reason: string): Outcome => {
    return createRetryRefusal('busy', reason, Math.max(UNSENT_RETRY_AFTER_MS, context.estimateRecoveryMs(group)))
  }
  if (!await ensureLease(context, group, operation, endpoint, canSend) || !connection.connection.isOpen) {
    pool.release(connection, true)
    return refuseUnsent('the primary is not known to lead')
  }
  connection.restoreSession(requiredState, preparedName)
  try {
    const response = await runLeasedWrite(context, group, operation, { pool, connection, canSend })
    const refusal = await connection.waitForRestore()
    pool.release(connection, response.state === 'idle')
    if (response.error?.code === 'readOnly') context.refreshPrimary(group)
    if (refusal !== null) {
      context.recordRestoreRefusal(operation, pool, refusal)
      return refuseUnsent(describeRestoreRefusal(endpoint, refusal))
    }
    context.logResponse(operation, pool, null, response)
    return { response, endpoint }
  } catch (error) {
    pool.release(connection, false)
    if (error instanceof WarmupLimitError) return createRetryRefusal('busy', error.message, error.retryAfterMs)
    const reason = describeError(error)
    context.logNoResponse(operation, pool, reason)
    if (error instanceof StatementNotSentError) return refuseUnsent(reason)
    return { refusal: { code: 'inDoubt', text: reason } }
  }
}
