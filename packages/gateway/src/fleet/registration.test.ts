import { createLogger, PEER_PROTOCOL_VERSION, PeerNetwork, type Hello } from '@camphorpitch/wire'
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
  #handle: (from: Hello, body: unknown) => void = () => {}
  override readonly self = { version: PEER_PROTOCOL_VERSION, vm: self.vm, incarnation: self.incarnation, failureDomain: self.failureDomain }
  override send (): void {}
  override sendTo (): void {}
  override subscribe (_slice: string, handle: (from: Hello, body: unknown) => void): void { this.#handle = handle }
  override subscribeLinkLoss (): void {}

  /** Delivers a message of another VM. */
  receive (vm: string, body: unknown): void {
    this.#handle({ ...this.self, vm }, body)
  }
}

function startFleet (store: MemoryStore, network = new SilentNetwork()): Fleet {
  const fleet = new Fleet({
    state: createMemberState(self),
    network,
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

  it('is removed by a stop right after the VM learned of a return', async () => {
    const store = new MemoryStore()
    const fleet = startFleet(store)
    await waitUntil(() => fleet.isRegistered)
    store.restore(store.createCopy())
    store.epochs.accept(1)
    await fleet.stop()
    expect(store.state.objects.has('vms/vm-a')).to.equal(false)
  })

  it('does not stay if it is being written again when the VM stops', async () => {
    const store = new MemoryStore()
    const copy = store.createCopy()
    const fleet = startFleet(store)
    await waitUntil(() => fleet.isRegistered)
    store.restore(copy)
    store.holdsAnswers = true
    store.epochs.accept(1)
    const stopped = fleet.stop()
    await new Promise(resolve => setTimeout(resolve, STEP_MS))
    store.releaseAnswers()
    await stopped
    await new Promise(resolve => setTimeout(resolve, 4 * STEP_MS))
    expect(store.state.objects.has('vms/vm-a')).to.equal(false)
  })

  it('of a VM that has left is deleted again when the store returns from a copy that has it', async () => {
    const store = new MemoryStore()
    store.replace('vms', 'vm-b', { ...self, vm: 'vm-b', incarnation: 8 })
    store.replace('vms', 'vm-c', { ...self, vm: 'vm-c', incarnation: 9 })
    const network = new SilentNetwork()
    const fleet = startFleet(store, network)
    await waitUntil(() => fleet.isRegistered)
    const copy = store.createCopy()
    network.receive('vm-b', { type: 'left', incarnation: 8 })
    network.receive('vm-c', { type: 'left', incarnation: 5 })
    store.remove('vms', 'vm-b')
    store.restore(copy)
    await store.list('vms')
    await waitUntil(() => !store.state.objects.has('vms/vm-b'))
    expect(store.state.objects.has('vms/vm-c')).to.equal(true)
    await fleet.stop()
  })
})
