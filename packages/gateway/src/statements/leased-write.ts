import { describeError } from '@camphorpitch/wire'
import type { EndpointResponse } from '../backend/endpoint-connector.ts'
import { LeadershipLostError, StatementNotSentError } from '../backend/errors.ts'
import type { ServiceGroup } from '../groups/service-group.ts'
import type { EndpointPool } from '../pool/endpoint-pool.ts'
import type { PooledConnection } from '../pool/pooled-connection.ts'
import { computeTimeLeftMs, computeWaitMs, type Operation } from './operation.ts'
import type { StatementContext } from './statement-context.ts'
import { WarmupLimitError } from '../warmup/warmup-limits.ts'

/** A write may wait this long for the verification of the primary's leadership, even if its waiting time is shorter. */
const MIN_VERIFICATION_WAIT_MS = 250
/** Longest time to verify the leadership after a response has arrived without a lease. */
const RESPONSE_VERIFICATION_MS = 500
/**
 * The leadership is verified again this long before the lease ends: before a write is sent, and while it is in flight. A verification
 * takes a round trip to a replica in another region and the opening of a connection.
 */
const RENEWAL_MARGIN_MS = 250
const RENEWAL_CHECK_INTERVAL_MS = 50

/**
 * Waits until a write may be sent to the endpoint and the lease of its leadership lasts for some time yet: verifies the leadership, or
 * learns of another VM's proof.
 *
 * @param canSend whether the write may be sent, but for the time that the lease still lasts
 * @returns whether it may be sent now
 */
export async function ensureLease (context: StatementContext, group: ServiceGroup, operation: Operation, endpoint: string, canSend: () => boolean): Promise<boolean> {
  const hasLease = (): boolean => canSend() && group.measureCommitLeaseMs(endpoint) >= RENEWAL_MARGIN_MS
  if (hasLease()) return true
  const nowMs = context.clock.readNow()
  const waitMs = Math.min(Math.max(computeWaitMs(operation, nowMs), MIN_VERIFICATION_WAIT_MS), computeTimeLeftMs(operation, nowMs))
  const pendingLease = group.waitUntil(hasLease, waitMs)
  await Promise.race([context.verifyLeadership(group, waitMs), pendingLease])
  if (!hasLease() && computeWaitMs(operation, context.clock.readNow()) > 0) await pendingLease
  return hasLease()
}

/** `canSend` tells whether the write may be sent, but for the lease. */
export interface LeasedWriteOptions { pool: EndpointPool, connection: PooledConnection, canSend: () => boolean }

/**
 * Runs a write outside of a transaction, or a commit, at the primary. Its success counts only while the primary's leadership is verified:
 * an endpoint that is being replaced may acknowledge commits that its successor lacks. It is sent once the endpoint has confirmed the
 * session state that the connection was given, as it can't be taken back.
 *
 * @returns the endpoint's response; or its refusal of the session state (`PooledConnection.waitForRestore`), in which case the write was
 * not sent
 * @throws StatementNotSentError if the write was not sent; the connection must be closed
 * @throws ConnectionLostError if no response arrived in time, or LeadershipLostError if the primary can't be shown to lead; the write
 *   may have run, and the connection must not be used again
 */
export async function runLeasedWrite (
  context: StatementContext,
  group: ServiceGroup,
  operation: Operation,
  { pool, connection, canSend }: LeasedWriteOptions
): Promise<EndpointResponse> {
  const { clock } = context
  const { endpoint } = pool.entry
  const isLeased = (): boolean => group.measureCommitLeaseMs(endpoint) >= 0
  if (!isLeased()) throw new StatementNotSentError('the lease of the primary\'s leadership ended before the write was sent')
  const stopRenewal = startLeaseRenewal(context, group, endpoint)
  const timeLeftMs = computeTimeLeftMs(operation, clock.readNow())
  const options = { pool, connection, canSend: () => isLeased() && canSend() }
  const response = await sendWrite(group, operation, options, timeLeftMs).finally(stopRenewal)
  if (isLeased() || response.error !== null || response.state !== 'idle') return response
  if (!group.isLeadershipLost(endpoint)) await context.verifyLeadership(group, Math.min(RESPONSE_VERIFICATION_MS, computeTimeLeftMs(operation, clock.readNow())))
  const isVerified = isLeased()
  context.recordUnleasedResponse(operation, group, pool, response, isVerified ? 'verified' : 'in doubt')
  if (isVerified) return response
  throw new LeadershipLostError('the write succeeded at an endpoint that could not be shown to lead')
}

/** Sends a write once the endpoint has confirmed the session state, if it may still be sent then, and waits for the response. */
async function sendWrite (
  group: ServiceGroup,
  operation: Operation,
  { pool, connection, canSend }: LeasedWriteOptions,
  timeLeftMs: number
): Promise<EndpointResponse> {
  const { id, text } = operation.statement
  let isSent = false
  let isGivenUp = false
  const send = async (): Promise<EndpointResponse> => {
    const refusal = await connection.waitForRestore()
    if (refusal !== null) return refusal.response
    if (isGivenUp || !canSend()) throw new LeadershipLostError('the endpoint was not known to lead any more before the write was sent')
    isSent = true
    return await connection.run(id, text, null)
  }
  try {
    return await group.runStatement(pool, true, timeLeftMs, send, { kind: `${operation.route.name} write` })
  } catch (error) {
    isGivenUp = true
    if (isSent || error instanceof WarmupLimitError) throw error
    throw new StatementNotSentError(describeError(error))
  }
}

/** Verifies the leadership again before the lease ends, and gives up the writes in flight once it has ended. @returns function that ends this */
function startLeaseRenewal (context: StatementContext, group: ServiceGroup, endpoint: string): () => void {
  let timer: NodeJS.Timeout | undefined
  const checkLease = (): void => {
    const leftMs = group.measureCommitLeaseMs(endpoint)
    if (leftMs < 0) return group.expireLease(endpoint)
    if (leftMs === Infinity) return
    const isRenewable = group.hasLease(endpoint)
    if (leftMs <= RENEWAL_MARGIN_MS && isRenewable) context.verifyLeadership(group, leftMs).catch(() => {}) // Without a proof the lease ends.
    const waitMs = leftMs > RENEWAL_MARGIN_MS ? leftMs - RENEWAL_MARGIN_MS : Math.min(RENEWAL_CHECK_INTERVAL_MS, leftMs + 1)
    timer = setTimeout(checkLease, waitMs)
  }
  checkLease()
  return () => clearTimeout(timer)
}
