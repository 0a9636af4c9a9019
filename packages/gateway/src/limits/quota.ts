import { computeRetryAfterMs, countAvailable, createBucket, replaceRate, reserveTokens, spendReserved, type TokenBucket } from '@camphorpitch/wire'
import type { Workspace } from '../configuration/configuration.ts'

/** Part of a limit that is shared out evenly; the rest follows what each VM is asked for. */
const EVEN_PART = 0.25
/** Part of the tolerated excess that a restarted VM may use, as it does not know what it used before. */
const RESTART_PART = 0.6
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
 * @example computeQuotaShare({ own: 30, total: 60, vms: 4 }) // 0.4375
 */
export function computeQuotaShare ({ own, total, vms }: { own: number, total: number, vms: number }): number {
  const even = 1 / Math.max(1, vms)
  if (total <= 0) return even
  return EVEN_PART * even + (1 - EVEN_PART) * own / total
}

/** Takes in limits and shares; workspaces without a limit have no bucket. */
export function updateQuotas (state: QuotaState, workspaces: readonly Workspace[], readShare: (workspace: string) => number, nowMs: number): void {
  for (const workspace of workspaces) updateQuota(state, workspace, readShare(workspace.name), nowMs)
  const names = new Set(workspaces.map(w => w.name))
  for (const name of state.buckets.keys()) if (!names.has(name)) state.buckets.delete(name)
}

function updateQuota (state: QuotaState, { name, ratePerSecond, burst = 0 }: Workspace, share: number, nowMs: number): void {
  if (ratePerSecond === undefined) {
    state.buckets.delete(name)
    return
  }
  const rate = Math.max(MIN_RATE, ratePerSecond * share / MS_PER_SECOND)
  const ownBurst = ratePerSecond + burst === 0 ? 0 : Math.max(1, burst * share)
  const bucket = state.buckets.get(name)
  if (bucket !== undefined) replaceRate(bucket, rate, ownBurst, nowMs)
  else state.buckets.set(name, createQuotaBucket(state, { rate, burst: ownBurst, limit: ratePerSecond * state.tolerance.windowMs / MS_PER_SECOND + burst, share }, nowMs))
}

function createQuotaBucket (state: QuotaState, { rate, burst, limit, share }: { rate: number, burst: number, limit: number, share: number }, nowMs: number): TokenBucket {
  const { overshoot, slack } = state.tolerance
  const level = state.isFirstStart ? burst : Math.min(burst, share * RESTART_PART * (limit * overshoot + slack))
  return createBucket(rate, burst, nowMs - level / rate)
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
