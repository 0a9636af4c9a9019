import { comparePositions, describeError, type LogPosition } from '@camphorpitch/wire'
import type { EndpointConnection, EndpointStatus } from '../backend/endpoint-connector.ts'
import type { EndpointEntry } from '../directory/endpoint-entry.ts'
import type { PromotionResult } from '../backend/promoter.ts'
import { waitFor } from '../runtime/wait-at-most.ts'
import { isPlannedChange, type FencedEndpoint } from './decide-promotion.ts'
import { ensureLatestPrimary, ensureNotReplaced } from './check-leadership.ts'
import type { OpenOrder } from './duty-claim.ts'
import { pauseReplica } from './fence-group.ts'
import { canOrder, isCallDue, isFenceIntact, isLookRecent, isSameOrder, PROMOTION_EFFECT_TIMEOUT_MS } from './order-decisions.ts'
import { REVOKE_TIMEOUT_MS, runOnAll, type Attempt, type EndpointResult } from './promotion-attempt.ts'
import { updateClaim } from './promotion-claim.ts'

const STATUS_INTERVAL_MS = 100
const PROMOTE_TIMEOUT_MS = 700
/** Number of times that an attempt looks at the ordered endpoint again because the response came late. */
const MAX_LOOKS = 5
/** Time until an attempt tries again to send an order, because an endpoint did not respond before the call, for example. */
const UNSENT_RETRY_MS = 300
/** Number of times that an attempt does so. */
const MAX_UNSENT_RETRIES = 5
/** Number of times that an attempt waits for the effect of its order; another VM may reach the promoter better. */
const MAX_EFFECT_WAITS = 2

/**
 * Orders the promotion, again if it does not take effect in time, and waits until it does. The order is recorded first.
 *
 * @returns the endpoint, or `null` if it did not become primary
 */
export async function requestPromotion (attempt: Attempt, { endpoint, received }: FencedEndpoint, fenced: readonly FencedEndpoint[]): Promise<string | null> {
  const { host, group, replicas, oldPrimary } = attempt
  const entry = [...replicas, ...oldPrimary === undefined ? [] : [oldPrimary]].find(e => e.endpoint === endpoint)
  if (entry === undefined) return null
  if (!canOrder(endpoint, attempt.stray, Date.now())) {
    host.logger.warn('promotion order not sent, a call for another endpoint may still be executed', { service: group.service, endpoint, stray: attempt.stray })
    return null
  }
  const openOrder = { endpoint, startedAtMs: entry.startedAtMs, replacedTerm: attempt.replacedTerm, received, isProven: true, isAccepted: false, waits: 0, calls: 0, calledAtMs: 0 }
  const readOrder = (): OpenOrder | null => isSameOrder(attempt.openOrder, openOrder) ? attempt.openOrder : null
  const ended = { effect: 0, retry: 0, earlierCall: 0 }
  while (ended.effect < MAX_EFFECT_WAITS && ended.retry <= MAX_UNSENT_RETRIES) {
    const wait = await sendIfDue(attempt, entry, readOrder() ?? openOrder, fenced)
    if (readOrder() === null) return null
    if (await waitForEffect(attempt, entry, wait.ms)) return endpoint
    ended[wait.until]++
    if (attempt.openOrder !== null) attempt.openOrder = { ...attempt.openOrder, waits: attempt.openOrder.waits + 1 }
    const { latestPrimary } = await host.revoke(group, attempt.replacedTerm + 1, false, REVOKE_TIMEOUT_MS)
    ensureLatestPrimary(attempt, latestPrimary, fenced)
  }
  return null
}

/** What an attempt waits for next, and for how long at most: the effect of its call, another try to call, or the end of an earlier call. */
interface OrderWait { until: 'effect' | 'retry' | 'earlierCall', ms: number }

async function sendIfDue (attempt: Attempt, entry: EndpointEntry, order: OpenOrder, fenced: readonly FencedEndpoint[]): Promise<OrderWait> {
  if (!isCallDue(order, Date.now())) return { until: 'effect', ms: PROMOTION_EFFECT_TIMEOUT_MS }
  const callDelayMs = measureCallDelay(attempt)
  if (callDelayMs > 0) return { until: 'earlierCall', ms: Math.min(callDelayMs, PROMOTION_EFFECT_TIMEOUT_MS) }
  const result = await sendOrder(attempt, entry, order, fenced)
  return result === 'busy' ? { until: 'retry', ms: UNSENT_RETRY_MS } : { until: 'effect', ms: PROMOTION_EFFECT_TIMEOUT_MS }
}

/** Measures how long the platform may not be called, as a call of another VM, with a lower token, may still arrive after this one. */
function measureCallDelay ({ host, group, claim, openOrder }: Attempt): number {
  const callDelayMs = Math.ceil(host.claims.measureCallDelayMs(claim))
  const inputs = { service: group.service, callDelayMs, pendingCall: claim.pendingCall, openOrder }
  if (callDelayMs > 0) host.logger.warn('promotion order not sent yet, a call of another vm may still arrive at the platform', inputs)
  return callDelayMs
}

/**
 * Records the order with one more call and sends it, if that is still safe. Sets the attempt's open order if the call may be executed.
 *
 * @returns `busy` also if it was not sent
 */
async function sendOrder (
  attempt: Attempt,
  entry: EndpointEntry,
  known: OpenOrder,
  fenced: readonly FencedEndpoint[]
): Promise<PromotionResult> {
  const { host, group } = attempt
  const openOrder = { ...known, isAccepted: false, waits: 0, calls: known.calls + 1, calledAtMs: Date.now() }
  let result: PromotionResult = 'busy'
  try {
    if (!await recordOrder(attempt, openOrder)) {
      host.logger.warn('promotion cancelled, the failover claim has expired', { service: group.service, openOrder: attempt.openOrder })
      return result
    }
    if (await isSafe(attempt, entry, openOrder, fenced)) result = await sendCall(attempt, entry, openOrder)
  } finally {
    host.claims.endCall(attempt.claim, result === 'unknown')
  }
  // A call without an answer may still be executed although a later one was refused.
  if (result === 'accepted' || result === 'unknown') attempt.openOrder = { ...openOrder, isAccepted: result === 'accepted' }
  if (result === 'accepted') await recordAcceptance(attempt)
  return result
}

/** Checks the group again right before the call. @returns whether the order may still be sent */
async function isSafe (attempt: Attempt, entry: EndpointEntry, openOrder: OpenOrder, fenced: readonly FencedEndpoint[]): Promise<boolean> {
  const { host, group } = attempt
  const lookedAtMs = host.clock.readNow()
  const { received } = openOrder
  if (await isStillSafe(attempt, entry, received, fenced) && await hasLog(attempt, entry, received, lookedAtMs)) return true
  host.logger.warn('promotion order not sent, an endpoint has lost its log or its pause, has joined, or responds late, since they were compared', { service: group.service, openOrder: attempt.openOrder, ...openOrder })
  return false
}

async function sendCall (attempt: Attempt, entry: EndpointEntry, openOrder: OpenOrder): Promise<PromotionResult> {
  const { host, group } = attempt
  if (!host.claims.isUsable(attempt.claim)) return 'busy' // The checks took too long, or this VM stood still.
  const order = { service: group.service, endpoint: entry.endpoint, holder: host.vm, fencingToken: host.claims.beginCall(attempt.claim) }
  const { startedAtMs, replacedTerm, received } = openOrder
  host.publishOrder(group, { endpoint: entry.endpoint, startedAtMs, replacedTerm, received, epoch: attempt.claim.revision.epoch })
  const claimAgeMs = Math.round(host.clock.readNow() - attempt.claim.claimedAtMs)
  const { result, ...times } = await host.promoter.promote(order, PROMOTE_TIMEOUT_MS, () => host.claims.isUsable(attempt.claim))
  host.logger.warn('promotion requested', { ...order, result, claimAgeMs, ...times })
  return result
}

/**
 * Looks at the ordered endpoint again if the checks, which began at `lookedAtMs`, took long: it may have restarted without its log since it
 * sent its response. @returns whether it holds its log
 */
async function hasLog (attempt: Attempt, entry: EndpointEntry, received: LogPosition, lookedAtMs: number): Promise<boolean> {
  const { clock } = attempt.host
  let sentAtMs = lookedAtMs
  for (let looks = 1; !isLookRecent(sentAtMs, clock.readNow()); looks++) {
    if (looks > MAX_LOOKS) return false
    sentAtMs = clock.readNow()
    const [known] = await runOnAll(attempt, [entry], async c => await c.readStatus())
    if (known === undefined || comparePositions(known.status.received, received) < 0) return false
  }
  return true
}

/**
 * Checks right before an order is sent that its endpoint has not lost its log, no other replica has lost its pause, and none has joined,
 * since they were compared.
 */
async function isStillSafe (attempt: Attempt, { endpoint }: EndpointEntry, received: LogPosition, fenced: readonly FencedEndpoint[]): Promise<boolean> {
  const { group, term, reason, replicas, oldPrimary } = attempt
  const entries = [...group.pools.values()].map(p => p.entry)
  if (entries.some(e => e.endpoint !== oldPrimary?.endpoint && !replicas.some(r => r.endpoint === e.endpoint))) return false
  const statuses = await runOnAll(attempt, entries, async c => await c.readStatus())
  ensureNotReplaced(attempt, statuses)
  const ordered = statuses.find(({ entry }) => entry.endpoint === endpoint)
  if (ordered === undefined || comparePositions(ordered.status.received, received) < 0) return false
  // In a planned change the old primary has stepped down, so that no replica receives anything more.
  if (isPlannedChange(reason) && fenced.some(f => f.isOldPrimary)) return true
  const paused = new Set(fenced.filter(f => !f.isOldPrimary).map(f => f.endpoint))
  return isFenceIntact(paused, statuses.map(({ entry, status }) => ({ endpoint: entry.endpoint, status })), term)
}

/** Records the order to be sent in the claim's object, unless it is recorded already. @returns whether the claim may be acted on */
async function recordOrder (attempt: Attempt, order: OpenOrder): Promise<boolean> {
  const { claims } = attempt.host
  const claim = await claims.ensureUsable(attempt.claim)
  if (claim === null) return false
  attempt.claim = claim
  attempt.mayHaveRecordedOrder = true
  const recorded = await claims.recordOrder(claim, order)
  if (recorded === null || !claims.isUsable(recorded)) return false
  attempt.claim = recorded
  return true
}

/** Records that the order was accepted, so that the next VM that claims the duty does not send it again. A failure is only logged. */
async function recordAcceptance (attempt: Attempt): Promise<void> {
  const { host, group, claim, openOrder } = attempt
  try {
    attempt.claim = await host.claims.updateOrder(claim, openOrder!) ?? claim
  } catch (error) {
    host.logger.info('acceptance of the promotion order not recorded', { service: group.service, openOrder, reason: describeError(error) })
  }
}

/**
 * Polls the endpoint until it reports that it is primary, and keeps the group fenced. Keeps the claim meanwhile, so that no other VM
 * promotes a second endpoint while this order may still take effect.
 *
 * @returns whether it took effect in time
 * @throws Error if another VM has the claim, or another endpoint leads
 */
async function waitForEffect (attempt: Attempt, entry: EndpointEntry, waitMs: number): Promise<boolean> {
  const { host, group, openOrder } = attempt
  const { endpoint } = entry
  const requestedAtMs = host.clock.readNow()
  const deadlineMs = requestedAtMs + waitMs
  let fenceError: unknown = null
  while (host.clock.readNow() < deadlineMs) {
    await waitFor(STATUS_INTERVAL_MS)
    const isHeld = await updateClaim(attempt)
    if (isHeld === false || !isSameOrder(attempt.claim.order, openOrder)) throw new Error('another VM has claimed the duty while the promotion order had not taken effect')
    const sentAtMs = host.clock.readNow()
    const [known] = await runOnAll(attempt, [entry], async c => await c.readStatus())
    if (known?.status.role === 'primary' && known.status.term > attempt.replacedTerm) {
      host.logger.warn('promotion took effect', { service: group.service, endpoint, term: known.status.term, received: known.status.received, orderAgeMs: Math.round(host.clock.readNow() - requestedAtMs) })
      attempt.term = known.status.term
      attempt.leadershipVerifiedAtMs = sentAtMs
      return true
    }
    if (fenceError !== null) throw fenceError
    // Not awaited here: an endpoint that does not respond must not delay the moment at which the new primary is known.
    attempt.pendingFence ??= restoreFence(attempt, entry).catch((error: unknown) => { fenceError = error }).finally(() => { attempt.pendingFence = null })
  }
  host.logger.warn('promotion order has not taken effect in time', { service: group.service, endpoint, orderAgeMs: Math.round(host.clock.readNow() - requestedAtMs) })
  return false
}

/** Fences endpoints again that have restarted, joined, or can be reached only now, while an order for another endpoint is open. */
async function restoreFence (attempt: Attempt, ordered: EndpointEntry): Promise<void> {
  const { host, group, term } = attempt
  const others = [...group.pools.values()].map(p => p.entry).filter(e => e.endpoint !== ordered.endpoint)
  const statuses = await runOnAll(attempt, others, async c => await c.readStatus())
  ensureNotReplaced(attempt, statuses)
  const unfenced = statuses.filter(({ status }) => status.role === 'primary' || status.pausedForTerm < term)
  if (unfenced.length === 0) return
  const fenced = await runOnAll(attempt, unfenced.map(u => u.entry), async c => await fenceEndpoint(c, term))
  host.logger.warn('endpoints fenced again while a promotion order is open', { service: group.service, term, endpoint: ordered.endpoint, before: describeStatuses(unfenced), after: describeStatuses(fenced) })
  ensureNotReplaced(attempt, fenced)
}

async function fenceEndpoint (connection: EndpointConnection, term: number): Promise<EndpointStatus | null> {
  const status = await pauseReplica(connection, term)
  return status?.role === 'primary' && status.term < term ? await connection.demote(term) : status
}

/** Describes endpoints' statuses for the log. */
export function describeStatuses (results: readonly EndpointResult[]): Record<string, EndpointStatus> {
  return Object.fromEntries(results.map(({ entry, status }) => [entry.endpoint, status]))
}
