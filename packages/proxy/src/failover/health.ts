import type { InstanceStatus } from '@camphorpitch/wire'
import type { FailoverState, ProbedInstance } from './state.ts'

/** Read-only queries on the failover state of a group. */

export function listProbedInstances (state: FailoverState): ProbedInstance[] {
  return [...state.instances.values()]
}

/** Whether the instance's missing responses and refused connections are still below their thresholds. */
export function isReachable (state: FailoverState, instance: ProbedInstance, nowMs: number): boolean {
  const { unreachableThresholdMs, connectionRefusedThresholdMs } = state.timings
  if (hasElapsed(instance.connectionRefusedSinceMs, connectionRefusedThresholdMs, nowMs)) return false
  return !hasElapsed(instance.unresponsiveSinceMs, unreachableThresholdMs, nowMs)
}

/** Whether at least `durationMs` have passed since `sinceMs`; false for `null`. */
export function hasElapsed (sinceMs: number | null, durationMs: number, nowMs: number): boolean {
  return sinceMs !== null && nowMs - sinceMs >= durationMs
}

/** Highest term that any instance is known to have promised. */
export function findHighestTerm (state: FailoverState): number {
  return Math.max(0, ...listProbedInstances(state).map(i => i.status?.term ?? 0))
}

/**
 * The primary with the highest term, reachable or not; `undefined` when there is none, or when so many
 * instances have promised a newer term that its writes can no longer become durable.
 */
export function findUsablePrimary (state: FailoverState): ProbedInstance | undefined {
  const primaries = listProbedInstances(state).filter(i => i.status?.role === 'primary')
  const newestPrimary = primaries.sort((a, b) => b.status!.term - a.status!.term)[0]
  if (newestPrimary === undefined) return undefined
  const newerTermCount = listProbedInstances(state).filter(i => (i.status?.term ?? 0) > newestPrimary.status!.term).length
  return state.instances.size - newerTermCount >= state.quorumSize ? newestPrimary : undefined
}

/** The usable primary, if this VM can reach it. */
export function findReachablePrimary (state: FailoverState, nowMs: number): ProbedInstance | undefined {
  const primary = findUsablePrimary(state)
  return primary !== undefined && isReachable(state, primary, nowMs) ? primary : undefined
}

export function countReachableInstances (state: FailoverState, nowMs: number): number {
  return listProbedInstances(state).filter(i => i.status !== null && isReachable(state, i, nowMs)).length
}

/** Whether the primary is lost, or has not responded for so long that all instances are probed on every tick. */
export function isPrimarySuspected (state: FailoverState, nowMs: number): boolean {
  const unresponsiveSinceMs = findUsablePrimary(state)?.unresponsiveSinceMs ?? null
  return state.outage !== null || hasElapsed(unresponsiveSinceMs, state.timings.suspicionThresholdMs, nowMs)
}

/** The instances to probe in a regular round: the primary in each round, the others in every second one; all of them while there is no usable primary. */
export function listInstancesToProbe (state: FailoverState, round: number): ProbedInstance[] {
  const primary = findUsablePrimary(state)
  return primary === undefined || round % 2 === 0 ? listProbedInstances(state) : [primary]
}

/** Replicas in `term` that this VM can reach; they follow the one primary of that term. */
export function listReachableReplicas (state: FailoverState, term: number, nowMs: number): ProbedInstance[] {
  return listProbedInstances(state).filter(i => i.status?.role === 'replica' && i.status.term === term && isReachable(state, i, nowMs))
}

/** Milliseconds since a replica's last contact with its primary; `undefined` when the replica does not report it. */
function computePrimaryContactAgeMs ({ status, probedAtMs }: ProbedInstance, nowMs: number): number | undefined {
  return status?.primaryHeardMs === undefined ? undefined : status.primaryHeardMs + nowMs - probedAtMs
}

/** Whether a replica was recently in contact with the primary of `term`, although this VM may not reach that primary. */
export function hasRecentReplicaContact (state: FailoverState, term: number, nowMs: number): boolean {
  return listReachableReplicas(state, term, nowMs).some(r => (computePrimaryContactAgeMs(r, nowMs) ?? Infinity) < state.timings.maxPrimaryContactAgeMs)
}

/** Whether too few replicas are in contact with the primary for its writes to become durable, although enough of them could follow another. */
export function isReplicationLost (state: FailoverState, primary: InstanceStatus, nowMs: number): boolean {
  const replicas = listReachableReplicas(state, primary.term, nowMs)
  const replicasInContactCount = replicas.filter(r => (computePrimaryContactAgeMs(r, nowMs) ?? 0) < state.timings.replicationLostThresholdMs).length
  return replicas.length >= state.quorumSize && replicasInContactCount < state.quorumSize - 1
}

/** Whether the primary is leaving and a quorum of reachable replicas, at least one of which is not leaving, can replace it. */
export function isPrimaryLeaving (state: FailoverState, primary: ProbedInstance, nowMs: number): boolean {
  if (primary.endpoint.state !== 'leaving') return false
  const replicas = listReachableReplicas(state, primary.status!.term, nowMs)
  return replicas.length >= state.quorumSize && replicas.some(r => r.endpoint.state !== 'leaving')
}

/**
 * Whether replicas in the highest term follow a reachable instance whose last status is from an older
 * term, or which has none yet: its next status may show that it is their primary.
 */
export function isPrimaryConfirmationPending (state: FailoverState, nowMs: number): boolean {
  const term = findHighestTerm(state)
  return listProbedInstances(state).some(({ status }) => {
    if (status?.term !== term || status.role !== 'replica' || status.primary === null) return false
    const primary = state.instances.get(status.primary)
    if (primary === undefined || !isReachable(state, primary, nowMs)) return false
    return primary.status === null || primary.status.term < term
  })
}

/** Estimate while no quorum of the instances is reachable. */
const NO_QUORUM_RETRY_AFTER_MS = 2_000
/** Expected duration of an election, from the first fence to the new primary. */
const EXPECTED_ELECTION_MS = 100

/** Milliseconds until writes are expected to be accepted again; 0 when they are accepted now. */
export function estimateRecoveryMs (state: FailoverState, nowMs: number): number {
  const { timings, outage } = state
  if (findReachablePrimary(state, nowMs) !== undefined) return 0
  if (countReachableInstances(state, nowMs) < state.quorumSize) return NO_QUORUM_RETRY_AFTER_MS
  const untilRetryMs = Math.max(0, state.nextElectionNotBeforeMs - nowMs)
  const untilElectionMs = outage === null ? timings.unreachableThresholdMs : Math.max(0, outage.sinceMs + timings.electionTimeoutMs - nowMs)
  return EXPECTED_ELECTION_MS + Math.max(untilRetryMs, state.election === null ? untilElectionMs : 0)
}
