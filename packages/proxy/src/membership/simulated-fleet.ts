import type { Vm } from '@camphorpitch/wire'
import { decideMembership, TICK_INTERVAL_MS } from './decision.ts'
import type { Member } from './membership-view.ts'
import type { MembershipInput, MembershipMessage } from './messages.ts'
import { createMembershipState, describeMember, listLiveMembers, type MembershipEffect, type MembershipState } from './state.ts'

/** Incarnation of the VMs that start at simulated time 0, in milliseconds since the epoch. */
export const FIRST_INCARNATION = 1_700_000_000_000

/** Events are stored in buckets of this much simulated time. */
const BUCKET_WIDTH_MS = 10

/** The decision function under test: the real one, or a simplified one for comparison. */
export type DecideMembership = typeof decideMembership

export interface SimulatedFleetOptions {
  size: number
  seed: number
  decide?: DecideMembership
  failureDomains?: number
  /** Fraction of the messages that are lost. */
  lossFraction?: number
  /** Longest one-way delay, in milliseconds. */
  maxDelayMs?: number
  /** Called for each message that is sent. */
  handleSend?: (message: MembershipMessage) => void
}

interface SimulatedVm {
  state: MembershipState
  isRunning: boolean
  pausedUntilMs: number
}

interface ScheduledEvent {
  atMs: number
  vm: string
  /** Start of the VM for which the event is meant; a restarted VM ignores events of earlier generations. */
  generation: number
  input: MembershipInput
}

/** A member's change to suspected or dead in the view of `observer`. */
interface ObservedChange {
  atMs: number
  vm: string
  incarnation: number
  observer: string
  /** Whether the member was running at that time. */
  isRunning: boolean
}

/** Runs the membership decisions of a fleet under a virtual clock and a seeded network. */
export class SimulatedFleet {
  nowMs = 0
  lossFraction: number
  /** Every confirmation of a death by any VM. */
  readonly deaths: ObservedChange[] = []
  /** Every suspicion that begins in any VM's view. */
  readonly suspicions: ObservedChange[] = []
  /** Views in which a member's incarnation decreased, as `observer/generation/member`. */
  readonly incarnationRegressions: string[] = []
  readonly #options: SimulatedFleetOptions
  readonly #vms = new Map<string, SimulatedVm>()
  readonly #buckets = new Map<number, ScheduledEvent[]>()
  /** Highest incarnation of each member in each generation of each observer's view. */
  readonly #highestIncarnations = new Map<string, number>()
  readonly #generations = new Map<string, number>()
  #listedVms: Vm[] = []
  #randomState: number
  #findSide: ((vm: string) => number) | null = null

  constructor (options: SimulatedFleetOptions) {
    this.#options = options
    this.lossFraction = options.lossFraction ?? 0
    this.#randomState = options.seed | 0
    for (let i = 0; i < options.size; i++) this.startVm(`vm-${i}`)
  }

  /** Starts a VM without state; the platform lists it from then on. */
  startVm (vm: string, incarnation = FIRST_INCARNATION + Math.floor(this.nowMs)): void {
    const index = Number(vm.slice('vm-'.length))
    const domain = index % (this.#options.failureDomains ?? 9)
    const address = { vm, host: '10.0.0.1', peerPort: 7_000 + index, failureDomain: `domain-${domain}`, region: `region-${domain % 3}` }
    const generation = (this.#generations.get(vm) ?? 0) + 1
    this.#generations.set(vm, generation)
    const self = { ...address, incarnation }
    this.#vms.set(vm, { state: createMembershipState({ self, seed: this.#options.seed * 7_919 + index }), isRunning: true, pausedUntilMs: 0 })
    this.#listedVms = [...this.#listedVms.filter(v => v.vm !== vm), { ...address, state: 'live' }]
    this.#schedule({ atMs: this.nowMs + this.pickRandom() * TICK_INTERVAL_MS, vm, generation, input: { type: 'tick' } })
  }

  /** Stops a VM without notice; the platform still lists it. */
  stopVm (vm: string): void {
    this.#vms.get(vm)!.isRunning = false
  }

  /** Pauses a VM; it handles the events that are due meanwhile when it resumes. */
  pauseVm (vm: string, durationMs: number): void {
    this.#vms.get(vm)!.pausedUntilMs = this.nowMs + durationMs
  }

  leave (vm: string): void {
    this.#deliver({ atMs: this.nowMs, vm, generation: this.#generations.get(vm)!, input: { type: 'leave' } })
  }

  listAsLeaving (vm: string): void {
    this.#listedVms = this.#listedVms.map(v => v.vm === vm ? { ...v, state: 'leaving' } : v)
  }

  removeFromList (vm: string): void {
    this.#listedVms = this.#listedVms.filter(v => v.vm !== vm)
  }

  /** Partitions the network: messages between VMs for which `findSide` differs are lost. `null` heals the partition. */
  cut (findSide: ((vm: string) => number) | null): void {
    this.#findSide = findSide
  }

  run (durationMs: number): void {
    const endMs = this.nowMs + durationMs
    const lastBucket = Math.floor(endMs / BUCKET_WIDTH_MS)
    for (let bucket = Math.floor(this.nowMs / BUCKET_WIDTH_MS); bucket <= lastBucket; bucket++) {
      while (this.#buckets.has(bucket)) this.#deliverBucket(bucket)
    }
    this.nowMs = endMs
  }

  listRunning (): string[] {
    return [...this.#vms].filter(([, v]) => v.isRunning).map(([vm]) => vm)
  }

  /** Delivers the events of one bucket in order of time; events that these add to the same bucket are left for the next call. */
  #deliverBucket (bucket: number): void {
    const events = this.#buckets.get(bucket) ?? []
    this.#buckets.delete(bucket)
    for (const e of events.sort((a, b) => a.atMs - b.atMs)) {
      this.nowMs = Math.max(this.nowMs, e.atMs)
      this.#deliver(e)
    }
  }

  /** Reads a VM's view of the members that are not dead, by VM. */
  readView (vm: string): Map<string, Member> {
    return new Map(listLiveMembers(this.#vms.get(vm)!.state).map(m => [m.vm, m]))
  }

  /** Reads a member's incarnation in an observer's view, including increments by refutation; 0 for an unknown member. */
  readIncarnation (observer: string, vm: string): number {
    const { state } = this.#vms.get(observer)!
    return observer === vm ? state.self.incarnation : state.members.get(vm)?.incarnation ?? 0
  }

  /** Lists the running VMs in whose view `vm` is not dead. */
  listObserversOf (vm: string): string[] {
    return this.listRunning().filter(o => this.readView(o).has(vm))
  }

  /** Whether the view of every running VM has exactly the running VMs, none suspected, with the state and process incarnation that each has itself. */
  hasConverged (): boolean {
    const running = this.listRunning().sort()
    const expected = running.map(vm => describeMember(this.#vms.get(vm)!.state.self)).map(formatMember).join()
    return running.every(vm => [...this.readView(vm).values()].map(formatMember).sort().join() === expected)
  }

  pickRandom (): number {
    this.#randomState = (Math.imul(this.#randomState, 1_664_525) + 1_013_904_223) | 0
    const mixed = Math.imul(this.#randomState ^ (this.#randomState >>> 16), 0x45d9f3b)
    return ((mixed ^ (mixed >>> 15)) >>> 0) / 4_294_967_296
  }

  #schedule (event: ScheduledEvent): void {
    const bucket = Math.floor(event.atMs / BUCKET_WIDTH_MS)
    const events = this.#buckets.get(bucket)
    if (events === undefined) this.#buckets.set(bucket, [event])
    else events.push(event)
  }

  #deliver (event: ScheduledEvent): void {
    const target = this.#vms.get(event.vm)
    if (target === undefined || !target.isRunning || event.generation !== this.#generations.get(event.vm)) return
    if (target.pausedUntilMs > this.nowMs) {
      this.#schedule({ ...event, atMs: Math.max(target.pausedUntilMs, this.nowMs + 1) })
      return
    }
    const { state, effects } = (this.#options.decide ?? decideMembership)(target.state, event.input, this.nowMs)
    target.state = state
    for (const e of effects) this.#runEffect(event.vm, e)
    if (event.input.type === 'tick') this.#schedule({ ...event, atMs: this.nowMs + TICK_INTERVAL_MS })
  }

  #runEffect (vm: string, effect: MembershipEffect): void {
    const generation = this.#generations.get(vm)!
    if (effect.type === 'poll') {
      this.#schedule({ atMs: this.nowMs + 1 + this.pickRandom() * 10, vm, generation, input: { type: 'listed', vms: this.#listedVms } })
    } else if (effect.type === 'send') {
      this.#send(vm, effect.to.vm, effect.body)
    } else if (effect.type === 'changed') {
      this.#recordChange(vm, effect.member)
    }
  }

  #send (from: string, to: string, body: MembershipMessage): void {
    this.#options.handleSend?.(body)
    if (this.pickRandom() < this.lossFraction) return
    if (this.#findSide !== null && this.#findSide(from) !== this.#findSide(to)) return
    const delayMs = 1 + this.pickRandom() * (this.#options.maxDelayMs ?? 20)
    this.#schedule({ atMs: this.nowMs + delayMs, vm: to, generation: this.#generations.get(to) ?? 0, input: { type: 'received', from, body } })
  }

  #recordChange (observer: string, member: Member): void {
    const key = `${observer}/${this.#generations.get(observer)}/${member.vm}`
    const incarnation = this.readIncarnation(observer, member.vm)
    if (incarnation < (this.#highestIncarnations.get(key) ?? 0)) this.incarnationRegressions.push(key)
    this.#highestIncarnations.set(key, incarnation)
    const isRunning = this.#vms.get(member.vm)?.isRunning === true
    const change = { atMs: this.nowMs, vm: member.vm, incarnation, observer, isRunning }
    if (member.state === 'dead') this.deaths.push(change)
    if (member.state === 'suspected') this.suspicions.push(change)
  }
}

function formatMember (member: Member): string {
  return `${member.vm}/${member.incarnation}/${member.state}`
}
