import { computeKeyDigest, contractSchema, keyRingSchema, RefusalCode, type Contract } from '@camphorpitch/wire'
import { expect } from 'chai'
import type { Connection } from 'mysql2/promise'
import { startTestFleet, type TestFleet } from './testing/test-fleet.ts'

const VMS = 3
const LIMITED_RATE = { statementsPerSecond: 20, burst: 10 }
const MEASUREMENT_MS = 3_000

async function readErrno (action: Promise<unknown>): Promise<number> {
  return await action.then(() => 0, (error: { errno: number }) => error.errno)
}

async function waitForErrno (expected: number, action: () => Promise<unknown>): Promise<void> {
  while (await readErrno(action()) !== expected) await new Promise(resolve => setTimeout(resolve, 20))
}

describe('a fleet of proxies', () => {
  let fleet: TestFleet
  let clients: Connection[]

  before(async () => { fleet = await startTestFleet({ vms: VMS }) })
  after(async () => { await fleet.stop() })
  beforeEach(async () => { clients = await Promise.all(fleet.apps.map(async (_, i) => await fleet.openClientConnection(i))) })
  afterEach(() => { for (const c of clients) c.destroy() })

  async function changeContract (change: Partial<Contract>): Promise<void> {
    const stored = await fleet.objectClient.readObject('contract', 'kari')
    await fleet.objectClient.writeObject('contract', 'kari', stored.version, { ...contractSchema.parse(stored.value), ...change })
  }

  async function changeKeys (keys: Array<[id: string, key: string]>): Promise<void> {
    const stored = await fleet.objectClient.readObject('key-ring', 'kari')
    const ring = keyRingSchema.parse(stored.value)
    const grantedAt = '2026-01-01T00:00:00Z'
    await fleet.objectClient.writeObject('key-ring', 'kari', stored.version, { ...ring, keys: keys.map(([id, key]) => ({ id, digest: computeKeyDigest(key), grantedAt, note: '' })) })
  }

  it('applies a changed contract on every VM, also to connected clients', async () => {
    await clients[0]?.query('CREATE TABLE changed (id INTEGER)')
    await changeContract({ databases: { orders: { access: 'read', defaultMaxAgeMs: 0 } } })
    for (const c of clients) await waitForErrno(RefusalCode.notRunDenied, async () => await c.query('INSERT INTO changed VALUES (1)'))
    await changeContract({ databases: { orders: { access: 'read-write', defaultMaxAgeMs: 0 } } })
    for (const c of clients) await waitForErrno(0, async () => await c.query('INSERT INTO changed VALUES (1)'))
  })

  it('refuses a withdrawn key on every VM and accepts the others, with an outage of the object service right after the withdrawal', async () => {
    await changeKeys([['k1', 'secret'], ['k2', 'other']])
    const others = await Promise.all(fleet.apps.map(async (_, i) => {
      await waitForErrno(0, async () => await fleet.openClientConnection(i, { password: 'other' }).then(c => c.destroy()))
      return await fleet.openClientConnection(i, { password: 'other' })
    }))
    await changeKeys([['k2', 'other']])
    await waitForErrno(RefusalCode.notRunDenied, async () => await clients[0]?.query('SELECT 1'))
    fleet.platform.setFaults({ outage: true })
    for (const c of clients.slice(1)) await waitForErrno(RefusalCode.notRunDenied, async () => await c.query('SELECT 1'))
    for (let i = 0; i < VMS; i++) expect(await readErrno(fleet.openClientConnection(i))).to.equal(1045)
    for (const c of others) {
      expect(await readErrno(c.query('SELECT 1'))).to.equal(0)
      c.destroy()
    }
    fleet.platform.setFaults({ outage: false })
    await changeKeys([['k1', 'secret']])
    for (let i = 0; i < VMS; i++) await waitForErrno(0, async () => await fleet.openClientConnection(i).then(c => c.destroy()))
  })

  it('admits no more than rate and burst over all VMs, and refuses other statements with a retry time', async () => {
    await changeContract({ rate: LIMITED_RATE })
    await waitForErrno(RefusalCode.notRunRetry, async () => {
      const errnos = await Promise.all(Array.from({ length: 30 }, async (_, i) => await readErrno(clients[i % VMS]!.query('SELECT 1'))))
      if (errnos.includes(RefusalCode.notRunRetry)) throw Object.assign(new Error(), { errno: RefusalCode.notRunRetry })
    })
    const startedAtMs = performance.now()
    let admitted = 0
    const refusals: string[] = []
    await Promise.all(clients.map(async c => {
      while (performance.now() - startedAtMs < MEASUREMENT_MS) {
        await c.query('SELECT 1').then(() => { admitted += 1 }, (error: Error) => refusals.push(error.message))
        await new Promise(resolve => setTimeout(resolve, 5))
      }
    }))
    const elapsedSeconds = (performance.now() - startedAtMs) / 1_000
    expect(admitted).to.be.at.most(LIMITED_RATE.statementsPerSecond * elapsedSeconds + LIMITED_RATE.burst)
    expect(admitted).to.be.greaterThan(0)
    expect(refusals.length).to.be.greaterThan(0)
    for (const r of refusals) expect(r).to.match(/not run: .*; retry after \d+ ms$/)
    await changeContract({ rate: { statementsPerSecond: 5_000, burst: 1_000 } })
  })

  it('sends no key of a client to an endpoint', () => {
    for (const e of fleet.endpoints) expect(e.record.countConnectionsThatReceived('secret')).to.deep.equal({ count: 0, complete: true })
  })
})
