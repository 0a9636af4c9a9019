import { createLogger, PEER_PROTOCOL_VERSION, PeerNetwork, type Hello } from '@camphorpitch/wire'
import { expect } from 'chai'
import { MemoryStore } from '../testing/memory-store.ts'
import { VirtualClock } from '../testing/virtual-clock.ts'
import { Fleet } from './fleet.ts'
import { createMemberState, listMissing, type MemberState } from './members.ts'
import type { VmEntry } from './message-schemas.ts'

const logger = createLogger({ process: 'test', level: 'silent' })
const self: VmEntry = { vm: 'vm-a', host: '10.0.0.1', port: 7_500, failureDomain: 'north', region: 'r', incarnation: 3 }
const STEP_MS = 5

class SilentNetwork extends PeerNetwork {
  readonly sentTo: Array<{ host: string, port: number, body: unknown }> = []
  #handle: (from: Hello, body: unknown) => void = () => {}
  override readonly self = { version: PEER_PROTOCOL_VERSION, vm: self.vm, incarnation: self.incarnation, failureDomain: self.failureDomain }
  override send (): void {}
  override sendTo (host: string, port: number, _slice: string, body: unknown): void { this.sentTo.push({ host, port, body }) }
  override subscribe (_slice: string, handle: (from: Hello, body: unknown) => void): void { this.#handle = handle }
  override subscribeLinkLoss (): void {}

  /** Delivers a message of another VM. */
  receive (vm: string, body: unknown, incarnation = self.incarnation): void {
    this.#handle({ ...this.self, vm, incarnation }, body)
  }
}

function startFleet (store: MemoryStore, network = new SilentNetwork(), state = createMemberState(self)): Fleet {
  const fleet = new Fleet({
    state,
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

  // Guards against a promotion that asks only the VMs with an entry, while one without runs beside the primary.
  it('is written again after another VM has deleted it', async () => {
    const store = new MemoryStore()
    const fleet = startFleet(store)
    await waitUntil(() => fleet.isRegistered)
    await new Promise(resolve => setTimeout(resolve, 4 * STEP_MS))
    store.remove('vms', 'vm-a')
    await waitUntil(() => store.state.objects.has('vms/vm-a'))
    expect(store.state.objects.get('vms/vm-a')?.value).to.deep.equal(self)
    await fleet.stop()
    expect(store.state.objects.has('vms/vm-a')).to.equal(false)
  })

  it('is not written again by a VM that stops', async () => {
    const store = new MemoryStore()
    const fleet = startFleet(store)
    await waitUntil(() => fleet.isRegistered)
    await fleet.stop()
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

describe('a VM whose entry was deleted by another VM', () => {
  const entry: VmEntry = { ...self, vm: 'vm-b', incarnation: 8 }

  async function startWithout (network: SilentNetwork): Promise<{ fleet: Fleet, state: MemberState }> {
    const store = new MemoryStore()
    store.replace('vms', 'vm-b', entry)
    const state = createMemberState(self)
    const fleet = startFleet(store, network, state)
    await waitUntil(() => state.members.has('vm-b'))
    await new Promise(resolve => setTimeout(resolve, 4 * STEP_MS))
    store.remove('vms', 'vm-b')
    await waitUntil(() => !state.members.has('vm-b'))
    return { fleet, state }
  }

  it('is asked whether it runs, by a poll that introduces the sender, until it answers', async () => {
    const network = new SilentNetwork()
    const { fleet, state } = await startWithout(network)
    expect(listMissing(state, 0)).to.deep.equal([entry])
    await waitUntil(() => network.sentTo.length > 0)
    expect(network.sentTo[0]).to.deep.include({ host: entry.host, port: entry.port })
    expect(network.sentTo[0]!.body).to.deep.include({ type: 'poll', vm: self })
    network.receive('vm-b', { type: 'poll', sequence: 1, vmsKnown: 1 }, 8)
    expect(state.members.get('vm-b')?.entry).to.deep.equal(entry)
    expect(listMissing(state, 0)).to.deep.equal([])
    await fleet.stop()
  })

  it('is not a member again by a message of an earlier start, or once it has announced that it leaves', async () => {
    const network = new SilentNetwork()
    const { fleet, state } = await startWithout(network)
    network.receive('vm-b', { type: 'poll', sequence: 1, vmsKnown: 1 }, 7)
    expect(state.members.has('vm-b')).to.equal(false)
    network.receive('vm-b', { type: 'left', incarnation: 8 }, 8)
    expect([state.members.has('vm-b'), listMissing(state, 0).length]).to.deep.equal([false, 0])
    await fleet.stop()
  })
})
