import type { Sample } from './sample.ts'

export interface ReferenceRate {
  statementsPerSecond: number
  burst: number
}

/**
 * Selects the samples within a workspace's rate and burst, by one token bucket that gets all of the workspace's samples
 * in the order of their start. A sample that the system refused takes its tokens here too, since it was entitled to them.
 *
 * @returns the samples within the rate
 */
export function selectWithinRate (samples: readonly Sample[], rate: ReferenceRate): Sample[] {
  const samplesByStart = [...samples].sort((a, b) => a.startedAtMs - b.startedAtMs)
  let tokens = rate.burst
  let lastStartedAtMs = samplesByStart[0]?.startedAtMs ?? 0
  return samplesByStart.filter(s => {
    tokens = Math.min(rate.burst, tokens + (s.startedAtMs - lastStartedAtMs) * rate.statementsPerSecond / 1_000)
    lastStartedAtMs = s.startedAtMs
    if (tokens < s.statements) return false
    tokens -= s.statements
    return true
  })
}
