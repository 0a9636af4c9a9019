import { createLogger, createSeededRandom, type Logger } from '@camphorpitch/wire'
import { ConfigurationHolder } from '../configuration/configuration-holder.ts'
import type { Workspace } from '../configuration/configuration.ts'
import {
  addMember,
  createMemberState,
  recordLeft,
  listPolled,
  listSilent,
  recordPoll,
  recordPolledBy,
  recordReport,
  recordSilentVms,
  removeMember,
  type MemberState
} from '../fleet/members.ts'
import type { Permit, Permitted, VmEntry } from '../fleet/message-schemas.ts'
import { BurstRecord } from '../limits/burst-record.ts'
import { CountingVms } from '../limits/counting-vms.ts'
import { PermitClient } from '../limits/permit-requests.ts'
import { QuotaCounter } from '../limits/quota-counter.ts'
import type { QuotaVerdict } from '../limits/quota.ts'
import { gatewaySettingsSchema } from '../settings.ts'
import { MemoryStore, MemoryStoreState } from './memory-store.ts'
import type { VirtualTime } from './virtual-time.ts'

const ROUND_MS = 500
const REGIONS = ['east', 'west', 'north']
const SAME_REGION_MS = 1
const OTHER_REGION_MS = 9
/** Time after which a lost link is noticed, as the other VM's process has ended. */
const LINK_LOSS_MS = 20

export interface LimitFleetOptions {
  time: VirtualTime
  vms: number
  workspaces: Workspace[]
  logger?: Logger
  /** Time after which a VM hears of a VM that has started. */
  discoveryMs?: number
  /** For how long after its start a VM answers late, and by how much; it does not by default. */
  slowStart?: { forMs: number, delayMs: number }
}

/** One process of a VM. */
export interface LimitVm {
  entry: VmEntry
  members: MemberState
  quotas: QuotaCounter
  permits: PermitClient
  record: BurstRecord
  store: MemoryStore
  isRunning: boolean
  startedAtMs: number
}

/** VMs that count limits, with their real decisions and clients, over links with delays. Members and demand reach the other VMs in rounds. */
export class LimitFleet {
  readonly vms = new Map<string, LimitVm>()
  /** VMs that reach no other VM. */
  readonly cut = new Set<string>()
  /** VMs on one side of a split: they reach each other, and none of the others. */
  readonly splitOff = new Set<string>()
  messageCount = 0
  readonly storeState = new MemoryStoreState()
  readonly #options: Required<LimitFleetOptions>
  readonly #random = createSeededRandom(1)
  #incarnation = 0
  #round = 0

  constructor (options: LimitFleetOptions) {
    const { logger = createLogger({ process: 'test', level: 'silent' }), discoveryMs = 300, slowStart = { forMs: 0, delayMs: 0 } } = options
    this.#options = { ...options, logger, discoveryMs, slowStart }
    for (let i = 0; i < options.vms; i++) this.#start(`vm-${i}`, REGIONS[i % REGIONS.length]!, true)
    for (const vm of this.vms.values()) for (const other of this.vms.values()) addMember(vm.members, other.entry)
    for (const { quotas } of this.vms.values()) quotas.update()
    setInterval(() => this.#exchangeReports(), ROUND_MS)
  }

  listRunning (): LimitVm[] {
    return [...this.vms.values()].filter(v => v.isRunning)
  }

  async request (vm: string, workspace: string, maxWaitMs: number): Promise<QuotaVerdict> {
    return await this.vms.get(vm)!.permits.request(workspace, maxWaitMs)
  }

  /** Ends a VM's process; at a planned stop the other VMs are told that it has left. */
  stop (name: string, isPlanned: boolean): void {
    const vm = this.vms.get(name)!
    vm.isRunning = false
    if (!isPlanned) return
    for (const { members } of this.listRunning()) recordLeft(members, name, vm.entry.incarnation)
  }

  /** Starts a process on a VM, which the other VMs hear of later; it knows those that run and, unless they left, those that stopped. */
  start (name: string, region = this.vms.get(name)?.entry.region ?? REGIONS[0]!): void {
    const known = [...this.vms.values()].filter(v => v.entry.vm !== name)
    const vm = this.#start(name, region, false)
    for (const { entry } of known) addMember(vm.members, entry)
    vm.quotas.update()
    setTimeout(() => { for (const { members } of this.listRunning()) addMember(members, vm.entry) }, this.#options.discoveryMs)
  }

  /** Removes a VM that will not start again from the other VMs' members. */
  remove (name: string): void {
    this.vms.delete(name)
    for (const { members } of this.vms.values()) removeMember(members, name)
  }

  #start (name: string, region: string, isFirstStart: boolean): LimitVm {
    const { time, workspaces, logger } = this.#options
    const entry: VmEntry = { vm: name, host: '10.0.0.1', port: 7_500, failureDomain: `${region}-a`, region, incarnation: ++this.#incarnation }
    const members = createMemberState(entry)
    members.hasMemberList = true
    const configuration = new ConfigurationHolder(logger)
    configuration.apply({ version: 1, routes: [], services: [], workspaces, transactionIdleMs: 3_000 }, 'test')
    const settings = gatewaySettingsSchema.parse({ vm: name, failureDomain: entry.failureDomain, host: entry.host, clients: '10.0.0.1:1', readiness: '10.0.0.1:2', internalPorts: [1, 2], isFirstStart, store: '10.0.0.1:3', promoter: '10.0.0.1:4' })
    const counting = new CountingVms(members)
    const quotas = new QuotaCounter({ settings, clock: time, configuration, members, counting })
    const vm: LimitVm = {
      entry,
      members,
      quotas,
      isRunning: true,
      startedAtMs: isFirstStart ? -Infinity : time.readNow(),
      record: undefined as never,
      store: new MemoryStore(this.storeState),
      permits: undefined as never
    }
    vm.permits = new PermitClient({
      clock: time,
      logger,
      windowMs: settings.quota.windowS * 1_000,
      counting,
      quotas,
      random: this.#random,
      send: (to, message) => {
        if (message.type === 'permitReleased') this.#deliver(vm, to, receiver => receiver.quotas.releasePermit(message))
        if (message.type === 'permit') this.#deliver(vm, to, receiver => this.#respond(receiver, vm, message))
      }
    })
    vm.record = new BurstRecord({ store: vm.store, clock: time, logger, quotas })
    vm.record.start()
    this.vms.set(name, vm)
    return vm
  }

  /** Responds to a request, late if the receiver has just started and is slow. */
  #respond (receiver: LimitVm, to: LimitVm, message: Permit): void {
    const { slowStart: { forMs, delayMs }, time } = this.#options
    const response = this.#decidePermit(receiver, to.entry.vm, message)
    const respond = (): void => this.#deliver(receiver, to.entry.vm, () => to.permits.handleResponse(receiver.entry.vm, response))
    if (time.readNow() - receiver.startedAtMs < forMs) setTimeout(respond, delayMs)
    else respond()
  }

  #decidePermit (receiver: LimitVm, from: string, message: Permit): Permitted {
    const response = receiver.quotas.decidePermit(from, message)
    receiver.record.update()
    return response
  }

  /** Delivers a message from a process to the one that runs on a VM, or reports the loss of the link. */
  #deliver (from: LimitVm, to: string, receive: (receiver: LimitVm) => void): void {
    this.messageCount++
    const receiver = this.vms.get(to)
    if (!this.#isLinked(from.entry.vm, to)) return
    if (receiver?.isRunning !== true) {
      setTimeout(() => from.permits.handleLinkLoss(to), LINK_LOSS_MS)
      return
    }
    setTimeout(() => { if (receiver.isRunning) receive(receiver) }, from.entry.region === receiver.entry.region ? SAME_REGION_MS : OTHER_REGION_MS)
  }

  #isLinked (one: string, other: string): boolean {
    return !this.cut.has(one) && !this.cut.has(other) && this.splitOff.has(one) === this.splitOff.has(other)
  }

  #exchangeReports (): void {
    this.#round++
    const running = this.listRunning()
    const nowMs = this.#options.time.readNow()
    for (const { quotas, record } of running) {
      quotas.update()
      record.update()
    }
    for (const one of running) {
      for (const member of listPolled(one.members, this.#round)) {
        const { vm } = member.entry
        const other = this.vms.get(vm)
        recordPoll(member, nowMs)
        if (other?.isRunning !== true || !this.#isLinked(one.entry.vm, vm)) continue
        recordReport(one.members, vm, nowMs)
        recordPolledBy(other.members, one.entry.vm, nowMs)
        recordSilentVms(one.members, vm, listSilent(other.members, nowMs), nowMs)
        one.quotas.recordVmDemand(vm, other.quotas.createDemandReport())
      }
    }
  }
}
