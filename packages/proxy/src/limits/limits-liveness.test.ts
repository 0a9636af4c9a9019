import type { Rate } from '@camphorpitch/wire'
import { expect } from 'chai'
import { findCountingStartMs } from './ownership.ts'
import { SimulatedFleet, type SimulatedVm } from './simulated-fleet.ts'
import { computeLoadResult, startMovingLoad } from './simulated-load.ts'

const VM_COUNT = 9
/** 64 partitions with 3 shares each. */
const SHARE_TOTAL = 192
const WARM_UP_MS = 5_000
const MAX_WRONGFUL_FRACTION = 0.001
const rates: Record<string, Rate> = {
  large: { statementsPerSecond: 100, burst: 100 },
  small: { statementsPerSecond: 5, burst: 10 }
}

function startFleet (seed: number): SimulatedFleet {
  const fleet = new SimulatedFleet({ seed, vmCount: VM_COUNT, rates })
  fleet.queue.runUntil(WARM_UP_MS)
  return fleet
}

function startLoads (fleet: SimulatedFleet, load: number, endMs: number): void {
  for (const [workspace, { statementsPerSecond }] of Object.entries(rates)) {
    startMovingLoad(fleet, { workspace, requestsPerSecond: statementsPerSecond * load, endMs })
  }
}

function countCountedShares (fleet: SimulatedFleet): number {
  const count = (vm: SimulatedVm): number => {
    if (vm.state === null) return 0
    const { ownership } = vm.state
    const nowMs = fleet.readClock(vm)
    return [...ownership.localShares.keys()].filter(name => findCountingStartMs(ownership, name, nowMs) !== undefined).length
  }
  return fleet.vms.reduce((sum, vm) => sum + count(vm), 0)
}

function checkWrongfulRefusals (fleet: SimulatedFleet, workspace: string, fromMs: number): void {
  const { wrongfulRefusals: wrongful, withinRate: within } = computeLoadResult(fleet.records, workspace, rates[workspace]!, fromMs)
  expect(within).to.be.above(0)
  expect(wrongful / within, workspace).to.be.below(MAX_WRONGFUL_FRACTION)
}

describe('owners of limit shares', () => {
  it('count every share 5 s after the first start', () => {
    expect(countCountedShares(startFleet(1))).to.equal(SHARE_TOTAL)
  })

  it('serve requests within the rate during an outage of the object service and count every share after a restart in it', () => {
    const fleet = startFleet(2)
    fleet.service = 'down'
    startLoads(fleet, 0.6, 60_000)
    fleet.queue.runUntil(40_000)
    checkWrongfulRefusals(fleet, 'large', WARM_UP_MS)
    checkWrongfulRefusals(fleet, 'small', WARM_UP_MS)
    fleet.startVm(fleet.vms[3]!)
    fleet.queue.runUntil(60_000)
    expect(countCountedShares(fleet)).to.equal(SHARE_TOTAL)
  })

  it('are replaced after a crash while requests are served from the other shares', () => {
    const fleet = startFleet(3)
    startLoads(fleet, 0.5, 40_000)
    fleet.queue.schedule(8_000, () => fleet.killVm(fleet.vms[2]!))
    fleet.queue.runUntil(40_000)
    expect(countCountedShares(fleet)).to.equal(SHARE_TOTAL)
    checkWrongfulRefusals(fleet, 'large', WARM_UP_MS)
  })

  it('hand their shares over at a planned stop with fewer than 0.1 % wrongful refusals', () => {
    const fleet = startFleet(4)
    startLoads(fleet, 0.5, 30_000)
    const leaving = fleet.vms[5]!
    fleet.queue.schedule(8_000, () => fleet.deliver(leaving, { type: 'stop' }))
    fleet.queue.runUntil(10_000)
    expect(leaving.state!.ownership.localShares.size).to.equal(0)
    expect(countCountedShares(fleet)).to.equal(SHARE_TOTAL)
    fleet.queue.runUntil(30_000)
    checkWrongfulRefusals(fleet, 'large', WARM_UP_MS)
  })

  it('hand shares over to a VM that joins', () => {
    const fleet = startFleet(5)
    fleet.addVm('vm-joined')
    fleet.queue.runUntil(60_000)
    expect(fleet.vms.at(-1)!.state!.ownership.localShares.size).to.be.above(0)
    expect(countCountedShares(fleet)).to.equal(SHARE_TOTAL)
  })

  it('are assigned again when every VM is replaced at once', () => {
    const fleet = startFleet(6)
    for (const vm of [...fleet.vms]) fleet.killVm(vm)
    fleet.vms.length = 0
    for (let i = 0; i < VM_COUNT; i++) fleet.addVm(`replacement-${i}`)
    fleet.queue.runUntil(30_000)
    expect(countCountedShares(fleet)).to.equal(SHARE_TOTAL)
  })
})
