import { expect } from 'chai'
import fc from 'fast-check'
import { computeStatementConnections, CONTROL_CONNECTIONS_PER_VM, selectServingVms, SERVING_VM_COUNT, type Candidate } from './placement.ts'

const SEED = 4_711

function makeCandidates (count: number, failureDomains: number, regions: number): Candidate[] {
  return Array.from({ length: count }, (_, i) => {
    const domain = i % failureDomains
    return { vm: `vm-${i}`, failureDomain: `domain-${domain}`, region: `region-${domain % regions}` }
  })
}

function countMoved (before: readonly Candidate[], after: readonly Candidate[], databases: number): number {
  let moved = 0
  for (let i = 0; i < databases; i++) {
    const old = selectServingVms(`db-${i}`, before)
    moved += selectServingVms(`db-${i}`, after).filter(vm => !old.includes(vm)).length
  }
  return moved / (databases * SERVING_VM_COUNT)
}

describe('selectServingVms', () => {
  it('selects the same VMs whatever the order of the members', () => {
    const members = makeCandidates(40, 9, 3)
    const shuffled = fc.shuffledSubarray(members, { minLength: members.length })
    fc.assert(fc.property(shuffled, fc.string(), (other, database) => {
      expect(selectServingVms(database, other)).to.deep.equal(selectServingVms(database, members))
    }), { seed: SEED, numRuns: 200 })
  })

  it('selects VMs of as many different regions and failure domains as the candidates allow', () => {
    const members = fc.uniqueArray(fc.record({
      vm: fc.integer({ max: 500 }).map(i => `vm-${i}`),
      failureDomain: fc.integer({ min: 0, max: 8 }).map(i => `domain-${i}`)
    }).map(m => ({ ...m, region: `region-${Number(m.failureDomain.at(-1)) % 3}` })), { selector: m => m.vm, maxLength: 30 })
    fc.assert(fc.property(members, fc.string(), (candidates, database) => {
      const selected = selectServingVms(database, candidates).map(vm => candidates.find(c => c.vm === vm)!)
      const countDistinct = (list: readonly Candidate[], key: 'vm' | 'failureDomain' | 'region') => new Set(list.map(c => c[key])).size
      for (const key of ['vm', 'failureDomain', 'region'] as const) {
        expect(countDistinct(selected, key)).to.equal(Math.min(SERVING_VM_COUNT, countDistinct(candidates, key)))
      }
    }), { seed: SEED, numRuns: 1_000 })
  })

  it('prefers VMs in the regions of the endpoints', () => {
    const members = makeCandidates(30, 9, 3)
    for (let i = 0; i < 100; i++) {
      const selected = selectServingVms(`db-${i}`, members, { regions: ['region-1'] })
      const regions = selected.map(vm => members.find(m => m.vm === vm)!.region)
      expect(regions).to.deep.equal(['region-1', 'region-1', 'region-1'])
    }
  })

  it('moves between half and twice the average share of one VM when a VM joins or leaves', () => {
    const members = makeCandidates(90, 9, 3)
    const fewer = members.filter(m => m.vm !== 'vm-17')
    const share = 1 / members.length
    expect(countMoved(members, fewer, 1_500)).to.be.within(share / 2, share * 2)
    expect(countMoved(fewer, members, 1_500)).to.be.within(share / 2, share * 2)
  })

  it('assigns databases to every VM, and to none twice the average or more', () => {
    const members = makeCandidates(90, 9, 3)
    const loads = new Map<string, number>()
    for (let i = 0; i < 3_000; i++) {
      for (const vm of selectServingVms(`db-${i}`, members)) loads.set(vm, (loads.get(vm) ?? 0) + 1)
    }
    expect(loads.size).to.equal(90)
    expect(Math.max(...loads.values())).to.be.below(2 * 3_000 * SERVING_VM_COUNT / 90)
  })
})

describe('computeStatementConnections', () => {
  it('leaves room for control connections and for one VM more than those that serve', () => {
    for (let max = 12; max <= 200; max++) {
      const perVm = computeStatementConnections(max) + CONTROL_CONNECTIONS_PER_VM
      expect(perVm * (SERVING_VM_COUNT + 1)).to.be.at.most(max)
    }
    expect(computeStatementConnections(20)).to.equal(3)
    expect(computeStatementConnections(45)).to.equal(9)
    expect(computeStatementConnections(3)).to.equal(1)
  })
})
