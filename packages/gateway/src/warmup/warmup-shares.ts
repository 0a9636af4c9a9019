import { z } from 'zod'
import type { VmEntry } from '../fleet/message-schemas.ts'
import { pickVms } from '../limits/counting-vms.ts'

/** Requests per second that a VM's share has at least: a transaction of five statements can then run without a wait. */
const MIN_SHARE = 5

/** How far the requests to a cold endpoint may exceed its service's limit. */
export interface WarmupTolerance {
  /** Factor on the limit's requests per second. */
  overshoot: number
  /** Requests per second added to that. */
  slack: number
}

/** Shares of the limit of one start of an endpoint, as the metadata store holds them. They are written once for each start. */
export const warmupRecordSchema = z.object({
  /** Epoch of the store in which the shares were written. */
  epoch: z.number(),
  /** Start of the endpoint. */
  startedAtMs: z.number(),
  /** Requests per second that all shares together may allow. */
  maxPerSecond: z.number().int(),
  /** Requests that each VM may send in a second; other VMs may send none. */
  shares: z.array(z.object({ vm: z.string(), incarnation: z.number(), count: z.number().int().positive() }))
})
export type WarmupRecord = z.infer<typeof warmupRecordSchema>

/**
 * Computes how many requests a cold endpoint may get in any second, from all VMs together.
 *
 * @example computeMaxPerSecond(20, { overshoot: 1.5, slack: 5 }) // 35
 */
export function computeMaxPerSecond (requestsPerSecond: number, { overshoot, slack }: WarmupTolerance): number {
  return Math.floor(requestsPerSecond * overshoot + slack)
}

/**
 * Plans the shares of an endpoint's limit: a few VMs, picked by rendezvous hashing, get `MIN_SHARE` requests per second or more each. VMs
 * that are known to be unresponsive must be left out of `vms`, as their shares would not be used.
 */
export function planWarmupRecord ({ epoch, endpoint, startedAtMs, maxPerSecond, vms }: { epoch: number, endpoint: string, startedAtMs: number, maxPerSecond: number, vms: readonly VmEntry[] }): WarmupRecord {
  const holderCount = Math.min(maxPerSecond, vms.length, Math.max(1, Math.floor(maxPerSecond / MIN_SHARE)))
  const holders = pickVms(vms, `${endpoint} ${startedAtMs}`, holderCount)
  const shares = holders.map(({ vm, incarnation }, i) => ({ vm, incarnation, count: Math.floor(maxPerSecond / holderCount) + (i < maxPerSecond % holderCount ? 1 : 0) }))
  return { epoch, startedAtMs, maxPerSecond, shares }
}

/**
 * Computes a VM's share of the requests per second to a cold endpoint.
 *
 * A restarted VM has its share only after `restartWaitMs`: what its earlier process sent may still arrive.
 *
 * @param maxPerSecond limit that holds now; if it was reduced after the shares were written, each share is reduced in proportion
 * @param uptimeMs time since the start of this VM's process
 */
export function computeWarmupShare (record: WarmupRecord, { vm, incarnation, uptimeMs, restartWaitMs, maxPerSecond }: { vm: string, incarnation: number, uptimeMs: number, restartWaitMs: number, maxPerSecond: number }): number {
  const share = record.shares.find(s => s.vm === vm)
  if (share === undefined || share.incarnation > incarnation || (share.incarnation < incarnation && uptimeMs < restartWaitMs)) return 0
  return maxPerSecond >= record.maxPerSecond ? share.count : Math.floor(share.count * maxPerSecond / record.maxPerSecond)
}
