import { comparePositions, describeError, type Clock, type Logger, type LogPosition } from '@camphorpitch/wire'
import type { EndpointConnection, EndpointStatus } from '../backend/endpoint-connector.ts'
import type { Promoter } from '../backend/promoter.ts'
import type { EndpointEntry } from '../directory/endpoint-entry.ts'
import { LEADER_LEASE_MS, type KnownPrimary } from '../freshness/group-state.ts'
import { formatStart, type EndpointStart, type ReportedDeparture } from '../groups/departures.ts'
import type { ServiceGroup } from '../groups/service-group.ts'
import { waitFor } from '../runtime/wait-at-most.ts'
import type { ControlCommand, ControlConnections } from './control-connections.ts'
import { MAX_UNFENCED_BESIDE_PRIMARY, pickCandidate, type FencedEndpoint, type PromotionReason } from './decide-promotion.ts'
import type { Claim, DutyClaims } from './duty-claim.ts'

/** Time that the VMs have to confirm that they revoked the primary's leadership. */
const REVOKE_TIMEOUT_MS = 250
/** Time to confirm in a planned change, in which VMs may let statements in flight at the primary finish first. */
const PLANNED_REVOKE_TIMEOUT_MS = 700
/** Time that the replicas have to receive the complete log of a primary that has stepped down. */
const CATCH_UP_TIMEOUT_MS = 600
const STATUS_INTERVAL_MS = 100
const PROMOTE_TIMEOUT_MS = 700
/** Time that an endpoint has to report that it is primary after its promotion was requested. */
const PROMOTION_EFFECT_TIMEOUT_MS = 3_500
const MAX_BUSY_ATTEMPTS = 4
const RETRY_DELAY_MS = 25
/** Attempts to renew an expired claim while the store does not respond. */
const MAX_RENEWAL_ATTEMPTS = 10
const RENEWAL_RETRY_DELAY_MS = 500

/** Result of the request to all VMs to revoke the leadership of a primary. */
export interface Revocation {
  /** Whether every VM that may be running has confirmed. */
  hasEveryVmConfirmed: boolean
  /**
   * Whether no acknowledged position can lie beyond `acknowledged`: every VM has confirmed, and a commit was sent and acknowledged
   * after a VM last stopped or restarted and forgot what it knew.
   */
  hasEveryAcknowledgement: boolean
  /** Latest position that any of the VMs that confirmed knows to be acknowledged; `null` if none knows one. */
  acknowledged: LogPosition | null
  /** Primary of the latest term that any of the VMs that confirmed knows; `null` if none knows one. */
  latestPrimary: KnownPrimary | null
  /** The group's endpoints that the other VMs know. */
  endpoints: readonly EndpointStart[]
  /** Endpoints that the other VMs have seen leave the group. */
  departures: readonly ReportedDeparture[]
}

/** What a promotion needs from the VM that runs it. */
export interface PromotionHost {
  clock: Clock
  logger: Logger
  vm: string
  control: ControlConnections
  claims: DutyClaims
  promoter: Promoter
  /** Has all VMs, this one included, revoke the primary's leadership: they no longer send it reads on the strength of its lease. Waits for `waitMs` at most. */
  revoke: (group: ServiceGroup, term: number, isPlanned: boolean, waitMs: number) => Promise<Revocation>
  /**
   * Tells all VMs the outcome of the attempt: the endpoint that was primary at `leadershipVerifiedAtMs`, or `null` if
   * no endpoint was promoted.
   */
  publishOutcome: (group: ServiceGroup, endpoint: string | null, term: number, leadershipVerifiedAtMs: number) => void
}

interface Attempt {
  host: PromotionHost
  group: ServiceGroup
  reason: PromotionReason
  claim: Claim
  /** The primary that this VM knew when the attempt began. */
  knownPrimary: KnownPrimary | null
  /** Term at which the endpoints are fenced; once the new primary is known, its term. */
  term: number
  oldPrimary: EndpointEntry | undefined
  replicas: EndpointEntry[]
  /** Time at which the status request was sent to which the new primary responded that it leads. */
  leadershipVerifiedAtMs: number
}

/**
 * Replaces a service's primary.
 *
 * 1. Claims the failover duty in the store, which yields a fencing token.
 * 2. Fences the group: pauses every replica at a new term or, in a planned change, has the old primary step down first.
 * 3. Has all VMs revoke the leadership of the old primary. If a VM does not confirm, waits until its lease must have expired.
 * 4. Promotes the most advanced replica, waits until it leads, then resumes the other replicas.
 *
 * @returns the name of the new primary, or `null` if none was promoted
 * @throws MetadataError if the store did not respond to the claim
 */
export async function runPromotion (host: PromotionHost, group: ServiceGroup, reason: PromotionReason): Promise<string | null> {
  const claim = await host.claims.claim(group.service)
  if (claim === null) {
    host.logger.info('promotion skipped, another VM holds the failover claim', { service: group.service, reason })
    return null
  }
  const entries = [...group.pools.values()].map(p => p.entry)
  const oldPrimary = entries.find(e => e.endpoint === group.state.primary?.endpoint)
  const knownPrimary = group.state.primary === null ? null : { ...group.state.primary }
  const attempt: Attempt = { host, group, reason, claim, knownPrimary, oldPrimary, replicas: entries.filter(e => e !== oldPrimary), leadershipVerifiedAtMs: -Infinity, term: (knownPrimary?.term ?? 0) + 1 }
  host.logger.warn('promotion started', { service: group.service, reason, oldPrimary: oldPrimary?.endpoint, term: attempt.term, fencingToken: claim.fencingToken })
  let promoted: string | null = null
  try {
    promoted = await promoteCandidate(attempt)
  } catch (error) {
    host.logger.error('promotion attempt failed', { service: group.service, error: describeError(error) })
  }
  await finishAttempt(attempt, promoted)
  return promoted
}

async function promoteCandidate (attempt: Attempt): Promise<string | null> {
  const { host, group, reason } = attempt
  const isPlanned = reason === 'primary draining'
  await updateTerm(attempt)
  const pendingRevocation = host.revoke(group, attempt.term, isPlanned, isPlanned ? PLANNED_REVOKE_TIMEOUT_MS : REVOKE_TIMEOUT_MS)
  if (isPlanned) ensureLatestPrimary(attempt, (await pendingRevocation).latestPrimary)
  let fenced = isPlanned ? await fencePlannedChange(attempt) : await fenceReplicas(attempt)
  const fencedAtMs = host.clock.readNow()
  const revocation = await pendingRevocation
  ensureLatestPrimary(attempt, revocation.latestPrimary, fenced)
  if (!revocation.hasEveryVmConfirmed) {
    await waitForLeases(attempt, fencedAtMs)
    fenced = await verifyFence(attempt, fenced)
  }
  const { departures, unknownReplicas } = mergeEndpoints(attempt, revocation)
  const unfencedReplicas = fenced.unfencedReplicas + unknownReplicas.length
  const candidate = pickCandidate({ ...revocation, fenced: fenced.endpoints, unfencedReplicas, departures })
  host.logger.info('promotion candidates compared', { service: group.service, candidate: candidate?.endpoint, term: attempt.term, fenced: fenced.endpoints, unfencedReplicas, unknownReplicas, departures, acknowledged: revocation.acknowledged, hasEveryVmConfirmed: revocation.hasEveryVmConfirmed, hasEveryAcknowledgement: revocation.hasEveryAcknowledgement })
  if (candidate === undefined) return null
  ensureLatestPrimary(attempt, group.state.primary, fenced)
  return await requestPromotion(attempt, candidate.endpoint)
}

/** Sets a term that no endpoint has seen yet, in case the primary's term is unknown because the primary has not responded so far. */
async function updateTerm (attempt: Attempt): Promise<void> {
  if (attempt.term > 1) return
  const { oldPrimary, replicas } = attempt
  const statuses = await runOnAll(attempt, oldPrimary === undefined ? replicas : [...replicas, oldPrimary], async c => await c.readStatus())
  attempt.term = Math.max(1, ...statuses.map(({ status }) => Math.max(status.term, status.pausedForTerm) + 1))
  ensureNotReplaced(attempt, statuses)
  if (statuses.some(({ entry, status }) => entry === oldPrimary && status.role === 'replica')) addOldPrimaryToReplicas(attempt)
}

/** Counts the endpoint that was taken for the primary among the replicas. */
function addOldPrimaryToReplicas (attempt: Attempt): void {
  if (attempt.oldPrimary !== undefined) attempt.replicas = [...attempt.replicas, attempt.oldPrimary]
  attempt.oldPrimary = undefined
}

/**
 * Checks that no endpoint has a newer term or follows a primary other than the one to be replaced: then another VM has
 * replaced it, and fencing at the attempt's term has no effect. Records the primary that leads.
 *
 * @throws Error if there is one
 */
function ensureNotReplaced ({ group, term, knownPrimary, oldPrimary }: Attempt, statuses: readonly EndpointResult[]): void {
  const leading = statuses.find(({ entry, status }) => status.role === 'primary' && status.term > (knownPrimary?.term ?? 0) && (entry !== oldPrimary || status.term >= term))
  if (leading !== undefined) group.adoptPrimary(leading.entry.endpoint, leading.status.term, 'promotion attempt')
  const newer = statuses.find(({ status }) => isNewer(status, term))
  if (leading === undefined && newer === undefined) return
  if (leading === undefined && group.state.primary?.term === knownPrimary?.term) group.resetPrimary()
  const { entry, status } = leading ?? newer!
  throw new Error(`the primary to be replaced no longer leads: ${entry.endpoint} reports role ${status.role}, term ${status.term}, paused for term ${status.pausedForTerm}; this attempt has term ${term}`)
}

/** Whether an endpoint has a term that fencing at `term` does not affect. A term that it was only paused for does not count. */
function isNewer (status: EndpointStatus, term: number): boolean {
  return status.term >= term && status.term > status.pausedForTerm
}

/**
 * Pauses a replica at `term` or a later one. A pause takes effect only above the term of an earlier one, which the replica may still
 * report although it was resumed.
 *
 * @returns its status, before the pause if it is none or has a newer term
 */
async function pauseReplica (connection: EndpointConnection, term: number): Promise<EndpointStatus | null> {
  const before = await connection.readStatus()
  if (before === null || before.role === 'primary' || isNewer(before, term)) return before
  return await connection.pause(Math.max(term, before.pausedForTerm + 1))
}

/**
 * Checks that `latest`, which this or another VM takes for the primary, is not a later one than that to be replaced. Records it otherwise.
 * A replica that this attempt has fenced does not lead.
 *
 * @throws Error if it is later
 */
function ensureLatestPrimary ({ group, knownPrimary, term }: Attempt, latest: KnownPrimary | null, fenced?: FencedGroup): void {
  if (latest === null || latest.endpoint === knownPrimary?.endpoint || latest.term <= (knownPrimary?.term ?? 0)) return
  const isFenced = fenced?.endpoints.some(f => f.endpoint === latest.endpoint && !f.isOldPrimary) === true
  if (isFenced && latest.term < term) return
  group.adoptPrimary(latest.endpoint, latest.term, 'promotion attempt')
  throw new Error(`the primary to be replaced no longer leads: a VM knows ${latest.endpoint} as primary of term ${latest.term}`)
}

/**
 * Lists the replicas that have left the group, and those that other VMs know and this one does not. Departures of the old primary do not
 * count: its commits were received by a replica as well.
 */
function mergeEndpoints ({ group, knownPrimary }: Attempt, revocation: Revocation): { departures: ReportedDeparture[], unknownReplicas: EndpointStart[] } {
  const present = new Set([...group.pools.values()].map(p => formatStart(p.entry)))
  const departures = new Map(group.departures.map(({ endpoint, startedAtMs, logEnd }) => [formatStart({ endpoint, startedAtMs }), { endpoint, startedAtMs, logEnd }]))
  for (const departure of revocation.departures) {
    const key = formatStart(departure)
    if (!present.has(key) && departures.get(key)?.logEnd == null) departures.set(key, departure)
  }
  const unknown = new Map(revocation.endpoints.map(e => [formatStart(e), e]))
  const isReplica = ({ endpoint }: EndpointStart): boolean => endpoint !== knownPrimary?.endpoint
  return {
    departures: [...departures.values()].filter(isReplica),
    unknownReplicas: [...unknown].filter(([key, e]) => !present.has(key) && !departures.has(key) && isReplica(e)).map(([, e]) => e)
  }
}

/** The endpoints that receive nothing more from the old primary. */
interface FencedGroup {
  endpoints: FencedEndpoint[]
  /** Number of replicas that may still receive from it or from a primary that is not known. */
  unfencedReplicas: number
}

/**
 * Pauses the replicas, so that they receive nothing more from the old primary. If some can't be paused, the old primary counts
 * as well, if it steps down on request.
 */
async function fenceReplicas (attempt: Attempt): Promise<FencedGroup> {
  const { host, replicas, term } = attempt
  const pendingDemotion = demoteOldPrimary(attempt)
  pendingDemotion.catch(() => {}) // Its result is needed only if a replica could not be paused.
  const paused = await runOnAll(attempt, replicas, async c => await pauseReplica(c, term))
  ensureNotReplaced(attempt, paused)
  const isPaused = (s: EndpointStatus): boolean => s.role === 'replica' && s.pausedForTerm >= term
  const endpoints = paused.filter(({ status }) => isPaused(status)).map(({ entry, status }) => describeFenced(attempt, entry, status, false))
  const unfencedReplicas = replicas.length - endpoints.length
  if (unfencedReplicas === 0) return { endpoints, unfencedReplicas }
  host.logger.info('not all replicas fenced', { service: attempt.group.service, term, responses: paused.map(p => ({ endpoint: p.entry.endpoint, ...p.status })) })
  return { endpoints: [...endpoints, ...await pendingDemotion], unfencedReplicas }
}

/**
 * Has the old primary step down. An endpoint that already was a replica is treated as one, since its log may lack commits.
 *
 * @returns the old primary, or an empty list if it did not step down
 */
async function demoteOldPrimary (attempt: Attempt): Promise<FencedEndpoint[]> {
  const { oldPrimary, term } = attempt
  if (oldPrimary === undefined) return []
  const before = await runOnAll(attempt, [oldPrimary], async c => await c.readStatus())
  ensureNotReplaced(attempt, before)
  if (before[0]?.status.role === 'replica') addOldPrimaryToReplicas(attempt)
  if (before[0]?.status.role !== 'primary') return []
  const after = await runOnAll(attempt, [oldPrimary], async c => await c.demote(term))
  ensureNotReplaced(attempt, after)
  return after.filter(({ status }) => status.role === 'replica').map(({ entry, status }) => describeFenced(attempt, entry, status, true))
}

/**
 * Fences the group while the old primary still works: the primary steps down, then its replicas receive the rest of its log.
 *
 * @returns the replicas that hold the whole log, and the old primary; empty if it did not step down
 */
async function fencePlannedChange (attempt: Attempt): Promise<FencedGroup> {
  const { host, replicas } = attempt
  const followers = await runOnAll(attempt, replicas, async c => await c.readStatus())
  ensureNotReplaced(attempt, followers)
  if (replicas.length - followers.length > MAX_UNFENCED_BESIDE_PRIMARY) return { endpoints: [], unfencedReplicas: replicas.length - followers.length }
  const [steppedDown] = await demoteOldPrimary(attempt)
  if (steppedDown === undefined) return attempt.oldPrimary === undefined ? await fenceReplicas(attempt) : { endpoints: [], unfencedReplicas: replicas.length }
  const deadlineMs = host.clock.readNow() + CATCH_UP_TIMEOUT_MS
  for (;;) {
    const statuses = await runOnAll(attempt, replicas, async c => await c.readStatus())
    ensureNotReplaced(attempt, statuses)
    const caughtUp = statuses.filter(({ status }) => comparePositions(status.received, steppedDown.received) >= 0).map(({ entry, status }) => describeFenced(attempt, entry, status, false))
    const unfencedReplicas = replicas.length - statuses.length
    if (caughtUp.length > 0) return { endpoints: [...caughtUp, steppedDown], unfencedReplicas }
    if (host.clock.readNow() >= deadlineMs) return await verifyFence(attempt, { endpoints: [steppedDown], unfencedReplicas })
    await waitFor(RETRY_DELAY_MS)
  }
}

/** An endpoint whose log is shorter than it has been has lost it, and counts as just started even if its restart is not registered yet. */
function describeFenced ({ group }: Attempt, entry: EndpointEntry, { received }: EndpointStatus, isOldPrimary: boolean): FencedEndpoint {
  const latest = group.pools.get(entry.endpoint)?.latestPosition ?? null
  const hasLostLog = latest !== null && comparePositions(received, latest) < 0
  return { endpoint: entry.endpoint, received, isDraining: entry.isDraining, ageMs: hasLostLog ? 0 : Date.now() - entry.startedAtMs, isOldPrimary }
}

/** Waits until the lease of the old primary has expired on VMs that did not confirm the revocation and may still send it reads. */
async function waitForLeases (attempt: Attempt, fencedAtMs: number): Promise<void> {
  const { host, group } = attempt
  const waitMs = fencedAtMs + LEADER_LEASE_MS - host.clock.readNow()
  host.logger.info('waiting for leadership leases to expire', { service: group.service, waitMs: Math.round(waitMs) })
  if (waitMs > 0) await waitFor(waitMs)
}

/**
 * Reads the positions of the fenced endpoints again after a wait. One that does not respond, or whose log has become shorter because it
 * has restarted without it, counts as unfenced; a replica that was resumed by a restart is paused again.
 */
async function verifyFence (attempt: Attempt, { endpoints, unfencedReplicas }: FencedGroup): Promise<FencedGroup> {
  const { host, group, replicas, oldPrimary, term } = attempt
  const isPlanned = attempt.reason === 'primary draining'
  const pendingStatus = runOnAll(attempt, oldPrimary === undefined ? [] : [oldPrimary], async c => await c.readStatus())
  const statuses = await runOnAll(attempt, replicas, async c => isPlanned ? await c.readStatus() : await c.pause(term))
  ensureNotReplaced(attempt, statuses)
  const statusByEndpoint = new Map([...statuses, ...await pendingStatus].map(({ entry, status }) => [entry.endpoint, status]))
  const verified = endpoints.flatMap(f => {
    const status = statusByEndpoint.get(f.endpoint)
    if (status === undefined || comparePositions(status.received, f.received) < 0) return []
    return isPlanned || f.isOldPrimary || status.pausedForTerm >= term ? [{ ...f, received: status.received }] : []
  })
  if (verified.length < endpoints.length) host.logger.warn('fenced endpoints do not respond, or have lost their logs or their pause', { service: group.service, term, before: endpoints, after: Object.fromEntries(statusByEndpoint) })
  const lostReplicas = endpoints.filter(f => !f.isOldPrimary).length - verified.filter(f => !f.isOldPrimary).length
  return { endpoints: verified, unfencedReplicas: unfencedReplicas + lostReplicas }
}

/** Requests the promotion and waits until it takes effect. @returns the endpoint, or `null` if it did not become primary */
async function requestPromotion (attempt: Attempt, endpoint: string): Promise<string | null> {
  const { host, group } = attempt
  const claim = await host.claims.ensureUsable(attempt.claim)
  if (claim === null) {
    host.logger.warn('promotion cancelled, the failover claim has expired', { service: group.service })
    return null
  }
  attempt.claim = claim
  const order = { service: group.service, endpoint, holder: host.vm, fencingToken: claim.fencingToken }
  const result = await host.promoter.promote(order, PROMOTE_TIMEOUT_MS)
  host.logger.warn('promotion requested', { ...order, result })
  if (result === 'refused' || result === 'busy') return null
  return await waitForEffect(attempt, endpoint)
}

/**
 * Polls the endpoint until it reports that it is primary. Keeps the claim meanwhile, so that no other VM promotes a second endpoint while
 * this order may still take effect.
 *
 * @returns `null` if it did not in time
 */
async function waitForEffect (attempt: Attempt, endpoint: string): Promise<string | null> {
  const { host, group, replicas, oldPrimary } = attempt
  const entry = [...replicas, ...oldPrimary === undefined ? [] : [oldPrimary]].find(e => e.endpoint === endpoint)
  const requestedAtMs = host.clock.readNow()
  const deadlineMs = requestedAtMs + PROMOTION_EFFECT_TIMEOUT_MS
  if (entry === undefined) return null
  while (host.clock.readNow() < deadlineMs) {
    await waitFor(STATUS_INTERVAL_MS)
    await updateClaim(attempt)
    const sentAtMs = host.clock.readNow()
    const [known] = await runOnAll(attempt, [entry], async c => await c.readStatus())
    if (known?.status.role !== 'primary') continue
    host.logger.warn('promotion took effect', { service: group.service, endpoint, term: known.status.term, received: known.status.received, orderAgeMs: Math.round(host.clock.readNow() - requestedAtMs) })
    attempt.term = known.status.term
    attempt.leadershipVerifiedAtMs = sentAtMs
    return endpoint
  }
  host.logger.warn('promotion order has not taken effect in time', { service: group.service, endpoint, orderAgeMs: Math.round(host.clock.readNow() - requestedAtMs) })
  return null
}

/**
 * Publishes the outcome, resumes the replicas, demotes the replaced primary and releases the claim. If another VM has claimed the duty
 * meanwhile, it may have paused the same replicas, and relies on that; then they are left to it.
 */
async function finishAttempt (attempt: Attempt, promoted: string | null): Promise<void> {
  const { host, group, replicas, oldPrimary, term } = attempt
  if (promoted !== null) host.publishOutcome(group, promoted, term, attempt.leadershipVerifiedAtMs)
  if (!await ensureClaim(attempt)) return
  if (promoted === null) {
    host.logger.warn('promotion attempt ended without a promotion, revocation ended and replicas resumed', { service: group.service, term })
    host.publishOutcome(group, null, term, attempt.leadershipVerifiedAtMs)
  }
  const others = replicas.filter(e => e.endpoint !== promoted)
  await runOnAll(attempt, others, async c => await c.resume())
  if (oldPrimary !== undefined && promoted !== null && promoted !== oldPrimary.endpoint) await runOnAll(attempt, [oldPrimary], async c => await c.demote(term))
  await host.claims.release(attempt.claim)
}

/** Claims the duty again if the attempt's claim has expired. @returns whether this VM holds it; `undefined` if the store did not respond */
async function updateClaim (attempt: Attempt): Promise<boolean | undefined> {
  const { host, group } = attempt
  if (host.claims.isUsable(attempt.claim)) return true
  try {
    const renewed = await host.claims.claim(group.service)
    attempt.claim = renewed ?? attempt.claim
    return renewed !== null
  } catch (error) {
    host.logger.info('renewal of the failover claim failed', { service: group.service, reason: describeError(error) })
    return undefined
  }
}

/** Ensures that this VM holds the claim; retries for some seconds while the store does not respond. @returns whether it does */
async function ensureClaim (attempt: Attempt): Promise<boolean> {
  const { host, group } = attempt
  for (let attempts = 1; attempts <= MAX_RENEWAL_ATTEMPTS; attempts++) {
    const isHeld = await updateClaim(attempt)
    if (isHeld === true) return true
    if (isHeld === false) {
      host.logger.warn('replicas not resumed, another VM holds the failover claim', { service: group.service })
      return false
    }
    await waitFor(RENEWAL_RETRY_DELAY_MS)
  }
  host.logger.warn('replicas not resumed, the failover claim has expired and the store does not respond', { service: group.service })
  return false
}

interface EndpointResult { entry: EndpointEntry, status: EndpointStatus }

/** Runs a command on several endpoints at once. @returns the statuses of those that responded */
async function runOnAll (attempt: Attempt, entries: readonly EndpointEntry[], command: ControlCommand): Promise<EndpointResult[]> {
  const results = await Promise.all(entries.map(async entry => ({ entry, status: await runWithRetries(attempt, entry, command) })))
  return results.flatMap(({ entry, status }) => status === null ? [] : [{ entry, status }])
}

/** Runs a command, with retries while the endpoint is busy. @returns `null` if it stayed busy or did not respond */
async function runWithRetries ({ host }: Attempt, entry: EndpointEntry, command: ControlCommand): Promise<EndpointStatus | null> {
  for (let attempts = 1; attempts <= MAX_BUSY_ATTEMPTS; attempts++) {
    try {
      const status = await host.control.run(entry, command)
      if (status !== null) return status
    } catch (error) {
      host.logger.info('control command failed', { endpoint: entry.endpoint, reason: describeError(error) })
      return null
    }
    await waitFor(RETRY_DELAY_MS)
  }
  return null
}
