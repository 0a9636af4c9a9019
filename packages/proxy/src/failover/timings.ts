/** Intervals and thresholds of failover, in milliseconds. */
export interface FailoverTimings {
  /** Interval between probes of the primary; replicas are probed half as often while the group has a usable primary. */
  probeIntervalMs: number
  /** Time without a response from the primary after which all instances are probed on every tick. */
  suspicionThresholdMs: number
  /** Time without a response after which an instance is unreachable, and a primary lost; longer than any pause that must not cause a promotion. */
  unreachableThresholdMs: number
  /** Time of refused connections after which an instance is unreachable. It is shorter, because a paused instance does not refuse connections. */
  connectionRefusedThresholdMs: number
  /** Longest time since a replica's last contact with its primary for which the primary counts as alive. */
  maxPrimaryContactAgeMs: number
  /** How long only this VM may be without a response from the primary, while a replica is in contact with it, before this VM starts an election. */
  vmLinkLostThresholdMs: number
  /** How long replicas may be without contact with a primary that this VM still reaches before replication counts as lost. */
  replicationLostThresholdMs: number
  /** How long an election may take, and how long a term may be without a primary, before a promoter tries a newer term. */
  electionTimeoutMs: number
  /** Delay of a promoter for each one that ranks before it, so that they do not compete. */
  delayPerRankMs: number
  /** Longest delay after a first failed election; it doubles with each further failure, and the delay is drawn at random from its upper half. */
  initialBackoffMs: number
  /** Upper limit of the doubled delay. */
  maxBackoffMs: number
  /** Time between two ticks from which this process counts as having been paused itself. */
  processPauseThresholdMs: number
  /** Shortest time between two commands to one instance to follow the primary. */
  minFollowIntervalMs: number
}

/** Longest pause of a primary that never causes a promotion; delays of a slow link count towards it. */
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
