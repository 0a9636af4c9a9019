import { comparePositions, type LogPosition } from '@camphorpitch/wire'
import type { KnownPrimary } from '../freshness/group-state.ts'
import { isCovering, type Departure } from '../groups/departures.ts'
import { ENDPOINT_UNRESPONSIVE_AFTER_MS } from '../pool/endpoint-health.ts'
import type { OpenOrder } from './duty-claim.ts'

/** An endpoint that has refused connections for this long counts as lost. */
const REFUSED_TIMEOUT_MS = 200
/** If the primary responds to reads but to no write for this long, its replicas do not receive its log. */
const STALLED_WRITES_TIMEOUT_MS = 1_300
/** A primary that has left a status request unanswered for this long counts as lost: more than a connection between regions takes. */
const PROBE_TIMEOUT_MS = 250
/** A primary is chosen if none has been known for this long. */
const NO_PRIMARY_TIMEOUT_MS = 2_500
/** Replicas found paused for this long, while no promotion is known to run, were left so by one whose VM has stopped. */
const LEFT_PAUSED_TIMEOUT_MS = 2_000
/** A primary that drains or is evacuated is replaced this long after that became known. */
const DRAINING_DELAY_MS = 100
/** Each VM acts this much later than the VM before it in rank, so that usually one VM attempts the promotion. */
const RANK_DELAY_MS = 150
/** VMs from this rank on act at the same time, so that a few VMs that cannot act delay the others only for a limited time. */
const MAX_DELAYED_RANK = 6
/** A replica that started less than this ago may not have caught up with the log. */
const RECENT_START_MS = 10_000

/** What a VM knows about the need to replace a primary. Each time tells how long a condition has lasted, in milliseconds. */
export interface PromotionEvidence {
  hasPrimary: boolean
  /** Whether the primary is still registered. */
  isRegistered: boolean
  drainingMs: number
  /** For how long this VM has known that the primary's failure domain is evacuated; 0, the default, if it is not. */
  evacuatedMs?: number
  /** For how long the primary has not responded to this VM; 0 if it has. */
  unresponsiveMs: number
  /** For how long the primary has left this VM's status requests unanswered; 0 if none was sent since its last response. */
  probeUnansweredMs: number
  /** For how long the primary has refused this VM's connections; 0 if it does not. */
  connectionRefusedMs: number
  /** Time since the primary last responded to any VM. */
  sinceLastResponseMs: number
  /** Longest time for which any VM's writes to the primary have been pending without a response. */
  pendingWriteMs: number
  /** Time since the primary last acknowledged a write of any VM. */
  sinceAcknowledgedMs: number
  withoutPrimaryMs: number
  /** For how long an order has been open whose VM is not known to act on it any more; `null` if none is open. */
  unclosedOrderMs?: number | null
  /** For how long this VM has found replicas paused although it knows of no promotion that runs. */
  leftPausedMs: number
  /** Whether other VMs are known but none of them responds. */
  isIsolated: boolean
  /** Rank of this VM for the service: VMs with a lower rank act first. */
  rank: number
  /** Whether there is another endpoint that could become primary. */
  hasCandidate: boolean
  /** Whether one of these responds and is outside of all evacuated failure domains; it is not by default. */
  hasCandidateOutside?: boolean
}

export type PromotionReason =
  | 'primary lost'
  | 'primary cut off from its replicas'
  | 'primary draining'
  | 'primary evacuated'
  | 'no primary'
  | 'replicas left paused'
  | 'replicas not resumed'
  | 'promotion order open'

/** Whether the old primary still works, and steps down before another endpoint is promoted. */
export function isPlannedChange (reason: PromotionReason): boolean {
  return reason === 'primary draining' || reason === 'primary evacuated' || reason === 'replicas not resumed'
}

/**
 * Finds the reason for which this VM should replace the primary now; `null` if it should not.
 *
 * A primary that some VMs do not reach may still serve requests of other VMs. It stays as long as it responds to any VM;
 * the VMs that do not reach it refuse writes at once. One that left statements unanswered may respond again without having been
 * sent any since, and a VM that stood still takes its own pause for the primary's. So it counts as lost only once a status request
 * is unanswered too.
 */
export function findPromotionReason (evidence: PromotionEvidence): PromotionReason | null {
  if (!evidence.hasCandidate || evidence.isIsolated) return null
  const delayMs = computeRankDelayMs(evidence.rank)
  if (evidence.unclosedOrderMs != null) return evidence.unclosedOrderMs >= delayMs ? 'promotion order open' : null
  if (!evidence.hasPrimary) return evidence.withoutPrimaryMs >= NO_PRIMARY_TIMEOUT_MS + delayMs ? 'no primary' : null
  if (isPrimaryLost(evidence, delayMs)) return 'primary lost'
  if (Math.min(evidence.pendingWriteMs, evidence.sinceAcknowledgedMs) >= STALLED_WRITES_TIMEOUT_MS + delayMs) return 'primary cut off from its replicas'
  if (evidence.drainingMs >= DRAINING_DELAY_MS + delayMs) return 'primary draining'
  if (evidence.hasCandidateOutside === true && (evidence.evacuatedMs ?? 0) >= DRAINING_DELAY_MS + delayMs) return 'primary evacuated'
  return evidence.leftPausedMs >= LEFT_PAUSED_TIMEOUT_MS + delayMs ? 'replicas left paused' : null
}

/** Computes how much later than the first VM in rank one with this rank acts, in milliseconds. */
export function computeRankDelayMs (rank: number): number {
  return Math.min(rank, MAX_DELAYED_RANK) * RANK_DELAY_MS
}

function isPrimaryLost (evidence: PromotionEvidence, delayMs: number): boolean {
  const { isRegistered, unresponsiveMs, probeUnansweredMs, connectionRefusedMs, sinceLastResponseMs } = evidence
  if (connectionRefusedMs >= REFUSED_TIMEOUT_MS + delayMs) return sinceLastResponseMs >= REFUSED_TIMEOUT_MS
  const isUnresponsive = unresponsiveMs >= ENDPOINT_UNRESPONSIVE_AFTER_MS + delayMs && probeUnansweredMs >= PROBE_TIMEOUT_MS
  const isUnavailable = isUnresponsive || !isRegistered
  return isUnavailable && sinceLastResponseMs >= ENDPOINT_UNRESPONSIVE_AFTER_MS + delayMs
}

/** An endpoint that no longer receives log entries from the old primary, or the old primary itself after it stepped down. */
export interface FencedEndpoint {
  endpoint: string
  /** Term that it led, or at which it has followed a primary. */
  term: number
  received: LogPosition
  isDraining: boolean
  /** Whether its failure domain is evacuated; it is not by default. */
  isEvacuated?: boolean
  /** Milliseconds since its start. */
  ageMs: number
  /** Whether this is the old primary, which has stepped down instead of being paused. */
  isOldPrimary: boolean
  /** Whether it is still warming up; absent means that it is not. */
  isCold?: boolean
}

/**
 * Number of replicas that may be unfenced if the old primary has stepped down. With two, one may have been promoted unnoticed and
 * the other may receive its commits.
 */
export const MAX_UNFENCED_BESIDE_PRIMARY = 1

export interface CandidateOptions {
  fenced: readonly FencedEndpoint[]
  /** Number of the group's replicas that could not be fenced. */
  unfencedReplicas: number
  /** Replicas that have gone with their logs; none by default. */
  departures?: ReadonlyArray<Pick<Departure, 'logEnd'>>
  /** Latest position that any VM knows to be acknowledged. */
  acknowledged: LogPosition | null
  /** Whether every VM that may be running has reported the latest acknowledged position it knows. */
  hasEveryVmConfirmed: boolean
  /** Endpoint to pick among equally advanced ones, as an earlier order for it may still take effect. */
  preferred?: string
  /** Endpoint that led at the latest term that any VM knows; `null`, the default, if none is known. */
  lastLeader?: KnownPrimary | null
  /** Whether that covers the positions of VMs that have stopped or restarted. */
  hasEveryAcknowledgement?: boolean
  /** A proven order whose endpoint has ended, or has lost its log, before it led; `null`, the default, if there is none. */
  endedOrder?: Pick<OpenOrder, 'replacedTerm' | 'received'> | null
}

/**
 * Picks the endpoint to promote: one of the most advanced fenced endpoints, if possible not in an evacuated failure domain, not a draining one, and a warm one.
 *
 * Each acknowledged write is on the old primary and on at least one replica. So if every replica is fenced, the most advanced
 * one holds all acknowledged writes, unless a replica has gone with its log or has lost it in a restart. The log must then reach
 * what the primary's log held after that. If it does not, or a replica could not be fenced or has started recently, the candidate
 * must hold every position that the VMs know to be acknowledged.
 *
 * The endpoint that led last holds every acknowledged write itself, whatever has become of the replicas, as long as it has followed no
 * later primary and no endpoint has a later term.
 *
 * If the endpoint of an earlier order has ended, the log with which it was ordered suffices.
 *
 * A position that any VM knows to be acknowledged rules out a shorter log in any case: then a fenced replica has lost its log in a
 * restart that is not registered yet, or the group has a replica that is not known to be one.
 *
 * @returns `undefined` if no choice is safe
 */
export function pickCandidate (options: CandidateOptions): FencedEndpoint | undefined {
  const { fenced, acknowledged } = options
  const latest = fenced.reduce<LogPosition | null>((max, f) => max === null || comparePositions(f.received, max) > 0 ? f.received : max, null)
  if (latest === null || (acknowledged !== null && comparePositions(latest, acknowledged) < 0)) return undefined
  if (!hasEveryCommit(options, latest) && !hasKnownCommits(options, latest)) return undefined
  const mostAdvanced = fenced.filter(f => comparePositions(f.received, latest) === 0)
  // An evacuated endpoint can't be used, a draining one can for a while.
  const outside = mostAdvanced.filter(f => f.isEvacuated !== true)
  const eligible = outside.length > 0 ? outside : mostAdvanced
  const staying = eligible.filter(f => !f.isDraining && !f.isOldPrimary)
  return mostAdvanced.find(f => f.endpoint === options.preferred) ?? staying.find(f => f.isCold !== true) ?? staying[0] ?? eligible.find(f => !f.isDraining) ?? eligible[0]
}

/** Whether a log up to `latest` holds every acknowledged commit because no other log can hold more. */
function hasEveryCommit (options: CandidateOptions, latest: LogPosition): boolean {
  const { fenced, unfencedReplicas, departures = [] } = options
  if (fenced.some(f => f.isOldPrimary) && unfencedReplicas <= MAX_UNFENCED_BESIDE_PRIMARY) return true
  if (hasLogOfLastLeader(options, latest) || hasLogOfEndedOrder(options, latest)) return true
  return unfencedReplicas === 0 && fenced.every(f => f.ageMs >= RECENT_START_MS) && isCovering(latest, departures)
}

/** Whether `latest` is the end of the log of the endpoint that led last, and that log is still the one with which it led. */
function hasLogOfLastLeader ({ fenced, unfencedReplicas, lastLeader = null }: CandidateOptions, latest: LogPosition): boolean {
  if (lastLeader === null || unfencedReplicas > 0 || fenced.some(f => f.term > lastLeader.term)) return false
  const leader = fenced.find(f => f.endpoint === lastLeader.endpoint && f.term === lastLeader.term)
  return leader !== undefined && leader.ageMs >= RECENT_START_MS && comparePositions(leader.received, latest) === 0
}

/**
 * Whether `latest` reaches the log with which an endpoint was ordered: that log was proven to hold every acknowledged commit, and none was
 * acknowledged since, as the group stays fenced while an order is open. No endpoint may have led since: each then reports an earlier term.
 */
function hasLogOfEndedOrder ({ fenced, unfencedReplicas, endedOrder = null }: CandidateOptions, latest: LogPosition): boolean {
  return endedOrder !== null && unfencedReplicas === 0 && fenced.every(f => f.term <= endedOrder.replacedTerm) && comparePositions(latest, endedOrder.received) >= 0
}

/** Whether a log up to `latest` holds every acknowledged commit because the VMs know of none beyond it. */
function hasKnownCommits ({ acknowledged, hasEveryVmConfirmed, hasEveryAcknowledgement = true }: CandidateOptions, latest: LogPosition): boolean {
  return hasEveryVmConfirmed && hasEveryAcknowledgement && acknowledged !== null && comparePositions(latest, acknowledged) >= 0
}
