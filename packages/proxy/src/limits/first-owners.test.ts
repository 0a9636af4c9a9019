import { expect } from 'chai'
import type { Member } from '../membership/membership-view.ts'
import { handleMembers, planAssignment } from './assignment.ts'
import type { LimitEffect } from './effects.ts'
import { handleOwnersRead, tickOwnership } from './ownership.ts'
import { createOwnership, type OwnershipState } from './ownership-state.ts'

function createMember (vm: string): Member {
  return { vm, host: '127.0.0.1', peerPort: 1, failureDomain: 'north', region: 'r', incarnation: 1, state: 'live' } as unknown as Member
}

/** State of a VM that has just started and knows no other VM, while the platform's list names `listed`. */
function createStartedVm (listed: string[]): OwnershipState {
  const state = createOwnership({ vm: 'vm-1', incarnation: 1 }, 0)
  handleOwnersRead(state, null, 0)
  handleMembers(state, [createMember('vm-1')], 0)
  expect(tickOwnership(state, 0).map(e => e.type)).to.include('list-vms')
  state.listed = new Set(listed)
  return state
}

const planEffectTypes = (state: OwnershipState, nowMs: number): Array<LimitEffect['type']> => planAssignment(state, nowMs).map(e => e.type)

/** Finds the first write between two times; this VM's turn may come only after those of other VMs. */
function findFirstWrite (state: OwnershipState, fromMs: number, untilMs: number): LimitEffect | undefined {
  for (let nowMs = fromMs; nowMs < untilMs; nowMs += 100) {
    const written = planAssignment(state, nowMs).find(e => e.type === 'write-owners')
    if (written !== undefined) return written
  }
  return undefined
}

describe('first assignment of limit shares', () => {
  it('waits for listed VMs that have not joined, so that no VM becomes the only witness', () => {
    const state = createStartedVm(['vm-1', 'vm-2', 'vm-3'])
    expect(planEffectTypes(state, 1_500)).to.not.include('write-owners')
    handleMembers(state, ['vm-1', 'vm-2', 'vm-3'].map(createMember), 1_600)
    expect(findFirstWrite(state, 1_600, 5_000)).to.have.nested.property('value.witnesses').with.members(['vm-1', 'vm-2', 'vm-3'])
  })

  it('waits only for a limited time for a listed VM that never joins', () => {
    const state = createStartedVm(['vm-1', 'vm-2'])
    expect(planEffectTypes(state, 4_900)).to.not.include('write-owners')
    expect(planEffectTypes(state, 5_100)).to.include('write-owners')
  })

  it('does not wait when all listed VMs have joined', () => {
    const state = createStartedVm(['vm-1', 'vm-2'])
    handleMembers(state, ['vm-1', 'vm-2'].map(createMember), 100)
    expect(findFirstWrite(state, 100, 2_900)).to.not.equal(undefined)
  })

  it('waits a shorter time on a lone VM for VMs that the list does not name yet', () => {
    const state = createStartedVm(['vm-1'])
    expect(planEffectTypes(state, 1_500)).to.not.include('write-owners')
    expect(planEffectTypes(state, 3_100)).to.include('write-owners')
  })
})
