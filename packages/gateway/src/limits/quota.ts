import { computeRetryAfterMs, countAvailableTokens, createBucket, replaceRate, reserveTokens, spendReservedTokens, type TokenBucket } from '@camphorpitch/wire'
import type { Workspace } from '../configuration/configuration.ts'

/**
 * Fractions of the tolerated excess over a limit. What they leave of it covers VMs that disagree for a moment on who counts, and
 * operations that reach their endpoints later than others.
 */
const EXCESS_FRACTIONS = {
  /** What the buckets of all counting VMs hold beyond the burst, so that a few operations need not arrive evenly. */
  headroom: 0.2,
  /** What all counting VMs may admit at once after a restart if the whole burst may have been used before. */
  restart: 0.2
}
/** A bucket is low, and the use of more of the burst has to be recorded, once less than this fraction of its unrecorded part is left. */
const LOW_LEVEL_FRACTION = 0.25
/**
 * The use of more of the burst is recorded only if it allows this many operations more. Shares of small workspaces are low every few
 * seconds by chance, and each record is a write to the store; the wait for the next token covers as much.
 */
const MIN_RECORDED_OPERATIONS = 4
/** The use of the burst need not be recorded any more once at most this fraction of the unrecorded part is used. */
const CALM_DEBT_FRACTION = 0.2
/** A workspace is near its limit if its demand reaches this fraction of its rate. */
const NEAR_LIMIT_FRACTION = 0.8
/** Smallest fraction of a bucket that must be left so that other VMs may admit operations without requesting a permit first. */
const MIN_RESERVE_FRACTION = 0.2
/** Smallest rate of a bucket, in operations per millisecond. A workspace with rate and burst 0 admits nothing even so, as its bucket holds nothing. */
const MIN_RATE_PER_MS = 1e-6
/** Furthest return that is planned behind the returns of other clients. Operations that arrive until then take the tokens first. */
const MAX_PLANNED_RETURN_MS = 1_000
const MS_PER_SECOND = 1_000

/** How far the count over a window may exceed the limit. */
export interface QuotaTolerance {
  windowMs: number
  /** Excess as a fraction of the limit. */
  overshoot: number
  /** Excess in operations, added to the overshoot. */
  slack: number
}

/** What this VM knows of the demand on the whole fleet. */
export interface FleetDemand {
  /** This VM's share of a workspace's limit, as a fraction; 0 if it does not count the limit. */
  readShare: (workspace: string) => number
  /** Operations of a workspace that were requested from all VMs in the last window. */
  readTotal: (workspace: string) => number
  /** Operations per window that unresponsive VMs may admit uncounted, and which this VM counted for them before; part of this VM's share. */
  readReserved: (workspace: string) => number
}

/** This VM's share of a workspace's limit. */
interface CountedShare {
  bucket: TokenBucket
  /**
   * What would be left if the whole burst could always be used. It tells how much is free once that is recorded: after a restart of unknown use,
   * or when a share is taken over, no more than the rate has allowed since.
   */
  whole: TokenBucket
  /** What the bucket holds if the store has no record that more of the burst may be used. */
  unrecordedBurst: number
  /** What the bucket held when this VM began to count. */
  startLevel: number
  /** Whether the whole burst may be used. */
  isRecorded: boolean
  createdAtMs: number
  /** Earliest time for which no return of a refused client is planned. */
  nextReturnAtMs: number
}

/** State with which a VM counts its shares of the workspaces' limits. */
export interface QuotaState {
  tolerance: QuotaTolerance
  /** Whether the fleet starts for the first time: buckets may start full, as nothing has been used yet. */
  isFirstStart: boolean
  /** When this process started, which is after its predecessor's last operation. */
  startedAtMs: number
  shares: Map<string, CountedShare>
  /** Workspaces whose whole burst may be used, as the store's record says so; the others use a part of it. */
  recorded: Set<string>
  /** Workspaces that are near their limit now, or above it. */
  pressed: Set<string>
}

export function createQuotaState (tolerance: QuotaTolerance, isFirstStart: boolean, nowMs = 0): QuotaState {
  return { tolerance, isFirstStart, startedAtMs: nowMs, shares: new Map(), recorded: new Set(), pressed: new Set() }
}

/**
 * Computes how many operations of a workspace may be admitted in a window beyond its limit, in operations.
 *
 * @example computeAllowedExcess({ windowMs: 5_000, overshoot: 0.1, slack: 20 }, { ratePerSecond: 10, burst: 50 }) // 30
 */
export function computeAllowedExcess ({ windowMs, overshoot, slack }: QuotaTolerance, { ratePerSecond = 0, burst = 0 }: Pick<Workspace, 'ratePerSecond' | 'burst'>): number {
  return (ratePerSecond * windowMs / MS_PER_SECOND + burst) * overshoot + slack
}

/** Updates the shares to the current limits and members, after each round of polls between the VMs. Workspaces without a limit have no share. */
export function updateQuotas (state: QuotaState, workspaces: readonly Workspace[], fleet: FleetDemand, nowMs: number): void {
  for (const workspace of workspaces) updateQuota(state, workspace, fleet, nowMs)
  const names = new Set(workspaces.map(w => w.name))
  for (const name of state.shares.keys()) if (!names.has(name)) removeQuota(state, name)
}

function removeQuota (state: QuotaState, name: string): void {
  state.shares.delete(name)
  state.pressed.delete(name)
}

function updateQuota (state: QuotaState, workspace: Workspace, fleet: FleetDemand, nowMs: number): void {
  const { name, ratePerSecond, burst = 0 } = workspace
  if (ratePerSecond === undefined) return removeQuota(state, name)
  const isBelowLimit = fleet.readTotal(name) < NEAR_LIMIT_FRACTION * ratePerSecond * state.tolerance.windowMs / MS_PER_SECOND
  if (isBelowLimit) state.pressed.delete(name)
  else state.pressed.add(name)
  const share = fleet.readShare(name)
  if (share === 0) {
    state.shares.delete(name)
    return
  }
  const excess = computeAllowedExcess(state.tolerance, workspace)
  const rate = Math.max(MIN_RATE_PER_MS, ratePerSecond * share / MS_PER_SECOND - fleet.readReserved(name) / state.tolerance.windowMs)
  const wholeBurst = ratePerSecond + burst === 0 ? 0 : Math.max(1, (burst + EXCESS_FRACTIONS.headroom * excess) * share)
  const unrecordedBurst = Math.min(wholeBurst, Math.max(1, computeUnrecordedBurst(burst, excess) * share))
  const size = { rate, wholeBurst, unrecordedBurst, isRecorded: state.recorded.has(name) }
  const existing = state.shares.get(name)
  if (existing !== undefined) updateShare(existing, size, nowMs)
  else state.shares.set(name, createShare(state, size, EXCESS_FRACTIONS.restart * excess * share, nowMs))
}

interface ShareSize { rate: number, wholeBurst: number, unrecordedBurst: number, isRecorded: boolean }

function updateShare (share: CountedShare, { rate, wholeBurst, unrecordedBurst, isRecorded }: ShareSize, nowMs: number): void {
  updateBucket(share.bucket, rate, share.isRecorded ? wholeBurst : unrecordedBurst, nowMs)
  updateBucket(share.whole, rate, wholeBurst, nowMs)
  if (!isRecorded && share.isRecorded) replaceRate(share.bucket, rate, unrecordedBurst, nowMs)
  if (isRecorded && !share.isRecorded) applyWholeBurst(share, nowMs)
  Object.assign(share, { unrecordedBurst, isRecorded })
}

/** @param levelIfUseUnknown what the share holds unless the fleet has just started for the first time */
function createShare (state: QuotaState, { rate, wholeBurst, unrecordedBurst, isRecorded }: ShareSize, levelIfUseUnknown: number, nowMs: number): CountedShare {
  const isFirstUse = state.isFirstStart && isJustStarted(state, nowMs)
  const startLevel = isFirstUse ? unrecordedBurst : Math.min(unrecordedBurst, levelIfUseUnknown)
  const countsFromMs = isJustStarted(state, nowMs) ? state.startedAtMs : nowMs
  const whole = createBucket(rate, wholeBurst, countsFromMs - (isFirstUse ? wholeBurst : startLevel) / rate)
  const bucket = isRecorded ? { ...whole } : createBucket(rate, unrecordedBurst, countsFromMs - startLevel / rate)
  return { bucket, whole, unrecordedBurst, startLevel, isRecorded, createdAtMs: nowMs, nextReturnAtMs: -Infinity }
}

/**
 * Computes the part of the burst that may be used without a record. Before and after a restart of all VMs it may be used once each, which
 * together exceeds the burst no further than a restart does after which the use before is not known.
 */
function computeUnrecordedBurst (burst: number, excess: number): number {
  return (burst + (EXCESS_FRACTIONS.headroom + EXCESS_FRACTIONS.restart) * excess) / 2
}

/** Whether the window reaches back to before the start of this process. A bucket then fills from the start on: another process counted before that. */
function isJustStarted ({ startedAtMs, tolerance }: QuotaState, nowMs: number): boolean {
  return nowMs - startedAtMs < tolerance.windowMs
}

/**
 * Lets the shares that this VM counts right after its start be used like those of workspaces of whose burst only the unrecorded part was used
 * before, once: shares that it gets later were counted by other VMs until then.
 *
 * @param recordedBeforeStart workspaces whose whole burst may have been used
 */
export function grantUnusedBurst (state: QuotaState, recordedBeforeStart: ReadonlySet<string>, nowMs: number): void {
  if (state.isFirstStart || !isJustStarted(state, nowMs)) return
  for (const [name, { bucket, whole, unrecordedBurst, startLevel }] of state.shares) {
    if (recordedBeforeStart.has(name)) continue
    bucket.fullAtMs -= Math.max(0, unrecordedBurst - startLevel) / bucket.rate
    whole.fullAtMs -= Math.max(0, whole.burst - unrecordedBurst - startLevel) / whole.rate
  }
}

/** Lists the workspaces of which more than the unrecorded part of the burst will be used soon, or of whose burst hardly anything is in use any more. */
export function listRecordChanges ({ shares }: QuotaState, nowMs: number): { toAdd: string[], toRemove: string[] } {
  const changes: { toAdd: string[], toRemove: string[] } = { toAdd: [], toRemove: [] }
  for (const [name, { bucket, whole, unrecordedBurst, isRecorded }] of shares) {
    const debt = bucket.burst - countAvailableTokens(bucket, nowMs)
    const isWorthRecording = whole.burst - unrecordedBurst >= MIN_RECORDED_OPERATIONS
    if (!isRecorded && isWorthRecording && unrecordedBurst - debt < LOW_LEVEL_FRACTION * unrecordedBurst) changes.toAdd.push(name)
    if (isRecorded && debt <= CALM_DEBT_FRACTION * unrecordedBurst) changes.toRemove.push(name)
  }
  return changes
}

/** Lets the whole burst be used, as far as it is free, now that this is recorded. */
function applyWholeBurst ({ bucket, whole }: CountedShare, nowMs: number): void {
  const level = Math.max(bucket.burst - measureDebt(bucket, nowMs), whole.burst - measureDebt(whole, nowMs))
  bucket.burst = whole.burst
  bucket.fullAtMs = nowMs + (bucket.burst - level) / bucket.rate
}

function measureDebt ({ rate, fullAtMs }: TokenBucket, nowMs: number): number {
  return Math.max(0, fullAtMs - nowMs) * rate
}

/** Changes a bucket's rate and burst. What it holds never rises at once: another VM may have used what this VM's share grows by. */
function updateBucket (bucket: TokenBucket, rate: number, burst: number, nowMs: number): void {
  const addedBurst = Math.max(0, burst - bucket.burst)
  replaceRate(bucket, rate, burst, nowMs)
  bucket.fullAtMs = Math.max(nowMs, bucket.fullAtMs) + addedBurst / rate
}

/**
 * Verdict on an operation. If it is admitted, the client waits for `delayMs` before it runs. `isUncounted` means that the operation was not
 * refused for the limit, but because no VM that counts it responded.
 */
export type QuotaVerdict = { isAdmitted: true, delayMs: number } | { isAdmitted: false, retryAfterMs: number, isUncounted?: boolean, refusals?: readonly ShareRefusal[] }

/** A counting VM's refusal: when it has a token, and how many it has now; negative while operations wait for theirs. */
export interface ShareRefusal { vm: string, retryAfterMs: number, tokensLeft?: number }

/**
 * Counts one operation of a workspace against this VM's share of its limit, or refuses it. If its token only becomes available within
 * `maxDelayMs`, the operation is admitted for that time. Admits everything if this VM has no share.
 *
 * @param maxDelayMs how long the operation may wait for its token, in milliseconds; 0 by default
 */
export function admitOperation (state: QuotaState, workspace: string, nowMs: number, maxDelayMs = 0): QuotaVerdict {
  const bucket = state.shares.get(workspace)?.bucket
  if (bucket === undefined) return { isAdmitted: true, delayMs: 0 }
  const delayMs = countAvailableTokens(bucket, nowMs) >= 1 ? 0 : computeRetryAfterMs(bucket, nowMs)
  if (delayMs > maxDelayMs) return { isAdmitted: false, retryAfterMs: delayMs }
  countOperation(state, workspace, nowMs)
  return { isAdmitted: true, delayMs }
}

/** Counts an operation that has already been admitted, even beyond the limit; later operations are then refused for longer. */
export function countOperation (state: QuotaState, workspace: string, nowMs: number): void {
  const share = state.shares.get(workspace)
  if (share === undefined) return
  for (const bucket of [share.bucket, share.whole]) {
    reserveTokens(bucket, 1)
    spendReservedTokens(bucket, 1, nowMs)
  }
}

/**
 * Gives back the token of an operation that was counted at `countedAtMs` and has not run.
 *
 * @returns whether it was given back: not if this VM has had its share only since then
 */
export function releaseToken (state: QuotaState, workspace: string, countedAtMs: number, nowMs: number): boolean {
  const share = state.shares.get(workspace)
  if (share === undefined || countedAtMs < share.createdAtMs || countedAtMs > nowMs) return false
  for (const bucket of [share.bucket, share.whole]) bucket.fullAtMs -= 1 / bucket.rate
  return true
}

/**
 * Plans when the client of a refused operation should return: behind the clients that were refused before, at the rate at which tokens become available.
 *
 * @returns milliseconds until then
 */
export function planReturn (state: QuotaState, workspace: string, nowMs: number): number {
  const share = state.shares.get(workspace)
  if (share === undefined) return 0
  const availableAtMs = nowMs + computeRetryAfterMs(share.bucket, nowMs)
  const returnAtMs = Math.max(availableAtMs, Math.min(share.nextReturnAtMs, availableAtMs + MAX_PLANNED_RETURN_MS))
  share.nextReturnAtMs = returnAtMs + 1 / share.bucket.rate
  return Math.ceil(returnAtMs - nowMs)
}

/** Counts the tokens that are left of this VM's share of a limit; negative while operations wait for theirs. */
export function countTokensLeft (state: QuotaState, workspace: string, nowMs: number): number {
  const bucket = state.shares.get(workspace)?.bucket
  return bucket === undefined ? 0 : countAvailableTokens(bucket, nowMs)
}

/** Whether enough of a workspace's limit is left on this VM that other VMs may admit operations without requesting a permit first. */
export function hasReserve (state: QuotaState, workspace: string, nowMs: number): boolean {
  const bucket = state.shares.get(workspace)?.bucket
  return bucket === undefined || countAvailableTokens(bucket, nowMs) >= MIN_RESERVE_FRACTION * bucket.burst
}
