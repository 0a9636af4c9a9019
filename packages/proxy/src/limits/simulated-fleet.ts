import { createSeededRandom, type Decide, type LimitOwners, type Rate } from '@camphorpitch/wire'
import type { Member } from '../membership/membership-view.ts'
import { createLimitState, decideLimits, type LimitInput, type LimitState } from './decide-limits.ts'
import type { LimitEffect } from './effects.ts'
import type { Admission } from './limiter.ts'

interface ScheduledEvent {
  atMs: number
  order: number
  run: () => void
}

/** Events under a virtual clock, in a binary heap ordered by time. */
class EventQueue {
  readonly #heap: ScheduledEvent[] = []
  #order = 0
  nowMs = 0

  schedule (atMs: number, run: () => void): void {
    const heap = this.#heap
    heap.push({ atMs: Math.max(atMs, this.nowMs), order: this.#order++, run })
    let i = heap.length - 1
    while (i > 0 && isBefore(heap[i]!, heap[(i - 1) >> 1]!)) {
      exchangeEvents(heap, i, (i - 1) >> 1)
      i = (i - 1) >> 1
    }
  }

  runUntil (endMs: number): void {
    while (this.#heap.length > 0 && this.#heap[0]!.atMs <= endMs) {
      const event = this.#removeFirst()
      this.nowMs = event.atMs
      event.run()
    }
    this.nowMs = endMs
  }

  #removeFirst (): ScheduledEvent {
    const heap = this.#heap
    const first = heap[0]!
    const last = heap.pop()!
    if (heap.length === 0) return first
    heap[0] = last
    let i = 0
    for (;;) {
      const left = 2 * i + 1
      const right = left + 1
      let least = i
      if (left < heap.length && isBefore(heap[left]!, heap[least]!)) least = left
      if (right < heap.length && isBefore(heap[right]!, heap[least]!)) least = right
      if (least === i) return first
      exchangeEvents(heap, i, least)
      i = least
    }
  }
}

function isBefore (a: ScheduledEvent, b: ScheduledEvent): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order)
}

function exchangeEvents (heap: ScheduledEvent[], i: number, j: number): void {
  const first = heap[i]!
  heap[i] = heap[j]!
  heap[j] = first
}

/** Faults of the links between VMs. */
export interface LinkFaults {
  /** Probability that a message is lost. */
  loss: number
  /** Probability that a message is sent twice. */
  duplication: number
  /** Longest additional delay of a message; most delays are far shorter, so messages are also reordered. */
  extraDelayMs: number
}

/** How the object service behaves; with `answers-lost`, most calls end with a failure although they took effect. */
export type ServiceMode = 'up' | 'down' | 'slow' | 'answers-lost'

export interface SimulatedVm {
  vm: string
  failureDomain: string
  incarnation: number
  /** Offset of this VM's clock from the simulated time. */
  clockOffsetMs: number
  /** Milliseconds of this VM's clock in a millisecond of simulated time. */
  clockSpeed: number
  /** `null` while the VM's process does not run. */
  state: LimitState | null
  /** Identifies the last tick scheduled; earlier ones are dropped when they are due. */
  scheduledTickId: number
  pausedUntilMs: number
  /** Inputs received during a pause, delivered at its end. */
  pendingInputs: LimitInput[]
}

export interface AdmissionRecord {
  /** When the request was admitted or refused. */
  atMs: number
  vm: string
  workspace: string
  admission: Admission
  requestedAtMs: number
}

export interface SimulatedFleetOptions {
  seed: number
  vmCount: number
  rates: Record<string, Rate>
  decide?: Decide<LimitState, LimitInput, LimitEffect>
  /** One-way latency between failure domains. */
  latencyMs?: number
  /** Largest deviation of a VM's clock speed from simulated time, as a fraction. */
  clockDrift?: number
  handleSend?: (from: string, to: string, effect: Extract<LimitEffect, { type: 'send' }>) => void
}

const DOMAIN_COUNT = 3
const SERVICE_LATENCY_MS = 3
const MAX_SLOW_SERVICE_DELAY_MS = 1_500
const FAILURE_DETECTION_MS = 700
const OWNERS_FORWARD_DELAY_MS = 50

/** Runs `decideLimits` on simulated VMs under a virtual clock, with fakes of the peer network, the membership and the object service. */
export class SimulatedFleet {
  readonly queue = new EventQueue()
  readonly random: () => number
  readonly vms: SimulatedVm[] = []
  readonly records: AdmissionRecord[] = []
  readonly links: LinkFaults = { loss: 0, duplication: 0, extraDelayMs: 0 }
  service: ServiceMode = 'up'
  /** Group of each VM; VMs of different groups cannot reach each other. No entry means group 0. */
  readonly groups = new Map<string, number>()
  readonly disconnectedFromService = new Set<string>()
  /** VMs that the others wrongly consider dead. */
  readonly suspected = new Set<string>()
  owners: { version: number, value: LimitOwners } | null = null
  readonly #options: SimulatedFleetOptions
  readonly #requests = new Map<string, { vm: string, workspace: string, requestedAtMs: number, resolve?: (a: Admission) => void }>()
  #nextRequestId = 1

  constructor (options: SimulatedFleetOptions) {
    this.#options = options
    this.random = createSeededRandom(options.seed)
    for (let i = 0; i < options.vmCount; i++) this.addVm(`vm-${i}`)
  }

  addVm (vm: string): SimulatedVm {
    const added: SimulatedVm = {
      vm,
      failureDomain: `domain-${this.vms.length % DOMAIN_COUNT}`,
      incarnation: 0,
      clockOffsetMs: Math.floor(this.random() * 1_000_000),
      clockSpeed: 1 + (this.random() * 2 - 1) * (this.#options.clockDrift ?? 0),
      state: null,
      scheduledTickId: 0,
      pausedUntilMs: 0,
      pendingInputs: []
    }
    this.vms.push(added)
    this.startVm(added)
    return added
  }

  /** Starts the VM's process, with no state of an earlier process. */
  startVm (vm: SimulatedVm): void {
    vm.incarnation += 1
    vm.state = createLimitState({ vm: vm.vm, incarnation: vm.incarnation }, this.readClock(vm))
    vm.pendingInputs = []
    vm.pausedUntilMs = 0
    for (const [workspace, rate] of Object.entries(this.#options.rates)) this.deliver(vm, { type: 'rate', workspace, rate })
    this.deliver(vm, { type: 'tick' })
    this.publishMembers()
    this.#forwardOwners(vm)
  }

  /** Gives a new process the owners object that a peer knows, as the configuration does, also while the object service is down. */
  #forwardOwners (vm: SimulatedVm): void {
    const { incarnation } = vm
    this.queue.schedule(this.queue.nowMs + OWNERS_FORWARD_DELAY_MS, () => {
      const peer = this.vms.find(v => v !== vm && v.state?.ownership.owners != null && this.#isLinked(v, vm))
      const owners = peer?.state?.ownership.owners
      if (owners != null && owners.version > 0 && vm.incarnation === incarnation) this.deliver(vm, { type: 'owners', owners })
    })
  }

  killVm (vm: SimulatedVm): void {
    vm.state = null
    this.publishMembers()
  }

  pauseVm (vm: SimulatedVm, durationMs: number): void {
    vm.pausedUntilMs = this.queue.nowMs + durationMs
    this.queue.schedule(vm.pausedUntilMs, () => {
      const inputs = vm.pendingInputs.splice(0)
      for (const input of inputs) this.deliver(vm, input)
      this.publishMembers()
    })
    this.publishMembers()
  }

  /** Requests admission at the VM now; does nothing while its process does not run. */
  admit (vm: SimulatedVm, workspace: string, resolve?: (admission: Admission) => void): void {
    const requestId = this.#nextRequestId++
    if (vm.state === null) return
    this.#requests.set(`${vm.vm}/${requestId}`, { vm: vm.vm, workspace, requestedAtMs: this.queue.nowMs, resolve })
    this.deliver(vm, { type: 'admit', requestId, workspace, timeoutMs: 10_000 })
  }

  /** Delivers an input to the VM, or at the end of its pause; dropped while its process does not run. */
  deliver (vm: SimulatedVm, input: LimitInput): void {
    if (vm.state === null) return
    if (this.queue.nowMs < vm.pausedUntilMs) vm.pendingInputs.push(input)
    else this.#decide(vm, input)
  }

  /** Sends every VM the members visible to it, after the time that failure detection takes. */
  publishMembers (): void {
    this.queue.schedule(this.queue.nowMs + FAILURE_DETECTION_MS, () => {
      for (const vm of this.vms) this.deliver(vm, { type: 'members', members: this.#listMembers(vm) })
    })
  }

  #listMembers (viewer: SimulatedVm): Member[] {
    const visible = this.vms.filter(v => v === viewer || this.#isVisible(v, viewer))
    return visible.map(({ vm, failureDomain, incarnation }) => (
      { vm, host: '127.0.0.1', peerPort: 1, failureDomain, region: 'default', incarnation, state: 'live' }
    ))
  }

  #isVisible (vm: SimulatedVm, viewer: SimulatedVm): boolean {
    const isRunning = vm.state !== null && this.queue.nowMs >= vm.pausedUntilMs
    return isRunning && this.#isLinked(vm, viewer) && !this.suspected.has(vm.vm)
  }

  #isLinked (a: SimulatedVm, b: SimulatedVm): boolean {
    return (this.groups.get(a.vm) ?? 0) === (this.groups.get(b.vm) ?? 0)
  }

  /** The VM's monotonic clock, in milliseconds. */
  readClock (vm: SimulatedVm): number {
    return this.queue.nowMs * vm.clockSpeed + vm.clockOffsetMs
  }

  #decide (vm: SimulatedVm, input: LimitInput): void {
    const decide = this.#options.decide ?? decideLimits
    const step = decide(vm.state!, input, this.readClock(vm))
    vm.state = step.state
    for (const effect of step.effects) this.#runEffect(vm, effect)
  }

  #runEffect (vm: SimulatedVm, effect: LimitEffect): void {
    switch (effect.type) {
      case 'resolve': return this.#recordAdmission(vm, effect.requestId, effect.admission)
      case 'send': return this.#send(vm, effect)
      case 'wake': return this.#scheduleTick(vm, effect.atMs)
      case 'list-vms': return this.#requestService(vm, () => ({ type: 'listed', vms: this.vms.filter(v => v.state !== null).map(v => v.vm) }), null)
      case 'read-owners': return this.#requestService(vm, () => ({ type: 'owners-read', owners: this.owners }), { type: 'read-failed' })
      case 'write-owners': return this.#write(vm, effect.version, effect.value)
    }
  }

  #recordAdmission (vm: SimulatedVm, requestId: number, admission: Admission): void {
    const key = `${vm.vm}/${requestId}`
    const request = this.#requests.get(key)
    if (request === undefined) return
    this.#requests.delete(key)
    this.records.push({ atMs: this.queue.nowMs, vm: vm.vm, workspace: request.workspace, admission, requestedAtMs: request.requestedAtMs })
    request.resolve?.(admission)
  }

  #scheduleTick (vm: SimulatedVm, atMs: number): void {
    const tickId = ++vm.scheduledTickId
    this.queue.schedule((atMs - vm.clockOffsetMs) / vm.clockSpeed, () => {
      if (vm.scheduledTickId === tickId) this.deliver(vm, { type: 'tick' })
    })
  }

  #send (from: SimulatedVm, effect: Extract<LimitEffect, { type: 'send' }>): void {
    const to = this.vms.find(v => v.vm === effect.vm)
    if (to === undefined) return
    const input: LimitInput = { type: 'peer', from: { vm: from.vm, incarnation: from.incarnation }, body: effect.body }
    if (to === from) {
      this.queue.schedule(this.queue.nowMs, () => this.deliver(to, input))
      return
    }
    this.#options.handleSend?.(from.vm, to.vm, effect)
    const copyCount = this.random() < this.links.duplication ? 2 : 1
    for (let i = 0; i < copyCount; i++) {
      if (!this.#isLinked(from, to) || this.random() < this.links.loss) continue
      const latencyMs = this.#computeLatencyMs(from, to) + this.random() ** 3 * this.links.extraDelayMs
      this.queue.schedule(this.queue.nowMs + latencyMs, () => this.deliver(to, input))
    }
  }

  #computeLatencyMs (from: SimulatedVm, to: SimulatedVm): number {
    const latencyMs = this.#options.latencyMs ?? 8
    return (from.failureDomain === to.failureDomain ? 0.5 : latencyMs) + this.random() * 0.5
  }

  /** Runs `call` at the object service and delivers its response, or `failure`; a response may be lost after `call` took effect. */
  #requestService (vm: SimulatedVm, call: () => LimitInput, failure: LimitInput | null): void {
    const slowMs = this.service === 'slow' ? this.random() * MAX_SLOW_SERVICE_DELAY_MS : 0
    const { incarnation } = vm
    const deliverLater = (input: LimitInput | null): void => this.queue.schedule(this.queue.nowMs + SERVICE_LATENCY_MS + slowMs, () => {
      if (input !== null && vm.incarnation === incarnation) this.deliver(vm, input)
    })
    this.queue.schedule(this.queue.nowMs + SERVICE_LATENCY_MS + slowMs, () => {
      if (this.service === 'down' || this.disconnectedFromService.has(vm.vm)) return deliverLater(failure)
      const response = call()
      deliverLater(this.service === 'answers-lost' && this.random() < 0.7 ? failure : response)
    })
  }

  #write (vm: SimulatedVm, version: number, value: LimitOwners): void {
    const unknown: LimitInput = { type: 'write-result', result: { outcome: 'unknown' } }
    this.#requestService(vm, () => {
      if ((this.owners?.version ?? 0) !== version) return { type: 'write-result', result: { outcome: 'conflict' } }
      this.owners = { version: version + 1, value }
      this.#publishOwners()
      return { type: 'write-result', result: { outcome: 'written', owners: this.owners } }
    }, unknown)
  }

  /** Delivers the owners object to each VM that reaches the object service, as the configuration's watch does. */
  #publishOwners (): void {
    const owners = this.owners!
    for (const vm of this.vms) {
      if (this.disconnectedFromService.has(vm.vm)) continue
      this.queue.schedule(this.queue.nowMs + SERVICE_LATENCY_MS + this.random() * 300, () => this.deliver(vm, { type: 'owners', owners }))
    }
  }
}
