import { computeRetryAfterMs, countAvailable, createBucket, replaceRate, reserveTokens, spendReserved, type TokenBucket } from '@camphorpitch/wire'
import type { Workspace } from '../configuration/configuration.ts'

/** Operations of a window that are added to what each VM was asked for, as few operations tell little of the next ones. */
const PRIOR_OPERATIONS = 1
/** Part of the tolerated excess that is spread over the VMs, so that few operations need not come evenly. */
const SPREAD_PART = 0.8
/** Part of the tolerated excess that a restarted VM may use, as it does not know what it used before. */
const RESTART_PART = 0.3
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

/** Operations that each VM was asked for in the last window, by workspace. */
export type Demand = ReadonlyMap<string, number>

export interface QuotaState {
  tolerance: QuotaTolerance
  /** Whether this process may start with full buckets, as nothing has been used yet. */
  isFirstStart: boolean
  buckets: Map<string, TokenBucket>
}

export function createQuotaState (tolerance: QuotaTolerance, isFirstStart: boolean): QuotaState {
  return { tolerance, isFirstStart, buckets: new Map() }
}

/**
 * This VM's part of a workspace's limit. The parts of all VMs add up to 1 where their views agree.
 *
 * @example computeQuotaShare({ own: 30, total: 60, vms: 4 }) // 0.484...
 */
export function computeQuotaShare ({ own, total, vms }: { own: number, total: number, vms: number }): number {
  return (own + PRIOR_OPERATIONS) / (total + PRIOR_OPERATIONS * Math.max(1, vms))
}

/** Takes in limits and shares among `vms` VMs; workspaces without a limit have no bucket. */
export function updateQuotas (state: QuotaState, workspaces: readonly Workspace[], readShare: (workspace: string) => number, vms: number, nowMs: number): void {
  for (const workspace of workspaces) updateQuota(state, workspace, readShare(workspace.name), vms, nowMs)
  const names = new Set(workspaces.map(w => w.name))
  for (const name of state.buckets.keys()) if (!names.has(name)) state.buckets.delete(name)
}

function updateQuota (state: QuotaState, { name, ratePerSecond, burst = 0 }: Workspace, share: number, vms: number, nowMs: number): void {
  if (ratePerSecond === undefined) {
    state.buckets.delete(name)
    return
  }
  const { windowMs, overshoot, slack } = state.tolerance
  const excess = (ratePerSecond * windowMs / MS_PER_SECOND + burst) * overshoot + slack
  const rate = Math.max(MIN_RATE, ratePerSecond * share / MS_PER_SECOND)
  const ownBurst = ratePerSecond + burst === 0 ? 0 : Math.max(1, burst * share + SPREAD_PART * excess / vms)
  const bucket = state.buckets.get(name)
  if (bucket !== undefined) {
    replaceRate(bucket, rate, ownBurst, nowMs)
    return
  }
  const level = state.isFirstStart ? ownBurst : Math.min(ownBurst, RESTART_PART * excess * share)
  state.buckets.set(name, createBucket(rate, ownBurst, nowMs - level / rate))
}

export type QuotaVerdict = { isAdmitted: true } | { isAdmitted: false, retryAfterMs: number }

/** Counts one operation of a workspace against its limit, or refuses it. */
export function admitOperation (state: QuotaState, workspace: string, nowMs: number): QuotaVerdict {
  const bucket = state.buckets.get(workspace)
  if (bucket === undefined) return { isAdmitted: true }
  if (countAvailable(bucket, nowMs) < 1) return { isAdmitted: false, retryAfterMs: computeRetryAfterMs(bucket, nowMs) }
  reserveTokens(bucket, 1)
  spendReserved(bucket, 1, nowMs)
  return { isAdmitted: true }
}
