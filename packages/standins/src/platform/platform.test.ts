import { ConflictError, ExpiredRevisionError, ObjectClient, PlatformError, UnknownOutcomeError } from '@camphorpitch/wire'
import { expect } from 'chai'
import { startPlatform, type RunningPlatform } from './start-platform.ts'

const owners = { shares: {} }

async function readError (promise: Promise<unknown>): Promise<unknown> {
  return await promise.then(() => undefined, (error: unknown) => error)
}

describe('platform stand-in', () => {
  let platform: RunningPlatform
  let client: ObjectClient

  beforeEach(async () => {
    platform = await startPlatform({ historyLength: 2 })
    client = new ObjectClient({ url: platform.url })
  })

  afterEach(async () => { await platform.close() })

  it('writes only at the expected version, and continues the versions of a name after a deletion', async () => {
    const first = await client.writeObject('limit-owners', 'owners', 0, owners)
    expect(await readError(client.writeObject('limit-owners', 'owners', 0, owners))).instanceOf(ConflictError)
    await client.deleteObject('limit-owners', 'owners', first.version)
    expect(await client.findObject('limit-owners', 'owners')).equal(null)
    const recreated = await client.writeObject('limit-owners', 'owners', 0, owners)
    expect(recreated.version).equal(3)
    expect(await client.listObjects('limit-owners')).deep.equal({ revision: 3, objects: [recreated] })
  })

  it('ends a waiting watch at a change, and refuses a watch from a revision that the history no longer contains', async () => {
    const waiting = client.watchObjects(['limit-owners'], 0, 10_000)
    while (platform.store.waiterCount === 0) await new Promise(resolve => setImmediate(resolve))
    let { version } = await client.writeObject('limit-owners', 'owners', 0, owners)
    expect((await waiting).changes.map(c => c.version)).deep.equal([1])
    for (let i = 0; i < 5; i++) version = (await client.writeObject('limit-owners', 'owners', version, owners)).version
    expect(await readError(client.watchObjects(['limit-owners'], 0, 0))).instanceOf(ExpiredRevisionError)
  })

  it('loses the response to a write that took effect', async () => {
    platform.setFaults({ loseAnswers: 1 })
    expect(await readError(client.writeObject('limit-owners', 'owners', 0, owners))).instanceOf(UnknownOutcomeError)
    expect((await client.findObject('limit-owners', 'owners'))?.version).equal(1)
  })

  it('refuses all calls in an outage, including waiting watches', async () => {
    const waiting = readError(client.watchObjects(['contract'], 0, 10_000))
    while (platform.store.waiterCount === 0) await new Promise(resolve => setImmediate(resolve))
    platform.setFaults({ outage: true })
    expect(await waiting).instanceOf(PlatformError)
    expect(await readError(client.writeObject('limit-owners', 'owners', 0, owners))).instanceOf(PlatformError).not.instanceOf(UnknownOutcomeError)
    expect(platform.store.revision).equal(0)
  })

  it('counts calls, and lists a new VM only after the configured delay', async () => {
    const vm = { host: '127.0.0.1', peerPort: 7000, failureDomain: 'fd-1', region: 'north', state: 'live' }
    const put = async (lag: number, name: string) => {
      await fetch(`${platform.controlUrl}/faults`, { method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify({ vmLagMs: lag }) })
      await fetch(`${platform.controlUrl}/vms/${name}`, { method: 'PUT', headers: { 'content-type': 'application/json' }, body: JSON.stringify(vm) })
    }
    await put(0, 'vm-1')
    await put(600_000, 'vm-2')
    expect((await client.listVms()).vms.map(v => v.vm)).deep.equal(['vm-1'])
    expect(platform.readCounts().total.vms).equal(1)
  })

  it('refuses calls over the allowed number per second', async () => {
    const small = await startPlatform({ readsPerSecond: 1 })
    const reads = Array.from({ length: 6 }, async () => (await fetch(`${small.url}/v1/vms`)).status)
    expect(await Promise.all(reads)).include(429)
    await small.close()
  })
})
