import { createSeededRandom, type Endpoint, type InstanceStatus } from '@camphorpitch/wire'
import { defaultTimings, type FailoverTimings } from './timings.ts'

export interface ProbedInstance {
  endpoint: Endpoint
  status: InstanceStatus | null
  /** When the probe that brought `status` was sent. */
  probedAtMs: number
  /** When the oldest probe without an answer was sent; `null` when the last one was answered. */
  unresponsiveSinceMs: number | null
  /** When the instance began to refuse connections; `null` when it does not. */
  connectionRefusedSinceMs: number | null
  lastFollowSentAtMs: number
}

/** This VM's attempt to make an instance primary in a new term. */
export interface Election {
  term: number
  /** Unique to this attempt, so that no other attempt can use its grants. */
  promoter: string
  startedAtMs: number
  /** Instance that must not become primary because its replicas have lost it or it leaves. */
  excludedCandidate: string | null
  grants: Map<string, InstanceStatus>
  candidate: string | null
}

export interface FailoverState {
  database: string
  promoterId: string
  /** Instances that must grant a term, and that must hold an entry, for either to be safe. */
  quorumSize: number
  instances: Map<string, ProbedInstance>
  timings: FailoverTimings
  /** Place among the VMs that may promote; 0 goes first. */
  rank: number
  election: Election | null
  /** Since when the group has been without a usable primary, and why. */
  outage: { sinceMs: number, reason: string } | null
  failedElectionCount: number
  electionCount: number
  nextElectionNotBeforeMs: number
  lastTickAtMs: number
  /** Draws back-offs, from a seed. */
  random: () => number
}

export interface FailoverStateOptions {
  database: string
  endpoints: readonly Endpoint[]
  /** Unique to this run of this VM. */
  promoterId: string
  seed: number
  nowMs: number
  rank?: number
  timings?: Partial<FailoverTimings>
}

/** @example createFailoverState({ database: 'orders', endpoints, promoterId: 'vm-1.7', seed: 1, nowMs: 0 }) */
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

/** @example computeQuorum(3) // 2 */
export function computeQuorumSize (groupSize: number): number {
  return Math.floor(groupSize / 2) + 1
}
