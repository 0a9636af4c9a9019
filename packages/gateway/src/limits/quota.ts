import { computeRetryAfterMs, countAvailable, createBucket, replaceRate, reserveTokens, spendReserved, type TokenBucket } from '@camphorpitch/wire'
import type { Workspace } from '../configuration/configuration.ts'

/** Operations of a window that are added to what each VM was asked for, as few operations tell little of the next ones. */
const PRIOR_OPERATIONS = 1
/** Part of the tolerated slack that is spread over the VMs, so that few operations need not come evenly. */
const SPREAD_PART = 0.5
/** The same of what a large limit may be overshot by: it must also cover parts that do not add up while demand moves. */
const SPREAD_PART_OF_OVERSHOOT = 0.1
/** Part of the spread where few VMs count: their parts are large, and the others may admit a little uncounted. */
const SPREAD_PART_OF_FEW = 0.6
/** Part of the tolerated excess that a restarted VM may use, as it does not know what it used before. */
const RESTART_PART = 0.1
/** A workspace that asks for less than this part of its rate is calm: its limit is far from used up. */
const CALM_PART = 0.8
/** Part of a calm workspace's limit that all VMs together may admit in a round beyond their parts. */
const LENT_PART = 0.05
/** The same as a part of the tolerated excess: two rounds of it, the spread part and a restart's part fill the excess. */
const LENT_PART_OF_EXCESS = 0.15
/** Part of its burst that a workspace may use right after a restart if it was calm before. */
const REMEMBERED_PART = 0.7
/** Part of its bucket that a calm workspace has left. */
const RESERVE_PART = 0.2
/** Smallest rate of a bucket, in operations per millisecond; a limit of 0 admits nothing. */
const MIN_RATE = 1e-6
const MS_PER_SECOND = 1_000

/** How far the count over a window may exceed the limit. */
export interface QuotaTolerance {
  windowMs: number
  /** Part of the limit. */
  overshoot: number
  /** Operations. */
  slack: number
}

/** What is known of the demand on the whole fleet. */
export interface FleetDemand {
  vms: number
  /** Whether every VM was heard lately. */
  isComplete: boolean
  /** Whether a few VMs count each limit, which others may take over from them. */
  isCountedByFew: boolean
  /** This VM's part of a workspace's limit; 0 where it counts nothing. */
  readShare: (workspace: string) => number
  /** Operations of a workspace that all VMs were asked for in the last window. */
  readTotal: (workspace: string) => number
}

/** Operations that each VM was asked for in the last window, by workspace. */
export type Demand = ReadonlyMap<string, number>

export interface QuotaState {
  tolerance: QuotaTolerance
  /** Whether this process may start with full buckets, as nothing has been used yet. */
  isFirstStart: boolean
  /** Workspaces that are known not to have been calm before this process started; `null` while that is not known. */
  pressedBefore: ReadonlySet<string> | null
  startedAtMs: number
  buckets: Map<string, TokenBucket>
  /** Operations that may be admitted beyond this VM's part until the next round. */
  lent: Map<string, number>
  /** Workspaces that are not calm now. */
  pressed: Set<string>
}

export function createQuotaState (tolerance: QuotaTolerance, isFirstStart: boolean, nowMs = 0): QuotaState {
  return { tolerance, isFirstStart, pressedBefore: null, startedAtMs: nowMs, buckets: new Map(), lent: new Map(), pressed: new Set() }
}

/** Takes in which workspaces were not calm before this process started; the others may use their burst at once. */
export function applyPressedBefore (state: QuotaState, pressed: Iterable<string>): void {
  state.pressedBefore = new Set(pressed)
  state.buckets.clear()
}

/** Whether the workspace may have used up its limit before this process started, within the present window. */
function isUseUnknown (state: QuotaState, workspace: string, nowMs: number): boolean {
  const isYoung = !state.isFirstStart && nowMs - state.startedAtMs < state.tolerance.windowMs
  return isYoung && (state.pressedBefore === null || state.pressedBefore.has(workspace))
}

/**
 * This VM's part of a workspace's limit. The parts of all VMs add up to 1 where their views agree.
 *
 * @example computeQuotaShare({ own: 30, total: 60, vms: 4 }) // 0.484...
 */
export function computeQuotaShare ({ own, total, vms }: { own: number, total: number, vms: number }): number {
  return (own + PRIOR_OPERATIONS) / (total + PRIOR_OPERATIONS * Math.max(1, vms))
}

/** Takes in limits and demand, once a round; workspaces without a limit have no bucket. */
export function updateQuotas (state: QuotaState, workspaces: readonly Workspace[], fleet: FleetDemand, nowMs: number): void {
  for (const workspace of workspaces) updateQuota(state, workspace, fleet, nowMs)
  const names = new Set(workspaces.map(w => w.name))
  for (const name of state.buckets.keys()) if (!names.has(name)) removeQuota(state, name)
}

function removeQuota (state: QuotaState, name: string): void {
  state.buckets.delete(name)
  state.lent.delete(name)
  state.pressed.delete(name)
}

function updateQuota (state: QuotaState, { name, ratePerSecond, burst = 0 }: Workspace, fleet: FleetDemand, nowMs: number): void {
  if (ratePerSecond === undefined) return removeQuota(state, name)
  const { windowMs, overshoot, slack } = state.tolerance
  const share = fleet.readShare(name)
  const rateInWindow = ratePerSecond * windowMs / MS_PER_SECOND
  const excess = (rateInWindow + burst) * overshoot + slack
  const rate = Math.max(MIN_RATE, ratePerSecond * share / MS_PER_SECOND)
  const ownBurst = ratePerSecond + burst === 0 ? 0 : Math.max(1, burst * share + computeSpread(state.tolerance, rateInWindow + burst, fleet))
  const bucket = state.buckets.get(name)
  if (share === 0) state.buckets.delete(name)
  else if (bucket !== undefined) replaceRate(bucket, rate, ownBurst, nowMs)
  else {
    const level = Math.min(ownBurst, computeFirstLevel(state, name, { ownBurst, cautious: RESTART_PART * excess * share, calm: REMEMBERED_PART * burst * share }, fleet, nowMs))
    state.buckets.set(name, createBucket(rate, ownBurst, nowMs - level / rate))
  }
  updateLent(state, name, { rateInWindow, lendable: Math.min(LENT_PART * (rateInWindow + burst + slack), LENT_PART_OF_EXCESS * excess) / fleet.vms }, fleet, nowMs)
}

/** Operations that this VM's bucket holds beyond its part of the burst. */
function computeSpread ({ overshoot, slack }: QuotaTolerance, allowed: number, { vms, isCountedByFew }: FleetDemand): number {
  const whole = SPREAD_PART * slack + SPREAD_PART_OF_OVERSHOOT * allowed * overshoot
  return (isCountedByFew ? SPREAD_PART_OF_FEW * whole : whole) / vms
}

/** Operations that a new bucket holds, by what may have been used of the limit before. */
function computeFirstLevel (state: QuotaState, name: string, levels: { ownBurst: number, cautious: number, calm: number }, fleet: FleetDemand, nowMs: number): number {
  const isSettled = nowMs - state.startedAtMs >= state.tolerance.windowMs
  if (fleet.isCountedByFew && isSettled) return state.pressed.has(name) ? levels.cautious : levels.calm
  if (isUseUnknown(state, name, nowMs)) return levels.cautious
  return state.isFirstStart ? levels.ownBurst : levels.calm
}

/** While all VMs together are asked for well below the limit, one may go beyond its part a little. */
function updateLent (state: QuotaState, name: string, { rateInWindow, lendable }: { rateInWindow: number, lendable: number }, fleet: FleetDemand, nowMs: number): void {
  const isCalm = fleet.readTotal(name) < CALM_PART * rateInWindow
  if (isCalm) state.pressed.delete(name)
  else state.pressed.add(name)
  const isObserved = nowMs - state.startedAtMs >= state.tolerance.windowMs
  if (!isCalm || !fleet.isComplete || !isObserved) state.lent.delete(name)
  else state.lent.set(name, Math.min((state.lent.get(name) ?? 0) + lendable, Math.max(1, lendable)))
}

/** `isUncounted`: not refused for the limit, but because no VM that counts it answers. */
export type QuotaVerdict = { isAdmitted: true } | { isAdmitted: false, retryAfterMs: number, isUncounted?: boolean }

/** Counts one operation of a workspace against its limit, or refuses it. */
export function admitOperation (state: QuotaState, workspace: string, nowMs: number): QuotaVerdict {
  const bucket = state.buckets.get(workspace)
  if (bucket === undefined) return { isAdmitted: true }
  const lent = state.lent.get(workspace) ?? 0
  if (countAvailable(bucket, nowMs) < 1 && lent >= 1) {
    state.lent.set(workspace, lent - 1)
    return { isAdmitted: true }
  }
  if (countAvailable(bucket, nowMs) < 1) return { isAdmitted: false, retryAfterMs: computeRetryAfterMs(bucket, nowMs) }
  countOperation(state, workspace, nowMs)
  return { isAdmitted: true }
}

/** Counts an operation that has been admitted, also beyond the limit: what follows is refused for longer then. */
export function countOperation (state: QuotaState, workspace: string, nowMs: number): void {
  const bucket = state.buckets.get(workspace)
  if (bucket === undefined) return
  reserveTokens(bucket, 1)
  spendReserved(bucket, 1, nowMs)
}

/** Whether enough of a workspace's limit is left that others need not ask first. */
export function hasReserve (state: QuotaState, workspace: string, nowMs: number): boolean {
  const bucket = state.buckets.get(workspace)
  return bucket === undefined || countAvailable(bucket, nowMs) >= RESERVE_PART * bucket.burst
}
