import { drawDomain } from './decide-leaving.ts'

/** An endpoint that may run a read, with what this VM knows of its state and load. */
export interface ReadCandidate {
  endpoint: string
  isPrimary: boolean
  isDraining: boolean
  /** 0 in this VM's failure domain, 1 in its region, 2 elsewhere. */
  distance: 0 | 1 | 2
  /** Number of statements that the endpoint runs at a time. */
  slots: number
  /** Number of this VM's statements that run on the endpoint or wait for a connection to it. */
  load: number
  /** Average response time, in milliseconds; `null` before the first response. */
  averageResponseMs: number | null
  /** Whether an idle connection of the workspace is available. */
  hasIdleConnection: boolean
  /** Whether the endpoint recently failed, was too busy or is unresponsive. */
  isAvoided: boolean
  isWarmingUp: boolean
  /** Whether the endpoint's log recently lacked a required position. */
  isLagging: boolean
}

/** Response time assumed for an endpoint that has not responded yet, in milliseconds, by distance. */
const DEFAULT_RESPONSE_MS = [25, 30, 45] as const
/** Time to open a connection, in milliseconds, by distance. */
const CONNECTION_OPEN_MS = [14, 18, 50] as const
/** Keeps the primary's slots for writes unless the replicas are slower by more than this, in milliseconds. */
export const PRIMARY_PENALTY_MS = 30
/** Expected slowdown of an endpoint that is still warming up. */
const WARM_UP_SLOWDOWN_FACTOR = 1.6
/** A lagging replica is likely to refuse the read because its log lacks the required position. */
export const LAGGING_PENALTY_MS = 1_000
/** Larger than any sum of response times and smaller penalties, so that an avoided endpoint is used only as a last resort. */
const AVOIDED_PENALTY_MS = 10_000
/** Larger than all other penalties, so that a draining endpoint is used only when no other one is available. */
const DRAINING_PENALTY_MS = 100_000

/**
 * Estimates the response time of a read on an endpoint, in milliseconds: its usual response time, the wait behind
 * other statements and the opening of a connection, plus penalties that rank less suitable endpoints last.
 *
 * @example estimateResponseMs(candidate) // 31
 */
export function estimateResponseMs (candidate: ReadCandidate): number {
  const responseMs = (candidate.averageResponseMs ?? DEFAULT_RESPONSE_MS[candidate.distance]) * (candidate.isWarmingUp ? WARM_UP_SLOWDOWN_FACTOR : 1)
  const queueMs = responseMs * candidate.load / candidate.slots
  const connectMs = candidate.hasIdleConnection ? 0 : CONNECTION_OPEN_MS[candidate.distance]
  const penaltyMs = (candidate.isPrimary ? PRIMARY_PENALTY_MS : 0) + (candidate.isLagging ? LAGGING_PENALTY_MS : 0) + (candidate.isAvoided ? AVOIDED_PENALTY_MS : 0) + (candidate.isDraining ? DRAINING_PENALTY_MS : 0)
  return responseMs + queueMs + connectMs + penaltyMs
}

/** A candidate with the failure domain that it is in. */
export interface DomainCandidate extends ReadCandidate { failureDomain: string }

/** What the decision about leaving says to the selection for one read. */
export interface LeavingGuide {
  home: readonly string[]
  /** Share of the reads that goes to each domain away from home. */
  shares: ReadonlyMap<string, number>
  /** What the bytes of a read cost, expressed as a wait in milliseconds, by distance. */
  weightsMs: readonly [number, number, number]
}

/**
 * Selects the endpoint for one read by a draw from the shares: the one with the lowest estimate in the drawn domain. If that has no
 * endpoint that can be expected to run the read, the one with the lowest sum of estimate and weight is used, as for a further attempt.
 *
 * @param random a number in [0, 1), drawn for each read so that VMs with the same shares do not move together; `null` for a further attempt
 */
export function selectGuidedEndpoint<T extends DomainCandidate> (candidates: readonly T[], { home, shares, weightsMs }: LeavingGuide, random: number | null): T | undefined {
  if (random !== null) {
    const drawn = drawDomain(shares, random)
    const inDomain = candidates.filter(c => drawn === null ? home.includes(c.failureDomain) : c.failureDomain === drawn)
    const selected = selectEndpoint(inDomain.filter(c => !c.isAvoided && !c.isDraining && !c.isLagging))
    if (selected !== undefined) return selected
  }
  return pickLowest(candidates, c => estimateResponseMs(c) + weightsMs[c.distance])
}

/** Selects the endpoint with the lowest estimate, the first one among equals; `undefined` when there are no candidates. */
export function selectEndpoint<T extends ReadCandidate> (candidates: readonly T[]): T | undefined {
  return pickLowest(candidates, estimateResponseMs)
}

function pickLowest<T> (candidates: readonly T[], estimate: (candidate: T) => number): T | undefined {
  let best: T | undefined
  let bestEstimatedMs = Infinity
  for (const candidate of candidates) {
    const estimatedMs = estimate(candidate)
    if (estimatedMs >= bestEstimatedMs) continue
    best = candidate
    bestEstimatedMs = estimatedMs
  }
  return best
}
