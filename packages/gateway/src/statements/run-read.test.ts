import { createLogger, type LogPosition } from '@camphorpitch/wire'
import { expect } from 'chai'
import { EndpointConnector, type EndpointConnection, type EndpointResponse } from '../backend/endpoint-connector.ts'
import { addSample, recordLeadership } from '../freshness/group-state.ts'
import { ServiceGroup } from '../groups/service-group.ts'
import type { PooledConnection } from '../pool/pooled-connection.ts'
import { Withdrawal } from '../pool/withdrawal.ts'
import { waitFor } from '../runtime/wait-at-most.ts'
import { VirtualTime } from '../testing/virtual-time.ts'
import type { Operation } from './operation.ts'
import { openTransaction } from './pinned-transaction.ts'
import { runRead } from './run-read.ts'
import { SessionAttempts } from './session-attempts.ts'
import type { StatementContext } from './statement-context.ts'

const logger = createLogger({ process: 'test', level: 'silent' })
const laterPosition: LogPosition = { term: 2, index: 9 }

/** Connects to endpoints that respond at once, and records `ENDPOINT TEXT` with the position that the statement requires. */
class RecordingConnector extends EndpointConnector {
  readonly sent: Array<[string, LogPosition | null]> = []
  /** How long an endpoint works on a statement, which `sent` contains already. */
  workMs = (): number => 0

  override async connect ({ endpoint }: { endpoint: string }): Promise<EndpointConnection> {
    const respond = async (text: string, required: LogPosition | null, state: 'idle' | 'open'): Promise<EndpointResponse> => {
      this.sent.push([`${endpoint} ${text}`, required])
      const workMs = this.workMs()
      if (workMs > 0) await waitFor(workMs)
      return { rows: [], signature: null, error: null, state, position: null }
    }
    return {
      isOpen: true,
      run: async (_id: string, text: string, required: LogPosition | null) => await respond(text, required, 'idle'),
      begin: async (_id: string, _isReadOnly: boolean, required: LogPosition | null) => await respond('BEGIN', required, 'open'),
      subscribeClose: () => {},
      close: () => {}
    } as unknown as EndpointConnection
  }
}

describe('a read while the primary is being replaced', () => {
  let time: VirtualTime
  let connector: RecordingConnector
  let group: ServiceGroup
  let context: StatementContext

  beforeEach(() => {
    time = new VirtualTime()
    time.start()
    connector = new RecordingConnector()
    group = new ServiceGroup({ service: 's', connector, clock: time, logger, readLimits: () => ({ retainedConnections: 1, maxOpenConnections: 1 }), recordOpened: () => {} })
    for (const endpoint of ['p', 'a']) group.updateEntry({ endpoint, service: 's', address: `127.0.0.1:${endpoint}`, failureDomain: 'north', role: endpoint === 'p' ? 'primary' : 'replica', isDraining: false, slots: 3, warmupLeftMs: 0, startedAtMs: 0 })
    group.adoptPrimary('p', 1, 'test')
    context = {
      clock: time,
      location: { failureDomain: 'north', regions: {} },
      verifyLeadership: async () => {},
      refreshPrimary: () => {},
      estimateRecoveryMs: () => 0,
      rollbackTimeoutMs: 1_000,
      logResponse: () => {},
      recordUnleasedResponse: () => {},
      recordRestoreRefusal: () => {},
      logNoResponse: () => {}
    }
  })
  afterEach(() => time.stop())

  function createOperation (maxStalenessMs: number, sessionPosition: LogPosition | null = null): Operation {
    return {
      statement: { id: '1', text: 'READ', type: 'read' },
      requiredState: { session: 'x', sessionValues: new Map(), preparedStatements: new Map() },
      preparedName: null,
      workspace: 'w',
      route: { name: 'r', database: 'd', service: 's', consistency: 'boundedStaleness', statementTimeoutMs: 4_000, objectiveMs: 2_000, priority: 1, maxStalenessMs, isPublic: false },
      sessionPosition,
      receivedAtMs: time.readNow()
    }
  }

  async function acquire (endpoint: string): Promise<PooledConnection> {
    const pending = group.pools.get(endpoint)!.acquire({ workspace: 'w', session: 'y', priority: 0, waitMs: 100 })
    await time.advance(10)
    return await pending
  }

  // The session's write ran on another VM, at a primary that this VM does not know yet.
  it('requires its session\'s write of the primary that this VM has known to lead within the allowed staleness, but does not know to lead now', async () => {
    recordLeadership(group.state, 'p', time.readNow())
    await time.advance(2_000)
    const outcome = runRead(context, group, createOperation(2_500, laterPosition))
    await time.advance(10)
    await outcome
    const opening = openTransaction(context, group, createOperation(2_500, laterPosition), false)
    await time.advance(10)
    await opening
    expect(connector.sent).to.deep.equal([['p READ', laterPosition], ['p BEGIN', laterPosition]])
  })

  it('requires no position of a primary that leads', async () => {
    recordLeadership(group.state, 'p', time.readNow())
    const outcome = runRead(context, group, createOperation(2_500, laterPosition))
    await time.advance(10)
    await outcome
    expect(connector.sent).to.deep.equal([['p READ', null]])
  })

  it('is not sent to a primary whose leadership has ended while it waited for a connection there', async () => {
    recordLeadership(group.state, 'p', time.readNow())
    const connection = await acquire('p')
    const outcome = runRead(context, group, createOperation(0))
    await time.advance(100)
    group.adoptPrimary('a', 2, 'test')
    group.pools.get('p')!.release(connection, true)
    await time.advance(4_000)
    expect(await outcome).to.have.property('refusal')
    expect(connector.sent).to.deep.equal([])
  })

  // Review case 3: the second attempt ran with what the session had prepared since.
  it('is not run again at an endpoint that was slow to give it a connection, once another one has answered it', async () => {
    recordLeadership(group.state, 'p', time.readNow())
    addSample(group.state, { atMs: time.readNow(), position: { term: 1, index: 1 } })
    const connections = [await acquire('p'), await acquire('a')]
    const outcome = runRead(context, group, createOperation(10_000))
    await time.advance(600)
    const [first, second] = connections as [PooledConnection, PooledConnection]
    group.pools.get(first.endpoint)!.release(first, true)
    await time.advance(50)
    expect(await outcome).to.have.property('response')
    group.pools.get(second.endpoint)!.release(second, true)
    await time.advance(4_000)
    expect(connector.sent.filter(([text]) => text.endsWith('READ'))).to.have.length(1)
    expect([...group.pools.values()].map(p => p.pendingRequestCount)).to.deep.equal([0, 0])
  })

  // It runs with the values and prepared statements of the time when it was sent, so the session must not acknowledge others before it has ended.
  it('counts as an attempt of its session until every endpoint that it was sent to has responded, although one has answered it', async () => {
    recordLeadership(group.state, 'p', time.readNow())
    addSample(group.state, { atMs: time.readNow(), position: { term: 1, index: 1 } })
    const attempts = new SessionAttempts()
    connector.workMs = () => connector.sent.length === 1 ? 900 : 10
    const outcome = runRead(context, group, { ...createOperation(10_000), attempts })
    await time.advance(700)
    expect(await outcome).to.have.property('response')
    expect(connector.sent).to.have.length(2)
    expect(attempts.count).to.equal(1)
    await time.advance(400)
    expect(attempts.count).to.equal(0)
  })

  it('is sent to no endpoint once it has been answered elsewhere', async () => {
    recordLeadership(group.state, 'p', time.readNow())
    addSample(group.state, { atMs: time.readNow(), position: { term: 1, index: 1 } })
    const connections = [await acquire('p'), await acquire('a')]
    const withdrawal = new Withdrawal()
    const outcome = runRead(context, group, createOperation(10_000), withdrawal)
    await time.advance(100)
    withdrawal.withdraw()
    for (const c of connections) group.pools.get(c.endpoint)!.release(c, true)
    await time.advance(4_000)
    expect(await outcome).to.have.property('refusal')
    expect(connector.sent).to.deep.equal([])
  })

  it('requires a position that is fresh enough when it is sent, not when it began to wait for a connection', async () => {
    recordLeadership(group.state, 'p', time.readNow())
    addSample(group.state, { atMs: time.readNow(), position: { term: 1, index: 1 } })
    const connections = [await acquire('p'), await acquire('a')]
    const outcome = runRead(context, group, createOperation(300))
    await time.advance(250)
    addSample(group.state, { atMs: time.readNow(), position: { term: 1, index: 5 } })
    await time.advance(100)
    for (const c of connections) group.pools.get(c.endpoint)!.release(c, true)
    await time.advance(4_000)
    await outcome
    expect(connector.sent.map(([, required]) => required?.index)).to.include(5).and.not.include(1)
  })
})
