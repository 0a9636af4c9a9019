import { computeRetryAfterMs, countAvailable, createBucket, replaceRate, reserveTokens, spendReserved, type TokenBucket } from '@camphorpitch/wire'
import type { Workspace } from '../configuration/configuration.ts'

/** Operations of a window that are added to what each VM was asked for, as few operations tell little of the next ones. */
const PRIOR_OPERATIONS = 1
/** Part of the tolerated slack that is spread over the VMs, so that few operations need not come evenly. */
const SLACK_HEADROOM_FRACTION = 0.5
/** The same of what a large limit may be overshot by: it must also cover parts that do not add up while demand moves. */
const OVERSHOOT_HEADROOM_FRACTION = 0.1
/** Part of the spread where few VMs count: their parts are large, and the others may admit a little uncounted. */
const FEW_VMS_HEADROOM_FRACTION = 0.6
/** Part of the tolerated excess that a restarted VM may use, as it does not know what it used before. */
const RESTART_EXCESS_FRACTION = 0.1
/** A workspace that asks for less than this part of its rate is calm: its limit is far from used up. */
const NEAR_LIMIT_FRACTION = 0.8
/** Part of a calm workspace's limit that all VMs together may admit in a round beyond their parts. */
const OVERDRAFT_LIMIT_FRACTION = 0.05
/** The same as a part of the tolerated excess: two rounds of it, the spread part and a restart's part fill the excess. */
const OVERDRAFT_EXCESS_FRACTION = 0.15
/** Part of its burst that a workspace may use right after a restart if it was calm before. */
const RESTART_BURST_FRACTION = 0.7
/** Part of its bucket that a calm workspace has left. */
const MIN_RESERVE_FRACTION = 0.2
/** Smallest rate of a bucket, in operations per millisecond; a limit of 0 admits nothing. */
const MIN_RATE_PER_MS = 1e-6
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
  hasAllReports: boolean
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
  nearLimitBeforeStart: ReadonlySet<string> | null
  startedAtMs: number
  buckets: Map<string, TokenBucket>
  /** Operations that may be admitted beyond this VM's part until the next round. */
  overdraft: Map<string, number>
  /** Workspaces that are not calm now. */
  pressed: Set<string>
}

export function createQuotaState (tolerance: QuotaTolerance, isFirstStart: boolean, nowMs = 0): QuotaState {
  return { tolerance, isFirstStart, nearLimitBeforeStart: null, startedAtMs: nowMs, buckets: new Map(), overdraft: new Map(), pressed: new Set() }
}

/** Takes in which workspaces were not calm before this process started; the others may use their burst at once. */
export function applyNearLimitBeforeStart (state: QuotaState, nearLimit: Iterable<string>): void {
  state.nearLimitBeforeStart = new Set(nearLimit)
  state.buckets.clear()
}

/** Whether the workspace may have used up its limit before this process started, within the present window. */
function isPriorUseUnknown (state: QuotaState, workspace: string, nowMs: number): boolean {
  const isRecentlyStarted = !state.isFirstStart && nowMs - state.startedAtMs < state.tolerance.windowMs
  return isRecentlyStarted && (state.nearLimitBeforeStart === null || state.nearLimitBeforeStart.has(workspace))
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
  state.overdraft.delete(name)
  state.pressed.delete(name)
}

function updateQuota (state: QuotaState, { name, ratePerSecond, burst = 0 }: Workspace, fleet: FleetDemand, nowMs: number): void {
  if (ratePerSecond === undefined) return removeQuota(state, name)
  const { windowMs, overshoot, slack } = state.tolerance
  const share = fleet.readShare(name)
  const ratePerWindow = ratePerSecond * windowMs / MS_PER_SECOND
  const allowedExcess = (ratePerWindow + burst) * overshoot + slack
  const rate = Math.max(MIN_RATE_PER_MS, ratePerSecond * share / MS_PER_SECOND)
  const localBurst = ratePerSecond + burst === 0 ? 0 : Math.max(1, burst * share + computeBurstHeadroom(state.tolerance, ratePerWindow + burst, fleet))
  const bucket = state.buckets.get(name)
  if (share === 0) state.buckets.delete(name)
  else if (bucket !== undefined) replaceRate(bucket, rate, localBurst, nowMs)
  else {
    const level = Math.min(localBurst, computeInitialLevel(state, name, { localBurst, priorUseUnknown: RESTART_EXCESS_FRACTION * allowedExcess * share, wasBelowLimit: RESTART_BURST_FRACTION * burst * share }, fleet, nowMs))
    state.buckets.set(name, createBucket(rate, localBurst, nowMs - level / rate))
  }
  updateOverdraft(state, name, { ratePerWindow, overdraftPerRound: Math.min(OVERDRAFT_LIMIT_FRACTION * (ratePerWindow + burst + slack), OVERDRAFT_EXCESS_FRACTION * allowedExcess) / fleet.vms }, fleet, nowMs)
}

/** Operations that this VM's bucket holds beyond its part of the burst. */
function computeBurstHeadroom ({ overshoot, slack }: QuotaTolerance, limitPerWindow: number, { vms, isCountedByFew }: FleetDemand): number {
  const totalHeadroom = SLACK_HEADROOM_FRACTION * slack + OVERSHOOT_HEADROOM_FRACTION * limitPerWindow * overshoot
  return (isCountedByFew ? FEW_VMS_HEADROOM_FRACTION * totalHeadroom : totalHeadroom) / vms
}

/** Operations that a new bucket holds, by what may have been used of the limit before. */
function computeInitialLevel (state: QuotaState, name: string, levels: { localBurst: number, priorUseUnknown: number, wasBelowLimit: number }, fleet: FleetDemand, nowMs: number): number {
  const isSettled = nowMs - state.startedAtMs >= state.tolerance.windowMs
  if (fleet.isCountedByFew && isSettled) return state.pressed.has(name) ? levels.priorUseUnknown : levels.wasBelowLimit
  if (isPriorUseUnknown(state, name, nowMs)) return levels.priorUseUnknown
  return state.isFirstStart ? levels.localBurst : levels.wasBelowLimit
}

/** While all VMs together are asked for well below the limit, one may go beyond its part a little. */
function updateOverdraft (state: QuotaState, name: string, { ratePerWindow, overdraftPerRound }: { ratePerWindow: number, overdraftPerRound: number }, fleet: FleetDemand, nowMs: number): void {
  const isBelowLimit = fleet.readTotal(name) < NEAR_LIMIT_FRACTION * ratePerWindow
  if (isBelowLimit) state.pressed.delete(name)
  else state.pressed.add(name)
  const isSettled = nowMs - state.startedAtMs >= state.tolerance.windowMs
  if (!isBelowLimit || !fleet.hasAllReports || !isSettled) state.overdraft.delete(name)
  else state.overdraft.set(name, Math.min((state.overdraft.get(name) ?? 0) + overdraftPerRound, Math.max(1, overdraftPerRound)))
}

/** `isUncounted`: not refused for the limit, but because no VM that counts it answers. */
export type QuotaVerdict = { isAdmitted: true } | { isAdmitted: false, retryAfterMs: number, isUncounted?: boolean }

/** Counts one operation of a workspace against its limit, or refuses it. */
export function admitOperation (state: QuotaState, workspace: string, nowMs: number): QuotaVerdict {
  const bucket = state.buckets.get(workspace)
  if (bucket === undefined) return { isAdmitted: true }
  const overdraft = state.overdraft.get(workspace) ?? 0
  if (countAvailable(bucket, nowMs) < 1 && overdraft >= 1) {
    state.overdraft.set(workspace, overdraft - 1)
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
  return bucket === undefined || countAvailable(bucket, nowMs) >= MIN_RESERVE_FRACTION * bucket.burst
}
