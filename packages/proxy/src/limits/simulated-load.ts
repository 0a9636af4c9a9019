import { countAvailableTokens, createBucket, type Rate, reserveTokens, spendReservedTokens } from '@camphorpitch/wire'
import type { AdmissionRecord, SimulatedFleet, SimulatedVm } from './simulated-fleet.ts'

const BUSY_VM_CHANGE_INTERVAL_MS = 2_000

export interface LoadOptions {
  workspace: string
  requestsPerSecond: number
  endMs: number
}

/** Schedules Poisson arrivals. Most of them go to one VM, which changes every `BUSY_VM_CHANGE_INTERVAL_MS`; the rest go to any VM. */
export function startMovingLoad (fleet: SimulatedFleet, { workspace, requestsPerSecond, endMs }: LoadOptions): void {
  const { queue, vms, random } = fleet
  let busyVm = vms[0]!
  let nextMoveAtMs = -Infinity
  function pickVm (): SimulatedVm {
    if (queue.nowMs >= nextMoveAtMs) {
      nextMoveAtMs = queue.nowMs + BUSY_VM_CHANGE_INTERVAL_MS
      busyVm = vms[Math.floor(random() * vms.length)]!
    }
    return random() < 0.6 ? busyVm : vms[Math.floor(random() * vms.length)]!
  }
  function scheduleNext (): void {
    const atMs = queue.nowMs - Math.log(1 - random()) * 1000 / requestsPerSecond
    if (atMs < endMs) queue.schedule(atMs, requestOnce)
  }
  function requestOnce (): void {
    fleet.admit(pickVm(), workspace)
    scheduleNext()
  }
  scheduleNext()
}

export interface LoadResult {
  requests: number
  admitted: number
  /** Requests that a single exact bucket would have admitted, which sees every arrival without delay. */
  withinRate: number
  /** Requests refused although the exact bucket would have admitted them. */
  wrongfulRefusals: number
  /** Longest wait for a decision. */
  longestWaitMs: number
}

/** Compares a workspace's admissions from `startMs` on with those of a single exact bucket, which is full at `startMs`. */
export function computeLoadResult (records: readonly AdmissionRecord[], workspace: string, rate: Rate, startMs: number): LoadResult {
  const workspaceRecords = records.filter(r => r.workspace === workspace && r.requestedAtMs >= startMs).sort((a, b) => a.requestedAtMs - b.requestedAtMs)
  const ratePerMs = rate.statementsPerSecond / 1000
  const bucket = createBucket(ratePerMs, rate.burst, startMs - rate.burst / ratePerMs)
  const result = { requests: workspaceRecords.length, admitted: 0, withinRate: 0, wrongfulRefusals: 0, longestWaitMs: 0 }
  for (const { requestedAtMs, atMs, admission } of workspaceRecords) {
    const isWithin = countAvailableTokens(bucket, requestedAtMs) >= 1
    if (isWithin) {
      reserveTokens(bucket, 1)
      spendReservedTokens(bucket, 1, requestedAtMs)
      result.withinRate += 1
      if (!admission.admitted) result.wrongfulRefusals += 1
    }
    if (admission.admitted) result.admitted += 1
    result.longestWaitMs = Math.max(result.longestWaitMs, atMs - requestedAtMs)
  }
  return result
}
