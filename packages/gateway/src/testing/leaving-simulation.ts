import { createSeededRandom } from '@camphorpitch/wire'
import type { LeavingOptions } from '../routing/decide-leaving.ts'
import { selectEndpoint, selectGuidedEndpoint, type DomainCandidate } from '../routing/select-endpoint.ts'
import { ServiceReads } from '../routing/service-reads.ts'

/**
 * How the VMs choose endpoints: always at home, by the lowest estimate, by the decision about leaving, or by the lower estimate with the weight of
 * bytes of home and one other endpoint at random.
 */
export type Policy = 'home' | 'lowestEstimate' | 'leaving' | 'twoChoices'

export interface SimulatedEndpoint {
  domain: string
  /** Factor on the service time; 0 while the endpoint is down. */
  readSlowness?: (atS: number) => number
}

export interface LeavingPattern {
  endpoints: SimulatedEndpoint[]
  /** Reads per second of each domain's clients, as a fraction of what one endpoint completes. */
  readDemand: Record<string, (atS: number) => number>
  reportAgeMs: number
  /** Whether the VMs have no reports at all. */
  hasNoReports?: boolean
}

export interface LeavingResult {
  reads: number
  /** Fraction of the reads that was answered within the objective. */
  served: number
  /** Fractions of the reads that were sent to another domain of the region, and to another region. */
  betweenDomains: number
  betweenRegions: number
  /** Bytes by their cost, per read: those between regions count four times. */
  bytes: number
  /** Number of times that the share which leaves the first domain turned by more than 0.1 of its reads, from one second to another. */
  turns: number
}

const SLOTS = 5
const QUEUE_LENGTH = 40
const SERVICE_MS = 20
const OBJECTIVE_MS = 400
const VMS_PER_DOMAIN = 2
const MAX_ATTEMPTS = 3
/** Weight of a response in the average of the lowest estimate, as in pool/endpoint-health.ts. */
const RESPONSE_WEIGHT = 0.15
const ONE_WAY_MS = [0.2, 0.9, 8] as const
const BUSY_AVOID_MS = 100
const DURATION_MS = 45_000
const SECOND_MS = 1_000
/** Interval at which the VMs' demand is recorded for the reports. */
const REPORT_INTERVAL_MS = 250
const TURN_SHARE = 0.1

interface Server { domain: string, readSlowness: (atS: number) => number, queue: Array<() => void>, running: number }
interface Vm { domain: string, reads: ServiceReads, inFlight: Map<string, number>, averages: Map<string, number>, avoidUntil: Map<string, number> }
interface Tally { reads: number, served: number, attempts: number[], secondReads: number[], secondLeft: number[] }

export function measureDomainDistance (a: string, b: string): 0 | 1 | 2 {
  return a === b ? 0 : a[0] === b[0] ? 1 : 2
}

/** A domain's name is the letter of its region and a digit. Reads arrive at random; service times are exponential. */
export function simulateLeaving (pattern: LeavingPattern, policy: Policy, options: LeavingOptions, seed = 1): LeavingResult {
  return new LeavingSimulation(pattern, policy, options, createSeededRandom(seed)).run()
}

class LeavingSimulation {
  readonly #events = new EventQueue()
  readonly #tally: Tally = { reads: 0, served: 0, attempts: [0, 0, 0], secondReads: [], secondLeft: [] }
  readonly #servers: ReadonlyMap<string, Server>
  readonly #vms: readonly Vm[]
  readonly #readDemands: () => ReadonlyMap<string, number>
  readonly #pattern: LeavingPattern
  readonly #policy: Policy
  readonly #options: LeavingOptions
  readonly #random: () => number

  constructor (pattern: LeavingPattern, policy: Policy, options: LeavingOptions, random: () => number) {
    this.#pattern = pattern
    this.#policy = policy
    this.#options = options
    this.#random = random
    this.#servers = new Map(pattern.endpoints.map((e, i) => [`${e.domain}-${i}`, { domain: e.domain, readSlowness: e.readSlowness ?? (() => 1), queue: [], running: 0 }]))
    this.#vms = Object.keys(pattern.readDemand).flatMap(domain => Array.from({ length: VMS_PER_DOMAIN }, (): Vm => ({ domain, reads: new ServiceReads(), inFlight: new Map(), averages: new Map(), avoidUntil: new Map() })))
    this.#readDemands = recordDemands(this.#vms, this.#servers, pattern, this.#events)
  }

  run (): LeavingResult {
    for (const domain of Object.keys(this.#pattern.readDemand)) this.#events.add(this.#random() * 10, () => this.#requestRead(domain))
    this.#events.run()
    return describeResult(this.#tally)
  }

  #requestRead (domain: string): void {
    const { nowMs } = this.#events
    if (nowMs >= DURATION_MS) return
    const local = this.#vms.filter(v => v.domain === domain)
    const vm = local[Math.floor(this.#random() * local.length)]!
    const { secondReads, secondLeft } = this.#tally
    const second = Math.floor(nowMs / SECOND_MS)
    for (const counts of [secondReads, secondLeft]) while (counts.length <= second) counts.push(0)
    this.#tally.reads++
    if (domain === this.#vms[0]!.domain) secondReads[second]!++
    vm.reads.countRead(nowMs)
    this.#attemptRead(vm, nowMs, new Set())
    const readsPerMs = this.#pattern.readDemand[domain]!(nowMs / SECOND_MS) * SLOTS / SERVICE_MS
    this.#events.add(-Math.log(1 - this.#random()) / readsPerMs, () => this.#requestRead(domain))
  }

  #attemptRead (vm: Vm, receivedAtMs: number, tried: Set<string>): void {
    const name = this.#selectEndpoint(vm, tried)
    if (name === undefined) return
    tried.add(name)
    const server = this.#servers.get(name)!
    const distance = measureDomainDistance(vm.domain, server.domain)
    const startedAtMs = this.#events.nowMs
    this.#tally.attempts[distance]!++
    if (vm.domain === this.#vms[0]!.domain && distance > 0) this.#tally.secondLeft[Math.floor(receivedAtMs / SECOND_MS)]!++
    vm.inFlight.set(name, (vm.inFlight.get(name) ?? 0) + 1)
    const respond = (isBusy: boolean): void => this.#events.add(ONE_WAY_MS[distance], () => {
      const { nowMs } = this.#events
      vm.inFlight.set(name, vm.inFlight.get(name)! - 1)
      vm.reads.recordRead(name, isBusy ? OBJECTIVE_MS : nowMs - startedAtMs, nowMs)
      if (isBusy) {
        vm.avoidUntil.set(name, nowMs + BUSY_AVOID_MS)
        if (tried.size < MAX_ATTEMPTS) this.#attemptRead(vm, receivedAtMs, tried)
        return
      }
      const average = vm.averages.get(name) ?? nowMs - startedAtMs
      vm.averages.set(name, average + RESPONSE_WEIGHT * (nowMs - startedAtMs - average))
      if (nowMs - receivedAtMs <= OBJECTIVE_MS) this.#tally.served++
    })
    this.#events.add(ONE_WAY_MS[distance], () => this.#executeRead(server, respond))
  }

  #selectEndpoint (vm: Vm, tried: ReadonlySet<string>): string | undefined {
    const { nowMs } = this.#events
    const candidates = [...this.#servers].filter(([name, s]) => !tried.has(name) && this.#isUp(s)).map(([name, s]) => createCandidate(vm, name, s.domain, nowMs))
    if (this.#policy === 'lowestEstimate') return selectEndpoint(candidates)?.endpoint
    const nearest = Math.min(...candidates.map(c => c.distance))
    if (this.#policy === 'home') return tried.size > 0 ? undefined : selectEndpoint(candidates.filter(c => c.distance === nearest))?.endpoint
    const { costMs } = this.#options
    const weightsMs = [0, costMs.betweenDomains, costMs.betweenRegions] as const
    if (this.#policy === 'twoChoices') {
      const others = candidates.filter(c => c.distance > nearest)
      const other = others[Math.floor(this.#random() * others.length)]
      return selectGuidedEndpoint(candidates.filter(c => c.distance === nearest || c === other), { home: [], shares: new Map(), weightsMs }, null)?.endpoint
    }
    if (tried.size === 0 && vm.reads.isDecisionDue(nowMs)) vm.reads.decide(candidates.map(c => ({ ...c, penaltyMs: 0 })), this.#readDemands(), this.#options, nowMs)
    return selectGuidedEndpoint(candidates, { ...vm.reads.decision, weightsMs }, tried.size > 0 ? null : this.#random())?.endpoint
  }

  #isUp ({ readSlowness }: Server): boolean {
    return readSlowness(this.#events.nowMs / SECOND_MS) > 0
  }

  #executeRead (server: Server, respond: (isBusy: boolean) => void): void {
    if (!this.#isUp(server) || server.queue.length >= QUEUE_LENGTH) return respond(true)
    server.queue.push(() => {
      server.running++
      this.#events.add(-Math.log(1 - this.#random()) * SERVICE_MS * Math.max(1, server.readSlowness(this.#events.nowMs / SECOND_MS)), () => {
        server.running--
        respond(false)
        startNext(server)
      })
    })
    startNext(server)
  }
}

function describeResult ({ reads, served, attempts, secondReads, secondLeft }: Tally): LeavingResult {
  const betweenDomains = attempts[1]! / reads
  const betweenRegions = attempts[2]! / reads
  return { reads, served: served / reads, betweenDomains, betweenRegions, bytes: betweenDomains + 4 * betweenRegions, turns: countTurns(secondReads.map((r, i) => r === 0 ? 0 : secondLeft[i]! / r)) }
}

/** Counts how often a series turns by more than `TURN_SHARE`. */
function countTurns (series: readonly number[]): number {
  let turns = 0
  let extreme = series[0] ?? 0
  let direction = 0
  for (const value of series) {
    if (direction === 0 ? Math.abs(value - extreme) > TURN_SHARE : (extreme - value) * direction > TURN_SHARE) {
      if (direction !== 0) turns++
      direction = Math.sign(value - extreme)
      extreme = value
    } else if (direction !== 0 && (value - extreme) * direction > 0) extreme = value
  }
  return turns
}

function startNext (server: Server): void {
  if (server.running < SLOTS) server.queue.shift()?.()
}

function createCandidate (vm: Vm, endpoint: string, failureDomain: string, nowMs: number): DomainCandidate {
  return { endpoint, failureDomain, isPrimary: false, isDraining: false, distance: measureDomainDistance(vm.domain, failureDomain), slots: SLOTS, load: vm.inFlight.get(endpoint) ?? 0, averageResponseMs: vm.averages.get(endpoint) ?? null, hasIdleConnection: true, isAvoided: nowMs < (vm.avoidUntil.get(endpoint) ?? 0), isWarmingUp: false, isLagging: false }
}

/** Records what the reports say. @returns a function that reads the demand by nearest domain at the age of the reports */
function recordDemands (vms: readonly Vm[], servers: ReadonlyMap<string, Server>, pattern: LeavingPattern, events: EventQueue): () => ReadonlyMap<string, number> {
  const history: Array<ReadonlyMap<string, number>> = []
  const record = (): void => {
    const atS = events.nowMs / SECOND_MS
    const up = [...servers.values()].filter(s => s.readSlowness(atS) > 0).map(s => s.domain)
    const demands = new Map<string, number>(up.map(domain => [domain, 0]))
    for (const { domain, reads } of vms) {
      const nearest = Math.min(...up.map(d => measureDomainDistance(domain, d)))
      const homes = up.filter(d => measureDomainDistance(domain, d) === nearest)
      for (const h of homes) demands.set(h, (demands.get(h) ?? 0) + reads.measureReadsPerS(events.nowMs) / homes.length)
    }
    history.push(demands)
    if (events.nowMs < DURATION_MS) events.add(REPORT_INTERVAL_MS, record)
  }
  record()
  return () => (pattern.hasNoReports === true ? undefined : history[history.length - 1 - Math.ceil(pattern.reportAgeMs / REPORT_INTERVAL_MS)]) ?? new Map()
}

/** Runs callbacks in the order of their times. */
class EventQueue {
  nowMs = 0
  readonly #heap: Array<{ atMs: number, run: () => void }> = []

  add (inMs: number, run: () => void): void {
    const heap = this.#heap
    let i = heap.length
    const event = { atMs: this.nowMs + inMs, run }
    while (i > 0) {
      const parent = (i - 1) >> 1
      if (heap[parent]!.atMs <= event.atMs) break
      heap[i] = heap[parent]!
      i = parent
    }
    heap[i] = event
  }

  run (): void {
    for (let event = this.#removeFirst(); event !== undefined; event = this.#removeFirst()) {
      this.nowMs = event.atMs
      event.run()
    }
  }

  #removeFirst (): { atMs: number, run: () => void } | undefined {
    const heap = this.#heap
    const first = heap[0]
    const last = heap.pop()
    if (heap.length === 0 || last === undefined) return first
    let i = 0
    for (;;) {
      let child = 2 * i + 1
      if (child >= heap.length) break
      if (child + 1 < heap.length && heap[child + 1]!.atMs < heap[child]!.atMs) child++
      if (heap[child]!.atMs >= last.atMs) break
      heap[i] = heap[child]!
      i = child
    }
    heap[i] = last
    return first
  }
}
