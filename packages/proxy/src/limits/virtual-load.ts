import { countAvailable, createBucket, type Rate, reserveTokens, spendReserved } from '@camphorpitch/wire'
import type { AdmissionRecord, VirtualFleet, VirtualVm } from './virtual-fleet.ts'

const BUSY_VM_CHANGE_INTERVAL_MS = 2_000

export interface LoadOptions {
  workspace: string
  requestsPerSecond: number
  endMs: number
}

/** Poisson arrivals, most of them at one VM, which changes every few seconds; the rest anywhere. */
export function startMovingLoad (fleet: VirtualFleet, { workspace, requestsPerSecond, endMs }: LoadOptions): void {
  const { queue, vms, random } = fleet
  let busyVm = vms[0]!
  let nextMoveAtMs = -Infinity
  function pickVm (): VirtualVm {
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
  /** Requests that one exact bucket, which sees every arrival at once, would have admitted. */
  within: number
  /** Requests refused although they were within the rate. */
  wrongful: number
  /** Longest wait for an admission, in milliseconds. */
  longestWaitMs: number
}

/** Compares a workspace's admissions with those of one exact bucket, which is full at `startMs`. */
export function computeLoadResult (records: readonly AdmissionRecord[], workspace: string, rate: Rate, startMs: number): LoadResult {
  const workspaceRecords = records.filter(r => r.workspace === workspace && r.requestedAtMs >= startMs).sort((a, b) => a.requestedAtMs - b.requestedAtMs)
  const ratePerMs = rate.statementsPerSecond / 1000
  const bucket = createBucket(ratePerMs, rate.burst, startMs - rate.burst / ratePerMs)
  const result = { requests: workspaceRecords.length, admitted: 0, within: 0, wrongful: 0, longestWaitMs: 0 }
  for (const { requestedAtMs, atMs, admission } of workspaceRecords) {
    const isWithin = countAvailable(bucket, requestedAtMs) >= 1
    if (isWithin) {
      reserveTokens(bucket, 1)
      spendReserved(bucket, 1, requestedAtMs)
      result.within += 1
      if (!admission.admitted) result.wrongful += 1
    }
    if (admission.admitted) result.admitted += 1
    result.longestWaitMs = Math.max(result.longestWaitMs, atMs - requestedAtMs)
  }
  return result
}
