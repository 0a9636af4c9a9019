import type { Clock } from '@camphorpitch/wire'
import type { ConfigurationHolder } from '../configuration/configuration-holder.ts'
import { isHeard, type MemberState } from '../fleet/members.ts'
import type { GatewaySettings } from '../settings.ts'
import type { Permit, Permitted } from '../fleet/messages.ts'
import { MAX_VMS_ALL_COUNTING, type CountingVms } from './counting-vms.ts'
import { estimateDemand, createDemandShares, createLargeFleetDemand, createFleetDemand, recordVmDemand, sweepDemand, updateLocalDemand } from './demand-shares.ts'
import { createDemandWindow, recordDemand, sumDemand } from './demand-window.ts'
import { admitOperation, applyNearLimitBeforeStart, countOperation, createQuotaState, hasReserve, updateQuotas, type FleetDemand, type QuotaVerdict } from './quota.ts'

const MS_PER_SECOND = 1_000

export interface QuotaKeeperOptions {
  settings: GatewaySettings
  clock: Clock
  configuration: ConfigurationHolder
  members: MemberState
  counting: CountingVms
}

/** Counts operations against this VM's parts of the workspaces' limits. */
export class QuotaKeeper {
  readonly #options: QuotaKeeperOptions
  readonly #state
  readonly #demandWindow
  readonly #demandShares = createDemandShares()

  constructor (options: QuotaKeeperOptions) {
    this.#options = options
    const { quota, isFirstStart } = options.settings
    const windowMs = quota.windowS * MS_PER_SECOND
    this.#state = createQuotaState({ windowMs, overshoot: quota.overshoot, slack: quota.slack }, isFirstStart, options.clock.readNow())
    this.#demandWindow = createDemandWindow(windowMs)
  }

  get vm (): string {
    return this.#options.settings.vm
  }

  /** Whether a workspace has a limit that few VMs count. */
  isCountedByFew (workspace: string): boolean {
    return this.#options.counting.isLargeFleet && this.#isLimited(workspace)
  }

  #isLimited (workspace: string): boolean {
    return this.#options.configuration.current?.workspaces.find(w => w.name === workspace)?.ratePerSecond !== undefined
  }

  admit (workspace: string): QuotaVerdict {
    const nowMs = this.#options.clock.readNow()
    recordDemand(this.#demandWindow, workspace, nowMs)
    return admitOperation(this.#state, workspace, nowMs)
  }

  /** Admits an operation of another VM's client, or of one of its own, if this VM counts the limit. */
  answerPermit ({ request, workspace, isRepeated, isAdmitted }: Permit): Permitted {
    const { counting, clock } = this.#options
    const nowMs = clock.readNow()
    const isCalm = !this.#state.pressed.has(workspace) && hasReserve(this.#state, workspace, nowMs)
    if (!this.#state.buckets.has(workspace) || !counting.isCounting(workspace)) return { type: 'permitted', request, result: 'notCounted', isCalm }
    if (!isRepeated) recordDemand(this.#demandWindow, workspace, nowMs)
    if (isAdmitted) {
      countOperation(this.#state, workspace, nowMs)
      return { type: 'permitted', request, result: 'admitted', isCalm }
    }
    const verdict = admitOperation(this.#state, workspace, nowMs)
    return verdict.isAdmitted ? { type: 'permitted', request, result: 'admitted', isCalm } : { type: 'permitted', request, result: 'refused', retryAfterMs: verdict.retryAfterMs, isCalm }
  }

  /** What this VM was asked for, as it tells the others. */
  listDemand (): Array<[string, number]> {
    return [...this.#demandShares.local]
  }

  recordVmDemand (vm: string, demand: ReadonlyArray<[string, number]>): void {
    recordVmDemand(this.#demandShares, vm, new Map(demand), this.#options.clock.readNow())
  }

  /** Takes in that a VM has ended: its part is free. */
  removeVm (vm: string): void {
    this.#demandShares.others.delete(vm)
  }

  /** Takes in the demand of the last window, and the limits as they stand. */
  update (): void {
    const { clock, members, configuration, counting } = this.#options
    const nowMs = clock.readNow()
    const all = [...members.members.values()]
    const hasAllReports = all.every(m => isHeard(m, nowMs))
    const { isFirstStart, startedAtMs, tolerance } = this.#state
    const missingFraction = isFirstStart ? 0 : 1 - (nowMs - startedAtMs) / tolerance.windowMs
    const isKnownToAll = hasAllReports || missingFraction > 0 || counting.isLargeFleet
    updateLocalDemand(this.#demandShares, estimateDemand(this.#demandShares, sumDemand(this.#demandWindow, nowMs), missingFraction), isKnownToAll)
    sweepDemand(this.#demandShares, nowMs)
    updateQuotas(this.#state, configuration.current?.workspaces ?? [], this.#describeFleet(hasAllReports), nowMs)
  }

  /** Demand on each limited workspace, what its rate allows in a window, and this VM's part. */
  listUse (): Array<{ workspace: string, demand: number, allowed: number, share: number }> {
    const { configuration, settings } = this.#options
    const fleet = this.#describeFleet(true)
    return (configuration.current?.workspaces ?? []).flatMap(({ name, ratePerSecond }) => ratePerSecond === undefined
      ? []
      : [{ workspace: name, demand: fleet.readTotal(name), allowed: ratePerSecond * settings.quota.windowS, share: fleet.readShare(name) }])
  }

  #describeFleet (hasAllReports: boolean): FleetDemand {
    const { members, counting, settings } = this.#options
    if (counting.isLargeFleet) return createLargeFleetDemand(this.#demandShares, workspace => counting.isCounting(workspace))
    const knownVms = members.members.size + 1
    // Others may run that this VM has not heard of, until somebody who knows has told it.
    const vmCount = members.isListed || settings.isFirstStart ? knownVms : Math.max(knownVms, MAX_VMS_ALL_COUNTING)
    return createFleetDemand(this.#demandShares, vmCount, hasAllReports)
  }

  /** Whether this VM has counted for a whole window since its start. */
  get isSettled (): boolean {
    const { startedAtMs, tolerance } = this.#state
    return this.#options.clock.readNow() - startedAtMs >= tolerance.windowMs
  }

  /** Whether a workspace asks for well below its limit, by what the counting VMs reported. */
  isReportedBelowLimit (workspace: string): boolean {
    return this.isSettled && !this.#state.pressed.has(workspace)
  }

  /** Workspaces that ask for nearly all that their limit allows, or more. */
  listNearLimit (): string[] {
    return [...this.#state.pressed].sort()
  }

  /** What every VM was asked for in the last window. */
  listAllDemand (): Record<string, Array<[string, number]>> {
    const demandByVm: Record<string, Array<[string, number]>> = { [this.#options.settings.vm]: this.listDemand() }
    for (const [vm, { demand }] of this.#demandShares.others) demandByVm[vm] = [...demand]
    return demandByVm
  }

  /** Takes in what was recorded before this process started. */
  applyRecord (nearLimit: readonly string[], demand: ReadonlyArray<[string, number]> | undefined): void {
    applyNearLimitBeforeStart(this.#state, nearLimit)
    if (demand !== undefined) this.#demandShares.beforeStart = new Map(demand)
    this.update()
    this.update() // The first takes the demand in, the second the parts that follow from it.
  }
}
