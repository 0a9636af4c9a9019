import { expect } from 'chai'
import fc from 'fast-check'
import { runSimulatedGroup, type FaultKind, type SimulatedFault, type SimulationOptions, type SimulationResult, type DecisionVariant } from './simulated-group.ts'
import { TOLERATED_PAUSE_MS } from './timings.ts'

/** Other seeds and more runs can be set in the environment; a failure prints its seed. */
const SEED = Number(process.env.FAILOVER_SEED ?? 20_240_917)
const RUNS = Number(process.env.FAILOVER_RUNS ?? 1_000)
const RECOVERY_MS = 5_000

const faultKinds: FaultKind[] = ['killInstance', 'freezeInstance', 'killVm', 'pauseVm', 'cutVmLink', 'cutPeerLink', 'isolateInstance', 'loss', 'slowLink']
const faultArbitrary: fc.Arbitrary<SimulatedFault> = fc.record({
  kind: fc.constantFrom(...faultKinds),
  atMs: fc.integer({ min: 200, max: 1_200 }),
  durationMs: fc.integer({ min: 50, max: 2_000 }),
  instanceIndex: fc.nat(4),
  peerOrVmIndex: fc.nat(4)
})
const scheduleArbitrary: fc.Arbitrary<SimulationOptions> = fc.record({
  seed: fc.integer(),
  instances: fc.constantFrom(3, 3, 3, 5),
  vms: fc.constantFrom(1, 2, 3),
  faults: fc.array(faultArbitrary, { minLength: 1, maxLength: 6 })
})

function hasViolation (variant: DecisionVariant): boolean {
  const property = fc.property(scheduleArbitrary, options => runSimulatedGroup({ ...options, variant, faultFreeMs: 1_000 }).violations.length === 0)
  return fc.check(property, { seed: SEED, numRuns: RUNS, endOnFailure: true }).failed
}

describe('failover decision', () => {
  it(`a group loses no acknowledged write and recovers in each of ${RUNS} random fault schedules`, () => {
    let promotionCount = 0
    let acknowledgedCount = 0
    fc.assert(fc.property(scheduleArbitrary, options => {
      const result = runSimulatedGroup(options)
      promotionCount += result.promotionCount
      acknowledgedCount += result.acknowledged
      expect(result.violations).to.deep.equal([])
      expect(result.recoveredAfterMs, 'recovery').to.be.a('number').lessThan(RECOVERY_MS)
    }), { seed: SEED, numRuns: RUNS, endOnFailure: true })
    expect(promotionCount).to.be.greaterThan(RUNS / 4)
    expect(acknowledgedCount).to.be.greaterThan(RUNS)
  })

  for (const variant of ['ackWithoutWaiting', 'promoteWithoutQuorum', 'anyCandidate'] as const) {
    it(`the checks find a violation in the faulty variant ${variant}`, () => {
      expect(hasViolation(variant)).to.equal(true)
    })
  }

  it('no VM promotes when the primary, a VM or a link is paused or slow for no longer than the tolerated time', () => {
    const kind = fc.constantFrom<FaultKind>('freezeInstance', 'pauseVm', 'isolateInstance', 'slowLink')
    fc.assert(fc.property(fc.integer(), kind, fc.integer({ min: 50, max: TOLERATED_PAUSE_MS }), fc.integer({ min: 500, max: 900 }), (seed, kind, durationMs, atMs) => {
      const result: SimulationResult = runSimulatedGroup({ seed, instances: 3, vms: 3, faults: [{ kind, atMs, durationMs, instanceIndex: 0, peerOrVmIndex: 1 }], hasLateMessages: false, faultFreeMs: 1_500 })
      expect(result.promotionCount).to.equal(0)
    }), { seed: SEED, numRuns: RUNS, endOnFailure: true, examples: [[-883504201, 'isolateInstance', 553, 895], [706442560, 'isolateInstance', 542, 877]] })
  })
})
