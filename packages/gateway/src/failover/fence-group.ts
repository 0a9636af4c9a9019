import { comparePositions, describeError } from '@camphorpitch/wire'
import type { EndpointConnection, EndpointStatus } from '../backend/endpoint-connector.ts'
import type { EndpointEntry } from '../directory/endpoint-entry.ts'
import { LEADER_LEASE_MS } from '../freshness/group-state.ts'
import { waitFor } from '../runtime/wait-at-most.ts'
import { ensureNotReplaced, isNewer } from './check-leadership.ts'
import { isPlannedChange, MAX_UNFENCED_BESIDE_PRIMARY, type FencedEndpoint } from './decide-promotion.ts'
import { isSuperseded } from './order-decisions.ts'
import { RETRY_DELAY_MS, runOnAll, type Attempt } from './promotion-attempt.ts'
import { waitForCandidateOutside } from './wait-for-candidate.ts'

/** Time that the replicas have to receive the complete log of a primary that has stepped down. */
const CATCH_UP_TIMEOUT_MS = 600

/** Sets a term that no endpoint has seen yet, in case the primary's term is unknown because the primary has not responded so far. */
export async function updateTerm (attempt: Attempt): Promise<void> {
  if (attempt.term > 1) return
  const { oldPrimary, replicas } = attempt
  const statuses = await runOnAll(attempt, oldPrimary === undefined ? replicas : [...replicas, oldPrimary], async c => await c.readStatus())
  attempt.replacedTerm = Math.max(0, ...statuses.map(({ status }) => status.term))
  attempt.term = Math.max(1, ...statuses.map(({ status }) => Math.max(status.term, status.pausedForTerm) + 1))
  ensureNotReplaced(attempt, statuses)
  if (statuses.some(({ entry, status }) => entry === oldPrimary && status.role === 'replica')) addOldPrimaryToReplicas(attempt)
}

/** Counts the endpoint that was taken for the primary among the replicas. */
export function addOldPrimaryToReplicas (attempt: Attempt): void {
  if (attempt.oldPrimary !== undefined) attempt.replicas = [...attempt.replicas, attempt.oldPrimary]
  attempt.formerPrimary = attempt.oldPrimary
  attempt.oldPrimary = undefined
}

/**
 * Pauses a replica at `term` or a later one. A pause takes effect only above the term of an earlier one, which the replica may still
 * report although it was resumed.
 *
 * @returns its status, before the pause if it is none or has a newer term
 */
export async function pauseReplica (connection: EndpointConnection, term: number): Promise<EndpointStatus | null> {
  const before = await connection.readStatus()
  if (before === null || before.role === 'primary' || isNewer(before, term)) return before
  return await connection.pause(Math.max(term, before.pausedForTerm + 1))
}

/** The endpoints that receive nothing more from the old primary. */
export interface FencedGroup {
  endpoints: FencedEndpoint[]
  /** Number of replicas that may still receive from it or from a primary that is not known. */
  unfencedReplicas: number
}

/**
 * Pauses the replicas, so that they receive nothing more from the old primary. If some can't be paused, the old primary counts
 * as well, if it steps down on request.
 */
export async function fenceReplicas (attempt: Attempt): Promise<FencedGroup> {
  const { host, replicas, term } = attempt
  const pendingDemotion = demoteOldPrimary(attempt)
  attempt.pendingDemotion = pendingDemotion
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
  for (const { entry: { endpoint, startedAtMs }, status: { role, term: ledTerm, received } } of after) if (role === 'replica') attempt.steppedDown = { endpoint, startedAtMs, term: ledTerm, received }
  const demoted = after.filter(({ status }) => status.role === 'replica')
  return demoted.map(({ entry, status }) => describeFenced(attempt, entry, status, !isSuperseded(attempt.claim, status.term)))
}

/**
 * Fences the group while the old primary still works: the primary steps down, then its replicas receive the rest of its log.
 *
 * @returns the replicas that hold the whole log, and the old primary; empty if it did not step down
 */
export async function fencePlannedChange (attempt: Attempt): Promise<FencedGroup> {
  const { host, replicas } = attempt
  const followers = await runOnAll(attempt, replicas, async c => await c.readStatus())
  ensureNotReplaced(attempt, followers)
  if (replicas.length - followers.length > MAX_UNFENCED_BESIDE_PRIMARY) return { endpoints: [], unfencedReplicas: replicas.length - followers.length }
  if (attempt.reason === 'primary evacuated') await waitForCandidateOutside(attempt)
  const [steppedDown] = await demoteOldPrimary(attempt)
  if (steppedDown === undefined) return attempt.oldPrimary === undefined ? await fenceReplicas(attempt) : { endpoints: [], unfencedReplicas: replicas.length }
  const deadlineMs = host.clock.readNow() + CATCH_UP_TIMEOUT_MS
  for (;;) {
    const statuses = await runOnAll(attempt, replicas, async c => await c.readStatus())
    ensureNotReplaced(attempt, statuses)
    const caughtUp = statuses.filter(({ status }) => comparePositions(status.received, steppedDown.received) >= 0).map(({ entry, status }) => describeFenced(attempt, entry, status, false))
    const unfencedReplicas = replicas.length - statuses.length
    const isLate = host.clock.readNow() >= deadlineMs
    // A replica outside of the evacuated failure domains is waited for, although another one has the whole log already.
    if (caughtUp.some(f => f.isEvacuated !== true) || (isLate && caughtUp.length > 0)) return { endpoints: [...caughtUp, steppedDown], unfencedReplicas }
    if (isLate) return await verifyFence(attempt, { endpoints: [steppedDown], unfencedReplicas })
    await waitFor(RETRY_DELAY_MS)
  }
}

/**
 * Fences the endpoint that was taken for the old primary if it has turned out to be a replica: an earlier attempt has had it step down.
 *
 * @returns the group with it; `undefined` if it has not
 */
export async function fenceFormerPrimary (attempt: Attempt, { endpoints, unfencedReplicas }: FencedGroup): Promise<FencedGroup | undefined> {
  await attempt.pendingDemotion
  const { formerPrimary, term } = attempt
  if (formerPrimary === undefined || endpoints.some(f => f.endpoint === formerPrimary.endpoint)) return undefined
  const paused = await runOnAll(attempt, [formerPrimary], async c => await pauseReplica(c, term))
  ensureNotReplaced(attempt, paused)
  const fenced = paused.filter(({ status }) => status.role === 'replica' && status.pausedForTerm >= term).map(({ entry, status }) => describeFenced(attempt, entry, status, false))
  return { endpoints: [...endpoints, ...fenced], unfencedReplicas: unfencedReplicas + 1 - fenced.length }
}

/** An endpoint whose log is shorter than it has been has lost it, and counts as just started even if its restart is not registered yet. */
function describeFenced ({ group, steppedDown }: Attempt, entry: EndpointEntry, { received, term }: EndpointStatus, hasJustSteppedDown: boolean): FencedEndpoint {
  const isFormerPrimary = steppedDown?.endpoint === entry.endpoint && steppedDown.startedAtMs === entry.startedAtMs && steppedDown.term === term && comparePositions(received, steppedDown.received) >= 0
  const isOldPrimary = hasJustSteppedDown || isFormerPrimary
  const latest = group.pools.get(entry.endpoint)?.latestPosition ?? null
  const hasLostLog = latest !== null && comparePositions(received, latest) < 0
  return { endpoint: entry.endpoint, term, received, isDraining: entry.isDraining, isEvacuated: group.evacuations.has(entry.failureDomain), ageMs: hasLostLog ? 0 : Date.now() - entry.startedAtMs, isOldPrimary, isCold: entry.warmupLeftMs > 0 }
}

/**
 * Waits until the lease of the old primary has expired on VMs that did not confirm the revocation, and may still send it statements. A
 * replica that has joined meanwhile may have acknowledged their commits, so the endpoints are listed again then.
 */
export async function waitForLeases (attempt: Attempt, fenced: FencedGroup, fencedAtMs: number): Promise<FencedGroup> {
  const { host, group } = attempt
  const waitMs = fencedAtMs + LEADER_LEASE_MS - host.waitClock.readNow()
  host.logger.info('waiting for leadership leases to expire', { service: group.service, waitMs: Math.round(waitMs) })
  if (waitMs > 0) await waitFor(waitMs)
  const isEveryReplicaListed = await fetchEndpoints(attempt)
  const verified = await verifyFence(attempt, fenced)
  // A replica that is not listed may have joined: it counts as one that could not be paused.
  return isEveryReplicaListed ? verified : { ...verified, unfencedReplicas: verified.unfencedReplicas + 1 }
}

/** Lists the endpoints again. @returns whether every replica that runs is known now */
async function fetchEndpoints ({ host, group, term }: Attempt): Promise<boolean> {
  const startedAtMs = host.clock.readNow()
  const before = [...group.pools.keys()]
  const describeInputs = (): object => ({ service: group.service, term, before, elapsedMs: Math.round(host.clock.readNow() - startedAtMs) })
  try {
    const isComplete = await host.fetchEndpoints()
    host.logger.info('endpoints listed again for a promotion', { ...describeInputs(), after: [...group.pools.keys()], isComplete })
    return isComplete
  } catch (error) {
    host.logger.warn('endpoints not listed again for a promotion', { ...describeInputs(), reason: describeError(error) })
    return false
  }
}

/**
 * Reads the positions of the fenced endpoints again after a wait. One that does not respond, or whose log has become shorter because it
 * has restarted without it, counts as unfenced. A replica that was not paused any more, or has joined, is paused; it counts as just
 * started, since it may have received commits meanwhile and lost them.
 */
async function verifyFence (attempt: Attempt, { endpoints, unfencedReplicas }: FencedGroup): Promise<FencedGroup> {
  const { host, group, oldPrimary, term } = attempt
  const isPlanned = isPlannedChange(attempt.reason)
  const joined = addJoinedReplicas(attempt)
  const pendingStatus = runOnAll(attempt, oldPrimary === undefined ? [] : [oldPrimary], async c => await c.readStatus())
  const before = await runOnAll(attempt, attempt.replicas, async c => await c.readStatus())
  ensureNotReplaced(attempt, before)
  const resumed = isPlanned ? [] : before.filter(({ status }) => status.pausedForTerm < term)
  const paused = await runOnAll(attempt, resumed.map(r => r.entry), async c => await pauseReplica(c, term))
  ensureNotReplaced(attempt, paused)
  const statuses = [...before.filter(b => !resumed.includes(b)), ...paused]
  const statusByEndpoint = new Map([...statuses, ...await pendingStatus].map(({ entry, status }) => [entry.endpoint, status]))
  const resumedNames = new Set(resumed.map(r => r.entry.endpoint))
  const candidates = [...endpoints, ...paused.filter(({ entry }) => joined.includes(entry)).map(({ entry, status }) => describeFenced(attempt, entry, status, false))]
  const verified = candidates.flatMap(f => {
    const status = statusByEndpoint.get(f.endpoint)
    if (status === undefined || comparePositions(status.received, f.received) < 0) return []
    const isFenced = isPlanned || f.isOldPrimary || status.pausedForTerm >= term
    return isFenced ? [{ ...f, received: status.received, ageMs: resumedNames.has(f.endpoint) ? 0 : f.ageMs }] : []
  })
  if (verified.length < endpoints.length || resumed.length > 0) host.logger.warn('fenced endpoints do not respond, or have lost their logs or their pause', { service: group.service, term, before: endpoints, joined: joined.map(e => e.endpoint), resumed: [...resumedNames], after: Object.fromEntries(statusByEndpoint) })
  const countReplicas = (fenced: readonly FencedEndpoint[]): number => fenced.filter(f => !f.isOldPrimary).length
  return { endpoints: verified, unfencedReplicas: unfencedReplicas + countReplicas(endpoints) + joined.length - countReplicas(verified) }
}

/** Counts replicas that have joined since the attempt began. @returns them */
function addJoinedReplicas (attempt: Attempt): EndpointEntry[] {
  const { group, replicas, oldPrimary } = attempt
  const known = new Set([...replicas, ...oldPrimary === undefined ? [] : [oldPrimary]].map(e => e.endpoint))
  const joined = [...group.pools.values()].map(p => p.entry).filter(e => !known.has(e.endpoint))
  attempt.replicas = [...replicas, ...joined]
  return joined
}
