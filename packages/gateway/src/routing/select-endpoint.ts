/** An endpoint that may run a read, with what is known of its load. */
export interface ReadCandidate {
  endpoint: string
  isPrimary: boolean
  isDraining: boolean
  /** 0 in this VM's failure domain, 1 in its region, 2 elsewhere. */
  distance: 0 | 1 | 2
  slots: number
  /** Statements of this VM that run there or wait for a connection. */
  load: number
  /** Average time to an answer; `null` before the first. */
  averageResponseMs: number | null
  /** Whether a connection of the workspace is idle. */
  hasIdleConnection: boolean
  isAvoided: boolean
  isWarmingUp: boolean
  /** Whether its log lacked a position a moment ago. */
  isLagging: boolean
}

/** Time to an answer from an endpoint not yet used, in milliseconds, by distance. */
const DEFAULT_RESPONSE_MS = [25, 30, 45] as const
/** Time to open a connection, in milliseconds, by distance. */
const CONNECTION_OPEN_MS = [14, 18, 50] as const
/** The primary's slots are kept for writes unless replicas are this much slower, in milliseconds. */
const PRIMARY_PENALTY_MS = 30
const WARM_UP_SLOWDOWN_FACTOR = 1.6
/** A replica that lags is likely to answer only that it does. */
const LAGGING_PENALTY_MS = 1_000
/** Above any sum of the times: such endpoints are a last resort. */
const AVOIDED_PENALTY_MS = 10_000
const DRAINING_PENALTY_MS = 100_000

/** @example estimateAnswerMs(candidate) // 31 */
export function estimateResponseMs (candidate: ReadCandidate): number {
  const responseMs = (candidate.averageResponseMs ?? DEFAULT_RESPONSE_MS[candidate.distance]) * (candidate.isWarmingUp ? WARM_UP_SLOWDOWN_FACTOR : 1)
  const queueMs = responseMs * candidate.load / candidate.slots
  const connectMs = candidate.hasIdleConnection ? 0 : CONNECTION_OPEN_MS[candidate.distance]
  const penaltyMs = (candidate.isPrimary ? PRIMARY_PENALTY_MS : 0) + (candidate.isLagging ? LAGGING_PENALTY_MS : 0) + (candidate.isAvoided ? AVOIDED_PENALTY_MS : 0) + (candidate.isDraining ? DRAINING_PENALTY_MS : 0)
  return responseMs + queueMs + connectMs + penaltyMs
}

/** The endpoint that is likely to answer first; `undefined` without any. */
export function selectEndpoint (candidates: readonly ReadCandidate[]): ReadCandidate | undefined {
  let best: ReadCandidate | undefined
  let bestEstimatedMs = Infinity
  for (const candidate of candidates) {
    const estimatedMs = estimateResponseMs(candidate)
    if (estimatedMs >= bestEstimatedMs) continue
    best = candidate
    bestEstimatedMs = estimatedMs
  }
  return best
}
