import { createSeededRandom } from '@camphorpitch/wire'
import { expect } from 'chai'
import type { Workspace } from '../configuration/configuration.ts'
import { estimateDemand, createDemandShares, createFleetDemand, recordVmDemand, updateLocalDemand } from './demand-shares.ts'
import { createDemandWindow, recordDemand, sumDemand } from './demand-window.ts'
import { admitOperation, applyNearLimitBeforeStart, computeQuotaShare, createQuotaState, updateQuotas, type FleetDemand } from './quota.ts'

const tolerance = { windowMs: 5_000, overshoot: 0.1, slack: 20 }
const ROUND_MS = 500

interface FakeVm {
  window: ReturnType<typeof createDemandWindow>
  shares: ReturnType<typeof createDemandShares>
  state: ReturnType<typeof createQuotaState>
}

function createVm (isFirstStart: boolean, nowMs = 0): FakeVm {
  return { window: createDemandWindow(tolerance.windowMs), shares: createDemandShares(), state: createQuotaState(tolerance, isFirstStart, nowMs) }
}

interface Load {
  vms: number
  workspace: Workspace
  /** Operations requested per second at the given time. */
  readRatePerSecond: (nowMs: number) => number
  /** Fraction of them that each VM receives at the given time. */
  parts: (nowMs: number) => number[]
  isPartitioned?: (vm: number, nowMs: number) => boolean
  restartAtMs?: number
  /** Whether restarted VMs read the record of the workspaces near their limit and of the demand. */
  restoresRecord?: boolean
  /** Whether every VM gets the same share of the limit instead of one that follows its demand. */
  hasEqualShares?: boolean
  durationMs: number
}

/** Simulates a load on a fleet whose VMs exchange their demand every half second. */
function simulateLoad (load: Load, seed: number): { admitted: number[], requested: number } {
  const random = createSeededRandom(seed)
  let vms = Array.from({ length: load.vms }, () => createVm(true))
  const admitted: number[] = []
  let requested = 0
  let isRestarted = false
  for (let nowMs = 0; nowMs < load.durationMs; nowMs += 5) {
    if (load.restartAtMs !== undefined && nowMs >= load.restartAtMs && !isRestarted) {
      isRestarted = true
      const pressed = vms[0]!.state.pressed
      const before = vms.map(vm => vm.shares.local)
      vms = vms.map(() => createVm(false, nowMs))
      if (load.restoresRecord === true) {
        vms.forEach((vm, i) => {
          applyNearLimitBeforeStart(vm.state, pressed)
          vm.shares.beforeStart = before[i]!
        })
      }
    }
    if (nowMs % ROUND_MS === 0) exchangeDemand(vms, load, nowMs)
    load.parts(nowMs).forEach((fraction, i) => {
      const vm = vms[i]!
      if (random() >= load.readRatePerSecond(nowMs) * fraction * 0.005) return
      requested++
      recordDemand(vm.window, load.workspace.name, nowMs)
      if (admitOperation(vm.state, load.workspace.name, nowMs).isAdmitted) admitted.push(nowMs)
    })
  }
  return { admitted, requested }
}

function exchangeDemand (vms: FakeVm[], load: Load, nowMs: number): void {
  const { workspace, isPartitioned = () => false } = load
  const partitioned = vms.map((_vm, i) => isPartitioned(i, nowMs))
  vms.forEach((vm, i) => {
    vms.forEach((other, j) => {
      if (i !== j && !partitioned[i] && !partitioned[j]) recordVmDemand(vm.shares, String(j), other.shares.local, nowMs)
    })
  })
  vms.forEach((vm, i) => {
    const hasAllReports = !partitioned.some(Boolean)
    const missingFraction = vm.state.isFirstStart ? 0 : 1 - (nowMs - vm.state.startedAtMs) / tolerance.windowMs
    updateLocalDemand(vm.shares, estimateDemand(vm.shares, sumDemand(vm.window, nowMs), missingFraction), hasAllReports || missingFraction > 0)
    const fleet = createFleetDemand(vm.shares, vms.length, hasAllReports)
    const equalShares = { ...fleet, hasAllReports: false, readShare: () => 1 / vms.length }
    updateQuotas(vm.state, [workspace], load.hasEqualShares === true ? equalShares : fleet, nowMs)
  })
}

const singleVmDemand: FleetDemand = { vms: 1, hasAllReports: true, isCountedByFewVms: false, readShare: () => 1, readTotal: () => Infinity }

function countBusiestWindow (admitted: readonly number[]): number {
  let most = 0
  for (let start = 0, end = 0; end < admitted.length; end++) {
    while (admitted[end]! - admitted[start]! > tolerance.windowMs) start++
    most = Math.max(most, end - start + 1)
  }
  return most
}

const workspace: Workspace = { name: 'lab', keys: [], ratePerSecond: 48, burst: 48 }
const largeWorkspace: Workspace = { name: 'hall', keys: [], ratePerSecond: 86, burst: 430 }
const smallWorkspace: Workspace = { name: 'shop', keys: [], ratePerSecond: 10, burst: 10 }

function computeMaxPerWindow ({ ratePerSecond = 0, burst = 0 }: Workspace): number {
  return (ratePerSecond * tolerance.windowMs / 1_000 + burst) * (1 + tolerance.overshoot) + tolerance.slack
}
const unevenFractions = [0.3, 0.2, 0.15, 0.1, 0.1, 0.05, 0.05, 0.05]

describe('quota of a fleet', () => {
  it('has shares that add up to 1', () => {
    const demands = [5, 20, 0, 75]
    const sum = demands.reduce((total, o) => total + computeQuotaShare({ local: o, total: 100, vms: 4 }), 0)
    expect(sum).to.be.closeTo(1, 1e-9)
  })

  const loads: Record<string, Omit<Load, 'workspace' | 'vms' | 'durationMs'>> = {
    'the demand rises to 7.5 times its usual': { readRatePerSecond: nowMs => nowMs > 6_000 && nowMs < 14_000 ? 225 : 30, parts: () => unevenFractions },
    'the demand rises while two VMs are cut off from the rest': { readRatePerSecond: nowMs => nowMs > 6_000 ? 225 : 30, parts: () => unevenFractions, isPartitioned: (vm, nowMs) => vm < 2 && nowMs > 5_000 && nowMs < 15_000 },
    'the clients move from some VMs to others under high demand': { readRatePerSecond: () => 225, parts: nowMs => nowMs < 8_000 ? unevenFractions : [...unevenFractions].reverse() },
    'every VM is killed and restarts': { readRatePerSecond: () => 225, parts: () => unevenFractions, restartAtMs: 9_000 },
    'every VM is killed just after the demand rose, and reads the record': { readRatePerSecond: nowMs => nowMs > 8_600 ? 225 : 30, parts: () => unevenFractions, restartAtMs: 9_000, restoresRecord: true },
    'every VM is killed under high demand, and reads the record': { readRatePerSecond: nowMs => nowMs > 5_000 ? 225 : 30, parts: () => unevenFractions, restartAtMs: 9_000, restoresRecord: true }
  }
  for (const [title, load] of Object.entries(loads)) {
    it(`holds in every window when ${title}, with 20 seeds`, () => {
      for (let seed = 1; seed <= 20; seed++) {
        for (const limited of [workspace, smallWorkspace, largeWorkspace]) {
          const readRatePerSecond = (nowMs: number): number => load.readRatePerSecond(nowMs) * limited.ratePerSecond! / workspace.ratePerSecond!
          const { admitted } = simulateLoad({ ...load, readRatePerSecond, vms: 8, workspace: limited, durationMs: 20_000 }, seed)
          expect(countBusiestWindow(admitted), `${limited.name}, seed ${seed}`).to.be.at.most(computeMaxPerWindow(limited))
        }
      }
    })
  }

  it('admits nearly all operations of a workspace that stays within its rate', () => {
    const { admitted, requested } = simulateLoad({ vms: 8, workspace, readRatePerSecond: () => 30, parts: () => unevenFractions, durationMs: 30_000 }, 4)
    expect(admitted.length / requested).to.be.greaterThan(0.99)
  })

  it('refuses a small workspace within its rate far less often than equal shares would', () => {
    const measureRefusedFraction = (hasEqualShares: boolean): number => {
      const { admitted, requested } = simulateLoad({ vms: 8, workspace: smallWorkspace, readRatePerSecond: () => 10 / 1.6, parts: () => unevenFractions, durationMs: 200_000, hasEqualShares }, 4)
      return 1 - admitted.length / requested
    }
    expect(measureRefusedFraction(false)).to.be.lessThan(measureRefusedFraction(true) / 5)
  })

  it('refuses fewer operations after every VM was killed if the demand before is known', () => {
    const measureRefusedFraction = (restoresRecord: boolean): number => {
      const { admitted, requested } = simulateLoad({ vms: 8, workspace, readRatePerSecond: nowMs => nowMs < 9_000 ? 0 : 40, parts: () => unevenFractions, restartAtMs: 9_000, restoresRecord, durationMs: 13_000 }, 4)
      return 1 - admitted.length / requested
    }
    expect(measureRefusedFraction(true)).to.be.lessThan(measureRefusedFraction(false))
  })

  it('estimates the demand of a restarted VM from that of the others', () => {
    const shares = createDemandShares()
    for (const vm of ['a', 'b', 'c']) recordVmDemand(shares, vm, new Map([['lab', 60]]), 0)
    expect(estimateDemand(shares, new Map(), 1).get('lab')).to.equal(60)
    expect(estimateDemand(shares, new Map([['lab', 30]]), 0.5).get('lab')).to.equal(60)
    expect(estimateDemand(shares, new Map([['lab', 55]]), 0).get('lab')).to.equal(55)
  })

  it('admits nothing with a rate of 0, and everything without a rate', () => {
    const state = createQuotaState(tolerance, true)
    updateQuotas(state, [{ name: 'none', keys: [], ratePerSecond: 0, burst: 0 }, { name: 'free', keys: [] }], singleVmDemand, 0)
    expect(admitOperation(state, 'none', 10_000).isAdmitted).to.equal(false)
    for (let i = 0; i < 1_000; i++) expect(admitOperation(state, 'free', 0).isAdmitted).to.equal(true)
  })

  it('tells a refused client when to retry', () => {
    const state = createQuotaState({ ...tolerance, overshoot: 0, slack: 0 }, true)
    updateQuotas(state, [{ name: 'lab', keys: [], ratePerSecond: 10, burst: 1 }], singleVmDemand, 0)
    expect(admitOperation(state, 'lab', 0).isAdmitted).to.equal(true)
    expect(admitOperation(state, 'lab', 0)).to.deep.equal({ isAdmitted: false, retryAfterMs: 100 })
    expect(admitOperation(state, 'lab', 100).isAdmitted).to.equal(true)
  })
})
