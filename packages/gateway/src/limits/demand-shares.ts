import { COUNTING_VMS_PER_LIMIT } from './counting-vms.ts'
import { computeQuotaShare, type Demand, type FleetDemand } from './quota.ts'

/** Demand reports older than this are dropped. It is longer than polling every VM of a large fleet once takes. */
const MAX_REPORT_AGE_MS = 60_000

interface VmDemand { demand: Demand, receivedAtMs: number }

/** Demand on each VM, from which the VMs compute their shares of the limits. */
export interface DemandShares {
  /** This VM's demand, as it is reported to the other VMs from now on. */
  local: Demand
  /** This VM's demand as of the previous update, which the others know. The local share is computed from it: a newer count could make the share too large. */
  publishedLocal: Demand
  /** Last report of each other VM, by VM name. */
  others: Map<string, VmDemand>
  /** This VM's demand before it last started; `null` if the store has no record of it. */
  beforeStart: Demand | null
}

export function createDemandShares (): DemandShares {
  return { local: new Map(), publishedLocal: new Map(), others: new Map(), beforeStart: null }
}

/**
 * Completes the demand counted by a VM that has run for less than a window. Without this, a restarted VM would get a share
 * close to zero. The missing time is filled with the VM's recorded demand from before its start or, if there is
 * none, with the mean demand of the other VMs.
 *
 * @param counted operations counted since the start
 * @param missingFraction fraction of the window that lies before the start, from 0 to 1
 */
export function estimateDemand (shares: DemandShares, counted: Demand, missingFraction: number): Demand {
  if (missingFraction <= 0) return counted
  const estimated = new Map(counted)
  const expected = shares.beforeStart ?? computeMeanDemand([...shares.others.values()].map(o => o.demand))
  for (const [name, count] of expected) estimated.set(name, Math.round((estimated.get(name) ?? 0) + count * missingFraction))
  return estimated
}

function computeMeanDemand (demands: readonly Demand[]): Demand {
  const sums = new Map<string, number>()
  for (const demand of demands) for (const [name, count] of demand) sums.set(name, (sums.get(name) ?? 0) + count)
  return new Map([...sums].map(([name, sum]) => [name, sum / demands.length]))
}

/**
 * Updates this VM's demand. Unless every VM receives the new counts, they may only decrease: the other VMs
 * still compute their shares from the last report that they received, so the shares together would exceed the limit if this VM's share grew.
 */
export function updateLocalDemand (shares: DemandShares, demand: Demand, isKnownToAll: boolean): void {
  shares.publishedLocal = shares.local
  if (isKnownToAll) {
    shares.local = demand
    return
  }
  shares.local = new Map([...demand].map(([name, count]) => [name, Math.min(count, shares.local.get(name) ?? 0)]))
}

/** Stores another VM's latest demand report. */
export function recordVmDemand (shares: DemandShares, vm: string, demand: Demand, nowMs: number): void {
  shares.others.set(vm, { demand, receivedAtMs: nowMs })
}

/** Drops reports that are too old to count. */
export function sweepDemand (shares: DemandShares, nowMs: number): void {
  for (const [vm, { receivedAtMs }] of shares.others) if (nowMs - receivedAtMs > MAX_REPORT_AGE_MS) shares.others.delete(vm)
}

/**
 * Describes the demand on a fleet in which every VM counts each limit.
 *
 * @param vms number of VMs in the fleet, this one included
 * @param hasAllReports whether every other VM has responded recently
 */
export function createFleetDemand (shares: DemandShares, vms: number, hasAllReports: boolean): FleetDemand {
  const readTotal = (workspace: string): number => readTotalDemand(shares, workspace)
  const readShare = (workspace: string): number => computeQuotaShare({ local: shares.publishedLocal.get(workspace) ?? 0, total: readTotal(workspace), vms })
  return { vms, hasAllReports, isCountedByFewVms: false, readShare, readTotal }
}

/**
 * Describes the demand on a large fleet, in which a few VMs count each limit. They have equal shares, since a VM whose permit
 * request is refused by one of them sends it to the next.
 */
export function createLargeFleetDemand (shares: DemandShares, isCounting: (workspace: string) => boolean): FleetDemand {
  return {
    vms: COUNTING_VMS_PER_LIMIT,
    hasAllReports: false,
    isCountedByFewVms: true,
    readShare: workspace => isCounting(workspace) ? 1 / COUNTING_VMS_PER_LIMIT : 0,
    readTotal: workspace => readTotalDemand(shares, workspace)
  }
}

function readTotalDemand (shares: DemandShares, workspace: string): number {
  let total = shares.publishedLocal.get(workspace) ?? 0
  for (const { demand } of shares.others.values()) total += demand.get(workspace) ?? 0
  return total
}
