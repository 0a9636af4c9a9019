import { createLogger, PEER_PROTOCOL_VERSION, PeerNetwork } from '@camphorpitch/wire'
import { expect } from 'chai'
import { MemoryStore } from '../testing/memory-store.ts'
import { VirtualClock } from '../testing/virtual-clock.ts'
import { Fleet } from './fleet.ts'
import { createMemberState } from './members.ts'
import type { VmEntry } from './message-schemas.ts'

const logger = createLogger({ process: 'test', level: 'silent' })
const self: VmEntry = { vm: 'vm-a', host: '10.0.0.1', port: 7_500, failureDomain: 'north', region: 'r', incarnation: 3 }
const STEP_MS = 5

class SilentNetwork extends PeerNetwork {
  override readonly self = { version: PEER_PROTOCOL_VERSION, vm: self.vm, incarnation: self.incarnation, failureDomain: self.failureDomain }
  override send (): void {}
  override sendTo (): void {}
  override subscribe (): void {}
  override subscribeLinkLoss (): void {}
}

function startFleet (store: MemoryStore): Fleet {
  const fleet = new Fleet({
    state: createMemberState(self),
    network: new SilentNetwork(),
    store,
    clock: new VirtualClock(),
    logger,
    createReport: (_vm, poll) => ({ type: 'report', sequence: poll.sequence, groups: [], demand: [], configurationVersion: 0 }),
    createPoll: sequence => ({ type: 'poll', sequence, vmsKnown: 1 }),
    applyReport: () => {},
    handleMessage: () => {},
    handleRound: () => {},
    removeVm: () => {}
  })
  fleet.start()
  return fleet
}

async function waitUntil (isDone: () => boolean): Promise<void> {
  while (!isDone()) await new Promise(resolve => setTimeout(resolve, STEP_MS))
}

describe('registration of a VM', () => {
  it('is written again when the store returns from a copy that lacks it, and can be removed then', async () => {
    const store = new MemoryStore()
    const copy = store.createCopy()
    const fleet = startFleet(store)
    await waitUntil(() => fleet.isRegistered)
    store.restore(copy)
    await waitUntil(() => store.state.objects.has('vms/vm-a'))
    expect(store.state.objects.get('vms/vm-a')?.value).to.deep.equal(self)
    await new Promise(resolve => setTimeout(resolve, 4 * STEP_MS))
    await fleet.stop()
    expect(store.state.objects.has('vms/vm-a')).to.equal(false)
  })

  it('replaces the entry of an earlier start that the copy has', async () => {
    const store = new MemoryStore()
    store.replace('vms', 'vm-a', { ...self, incarnation: 2 })
    const copy = store.createCopy()
    const fleet = startFleet(store)
    await waitUntil(() => fleet.isRegistered)
    store.restore(copy)
    await waitUntil(() => (store.state.objects.get('vms/vm-a')?.value as VmEntry).incarnation === 3)
    await fleet.stop()
  })

  it('is not written again if the copy has it', async () => {
    const store = new MemoryStore()
    const fleet = startFleet(store)
    await waitUntil(() => fleet.isRegistered)
    const { revision } = store
    store.restore(store.createCopy())
    await store.list('vms')
    await new Promise(resolve => setTimeout(resolve, 4 * STEP_MS))
    expect(store.revision).to.equal(revision)
    await fleet.stop()
    expect(store.state.objects.has('vms/vm-a')).to.equal(false)
  })
})
