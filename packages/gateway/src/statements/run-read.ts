import { createRetryBudget, describeError, recordRequest, spendRetry, type LogPosition, type RetryBudget } from '@camphorpitch/wire'
import type { EndpointResponse } from '../backend/endpoint-connector.ts'
import { ConnectionLostError } from '../backend/errors.ts'
import type { ErrorCode } from '../backend/statement.ts'
import type { ServiceGroup } from '../groups/service-group.ts'
import { isUnreachable, recordBusy } from '../pool/endpoint-health.ts'
import type { EndpointPool } from '../pool/endpoint-pool.ts'
import { PoolError, RequestWithdrawnError } from '../pool/errors.ts'
import { describeRestoreRefusal, type PooledConnection, type RestoreRefusal } from '../pool/pooled-connection.ts'
import { Withdrawal } from '../pool/withdrawal.ts'
import { waitAtMost } from '../runtime/wait-at-most.ts'
import { WarmupLimitError } from '../warmup/warmup-limits.ts'
import { isPrimaryFresh } from '../freshness/group-state.ts'
import { computeTimeLeftMs, computeWaitMs, createRetryRefusal, readMaxStalenessMs, type Operation, type Outcome } from './operation.ts'
import { findCurrentRequirement, findPrimaryRequirement, findReadTarget, type ReadTarget } from './read-targets.ts'
import type { StatementContext } from './statement-context.ts'
import { describeRuledOutPrimary, isUsableForRead, isUsablePool, refuseRuledOutRead } from './usable-pools.ts'

/** A read that is pending for this many times the average response time is also sent to another endpoint. */
const HEDGE_DELAY_FACTOR = 4
/** Bounds of the delay before a pending read is also sent to another endpoint, in milliseconds. */
const MIN_HEDGE_DELAY_MS = 150
const MAX_HEDGE_DELAY_MS = 450
/** Maximum number of attempts for one read, each on one endpoint. */
const MAX_ATTEMPTS = 3
/** Time for which a read waits for the confirmation that a cold endpoint has not restarted, after a connection to it was opened: a round trip to the store. */
const MAX_PERMIT_WAIT_MS = 50
/** Longest time to verify the primary's leadership for a read that has got a connection after its target's freshness had lapsed, as for a write. */
const VERIFICATION_WAIT_MS = 250
/** Time for which an endpoint that was too busy for a read is avoided, in milliseconds. */
const BUSY_AVOID_MS = 100
/** Time for which a replica whose log lacked a required position counts as lagging, in milliseconds. */
export const LAGGING_AVOID_MS = 250
/** Retry time given to the client when no endpoint can run its read, in milliseconds. */
const RETRY_AFTER_MS = 200

/** Retry budget of each group, shared by its reads. */
const retryBudgets = new WeakMap<ServiceGroup, RetryBudget>()

function ensureRetryBudget (group: ServiceGroup): RetryBudget {
  const budget = retryBudgets.get(group) ?? createRetryBudget()
  retryBudgets.set(group, budget)
  return budget
}

/** Result of one attempt: a response, or `notRun` when no statement was sent, or `noResponse` when none arrived. */
type AttemptResult = { kind: 'responded', response: EndpointResponse, endpoint: string } | { kind: 'notRun' | 'noResponse', reason: string, code: ErrorCode, retryAfterMs: number, isUnreachable?: boolean }

/**
 * Runs a read outside of a transaction.
 *
 * The read changes nothing, so it may run on several endpoints: after a failed attempt, and also while an endpoint
 * is slow to respond, as far as the group's retry budget allows. Attempts that still wait when the read ends, or is withdrawn
 * because it has been answered elsewhere, are withdrawn.
 *
 * @returns the first response that is not to be retried, else the last response with an error or a refusal
 */
export async function runRead (
  context: StatementContext,
  group: ServiceGroup,
  operation: Operation,
  withdrawal: Withdrawal = new Withdrawal()
): Promise<Outcome> {
  const refusal = refuseRuledOutRead(context, group, operation)
  if (refusal !== undefined) return refusal
  const attemptsWithdrawal = new Withdrawal()
  const unsubscribe = withdrawal.subscribe(() => attemptsWithdrawal.withdraw())
  try {
    return await runAttempts(context, group, operation, attemptsWithdrawal)
  } finally {
    unsubscribe()
    attemptsWithdrawal.withdraw()
  }
}

async function runAttempts (
  context: StatementContext,
  group: ServiceGroup,
  operation: Operation,
  withdrawal: Withdrawal
): Promise<Outcome> {
  const { clock } = context
  const triedEndpoints = new Set<string>()
  const pendingAttempts = new Set<Promise<AttemptResult>>()
  const retryBudget = ensureRetryBudget(group)
  recordRequest(retryBudget)
  context.leaving?.countRead(group.service)
  let lastResult: AttemptResult | undefined
  let wasSent = false
  let target = await findFirstTarget(context, group, operation)
  for (let attemptCount = 1; ; attemptCount++) {
    if (typeof target !== 'string') {
      triedEndpoints.add(target.pool.entry.endpoint)
      const waitMs = computeAttemptWaitMs(group, operation, target.pool, { isFirst: attemptCount === 1, wasSent, nowMs: clock.readNow() })
      const attempt = startAttempt(context, group, operation, target, { waitMs, withdrawal })
      pendingAttempts.add(attempt)
      recordAttempt(operation, attempt)
    } else if (pendingAttempts.size === 0) return createFailureOutcome(context, group, operation, target, lastResult)
    const resultWaitMs = typeof target === 'string' ? computeTimeLeftMs(operation, clock.readNow()) : computeHedgeDelayMs(target)
    lastResult = await waitForResult(pendingAttempts, resultWaitMs) ?? lastResult
    wasSent ||= isSent(lastResult)
    if (hasFinalResponse(lastResult)) return { response: lastResult.response, endpoint: lastResult.endpoint }
    if (computeTimeLeftMs(operation, clock.readNow()) <= 1) return createFailureOutcome(context, group, operation, 'none', lastResult)
    const canAttemptAgain = pendingAttempts.size === 0 || spendRetry(retryBudget)
    target = canAttemptAgain && !withdrawal.isWithdrawn ? selectNextTarget(context, group, operation, triedEndpoints, attemptCount) : 'none'
  }
}

function recordAttempt ({ attempts }: Operation, attempt: Promise<AttemptResult>): void {
  attempts?.add(attempt)
}

function hasFinalResponse (result: AttemptResult | undefined): result is Extract<AttemptResult, { kind: 'responded' }> {
  return result?.kind === 'responded' && !isRetryable(result.response.error?.code)
}

/**
 * Computes how long an attempt waits for a connection. The waiting time limits the first attempt, and with scheduling also later ones while
 * the read was sent to no endpoint; others may wait until the timeout. Where other endpoints can run the read, it leaves time for them if
 * this one does not respond.
 */
function computeAttemptWaitMs (group: ServiceGroup, operation: Operation, pool: EndpointPool, { isFirst, wasSent, nowMs }: { isFirst: boolean, wasSent: boolean, nowMs: number }): number {
  const isLimited = isFirst || (!wasSent && pool.scheduler !== undefined)
  if (!isLimited) return computeTimeLeftMs(operation, nowMs)
  const waitMs = computeWaitMs(operation, nowMs)
  return pool.scheduler === undefined || (pool === group.primaryPool && readMaxStalenessMs(operation) === 0) ? waitMs : Math.min(waitMs, pool.scheduler.estimateOpeningMs())
}

/** Whether the read was sent to the endpoint of the attempt. */
function isSent (result: AttemptResult | undefined): boolean {
  return result !== undefined && result.kind !== 'notRun'
}

function isRetryable (code: ErrorCode | undefined): boolean {
  return code === 'busy' || code === 'lagging' || code === 'failed' || code === 'noStatement'
}

function selectNextTarget (context: StatementContext, group: ServiceGroup, operation: Operation, triedEndpoints: ReadonlySet<string>, attemptCount: number): ReadTarget | string {
  if (attemptCount >= MAX_ATTEMPTS) return 'none'
  const hasLaggingEndpoint = [...triedEndpoints].some(e => context.clock.readNow() < (group.pools.get(e)?.laggingUntilMs ?? -Infinity))
  const { primaryPool } = group
  if (hasLaggingEndpoint && primaryPool !== undefined && !triedEndpoints.has(primaryPool.entry.endpoint)) {
    const primaryTarget = findReadTarget(group, operation, new Set([...group.pools.keys()].filter(e => e !== primaryPool.entry.endpoint)), context.location, context.clock, 'read', context.leaving)
    if (typeof primaryTarget !== 'string') return primaryTarget
  }
  const target = findReadTarget(group, operation, triedEndpoints, context.location, context.clock, 'read', context.leaving)
  if (target !== 'none') return target
  const pool = group.primaryPool
  // The primary's log holds every acknowledged write, even when it lacks a required position that it never acknowledged.
  const isPrimaryUsable = pool !== undefined && group.isWritable && isUsablePool(group, pool, operation, 'only', context.location, context.clock.readNow()) && isPrimaryFresh(group.state, readMaxStalenessMs(operation), context.clock.readNow())
  return isPrimaryUsable ? { pool, requiredPosition: findPrimaryRequirement(group, operation, context.clock.readNow()) } : 'none'
}

async function findFirstTarget (context: StatementContext, group: ServiceGroup, operation: Operation): Promise<ReadTarget | string> {
  const findTarget = (): ReadTarget | 'unproven' | 'none' => findReadTarget(group, operation, new Set(), context.location, context.clock, 'read', context.leaving)
  const target = findTarget()
  if (target !== 'unproven') return target === 'none' ? await waitForTarget(context, group, operation, findTarget) : target
  await context.verifyLeadership(group, computeWaitMs(operation, context.clock.readNow()))
  const verified = findTarget()
  if (verified !== 'unproven' || describeRuledOutPrimary(group, operation, context.location, context.clock.readNow()) === null) return verified
  // The read can't run at the primary, so another endpoint needs a position of the primary's log.
  await context.readPrimaryPosition?.(group, computeWaitMs(operation, context.clock.readNow()))
  return findTarget()
}

async function waitForTarget (context: StatementContext, group: ServiceGroup, operation: Operation, findTarget: () => ReadTarget | 'unproven' | 'none'): Promise<ReadTarget | string> {
  const waitMs = computeWaitMs(operation, context.clock.readNow())
  if (group.measurePermitWaitMs() > waitMs) return 'none'
  await group.waitUntil(() => typeof findTarget() !== 'string', waitMs)
  return findTarget()
}

function computeHedgeDelayMs ({ pool }: ReadTarget): number {
  return Math.min(MAX_HEDGE_DELAY_MS, Math.max(MIN_HEDGE_DELAY_MS, HEDGE_DELAY_FACTOR * (pool.health.averageResponseMs ?? 0)))
}

/** Waits for one of the attempts to end and removes it from the set. @returns `undefined` when none ended within `waitMs` */
async function waitForResult (pendingAttempts: Set<Promise<AttemptResult>>, waitMs: number): Promise<AttemptResult | undefined> {
  let timer: NodeJS.Timeout | undefined
  const expired = new Promise<undefined>(resolve => { timer = setTimeout(() => resolve(undefined), waitMs) })
  const endedAttempts = [...pendingAttempts].map(async attempt => ({ attempt, result: await attempt }))
  const first = await Promise.race([...endedAttempts, expired])
  clearTimeout(timer)
  if (first === undefined) return undefined
  pendingAttempts.delete(first.attempt)
  return first.result
}

interface AttemptOptions { waitMs: number, withdrawal: Withdrawal }

interface PreparedAttempt { connection: PooledConnection, requiredPosition: LogPosition | null }

/** Waits until a read may be sent to its target. @returns what it needs, or the result of an attempt that is not sent */
async function prepareAttempt (
  context: StatementContext,
  group: ServiceGroup,
  operation: Operation,
  target: ReadTarget,
  { waitMs, withdrawal }: AttemptOptions
): Promise<PreparedAttempt | AttemptResult> {
  const { pool } = target
  const { clock } = context
  const selectedAtMs = clock.readNow()
  const { workspace, requiredState, route } = operation
  let connection: PooledConnection
  try {
    connection = await pool.acquire({
      workspace,
      session: requiredState.session,
      priority: route.priority,
      waitMs: group.computeMaxWaitMs(pool.entry, waitMs),
      canUseOtherEndpoint: pool !== group.primaryPool,
      withdrawal
    })
  } catch (error) {
    if (!(error instanceof PoolError)) throw error
    if (error instanceof RequestWithdrawnError) return createWithdrawnResult()
    recordReadTime(context, group, operation, target, selectedAtMs, 'busy')
    return createPoolResult(error, pool, clock.readNow())
  }
  const warmupRefusal = await group.waitForWarmupPermit(pool, Math.min(waitMs, MAX_PERMIT_WAIT_MS))
  if (warmupRefusal !== null) {
    pool.release(connection, true)
    return { kind: 'notRun', reason: warmupRefusal.message, code: 'busy', retryAfterMs: warmupRefusal.retryAfterMs }
  }
  const unreplaced = await replacePreparedWrite(context, operation, pool, connection)
  if (unreplaced !== null) {
    pool.release(connection, false)
    return unreplaced
  }
  const requiredPosition = await verifyRequirement(context, group, operation, target)
  if (requiredPosition === undefined) {
    pool.release(connection, true)
    return { kind: 'notRun', reason: `${pool.entry.endpoint} is not known to be fresh enough any more`, code: 'lagging', retryAfterMs: RETRY_AFTER_MS }
  }
  if (!isUsableForRead(group, pool, operation, 'read', context.location, clock.readNow())) {
    pool.release(connection, true)
    return { kind: 'notRun', reason: `the failure domain of ${pool.entry.endpoint} is evacuated`, code: 'busy', retryAfterMs: RETRY_AFTER_MS }
  }
  if (withdrawal.isWithdrawn || computeTimeLeftMs(operation, clock.readNow()) <= 1) {
    pool.release(connection, true)
    return createWithdrawnResult()
  }
  return { connection, requiredPosition }
}

/**
 * Replaces a prepared statement of the connection that writes and has the name of the one that the read executes. It waits for the
 * confirmation: behind a refused command, the endpoint would run the write.
 *
 * @returns `null` if there is none any more, else the result of the attempt, which has sent no statement of the client
 */
async function replacePreparedWrite (
  context: StatementContext,
  operation: Operation,
  pool: EndpointPool,
  connection: PooledConnection
): Promise<AttemptResult | null> {
  const { requiredState, preparedName } = operation
  if (preparedName === null || !connection.hasOtherWrite(requiredState, preparedName)) return null
  connection.restoreSession(requiredState, preparedName)
  const timeLeftMs = computeTimeLeftMs(operation, context.clock.readNow())
  try {
    const createError = (): Error => new ConnectionLostError(`no answer within ${Math.round(timeLeftMs)} ms`)
    const refusal = await waitAtMost(connection.waitForRestore(), timeLeftMs, createError)
    if (refusal === null) return null
    context.recordRestoreRefusal(operation, pool, refusal)
    return { kind: 'notRun', reason: describeRestoreRefusal(pool.entry.endpoint, refusal), code: 'busy', retryAfterMs: RETRY_AFTER_MS }
  } catch (error) {
    const reason = describeError(error)
    context.logNoResponse(operation, pool, reason)
    return { kind: 'notRun', reason, code: 'busy', retryAfterMs: RETRY_AFTER_MS }
  }
}

async function startAttempt (
  context: StatementContext,
  group: ServiceGroup,
  operation: Operation,
  target: ReadTarget,
  options: AttemptOptions
): Promise<AttemptResult> {
  const { pool } = target
  const { clock } = context
  const { requiredState, route, statement, preparedName } = operation
  const selectedAtMs = clock.readNow()
  const prepared = await prepareAttempt(context, group, operation, target, options)
  if ('kind' in prepared) return prepared
  const { connection, requiredPosition } = prepared
  context.leaving?.recordSent(group.service, pool)
  connection.restoreSession(requiredState, preparedName)
  try {
    const timeLeftMs = computeTimeLeftMs(operation, clock.readNow())
    const run = async (): Promise<EndpointResponse> => await connection.run(statement.id, statement.text, requiredPosition)
    const response = await group.runStatement(pool, false, timeLeftMs, run, { kind: route.name })
    const refusal = await connection.waitForRestore()
    pool.release(connection, response.state === 'idle')
    recordReadTime(context, group, operation, target, selectedAtMs, refusal?.response.error?.code ?? response.error?.code)
    if (refusal !== null) {
      context.recordRestoreRefusal(operation, pool, refusal)
      return { kind: 'responded', response: createRefusedResponse(pool, refusal), endpoint: pool.entry.endpoint }
    }
    if (response.error?.code === 'lagging') pool.laggingUntilMs = clock.readNow() + LAGGING_AVOID_MS
    if (response.error?.code === 'busy') recordBusy(pool.health, BUSY_AVOID_MS, clock.readNow())
    context.logResponse(operation, pool, requiredPosition, response)
    return { kind: 'responded', response, endpoint: pool.entry.endpoint }
  } catch (error) {
    pool.release(connection, false)
    if (error instanceof WarmupLimitError) return { kind: 'notRun', reason: error.message, code: 'busy', retryAfterMs: error.retryAfterMs }
    recordReadTime(context, group, operation, target, selectedAtMs, 'timeout')
    const reason = describeError(error)
    context.logNoResponse(operation, pool, reason)
    return { kind: 'noResponse', reason, code: 'timeout', retryAfterMs: RETRY_AFTER_MS }
  }
}

/** Creates the response to a read in place of what its endpoint has answered: it may have run with other session values. */
function createRefusedResponse ({ entry: { endpoint } }: EndpointPool, refusal: RestoreRefusal): EndpointResponse {
  const error = { code: 'failed' as const, text: describeRestoreRefusal(endpoint, refusal) }
  return { rows: [], signature: null, error, state: 'idle', position: null }
}

/** Creates the result of an attempt that was not sent before the read ended otherwise; nobody waits for it any more. */
function createWithdrawnResult (): AttemptResult {
  return { kind: 'notRun', reason: 'the read has ended', code: 'busy', retryAfterMs: RETRY_AFTER_MS }
}

/** Creates the result of an attempt that got no connection. */
function createPoolResult ({ message, refusal, retryAfterMs }: InstanceType<typeof PoolError>, { health }: EndpointPool, nowMs: number): AttemptResult {
  return { kind: 'notRun', reason: message, code: 'busy', retryAfterMs, isUnreachable: refusal === 'unreachable' || isUnreachable(health, nowMs) }
}

/**
 * Records for the decision about leaving how long an attempt took. One that was refused or not answered counts as taking its objective, as
 * its endpoint is short of capacity. One that lacked a required position tells nothing of that.
 */
function recordReadTime ({ clock, leaving }: StatementContext, { service }: ServiceGroup, { route }: Operation, { pool }: ReadTarget, selectedAtMs: number, code?: ErrorCode): void {
  if (code === 'lagging') return
  const isFailed = code === 'timeout' || isRetryable(code)
  leaving?.recordRead(service, pool, isFailed ? route.objectiveMs : clock.readNow() - selectedAtMs)
}

/** Finds the position that a read requires of its target now, if need be after verifying the leadership. @returns `undefined` if the target is not known to be fresh enough */
async function verifyRequirement (context: StatementContext, group: ServiceGroup, operation: Operation, target: ReadTarget): Promise<LogPosition | null | undefined> {
  const { clock, verifyLeadership } = context
  const requiredPosition = findCurrentRequirement(group, operation, target, clock.readNow())
  if (requiredPosition !== undefined) return requiredPosition
  await verifyLeadership(group, Math.min(VERIFICATION_WAIT_MS, computeTimeLeftMs(operation, clock.readNow())))
  return findCurrentRequirement(group, operation, target, clock.readNow())
}

/** Creates the outcome of a read that no endpoint has run. `target` is what `findReadTarget` has returned last. */
export function createFailureOutcome ({ location, clock }: StatementContext, group: ServiceGroup, operation: Operation, target: string, lastResult: AttemptResult | undefined): Outcome {
  if (lastResult?.kind === 'responded') return { response: lastResult.response, endpoint: lastResult.endpoint }
  if (lastResult?.kind === 'noResponse') return { refusal: { code: 'timeout', text: lastResult.reason } }
  if (lastResult?.kind === 'notRun') return { ...createRetryRefusal('busy', lastResult.reason, lastResult.retryAfterMs), isUnreachable: lastResult.isUnreachable }
  const warmupRefusal = target === 'unproven' ? undefined : group.refuseColdRead()
  if (warmupRefusal !== undefined) return createRetryRefusal('busy', warmupRefusal.message, warmupRefusal.retryAfterMs)
  if (target !== 'unproven') return createRetryRefusal('busy', `no endpoint of ${operation.route.service} is reachable`, RETRY_AFTER_MS)
  const ruledOut = describeRuledOutPrimary(group, operation, location, clock.readNow())
  return createRetryRefusal('lagging', `no endpoint is known to be fresh enough${ruledOut === null ? '' : `, and ${ruledOut}`}`, RETRY_AFTER_MS)
}
