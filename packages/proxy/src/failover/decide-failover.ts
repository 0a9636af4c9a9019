import type { InstanceStatus, Step } from '@camphorpitch/wire'
import { handleElectionFailure, handleGrant, startElection } from './election.ts'
import { countReachable, findReachablePrimary, findUsablePrimary, isHeardByReplica, isOlder, isPrimaryExpected, isPrimaryLeaving, isReachable, isReplicationLost, listProbed, readHighestTerm } from './health.ts'
import type { FailoverEffect, FailoverMessage } from './messages.ts'
import { listFollowEffects } from './repair.ts'
import type { FailoverState, ProbedInstance } from './state.ts'

/**
 * Decides when to change the primary of a database group, and how.
 *
 * A promoter raises the term on a quorum of the instances, which from then on take nothing from an
 * older primary, promotes the one among them whose log ends last, and points the others at it. An
 * instance grants a term to one promoter only, so a term has at most one primary whoever else
 * promotes at the same time; rank and back-off only keep promoters out of each other's way.
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
      instance.silentSinceMs ??= nowMs
      return []
    case 'probeAnswered': return handleStatus(state, instance, message.sentAtMs, message.status, nowMs)
    case 'probeFailed':
      instance.silentSinceMs ??= message.sentAtMs
      instance.refusedSinceMs = message.refused ? instance.refusedSinceMs ?? message.sentAtMs : null
      return []
    case 'fenceGranted': return handleGrant(state, instance, message)
    case 'fenceRefused': return handleElectionFailure(state, message.promoter, `${message.endpoint} refused the term`, nowMs)
    case 'promoteAnswered': return handlePromoted(state, instance, message, nowMs)
    case 'promoteFailed': return handleElectionFailure(state, message.promoter, `${message.endpoint} was not promoted`, nowMs)
  }
}

function handleStatus (state: FailoverState, instance: ProbedInstance, sentAtMs: number, status: InstanceStatus, nowMs: number): FailoverEffect[] {
  instance.silentSinceMs = null
  instance.refusedSinceMs = null
  if (sentAtMs < instance.probedAtMs && instance.status !== null) return []
  instance.status = status
  instance.probedAtMs = sentAtMs
  return [...updateOutage(state, nowMs), ...listFollowEffects(state, nowMs), { type: 'changed' }]
}

function handleTick (state: FailoverState, rank: number, nowMs: number): FailoverEffect[] {
  const gapMs = nowMs - state.lastTickMs
  state.lastTickMs = nowMs
  state.rank = rank
  if (gapMs > state.timings.pauseGapMs) resetSilence(state, nowMs)
  const effects = updateOutage(state, nowMs)
  const expired = state.election !== null && isOlder(state.election.startedAtMs, state.timings.electionTimeoutMs, nowMs)
  if (expired) effects.push(...handleElectionFailure(state, state.election!.promoter, 'timeout', nowMs))
  const reason = findElectionReason(state, nowMs)
  if (reason !== null) effects.push(...startElection(state, reason, nowMs))
  return effects
}

/** After a pause of this process, answers may wait unread: nobody else's silence counts. */
function resetSilence (state: FailoverState, nowMs: number): void {
  for (const i of listProbed(state)) {
    if (i.silentSinceMs !== null) i.silentSinceMs = nowMs
    if (i.refusedSinceMs !== null) i.refusedSinceMs = nowMs
  }
  if (state.outage !== null) state.outage.sinceMs = nowMs
}

function updateOutage (state: FailoverState, nowMs: number): FailoverEffect[] {
  const reason = describeOutage(state, nowMs)
  const before = state.outage
  if (reason === null) {
    state.outage = null
    if (before === null) return []
    const primary = findReachablePrimary(state, nowMs)
    return [{ type: 'log', stage: 'recovered', fields: { primary: primary?.endpoint.endpoint, afterMs: Math.round(nowMs - before.sinceMs) } }, { type: 'changed' }]
  }
  if (before !== null) {
    before.reason = reason
    return []
  }
  state.outage = { sinceMs: nowMs, reason }
  return [{ type: 'log', stage: 'primaryLost', fields: { reason, term: readHighestTerm(state) } }, { type: 'changed' }]
}

function describeOutage (state: FailoverState, nowMs: number): string | null {
  const primary = findUsablePrimary(state)
  if (primary === undefined) return 'no primary'
  if (!isReachable(state, primary, nowMs)) return 'primary unreachable'
  if (primary.status!.term < readHighestTerm(state)) return 'newer term without a primary'
  if (isReplicationLost(state, primary.status!, nowMs)) return 'primary cut off from its replicas'
  return isPrimaryLeaving(state, primary, nowMs) ? 'primary leaving' : null
}

/** Why this VM should now raise the term; `null` when it should not. */
function findElectionReason (state: FailoverState, nowMs: number): string | null {
  const { outage, timings } = state
  if (outage === null || !canStartElection(state, nowMs)) return null
  const waitedMs = nowMs - outage.sinceMs - state.rank * timings.rankDelayMs
  if (waitedMs < 0) return null
  const highestTerm = readHighestTerm(state)
  const primary = findUsablePrimary(state)
  const isNewest = primary?.status?.term === highestTerm
  if (isNewest && isReachable(state, primary!, nowMs)) return outage.reason
  if (isHeardByReplica(state, highestTerm, nowMs) && waitedMs < timings.linkThresholdMs) return null
  if (isNewest) return outage.reason
  const isDue = waitedMs >= timings.electionTimeoutMs && !isPrimaryExpected(state, nowMs)
  return isDue ? outage.reason : null
}

/** Without a quorum in reach an attempt would only unsettle those instances that it reaches. */
function canStartElection (state: FailoverState, nowMs: number): boolean {
  return state.election === null && nowMs >= state.notBeforeMs && countReachable(state, nowMs) >= state.quorum
}

function handlePromoted (state: FailoverState, instance: ProbedInstance, message: Extract<FailoverMessage, { type: 'promoteAnswered' }>, nowMs: number): FailoverEffect[] {
  const { election } = state
  const { promoter, sentAtMs, status } = message
  if (election === null || election.promoter !== promoter) return []
  const tookMs = Math.round(nowMs - election.startedAtMs)
  state.election = null
  state.failedElections = 0
  const log: FailoverEffect = { type: 'log', stage: 'promoted', fields: { endpoint: instance.endpoint.endpoint, term: status.term, logged: status.logged, tookMs } }
  return [log, ...handleStatus(state, instance, sentAtMs, status, nowMs)]
}
