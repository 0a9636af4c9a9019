import type { InstanceStatus, Step } from '@camphorpitch/wire'
import { handleElectionFailure, handleFenceGrant, startElection } from './election.ts'
import { countReachableInstances, findHighestTerm, findReachablePrimary, findUsablePrimary, hasElapsed, hasRecentReplicaContact, isPrimaryConfirmationPending, isPrimaryLeaving, isReachable, isReplicationLost, listProbedInstances } from './health.ts'
import type { FailoverEffect, FailoverMessage } from './messages.ts'
import { listFollowEffects } from './list-follow-effects.ts'
import type { FailoverState, ProbedInstance } from './state.ts'

/**
 * Decides when to change the primary of a database group, and how.
 *
 * A promoter raises the term on a quorum of the instances, which from then on accept nothing from a
 * primary of an older term, promotes the one among them whose log ends last, and makes the others
 * follow it. An instance grants a term to one promoter only, so a term has at most one primary even if
 * several VMs promote at the same time; rank and backoff only make competing promotions rare.
 */
export function decideFailover (state: FailoverState, message: FailoverMessage, nowMs: number): Step<FailoverState, FailoverEffect> {
  return { state, effects: handleMessage(state, message, nowMs) }
}

function handleMessage (state: FailoverState, message: FailoverMessage, nowMs: number): FailoverEffect[] {
  if (message.type === 'tick') return handleTick(state, message.rank, nowMs)
  const instance = state.instances.get(message.endpoint)
  if (instance === undefined) return []
  switch (message.type) {
    case 'probeSent':
      instance.unresponsiveSinceMs ??= nowMs
      return []
    case 'probeAnswered': return handleStatus(state, instance, message.sentAtMs, message.status, nowMs)
    case 'probeFailed':
      instance.unresponsiveSinceMs ??= message.sentAtMs
      instance.connectionRefusedSinceMs = message.refused ? instance.connectionRefusedSinceMs ?? message.sentAtMs : null
      return []
    case 'fenceGranted': return handleFenceGrant(state, instance, message)
    case 'fenceRefused': return handleElectionFailure(state, message.promoter, `${message.endpoint} refused the term`, nowMs)
    case 'promoteAnswered': return handlePromotion(state, instance, message, nowMs)
    case 'promoteFailed': return handleElectionFailure(state, message.promoter, `${message.endpoint} was not promoted`, nowMs)
  }
}

function handleStatus (state: FailoverState, instance: ProbedInstance, sentAtMs: number, status: InstanceStatus, nowMs: number): FailoverEffect[] {
  instance.unresponsiveSinceMs = null
  instance.connectionRefusedSinceMs = null
  if (sentAtMs < instance.probedAtMs && instance.status !== null) return []
  instance.status = status
  instance.probedAtMs = sentAtMs
  return [...updateOutage(state, nowMs), ...listFollowEffects(state, nowMs), { type: 'changed' }]
}

function handleTick (state: FailoverState, rank: number, nowMs: number): FailoverEffect[] {
  const sinceLastTickMs = nowMs - state.lastTickAtMs
  state.lastTickAtMs = nowMs
  state.rank = rank
  if (sinceLastTickMs > state.timings.processPauseThresholdMs) resetUnresponsiveTimes(state, nowMs)
  const effects = updateOutage(state, nowMs)
  const isExpired = state.election !== null && hasElapsed(state.election.startedAtMs, state.timings.electionTimeoutMs, nowMs)
  if (isExpired) effects.push(...handleElectionFailure(state, state.election!.promoter, 'timeout', nowMs))
  const reason = findElectionReason(state, nowMs)
  if (reason !== null) effects.push(...startElection(state, reason, nowMs))
  return effects
}

/** Restarts the times without a response after a pause of this process, since responses may have arrived during it but are not read yet. */
function resetUnresponsiveTimes (state: FailoverState, nowMs: number): void {
  for (const i of listProbedInstances(state)) {
    if (i.unresponsiveSinceMs !== null) i.unresponsiveSinceMs = nowMs
    if (i.connectionRefusedSinceMs !== null) i.connectionRefusedSinceMs = nowMs
  }
  if (state.outage !== null) state.outage.sinceMs = nowMs
}

/** Records the beginning, the end or a new reason of an outage. */
function updateOutage (state: FailoverState, nowMs: number): FailoverEffect[] {
  const reason = findOutageReason(state, nowMs)
  const previousOutage = state.outage
  if (reason === null) {
    state.outage = null
    if (previousOutage === null) return []
    const primary = findReachablePrimary(state, nowMs)
    return [{ type: 'log', stage: 'recovered', fields: { primary: primary?.endpoint.endpoint, outageDurationMs: Math.round(nowMs - previousOutage.sinceMs) } }, { type: 'changed' }]
  }
  if (previousOutage !== null) {
    previousOutage.reason = reason
    return []
  }
  state.outage = { sinceMs: nowMs, reason }
  return [{ type: 'log', stage: 'primaryLost', fields: { reason, term: findHighestTerm(state) } }, { type: 'changed' }]
}

function findOutageReason (state: FailoverState, nowMs: number): string | null {
  const primary = findUsablePrimary(state)
  if (primary === undefined) return 'no primary'
  if (!isReachable(state, primary, nowMs)) return 'primary unreachable'
  if (primary.status!.term < findHighestTerm(state)) return 'newer term without a primary'
  if (isReplicationLost(state, primary.status!, nowMs)) return 'primary cut off from its replicas'
  return isPrimaryLeaving(state, primary, nowMs) ? 'primary leaving' : null
}

/** Why this VM should start an election now; `null` when it should not. */
function findElectionReason (state: FailoverState, nowMs: number): string | null {
  const { outage, timings } = state
  if (outage === null || !canStartElection(state, nowMs)) return null
  const waitedMs = nowMs - outage.sinceMs - state.rank * timings.delayPerRankMs
  if (waitedMs < 0) return null
  const highestTerm = findHighestTerm(state)
  const primary = findUsablePrimary(state)
  const isPrimaryOfHighestTerm = primary?.status?.term === highestTerm
  if (isPrimaryOfHighestTerm && isReachable(state, primary!, nowMs)) return outage.reason
  if (hasRecentReplicaContact(state, highestTerm, nowMs) && waitedMs < timings.vmLinkLostThresholdMs) return null
  if (isPrimaryOfHighestTerm) return outage.reason
  const isElectionDue = waitedMs >= timings.electionTimeoutMs && !isPrimaryConfirmationPending(state, nowMs)
  return isElectionDue ? outage.reason : null
}

/** Whether an election may start. Without a reachable quorum it would only fence the instances that it reaches, and could not promote one. */
function canStartElection (state: FailoverState, nowMs: number): boolean {
  return state.election === null && nowMs >= state.nextElectionNotBeforeMs && countReachableInstances(state, nowMs) >= state.quorumSize
}

function handlePromotion (state: FailoverState, instance: ProbedInstance, message: Extract<FailoverMessage, { type: 'promoteAnswered' }>, nowMs: number): FailoverEffect[] {
  const { election } = state
  const { promoter, sentAtMs, status } = message
  if (election === null || election.promoter !== promoter) return []
  const electionDurationMs = Math.round(nowMs - election.startedAtMs)
  state.election = null
  state.failedElectionCount = 0
  const logEffect: FailoverEffect = { type: 'log', stage: 'promoted', fields: { endpoint: instance.endpoint.endpoint, term: status.term, logged: status.logged, electionDurationMs } }
  return [logEffect, ...handleStatus(state, instance, sentAtMs, status, nowMs)]
}
