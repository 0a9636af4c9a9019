/** Demand reports older than this are dropped. It is longer than polling every VM of a large fleet once takes. */
const MAX_REPORT_AGE_MS = 60_000

/** Operations requested from a VM in the last window, by workspace, whether admitted or refused. */
export type Demand = ReadonlyMap<string, number>

/** Demand on each VM, as the VMs report it to each other. */
export interface DemandReports {
  /** This VM's demand. */
  local: Demand
  /** Last report of each other VM, by VM name. */
  others: Map<string, { demand: Demand, receivedAtMs: number }>
}

export function createDemandReports (): DemandReports {
  return { local: new Map(), others: new Map() }
}

/** Stores another VM's latest demand report. */
export function recordVmDemand (reports: DemandReports, vm: string, demand: Demand, nowMs: number): void {
  reports.others.set(vm, { demand, receivedAtMs: nowMs })
}

/** Drops a VM that has left the fleet. */
export function removeVmDemand (reports: DemandReports, vm: string): void {
  reports.others.delete(vm)
}

/** Drops reports that are too old to count. */
export function sweepDemand (reports: DemandReports, nowMs: number): void {
  for (const [vm, { receivedAtMs }] of reports.others) if (nowMs - receivedAtMs > MAX_REPORT_AGE_MS) reports.others.delete(vm)
}

/** Sums the operations of a workspace that were requested from all VMs in their last reported windows. */
export function sumFleetDemand (reports: DemandReports, workspace: string): number {
  let sum = reports.local.get(workspace) ?? 0
  for (const { demand } of reports.others.values()) sum += demand.get(workspace) ?? 0
  return sum
}
