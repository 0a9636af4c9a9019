import { createSeededRandom, type Endpoint, type InstanceStatus } from '@camphorpitch/wire'
import { defaultTimings, type FailoverTimings } from './timings.ts'

/** What this VM knows of one instance from its probes. Times are monotonic milliseconds of this VM. */
export interface ProbedInstance {
  endpoint: Endpoint
  status: InstanceStatus | null
  /** When the request that returned `status` was sent. */
  probedAtMs: number
  /** When the oldest probe without a response was sent; `null` when the last probe got one. */
  unresponsiveSinceMs: number | null
  /** When the instance's port began to refuse connections; `null` when the last probe was not refused. */
  connectionRefusedSinceMs: number | null
  /** When this VM last told the instance to follow the current primary; `-Infinity` for never. */
  lastFollowSentAtMs: number
}

/** This VM's attempt to make an instance primary in a new term. */
export interface Election {
  term: number
  /** Unique to this attempt, so that no other attempt can use the terms granted to it. */
  promoter: string
  startedAtMs: number
  /** Instance that must not become primary because its replicas have lost contact with it or it is leaving. */
  excludedCandidate: string | null
  /** Status of each instance that has granted the term, by endpoint. */
  grants: Map<string, InstanceStatus>
  /** Endpoint chosen to become primary; `null` until a quorum has granted the term. */
  candidate: string | null
}

export interface FailoverState {
  database: string
  promoterId: string
  /** Number of instances that must grant a term before a promotion, and that must hold an entry before it is durable. */
  quorumSize: number
  instances: Map<string, ProbedInstance>
  timings: FailoverTimings
  /** Place among the VMs that may promote; the VM with rank 0 promotes first. */
  rank: number
  election: Election | null
  /** Since when this VM has seen the group without a usable primary, and why; `null` while it has one. */
  outage: { sinceMs: number, reason: string } | null
  /** Failed elections since the last promotion; sets the backoff. */
  failedElectionCount: number
  /** Elections started by this VM; makes the promoter id of each attempt unique. */
  electionCount: number
  /** Earliest time of the next election, after a backoff. */
  nextElectionNotBeforeMs: number
  lastTickAtMs: number
  /** Seeded random numbers from 0 to 1, for the backoff. */
  random: () => number
}

export interface FailoverStateOptions {
  database: string
  endpoints: readonly Endpoint[]
  /** Unique to this run of this VM, so that a grant to an earlier run does not count. */
  promoterId: string
  seed: number
  nowMs: number
  rank?: number
  timings?: Partial<FailoverTimings>
}

/**
 * Creates the state of a group of which nothing is known yet.
 *
 * @example createFailoverState({ database: 'orders', endpoints, promoterId: 'vm-1.7', seed: 1, nowMs: 0 })
 */
export function createFailoverState (options: FailoverStateOptions): FailoverState {
  const { database, endpoints, promoterId, seed, nowMs, rank = 0, timings = {} } = options
  return {
    database,
    promoterId,
    quorumSize: computeQuorumSize(endpoints.length),
    instances: new Map(endpoints.map(e => [e.endpoint, createProbedInstance(e, nowMs)])),
    timings: { ...defaultTimings, ...timings },
    rank,
    election: null,
    outage: null,
    failedElectionCount: 0,
    electionCount: 0,
    nextElectionNotBeforeMs: nowMs,
    lastTickAtMs: nowMs,
    random: createSeededRandom(seed)
  }
}

function createProbedInstance (endpoint: Endpoint, nowMs: number): ProbedInstance {
  return { endpoint, status: null, probedAtMs: nowMs, unresponsiveSinceMs: null, connectionRefusedSinceMs: null, lastFollowSentAtMs: -Infinity }
}

/** Number of instances that form a majority. @example computeQuorumSize(3) // 2 */
export function computeQuorumSize (groupSize: number): number {
  return Math.floor(groupSize / 2) + 1
}
