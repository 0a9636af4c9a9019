import { expect } from 'chai'
import type { Member } from '../membership/membership-view.ts'
import { handleMembers, planAssignment } from './assignment.ts'
import type { LimitEffect } from './effects.ts'
import { handleOwnersRead, tickOwnership } from './ownership.ts'
import { createOwnership, type OwnershipState } from './ownership-state.ts'

function createMember (vm: string): Member {
  return { vm, host: '127.0.0.1', peerPort: 1, failureDomain: 'north', region: 'r', incarnation: 1, state: 'live' } as unknown as Member
}

/** A VM that has just started, alone as far as it knows, while the platform lists `listed`. */
function createStartedVm (listed: string[]): OwnershipState {
  const state = createOwnership({ vm: 'vm-1', incarnation: 1 }, 0)
  handleOwnersRead(state, null, 0)
  handleMembers(state, [createMember('vm-1')], 0)
  expect(tickOwnership(state, 0).map(e => e.type)).to.include('list-vms')
  state.listed = new Set(listed)
  return state
}

const planEffectTypes = (state: OwnershipState, nowMs: number): Array<LimitEffect['type']> => planAssignment(state, nowMs).map(e => e.type)

/** The first write between two times; other VMs in line go first. */
function findFirstWrite (state: OwnershipState, fromMs: number, untilMs: number): LimitEffect | undefined {
  for (let nowMs = fromMs; nowMs < untilMs; nowMs += 100) {
    const written = planAssignment(state, nowMs).find(e => e.type === 'write-owners')
    if (written !== undefined) return written
  }
  return undefined
}

describe('first owners of limits', () => {
  it('wait for VMs that are listed and have not joined, so that none is the only witness', () => {
    const state = createStartedVm(['vm-1', 'vm-2', 'vm-3'])
    expect(planEffectTypes(state, 1_500)).to.not.include('write-owners')
    handleMembers(state, ['vm-1', 'vm-2', 'vm-3'].map(createMember), 1_600)
    expect(findFirstWrite(state, 1_600, 5_000)).to.have.nested.property('value.witnesses').with.members(['vm-1', 'vm-2', 'vm-3'])
  })

  it('do not wait for ever for a VM that never joins', () => {
    const state = createStartedVm(['vm-1', 'vm-2'])
    expect(planEffectTypes(state, 4_900)).to.not.include('write-owners')
    expect(planEffectTypes(state, 5_100)).to.include('write-owners')
  })

  it('do not wait where all that are listed have joined', () => {
    const state = createStartedVm(['vm-1', 'vm-2'])
    handleMembers(state, ['vm-1', 'vm-2'].map(createMember), 100)
    expect(findFirstWrite(state, 100, 2_900)).to.not.equal(undefined)
  })

  it('wait a while for others that the list does not name yet', () => {
    const state = createStartedVm(['vm-1'])
    expect(planEffectTypes(state, 1_500)).to.not.include('write-owners')
    expect(planEffectTypes(state, 3_100)).to.include('write-owners')
  })
})
