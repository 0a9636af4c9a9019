import { createLogger, type Hello, MonotonicClock, type PeerHandler, PeerNetwork, type Vm } from '@camphorpitch/wire'
import { expect } from 'chai'
import { start, stop } from 'nact'
import { startMembership, type RunningMembership } from './membership-actor.ts'
import { listPlaceableMembers } from './membership-view.ts'

/** Delivers messages between VMs of one process. */
class LocalPeers extends PeerNetwork {
  static readonly byPort = new Map<number, LocalPeers>()
  readonly self: Hello
  readonly #handlers = new Map<string, PeerHandler>()
  readonly #port: number

  constructor (vm: string, port: number) {
    super()
    this.self = { version: 1, vm, incarnation: 1, failureDomain: 'domain-a' }
    this.#port = port
    LocalPeers.byPort.set(port, this)
  }

  override send (vm: string, slice: string, body: unknown): void {
    const target = [...LocalPeers.byPort.values()].find(p => p.self.vm === vm)
    target?.deliver(this.self, slice, body)
  }

  override sendTo (_host: string, port: number, slice: string, body: unknown): void {
    LocalPeers.byPort.get(port)?.deliver(this.self, slice, body)
  }

  override subscribe (slice: string, handler: PeerHandler): void {
    this.#handlers.set(slice, handler)
  }

  override subscribeLinkLoss (): void {}

  deliver (from: Hello, slice: string, body: unknown): void {
    this.#handlers.get(slice)?.(from, structuredClone(body))
  }

  close (): void {
    LocalPeers.byPort.delete(this.#port)
  }
}

async function waitUntil (isDone: () => boolean): Promise<void> {
  while (!isDone()) await new Promise(resolve => setTimeout(resolve, 20))
}

describe('startMembership', () => {
  it('finds the other VMs through the platform\'s list, announces that it leaves, and removes a dead VM', async () => {
    const logger = createLogger({ process: 'test', level: 'silent' })
    const vms: Vm[] = [1, 2, 3, 4].map(i => ({ vm: `vm-${i}`, host: '127.0.0.1', peerPort: i, failureDomain: 'domain-a', region: 'default', state: 'live' }))
    const systems = vms.map(() => start())
    const networks = vms.map(v => new LocalPeers(v.vm, v.peerPort))
    const members: RunningMembership[] = vms.map((v, i) => startMembership({
      system: systems[i]!,
      clock: new MonotonicClock(),
      logger,
      peers: networks[i]!,
      objectClient: { listVms: async () => ({ vms }) },
      self: { ...v, incarnation: 1 },
      seed: i
    }))
    const [first, second, third, fourth] = members as [RunningMembership, RunningMembership, RunningMembership, RunningMembership]
    try {
      await waitUntil(() => members.every(m => m.listMembers().length === 4))
      await first.leave()
      await waitUntil(() => [second, third].every(m => listPlaceableMembers(m.listMembers()).length === 3))
      expect(second.findMember('vm-1')?.state).to.equal('leaving')
      fourth.stop()
      networks[3]!.close()
      await waitUntil(() => [second, third].every(m => m.findMember('vm-4') === undefined))
    } finally {
      for (const m of members) m.stop()
      for (const n of networks) n.close()
      for (const s of systems) stop(s)
    }
  })
})
