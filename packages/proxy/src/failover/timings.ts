/** Times that govern failover, in milliseconds. */
export interface FailoverTimings {
  /** Between probes of the primary; replicas are probed half as often while all is well. */
  probeIntervalMs: number
  /** Silence of the primary after which all instances are probed with each tick. */
  suspicionThresholdMs: number
  /** Silence of the primary after which it counts as lost; longer than any pause that must not cause a promotion. */
  unreachableThresholdMs: number
  /** The same when its port refuses connections, which no pause does. */
  connectionRefusedThresholdMs: number
  /** Longest time since a replica heard from a primary that still counts as alive to it. */
  maxPrimaryContactAgeMs: number
  /** Silence towards this VM alone, while replicas still hear the primary. */
  vmLinkLostThresholdMs: number
  /** Silence of the primary towards its replicas, while this VM still hears it. */
  replicationLostThresholdMs: number
  /** How long a term may be without a primary before another promoter tries a newer one. */
  electionTimeoutMs: number
  /** Delay of a promoter for each one that ranks before it. */
  delayPerRankMs: number
  /** Longest first delay, drawn at random, after a failed election; doubles with each further one. */
  initialBackoffMs: number
  maxBackoffMs: number
  /** A gap between two ticks that shows that this process itself was paused. */
  processPauseThresholdMs: number
  minFollowIntervalMs: number
}

/** Longest pause of a primary, slow link included, that surely causes no promotion. */
export const TOLERATED_PAUSE_MS = 600

export const defaultTimings: FailoverTimings = {
  probeIntervalMs: 150,
  suspicionThresholdMs: 200,
  unreachableThresholdMs: 700,
  connectionRefusedThresholdMs: 300,
  maxPrimaryContactAgeMs: 250,
  vmLinkLostThresholdMs: 1_500,
  replicationLostThresholdMs: 1_500,
  electionTimeoutMs: 500,
  delayPerRankMs: 150,
  initialBackoffMs: 100,
  maxBackoffMs: 1_600,
  processPauseThresholdMs: 300,
  minFollowIntervalMs: 150
}
