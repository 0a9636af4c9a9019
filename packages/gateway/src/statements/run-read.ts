import { createRetryBudget, describeError, recordRequest, spendRetry, type RetryBudget } from '@camphorpitch/wire'
import type { EndpointAnswer } from '../backend/endpoint-connector.ts'
import type { ErrorCode } from '../backend/statement.ts'
import type { ServiceGroup } from '../groups/service-group.ts'
import { recordBusy } from '../pool/endpoint-health.ts'
import { PoolError } from '../pool/errors.ts'
import type { PooledConnection } from '../pool/pooled-connection.ts'
import { isPrimaryFresh } from '../freshness/group-state.ts'
import { computeTimeLeftMs, computeWaitMs, createRetryRefusal, readMaxStalenessMs, type Operation, type Outcome } from './operation.ts'
import { findReadTarget, type ReadTarget } from './read-targets.ts'
import type { StatementContext } from './statement-context.ts'

/** A read left without an answer for this many times the usual is also sent elsewhere. */
const HEDGE_FACTOR = 4
/** Bounds of the time before a read is also sent elsewhere, in milliseconds. */
const SHORTEST_HEDGE_MS = 150
const LONGEST_HEDGE_MS = 450
/** Endpoints that one read may go to. */
const MOST_ATTEMPTS = 3
/** An endpoint that was too busy for a read is passed over for this long, in milliseconds. */
const BUSY_AVOID_MS = 100
/** A replica whose log lacked a position is passed over for this long, in milliseconds. */
export const LAGGING_AVOID_MS = 250
/** When a read that no endpoint can run now is worth repeating, in milliseconds. */
const RETRY_AFTER_MS = 200

const budgets = new WeakMap<ServiceGroup, RetryBudget>()

function readBudget (group: ServiceGroup): RetryBudget {
  const budget = budgets.get(group) ?? createRetryBudget()
  budgets.set(group, budget)
  return budget
}

type Attempt = { kind: 'answered', answer: EndpointAnswer, endpoint: string } | { kind: 'notRun' | 'unanswered', reason: string, code: ErrorCode }

/** Runs a read outside of a transaction; it may go to several endpoints, as it changes nothing. */
export async function runRead (context: StatementContext, group: ServiceGroup, operation: Operation): Promise<Outcome> {
  const { clock } = context
  const tried = new Set<string>()
  const pending = new Set<Promise<Attempt>>()
  const budget = readBudget(group)
  recordRequest(budget)
  let last: Attempt | undefined
  let target = await findProvenTarget(context, group, operation)
  for (let attempts = 1; ; attempts++) {
    if (typeof target !== 'string') {
      tried.add(target.pool.entry.endpoint)
      const nowMs = clock.readNow()
      // A read that has been offered to an endpoint already may wait for as long as it has time.
      const waitMs = attempts === 1 ? computeWaitMs(operation, nowMs) : computeTimeLeftMs(operation, nowMs)
      pending.add(startAttempt(context, group, operation, target, waitMs))
    } else if (pending.size === 0) return describeFailure(operation, target, last)
    const patienceMs = typeof target === 'string' ? computeTimeLeftMs(operation, clock.readNow()) : computeHedgeMs(target)
    last = await waitForAttempt(pending, patienceMs) ?? last
    if (isFinal(last)) return { answer: last.answer, endpoint: last.endpoint }
    if (computeTimeLeftMs(operation, clock.readNow()) <= 1) return describeFailure(operation, 'none', last)
    const mayHedge = pending.size === 0 || spendRetry(budget)
    target = mayHedge ? selectNext(context, group, operation, tried, attempts) : 'none'
  }
}

function isFinal (attempt: Attempt | undefined): attempt is Extract<Attempt, { kind: 'answered' }> {
  return attempt?.kind === 'answered' && !isRetryable(attempt.answer.error?.code)
}

function isRetryable (code: ErrorCode | undefined): boolean {
  return code === 'busy' || code === 'lagging' || code === 'failed' || code === 'noStatement'
}

function selectNext (context: StatementContext, group: ServiceGroup, operation: Operation, tried: ReadonlySet<string>, attempts: number): ReadTarget | string {
  if (attempts >= MOST_ATTEMPTS) return 'none'
  const hasLagged = [...tried].some(e => context.clock.readNow() < (group.pools.get(e)?.laggingUntilMs ?? -Infinity))
  const { primaryPool } = group
  if (hasLagged && primaryPool !== undefined && !tried.has(primaryPool.entry.endpoint)) {
    const required = findReadTarget(group, operation, new Set([...group.pools.keys()].filter(e => e !== primaryPool.entry.endpoint)), context.location, context.clock)
    if (typeof required !== 'string') return required
  }
  const target = findReadTarget(group, operation, tried, context.location, context.clock)
  if (target !== 'none') return target
  const pool = group.primaryPool
  // The primary shows every acknowledged write, also where a position it never acknowledged was asked for.
  const isPrimaryUsable = pool !== undefined && group.isWritable && isPrimaryFresh(group.state, readMaxStalenessMs(operation), context.clock.readNow())
  return isPrimaryUsable ? { pool, atLeast: null } : 'none'
}

async function findProvenTarget (context: StatementContext, group: ServiceGroup, operation: Operation): Promise<ReadTarget | string> {
  const find = (): ReadTarget | 'unproven' | 'none' => findReadTarget(group, operation, new Set(), context.location, context.clock)
  const target = find()
  if (target !== 'unproven') return target === 'none' ? await waitForTarget(context, group, operation, find) : target
  await context.verifyLeadership(group, computeWaitMs(operation, context.clock.readNow()))
  return find()
}

async function waitForTarget (context: StatementContext, group: ServiceGroup, operation: Operation, find: () => ReadTarget | 'unproven' | 'none'): Promise<ReadTarget | string> {
  await group.waitUntil(() => typeof find() !== 'string', computeWaitMs(operation, context.clock.readNow()))
  return find()
}

function computeHedgeMs ({ pool }: ReadTarget): number {
  return Math.min(LONGEST_HEDGE_MS, Math.max(SHORTEST_HEDGE_MS, HEDGE_FACTOR * (pool.health.averageResponseMs ?? 0)))
}

/** Waits for one of the attempts to end. @returns `undefined` when none did in time */
async function waitForAttempt (pending: Set<Promise<Attempt>>, waitMs: number): Promise<Attempt | undefined> {
  let timer: NodeJS.Timeout | undefined
  const expired = new Promise<undefined>(resolve => { timer = setTimeout(() => resolve(undefined), waitMs) })
  const ended = [...pending].map(async attempt => ({ attempt, result: await attempt }))
  const first = await Promise.race([...ended, expired])
  clearTimeout(timer)
  if (first === undefined) return undefined
  pending.delete(first.attempt)
  return first.result
}

async function startAttempt (context: StatementContext, group: ServiceGroup, operation: Operation, target: ReadTarget, waitMs: number): Promise<Attempt> {
  const { pool, atLeast } = target
  const { clock } = context
  const { workspace, contents, route, statement, preparedName } = operation
  let connection: PooledConnection
  try {
    connection = await pool.acquire({ workspace, session: contents.session, priority: route.priority, waitMs, canUseOtherEndpoint: pool !== group.primaryPool })
  } catch (error) {
    if (!(error instanceof PoolError)) throw error
    return { kind: 'notRun', reason: error.message, code: 'busy' }
  }
  const restored = connection.restoreSession(contents, preparedName)
  try {
    const answer = await group.runStatement(pool, false, computeTimeLeftMs(operation, clock.readNow()), async () => await connection.run(statement.id, statement.text, atLeast))
    await Promise.all(restored)
    pool.release(connection, answer.state === 'idle')
    if (answer.error?.code === 'lagging') pool.laggingUntilMs = clock.readNow() + LAGGING_AVOID_MS
    if (answer.error?.code === 'busy') recordBusy(pool.health, BUSY_AVOID_MS, clock.readNow())
    context.logAttempt(operation, pool, atLeast, answer)
    return { kind: 'answered', answer, endpoint: pool.entry.endpoint }
  } catch (error) {
    pool.release(connection, false)
    const reason = describeError(error)
    context.logLoss(operation, pool, reason)
    return { kind: 'unanswered', reason, code: 'timeout' }
  }
}

function describeFailure ({ route }: Operation, target: string, last: Attempt | undefined): Outcome {
  if (last?.kind === 'answered') return { answer: last.answer, endpoint: last.endpoint }
  if (last?.kind === 'unanswered') return { refusal: { code: 'timeout', text: last.reason } }
  if (last?.kind === 'notRun') return createRetryRefusal('busy', last.reason, RETRY_AFTER_MS)
  const reason = target === 'unproven' ? 'no endpoint is known to be fresh enough' : `no endpoint of ${route.service} is reachable`
  return createRetryRefusal(target === 'unproven' ? 'lagging' : 'busy', reason, RETRY_AFTER_MS)
}
