import { COUNTING_VMS_PER_LIMIT } from './counting-vms.ts'
import { computeQuotaShare, type Demand, type FleetDemand } from './quota.ts'

/** A report of a VM counts for this long after it was last heard, in milliseconds: longer than a turn of polls takes in a large fleet. */
const MAX_REPORT_AGE_MS = 60_000

interface VmDemand { demand: Demand, receivedAtMs: number }

/** What each VM was asked for, as the shares of the limits follow from it. */
export interface DemandShares {
  /** This VM's demand as it now tells it to others. */
  local: Demand
  /** This VM's demand as the others know it. Its part follows from this one: a newer count would make it too large. */
  publishedLocal: Demand
  others: Map<string, VmDemand>
  /** What this VM was asked for before it started, where that was recorded. */
  beforeStart: Demand | null
}

export function createDemandShares (): DemandShares {
  return { local: new Map(), publishedLocal: new Map(), others: new Map(), beforeStart: null }
}

/**
 * Fills up the counts of a VM that has run for part of a window only: without, its part would be next to nothing.
 * The missing part is taken from what it was asked for before it started, or else from the mean of the others.
 *
 * @param missingFraction part of the window that lies before its start, from 0 to 1
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
 * Takes in this VM's demand. While not every VM hears it, its part must not grow: the others count with
 * what they last heard.
 */
export function updateLocalDemand (shares: DemandShares, demand: Demand, isKnownToAll: boolean): void {
  shares.publishedLocal = shares.local
  if (isKnownToAll) {
    shares.local = demand
    return
  }
  shares.local = new Map([...demand].map(([name, count]) => [name, Math.min(count, shares.local.get(name) ?? 0)]))
}

export function recordVmDemand (shares: DemandShares, vm: string, demand: Demand, nowMs: number): void {
  shares.others.set(vm, { demand, receivedAtMs: nowMs })
}

export function sweepDemand (shares: DemandShares, nowMs: number): void {
  for (const [vm, { receivedAtMs }] of shares.others) if (nowMs - receivedAtMs > MAX_REPORT_AGE_MS) shares.others.delete(vm)
}

/** Describes the demand on the whole fleet of `vms` VMs. */
export function createFleetDemand (shares: DemandShares, vms: number, hasAllReports: boolean): FleetDemand {
  const readTotal = (workspace: string): number => readTotalDemand(shares, workspace)
  const readShare = (workspace: string): number => computeQuotaShare({ own: shares.publishedLocal.get(workspace) ?? 0, total: readTotal(workspace), vms })
  return { vms, hasAllReports, isCountedByFew: false, readShare, readTotal }
}

/** Describes the demand on a fleet in which few VMs count each limit, in equal parts: who finds one used up asks the next. */
export function createLargeFleetDemand (shares: DemandShares, isCounting: (workspace: string) => boolean): FleetDemand {
  return {
    vms: COUNTING_VMS_PER_LIMIT,
    hasAllReports: false,
    isCountedByFew: true,
    readShare: workspace => isCounting(workspace) ? 1 / COUNTING_VMS_PER_LIMIT : 0,
    readTotal: workspace => readTotalDemand(shares, workspace)
  }
}

function readTotalDemand (shares: DemandShares, workspace: string): number {
  let total = shares.publishedLocal.get(workspace) ?? 0
  for (const { demand } of shares.others.values()) total += demand.get(workspace) ?? 0
  return total
}
