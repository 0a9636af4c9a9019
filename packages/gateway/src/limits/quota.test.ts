import { createSeededRandom } from '@camphorpitch/wire'
import { expect } from 'chai'
import type { Workspace } from '../configuration/configuration.ts'
import { estimateDemand, createDemandShares, createFleetDemand, recordVmDemand, updateOwnDemand } from './demand-shares.ts'
import { createDemandWindow, recordDemand, sumDemand } from './demand-window.ts'
import { admitOperation, applyPressedBefore, computeQuotaShare, createQuotaState, updateQuotas, type FleetDemand } from './quota.ts'

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
  /** Operations a second that are asked for, at a time. */
  rateAt: (nowMs: number) => number
  /** Part of them that each VM gets. */
  parts: (nowMs: number) => number[]
  isCut?: (vm: number, nowMs: number) => boolean
  restartsAtMs?: number
  /** Whether restarted VMs learn what was recorded before. */
  remembers?: boolean
  /** Whether every VM gets the same part of the limit, as a naive fleet would share it. */
  isEven?: boolean
  lengthMs: number
}

/** Plays a load on a fleet that exchanges its demand every half second. */
function playLoad (load: Load, seed: number): { admitted: number[], asked: number } {
  const random = createSeededRandom(seed)
  let vms = Array.from({ length: load.vms }, () => createVm(true))
  const admitted: number[] = []
  let asked = 0
  let isRestarted = false
  for (let nowMs = 0; nowMs < load.lengthMs; nowMs += 5) {
    if (load.restartsAtMs !== undefined && nowMs >= load.restartsAtMs && !isRestarted) {
      isRestarted = true
      const pressed = vms[0]!.state.pressed
      const before = vms.map(vm => vm.shares.own)
      vms = vms.map(() => createVm(false, nowMs))
      if (load.remembers === true) {
        vms.forEach((vm, i) => {
          applyPressedBefore(vm.state, pressed)
          vm.shares.before = before[i]!
        })
      }
    }
    if (nowMs % ROUND_MS === 0) exchangeDemand(vms, load, nowMs)
    load.parts(nowMs).forEach((part, i) => {
      const vm = vms[i]!
      if (random() >= load.rateAt(nowMs) * part * 0.005) return
      asked++
      recordDemand(vm.window, load.workspace.name, nowMs)
      if (admitOperation(vm.state, load.workspace.name, nowMs).isAdmitted) admitted.push(nowMs)
    })
  }
  return { admitted, asked }
}

function exchangeDemand (vms: FakeVm[], load: Load, nowMs: number): void {
  const { workspace, isCut = () => false } = load
  const cut = vms.map((_vm, i) => isCut(i, nowMs))
  vms.forEach((vm, i) => {
    vms.forEach((other, j) => {
      if (i !== j && !cut[i] && !cut[j]) recordVmDemand(vm.shares, String(j), other.shares.own, nowMs)
    })
  })
  vms.forEach((vm, i) => {
    const isComplete = !cut.some(Boolean)
    const missing = vm.state.isFirstStart ? 0 : 1 - (nowMs - vm.state.startedAtMs) / tolerance.windowMs
    updateOwnDemand(vm.shares, estimateDemand(vm.shares, sumDemand(vm.window, nowMs), missing), isComplete || missing > 0)
    const fleet = createFleetDemand(vm.shares, vms.length, isComplete)
    const naive = { ...fleet, isComplete: false, readShare: () => 1 / vms.length }
    updateQuotas(vm.state, [workspace], load.isEven === true ? naive : fleet, nowMs)
  })
}

const alone: FleetDemand = { vms: 1, isComplete: true, isCountedByFew: false, readShare: () => 1, readTotal: () => Infinity }

function findBusiestWindow (admitted: readonly number[]): number {
  let most = 0
  for (let start = 0, end = 0; end < admitted.length; end++) {
    while (admitted[end]! - admitted[start]! > tolerance.windowMs) start++
    most = Math.max(most, end - start + 1)
  }
  return most
}

const workspace: Workspace = { name: 'lab', keys: [], ratePerSecond: 48, burst: 48 }
const large: Workspace = { name: 'hall', keys: [], ratePerSecond: 86, burst: 430 }
const small: Workspace = { name: 'shop', keys: [], ratePerSecond: 10, burst: 10 }

function countAllowed ({ ratePerSecond = 0, burst = 0 }: Workspace): number {
  return (ratePerSecond * tolerance.windowMs / 1_000 + burst) * (1 + tolerance.overshoot) + tolerance.slack
}
const uneven = [0.3, 0.2, 0.15, 0.1, 0.1, 0.05, 0.05, 0.05]

describe('quota over a fleet', () => {
  it('shares add up to the whole', () => {
    const own = [5, 20, 0, 75]
    const sum = own.reduce((total, o) => total + computeQuotaShare({ own: o, total: 100, vms: 4 }), 0)
    expect(sum).to.be.closeTo(1, 1e-9)
  })

  const loads: Record<string, Omit<Load, 'workspace' | 'vms' | 'lengthMs'>> = {
    'one workspace asks for 7.5 times its usual': { rateAt: nowMs => nowMs > 6_000 && nowMs < 14_000 ? 225 : 30, parts: () => uneven },
    'it does so while two VMs are cut off from the rest': { rateAt: nowMs => nowMs > 6_000 ? 225 : 30, parts: () => uneven, isCut: (vm, nowMs) => vm < 2 && nowMs > 5_000 && nowMs < 15_000 },
    'its clients move from some VMs to others meanwhile': { rateAt: () => 225, parts: nowMs => nowMs < 8_000 ? uneven : [...uneven].reverse() },
    'every VM is killed and starts again': { rateAt: () => 225, parts: () => uneven, restartsAtMs: 9_000 },
    'every VM is killed a moment after it began to press': { rateAt: nowMs => nowMs > 8_600 ? 225 : 30, parts: () => uneven, restartsAtMs: 9_000, remembers: true },
    'every VM is killed while it presses, and remembers': { rateAt: nowMs => nowMs > 5_000 ? 225 : 30, parts: () => uneven, restartsAtMs: 9_000, remembers: true }
  }
  for (const [title, load] of Object.entries(loads)) {
    it(`holds in every window when ${title}, in 20 seeds`, () => {
      for (let seed = 1; seed <= 20; seed++) {
        for (const limited of [workspace, small, large]) {
          const rateAt = (nowMs: number): number => load.rateAt(nowMs) * limited.ratePerSecond! / workspace.ratePerSecond!
          const { admitted } = playLoad({ ...load, rateAt, vms: 8, workspace: limited, lengthMs: 20_000 }, seed)
          expect(findBusiestWindow(admitted), `${limited.name}, seed ${seed}`).to.be.at.most(countAllowed(limited))
        }
      }
    })
  }

  it('refuses nearly nothing of a workspace that stays within its rate', () => {
    const { admitted, asked } = playLoad({ vms: 8, workspace, rateAt: () => 30, parts: () => uneven, lengthMs: 30_000 }, 4)
    expect(admitted.length / asked).to.be.greaterThan(0.99)
  })

  it('refuses a small workspace within its rate far less often than equal parts do', () => {
    const measureLoss = (isEven: boolean): number => {
      const { admitted, asked } = playLoad({ vms: 8, workspace: small, rateAt: () => 10 / 1.6, parts: () => uneven, lengthMs: 200_000, isEven }, 4)
      return 1 - admitted.length / asked
    }
    expect(measureLoss(false)).to.be.lessThan(measureLoss(true) / 5)
  })

  it('refuses little after every VM was killed, where the demand before is known', () => {
    const measureLoss = (remembers: boolean): number => {
      const { admitted, asked } = playLoad({ vms: 8, workspace, rateAt: nowMs => nowMs < 9_000 ? 0 : 40, parts: () => uneven, restartsAtMs: 9_000, remembers, lengthMs: 13_000 }, 4)
      return 1 - admitted.length / asked
    }
    expect(measureLoss(true)).to.be.lessThan(measureLoss(false))
  })

  it('gives a VM that starts again among others the part that its clients need', () => {
    const shares = createDemandShares()
    for (const vm of ['a', 'b', 'c']) recordVmDemand(shares, vm, new Map([['lab', 60]]), 0)
    expect(estimateDemand(shares, new Map(), 1).get('lab')).to.equal(60)
    expect(estimateDemand(shares, new Map([['lab', 30]]), 0.5).get('lab')).to.equal(60)
    expect(estimateDemand(shares, new Map([['lab', 55]]), 0).get('lab')).to.equal(55)
  })

  it('admits nothing at a rate of 0, and everything without a rate', () => {
    const state = createQuotaState(tolerance, true)
    updateQuotas(state, [{ name: 'none', keys: [], ratePerSecond: 0, burst: 0 }, { name: 'free', keys: [] }], alone, 0)
    expect(admitOperation(state, 'none', 10_000).isAdmitted).to.equal(false)
    for (let i = 0; i < 1_000; i++) expect(admitOperation(state, 'free', 0).isAdmitted).to.equal(true)
  })

  it('says when to come back', () => {
    const state = createQuotaState({ ...tolerance, overshoot: 0, slack: 0 }, true)
    updateQuotas(state, [{ name: 'lab', keys: [], ratePerSecond: 10, burst: 1 }], alone, 0)
    expect(admitOperation(state, 'lab', 0).isAdmitted).to.equal(true)
    expect(admitOperation(state, 'lab', 0)).to.deep.equal({ isAdmitted: false, retryAfterMs: 100 })
    expect(admitOperation(state, 'lab', 100).isAdmitted).to.equal(true)
  })
})
