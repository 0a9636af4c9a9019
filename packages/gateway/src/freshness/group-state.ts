import { comparePositions, pickLaterPosition, type LogPosition } from '@camphorpitch/wire'

/**
 * Time for which a proof of leadership lets reads go to the primary, in milliseconds. A promoter waits as
 * long after it has fenced the old primary, unless every VM has confirmed that it no longer trusts it.
 */
export const LEADER_LEASE_MS = 1_000
/** Longest time that a promoter may take after it asked for trust to be revoked, in milliseconds. */
export const MAX_REVOCATION_MS = 5_000
/** Samples nearer to each other than this are not kept apart, in milliseconds. */
const SAMPLE_SPACING_MS = 25
/** Samples kept; with the spacing they reach back further than reads may be stale. */
const MAX_SAMPLES = 400

/** Which endpoint this VM takes for a service's primary. */
export interface KnownPrimary {
  endpoint: string
  /** 0 while the term is not known. */
  term: number
}

/** Every write acknowledged before `atMs` lies at or before `position`. */
export interface Sample { atMs: number, position: LogPosition }

/** What a VM knows of one service's log: the primary, for how long to trust it, and positions. */
export interface GroupState {
  service: string
  primary: KnownPrimary | null
  /** No other primary has acknowledged a write before this time; reads of the primary are fresh until then. */
  trustEndsMs: number
  /** Samples, the newest first. */
  samples: Sample[]
  /** Latest position known to be acknowledged. */
  acknowledged: LogPosition | null
  acknowledgedAtMs: number
  /** Last answer of the primary to this VM. */
  heardAtMs: number
  /** Until then this VM has promised a promoter not to trust the primary. */
  revokedUntilMs: number
}

/** @example createGroupState('orders') */
export function createGroupState (service: string): GroupState {
  return { service, primary: null, trustEndsMs: -Infinity, samples: [], acknowledged: null, acknowledgedAtMs: -Infinity, heardAtMs: -Infinity, revokedUntilMs: -Infinity }
}

/**
 * Takes in which endpoint leads; a belief of an older term is ignored.
 *
 * @returns whether the belief has changed
 */
export function updatePrimary (state: GroupState, endpoint: string, term: number): boolean {
  const { primary } = state
  if (primary !== null && term < primary.term) return false
  if (primary?.endpoint === endpoint) {
    const isNewer = term > primary.term
    if (isNewer && primary.term > 0) resetLeadership(state)
    primary.term = term
    return isNewer
  }
  if (primary !== null && term === primary.term && term > 0) return false
  state.primary = { endpoint, term }
  resetLeadership(state)
  return true
}

function resetLeadership (state: GroupState): void {
  state.samples = []
  state.trustEndsMs = -Infinity
  state.heardAtMs = -Infinity
  state.revokedUntilMs = -Infinity
}

/** Takes in that the primary surely led at `atMs`: it can only be replaced once a promoter has waited out the lease. */
export function recordLeadership (state: GroupState, endpoint: string, atMs: number): void {
  if (atMs < state.revokedUntilMs || state.primary?.endpoint !== endpoint) return
  state.trustEndsMs = Math.max(state.trustEndsMs, atMs + LEADER_LEASE_MS)
}

/**
 * Takes in an acknowledged commit. A replica has received it, which none does once a promoter has
 * fenced the group, so the endpoint led when the commit was sent.
 */
export function recordCommit (state: GroupState, endpoint: string, sentAtMs: number, position: LogPosition | null, nowMs: number): void {
  if (state.primary?.endpoint !== endpoint) return
  recordLeadership(state, endpoint, sentAtMs)
  state.acknowledgedAtMs = nowMs
  if (position !== null) recordAcknowledged(state, position)
}

/** Takes in a position that was acknowledged, by this VM or another. */
export function recordAcknowledged (state: GroupState, position: LogPosition): void {
  state.acknowledged = pickLaterPosition(state.acknowledged, position)
}

/** Takes in the log's end that the primary showed in an answer to what was sent at `sentAtMs`. */
export function recordAnswer (state: GroupState, endpoint: string, sentAtMs: number, position: LogPosition | null, nowMs: number): void {
  if (state.primary?.endpoint !== endpoint) return
  state.heardAtMs = nowMs
  if (position !== null && sentAtMs <= state.trustEndsMs) addSample(state, { atMs: sentAtMs, position })
}

/** Adds a sample in the order of time. */
export function addSample (state: GroupState, sample: Sample): void {
  const { samples } = state
  const index = samples.findIndex(s => s.atMs <= sample.atMs)
  const insertIndex = index < 0 ? samples.length : index
  const older = samples[insertIndex]
  const newer = samples[insertIndex - 1]
  if (older !== undefined && sample.atMs - older.atMs < SAMPLE_SPACING_MS) return
  if (newer !== undefined && newer.atMs - sample.atMs < SAMPLE_SPACING_MS) return
  samples.splice(insertIndex, 0, sample)
  if (samples.length > MAX_SAMPLES) samples.length = MAX_SAMPLES
}

/** Promises a promoter that reads no longer go to this primary by its lease. */
export function revokeTrust (state: GroupState, endpoint: string, term: number, nowMs: number): void {
  if (state.primary?.endpoint !== endpoint || state.primary.term > term) return
  state.trustEndsMs = Math.min(state.trustEndsMs, nowMs)
  state.revokedUntilMs = nowMs + MAX_REVOCATION_MS
}

/** Lets proofs of leadership count again, after a promotion that did not come about. */
export function restoreTrust (state: GroupState): void {
  state.revokedUntilMs = -Infinity
}

/** Whether a promoter is about to replace the primary. */
export function isRevoked (state: GroupState, nowMs: number): boolean {
  return nowMs < state.revokedUntilMs
}

/** Whether the primary's log holds every write acknowledged up to `maxStalenessMs` ago. */
export function isPrimaryFresh (state: GroupState, maxStalenessMs: number, nowMs: number): boolean {
  return nowMs - maxStalenessMs <= state.trustEndsMs
}

/**
 * The position that a log must hold to show every write acknowledged up to `maxStalenessMs` ago.
 *
 * @returns `undefined` when no position is known to
 */
export function findRequiredPosition (state: GroupState, maxStalenessMs: number, nowMs: number): LogPosition | undefined {
  const notBeforeMs = nowMs - maxStalenessMs
  let found: Sample | undefined
  for (const sample of state.samples) {
    if (sample.atMs < notBeforeMs) break
    found = sample
  }
  return found?.position
}

/** Whether `position` holds all that is known to be acknowledged. */
export function hasEveryAcknowledgedWrite (state: GroupState, position: LogPosition): boolean {
  return state.acknowledged === null || comparePositions(position, state.acknowledged) >= 0
}
