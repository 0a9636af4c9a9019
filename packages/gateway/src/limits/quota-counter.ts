import type { Clock } from '@camphorpitch/wire'
import type { Workspace } from '../configuration/configuration.ts'
import type { ConfigurationHolder } from '../configuration/configuration-holder.ts'
import { estimateReachedFraction, hasAllMembers, isInMajority, measureUnansweredMs, type MemberState } from '../fleet/members.ts'
import type { GatewaySettings } from '../settings.ts'
import type { Permit, PermitReleased, Permitted } from '../fleet/message-schemas.ts'
import { COUNTING_VMS_PER_LIMIT, type CountingVms } from './counting-vms.ts'
import { createDemandReports, type Demand, recordVmDemand, removeVmDemand, sumFleetDemand, sweepDemand } from './demand-reports.ts'
import { createDemandWindow, type DemandWindow, recordDemand, sumDemand } from './demand-window.ts'
import {
  admitOperation,
  computeAllowedExcess,
  countOperation,
  countTokensLeft,
  createQuotaState,
  grantUnusedBurst,
  hasReserve,
  listRecordChanges,
  planReturn,
  releaseToken,
  updateQuotas,
  type FleetDemand
} from './quota.ts'

const MS_PER_SECOND = 1_000
/** Fraction of the tolerated excess that all VMs may admit before it is counted. The rest covers the counting VMs' headroom, and restarts. */
const UNCOUNTED_FRACTION = 0.3
/**
 * The same for VMs that reach no counting VM, before their usual number is reserved for them. Some of a fleet are cut off one by one,
 * or more of them together on one side of a split.
 */
const SILENT_FRACTION = 0.8
/** Largest part of a fleet that is taken to be cut off one by one. */
const MAX_SINGLE_CUTS = 1 / 3
/** A counting VM's statement that a workspace is below its limit holds for this long. */
export const BELOW_LIMIT_VALID_MS = 20_000
/**
 * What a VM may admit uncounted is reserved once it has left a poll unanswered for this long, a round of polls and a slow response:
 * until then the limit may be used twice, and a reservation for a VM that still responds costs little.
 */
const RESERVE_AFTER_MS = 600
/** A fleet of fewer VMs than count a limit is taken for complete this long after this VM's start: the others register within that time. */
const SMALL_FLEET_SETTLE_MS = 2_000
/** Share of a limit while VMs may be missing among the members: more VMs than the usual number may take themselves for counting. */
const INCOMPLETE_FLEET_SHARE = 1 / (COUNTING_VMS_PER_LIMIT * 3)

/** What this VM counted for another one. */
interface CountedForVm {
  window: DemandWindow
  /** Operations by workspace in the window before this VM last heard of it, by a request or a response to a poll. */
  usual: Demand
  /** Time of the last operation counted for it. */
  lastCountedAtMs: number
  usualUpdatedAtMs: number
}

export interface QuotaCounterOptions {
  settings: GatewaySettings
  clock: Clock
  configuration: ConfigurationHolder
  members: MemberState
  counting: CountingVms
  /** Time since the start of the process, in milliseconds; 0 by default. */
  uptimeMs?: number
}

/** Counts operations against this VM's shares of the workspaces' limits. */
export class QuotaCounter {
  readonly #options: QuotaCounterOptions
  readonly #state
  readonly #demandWindow
  readonly #demandReports = createDemandReports()
  readonly #countedByVm = new Map<string, CountedForVm>()
  /** Workspaces whose whole burst may have been used before this process started; `null` if that is not known, or no longer of interest. */
  #recordedBeforeStart: ReadonlySet<string> | null = null

  constructor (options: QuotaCounterOptions) {
    this.#options = options
    const { quota, isFirstStart } = options.settings
    const windowMs = quota.windowS * MS_PER_SECOND
    this.#state = createQuotaState({ windowMs, overshoot: quota.overshoot, slack: quota.slack }, isFirstStart, options.clock.readNow() - (options.uptimeMs ?? 0))
    this.#demandWindow = createDemandWindow(windowMs)
  }

  /** Name of this VM. */
  get vm (): string {
    return this.#options.settings.vm
  }

  /** Returns a workspace's limit, in operations per second; `undefined` if it has none. */
  readRate (workspace: string): number | undefined {
    return this.#findContract(workspace)?.ratePerSecond
  }

  #findContract (workspace: string): Workspace | undefined {
    return this.#options.configuration.current?.workspaces.find(w => w.name === workspace)
  }

  /**
   * Responds to a permit request of `vm`, which may be this one: counts the operation if this VM counts the limit.
   * The demand is not raised for a repeated request, since the VM that received it first has recorded it.
   */
  decidePermit (vm: string, { request, workspace, isRepeated, isAdmitted, maxDelayMs, plansReturn }: Permit): Permitted {
    const nowMs = this.#options.clock.readNow()
    const answer = { type: 'permitted' as const, request, isBelowLimit: !this.#state.pressed.has(workspace), hasReserve: hasReserve(this.#state, workspace, nowMs) }
    if (!this.#isCounting(workspace)) return { ...answer, result: 'notCounted' }
    if (!isRepeated) recordDemand(this.#demandWindow, workspace, nowMs)
    if (isAdmitted) countOperation(this.#state, workspace, nowMs)
    const verdict = isAdmitted ? { isAdmitted, delayMs: 0 } : admitOperation(this.#state, workspace, nowMs, maxDelayMs)
    const tokensLeft = countTokensLeft(this.#state, workspace, nowMs)
    if (verdict.isAdmitted) this.#recordCounted(vm, workspace, nowMs)
    if (verdict.isAdmitted) return { ...answer, result: 'admitted', delayMs: verdict.delayMs, countedAtMs: nowMs, tokensLeft }
    const retryAfterMs = plansReturn === true ? planReturn(this.#state, workspace, nowMs) : verdict.retryAfterMs
    return { ...answer, result: 'refused', retryAfterMs, tokensLeft }
  }

  /** Gives back the token of an operation that this VM has counted and that has not run. */
  releasePermit ({ workspace, countedAtMs }: Pick<PermitReleased, 'workspace' | 'countedAtMs'>): void {
    releaseToken(this.#state, workspace, countedAtMs, this.#options.clock.readNow())
  }

  #recordCounted (vm: string, workspace: string, nowMs: number): void {
    if (vm === this.vm) return
    let counted = this.#countedByVm.get(vm)
    if (counted === undefined) {
      const window = createDemandWindow(this.#state.tolerance.windowMs)
      counted = { window, usual: new Map(), lastCountedAtMs: nowMs, usualUpdatedAtMs: -Infinity }
      this.#countedByVm.set(vm, counted)
    }
    recordDemand(counted.window, workspace, nowMs)
    counted.lastCountedAtMs = nowMs
  }

  #isCounting (workspace: string): boolean {
    return this.#state.shares.has(workspace) && this.#options.counting.isCounting(workspace) && this.#isInMajority(this.#options.clock.readNow())
  }

  /** A VM that is cut off from most others does not count: once they have all found it silent, another VM counts instead. */
  #isInMajority (nowMs: number): boolean {
    return isInMajority(this.#options.members, nowMs - this.#state.startedAtMs, nowMs)
  }

  /**
   * Computes how many operations of a workspace each VM may admit in a window before a counting VM has counted them, so that all VMs
   * together stay within the tolerated excess. May be less than one.
   */
  computeUncountedPart (workspace: string): number {
    const contract = this.#findContract(workspace)
    if (contract?.ratePerSecond === undefined) return Infinity
    return UNCOUNTED_FRACTION * computeAllowedExcess(this.#state.tolerance, contract) / (this.#options.members.members.size + 1)
  }

  /**
   * Computes how many operations of a workspace this VM may admit at once while no counting VM responds, so that all VMs in this
   * state together stay within the tolerated excess: one at most, with which it bridges the time until the next one of its usual rate.
   */
  computeSilentPart (workspace: string): number {
    const contract = this.#findContract(workspace)
    if (contract?.ratePerSecond === undefined) return 1
    const { members } = this.#options.members
    const vmCount = members.size + 1
    const sideCount = 1 + members.size * estimateReachedFraction(this.#options.members, RESERVE_AFTER_MS, this.#options.clock.readNow())
    const excess = computeAllowedExcess(this.#state.tolerance, contract)
    return Math.min(1, SILENT_FRACTION * excess / Math.max(sideCount, vmCount * MAX_SINGLE_CUTS))
  }

  /** Whether a VM has answered a poll that was sent since then. */
  hasAnsweredPoll (vm: string, sinceMs: number): boolean {
    return (this.#options.members.members.get(vm)?.lastAnsweredPollSentAtMs ?? -Infinity) >= sinceMs
  }

  /** Computes the mean time between two tokens for one VM of the fleet, if all VMs request them, in milliseconds. */
  computeTokenIntervalMs (workspace: string): number {
    return (this.#options.members.members.size + 1) * MS_PER_SECOND / Math.max(1, this.readRate(workspace) ?? Infinity)
  }

  /** Lists this VM's demand by workspace for a report to another VM. */
  createDemandReport (): Array<[string, number]> {
    return [...this.#demandReports.local]
  }

  /** Stores another VM's demand report. */
  recordVmDemand (vm: string, demand: ReadonlyArray<[string, number]>): void {
    recordVmDemand(this.#demandReports, vm, new Map(demand), this.#options.clock.readNow())
  }

  /** Removes the demand of a VM that has left the fleet. */
  removeVm (vm: string): void {
    removeVmDemand(this.#demandReports, vm)
  }

  /** Updates this VM's shares to the current limits, members and demand. Called after each round of polls, and for a new configuration. */
  update (): void {
    const { clock, configuration } = this.#options
    const nowMs = clock.readNow()
    this.#demandReports.local = sumDemand(this.#demandWindow, nowMs)
    sweepDemand(this.#demandReports, nowMs)
    this.#updateUsual(nowMs)
    this.#options.counting.update(nowMs)
    updateQuotas(this.#state, configuration.current?.workspaces ?? [], this.#describeFleet(), nowMs)
    if (this.#recordedBeforeStart === null || this.#state.shares.size === 0) return
    grantUnusedBurst(this.#state, this.#recordedBeforeStart, nowMs)
    this.#recordedBeforeStart = null
  }

  /** Applies the store's record from before this process started. The caller has recorded that the bursts of all workspaces may be used from now on. */
  applyRecordBeforeStart (recordedBeforeStart: ReadonlySet<string>): void {
    this.#recordedBeforeStart = recordedBeforeStart
    this.update()
  }

  /** Lists the workspaces whose use of the burst is to be recorded, and those for which it need not be any more. */
  listRecordChanges (): { toAdd: string[], toRemove: string[] } {
    return listRecordChanges(this.#state, this.#options.clock.readNow())
  }

  /** Sets the workspaces whose whole burst may be used, as the store has a record of it. */
  applyRecorded (recorded: ReadonlySet<string>): void {
    this.#state.recorded = new Set(recorded)
    this.update()
  }

  /** Whether a window has passed since the start of this process. */
  get isSettled (): boolean {
    return this.#options.clock.readNow() - this.#state.startedAtMs >= this.#state.tolerance.windowMs
  }

  /**
   * A VM that does not respond may have lost its links only. It goes on with its usual number of operations for as long as it takes a
   * workspace to be below its limit. That number is not updated from the moment on at which the VM fell silent, or it would have become
   * too small by the time that the silence is noticed.
   */
  #updateUsual (nowMs: number): void {
    const { members } = this.#options.members
    for (const [vm, counted] of this.#countedByVm) {
      const member = members.get(vm)
      if (member === undefined || measureUnansweredMs(member, nowMs) > BELOW_LIMIT_VALID_MS) this.#countedByVm.delete(vm)
      else if (Math.max(counted.lastCountedAtMs, member.lastAnsweredPollSentAtMs) > counted.usualUpdatedAtMs) {
        counted.usual = sumDemand(counted.window, nowMs)
        counted.usualUpdatedAtMs = nowMs
      }
    }
  }

  #sumReserved (workspace: string, nowMs: number): number {
    let sum = 0
    for (const [vm, { usual }] of this.#countedByVm) {
      const member = this.#options.members.members.get(vm)
      if (member !== undefined && measureUnansweredMs(member, nowMs) >= RESERVE_AFTER_MS) sum += usual.get(workspace) ?? 0
    }
    return sum
  }

  /** Describes a workspace's demand on the fleet as far as it is reported, and its limit, both in operations per window. */
  describeUsage (workspace: string): { demand: number, limit: number, reportingVms: number, oldestReportMs: number, isBelowLimit: boolean } {
    const { clock, settings } = this.#options
    const { ratePerSecond = Infinity, burst = 0 } = this.#findContract(workspace) ?? {}
    const limit = ratePerSecond * settings.quota.windowS + burst
    const demand = sumFleetDemand(this.#demandReports, workspace)
    const ages = [...this.#demandReports.others.values()].map(r => clock.readNow() - r.receivedAtMs)
    return { demand, limit, reportingVms: ages.length, oldestReportMs: Math.round(Math.max(0, ...ages)), isBelowLimit: demand <= limit }
  }

  /** Lists the limited workspaces with the demand on the fleet and the operations that the rate allows, both per window, and this VM's share as a fraction. */
  listUsage (): Array<{ workspace: string, demand: number, allowed: number, share: number }> {
    const { configuration, settings } = this.#options
    const fleet = this.#describeFleet()
    return (configuration.current?.workspaces ?? []).flatMap(({ name, ratePerSecond }) => ratePerSecond === undefined
      ? []
      : [{ workspace: name, demand: fleet.readTotal(name), allowed: ratePerSecond * settings.quota.windowS, share: fleet.readShare(name) }])
  }

  #describeFleet (): FleetDemand {
    const { members, counting, clock } = this.#options
    const nowMs = clock.readNow()
    const isSmall = members.members.size + 1 < COUNTING_VMS_PER_LIMIT && nowMs - this.#state.startedAtMs >= SMALL_FLEET_SETTLE_MS
    const usualShare = 1 / (isSmall ? members.members.size + 1 : COUNTING_VMS_PER_LIMIT)
    const share = hasAllMembers(members, nowMs) ? usualShare : INCOMPLETE_FLEET_SHARE
    const isMajority = this.#isInMajority(nowMs)
    return {
      // Before the members are listed, every VM would take itself for the only one.
      readShare: workspace => members.hasMemberList && isMajority && counting.isCounting(workspace) ? share : 0,
      readTotal: workspace => sumFleetDemand(this.#demandReports, workspace),
      readReserved: workspace => this.#sumReserved(workspace, nowMs)
    }
  }

  /** Whether a workspace is well below its limit, according to the demand that the VMs reported. Always false before this VM has counted for a whole window. */
  isReportedBelowLimit (workspace: string): boolean {
    return this.isSettled && !this.#state.pressed.has(workspace)
  }
}
