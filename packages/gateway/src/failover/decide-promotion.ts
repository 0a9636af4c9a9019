import { comparePositions, type LogPosition } from '@camphorpitch/wire'
import { SILENT_AFTER_MS } from '../pool/endpoint-health.ts'

/** Refused connections count as the loss of an endpoint after this long, in milliseconds. */
const REFUSED_TIMEOUT_MS = 200
/** Writes without any answer, while the primary answers reads, mean that its replicas do not hear it; in milliseconds. */
const STALLED_WRITES_TIMEOUT_MS = 1_300
/** Time without any known primary before one is chosen, in milliseconds. */
const NO_PRIMARY_TIMEOUT_MS = 2_500
/** A draining primary is replaced once it has been known to drain for this long, in milliseconds. */
const DRAINING_DELAY_MS = 100
/** The next VM in rank acts this much later, in milliseconds. */
const RANK_DELAY_MS = 150
/** VMs after this rank act together, so that a few VMs that cannot act do not hold up the rest. */
const MAX_DELAYED_RANK = 6
/** An endpoint started less than this ago may not have caught up, in milliseconds. */
const RECENT_START_MS = 10_000

/** What a VM knows about the need to replace a primary. Times are how long something has lasted, in milliseconds. */
export interface PromotionEvidence {
  hasPrimary: boolean
  /** Whether the primary is still registered. */
  isRegistered: boolean
  drainingMs: number
  /** For how long the primary has left this VM without an answer. */
  unresponsiveMs: number
  connectionRefusedMs: number
  /** Since any VM last heard the primary. */
  sinceLastResponseMs: number
  /** For how long the oldest write of any VM has waited for its answer. */
  pendingWriteMs: number
  /** Since any VM last had a write acknowledged. */
  sinceAcknowledgedMs: number
  withoutPrimaryMs: number
  /** Whether other VMs are known but none of them answers. */
  isIsolated: boolean
  rank: number
  /** Whether another endpoint could lead. */
  hasCandidate: boolean
}

export type PromotionReason = 'primary lost' | 'primary cut off from its replicas' | 'primary draining' | 'no primary'

/**
 * Why the primary should be replaced now by this VM; `null` when it should not.
 *
 * The load pattern: requests keep coming to a primary that some VMs do not reach. As long as any VM
 * hears it, it stays; VMs that do not reach it refuse writes at once.
 */
export function findPromotionReason (evidence: PromotionEvidence): PromotionReason | null {
  if (!evidence.hasCandidate || evidence.isIsolated) return null
  const delayMs = Math.min(evidence.rank, MAX_DELAYED_RANK) * RANK_DELAY_MS
  if (!evidence.hasPrimary) return evidence.withoutPrimaryMs >= NO_PRIMARY_TIMEOUT_MS + delayMs ? 'no primary' : null
  if (isPrimaryLost(evidence, delayMs)) return 'primary lost'
  if (Math.min(evidence.pendingWriteMs, evidence.sinceAcknowledgedMs) >= STALLED_WRITES_TIMEOUT_MS + delayMs) return 'primary cut off from its replicas'
  return evidence.drainingMs >= DRAINING_DELAY_MS + delayMs ? 'primary draining' : null
}

function isPrimaryLost ({ isRegistered, unresponsiveMs, connectionRefusedMs, sinceLastResponseMs }: PromotionEvidence, delayMs: number): boolean {
  if (connectionRefusedMs >= REFUSED_TIMEOUT_MS + delayMs) return sinceLastResponseMs >= REFUSED_TIMEOUT_MS
  const isUnavailable = unresponsiveMs >= SILENT_AFTER_MS + delayMs || !isRegistered
  return isUnavailable && sinceLastResponseMs >= SILENT_AFTER_MS + delayMs
}

/** A replica that no longer takes anything from the old primary. */
export interface FencedEndpoint {
  endpoint: string
  received: LogPosition
  isDraining: boolean
  /** Milliseconds since its start. */
  ageMs: number
  /** Whether it has stepped down instead of being paused. */
  isOldPrimary: boolean
}

export interface CandidateOptions {
  fenced: readonly FencedEndpoint[]
  /** Replicas of the group that could not be fenced. */
  unfencedReplicas: number
  /** Latest position that any VM knows to be acknowledged. */
  acknowledged: LogPosition | null
  /** Whether every VM that may be running has told what it knows. */
  isEveryVmHeard: boolean
}

/**
 * Picks the endpoint to promote: the most advanced of the fenced ones.
 *
 * An acknowledged write is on the old primary and at least one replica, so with every replica fenced the
 * most advanced holds all of them, unless one of them has lost its log by starting again. Where one is missing or
 * young, the pick must hold all that the VMs know to be acknowledged.
 *
 * @returns `undefined` when no choice is safe
 */
export function pickCandidate ({ fenced, unfencedReplicas, acknowledged, isEveryVmHeard }: CandidateOptions): FencedEndpoint | undefined {
  const hasOldPrimary = fenced.some(f => f.isOldPrimary)
  const latest = fenced.reduce<LogPosition | null>((max, f) => max === null || comparePositions(f.received, max) > 0 ? f.received : max, null)
  if (latest === null) return undefined
  const hasEveryCommit = hasOldPrimary || (unfencedReplicas === 0 && fenced.every(f => f.ageMs >= RECENT_START_MS))
  const hasKnownCommits = isEveryVmHeard && acknowledged !== null && comparePositions(latest, acknowledged) >= 0
  if (!hasEveryCommit && !hasKnownCommits) return undefined
  const mostAdvanced = fenced.filter(f => comparePositions(f.received, latest) === 0)
  const preferred = mostAdvanced.filter(f => !f.isDraining && !f.isOldPrimary)
  return preferred[0] ?? mostAdvanced.find(f => !f.isDraining) ?? mostAdvanced[0]
}
