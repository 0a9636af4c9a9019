import { comparePositions } from '@camphorpitch/wire'
import { findHighestTerm, findUsablePrimary, isPrimaryLeaving, isReachable, isReplicationLost, listProbedInstances } from './health.ts'
import type { FailoverEffect, FailoverMessage } from './messages.ts'
import type { Election, FailoverState, ProbedInstance } from './state.ts'

/** The steps of one attempt to raise the term, from the first fence to the promotion of a candidate. */

/** Starts an election: requests a grant of a new term from every instance. */
export function startElection (state: FailoverState, reason: string, nowMs: number): FailoverEffect[] {
  state.electionCount++
  const primary = findUsablePrimary(state)
  const isPrimaryUnfit = primary !== undefined && isReachable(state, primary, nowMs) && (isReplicationLost(state, primary.status!, nowMs) || isPrimaryLeaving(state, primary, nowMs))
  const election: Election = {
    term: findHighestTerm(state) + 1,
    promoter: `${state.promoterId}.${state.electionCount}`,
    startedAtMs: nowMs,
    excludedCandidate: isPrimaryUnfit ? primary.endpoint.endpoint : null,
    grants: new Map(),
    candidate: null
  }
  state.election = election
  const { term, promoter } = election
  const fenceEffects = listProbedInstances(state).map(i => ({ type: 'fence' as const, endpoint: i.endpoint.endpoint, term, promoter }))
  return [{ type: 'log', stage: 'electionStarted', fields: { reason, term, promoter, rank: state.rank } }, ...fenceEffects]
}

/** Records that an instance has granted the term; once a quorum has, promotes the instance whose log ends last. */
export function handleFenceGrant (state: FailoverState, instance: ProbedInstance, { promoter, sentAtMs, status }: Extract<FailoverMessage, { type: 'fenceGranted' }>): FailoverEffect[] {
  const { election } = state
  const { endpoint } = instance.endpoint
  const isCurrent = election !== null && election.promoter === promoter && election.term === status.term
  if (!isCurrent) return []
  instance.status = status
  instance.probedAtMs = sentAtMs
  if (election.excludedCandidate === endpoint || election.candidate !== null) return []
  election.grants.set(endpoint, status)
  const effects: FailoverEffect[] = [{ type: 'log', stage: 'fenceGranted', fields: { endpoint, term: election.term, logged: status.logged } }]
  if (election.grants.size < state.quorumSize) return effects
  const candidate = pickCandidate(state, election)
  election.candidate = candidate
  effects.push({ type: 'log', stage: 'promoting', fields: { endpoint: candidate, term: election.term, grantedBy: [...election.grants.keys()] } })
  effects.push({ type: 'promote', endpoint: candidate, term: election.term, promoter })
  return effects
}

/** The granting instance whose log ends last; among equals one that is not leaving, then the one that granted first. */
function pickCandidate (state: FailoverState, election: Election): string {
  const grantedStatuses = [...election.grants.entries()]
  const isStaying = (endpoint: string) => state.instances.get(endpoint)?.endpoint.state !== 'leaving'
  return grantedStatuses.reduce((best, next) => {
    const order = comparePositions(next[1].logged, best[1].logged)
    const isBetter = order > 0 || (order === 0 && isStaying(next[0]) && !isStaying(best[0]))
    return isBetter ? next : best
  })[0]
}

/** Abandons an attempt; the next one waits for a random backoff that doubles with each failure. */
export function handleElectionFailure (state: FailoverState, promoter: string, reason: string, nowMs: number): FailoverEffect[] {
  const { election, timings } = state
  if (election === null || election.promoter !== promoter) return []
  state.election = null
  state.failedElectionCount++
  const maxDelayMs = Math.min(timings.maxBackoffMs, timings.initialBackoffMs * 2 ** (state.failedElectionCount - 1))
  state.nextElectionNotBeforeMs = nowMs + maxDelayMs * (0.5 + state.random() / 2)
  return [{ type: 'log', stage: 'electionFailed', fields: { term: election.term, promoter, reason } }]
}
