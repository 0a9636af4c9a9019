import { expect } from 'chai'
import { addMember, computeRank, createMemberState, isHeard, listHeard, listPolled, listPossible, recordLeft, recordReport, UNHEARD_AFTER_MS, type MemberState } from './members.ts'
import type { VmEntry } from './messages.ts'

function createEntry (vm: string, incarnation = 1): VmEntry {
  return { vm, host: '10.0.0.1', port: 7_500, failureDomain: 'north', region: 'r', incarnation }
}

function createFleet (size: number, self = 0): MemberState {
  const state = createMemberState(createEntry(`vm-${self}`))
  for (let i = 0; i < size; i++) addMember(state, createEntry(`vm-${i}`), 0)
  return state
}

describe('members of the fleet', () => {
  it('are other VMs, the latest start of each', () => {
    const state = createFleet(3)
    expect([...state.members.keys()]).to.deep.equal(['vm-1', 'vm-2'])
    expect(addMember(state, createEntry('vm-1', 1), 5)).to.equal(false)
    expect(addMember(state, createEntry('vm-1', 2), 5)).to.equal(true)
    expect(addMember(state, createEntry('vm-1', 1), 6)).to.equal(false)
  })

  it('count as heard by the time of the poll that they answered', () => {
    const state = createFleet(2)
    recordReport(state, 'vm-1', 1_000)
    expect(isHeard(state.members.get('vm-1')!, 1_000 + UNHEARD_AFTER_MS - 1)).to.equal(true)
    expect(listHeard(state, 1_000 + UNHEARD_AFTER_MS)).to.deep.equal([])
    expect(listPossible(state, 1_000 + UNHEARD_AFTER_MS)).to.have.length(1)
  })

  it('are gone once they say so, until they start again', () => {
    const state = createFleet(2)
    recordLeft(state, 'vm-1', 1)
    expect(state.members.size).to.equal(0)
    expect(addMember(state, createEntry('vm-1', 1), 5)).to.equal(false)
    expect(addMember(state, createEntry('vm-1', 2), 6)).to.equal(true)
    recordLeft(state, 'vm-1', 1)
    expect(state.members.size).to.equal(1)
  })

  it('are all polled in a small fleet, and in turn in a large one', () => {
    expect(listPolled(createFleet(8), 3)).to.have.length(7)
    const large = createFleet(76)
    const polled = new Set<string>()
    for (let round = 0; round < 10; round++) for (const m of listPolled(large, round)) polled.add(m.entry.vm)
    expect(polled.size).to.equal(75)
    expect(listPolled(large, 0)).to.have.length(8)
  })

  it('agree on an order in which to act', () => {
    const ranks = Array.from({ length: 5 }, (_, self) => {
      const state = createFleet(5, self)
      for (const vm of state.members.keys()) recordReport(state, vm, 100)
      return computeRank(state, 'orders', 200)
    })
    expect([...ranks].sort()).to.deep.equal([0, 1, 2, 3, 4])
  })
})
