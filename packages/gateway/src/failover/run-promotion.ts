import { describeError } from '@camphorpitch/wire'
import { formatStart, mergeDepartures, type EndpointStart, type ReportedDeparture } from '../groups/departures.ts'
import type { EndpointEntry } from '../directory/endpoint-entry.ts'
import type { KnownOrder, KnownPrimary } from '../freshness/group-state.ts'
import type { ServiceGroup } from '../groups/service-group.ts'
import { waitFor } from '../runtime/wait-at-most.ts'
import { closeOrder, ensureLatestPrimary, ensureNotReplaced } from './check-leadership.ts'
import type { Claim } from './duty-claim.ts'
import { isPlannedChange, pickCandidate, type FencedEndpoint, type PromotionReason } from './decide-promotion.ts'
import { fenceDepartures, resumeDepartures } from './fence-departures.ts'
import { fenceFormerPrimary, fencePlannedChange, fenceReplicas, updateTerm, waitForLeases, type FencedGroup } from './fence-group.ts'
import { computePromotedTerm, decideOrderState, isAnnouncementNewer, isSuperseded, pickFormerPrimary } from './order-decisions.ts'
import { describeStatuses, requestPromotion } from './order-promotion.ts'
import { REVOKE_TIMEOUT_MS, runOnAll, type Attempt, type PromotionHost, type Revocation } from './promotion-attempt.ts'
import { ensureClaim, ensureOrderCleared } from './promotion-claim.ts'
import { findOnlyMissing } from './recorded-starts.ts'
import { computeResumedUntil, resumeEndpoint } from './resume-endpoint.ts'

/** Checks whether replicas follow a new primary, and the time between two of them. */
const MAX_FOLLOW_CHECKS = 5
const FOLLOW_CHECK_INTERVAL_MS = 200
/** Time to confirm in a planned change, in which VMs may let statements in flight at the primary finish first. */
const PLANNED_REVOKE_TIMEOUT_MS = 700

/**
 * Replaces a service's primary.
 *
 * 1. Claims the failover duty in the store, which yields a fencing token.
 * 2. Fences the group: pauses every replica at a new term or, in a planned change, has the old primary step down first.
 * 3. Has all VMs revoke the leadership of the old primary. If a VM does not confirm, waits until its lease must have expired.
 * 4. Promotes the most advanced replica, waits until it leads, then resumes the other replicas.
 *
 * An order cannot be called back. So it is recorded in the claim before it is sent, and until it has taken effect, or its endpoint has
 * ended, the group stays fenced and this VM, or the next one that claims the duty, orders the same endpoint again.
 *
 * @param isStillRequired tells, once the duty is claimed, whether the reason still exists: a claim takes seconds while the store is slow
 * @returns the name of the new primary, or `null` if none was promoted
 * @throws MetadataError if the store did not respond to the claim
 */
export async function runPromotion (
  host: PromotionHost,
  group: ServiceGroup,
  reason: PromotionReason,
  isStillRequired = (): boolean => true
): Promise<string | null> {
  const primaryBefore = group.state.primary === null ? null : { ...group.state.primary }
  const claim = await host.claims.claim(group.service)
  if (claim === null) {
    host.logger.info('promotion skipped, another VM holds the failover claim', { service: group.service, reason })
    return null
  }
  let attempt = createAttempt(host, group, reason, claim)
  if (Date.now() < claim.resumedUntilMs) {
    await resumeAgain(attempt)
    return null
  }
  if (attempt.openOrder === null && (hasPrimaryChanged(attempt, primaryBefore) || !isStillRequired())) {
    const inputs = { service: group.service, reason, primaryBefore, primary: attempt.knownPrimary }
    host.logger.info('promotion not started, its reason no longer exists', inputs)
    const promotedTerm = computePromotedTerm(claim, attempt.seenPromotedTerm, false)
    await host.claims.release({ ...claim, order: null, stray: attempt.stray, promotedTerm })
    return null
  }
  const { oldPrimary, term, openOrder } = attempt
  host.logger.warn('promotion started', { service: group.service, reason, oldPrimary: oldPrimary?.endpoint, term, fencingToken: claim.fencingToken, openOrder })
  let promoted = await runAttempt(attempt)
  if (promoted === null && hasFoundPrimary(attempt)) {
    attempt = createAttempt(host, group, reason, { ...attempt.claim, order: attempt.openOrder, stray: attempt.stray })
    const inputs = { service: group.service, primary: attempt.knownPrimary, openOrder: attempt.openOrder }
    host.logger.warn('promotion continued, the primary that its order replaces was found', inputs)
    promoted = await runAttempt(attempt)
  }
  if (promoted !== null) closeOrder(attempt, attempt.term, promoted)
  await finishAttempt(attempt, promoted)
  return promoted
}

async function runAttempt (attempt: Attempt): Promise<string | null> {
  const { host, group } = attempt
  try {
    return await restoreLeadership(attempt) ? null : await promoteCandidate(attempt)
  } catch (error) {
    host.logger.error('promotion attempt failed', { service: group.service, error: describeError(error) })
    return null
  }
}

/**
 * Whether an attempt that knew no primary has found one while an order to replace it is open. The order must be completed all the same: its
 * endpoint may be promoted at any time, and the group stays fenced until then.
 */
function hasFoundPrimary ({ group, knownPrimary, openOrder, host, claim }: Attempt): boolean {
  return openOrder !== null && knownPrimary === null && group.state.primary !== null && host.claims.isUsable(claim)
}

/** Whether another endpoint leads, or the same one at a later term, than when the promotion was required. */
function hasPrimaryChanged ({ knownPrimary }: Attempt, primaryBefore: KnownPrimary | null): boolean {
  if (knownPrimary === null || primaryBefore === null) return knownPrimary !== primaryBefore
  const isTermLearned = primaryBefore.term === 0
  return knownPrimary.endpoint !== primaryBefore.endpoint || (knownPrimary.term > primaryBefore.term && !isTermLearned)
}

/**
 * Resumes the replicas again while none may be paused: one that did not answer an earlier command to resume may still be paused, and would
 * acknowledge no write until then.
 */
async function resumeAgain (attempt: Attempt): Promise<void> {
  const { host, group, reason, claim, openOrder, replicas } = attempt
  const inputs = { service: group.service, reason, resumedUntilMs: claim.resumedUntilMs, openOrder }
  host.logger.info('promotion not started, an unanswered command to resume a replica may still be executed', inputs)
  // The group stays fenced while an order may still take effect.
  if (openOrder === null) await runOnAll(attempt, replicas, async c => await resumeEndpoint(attempt, c))
  await host.claims.release({ ...claim, resumedUntilMs: computeResumedUntil(attempt, Date.now()) })
}

/**
 * Leaves the leadership to a primary that still leads after an attempt of another VM, if that is all that the attempt is for.
 *
 * @returns whether it does
 */
async function restoreLeadership (attempt: Attempt): Promise<boolean> {
  const { host, group, reason, openOrder, replacedTerm } = attempt
  const isForRest = reason === 'replicas left paused' || reason === 'promotion order open'
  if (!isForRest || openOrder !== null || !await isPrimaryLeading(attempt)) return false
  if (reason === 'replicas left paused') return await resumeReplicas(attempt)
  // The other VMs accept the end of the order from the VM that has revoked the leadership last.
  await host.revoke(group, replacedTerm + 1, false, REVOKE_TIMEOUT_MS)
  return true
}

function createAttempt (host: PromotionHost, group: ServiceGroup, reason: PromotionReason, claim: Claim): Attempt {
  const entries = [...group.pools.values()].map(p => p.entry)
  const knownPrimary = group.state.primary === null ? null : { ...group.state.primary }
  const oldPrimary = entries.find(e => e.endpoint === knownPrimary?.endpoint)
  const knownTerm = knownPrimary?.term ?? 0
  const attempt: Attempt = {
    host,
    group,
    reason,
    claim,
    knownPrimary,
    term: knownTerm + 1,
    replacedTerm: knownTerm,
    oldPrimary,
    replicas: entries.filter(e => e !== oldPrimary),
    departures: new Map(),
    recordedStarts: [],
    leadershipVerifiedAtMs: -Infinity,
    openOrder: claim.order,
    seenPromotedTerm: 0,
    stray: claim.stray,
    unansweredResumes: 0,
    hasResumedReplicas: false,
    steppedDown: pickFormerPrimary(claim, claim.formerPrimary),
    mayHaveRecordedOrder: claim.order !== null,
    pendingDemotion: null,
    pendingFence: null
  }
  closeOrder(attempt, knownTerm, knownPrimary?.endpoint ?? null)
  adoptAnnouncedOrder(attempt, group.state.openOrder)
  return attempt
}

/** Takes over an order that a VM knows from its announcement and that the store has lost, as it has returned from an older copy since. */
function adoptAnnouncedOrder (attempt: Attempt, announced: KnownOrder | null): void {
  const { host, group, claim, openOrder, replacedTerm } = attempt
  if (announced === null || !isAnnouncementNewer(announced, claim.revision.epoch, replacedTerm, openOrder)) return
  host.logger.warn('promotion order taken over from its announcement, the metadata store may have lost its record', { service: group.service, announced, openOrder })
  attempt.openOrder = { ...announced, isProven: true, isAccepted: false, waits: 0, calls: 1, calledAtMs: Date.now() }
}

/** Whether the primary still leads, and no endpoint has a later term: then the replicas only need to be resumed. */
async function isPrimaryLeading (attempt: Attempt): Promise<boolean> {
  const { oldPrimary, replicas, knownPrimary } = attempt
  if (oldPrimary === undefined) return false
  const statuses = await runOnAll(attempt, [oldPrimary, ...replicas], async c => await c.readStatus())
  ensureNotReplaced(attempt, statuses)
  return statuses.some(({ entry, status }) => entry === oldPrimary && status.role === 'primary' && status.term === knownPrimary?.term)
}

/**
 * Resumes the replicas of a primary that leads. Unless one of them then tells that it is not paused, none can prove the leadership; a
 * planned change of the primary follows, as every endpoint forgets its pause at a later term.
 *
 * @returns whether one of them tells that it is not paused, or none responds
 */
async function resumeReplicas (attempt: Attempt): Promise<boolean> {
  const { host, group, replicas, knownPrimary } = attempt
  const statuses = await runOnAll(attempt, replicas, async c => await resumeEndpoint(attempt, c))
  attempt.hasResumedReplicas = statuses.length === 0 || statuses.some(({ status }) => status.pausedForTerm <= (knownPrimary?.term ?? 0))
  if (attempt.hasResumedReplicas) return true
  const inputs = { service: group.service, responses: describeStatuses(statuses) }
  host.logger.warn('resumed replicas still report a pause, the primary is replaced', inputs)
  attempt.reason = 'replicas not resumed'
  attempt.term = Math.max(attempt.term, ...statuses.map(({ status }) => status.pausedForTerm + 1))
  return false
}

async function promoteCandidate (attempt: Attempt): Promise<string | null> {
  const { host, group, reason } = attempt
  const isPlanned = isPlannedChange(reason)
  await updateTerm(attempt)
  const pendingRevocation = host.revoke(group, attempt.replacedTerm + 1, isPlanned, isPlanned ? PLANNED_REVOKE_TIMEOUT_MS : REVOKE_TIMEOUT_MS)
  const pendingStarts = host.readStarts(group)
  // They are awaited only after the fence, which may fail first.
  for (const pending of [pendingRevocation, pendingStarts]) pending.catch(() => {})
  if (isPlanned) ensureLatestPrimary(attempt, (await pendingRevocation).latestPrimary)
  let fenced = isPlanned ? await fencePlannedChange(attempt) : await fenceReplicas(attempt)
  const fencedAtMs = host.waitClock.readNow()
  const revocation = await pendingRevocation
  attempt.recordedStarts = await pendingStarts
  adoptAnnouncedOrder(attempt, revocation.openOrder)
  ensureLatestPrimary(attempt, revocation.latestPrimary, fenced.endpoints)
  const unknownReplicas = mergeEndpoints(attempt, revocation)
  let fencedDepartures = await fenceDepartures(attempt, revocation)
  // In a planned change VMs let commits in flight finish, as the primary steps down first.
  const hasStoppedCommits = !isPlanned || fenced.endpoints.some(f => f.isOldPrimary)
  // Without every acknowledged position, a replica that has just restarted without its log is told only by its entry, which comes later.
  if (!revocation.hasEveryAcknowledgement || !hasStoppedCommits) {
    fenced = await waitForLeases(attempt, fenced, fencedDepartures.hasPaused ? host.waitClock.readNow() : fencedAtMs)
    mergeEndpoints(attempt, revocation)
    fencedDepartures = await fenceDepartures(attempt, revocation)
  }
  // An order may be open for the endpoint that this VM still takes for the primary, which has stepped down.
  const isOrderForOldPrimary = attempt.openOrder !== null && attempt.openOrder.endpoint === attempt.knownPrimary?.endpoint
  if (isOrderForOldPrimary) fenced = await fenceFormerPrimary(attempt, fenced) ?? fenced
  const unfencedOthers = unknownReplicas.length + fencedDepartures.unfencedReplicas
  const found = await findCandidate(attempt, { revocation, fenced, unfencedOthers, departures: fencedDepartures.departures })
  if (found.candidate === undefined) return null
  ensureLatestPrimary(attempt, group.state.primary, found.endpoints)
  return await requestPromotion(attempt, found.candidate, found.endpoints)
}

interface FencedState {
  revocation: Revocation
  fenced: FencedGroup
  /** Number of replicas beside the group's known ones that may not be fenced. */
  unfencedOthers: number
  departures: readonly ReportedDeparture[]
}

/** Finds the endpoint to promote, at first without the old primary. @returns it with the fenced endpoints that were compared */
async function findCandidate (attempt: Attempt, { revocation, fenced, unfencedOthers, departures }: FencedState): Promise<{ candidate: FencedEndpoint | undefined, endpoints: FencedEndpoint[] }> {
  const recordedOrder = attempt.openOrder
  const ordered = findOrdered(attempt, fenced, revocation)
  const endedOrder = attempt.openOrder === null ? recordedOrder : null
  const lastKnown = findLastLeader(attempt, revocation)
  const lastLeader = lastKnown !== null && isSuperseded(attempt.claim, lastKnown.term) ? null : lastKnown
  const pick = ({ endpoints, unfencedReplicas }: FencedGroup): FencedEndpoint | undefined => pickCandidate({ ...revocation, fenced: endpoints, unfencedReplicas: unfencedReplicas + unfencedOthers, departures, preferred: attempt.openOrder?.endpoint ?? attempt.stray?.endpoint, lastLeader, endedOrder })
  let compared = fenced
  let candidate = ordered ?? pick(fenced)
  const withFormerPrimary = candidate === undefined ? await fenceFormerPrimary(attempt, fenced) : undefined
  if (withFormerPrimary !== undefined) {
    compared = withFormerPrimary
    candidate = pick(compared)
  }
  attempt.host.logger.info('promotion candidates compared', { service: attempt.group.service, candidate: candidate?.endpoint, term: attempt.term, fenced: compared.endpoints, unfencedReplicas: compared.unfencedReplicas + unfencedOthers, departures, acknowledged: revocation.acknowledged, openOrder: attempt.openOrder, endedOrder, lastLeader, hasEveryVmConfirmed: revocation.hasEveryVmConfirmed, hasEveryAcknowledgement: revocation.hasEveryAcknowledgement })
  return { candidate, endpoints: compared.endpoints }
}

/**
 * Finds the endpoint of an order that may still take effect, which is ordered again.
 *
 * @throws Error if it does not respond, so that nothing can be ordered
 */
function findOrdered (attempt: Attempt, fenced: FencedGroup, { acknowledged }: Revocation): FencedEndpoint | undefined {
  const { host, group, openOrder } = attempt
  if (openOrder === null || !openOrder.isProven) return undefined
  const ordered = fenced.endpoints.find(f => f.endpoint === openOrder.endpoint)
  const { endpoint } = openOrder
  const startedAtMs = group.pools.get(endpoint)?.entry.startedAtMs
  const received = ordered?.received ?? null
  const state = decideOrderState(openOrder, { startedAtMs, departures: group.departures, received, acknowledged, nowMs: Date.now() })
  if (state === 'lapsed') throw new Error(`${endpoint} has no entry, but may be promoted at any time by an earlier order`)
  if (state === 'silent') throw new Error(`${endpoint} does not respond and may be promoted at any time by an earlier order`)
  if (state === 'orderAgain') return ordered
  host.logger.warn('promotion order has no effect any more, its endpoint has left or lost its log', { service: group.service, openOrder, ordered, acknowledged })
  attempt.openOrder = null
  return undefined
}

/** Finds the endpoint that led at the latest term that this or another VM knows, whether it still leads or not; `null` if none is known. */
function findLastLeader ({ group, knownPrimary }: Attempt, { latestPrimary, formerPrimary }: Revocation): KnownPrimary | null {
  const known = [knownPrimary, group.state.primary, group.formerPrimary, latestPrimary, formerPrimary]
  return known.reduce<KnownPrimary | null>((last, k) => k !== null && k.term > (last?.term ?? 0) ? k : last, null)
}

/**
 * Records the replicas that have left the group, and those that have come (back) since the attempt began. Departures of the endpoint that led
 * last do not count: its commits were received by a replica as well. If no endpoint is known to have led, that holds for the only one that is
 * missing.
 *
 * @returns the replicas that other VMs know and this one does not
 */
function mergeEndpoints (attempt: Attempt, revocation: Revocation): EndpointStart[] {
  const { group, oldPrimary, replicas, departures } = attempt
  const lastLeader = attempt.knownPrimary ?? findLastLeader(attempt, revocation)
  const leader = lastLeader?.endpoint ?? findOnlyMissing(attempt.recordedStarts, [...group.pools.values()].map(p => p.entry))
  const counted = new Set([...replicas, ...oldPrimary === undefined ? [] : [oldPrimary]].map(formatStart))
  const isReplica = ({ endpoint }: EndpointStart): boolean => endpoint !== leader
  const merge = (departure: ReportedDeparture): void => { departures.set(formatStart(departure), mergeDepartures(departures.get(formatStart(departure)), departure)) }
  for (const { noticedAtMs, ...departure } of group.departures.filter(isReplica)) merge(departure)
  for (const { entry: { endpoint, startedAtMs, address, isDraining }, latestPosition } of group.pools.values()) {
    const late = { endpoint, startedAtMs, address, isDraining, latestPosition, logEnd: null }
    if (!counted.has(formatStart(late)) && isReplica(late)) merge(late)
  }
  for (const departure of revocation.departures.filter(isReplica)) if (!counted.has(formatStart(departure))) merge(departure)
  const unknown = new Map(revocation.endpoints.map(e => [formatStart(e), e]))
  return [...unknown].filter(([key, e]) => !counted.has(key) && !departures.has(key) && isReplica(e)).map(([, e]) => e)
}

/**
 * Publishes the outcome, resumes the replicas, demotes the replaced primary and releases the claim. If another VM has claimed the duty
 * meanwhile, it may have paused the same replicas, and relies on that; then they are left to it. While an order may still take effect,
 * they stay paused, and the claim is released with the order.
 */
async function finishAttempt (attempt: Attempt, promoted: string | null): Promise<void> {
  const { host, group, oldPrimary, term } = attempt
  if (promoted !== null) host.publishOutcome(group, promoted, term, attempt.leadershipVerifiedAtMs)
  await attempt.pendingFence
  if (!await ensureClaim(attempt)) return
  const promotedTerm = computePromotedTerm(attempt.claim, attempt.seenPromotedTerm, promoted !== null)
  attempt.claim = { ...attempt.claim, stray: attempt.stray, promotedTerm }
  if (attempt.openOrder !== null) {
    host.logger.warn('promotion attempt ended, its order may still take effect and the group stays fenced', { service: group.service, openOrder: attempt.openOrder, term })
    await host.claims.release({ ...attempt.claim, order: attempt.openOrder })
    return
  }
  if (promoted === null) {
    attempt.claim = { ...attempt.claim, formerPrimary: pickFormerPrimary(attempt.claim, attempt.steppedDown) }
    if (attempt.mayHaveRecordedOrder && !await ensureOrderCleared(attempt)) return
    host.logger.warn('promotion attempt ended without a promotion, revocation ended and replicas resumed', { service: group.service, term })
    host.publishOutcome(group, null, term, attempt.leadershipVerifiedAtMs)
  }
  const paused = attempt.hasResumedReplicas ? [] : [...group.pools.values()].map(p => p.entry)
  const others = paused.filter(e => e.endpoint !== promoted && e !== oldPrimary)
  const mayResume = promoted === null || promoted === oldPrimary?.endpoint || await hasSteppedDown(attempt)
  if (mayResume) await Promise.all([runOnAll(attempt, others, async c => await resumeEndpoint(attempt, c)), resumeDepartures(attempt)])
  else await resumeFollowing(attempt, others)
  const formerPrimary = promoted === null ? pickFormerPrimary(attempt.claim, attempt.steppedDown) : null
  await host.claims.release({ ...attempt.claim, order: null, formerPrimary, resumedUntilMs: computeResumedUntil(attempt, Date.now()) })
}

/** Has the replaced primary step down. @returns whether it has */
async function hasSteppedDown (attempt: Attempt): Promise<boolean> {
  const { oldPrimary, term } = attempt
  if (oldPrimary === undefined) return true
  const [demoted] = await runOnAll(attempt, [oldPrimary], async c => await c.demote(term))
  return demoted?.status.role === 'replica'
}

/**
 * Resumes the replicas that follow the new primary. The promotion has ended the pause of the others; to resume one that has not followed it
 * yet would let it receive from the replaced primary again, which has not stepped down.
 */
async function resumeFollowing (attempt: Attempt, replicas: readonly EndpointEntry[]): Promise<void> {
  const { host, group, term } = attempt
  let waiting = replicas
  for (let attempts = 1; waiting.length > 0 && attempts <= MAX_FOLLOW_CHECKS; attempts++) {
    const statuses = await runOnAll(attempt, waiting, async c => await c.readStatus())
    const following = statuses.filter(({ status }) => status.term >= term).map(s => s.entry)
    await runOnAll(attempt, following, async c => await resumeEndpoint(attempt, c))
    waiting = waiting.filter(e => !following.includes(e))
    if (waiting.length > 0) await waitFor(FOLLOW_CHECK_INTERVAL_MS)
  }
  if (waiting.length > 0) host.logger.warn('replicas not resumed, they do not follow the new primary yet and the replaced one has not stepped down', { service: group.service, term, replicas: waiting.map(e => e.endpoint) })
}
