import type { InstanceStatus } from '@camphorpitch/wire'
import type { FailoverState, ProbedInstance } from './state.ts'

/** Questions about a group that change nothing. */

export function listProbedInstances (state: FailoverState): ProbedInstance[] {
  return [...state.instances.values()]
}

export function isReachable (state: FailoverState, instance: ProbedInstance, nowMs: number): boolean {
  const { unreachableThresholdMs, connectionRefusedThresholdMs } = state.timings
  if (hasElapsed(instance.connectionRefusedSinceMs, connectionRefusedThresholdMs, nowMs)) return false
  return !hasElapsed(instance.unresponsiveSinceMs, unreachableThresholdMs, nowMs)
}

export function hasElapsed (sinceMs: number | null, durationMs: number, nowMs: number): boolean {
  return sinceMs !== null && nowMs - sinceMs >= durationMs
}

/** Highest term that any instance is known to have promised to. */
export function findHighestTerm (state: FailoverState): number {
  return Math.max(0, ...listProbedInstances(state).map(i => i.status?.term ?? 0))
}

/** The instance that is primary in the highest term, reachable or not, unless so many promised a newer term that nothing it writes can become durable. */
export function findUsablePrimary (state: FailoverState): ProbedInstance | undefined {
  const primaries = listProbedInstances(state).filter(i => i.status?.role === 'primary')
  const newestPrimary = primaries.sort((a, b) => b.status!.term - a.status!.term)[0]
  if (newestPrimary === undefined) return undefined
  const newerTermCount = listProbedInstances(state).filter(i => (i.status?.term ?? 0) > newestPrimary.status!.term).length
  return state.instances.size - newerTermCount >= state.quorumSize ? newestPrimary : undefined
}

export function findReachablePrimary (state: FailoverState, nowMs: number): ProbedInstance | undefined {
  const primary = findUsablePrimary(state)
  return primary !== undefined && isReachable(state, primary, nowMs) ? primary : undefined
}

export function countReachableInstances (state: FailoverState, nowMs: number): number {
  return listProbedInstances(state).filter(i => i.status !== null && isReachable(state, i, nowMs)).length
}

/** Whether the group is to be probed with each tick, because its primary is lost or may be. */
export function isPrimarySuspected (state: FailoverState, nowMs: number): boolean {
  const unresponsiveSinceMs = findUsablePrimary(state)?.unresponsiveSinceMs ?? null
  return state.outage !== null || hasElapsed(unresponsiveSinceMs, state.timings.suspicionThresholdMs, nowMs)
}

/** The instances to probe in one of the regular rounds: the primary in each, the others in every second one. */
export function listInstancesToProbe (state: FailoverState, round: number): ProbedInstance[] {
  const primary = findUsablePrimary(state)
  return primary === undefined || round % 2 === 0 ? listProbedInstances(state) : [primary]
}

/** Replicas in `term` that answer this VM; they follow the one primary of that term. */
export function listReachableReplicas (state: FailoverState, term: number, nowMs: number): ProbedInstance[] {
  return listProbedInstances(state).filter(i => i.status?.role === 'replica' && i.status.term === term && isReachable(state, i, nowMs))
}

/** Milliseconds since a replica last heard from its primary, `undefined` when it does not say. */
function computePrimaryContactAgeMs ({ status, probedAtMs }: ProbedInstance, nowMs: number): number | undefined {
  return status?.primaryHeardMs === undefined ? undefined : status.primaryHeardMs + nowMs - probedAtMs
}

/** Whether a replica hears the primary of `term`, although this VM may not. */
export function hasRecentReplicaContact (state: FailoverState, term: number, nowMs: number): boolean {
  return listReachableReplicas(state, term, nowMs).some(r => (computePrimaryContactAgeMs(r, nowMs) ?? Infinity) < state.timings.maxPrimaryContactAgeMs)
}

/** Whether so few replicas hear the primary that its writes cannot become durable, though enough could follow another. */
export function isReplicationLost (state: FailoverState, primary: InstanceStatus, nowMs: number): boolean {
  const replicas = listReachableReplicas(state, primary.term, nowMs)
  const replicasInContactCount = replicas.filter(r => (computePrimaryContactAgeMs(r, nowMs) ?? 0) < state.timings.replicationLostThresholdMs).length
  return replicas.length >= state.quorumSize && replicasInContactCount < state.quorumSize - 1
}

/** Whether the primary leaves and enough others that stay can go on without it. */
export function isPrimaryLeaving (state: FailoverState, primary: ProbedInstance, nowMs: number): boolean {
  if (primary.endpoint.state !== 'leaving') return false
  const replicas = listReachableReplicas(state, primary.status!.term, nowMs)
  return replicas.length >= state.quorumSize && replicas.some(r => r.endpoint.state !== 'leaving')
}

/** Whether an instance that others follow in the highest term may yet answer that it is their primary. */
export function isPrimaryConfirmationPending (state: FailoverState, nowMs: number): boolean {
  const term = findHighestTerm(state)
  return listProbedInstances(state).some(({ status }) => {
    if (status?.term !== term || status.role !== 'replica' || status.primary === null) return false
    const primary = state.instances.get(status.primary)
    if (primary === undefined || !isReachable(state, primary, nowMs)) return false
    return primary.status === null || primary.status.term < term
  })
}

const NO_QUORUM_RETRY_AFTER_MS = 2_000
const EXPECTED_ELECTION_MS = 100

/** When writes are expected to be accepted again, in milliseconds from now; 0 when they are. */
export function estimateRecoveryMs (state: FailoverState, nowMs: number): number {
  const { timings, outage } = state
  if (findReachablePrimary(state, nowMs) !== undefined) return 0
  if (countReachableInstances(state, nowMs) < state.quorumSize) return NO_QUORUM_RETRY_AFTER_MS
  const untilRetryMs = Math.max(0, state.nextElectionNotBeforeMs - nowMs)
  const untilElectionMs = outage === null ? timings.unreachableThresholdMs : Math.max(0, outage.sinceMs + timings.electionTimeoutMs - nowMs)
  return EXPECTED_ELECTION_MS + Math.max(untilRetryMs, state.election === null ? untilElectionMs : 0)
}
