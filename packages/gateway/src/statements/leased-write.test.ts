import { createLogger, type LogPosition } from '@camphorpitch/wire'
import { expect } from 'chai'
import { EndpointConnector, type EndpointConnection, type EndpointResponse } from '../backend/endpoint-connector.ts'
import { ConnectionLostError } from '../backend/errors.ts'
import type { ClientStatement } from '../backend/statement.ts'
import type { Route } from '../configuration/configuration.ts'
import { LEADER_LEASE_MS, recordLeadership, recordVerification } from '../freshness/group-state.ts'
import { ServiceGroup } from '../groups/service-group.ts'
import { VirtualTime } from '../testing/virtual-time.ts'
import type { Operation } from './operation.ts'
import { openTransaction, type PinnedTransaction } from './pinned-transaction.ts'
import { runWrite } from './run-write.ts'
import type { StatementContext, UnleasedOutcome } from './statement-context.ts'

const logger = createLogger({ process: 'test', level: 'silent' })
const route: Route = { name: 'r', database: 'd', service: 's', consistency: 'primary', statementTimeoutMs: 5_000, objectiveMs: 400, priority: 1, maxStalenessMs: 0, isPublic: false }
const position: LogPosition = { term: 1, index: 5 }
const committed: EndpointResponse = { rows: [], signature: 's', error: null, state: 'idle', position }
const opened: EndpointResponse = { ...committed, signature: null, state: 'open' }

interface SentStatement { text: string, connection: { isOpen: boolean }, respond: (response: EndpointResponse) => void }

/** Connects to endpoints that respond to `WRITE` and `COMMIT` when the test says so, and to other statements at once. */
class FakeConnector extends EndpointConnector {
  readonly sent: SentStatement[] = []
  connectDelayMs = 0

  override async connect (): Promise<EndpointConnection> {
    await new Promise(resolve => setTimeout(resolve, this.connectDelayMs))
    const pending = new Set<(error: Error) => void>()
    const connection = {
      isOpen: true,
      run: async (_id: string, text: string) => await new Promise<EndpointResponse>((resolve, reject) => {
        this.sent.push({ text, connection, respond: resolve })
        pending.add(reject)
        if (text === 'READ') resolve(opened)
      }),
      begin: async () => opened,
      rollback: async () => committed,
      subscribeClose: () => {},
      close: () => {
        connection.isOpen = false
        for (const reject of pending) reject(new ConnectionLostError('closed'))
      }
    }
    return connection as unknown as EndpointConnection
  }

  find (text: string): SentStatement | undefined {
    return this.sent.find(s => s.text === text)
  }
}

describe('a write under the leadership lease', () => {
  let time: VirtualTime
  let connector: FakeConnector
  let group: ServiceGroup
  let context: StatementContext
  let verifications: number
  let canVerify: boolean
  let unleased: UnleasedOutcome[]

  beforeEach(() => {
    time = new VirtualTime()
    time.start()
    connector = new FakeConnector()
    group = new ServiceGroup({ service: 's', connector, clock: time, logger, readLimits: () => ({ retainedConnections: 5, maxOpenConnections: 5 }), recordOpened: () => {} })
    for (const endpoint of ['p', 'a', 'b']) group.updateEntry({ endpoint, service: 's', address: `127.0.0.1:${endpoint}`, failureDomain: 'north', role: endpoint === 'p' ? 'primary' : 'replica', isDraining: false, slots: 3, warmupLeftMs: 0, startedAtMs: 0 })
    group.adoptPrimary('p', 1, 'test')
    verifications = 0
    canVerify = true
    unleased = []
    context = {
      clock: time,
      location: { failureDomain: 'north', regions: {} },
      verifyLeadership: async g => {
        const sentAtMs = time.readNow()
        verifications++
        await new Promise(resolve => setTimeout(resolve, 10))
        if (canVerify) recordVerification(g.state, 'p', sentAtMs)
      },
      refreshPrimary: () => {},
      estimateRecoveryMs: () => 0,
      rollbackTimeoutMs: 1_000,
      logResponse: () => {},
      recordUnleasedResponse: (_operation, _group, _pool, _response, outcome) => { unleased.push(outcome) },
      recordRestoreRefusal: () => {},
      logNoResponse: () => {}
    }
  })
  afterEach(() => time.stop())

  function createOperation (text: string, type: 'write' | 'read' | 'commit'): Operation {
    const statement: ClientStatement = { id: text, text, type }
    return { statement, requiredState: { session: 'c', sessionValues: new Map(), preparedStatements: new Map() }, preparedName: null, workspace: 'w', route, sessionPosition: null, receivedAtMs: time.readNow() }
  }

  const write = async (text = 'WRITE'): ReturnType<typeof runWrite> => await runWrite(context, group, createOperation(text, 'write'))

  /** Has the process stand still: time passes, and no timer of it runs meanwhile. */
  function standStill (ms: number): void {
    const stoppedAtMs = time.readNow()
    const { readNow } = time
    time.readNow = () => Math.max(readNow.call(time), stoppedAtMs + ms)
  }

  async function openWithWrite (): Promise<PinnedTransaction> {
    const pending = openTransaction(context, group, createOperation('WRITE 1', 'write'), false)
    await time.advance(20)
    const transaction = await pending
    if (!('transaction' in transaction)) throw new Error('the transaction was not opened')
    const running = transaction.transaction.run(createOperation('WRITE 1', 'write'), true)
    await time.advance(0)
    connector.find('WRITE 1')!.respond(opened)
    await running
    return transaction.transaction
  }

  it('is sent after one verification, and further ones need none while commits follow each other', async () => {
    for (let i = 0; i < 50; i++) {
      const outcome = write(`WRITE ${i}`)
      await time.advance(20)
      connector.find(`WRITE ${i}`)!.respond({ ...committed, position: { term: 1, index: i + 1 } })
      expect(await outcome).to.have.nested.property('response.error', null)
      await time.advance(400)
    }
    expect(verifications).to.equal(1)
    expect(unleased).to.deep.equal([])
  })

  it('is no proof of leadership after a replica has joined, until the leadership is verified again', async () => {
    const writeAndRespond = async (text: string): Promise<void> => {
      const outcome = write(text)
      await time.advance(20)
      connector.find(text)!.respond(committed)
      expect(await outcome).to.have.nested.property('response.error', null)
      await time.advance(300)
    }
    await writeAndRespond('WRITE 1')
    group.updateEntry({ ...group.pools.get('a')!.entry, endpoint: 'c', startedAtMs: Date.now() })
    for (let i = 2; i < 10; i++) await writeAndRespond(`WRITE ${i}`)
    expect(verifications).to.equal(2)
    group.updateEntry({ ...group.pools.get('b')!.entry, startedAtMs: Date.now() })
    canVerify = false
    for (let i = 10; i < 12; i++) await writeAndRespond(`WRITE ${i}`)
    const outcome = write('WRITE 12')
    await time.advance(1_000)
    expect(await outcome).to.have.nested.property('refusal.code', 'busy')
  })

  it('is refused, and not sent, while the leadership can not be verified', async () => {
    canVerify = false
    const outcome = write()
    await time.advance(1_000)
    expect(await outcome).to.have.nested.property('refusal.code', 'busy')
    expect(connector.sent).to.deep.equal([])
  })

  it('is sent only after a verification if the lease is about to end', async () => {
    recordLeadership(group.state, 'p', time.readNow())
    await time.advance(LEADER_LEASE_MS - 5)
    const outcome = write()
    await time.advance(20)
    connector.find('WRITE')!.respond(committed)
    expect(await outcome).to.have.nested.property('response.error', null)
    expect(verifications).to.equal(1)
  })

  it('is sent on the strength of another VM\'s proof', async () => {
    canVerify = false
    const outcome = write()
    await time.advance(30)
    recordLeadership(group.state, 'p', time.readNow())
    group.publishChange()
    await time.advance(10)
    connector.find('WRITE')!.respond(committed)
    expect(await outcome).to.have.nested.property('response.error', null)
  })

  it('is left in doubt, with its connection closed, once the leadership is revoked', async () => {
    const outcome = write()
    await time.advance(20)
    group.revokeLeadership('p', 2, false)
    expect(await outcome).to.have.nested.property('refusal.code', 'inDoubt')
    expect(connector.find('WRITE')!.connection.isOpen).to.equal(false)
  })

  it('is left in doubt, with its connection closed, once another endpoint leads', async () => {
    const outcome = write()
    await time.advance(20)
    group.adoptPrimary('a', 2, 'test')
    expect(await outcome).to.have.nested.property('refusal.code', 'inDoubt')
    expect(connector.find('WRITE')!.connection.isOpen).to.equal(false)
  })

  it('does not make its endpoint look unresponsive when it is given up because of a revocation', async () => {
    const outcome = write()
    await time.advance(20)
    group.revokeLeadership('p', 2, false)
    await outcome
    expect(group.primaryPool!.health).to.include({ inFlight: 0, unansweredSinceMs: null })
    expect(group).to.include({ unansweredWriteSinceMs: null, writesInFlight: 0 })
  })

  it('is left in doubt, with its connection closed, once the lease ends unverified', async () => {
    const outcome = write()
    await time.advance(20)
    canVerify = false
    await time.advance(LEADER_LEASE_MS + 10)
    expect(await outcome).to.have.nested.property('refusal.code', 'inDoubt')
    expect(connector.find('WRITE')!.connection.isOpen).to.equal(false)
  })

  it('keeps its lease by verifications while it is in flight', async () => {
    const outcome = write()
    await time.advance(4_000)
    connector.find('WRITE')!.respond(committed)
    expect(await outcome).to.have.nested.property('response.error', null)
    expect(verifications).to.be.within(4, 8)
  })

  it('is passed on if it was sent before a planned change, for as long as the lease would have lasted', async () => {
    const [first, second] = [write('WRITE 1'), write('WRITE 2')]
    await time.advance(20)
    group.revokeLeadership('p', 2, true)
    await time.advance(400)
    connector.find('WRITE 1')!.respond(committed)
    expect(await first).to.have.nested.property('response.error', null)
    await time.advance(LEADER_LEASE_MS)
    expect(await second).to.have.nested.property('refusal.code', 'inDoubt')
    expect(connector.find('WRITE 2')!.connection.isOpen).to.equal(false)
  })

  it('is not passed on if it is answered after a planned change has become an unplanned one', async () => {
    const outcome = write()
    await time.advance(20)
    group.revokeLeadership('p', 2, true)
    group.revokeLeadership('p', 2, false)
    expect(await outcome).to.have.nested.property('refusal.code', 'inDoubt')
  })

  it('is not passed on on the strength of its own acknowledgement if the process stood still meanwhile', async () => {
    const outcome = write()
    await time.advance(20)
    canVerify = false
    standStill(5_000)
    connector.find('WRITE')!.respond(committed)
    await time.advance(600)
    expect(await outcome).to.have.nested.property('refusal.code', 'inDoubt')
    expect(unleased).to.deep.equal(['in doubt'])
  })

  it('is passed on after the process stood still if the leadership is verified then', async () => {
    const outcome = write()
    await time.advance(20)
    standStill(3_000)
    connector.find('WRITE')!.respond(committed)
    await time.advance(600)
    expect(await outcome).to.have.nested.property('response.error', null)
    expect(unleased).to.deep.equal(['verified'])
  })

  it('is not sent if the process stood still between its checks and the opening of a connection', async () => {
    recordLeadership(group.state, 'p', time.readNow())
    canVerify = false
    connector.connectDelayMs = 20
    const outcome = write()
    await time.advance(10)
    standStill(LEADER_LEASE_MS + 10)
    await time.advance(600)
    expect(await outcome).to.have.nested.property('refusal.code', 'busy')
    expect(connector.sent).to.deep.equal([])
  })

  it('leaves a transaction\'s COMMIT in doubt once the leadership is revoked', async () => {
    const transaction = await openWithWrite()
    const outcome = transaction.commit(createOperation('COMMIT', 'commit'))
    await time.advance(0)
    expect(connector.find('COMMIT')).not.to.equal(undefined)
    group.revokeLeadership('p', 2, false)
    expect(await outcome).to.have.nested.property('refusal.code', 'inDoubt')
    expect(connector.find('COMMIT')!.connection.isOpen).to.equal(false)
  })

  it('sends no COMMIT after a revocation, and aborts the transaction', async () => {
    const transaction = await openWithWrite()
    group.revokeLeadership('p', 2, false)
    const outcome = transaction.commit(createOperation('COMMIT', 'commit'))
    await time.advance(1_000)
    expect(await outcome).to.have.nested.property('refusal.code', 'aborted')
    expect(connector.find('COMMIT')).to.equal(undefined)
    expect(connector.find('WRITE 1')!.connection.isOpen).to.equal(false)
  })

  it('sends no COMMIT without a lease, and aborts the transaction', async () => {
    const transaction = await openWithWrite()
    canVerify = false
    await time.advance(LEADER_LEASE_MS + 100)
    const outcome = transaction.commit(createOperation('COMMIT', 'commit'))
    await time.advance(1_000)
    expect(await outcome).to.have.nested.property('refusal.code', 'aborted')
    expect(connector.find('COMMIT')).to.equal(undefined)
  })

  it('still commits a transaction during a planned change, while the lease would have lasted', async () => {
    const transaction = await openWithWrite()
    group.revokeLeadership('p', 2, true)
    const outcome = transaction.commit(createOperation('COMMIT', 'commit'))
    await time.advance(0)
    connector.find('COMMIT')!.respond(committed)
    expect(await outcome).to.have.nested.property('response.error', null)
  })

  it('aborts a transaction with a statement in flight once the leadership is revoked', async () => {
    const transaction = await openWithWrite()
    const outcome = transaction.run(createOperation('WRITE 2', 'write'), true)
    await time.advance(0)
    group.revokeLeadership('p', 2, false)
    expect(await outcome).to.have.nested.property('refusal.code', 'aborted')
    expect(connector.find('WRITE 2')!.connection.isOpen).to.equal(false)
  })

  it('aborts a transaction with its next statement after the leadership was revoked', async () => {
    const transaction = await openWithWrite()
    group.revokeLeadership('p', 2, false)
    expect(await transaction.run(createOperation('WRITE 2', 'write'), true)).to.have.nested.property('refusal.code', 'aborted')
    expect(connector.find('WRITE 2')).to.equal(undefined)
  })
})
