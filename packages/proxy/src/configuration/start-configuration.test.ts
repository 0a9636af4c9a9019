import { createLogger, type Hello, MonotonicClock, ObjectClient, PEER_PROTOCOL_VERSION, type PeerHandler, PeerNetwork } from '@camphorpitch/wire'
import { startPlatform, type RunningPlatform } from '@camphorpitch/standins'
import { expect } from 'chai'
import { start, stop, type ActorSystemRef } from 'nact'
import { Registry } from 'prom-client'
import { MembershipView, type Member } from '../membership/membership-view.ts'
import type { Configuration } from './configuration.ts'
import { addConfigurationMetrics } from './configuration-metrics.ts'
import { startConfiguration } from './start-configuration.ts'

const names = ['vm-1', 'vm-2', 'vm-3']
const rate = { statementsPerSecond: 10, burst: 10 }

/** Delivers messages between VMs that run in this process. */
class FakePeers extends PeerNetwork {
  readonly self: Hello
  readonly #handlers: Map<string, PeerHandler>

  constructor (vm: string, handlers: Map<string, PeerHandler>) {
    super()
    this.self = { version: PEER_PROTOCOL_VERSION, vm, incarnation: 1, failureDomain: vm }
    this.#handlers = handlers
  }

  send (vm: string, _slice: string, body: unknown): void {
    setImmediate(() => this.#handlers.get(vm)?.(this.self, structuredClone(body)))
  }

  sendTo (): void {}
  subscribe (_slice: string, handler: PeerHandler): void { this.#handlers.set(this.self.vm, handler) }
  subscribeLinkLoss (): void {}
}

class FakeMembership extends MembershipView {
  listMembers (): readonly Member[] {
    return names.map(vm => ({ vm, host: '127.0.0.1', peerPort: 1, failureDomain: vm, region: 'r', incarnation: 1, state: 'live' }))
  }

  findMember (): undefined {}
  subscribe (): void {}
}

async function waitUntil (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 10))
}

describe('startConfiguration with an object service', () => {
  let platform: RunningPlatform
  let client: ObjectClient
  let systems: ActorSystemRef[]
  let handlers: Map<string, PeerHandler>
  let running: Configuration[]

  function startVm (vm: string): Configuration {
    const system = start()
    systems.push(system)
    const logger = createLogger({ process: vm, level: 'silent' })
    const configuration = startConfiguration({ system, clock: new MonotonicClock(), logger, objectClient: client, peers: new FakePeers(vm, handlers), membership: new FakeMembership() })
    running.push(configuration)
    return configuration
  }

  beforeEach(async () => {
    platform = await startPlatform()
    client = new ObjectClient({ url: platform.url })
    systems = []
    handlers = new Map()
    running = []
  })

  afterEach(async () => {
    for (const c of running) c.stop()
    for (const s of systems) stop(s)
    await platform.close()
  })

  it('follows changes and deletions, and keeps the last valid version of an object that becomes invalid', async () => {
    await client.writeObject('contract', 'ash', 0, { workspace: 'ash', rate, databases: {} })
    const configuration = startVm('vm-1')
    await configuration.waitUntilReady()
    expect(configuration.findContract('ash')?.rate.burst).equal(10)
    platform.store.replaceObject('contract', 'ash', 1, { workspace: 'ash', rate: 'fast' })
    platform.store.replaceObject('contract', 'birch', 0, { workspace: 'ash', rate, databases: {} })
    await waitUntil(() => configuration.readReport().invalidObjects.length === 2)
    const registry = new Registry()
    addConfigurationMetrics(registry, () => configuration.readReport())
    expect(await registry.metrics()).contain('camphorpitch_configuration_invalid_objects 2')
    expect(configuration.findContract('ash')?.rate.burst).equal(10)
    expect(configuration.findContract('birch')).equal(undefined)
    await client.writeObject('contract', 'ash', 2, { workspace: 'ash', rate: { ...rate, burst: 20 }, databases: {} })
    await waitUntil(() => configuration.findContract('ash')?.rate.burst === 20)
    await client.deleteObject('contract', 'ash', 3)
    await waitUntil(() => configuration.findContract('ash') === undefined)
    expect(configuration.readReport().invalidObjects).deep.equal(['contract/birch'])
  })

  it('becomes ready from the configuration of its peers while the object service is down', async () => {
    await client.writeObject('contract', 'ash', 0, { workspace: 'ash', rate, databases: {} })
    for (const vm of ['vm-1', 'vm-2']) await startVm(vm).waitUntilReady()
    platform.setFaults({ outage: true })
    const restarted = startVm('vm-3')
    await restarted.waitUntilReady()
    expect(restarted.findContract('ash')?.rate.burst).equal(10)
    expect(restarted.isCurrent()).equal(true)
  })
})
