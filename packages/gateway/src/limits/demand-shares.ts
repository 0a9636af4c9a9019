import { COUNTING_VMS_PER_LIMIT } from './counting-vms.ts'
import { computeQuotaShare, type Demand, type FleetDemand } from './quota.ts'

/** Demand reports older than this are dropped. It is longer than polling every VM of a large fleet once takes. */
const MAX_REPORT_AGE_MS = 60_000

interface VmDemand { demand: Demand, expiresAtMs: number }

/** What this VM last reported to another VM. The other VM uses `latest` from its next round on, and `previous` until then. */
interface ReportedDemand { latest: Demand, previous: Demand, reportedAtMs: number }

/** Demand on each VM, from which the VMs compute their shares of the limits. */
export interface DemandShares {
  /** This VM's demand, as it is reported to the other VMs from now on. */
  local: Demand
  /** Reports of this VM's demand to each other VM, by VM name. */
  reported: Map<string, ReportedDemand>
  /** Last report of each other VM, by VM name. */
  others: Map<string, VmDemand>
  /** This VM's demand before it last started; `null` if the store has no record of it. */
  beforeStart: Demand | null
}

export function createDemandShares (): DemandShares {
  return { local: new Map(), reported: new Map(), others: new Map(), beforeStart: null }
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
  if (isKnownToAll) {
    shares.local = demand
    return
  }
  shares.local = new Map([...demand].map(([name, count]) => [name, Math.min(count, shares.local.get(name) ?? 0)]))
}

/** Returns this VM's demand for a report to another VM, and records that it was reported. */
export function createDemandReport (shares: DemandShares, vm: string, nowMs: number): Demand {
  const previous = shares.reported.get(vm)?.latest ?? shares.local
  shares.reported.set(vm, { latest: shares.local, previous, reportedAtMs: nowMs })
  return shares.local
}

/** Stores another VM's latest demand report, which counts for at most `validMs`. */
export function recordVmDemand (shares: DemandShares, vm: string, demand: Demand, nowMs: number, validMs = MAX_REPORT_AGE_MS): void {
  shares.others.set(vm, { demand, expiresAtMs: nowMs + validMs })
}

/** Drops a VM that has left the fleet. */
export function removeVmDemand (shares: DemandShares, vm: string): void {
  shares.others.delete(vm)
  shares.reported.delete(vm)
}

/** Drops reports that are too old to count. */
export function sweepDemand (shares: DemandShares, nowMs: number): void {
  for (const [vm, { reportedAtMs }] of shares.reported) if (nowMs - reportedAtMs > MAX_REPORT_AGE_MS) shares.reported.delete(vm)
  for (const [vm, { expiresAtMs }] of shares.others) if (nowMs > expiresAtMs) shares.others.delete(vm)
}

/**
 * Describes the demand on a fleet in which every VM counts each limit.
 *
 * Each VM computes its share from its own demand as far as every other VM uses it too, and from the latest reports of the
 * others, so the shares add up to 1 at most. Until the VMs have reported to each other, a share is at most an equal part.
 * Demand beyond the limit can only be refused, so it does not raise a share further.
 *
 * @param vms number of VMs in the fleet, this one included
 * @param hasAllReports whether every other VM has responded recently
 */
export function createFleetDemand (shares: DemandShares, vms: number, hasAllReports: boolean): FleetDemand {
  const readTotal = (workspace: string): number => readTotalDemand(shares, workspace)
  const isKnownToAll = shares.reported.size >= vms - 1 || shares.beforeStart !== null
  const isDemandKnown = isKnownToAll && shares.others.size >= vms - 1
  const readShare = (workspace: string, limitPerWindow: number): number => {
    const local = Math.min(limitPerWindow, computeKnownLocalDemand(shares, workspace))
    const share = computeQuotaShare({ local, total: local + sumOtherDemand(shares, workspace, limitPerWindow), vms })
    return isDemandKnown ? share : Math.min(share, 1 / vms)
  }
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
  return (shares.local.get(workspace) ?? 0) + sumOtherDemand(shares, workspace)
}

/** Computes the demand on this VM that every other VM takes into account already. */
function computeKnownLocalDemand (shares: DemandShares, workspace: string): number {
  let known = shares.local.get(workspace) ?? 0
  for (const { latest, previous } of shares.reported.values()) known = Math.min(known, latest.get(workspace) ?? 0, previous.get(workspace) ?? 0)
  return known
}

/** @param maxPerVm upper bound of the demand that counts for each VM */
function sumOtherDemand (shares: DemandShares, workspace: string, maxPerVm = Infinity): number {
  let sum = 0
  for (const { demand } of shares.others.values()) sum += Math.min(maxPerVm, demand.get(workspace) ?? 0)
  return sum
}
