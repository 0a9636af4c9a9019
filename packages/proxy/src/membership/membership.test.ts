import { expect } from 'chai'
import type { DecideMembership } from './simulated-fleet.ts'
import { FIRST_INCARNATION, SimulatedFleet } from './simulated-fleet.ts'
import { computeMinSuspicionMs, REQUIRED_CONFIRMATIONS } from './probes.ts'
import { decideMembership } from './decision.ts'

const JOIN_DURATION_MS = 8_000

function startFleet (seed: number, size: number, options: { lossFraction?: number, decide?: DecideMembership } = {}): SimulatedFleet {
  const fleet = new SimulatedFleet({ size, seed, ...options })
  fleet.run(JOIN_DURATION_MS)
  return fleet
}

/** Runs the fleet until `isDone`, for at most `limitMs` of simulated time. Returns the time that passed, in milliseconds. */
function runUntil (fleet: SimulatedFleet, limitMs: number, isDone: () => boolean): number {
  const startMs = fleet.nowMs
  while (!isDone() && fleet.nowMs - startMs < limitMs) fleet.run(1_000)
  return fleet.nowMs - startMs
}

function parseVmIndex (vm: string): number {
  return Number(vm.slice('vm-'.length))
}

/** A decision without confirmation: a VM declares a member dead as soon as it suspects the member itself. */
const decideNaively: DecideMembership = (state, input, nowMs) => {
  const step = decideMembership(state, input, nowMs)
  for (const vm of state.suspected) {
    const record = state.members.get(vm)!
    if (!record.accusers.includes(state.self.vm)) continue
    record.isDead = true
    state.suspected.delete(vm)
    state.dead.add(vm)
    state.ring = null
    step.effects.push({ type: 'changed', member: { ...record, state: 'dead' }, reason: 'naive' })
  }
  return step
}

describe('membership under faults', () => {
  it('confirms no running VM dead at 30% message loss, in 400 runs', () => {
    for (let seed = 1; seed <= 400; seed++) {
      const fleet = startFleet(seed, 3 + seed % 7, { lossFraction: 0.3 })
      fleet.run(20_000)
      expect(fleet.deaths, `seed ${seed}`).to.deep.equal([])
    }
  })

  it('would declare running VMs dead at 30% message loss without confirmation by other VMs', () => {
    let deaths = 0
    for (let seed = 1; seed <= 20; seed++) {
      const fleet = startFleet(seed, 3 + seed % 7, { lossFraction: 0.3, decide: decideNaively })
      fleet.run(30_000)
      deaths += fleet.deaths.length
    }
    expect(deaths).to.be.above(0)
  })

  it('removes a stopped VM from every view within 40 s and no running VM, in 300 runs with up to 20% message loss', () => {
    for (let seed = 1; seed <= 300; seed++) {
      const size = 3 + seed % 7
      const fleet = startFleet(seed, size, { lossFraction: (seed % 3) * 0.1 })
      fleet.stopVm('vm-0')
      const boundMs = 2 * 20_000
      const elapsedMs = runUntil(fleet, boundMs, () => fleet.listObserversOf('vm-0').length === 0)
      expect(fleet.listObserversOf('vm-0'), `seed ${seed}, after ${elapsedMs} ms`).to.deep.equal([])
      expect(fleet.deaths.filter(d => d.isRunning), `seed ${seed}`).to.deep.equal([])
    }
  })

  it('converges after a mix of message loss, pauses, restarts and partitions, in 400 runs', () => {
    for (let seed = 1; seed <= 400; seed++) {
      const size = 3 + seed % 7
      const fleet = startFleet(seed, size)
      injectFaults(fleet, size)
      fleet.lossFraction = 0
      fleet.cut(null)
      const elapsedMs = runUntil(fleet, 90_000, () => fleet.hasConverged())
      expect(fleet.hasConverged(), `seed ${seed}, after ${elapsedMs} ms`).to.equal(true)
      expect(fleet.incarnationRegressions, `seed ${seed}`).to.deep.equal([])
    }
  })
})

/** Injects twelve seeded faults one after the other, and then starts the VMs that are stopped. */
function injectFaults (fleet: SimulatedFleet, size: number): void {
  for (let i = 0; i < 12; i++) {
    const vm = `vm-${Math.floor(fleet.pickRandom() * size)}`
    const sideCount = 2 + Math.floor(fleet.pickRandom() * 2)
    const faults = [
      () => fleet.pauseVm(vm, 500 + fleet.pickRandom() * 15_000),
      () => { fleet.stopVm(vm) },
      () => { fleet.startVm(vm) },
      () => { fleet.lossFraction = fleet.pickRandom() * 0.5 },
      () => { fleet.cut(other => parseVmIndex(other) % sideCount) },
      () => { fleet.cut(null) }
    ]
    faults[Math.floor(fleet.pickRandom() * faults.length)]!()
    fleet.run(fleet.pickRandom() * 6_000)
  }
  for (let i = 0; i < size; i++) {
    if (!fleet.listRunning().includes(`vm-${i}`)) fleet.startVm(`vm-${i}`)
  }
}

describe('membership', () => {
  it('does not let a VM suspect others after its own process was paused, and converges', () => {
    const fleet = startFleet(3, 9)
    fleet.pauseVm('vm-4', 60_000)
    fleet.run(60_000)
    const before = fleet.suspicions.length
    fleet.run(10_000)
    expect(fleet.suspicions.slice(before).filter(s => s.observer === 'vm-4' && s.vm !== 'vm-4')).to.deep.equal([])
    runUntil(fleet, 30_000, () => fleet.hasConverged())
    expect(fleet.hasConverged()).to.equal(true)
  })

  it('shows the process incarnation of a member that raised its incarnation to refute a suspicion', () => {
    const fleet = startFleet(8, 5)
    fleet.pauseVm('vm-1', 30_000)
    fleet.run(60_000)
    expect(fleet.hasConverged()).to.equal(true)
    expect(fleet.readIncarnation('vm-0', 'vm-1')).to.be.above(FIRST_INCARNATION)
    expect(fleet.readView('vm-0').get('vm-1')!.incarnation).to.equal(FIRST_INCARNATION)
  })

  it('shows a VM as leaving in every view after 3 s, whether the VM announces it or the platform lists it', () => {
    for (let seed = 1; seed <= 50; seed++) {
      const fleet = startFleet(seed, 9, { lossFraction: 0.1 })
      if (seed % 2 === 0) fleet.leave('vm-2')
      else fleet.listAsLeaving('vm-2')
      fleet.run(3_000)
      const states = fleet.listRunning().map(vm => fleet.readView(vm).get('vm-2')?.state)
      expect(new Set(states), `seed ${seed}`).to.deep.equal(new Set(['leaving']))
    }
  })

  it('confirms no further VM dead when a partitioned group reconnects', () => {
    const fleet = startFleet(5, 12)
    fleet.cut(vm => Number(parseVmIndex(vm) < REQUIRED_CONFIRMATIONS))
    fleet.run(60_000)
    expect(fleet.readView('vm-0').size).to.equal(REQUIRED_CONFIRMATIONS)
    const before = fleet.deaths.length
    fleet.cut(null)
    runUntil(fleet, 60_000, () => fleet.hasConverged())
    expect(fleet.hasConverged()).to.equal(true)
    expect(fleet.deaths.slice(before)).to.deep.equal([])
  })

  it('lets both sides of a partition into three and six VMs confirm the other side dead before suspicions expire', () => {
    const fleet = startFleet(9, 9)
    fleet.cut(vm => Number(parseVmIndex(vm) % 3 === 0))
    runUntil(fleet, 20_000, () => fleet.readView('vm-0').size === 3 && fleet.readView('vm-1').size === 6)
    expect(fleet.readView('vm-0').size).to.equal(3)
    expect(fleet.readView('vm-1').size).to.equal(6)
  })

  it('lets a restarted VM refute the records of its earlier process, whose clock was ahead', () => {
    const fleet = startFleet(6, 5)
    fleet.stopVm('vm-1')
    fleet.run(30_000)
    fleet.startVm('vm-1', FIRST_INCARNATION - 1_000)
    fleet.run(20_000)
    expect(fleet.readIncarnation('vm-0', 'vm-1')).to.be.above(FIRST_INCARNATION)
    expect(fleet.readView('vm-0').get('vm-1')!.incarnation).to.equal(FIRST_INCARNATION - 1_000)
    expect(fleet.hasConverged()).to.equal(true)
  })

  it('stays converged after the platform no longer lists a dead VM, and computes the minimum suspicion of a small fleet', () => {
    const fleet = startFleet(7, 5)
    fleet.stopVm('vm-1')
    fleet.removeFromList('vm-1')
    fleet.run(900_000)
    expect(fleet.hasConverged()).to.equal(true)
    expect(computeMinSuspicionMs(5)).to.equal(1_500)
  })
})
