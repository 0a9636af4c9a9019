import { createSeededRandom, type Decide, type StoredObject } from '@camphorpitch/wire'
import type { Member } from '../membership/membership-view.ts'
import { decideConfiguration } from './decide-configuration.ts'
import { FakeObjectService } from './fake-object-service.ts'
import { formatKey } from './object-set.ts'
import { createConfigurationState, TICK_INTERVAL_MS, type ConfigurationEffect, type ConfigurationMessage, type ConfigurationState } from './state.ts'

/** Maximum delay of a message between VMs, in milliseconds. Each message has a random delay, so messages may overtake each other. */
const MAX_MESSAGE_DELAY_MS = 40

export type DecideConfiguration = Decide<ConfigurationState, ConfigurationMessage, ConfigurationEffect>

export interface FakeVm {
  name: string
  failureDomain: string
  isUp: boolean
  incarnation: number
  state: ConfigurationState
  /** The objects that the VM's current process has applied, by key. */
  appliedObjects: Map<string, StoredObject>
}

export interface FakeFleetOptions {
  vms: number
  failureDomains?: number
  seed?: number
  maxWatchers?: number
  historyLength?: number
  decide?: DecideConfiguration
  /** Called for each object that a VM applies. */
  onPublish?: (vm: FakeVm, object: StoredObject, previous: StoredObject | undefined) => void
  /** Called for each message between VMs. */
  onSend?: (from: FakeVm, to: string, body: unknown) => void
}

/** Runs the configuration decisions of a whole fleet in one process, on a virtual clock, with simulated link faults. */
export class FakeFleet {
  readonly vms: FakeVm[] = []
  readonly service: FakeObjectService
  nowMs = 0
  /** Fraction of the messages between VMs that are lost. */
  lossFraction = 0
  /** Fraction of the messages between VMs that are sent twice. */
  duplicateFraction = 0
  /** Pairs `a|b` of VMs that cannot reach each other; each pair is in the set in both orders. */
  readonly cutLinks = new Set<string>()
  /** VMs that cannot reach the object service. */
  readonly cutFromService = new Set<string>()
  readonly #options: FakeFleetOptions
  readonly #decide: DecideConfiguration
  readonly #random: () => number
  readonly #scheduledTasks = new Map<number, Array<() => void>>()

  constructor (options: FakeFleetOptions) {
    const { seed = 1, vms, failureDomains = 3, historyLength = 1_000, decide = decideConfiguration } = options
    this.#options = options
    this.#decide = decide
    this.#random = createSeededRandom(seed)
    this.service = new FakeObjectService(historyLength, (ms, run) => this.schedule(ms, run))
    for (let i = 0; i < vms; i++) {
      this.vms.push(this.#createVm(`vm-${i}`, `fd-${i % failureDomains}`))
    }
    for (const vm of this.vms) this.startVm(vm)
  }

  schedule (delayMs: number, run: () => void): void {
    const at = this.nowMs + Math.max(1, Math.round(delayMs))
    const list = this.#scheduledTasks.get(at)
    if (list === undefined) this.#scheduledTasks.set(at, [run])
    else list.push(run)
  }

  runFor (durationMs: number): void {
    const end = this.nowMs + durationMs
    while (this.nowMs < end) {
      this.nowMs += 1
      const list = this.#scheduledTasks.get(this.nowMs)
      if (list === undefined) continue
      this.#scheduledTasks.delete(this.nowMs)
      for (const run of list) run()
    }
  }

  /** Starts a VM's process anew, without the state of its previous process. */
  startVm (vm: FakeVm): void {
    vm.isUp = true
    vm.incarnation += 1
    vm.appliedObjects = new Map()
    vm.state = this.#createState(vm.name, vm.incarnation)
    this.#deliver(vm, { type: 'members', members: this.#listMembers() })
    this.#scheduleTick(vm, vm.incarnation, Math.floor(this.#random() * TICK_INTERVAL_MS))
  }

  stopVm (vm: FakeVm): void {
    vm.isUp = false
  }

  cutLink (a: string, b: string): void {
    this.cutLinks.add(`${a}|${b}`).add(`${b}|${a}`)
  }

  /** Sets the members that a VM sees. */
  setMembers (vm: FakeVm, members: readonly Member[]): void {
    this.#deliver(vm, { type: 'members', members })
  }

  listMembers (): Member[] {
    return this.#listMembers()
  }

  #createVm (name: string, failureDomain: string): FakeVm {
    return { name, failureDomain, isUp: false, incarnation: 0, state: this.#createState(name, 0), appliedObjects: new Map() }
  }

  #createState (vm: string, incarnation: number): ConfigurationState {
    const { seed = 1, maxWatchers } = this.#options
    const index = Number(vm.slice(3))
    return createConfigurationState({ vm, seed: seed * 7_919 + index * 131 + incarnation, maxWatchers })
  }

  #listMembers (): Member[] {
    return this.vms.map(v => ({ vm: v.name, host: '127.0.0.1', peerPort: 1, failureDomain: v.failureDomain, region: 'r', incarnation: v.incarnation, state: 'live' }))
  }

  #scheduleTick (vm: FakeVm, incarnation: number, delayMs: number): void {
    this.schedule(delayMs, () => {
      if (!vm.isUp || vm.incarnation !== incarnation) return
      this.#deliver(vm, { type: 'tick' })
      this.#scheduleTick(vm, incarnation, TICK_INTERVAL_MS)
    })
  }

  #deliver (vm: FakeVm, message: ConfigurationMessage): void {
    if (!vm.isUp) return
    const { state, effects } = this.#decide(vm.state, message, this.nowMs)
    vm.state = state
    for (const e of effects) this.#runEffect(vm, e)
  }

  #runEffect (vm: FakeVm, effect: ConfigurationEffect): void {
    if (effect.type === 'publish') {
      for (const o of effect.objects) this.#applyObject(vm, o)
    } else if (effect.type === 'send') {
      this.#send(vm, effect.to, effect.body)
    } else if (effect.type === 'list' || effect.type === 'watch') {
      const { incarnation } = vm
      this.service.request(effect, this.nowMs, this.cutFromService.has(vm.name), message => {
        if (vm.incarnation === incarnation) this.#deliver(vm, message)
      })
    }
  }

  #applyObject (vm: FakeVm, object: StoredObject): void {
    this.#options.onPublish?.(vm, object, vm.appliedObjects.get(formatKey(object)))
    vm.appliedObjects.set(formatKey(object), object)
  }

  #send (from: FakeVm, to: string, body: Extract<ConfigurationEffect, { type: 'send' }>['body']): void {
    this.#options.onSend?.(from, to, body)
    const copies = this.#random() < this.duplicateFraction ? 2 : 1
    for (let i = 0; i < copies; i++) {
      if (this.#random() < this.lossFraction || this.cutLinks.has(`${from.name}|${to}`)) continue
      const receiver = this.vms[Number(to.slice(3))]
      const delayMs = 1 + this.#random() * MAX_MESSAGE_DELAY_MS
      if (receiver !== undefined) this.schedule(delayMs, () => this.#deliver(receiver, { type: 'peer', from: from.name, body }))
    }
  }
}
