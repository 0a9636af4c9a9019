import {
  addEntry, applyShipment, createGroupState, createLogRequest, createShipment, describeStatus, fence, follow, promote, type GroupState, type PrimaryAddress
} from '@camphorpitch/standins'
import { comparePositions, createSeededRandom, pickLaterPosition, zeroPosition, type Endpoint, type InstanceStatus, type LogPosition } from '@camphorpitch/wire'
import { computeBaseline } from '../routing/baseline-history.ts'
import { decideFailover } from './decide-failover.ts'
import { addWaiter, createDurabilityState, recordReport, removeWaiter, type DurabilityState } from './durability.ts'
import { findReachablePrimary, isPrimarySuspected, listInstancesToProbe, listProbedInstances } from './health.ts'
import type { FailoverEffect, FailoverMessage } from './messages.ts'
import { createFailoverState, type FailoverState, type ProbedInstance } from './state.ts'

/** Simulates serving VMs and instances with a virtual clock, for tests of the failover decision. */

export type FaultKind = 'killInstance' | 'freezeInstance' | 'killVm' | 'pauseVm' | 'cutVmLink' | 'cutPeerLink' | 'isolateInstance' | 'loss' | 'slowLink'

export interface SimulatedFault {
  kind: FaultKind
  atMs: number
  durationMs: number
  /** Instance that the fault affects; taken modulo the number of instances. */
  instanceIndex: number
  /** VM that the fault affects, or the other instance of a cut or slow link; taken modulo their number. */
  peerOrVmIndex: number
}

/** Variants of the decision; the checks must fail for every one but `correct`. */
export type DecisionVariant = 'correct' | 'ackWithoutWaiting' | 'promoteWithoutQuorum' | 'anyCandidate'

export interface SimulationOptions {
  seed: number
  instances: number
  vms: number
  faults: readonly SimulatedFault[]
  variant?: DecisionVariant
  /** Whether single messages may be late by up to half a second until the last fault ends; true by default. */
  hasLateMessages?: boolean
  /** Time simulated after the last fault, in which writes must be acknowledged again. */
  faultFreeMs?: number
}

export interface SimulationResult {
  /** Descriptions of the violated guarantees; the simulation stops at the first one. */
  violations: string[]
  /** Number of acknowledged writes. */
  acknowledged: number
  promotionCount: number
  /** Simulated milliseconds from the end of the last fault to the acknowledgement of the first write begun after it; `null` for none. */
  recoveredAfterMs: number | null
}

const TICK_INTERVAL_MS = 50
const WRITE_INTERVAL_MS = 100
const REPLICATION_INTERVAL_MS = 30
const DURABILITY_POLL_INTERVAL_MS = 25
const DURABILITY_TIMEOUT_MS = 400
/** Subtracted from the time since a replica's last contact, so that the time between two log requests does not look like a lost primary. */
const CONTACT_AGE_ALLOWANCE_MS = 50
/** The baseline of a VM is checked when it receives a message, for one in so many messages. */
const MESSAGES_PER_BASELINE_CHECK = 3

interface SimulatedInstance { name: string, state: GroupState, frozenUntilMs: number, downUntilMs: number, primaryContactAtMs: number }
interface SimulatedVm { name: string, incarnation: number, failover: FailoverState, durability: DurabilityState, pausedUntilMs: number, writes: number }
interface AcknowledgedWrite { id: string, position: LogPosition, startedAtMs: number, atMs: number }

/** Runs one schedule of faults to its end. */
export function runSimulatedGroup (options: SimulationOptions): SimulationResult {
  return new SimulatedGroup(options).run()
}

class SimulatedGroup {
  readonly #options: SimulationOptions
  readonly #random: () => number
  readonly #events: Array<{ atMs: number, order: number, run: () => void }> = []
  readonly #instances: SimulatedInstance[]
  readonly #vms: SimulatedVm[]
  readonly #endpoints: Endpoint[]
  readonly #acknowledged: AcknowledgedWrite[] = []
  /** For each acknowledged write, the latest position among it and those before it. */
  readonly #latestAcknowledged: LogPosition[] = []
  readonly #violations: string[] = []
  readonly #primaryByTerm = new Map<number, string>()
  readonly #faultsEndedAtMs: number
  #nowMs = 0
  #nextEventOrder = 0
  #messageCount = 0
  #recoveredAtMs: number | null = null

  constructor (options: SimulationOptions) {
    this.#options = options
    this.#random = createSeededRandom(options.seed)
    this.#faultsEndedAtMs = Math.max(500, ...options.faults.map(f => f.atMs + f.durationMs))
    const names = Array.from({ length: options.instances }, (_, i) => `db-${i + 1}`)
    const primary = createAddress(names[0]!)
    this.#instances = names.map(name => ({ name, state: createGroupState(name, 1, primary), frozenUntilMs: 0, downUntilMs: 0, primaryContactAtMs: 0 }))
    this.#endpoints = names.map(name => ({ endpoint: name, host: 'host', port: 1, failureDomain: 'a', region: 'a', maxConnections: 20, slots: 3 }))
    this.#vms = Array.from({ length: options.vms }, (_, i) => this.#createVm(`vm-${i}`, 0, i))
  }

  run (): SimulationResult {
    const endMs = this.#faultsEndedAtMs + (this.#options.faultFreeMs ?? 6_000)
    for (const f of this.#options.faults) this.#schedule(f.atMs, () => { this.#startFault(f) })
    this.#vms.forEach((_, i) => { this.#startVm(i) })
    for (const i of this.#instances) this.#runEvery(REPLICATION_INTERVAL_MS, () => { this.#requestShipment(i) })
    while (this.#events.length > 0 && this.#nowMs < endMs && this.#violations.length === 0 && !this.#isDone()) {
      const event = this.#events.shift()!
      this.#nowMs = event.atMs
      event.run()
      this.#checkPrimaries()
    }
    this.#checkNothingLost()
    const recoveredAfterMs = this.#recoveredAtMs === null ? null : this.#recoveredAtMs - this.#faultsEndedAtMs
    return { violations: this.#violations, acknowledged: this.#acknowledged.length, promotionCount: this.#primaryByTerm.size - 1, recoveredAfterMs }
  }

  #createVm (name: string, incarnation: number, rank: number): SimulatedVm {
    const failover = createFailoverState({ database: 'db', endpoints: this.#endpoints, promoterId: `${name}.${incarnation}`, seed: this.#options.seed + rank, nowMs: this.#nowMs, rank })
    if (this.#options.variant === 'promoteWithoutQuorum') failover.quorumSize = 1
    const quorumSize = this.#options.variant === 'ackWithoutWaiting' ? 1 : Math.floor(this.#endpoints.length / 2) + 1
    const durability = createDurabilityState(this.#endpoints.map(e => e.endpoint), quorumSize)
    return { name, incarnation, failover, durability, pausedUntilMs: 0, writes: 0 }
  }

  #startVm (index: number): void {
    const vm = this.#vms[index]!
    const isCurrent = (): boolean => this.#vms[index] === vm
    const scheduleOnVm = (intervalMs: number, run: () => void): void => {
      this.#runEvery(intervalMs, () => {
        if (isCurrent()) this.#runOnVm(vm, run)
      }, isCurrent)
    }
    let round = 0
    scheduleOnVm(TICK_INTERVAL_MS, () => {
      this.#tell(vm, { type: 'tick', rank: index })
      if (isPrimarySuspected(vm.failover, this.#nowMs)) this.#probeAll(vm, listProbedInstances(vm.failover))
    })
    scheduleOnVm(vm.failover.timings.probeIntervalMs, () => { this.#probeAll(vm, listInstancesToProbe(vm.failover, round++)) })
    scheduleOnVm(WRITE_INTERVAL_MS, () => { this.#write(vm) })
  }

  /** Runs now, or when the VM's pause ends, unless the VM has been killed. */
  #runOnVm (vm: SimulatedVm, run: () => void): void {
    if (vm.pausedUntilMs > this.#nowMs) {
      this.#schedule(vm.pausedUntilMs, () => {
        if (this.#vms.includes(vm)) run()
      })
      return
    }
    if (this.#vms.includes(vm)) run()
  }

  #tell (vm: SimulatedVm, message: FailoverMessage): void {
    const { effects } = decideFailover(vm.failover, message, this.#nowMs)
    for (const e of effects) this.#runEffect(vm, e)
    if (++this.#messageCount % MESSAGES_PER_BASELINE_CHECK === 0) this.#checkBaseline(vm)
  }

  /** Checks that the baseline from the last probes of a quorum includes every write acknowledged before they were sent. */
  #checkBaseline (vm: SimulatedVm): void {
    const baseline = computeBaseline(listProbedInstances(vm.failover).map(i => ({ ...i, isReachable: true })))
    if (baseline === undefined) return
    const index = this.#acknowledged.findLastIndex(a => a.atMs < baseline.atMs)
    const latest = this.#latestAcknowledged[index]
    if (latest === undefined || comparePositions(latest, baseline.position) <= 0) return
    this.#violations.push(`${vm.name} computed a baseline without an acknowledged write`)
  }

  #runEffect (vm: SimulatedVm, effect: FailoverEffect): void {
    if (effect.type === 'log' || effect.type === 'changed') return
    const target = this.#instances.find(i => i.name === effect.endpoint)!
    const sentAtMs = this.#nowMs
    const { endpoint } = effect
    if (effect.type === 'follow') {
      this.#request(vm, target, i => follow(i.state, effect.term, createAddress(effect.primary.endpoint)) ? this.#describeInstance(i) : null, status => {
        if (status !== null) this.#tell(vm, { type: 'probeAnswered', endpoint, sentAtMs, status })
      })
      return
    }
    const { promoter, term, type } = effect
    if (type === 'fence') {
      this.#request(vm, target, i => fence(i.state, term, promoter) ? this.#describeInstance(i) : null, status => {
        this.#tell(vm, status === null ? { type: 'fenceRefused', endpoint, promoter } : { type: 'fenceGranted', endpoint, promoter, sentAtMs, status })
      })
      return
    }
    const promotedInstance = this.#options.variant === 'anyCandidate' ? this.#pickAnyFenced(promoter, target) : target
    this.#request(vm, promotedInstance, i => promote(i.state, term, promoter, createAddress(i.name)) ? this.#describeInstance(i) : null, status => {
      this.#tell(vm, status === null ? { type: 'promoteFailed', endpoint: promotedInstance.name, promoter } : { type: 'promoteAnswered', endpoint: promotedInstance.name, promoter, sentAtMs, status })
    })
  }

  #pickAnyFenced (promoter: string, fallback: SimulatedInstance): SimulatedInstance {
    return this.#instances.findLast(i => i.state.promoter === promoter) ?? fallback
  }

  #probeAll (vm: SimulatedVm, probed: readonly ProbedInstance[]): void {
    for (const p of probed) this.#probe(vm, this.#instances.find(i => i.name === p.endpoint.endpoint)!)
  }

  #probe (vm: SimulatedVm, instance: SimulatedInstance): void {
    const sentAtMs = this.#nowMs
    const endpoint = instance.name
    this.#tell(vm, { type: 'probeSent', endpoint })
    if (instance.downUntilMs > this.#nowMs && !this.#isCut(vm.name, endpoint)) {
      this.#schedule(this.#nowMs + 1, () => {
        this.#runOnVm(vm, () => { this.#tell(vm, { type: 'probeFailed', endpoint, sentAtMs, refused: true }) })
      })
      return
    }
    this.#request(vm, instance, i => this.#describeInstance(i), status => { this.#tell(vm, { type: 'probeAnswered', endpoint, sentAtMs, status }) })
  }

  #write (vm: SimulatedVm): void {
    const primary = findReachablePrimary(vm.failover, this.#nowMs)
    if (primary === undefined) return
    const id = `${vm.name}.${vm.incarnation}.${++vm.writes}`
    const startedAtMs = this.#nowMs
    const target = this.#instances.find(i => i.name === primary.endpoint.endpoint)!
    let isAppended = false
    this.#request(vm, target, i => {
      if (i.state.role !== 'primary' || isAppended) return null
      isAppended = true
      return addEntry(i.state, [id])
    }, position => {
      if (position !== null) this.#waitDurable(vm, { id, startedAtMs, position, primary: target.name })
    })
  }

  #waitDurable (vm: SimulatedVm, { id, startedAtMs, position, primary }: { id: string, startedAtMs: number, position: LogPosition, primary: string }): void {
    const waiterId = addWaiter(vm.durability, position, primary)
    const deadlineMs = this.#nowMs + DURABILITY_TIMEOUT_MS
    let isOpen = true
    const finish = (isDurable: boolean): void => {
      if (!isOpen) return
      isOpen = false
      if (isDurable) this.#recordAcknowledged({ id, position, startedAtMs, atMs: this.#nowMs })
    }
    if (vm.durability.quorumSize === 1) finish(true)
    const poll = (): void => {
      if (!isOpen) return
      if (this.#nowMs > deadlineMs) {
        removeWaiter(vm.durability, waiterId)
        isOpen = false
        return
      }
      for (const i of this.#instances.filter(other => other.name !== primary)) {
        this.#request(vm, i, polled => ({ term: polled.state.term, logged: describeStatus(polled.state).logged }), report => {
          for (const outcome of recordReport(vm.durability, i.name, report)) {
            if (outcome.id === waiterId) finish(outcome.isDurable)
            else this.#finishersByVm.get(vm)?.get(outcome.id)?.(outcome.isDurable)
          }
        })
      }
      this.#schedule(this.#nowMs + DURABILITY_POLL_INTERVAL_MS, () => { this.#runOnVm(vm, poll) })
    }
    this.#ensureFinishers(vm).set(waiterId, finish)
    poll()
  }

  readonly #finishersByVm = new Map<SimulatedVm, Map<number, (isDurable: boolean) => void>>()

  #ensureFinishers (vm: SimulatedVm): Map<number, (isDurable: boolean) => void> {
    const finishers = this.#finishersByVm.get(vm) ?? new Map<number, (isDurable: boolean) => void>()
    this.#finishersByVm.set(vm, finishers)
    return finishers
  }

  #recordAcknowledged (write: AcknowledgedWrite): void {
    const { term } = write.position
    const newerTermWrite = this.#acknowledged.find(a => a.position.term > term && a.atMs <= write.startedAtMs)
    if (newerTermWrite !== undefined) this.#violations.push(`${write.id} acknowledged in term ${term}, begun after ${newerTermWrite.id} of term ${newerTermWrite.position.term}`)
    this.#acknowledged.push(write)
    this.#latestAcknowledged.push(pickLaterPosition(this.#latestAcknowledged.at(-1) ?? zeroPosition, write.position))
    if (write.startedAtMs >= this.#faultsEndedAtMs) this.#recoveredAtMs ??= this.#nowMs
  }

  #requestShipment (replica: SimulatedInstance): void {
    if (this.#isUnavailable(replica) || replica.state.role !== 'replica' || replica.state.primary === null) return
    const primary = this.#instances.find(i => i.name === replica.state.primary!.instance)!
    const request = createLogRequest(replica.state.term, replica.state.log)
    this.#sendTo(replica.name, primary, () => {
      const shipment = createShipment(primary.state, request, 50)
      if (shipment === null) return
      this.#sendTo(primary.name, replica, () => {
        replica.primaryContactAtMs = this.#nowMs
        applyShipment(replica.state, shipment)
      })
    })
  }

  /** Sends a request and its response, each of which may be lost, late or repeated. */
  #request<T> (vm: SimulatedVm, target: SimulatedInstance, run: (instance: SimulatedInstance) => T, handleResponse: (result: T) => void): void {
    this.#sendTo(vm.name, target, () => {
      const result = run(target)
      this.#send(target.name, vm.name, () => { this.#runOnVm(vm, () => { handleResponse(result) }) })
    })
  }

  #sendTo (from: string, target: SimulatedInstance, run: () => void): void {
    this.#send(from, target.name, () => {
      if (target.downUntilMs > this.#nowMs) return
      if (target.frozenUntilMs > this.#nowMs) this.#schedule(target.frozenUntilMs + this.#random() * 3, () => { this.#runUnlessUnavailable(target, run) })
      else run()
    })
  }

  #runUnlessUnavailable (target: SimulatedInstance, run: () => void): void {
    if (!this.#isUnavailable(target)) run()
  }

  #send (from: string, to: string, run: () => void): void {
    if (this.#isCut(from, to) || this.#isMessageLost()) return
    const deliver = (): void => {
      if (!this.#isCut(from, to)) run()
    }
    this.#schedule(this.#nowMs + this.#pickDelayMs(from, to), deliver)
    if (this.#random() < 0.03) this.#schedule(this.#nowMs + this.#pickDelayMs(from, to) + this.#random() * 400, deliver)
  }

  #pickDelayMs (from: string, to: string): number {
    const isSlow = this.#hasActiveFault(f => f.kind === 'slowLink' && this.#isOnLink(f, from, to))
    const { hasLateMessages = true } = this.#options
    const isLate = hasLateMessages && this.#nowMs < this.#faultsEndedAtMs && this.#random() < 0.02
    return 0.5 + this.#random() * 8 + (isSlow ? 80 : 0) + (isLate ? this.#random() * 500 : 0)
  }

  #isMessageLost (): boolean {
    return this.#hasActiveFault(f => f.kind === 'loss') && this.#random() < 0.3
  }

  #isCut (from: string, to: string): boolean {
    return this.#hasActiveFault(f => {
      if (f.kind === 'isolateInstance') return [from, to].includes(this.#findInstanceName(f.instanceIndex))
      return (f.kind === 'cutVmLink' || f.kind === 'cutPeerLink') && this.#isOnLink(f, from, to)
    })
  }

  #isOnLink (fault: SimulatedFault, from: string, to: string): boolean {
    const ends = fault.kind === 'cutVmLink' ? [this.#vms[fault.peerOrVmIndex % this.#vms.length]!.name, this.#findInstanceName(fault.instanceIndex)] : [this.#findInstanceName(fault.instanceIndex), this.#findInstanceName(fault.peerOrVmIndex)]
    return ends.includes(from) && ends.includes(to)
  }

  #hasActiveFault (matches: (fault: SimulatedFault) => boolean): boolean {
    return this.#options.faults.some(f => f.atMs <= this.#nowMs && this.#nowMs < f.atMs + f.durationMs && matches(f))
  }

  #startFault (fault: SimulatedFault): void {
    const instance = this.#instances[fault.instanceIndex % this.#instances.length]!
    const untilMs = fault.atMs + fault.durationMs
    const index = fault.peerOrVmIndex % this.#vms.length
    const vm = this.#vms[index]!
    if (fault.kind === 'killInstance') instance.downUntilMs = Math.max(instance.downUntilMs, untilMs)
    if (fault.kind === 'freezeInstance') instance.frozenUntilMs = Math.max(instance.frozenUntilMs, untilMs)
    if (fault.kind === 'pauseVm') vm.pausedUntilMs = Math.max(vm.pausedUntilMs, untilMs)
    if (fault.kind === 'killVm') {
      this.#vms[index] = this.#createVm(vm.name, vm.incarnation + 1, index)
      this.#startVm(index)
    }
  }

  #checkPrimaries (): void {
    for (const { name, state } of this.#instances) {
      if (state.role !== 'primary') continue
      const knownPrimary = this.#primaryByTerm.get(state.term)
      if (knownPrimary === name) continue
      if (knownPrimary !== undefined) this.#violations.push(`term ${state.term} has two primaries: ${knownPrimary}, ${name}`)
      this.#primaryByTerm.set(state.term, name)
      this.#checkHoldsAcknowledged(name, state)
    }
  }

  /** Checks that a new primary holds all writes that were acknowledged in older terms. */
  #checkHoldsAcknowledged (name: string, state: GroupState): void {
    const heldWriteIds = new Set(state.log.flatMap(e => e.statements))
    const missingWrite = this.#acknowledged.find(a => a.position.term < state.term && !heldWriteIds.has(a.id))
    if (missingWrite !== undefined) this.#violations.push(`${name} became primary of term ${state.term} without ${missingWrite.id}`)
  }

  #checkNothingLost (): void {
    const newestPrimary = this.#instances.filter(i => i.state.role === 'primary').sort((a, b) => b.state.term - a.state.term)[0]
    if (newestPrimary === undefined) return
    const heldWriteIds = newestPrimary.state.log.flatMap(e => e.statements)
    const missingWrites = this.#acknowledged.filter(a => a.position.term <= newestPrimary.state.term && !heldWriteIds.includes(a.id))
    if (missingWrites.length > 0) this.#violations.push(`${missingWrites[0]!.id} and ${missingWrites.length - 1} more are missing from the last primary's log at the end`)
    if (new Set(heldWriteIds).size !== heldWriteIds.length) this.#violations.push('a write is in the log twice')
  }

  #isDone (): boolean {
    return this.#recoveredAtMs !== null && this.#nowMs > this.#recoveredAtMs + 300
  }

  #isUnavailable (i: SimulatedInstance): boolean {
    return i.downUntilMs > this.#nowMs || i.frozenUntilMs > this.#nowMs
  }

  #describeInstance (i: SimulatedInstance): InstanceStatus {
    const status = describeStatus(i.state)
    return status.role === 'replica' ? { ...status, primaryHeardMs: Math.max(0, this.#nowMs - i.primaryContactAtMs - CONTACT_AGE_ALLOWANCE_MS) } : status
  }

  #findInstanceName (index: number): string {
    return this.#instances[index % this.#instances.length]!.name
  }

  #schedule (atMs: number, run: () => void): void {
    const event = { atMs: Math.max(atMs, this.#nowMs), order: this.#nextEventOrder++, run }
    let low = 0
    let high = this.#events.length
    while (low < high) {
      const middle = (low + high) >> 1
      if (this.#events[middle]!.atMs <= event.atMs) low = middle + 1
      else high = middle
    }
    this.#events.splice(low, 0, event)
  }

  #runEvery (intervalMs: number, run: () => void, canContinue: () => boolean = () => true): void {
    const runNext = (): void => {
      if (!canContinue()) return
      run()
      this.#schedule(this.#nowMs + intervalMs * (0.9 + this.#random() * 0.2), runNext)
    }
    this.#schedule(this.#nowMs + this.#random() * intervalMs, runNext)
  }
}

function createAddress (instance: string): PrimaryAddress {
  return { instance, host: 'host', port: 1 }
}
