import { expect } from 'chai'
import { addMember, createMemberState } from '../fleet/members.ts'
import type { ClaimsReported, ClaimsWanted, VmEntry } from '../fleet/message-schemas.ts'
import { MemoryStore } from '../testing/memory-store.ts'
import { VirtualClock } from '../testing/virtual-clock.ts'
import { ClaimInquiries } from './claim-inquiries.ts'

const VMS = ['a', 'b', 'c']

interface FakeVm { store: MemoryStore, inquiries: ClaimInquiries, isClaimHeld: boolean, isSilent: boolean }

function createEntry (vm: string): VmEntry {
  return { vm, host: '10.0.0.1', port: 1, failureDomain: 'north', region: 'r', incarnation: 1 }
}

/** Creates VMs that know each other, whose stores told them epoch 1. */
function createFleet (): Map<string, FakeVm> {
  const fleet = new Map<string, FakeVm>()
  for (const name of VMS) {
    const members = createMemberState(createEntry(name))
    members.hasMemberList = true
    for (const other of VMS) addMember(members, createEntry(other))
    const store = new MemoryStore()
    store.epochs.accept(1)
    const send = (to: string, message: ClaimsWanted | ClaimsReported): void => {
      const receiver = fleet.get(to)!
      if (!receiver.isSilent) setImmediate(() => receiver.inquiries.handleMessage(name, message))
    }
    const inquiries = new ClaimInquiries({ store, clock: new VirtualClock(), members, isClaimHeld: () => fleet.get(name)!.isClaimHeld, send })
    fleet.set(name, { store, inquiries, isClaimHeld: false, isSilent: false })
  }
  return fleet
}

describe('inquiries about claims', () => {
  let fleet: Map<string, FakeVm>
  const ask = async (epoch: number): Promise<boolean> => await fleet.get('a')!.inquiries.confirmNoClaims('orders', epoch)
  beforeEach(() => { fleet = createFleet() })

  it('are confirmed once every VM has denied, and tell the epoch to those that do not know it', async () => {
    expect(await ask(2)).to.equal(true)
    expect(fleet.get('b')!.store.epochs.current).to.equal(2)
  })

  it('are not confirmed if a VM holds a claim, knows a later epoch or does not answer', async () => {
    fleet.get('c')!.isClaimHeld = true
    expect(await ask(1)).to.equal(false)
    fleet.get('c')!.isClaimHeld = false
    fleet.get('c')!.store.epochs.accept(2)
    expect(await ask(1)).to.equal(false)
    expect(await ask(2)).to.equal(true)
    fleet.get('c')!.isSilent = true
    expect(await ask(2)).to.equal(false)
  })
})
