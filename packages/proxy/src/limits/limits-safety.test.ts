import type { Decide, Rate } from '@camphorpitch/wire'
import { expect } from 'chai'
import fc from 'fast-check'
import { decideLimits, type LimitInput, type LimitState } from './decide-limits.ts'
import type { LimitEffect } from './effects.ts'
import { SimulatedFleet, type AdmissionRecord, type ServiceMode, type SimulatedVm } from './simulated-fleet.ts'

type LimitDecide = Decide<LimitState, LimitInput, LimitEffect>

/** The environment variables set the number and the seed of the runs; a failed property prints its seed. */
const RUNS = Number(process.env.LIMITS_RUNS ?? 1_000)
const SEED = Number(process.env.LIMITS_SEED ?? 20_261)
const VM_COUNT = 5
const FIRST_FAULT_MS = 2_000
const LAST_FAULT_MS = 4_000
const END_MS = 16_000
/** Clocks run fast or slow by up to this fraction, so the bound may be exceeded by this fraction of the rate. */
const CLOCK_DRIFT_FRACTION = 0.004
const rates: Record<string, Rate> = {
  large: { statementsPerSecond: 20, burst: 24 },
  small: { statementsPerSecond: 2, burst: 1 }
}
const faultKinds = [
  'pause', 'restart', 'kill', 'cut', 'cut-from-service', 'cut-from-all', 'suspect', 'stop', 'join', 'pause-many',
  'service-down', 'service-slow', 'answers-lost', 'loss', 'duplicates', 'reordering'
] as const

interface Fault {
  kind: typeof faultKinds[number]
  atMs: number
  durationMs: number
  vm: number
}

const faultArbitrary: fc.Arbitrary<Fault> = fc.record({
  kind: fc.constantFrom(...faultKinds),
  atMs: fc.integer({ min: FIRST_FAULT_MS, max: LAST_FAULT_MS }),
  durationMs: fc.integer({ min: 200, max: 12_000 }),
  vm: fc.integer({ min: 0, max: VM_COUNT - 1 })
})
const scenarioArbitrary = fc.record({ seed: fc.integer(), faults: fc.array(faultArbitrary, { minLength: 1, maxLength: 3 }) })
type Scenario = typeof scenarioArbitrary extends fc.Arbitrary<infer T> ? T : never

function setNetworkCut (fleet: SimulatedFleet, vm: SimulatedVm, isCut: boolean): void {
  fleet.groups.set(vm.vm, isCut ? 1 : 0)
  fleet.publishMembers()
}

function setServiceCut (fleet: SimulatedFleet, vm: SimulatedVm, isCut: boolean): void {
  if (isCut) fleet.disconnectedFromService.add(vm.vm)
  else fleet.disconnectedFromService.delete(vm.vm)
}

function setSuspected (fleet: SimulatedFleet, vm: SimulatedVm, isSuspected: boolean): void {
  if (isSuspected) fleet.suspected.add(vm.vm)
  else fleet.suspected.delete(vm.vm)
  fleet.publishMembers()
}

type FaultKind = typeof faultKinds[number]
const doNothing = (): void => {}

/** Each function starts a fault and returns a function that ends it. */
const faultActions: Record<FaultKind, (fleet: SimulatedFleet, vm: SimulatedVm, fault: Fault) => () => void> = {
  pause: (fleet, vm, { durationMs }) => {
    fleet.pauseVm(vm, durationMs)
    return doNothing
  },
  'pause-many': (fleet, vm, { durationMs, vm: index }) => {
    for (const v of fleet.vms.slice(index)) fleet.pauseVm(v, durationMs)
    return doNothing
  },
  restart: (fleet, vm) => {
    fleet.killVm(vm)
    return () => fleet.startVm(vm)
  },
  kill: (fleet, vm) => {
    fleet.killVm(vm)
    return doNothing
  },
  join: (fleet, vm, { vm: index, atMs }) => {
    fleet.addVm(`new-${index}-${atMs}`)
    return doNothing
  },
  stop: (fleet, vm) => {
    fleet.deliver(vm, { type: 'stop' })
    return () => fleet.killVm(vm)
  },
  cut: (fleet, vm) => {
    setNetworkCut(fleet, vm, true)
    return () => setNetworkCut(fleet, vm, false)
  },
  'cut-from-service': (fleet, vm) => {
    setServiceCut(fleet, vm, true)
    return () => setServiceCut(fleet, vm, false)
  },
  'cut-from-all': (fleet, vm) => {
    setNetworkCut(fleet, vm, true)
    setServiceCut(fleet, vm, true)
    return () => {
      setNetworkCut(fleet, vm, false)
      setServiceCut(fleet, vm, false)
    }
  },
  suspect: (fleet, vm) => {
    setSuspected(fleet, vm, true)
    return () => setSuspected(fleet, vm, false)
  },
  loss: fleet => {
    fleet.links.loss = 0.3
    return () => { fleet.links.loss = 0 }
  },
  duplicates: fleet => {
    fleet.links.duplication = 0.5
    return () => { fleet.links.duplication = 0 }
  },
  reordering: fleet => {
    fleet.links.extraDelayMs = 6_000
    return () => { fleet.links.extraDelayMs = 0 }
  },
  'service-down': fleet => setService(fleet, 'down'),
  'service-slow': fleet => setService(fleet, 'slow'),
  'answers-lost': fleet => setService(fleet, 'answers-lost')
}

function setService (fleet: SimulatedFleet, mode: ServiceMode): () => void {
  fleet.service = mode
  return () => { fleet.service = 'up' }
}

/** Requests far more than the rate, from random VMs and partly in batches, so that each token is taken as soon as it can be. */
function startClients (fleet: SimulatedFleet, workspace: string, meanGapMs: number): void {
  const sendBatch = (): void => {
    const vm = fleet.vms[Math.floor(fleet.random() * fleet.vms.length)]!
    const batchSize = fleet.random() < 0.1 ? 8 : 1
    for (let i = 0; i < batchSize; i++) fleet.admit(vm, workspace)
    fleet.queue.schedule(fleet.queue.nowMs - Math.log(1 - fleet.random()) * meanGapMs, sendBatch)
  }
  sendBatch()
}

function runScenario ({ seed, faults }: Scenario, decide: LimitDecide): SimulatedFleet {
  const fleet = new SimulatedFleet({ seed, vmCount: VM_COUNT, rates, decide, clockDrift: CLOCK_DRIFT_FRACTION })
  startClients(fleet, 'large', 40)
  startClients(fleet, 'small', 250)
  for (const fault of faults) {
    fleet.queue.schedule(fault.atMs, () => {
      const end = faultActions[fault.kind](fleet, fleet.vms[fault.vm]!, fault)
      fleet.queue.schedule(fault.atMs + fault.durationMs, end)
    })
  }
  fleet.queue.runUntil(END_MS)
  return fleet
}

/** Returns the largest excess over rate and burst, in requests, of all windows that begin and end with an admission. */
function findLargestExcess (records: readonly AdmissionRecord[], workspace: string, rate = rates[workspace]!): number {
  const { statementsPerSecond, burst } = rate
  const times = records.filter(r => r.workspace === workspace && r.admission.admitted).map(r => r.atMs)
  let largest = -Infinity
  for (let i = 0; i < times.length; i++) {
    for (let j = i; j < times.length; j++) {
      const allowed = statementsPerSecond / 1000 * (1 + CLOCK_DRIFT_FRACTION) * (times[j]! - times[i]!) + burst
      largest = Math.max(largest, j - i + 1 - allowed)
    }
  }
  return largest
}

function checkBound (scenario: Scenario, decide: LimitDecide): void {
  const fleet = runScenario(scenario, decide)
  for (const workspace of Object.keys(rates)) {
    expect(findLargestExcess(fleet.records, workspace), workspace).to.be.at.most(1e-6)
  }
}

function checkProperty (decide: LimitDecide): fc.RunDetails<[Scenario]> {
  return fc.check(fc.property(scenarioArbitrary, scenario => checkBound(scenario, decide)), { seed: SEED, numRuns: RUNS, endOnFailure: true })
}

/** Each VM counts an equal fraction of the rate by itself, with a bucket that is full at each start. */
const decideEqualSplit: LimitDecide = (state, input, nowMs) => {
  if (input.type !== 'admit') return { state, effects: [] }
  const rate = rates[input.workspace]!
  const stateWithBuckets = state as unknown as { buckets?: Map<string, { level: number, atMs: number }> }
  stateWithBuckets.buckets ??= new Map()
  const bucket = stateWithBuckets.buckets.get(input.workspace) ?? { level: rate.burst / VM_COUNT, atMs: nowMs }
  const refilled = bucket.level + (nowMs - bucket.atMs) * rate.statementsPerSecond / 1000 / VM_COUNT
  const level = Math.min(Math.max(1, rate.burst / VM_COUNT), refilled)
  const admitted = level >= 1
  stateWithBuckets.buckets.set(input.workspace, { level: admitted ? level - 1 : level, atMs: nowMs })
  const admission = admitted ? { admitted } as const : { admitted, retryAfterMs: 1, reason: 'rate' } as const
  return { state, effects: [{ type: 'resolve', requestId: input.requestId, admission }] }
}

/** Granted tokens may be spent without a time limit. */
const decideWithoutExpiry: LimitDecide = (state, input, nowMs) => {
  const step = decideLimits(state, input, nowMs)
  for (const s of step.state.spender.workspaces.values()) for (const g of s.grants) g.expiresAtMs = Infinity
  return step
}

/** A new owner counts at once, although the previous owner may still count. */
const decideWithoutTakeoverWait: LimitDecide = (state, input, nowMs) => {
  const step = decideLimits(state, input, nowMs)
  for (const localShare of step.state.ownership.localShares.values()) localShare.readyAtMs = Math.min(localShare.readyAtMs, nowMs)
  return step
}

/** An owner continues to count without the confirmation of its witnesses. */
const decideWithoutLease: LimitDecide = (state, input, nowMs) => {
  const step = decideLimits(state, input, nowMs)
  step.state.ownership.leaseUntilMs = Infinity
  return step
}

const CHANGE_RUNS = 300
/** Time within which a change of the configuration reaches every VM. */
const PROPAGATION_MS = 6_000
const rateArbitrary: fc.Arbitrary<Rate> = fc.record({
  statementsPerSecond: fc.constantFrom(1, 5, 20, 40),
  burst: fc.constantFrom(1, 7, 10, 23, 24, 40)
})
const changeArbitrary = fc.record({
  seed: fc.integer(),
  changes: fc.array(fc.record({ atMs: fc.integer({ min: 2_500, max: 12_000 }), rate: rateArbitrary }), { minLength: 1, maxLength: 2 })
})
type Change = { atMs: number, rate: Rate }

/** Delivers the changes to each VM at different times, always in order. */
function scheduleChanges (fleet: SimulatedFleet, changes: readonly Change[]): void {
  const ordered = [...changes].sort((a, b) => a.atMs - b.atMs)
  for (const vm of fleet.vms) {
    let atMs = 0
    for (const { atMs: changedAtMs, rate } of ordered) {
      atMs = Math.max(atMs, changedAtMs + fleet.random() * PROPAGATION_MS)
      fleet.queue.schedule(atMs, () => fleet.deliver(vm, { type: 'rate', workspace: 'large', rate }))
    }
  }
}

/** Returns the largest excess over the largest rate and the largest burst of the run, which bound the admissions while contracts change. */
function findChangeExcess (seed: number, changes: readonly Change[]): number {
  const fleet = new SimulatedFleet({ seed, vmCount: VM_COUNT, rates })
  startClients(fleet, 'large', 30)
  scheduleChanges(fleet, changes)
  fleet.queue.runUntil(25_000)
  const all = [rates.large!, ...changes.map(c => c.rate)]
  const rate: Rate = { statementsPerSecond: Math.max(...all.map(r => r.statementsPerSecond)), burst: Math.max(...all.map(r => r.burst)) }
  return findLargestExcess(fleet.records, 'large', rate)
}

describe('limits under faults', () => {
  it('never admit more than the largest rate and burst while contracts change', () => {
    const property = fc.property(changeArbitrary, ({ seed, changes }) => {
      expect(findChangeExcess(seed, changes)).to.be.at.most(1e-6)
    })
    fc.assert(property, { seed: SEED, numRuns: CHANGE_RUNS })
  })

  it('never admit more than rate and burst over the whole fleet in any time window', () => {
    fc.assert(fc.property(scenarioArbitrary, scenario => checkBound(scenario, decideLimits)), { seed: SEED, numRuns: RUNS })
  })

  const unsafeVariants: Array<[string, LimitDecide]> = [
    ['an equal split that refills at a restart', decideEqualSplit],
    ['grants without expiry', decideWithoutExpiry],
    ['takeover without a wait', decideWithoutTakeoverWait],
    ['owners without a lease', decideWithoutLease]
  ]
  for (const [name, decide] of unsafeVariants) {
    it(`are found to exceed the bound with ${name}`, () => {
      expect(checkProperty(decide).failed).to.equal(true)
    })
  }
})
