import { findReachablePrimary, listProbedInstances, findHighestTerm } from './health.ts'
import type { FailoverEffect } from './messages.ts'
import type { FailoverState, ProbedInstance } from './state.ts'

/**
 * Points instances that are fenced, late or still in an older term at the primary of the highest
 * term. Every serving VM does so; an instance refuses what is out of date.
 */
export function listFollowEffects (state: FailoverState, nowMs: number): FailoverEffect[] {
  const primary = findReachablePrimary(state, nowMs)
  if (primary === undefined) return []
  const term = primary.status!.term
  if (term < findHighestTerm(state)) return []
  const effects: FailoverEffect[] = []
  for (const i of listProbedInstances(state)) {
    if (i === primary || !isFollowRequired(i, term) || nowMs - i.lastFollowSentAtMs < state.timings.minFollowIntervalMs) continue
    i.lastFollowSentAtMs = nowMs
    const { endpoint } = i.endpoint
    effects.push({ type: 'log', stage: 'following', fields: { endpoint, term, primary: primary.endpoint.endpoint } })
    effects.push({ type: 'follow', endpoint, term, primary: primary.endpoint })
  }
  return effects
}

function isFollowRequired ({ status }: ProbedInstance, term: number): boolean {
  if (status === null) return false
  return status.term < term || status.role === 'fenced'
}
