import { findHighestTerm, findReachablePrimary, listProbedInstances } from './health.ts'
import type { FailoverEffect } from './messages.ts'
import type { FailoverState, ProbedInstance } from './state.ts'

/**
 * Returns commands for instances that are fenced or in an older term to follow the primary of the
 * highest term. Every serving VM sends them; an instance refuses a command of an outdated term.
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

/** Whether the instance follows no primary in `term`. */
function isFollowRequired ({ status }: ProbedInstance, term: number): boolean {
  if (status === null) return false
  return status.term < term || status.role === 'fenced'
}
