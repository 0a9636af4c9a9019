import { createLogger, createSeededRandom } from '@camphorpitch/wire'
import { ConfigurationHolder } from '../configuration/configuration-holder.ts'
import type { Workspace } from '../configuration/configuration.ts'
import { addMember, createMemberState, isSmallFleet, listSilent, recordPoll, recordPolledBy, recordReport, recordSilentVms } from '../fleet/members.ts'
import type { VmEntry } from '../fleet/message-schemas.ts'
import { gatewaySettingsSchema } from '../settings.ts'
import { VirtualClock } from './virtual-clock.ts'
import { CountingVms } from '../limits/counting-vms.ts'
import { PermitClient } from '../limits/permit-requests.ts'
import { QuotaCounter } from '../limits/quota-counter.ts'

const logger = createLogger({ process: 'test', level: 'silent' })
export const REGIONS = ['east', 'west', 'north']
const ROUND_MS = 500
const STEP_MS = 10

export function createEntry (index: number): VmEntry {
  const region = REGIONS[index % REGIONS.length]!
  return { vm: `vm-${index}`, host: '10.0.0.1', port: 7_500, failureDomain: `${region}-${index % 2}`, region, incarnation: 1 }
}

export interface PermitVm { quotas: QuotaCounter, permits: PermitClient, members: ReturnType<typeof createMemberState> }

/** A fleet whose VMs request permits from each other over links that may be cut. */
export class PermitFleet {
  readonly clock = new VirtualClock()
  readonly vms = new Map<string, PermitVm>()
  /** VMs that can't reach any other VM. */
  readonly cut = new Set<string>()
  /** Delay of each response, in milliseconds. */
  delayMs = 0
  #delayedResponses: Array<{ atMs: number, deliver: () => void }> = []
  messages = 0
  readonly #random = createSeededRandom(1)
  readonly #entries: VmEntry[]
  readonly #workspaces: Workspace[]

  constructor (size: number, workspaces: Workspace[]) {
    this.#entries = Array.from({ length: size }, (_, i) => createEntry(i))
    this.#workspaces = workspaces
    for (const self of this.#entries) this.vms.set(self.vm, this.#createVm(self, this.#entries, workspaces, true))
    this.update()
  }

  /** Replaces the processes of all VMs by new ones that know nothing of what was used. */
  startAllAgain (): void {
    for (const self of this.#entries) this.vms.set(self.vm, this.#createVm(self, this.#entries, this.#workspaces, false))
    this.update()
  }

  #createVm (self: VmEntry, entries: VmEntry[], workspaces: Workspace[], isFirstStart: boolean): PermitVm {
    const { clock } = this
    const members = createMemberState(self)
    members.hasMemberList = true
    for (const entry of entries) addMember(members, entry)
    const configuration = new ConfigurationHolder(logger)
    configuration.apply({ version: 1, routes: [], services: [], workspaces, transactionIdleMs: 3_000 }, 'test')
    const settings = gatewaySettingsSchema.parse({ vm: self.vm, failureDomain: self.failureDomain, host: '10.0.0.1', clients: '10.0.0.1:1', readiness: '10.0.0.1:2', internalPorts: [1, 2], isFirstStart, store: '10.0.0.1:3', promoter: '10.0.0.1:4' })
    const counting = new CountingVms(members)
    const quotas = new QuotaCounter({ settings, clock, configuration, members, counting })
    const permits = new PermitClient({
      clock,
      logger,
      windowMs: 5_000,
      counting,
      quotas,
      random: this.#random,
      send: (vm, message) => {
        this.messages++
        const other = this.vms.get(vm)
        if (message.type !== 'permit' || other === undefined || this.cut.has(vm) || this.cut.has(self.vm)) return permits.handleLinkLoss(vm)
        const response = other.quotas.decidePermit(self.vm, message)
        if (this.delayMs === 0) permits.handleResponse(vm, response)
        else this.#delayedResponses.push({ atMs: clock.nowMs + this.delayMs, deliver: () => permits.handleResponse(vm, response) })
      }
    })
    return { quotas, permits, members }
  }

  deliverDelayedResponses (): void {
    const due = this.#delayedResponses.filter(l => l.atMs <= this.clock.nowMs)
    this.#delayedResponses = this.#delayedResponses.filter(l => l.atMs > this.clock.nowMs)
    for (const { deliver } of due) deliver()
  }

  /** Has every VM poll the others and update its shares. */
  update (): void {
    for (const { quotas } of this.vms.values()) quotas.update()
    for (const vm of this.vms.keys()) this.#poll(vm)
  }

  /** Has the VMs whose rounds of polls begin now poll the others and update their shares. */
  updateInTurn (readOffsetMs: (vm: string) => number): void {
    for (const [vm, { quotas }] of this.vms) {
      if ((this.clock.nowMs - readOffsetMs(vm)) % ROUND_MS !== 0) continue
      this.#poll(vm)
      quotas.update()
    }
  }

  /**
   * Requests permits from every VM on behalf of each VM in turn, as clients do that wait for nothing, until it refuses one.
   *
   * @returns how many were admitted
   */
  requestFromCountingVms (workspace: string, countPerVm: number): number {
    const names = [...this.vms.keys()]
    let admitted = 0
    for (const { quotas } of this.vms.values()) {
      for (let i = 0; i < countPerVm * names.length; i++) {
        const permit = { type: 'permit' as const, request: 0, workspace, isRepeated: false, isAdmitted: false, maxDelayMs: 0 }
        if (quotas.decidePermit(names[i % names.length]!, permit).result !== 'admitted') break
        admitted++
      }
    }
    return admitted
  }

  #poll (vm: string): void {
    const one = this.vms.get(vm)!
    for (const [name, other] of this.vms) {
      const member = one.members.members.get(name)
      if (member === undefined) continue
      recordPoll(member, this.clock.nowMs)
      if (this.cut.has(vm) || this.cut.has(name)) continue
      recordReport(one.members, name, this.clock.nowMs)
      recordPolledBy(other.members, vm, this.clock.nowMs)
      if (isSmallFleet(other.members)) recordSilentVms(one.members, name, listSilent(other.members, this.clock.nowMs), this.clock.nowMs)
      one.quotas.recordVmDemand(name, other.quotas.createDemandReport())
    }
  }
}

export interface PermitLoad {
  size: number
  workspaces: Workspace[]
  readRatePerSecond: (workspace: Workspace, nowMs: number) => number
  durationMs: number
  seed: number
  handleStep?: (fleet: PermitFleet, nowMs: number) => void
  pickVm?: (nowMs: number, drawn: number) => number
  /** Whether the VMs' rounds of polls begin at different times. */
  hasStaggeredRounds?: boolean
  /** Requests in a step that each VM sends to each counting VM beside its clients', without a wait for anything; 0 by default. */
  readPressPerStep?: (nowMs: number) => number
}

export interface PermitLoadResult {
  /** When operations of each workspace were admitted. */
  admitted: Map<string, number[]>
  requested: number
  requestedBy: Map<string, number>
  messages: number
  fleet: PermitFleet
}

export async function simulatePermitLoad (load: PermitLoad): Promise<PermitLoadResult> {
  const { size, workspaces, readRatePerSecond, durationMs, seed, handleStep } = load
  const { pickVm = (_, drawn) => Math.floor(drawn * size), hasStaggeredRounds = false, readPressPerStep = () => 0 } = load
  const random = createSeededRandom(seed)
  const drawOffset = createSeededRandom(seed + 1_000_000)
  const fleet = new PermitFleet(size, workspaces)
  const names = [...fleet.vms.keys()]
  const admitted = new Map<string, number[]>(workspaces.map(w => [w.name, []]))
  const requestedBy = new Map<string, number>(workspaces.map(w => [w.name, 0]))
  const offsetsMs = new Map(names.map(name => [name, hasStaggeredRounds ? Math.floor(drawOffset() * ROUND_MS / STEP_MS) * STEP_MS : 0]))
  let requested = 0
  for (let nowMs = STEP_MS; nowMs < durationMs; nowMs += STEP_MS) {
    fleet.clock.nowMs = nowMs
    handleStep?.(fleet, nowMs)
    fleet.deliverDelayedResponses()
    if (hasStaggeredRounds) fleet.updateInTurn(vm => offsetsMs.get(vm)!)
    else if (nowMs % ROUND_MS === 0) fleet.update()
    for (const workspace of workspaces) {
      for (let i = fleet.requestFromCountingVms(workspace.name, readPressPerStep(nowMs)); i > 0; i--) admitted.get(workspace.name)!.push(nowMs)
      const count = Math.floor(readRatePerSecond(workspace, nowMs) * STEP_MS / 1_000 + random())
      requested += count
      requestedBy.set(workspace.name, requestedBy.get(workspace.name)! + count)
      for (let i = 0; i < count; i++) {
        const vm = fleet.vms.get(names[pickVm(nowMs, random())]!)!
        const verdict = await vm.permits.request(workspace.name, 0)
        if (verdict.isAdmitted) admitted.get(workspace.name)!.push(nowMs)
      }
    }
  }
  return { admitted, requested, requestedBy, messages: fleet.messages, fleet }
}

/** Simulates a calm workspace on which, after 14 s, one client on each VM sends without pause. Returns when operations were admitted. */
export async function simulatePress (size: number, workspace: Workspace, seed: number): Promise<number[]> {
  const random = createSeededRandom(seed)
  const fleet = new PermitFleet(size, [workspace])
  fleet.delayMs = STEP_MS
  const names = [...fleet.vms.keys()]
  const waiting = new Set<string>()
  const admitted: number[] = []
  for (let nowMs = STEP_MS; nowMs < 20_000; nowMs += STEP_MS) {
    fleet.clock.nowMs = nowMs
    fleet.deliverDelayedResponses()
    if (nowMs % ROUND_MS === 0) fleet.update()
    const isCalmRequest = random() < workspace.ratePerSecond! * 0.6 * STEP_MS / 1_000
    const calmNames = isCalmRequest ? [names[Math.floor(random() * names.length)]!] : []
    for (const name of nowMs < 14_000 ? calmNames : names.filter(n => !waiting.has(n))) {
      waiting.add(name)
      const handleVerdict = ({ isAdmitted }: { isAdmitted: boolean }): void => {
        waiting.delete(name)
        if (isAdmitted) admitted.push(nowMs)
      }
      fleet.vms.get(name)!.permits.request(workspace.name, 0).then(handleVerdict, () => {})
    }
    await new Promise(resolve => setImmediate(resolve))
  }
  return admitted.sort((a, b) => a - b)
}

export function countBusiestWindow (admitted: readonly number[]): number {
  let most = 0
  for (let start = 0, end = 0; end < admitted.length; end++) {
    while (admitted[end]! - admitted[start]! > 5_000) start++
    most = Math.max(most, end - start + 1)
  }
  return most
}

export function countAdmitted (admitted: Map<string, number[]>): number {
  return [...admitted.values()].reduce((sum, times) => sum + times.length, 0)
}

/** Computes how many operations of a workspace may be admitted in any window. */
export function computeMaxPerWindow ({ ratePerSecond = 0, burst = 0 }: Workspace): number {
  return (ratePerSecond * 5 + burst) * 1.1 + 20
}
