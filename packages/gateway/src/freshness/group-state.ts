import { comparePositions, pickLaterPosition, type LogPosition } from '@camphorpitch/wire'

/**
 * Time for which a VM may send reads and writes to the primary, and pass on the success of writes, after it last verified the primary's
 * leadership. A promotion waits this long after it has fenced the old primary, unless every VM has confirmed that it revoked the leadership.
 */
export const LEADER_LEASE_MS = 1_000
/** A revocation of leadership lapses after this time, the longest that a promotion may take after it requested the revocation. */
export const MAX_REVOCATION_MS = 5_000
/** A sample is dropped if it is nearer in time than this to one that is kept. */
const SAMPLE_SPACING_MS = 25
/** Number of samples kept; with the spacing they reach back further than the largest allowed staleness of reads. */
const MAX_SAMPLES = 400

/** The endpoint that is the service's primary as far as this VM knows. */
export interface KnownPrimary {
  endpoint: string
  /** 0 while the term is not known. */
  term: number
}

/** A promotion order that may have been sent and may still take effect, as its VM has told it. */
export interface KnownOrder {
  endpoint: string
  /** Start of the endpoint; once it has started again, the order no longer takes effect. */
  startedAtMs: number
  /** Term of the primary that it replaces; the order has taken effect once an endpoint leads at a later term. */
  replacedTerm: number
  /** End of the endpoint's log then. */
  received: LogPosition
  /** Epoch of the store in which it was recorded; a later one may be that of a copy without the record. */
  epoch: number
}

/** Every write acknowledged before `atMs` lies at or before `position`. */
export interface Sample { atMs: number, position: LogPosition }

/** What a VM knows of one service's log: the primary, the lease of its leadership, and positions. Times are on this VM's clock, in milliseconds. */
export interface GroupState {
  service: string
  primary: KnownPrimary | null
  /** Whether the known primary itself has told that it leads its term; else that rests on what other VMs believe, or on the directory. */
  isPrimaryConfirmed: boolean
  /** End of the leadership lease. Until then no other primary acknowledges a write, so reads from the primary are fresh, and its commits are kept. */
  leadershipLeaseEndsMs: number
  /**
   * End of the lease that a planned change has revoked. Until then the success of commits is still passed on: the primary steps down
   * before another endpoint is promoted, and that endpoint then holds its whole log.
   */
  completionEndsMs: number
  /** Time at which this VM last verified the leadership by asking replicas, which proves more than a commit. */
  verifiedAtMs: number
  /**
   * Latest time at which the known primary was sent a statement that it ran and that only a primary runs, or was asked for its role and
   * told that it leads its term.
   */
  confirmedAtMs: number
  /** Time at which this VM last noticed that a replica has joined or started again; it may never have been paused, or have lost its pause. */
  replicaStartNoticedAtMs: number
  /** Samples, the newest first. */
  samples: Sample[]
  /** Latest position known to be acknowledged. */
  acknowledged: LogPosition | null
  acknowledgedAtMs: number
  /** Time at which this VM sent the latest of its commits that were acknowledged with a position. */
  lastCommitSentAtMs: number
  /** Time of the primary's last response to this VM. */
  lastResponseAtMs: number
  /** Until then the primary's leadership is revoked, as confirmed to the VM that runs a promotion. */
  revokedUntilMs: number
  /** When an attempt that promoted no endpoint last ended a revocation. */
  restoredAtMs: number
  /** Until then, primaries of earlier terms than this are revoked. */
  revokedTerm: number
  /** Whether the primary is asked to step down before another endpoint is promoted. */
  isRevocationPlanned: boolean
  /** An order that may still take effect. While there is one, a revocation does not lapse. */
  openOrder: KnownOrder | null
}

/** @example createGroupState('orders') */
export function createGroupState (service: string): GroupState {
  return {
    service,
    primary: null,
    isPrimaryConfirmed: false,
    leadershipLeaseEndsMs: -Infinity,
    completionEndsMs: -Infinity,
    verifiedAtMs: -Infinity,
    confirmedAtMs: -Infinity,
    replicaStartNoticedAtMs: -Infinity,
    samples: [],
    acknowledged: null,
    acknowledgedAtMs: -Infinity,
    lastCommitSentAtMs: -Infinity,
    lastResponseAtMs: -Infinity,
    revokedUntilMs: -Infinity,
    restoredAtMs: -Infinity,
    revokedTerm: 0,
    isRevocationPlanned: false,
    openOrder: null
  }
}

/**
 * Records which endpoint leads at a term. Information of an older term is ignored. For the same term, only the word of an endpoint that it
 * leads replaces another one, which others have taken for the primary by mistake.
 *
 * @param term 0 while the term is not known
 * @param isOwnWord whether the endpoint itself has told that it leads
 * @returns whether the known primary or its term changed
 */
export function updatePrimary (state: GroupState, endpoint: string, term: number, isOwnWord = false): boolean {
  const { primary } = state
  if (primary !== null && term < primary.term) return false
  if (primary?.endpoint === endpoint) return updateTerm(state, primary, term, isOwnWord)
  if (primary !== null && term === primary.term && term > 0 && (!isOwnWord || state.isPrimaryConfirmed)) return false
  state.primary = { endpoint, term }
  state.isPrimaryConfirmed = isOwnWord
  resetLeadership(state)
  return true
}

function updateTerm (state: GroupState, primary: KnownPrimary, term: number, isOwnWord: boolean): boolean {
  const isNewer = term > primary.term
  const hadTerm = primary.term > 0
  state.isPrimaryConfirmed = isOwnWord || (state.isPrimaryConfirmed && !isNewer)
  primary.term = term
  if (isNewer && hadTerm) resetLeadership(state)
  return isNewer
}

function resetLeadership (state: GroupState): void {
  state.samples = []
  state.leadershipLeaseEndsMs = -Infinity
  state.completionEndsMs = -Infinity
  state.confirmedAtMs = -Infinity
  state.lastResponseAtMs = -Infinity
  if (state.primary === null || state.primary.term >= state.revokedTerm) state.revokedUntilMs = -Infinity
  if (!hasOpenOrder(state)) state.openOrder = null
}

/**
 * Records that the primary was verified to lead at `atMs`. Another endpoint can replace it only after the lease that begins then has
 * expired. Ignored for times before the end of a revocation.
 */
export function recordLeadership (state: GroupState, endpoint: string, atMs: number): void {
  if (atMs < state.revokedUntilMs || hasOpenOrder(state) || state.primary?.endpoint !== endpoint) return
  state.leadershipLeaseEndsMs = Math.max(state.leadershipLeaseEndsMs, atMs + LEADER_LEASE_MS)
}

/** Records that an endpoint, asked at `askedAtMs`, has told that it leads the term. */
export function recordOwnWord (state: GroupState, endpoint: string, term: number, askedAtMs: number): void {
  if (state.primary?.term === term) recordConfirmation(state, endpoint, askedAtMs)
}

/** Records that an endpoint has run a statement that was sent to it at `sentAtMs` and that only a primary runs. */
export function recordConfirmation (state: GroupState, endpoint: string, sentAtMs: number): void {
  if (state.primary?.endpoint === endpoint) state.confirmedAtMs = Math.max(state.confirmedAtMs, sentAtMs)
}

/**
 * Records that replicas proved that the group was not fenced at `atMs`. That proves the leadership only until the primary has stepped down,
 * so the lease begins when the primary last confirmed that it leads, if that was before.
 *
 * @param confirmedAtMs when the primary last confirmed that it leads; as the replicas' proof by default
 */
export function recordVerification (state: GroupState, endpoint: string, atMs: number, confirmedAtMs = atMs): void {
  state.verifiedAtMs = Math.max(state.verifiedAtMs, atMs)
  recordLeadership(state, endpoint, Math.min(atMs, confirmedAtMs))
}

/**
 * Records an acknowledged commit. A replica has received it, which is impossible once a promotion has fenced the group, unless the
 * replica has restarted since and thereby lost its pause, or has joined since. So the commit proves that the endpoint led when it was sent
 * only while an earlier proof still holds, as a promotion lets the lease that begins with that one expire, and only if the leadership
 * was verified since the latest start of a replica.
 *
 * @param sentAtMs time at which the commit was sent to the endpoint
 * @param position position of the commit; `null` if the response did not tell it
 */
export function recordCommit (state: GroupState, endpoint: string, sentAtMs: number, position: LogPosition | null, nowMs: number): void {
  if (state.primary?.endpoint !== endpoint) return
  if (hasLeadershipLease(state, endpoint, nowMs) && state.verifiedAtMs >= state.replicaStartNoticedAtMs) recordLeadership(state, endpoint, sentAtMs)
  state.acknowledgedAtMs = nowMs
  recordConfirmation(state, endpoint, sentAtMs)
  if (position === null) return
  recordAcknowledgedPosition(state, position)
  state.lastCommitSentAtMs = Math.max(state.lastCommitSentAtMs, sentAtMs)
}

/** Records a position that was acknowledged to this or another VM. */
export function recordAcknowledgedPosition (state: GroupState, position: LogPosition): void {
  state.acknowledged = pickLaterPosition(state.acknowledged, position)
}

/** Records a response of the primary to a statement sent at `sentAtMs`, with the end of its log at that time. The position is kept as a sample only within the lease. */
export function recordPrimaryResponse (state: GroupState, endpoint: string, sentAtMs: number, position: LogPosition | null, nowMs: number): void {
  if (state.primary?.endpoint !== endpoint) return
  state.lastResponseAtMs = nowMs
  if (position !== null && sentAtMs <= state.leadershipLeaseEndsMs) addSample(state, { atMs: sentAtMs, position })
}

/** Adds a sample, ordered by time. */
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

/**
 * Revokes the leadership lease of the endpoint on request of a promotion to `term`: reads and writes no longer rely on it, nor on that of
 * another primary of an earlier term, also one that becomes known later. Ignored if the known primary has a later term.
 *
 * @param isPlanned whether the primary steps down before another endpoint is promoted, so that commits in flight may finish
 * @returns whether it was revoked
 */
export function revokeLeadership (state: GroupState, endpoint: string, term: number, nowMs: number, isPlanned = false): boolean {
  const { primary } = state
  if (primary !== null && (primary.endpoint === endpoint ? primary.term > term : primary.term >= term)) return false
  state.revokedTerm = term
  if (!isPlanned) state.completionEndsMs = -Infinity
  else if (!isLeadershipRevoked(state, nowMs)) state.completionEndsMs = Math.max(state.completionEndsMs, state.leadershipLeaseEndsMs)
  state.leadershipLeaseEndsMs = Math.min(state.leadershipLeaseEndsMs, nowMs)
  state.isRevocationPlanned = isPlanned
  state.revokedUntilMs = nowMs + MAX_REVOCATION_MS
  return true
}

/** Ends a revocation after a promotion that promoted no endpoint, so that leadership can be verified again. */
export function restoreLeadership (state: GroupState, nowMs: number): void {
  state.restoredAtMs = nowMs
  state.revokedUntilMs = -Infinity
  state.openOrder = null
}

/** Returns when the latest revocation ended without a promotion, by its attempt or because it lapsed; `-Infinity` if none did. */
export function readRevocationEndMs ({ restoredAtMs, revokedUntilMs }: GroupState, nowMs: number): number {
  return Math.max(restoredAtMs, revokedUntilMs <= nowMs ? revokedUntilMs : -Infinity)
}

/**
 * Records an order that another VM is about to send: nothing ends the revocation but the order's end, as an order cannot be called back
 * although its VM may stop. Ignored if it has taken effect.
 *
 * @example recordOpenOrder(state, { endpoint: 'orders-2', startedAtMs: 1700000000000, replacedTerm: 6, received: { term: 6, index: 120 }, epoch: 0 }, nowMs)
 */
export function recordOpenOrder (state: GroupState, order: KnownOrder, nowMs: number): void {
  const { primary, openOrder } = state
  const isClosed = primary !== null && primary.term > order.replacedTerm
  if (isClosed || (openOrder !== null && openOrder.replacedTerm > order.replacedTerm)) return
  state.openOrder = order
  state.revokedTerm = Math.max(state.revokedTerm, order.replacedTerm + 1)
  state.leadershipLeaseEndsMs = Math.min(state.leadershipLeaseEndsMs, nowMs)
}

/** Whether an order is known that may still take effect. */
export function hasOpenOrder ({ openOrder, primary }: GroupState): boolean {
  return openOrder !== null && (primary === null || primary.term <= openOrder.replacedTerm)
}

/** Whether the primary's leadership is revoked because a promotion is in progress. */
export function isLeadershipRevoked (state: GroupState, nowMs: number): boolean {
  return nowMs < state.revokedUntilMs || hasOpenOrder(state)
}

/** Whether the endpoint is the known primary and its leadership is verified and not revoked. */
export function hasLeadershipLease (state: GroupState, endpoint: string, nowMs: number): boolean {
  return state.primary?.endpoint === endpoint && nowMs <= state.leadershipLeaseEndsMs && !isLeadershipRevoked(state, nowMs)
}

/** Returns until when the success of the endpoint's commits may be passed on, by what is known now; `-Infinity` if not at all. */
export function readCommitLeaseEndMs (state: GroupState, endpoint: string, nowMs: number): number {
  if (state.primary?.endpoint !== endpoint) return -Infinity
  return isLeadershipRevoked(state, nowMs) ? state.completionEndsMs : Math.max(state.leadershipLeaseEndsMs, state.completionEndsMs)
}

/** Measures the age of the latest proof of the primary's leadership, in milliseconds; `null` if there is none. */
export function measureLeaseAgeMs ({ leadershipLeaseEndsMs }: GroupState, nowMs: number): number | null {
  return leadershipLeaseEndsMs === -Infinity ? null : nowMs - (leadershipLeaseEndsMs - LEADER_LEASE_MS)
}

/** Whether the primary's log holds every write acknowledged up to `maxStalenessMs` ago. */
export function isPrimaryFresh (state: GroupState, maxStalenessMs: number, nowMs: number): boolean {
  return nowMs - maxStalenessMs <= state.leadershipLeaseEndsMs
}

/**
 * Finds the position that a log must hold to contain every write acknowledged up to `maxStalenessMs` ago.
 *
 * @returns the oldest such position, or `undefined` if none is known
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

/** Whether a log up to `position` contains every write that is known to be acknowledged. */
export function hasEveryAcknowledgedWrite (state: GroupState, position: LogPosition): boolean {
  return state.acknowledged === null || comparePositions(position, state.acknowledged) >= 0
}
