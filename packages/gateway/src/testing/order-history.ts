import type { PromotionReason } from '../failover/decide-promotion.ts'
import { printEvent } from './event-trace.ts'
import { SimulatedEndpoint, type SimulatedGroup } from './simulated-group.ts'
import { SimulatedPlatform, type CallFate } from './simulated-platform.ts'
import { SimulatedFleet, type SimulatedVm, type StoreDelays } from './simulated-vm.ts'

const STEP_MS = 50
const FAULT_STEPS = 400
/** Time without faults after which the group must acknowledge commits. */
const RECOVERY_MS = 30_000
const LIVENESS_WINDOW_MS = 3_000
const FIND_PRIMARY_INTERVAL_MS = 500
/** Shortest time from a VM's learning of a primary to its next attempt to replace it. */
const MIN_PROMOTION_INTERVAL_MS = 1_000
const MAX_ENDPOINTS = 5
const MIN_ENDPOINTS = 3
const REASONS: PromotionReason[] = ['primary lost', 'primary lost', 'primary draining', 'primary cut off from its replicas', 'no primary']
/** Usual times from an order to its effect. */
const EFFECT_DELAYS_MS = [300, 600, 1_000]
/** Probability of a step that a VM that does not reach the primary promotes. */
const PARTITION_RATE = 0.03
/** Time for which no other endpoint loses its log after one has. */
const LOG_LOSS_INTERVAL_MS = 2_500
/** Longest time until a VM learns of a change of the directory: usually, and while entries change all the time. */
const MAX_NOTICE_MS = 300
const MAX_LATE_NOTICE_MS = 1_300
/** Time without a primary after which an operator promotes an endpoint that holds every acknowledged commit, while faults go on. */
const OPERATOR_DELAY_MS = 2_000

type PlatformState = 'usual' | 'slow' | 'down' | 'busy' | 'loses answers' | 'executes late' | 'reads nothing'
const PLATFORM_FAULTS: PlatformState[] = ['slow', 'slow', 'slow', 'executes late', 'executes late', 'loses answers', 'down', 'busy', 'reads nothing', 'reads nothing']
/** A platform that reads nothing goes on within this time, and then reads all calls that it got, in any order. */
const MAX_UNREAD_MS = 8_000
const READ_SPREAD_MS = 50

export interface OrderHistoryOptions {
  /** Whether the platform is slow, down or busy at times, loses answers and executes calls late, and VMs stand still or do not reach the store. */
  hasOrderFaults?: boolean
  /** Whether replicas restart, join and leave often while an order is without effect. */
  hasRestarts?: boolean
  /** Whether entries of replicas lapse in the directory while the replicas still receive and acknowledge. */
  hasLapses?: boolean
  /** Whether replicas join while VMs promote, and VMs learn of them late. */
  hasJoins?: boolean
}

/** One history of random faults around promotion orders, followed by a time without faults. */
export class OrderHistory {
  readonly fleet: SimulatedFleet
  readonly platform: SimulatedPlatform
  /** Whether commits were acknowledged at the end of the time without faults. */
  isLive = false
  readonly #options: OrderHistoryOptions
  readonly #promoting = new Set<SimulatedVm>()
  readonly #usualEffectMs: number
  #platformState: PlatformState = 'usual'
  #unreadUntilMs = -Infinity
  #hasFaults = true
  #joined = 0
  #lastLogLossAtMs = -Infinity
  #lastLedAtMs = 0

  constructor (seed: number, options: OrderHistoryOptions) {
    this.#options = options
    this.fleet = new SimulatedFleet(['p', 'a', 'b'], seed)
    this.platform = new SimulatedPlatform(this.#group, this.fleet.time)
    this.fleet.platform = this.platform
    for (const name of ['c', 'd']) if (this.#draw(0.15)) this.#group.endpoints.set(name, new SimulatedEndpoint(name))
    this.#usualEffectMs = this.#pick(EFFECT_DELAYS_MS)
    this.platform.checksTokens = this.#draw(0.5)
    this.platform.drawFate = () => this.#drawFate()
    this.#group.drawCommitDelayMs = () => this.#hasFaults && this.#draw(0.02) ? this.#drawBetween(50, 1_500) : this.#drawBetween(1, 8)
    for (const name of ['vm1', 'vm2', 'vm3']) this.#startVm(name)
  }

  get #group (): SimulatedGroup {
    return this.fleet.group
  }

  get promotions (): number {
    return [...this.fleet.vms.values()].reduce((sum, vm) => sum + vm.orders.length, 0)
  }

  async run (): Promise<void> {
    try {
      for (let step = 0; step < FAULT_STEPS && this.#group.lost.length === 0; step++) await this.#runStep()
      await this.#endFaults()
    } finally {
      this.fleet.time.stop()
    }
  }

  async #runStep (): Promise<void> {
    const nowMs = this.fleet.time.readNow()
    for (const vm of this.fleet.vms.values()) {
      if (!vm.isAwake) continue
      if (this.#draw(0.4)) vm.runAsVm(() => vm.commit())
      if (this.#draw(0.05) && nowMs - vm.primaryChangedAtMs >= MIN_PROMOTION_INTERVAL_MS) this.#promote(vm)
      if (this.#draw(0.1)) vm.runAsVm(() => vm.pollOthers())
      if (this.#draw(0.05)) vm.runAsVm(() => vm.findPrimary())
    }
    this.#updatePlatform()
    for (const e of this.#group.endpoints.values()) this.#updateEndpoint(e)
    this.#updateReplicas()
    this.#updateVms()
    this.#replaceMissingPrimary()
    await this.fleet.advance(STEP_MS)
  }

  /** Promotes an endpoint as an operator would, so that a group that the VMs leave without a primary sees more promotions. */
  #replaceMissingPrimary (): void {
    const nowMs = this.fleet.time.readNow()
    if (this.#group.leader !== undefined || this.platform.hasOpenOrder) this.#lastLedAtMs = nowMs
    if (nowMs - this.#lastLedAtMs < OPERATOR_DELAY_MS || this.#promoting.size > 0) return
    const candidate = [...this.#group.endpoints.values()].find(e => e.isRunning && this.#group.acknowledged.every(p => e.hasReceived(p)))
    if (candidate === undefined) return
    this.#print(`operator promotes ${candidate.endpoint}`)
    this.#group.promote(candidate.endpoint)
  }

  /** Ends all faults, and lets the VMs replace the primary when they see a reason to. */
  async #endFaults (): Promise<void> {
    const { fleet } = this
    this.#print('all faults end')
    this.#hasFaults = false
    this.#platformState = 'usual'
    for (const e of this.#group.endpoints.values()) {
      Object.assign(e, { isDeaf: false, entriesPerStep: Infinity })
      this.#startEndpoint(e)
    }
    for (const vm of fleet.vms.values()) {
      vm.connector.unreachable.clear()
      vm.unreachableVms.clear()
      vm.isStoreReachable = true
      vm.runAsVm(() => {
        vm.addEndpoints()
        vm.startWatch()
      })
    }
    let acknowledged = 0
    for (let elapsedMs = 0; elapsedMs < RECOVERY_MS; elapsedMs += STEP_MS) {
      if (elapsedMs === RECOVERY_MS - LIVENESS_WINDOW_MS) acknowledged = this.#group.acknowledged.length
      for (const vm of fleet.vms.values()) {
        if (this.#draw(0.4)) vm.runAsVm(() => vm.commit())
        if (elapsedMs % FIND_PRIMARY_INTERVAL_MS > 0) continue
        vm.runAsVm(() => {
          vm.pollOthers()
          vm.findPrimary()
        })
      }
      await fleet.advance(STEP_MS)
    }
    this.isLive = this.#group.acknowledged.length > acknowledged
    if (!this.isLive) this.#print(`no commit acknowledged, leader ${this.#group.leader?.endpoint ?? 'none'}`)
  }

  #draw (probability: number): boolean {
    return this.fleet.random() < probability
  }

  #drawBetween (min: number, max: number): number {
    return Math.round(min + this.fleet.random() * (max - min))
  }

  #pick<T> (values: Iterable<T>): T {
    const list = [...values]
    return list[Math.floor(this.fleet.random() * list.length)]!
  }

  #print (event: string): void {
    printEvent(this.fleet.time, '', event)
  }

  #promote (vm: SimulatedVm): void {
    if (this.#promoting.has(vm)) return
    this.#promoting.add(vm)
    vm.runAsVm(() => {
      vm.promote(this.#pick(REASONS)).catch(() => {}).finally(() => this.#promoting.delete(vm)) // The claim of another VM or the end of this one is no fault.
    })
  }

  #startVm (name: string): void {
    const vm = this.fleet.startVm(name)
    vm.connector.drawDelays = () => this.#hasFaults && this.#draw(0.02) ? [this.#drawBetween(2, 600), this.#drawBetween(2, 600)] : [this.#drawBetween(1, 6), this.#drawBetween(1, 6)]
    vm.drawStoreDelays = () => this.#drawStoreDelays()
    vm.runAsVm(() => vm.addEndpoints())
  }

  /** Calls `update` on each VM after a time of its own, as the directory's changes reach them. */
  #tellVms (update: (vm: SimulatedVm) => void): void {
    const maxNoticeMs = this.#options.hasJoins === true ? MAX_LATE_NOTICE_MS : MAX_NOTICE_MS
    for (const vm of this.fleet.vms.values()) setTimeout(() => vm.runAsVm(() => update(vm)), this.#drawBetween(5, maxNoticeMs))
  }

  #drawStoreDelays (): StoreDelays {
    if (!this.#hasFaults || this.#options.hasOrderFaults !== true || !this.#draw(0.05)) return [this.#drawBetween(1, 15), this.#drawBetween(1, 15)]
    return [this.#drawBetween(1, 3_000), this.#draw(0.5) ? null : this.#drawBetween(1, 500)]
  }

  #drawFate (): CallFate {
    const usual = { toPlatformMs: this.#drawBetween(1, 30), effectMs: this.#usualEffectMs, answerMs: this.#drawBetween(1, 30) }
    switch (this.#platformState) {
      case 'usual': return usual
      case 'slow': return { ...usual, toPlatformMs: this.#drawBetween(1, 1_000), effectMs: this.#drawBetween(1_000, 6_000), answerMs: this.#drawBetween(1, 2_000) }
      case 'down': return { ...usual, toPlatformMs: null }
      case 'busy': return { ...usual, isBusy: true }
      case 'loses answers': return { ...usual, answerMs: null }
      case 'reads nothing': return { ...usual, toPlatformMs: this.#unreadUntilMs - this.fleet.time.readNow() + this.#drawBetween(1, READ_SPREAD_MS) }
      case 'executes late': return { ...usual, toPlatformMs: this.#drawBetween(800, 5_000), answerMs: null }
    }
  }

  #updatePlatform (): void {
    if (this.#options.hasOrderFaults !== true) return
    if (this.#platformState === 'reads nothing') {
      if (this.fleet.time.readNow() >= this.#unreadUntilMs) this.#setPlatform('usual')
    } else if (this.#platformState !== 'usual') {
      if (this.#draw(0.02)) this.#setPlatform('usual')
    } else if (this.#draw(0.04)) this.#setPlatform(this.#pick(PLATFORM_FAULTS))
  }

  #setPlatform (state: PlatformState): void {
    if (this.#platformState === 'reads nothing' && this.fleet.time.readNow() < this.#unreadUntilMs) return
    this.#platformState = state
    if (state === 'reads nothing') this.#unreadUntilMs = this.fleet.time.readNow() + this.#drawBetween(500, MAX_UNREAD_MS)
    this.#print(`platform: ${state}`)
  }

  #updateEndpoint (e: SimulatedEndpoint): void {
    if (this.#draw(e.isDeaf ? 0.05 : 0.025)) {
      e.isDeaf = !e.isDeaf
      this.#print(`${e.endpoint} ${e.isDeaf ? 'receives nothing' : 'receives again'}`)
    }
    if (e.isRunning && this.#draw(0.003)) {
      e.isRunning = false
      this.#print(`${e.endpoint} (${e.role}) crashes`)
    } else if (!e.isRunning && this.#draw(0.03)) this.#startEndpoint(e)
  }

  /** Changes which replicas there are, and what they hold. */
  #updateReplicas (): void {
    const replicas = [...this.#group.endpoints.values()].filter(e => e.role === 'replica' && e.isRunning)
    if (replicas.length === 0) return
    const rate = this.#options.hasRestarts === true && this.platform.hasOpenOrder ? 0.04 : 0.002
    if (this.#draw(rate)) this.#discardLog(this.#pick(replicas), e => this.#startReplicaAgain(e))
    const joinRate = this.#options.hasJoins === true && this.#promoting.size > 0 ? 0.04 : rate / 2
    if (this.#draw(joinRate) && this.#group.endpoints.size < MAX_ENDPOINTS) this.#addReplica()
    if (this.#draw(rate / 2) && this.#group.endpoints.size > MIN_ENDPOINTS) this.#discardLog(this.#pick(replicas), e => this.#leave(e))
    if (this.#options.hasLapses === true && this.#draw(0.01)) this.#expireEntry(this.#pick(replicas))
  }

  /** Starts a crashed endpoint with its log, as a replica if another one was promoted. */
  #startEndpoint (e: SimulatedEndpoint): void {
    if (e.isRunning) return
    const isReplaced = [...this.#group.endpoints.values()].some(o => o.term > e.term)
    e.isRunning = true
    if (isReplaced) e.role = 'replica'
    this.#print(`${e.endpoint} is back as ${e.role} with its log`)
  }

  /** Has an endpoint lose its log, unless it is the only running one that holds every acknowledged commit or another one has lost its log just before. */
  #discardLog (e: SimulatedEndpoint, lose: (e: SimulatedEndpoint) => void): void {
    const nowMs = this.fleet.time.readNow()
    const latest = this.#group.acknowledged.at(-1)
    const isHeldElsewhere = [...this.#group.endpoints.values()].some(o => o !== e && o.isRunning && (latest === undefined || o.hasReceived(latest)))
    if (!isHeldElsewhere || nowMs - this.#lastLogLossAtMs < LOG_LOSS_INTERVAL_MS) return
    this.#lastLogLossAtMs = nowMs
    lose(e)
  }

  #startReplicaAgain (e: SimulatedEndpoint): void {
    this.#print(`${e.endpoint} restarts without its log, which ended at ${e.received.term}.${e.received.index}`)
    e.startAgain()
    e.entriesPerStep = this.#pick([1, 5, Infinity])
    this.#tellVms(vm => { if (this.#group.endpoints.has(e.endpoint)) vm.addEndpoints(e.endpoint) })
  }

  #addReplica (): void {
    const added = new SimulatedEndpoint(`r${++this.#joined}`)
    added.startAgain()
    added.entriesPerStep = this.#pick([1, 5, Infinity])
    this.#group.endpoints.set(added.endpoint, added)
    this.#print(`${added.endpoint} joins`)
    this.#tellVms(vm => { if (this.#group.endpoints.has(added.endpoint)) vm.addEndpoints(added.endpoint) })
  }

  #leave ({ endpoint, received }: SimulatedEndpoint): void {
    this.#print(`${endpoint} leaves, its log ended at ${received.term}.${received.index}`)
    this.#group.endpoints.delete(endpoint)
    this.#tellVms(vm => vm.group.removeEntry(endpoint))
  }

  #expireEntry (e: SimulatedEndpoint): void {
    const { endpoint } = e
    this.#print(`entry of ${endpoint} lapses`)
    e.isRegistered = false
    this.#tellVms(vm => vm.group.removeEntry(endpoint))
    setTimeout(() => {
      e.isRegistered = true
      this.#tellVms(vm => { if (this.#group.endpoints.has(endpoint)) vm.addEndpoints(endpoint) })
    }, this.#drawBetween(1_000, 8_000))
  }

  /** Has a VM promote that does not reach the primary, which others still reach, and at times not these VMs either. */
  #promoteInPartition (vm: SimulatedVm): void {
    const { leader } = this.#group
    if (leader === undefined || this.#promoting.has(vm)) return
    vm.connector.unreachable.add(leader.endpoint)
    const others = [...this.fleet.vms.keys()].filter(name => name !== vm.name && this.#draw(0.6))
    for (const name of others) vm.unreachableVms.add(name)
    if (this.#options.hasOrderFaults === true && this.#draw(0.6)) this.#setPlatform(this.#pick(PLATFORM_FAULTS))
    this.#print(`${vm.name} does not reach ${[leader.endpoint, ...others].join(', ')}, and promotes`)
    this.#promote(vm)
  }

  #updateVms (): void {
    const vm = this.#pick(this.fleet.vms.values())
    if (this.#draw(0.004)) this.#startVmAgain(vm)
    if (this.#draw(PARTITION_RATE) && vm.isAwake) this.#promoteInPartition(vm)
    this.#updateLinks(vm)
    if (this.#options.hasOrderFaults !== true) return
    if (this.#draw(vm.isStoreReachable ? 0.006 : 0.05)) {
      vm.isStoreReachable = !vm.isStoreReachable
      this.#print(`${vm.name} ${vm.isStoreReachable ? 'reaches' : 'does not reach'} the store`)
    }
    if (this.#draw(0.008) && vm.isAwake) {
      const ms = this.#drawBetween(500, 4_000)
      vm.freeze(ms)
      this.#print(`${vm.name} stands still for ${ms} ms`)
    }
  }

  #startVmAgain (vm: SimulatedVm): void {
    const isKilled = this.#draw(0.5)
    this.#print(`${vm.name} ${isKilled ? 'is killed' : 'leaves'} and starts again`)
    if (isKilled) vm.kill()
    else vm.leave()
    this.#startVm(vm.name)
  }

  /** Cuts a VM off from an endpoint or another VM, or ends that. */
  #updateLinks (vm: SimulatedVm): void {
    if (this.#draw(0.01)) {
      const endpoint = this.#pick(this.#group.endpoints.keys())
      vm.connector.unreachable.add(endpoint)
      this.#print(`${vm.name} does not reach ${endpoint}`)
    } else if (this.#draw(0.03)) vm.connector.unreachable.clear()
    if (this.#draw(0.01)) {
      const other = this.#pick(this.fleet.vms.keys())
      vm.unreachableVms.add(other)
      this.#print(`${vm.name} does not reach ${other}`)
    } else if (this.#draw(0.03)) vm.unreachableVms.clear()
  }
}
