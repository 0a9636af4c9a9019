import { startEndpointGroup, type RunningEndpoint } from '@camphorpitch/standins'
import { createLogger, formatFenceStatement, hasReached, MonotonicClock, parseCommitInfo, type Database, type LogPosition } from '@camphorpitch/wire'
import { expect } from 'chai'
import mysql, { type Connection, type ResultSetHeader, type RowDataPacket } from 'mysql2/promise'
import { start as startSystem, stop as stopSystem, type ActorSystemRef } from 'nact'
import type { GroupView } from './group-view.ts'
import { startGroupView } from './start-group-view.ts'
import { TOLERATED_PAUSE_MS } from './timings.ts'

const user = 'camphorpitch'
const password = 'secret'
const WAIT_MS = 20_000

describe('group view on real instances', () => {
  let group: RunningEndpoint[] = []
  let views: GroupView[] = []
  let systems: ActorSystemRef[] = []

  async function startGroup (size: number, options: object = {}): Promise<Database> {
    const instances = Array.from({ length: size }, (_, i) => `db-${i + 1}`)
    group = await startEndpointGroup({ instances, password, logLevel: 'silent', ...options })
    const endpoints = group.map(e => ({ endpoint: e.instance, host: e.host, port: e.port, failureDomain: 'a', region: 'a', maxConnections: 20, slots: 3 }))
    return { database: 'orders', endpoints, user, password }
  }

  function startView (database: Database, rank = 0): GroupView {
    const system = startSystem()
    systems.push(system)
    const logger = createLogger({ process: `vm-${rank}`, level: 'silent' })
    const view = startGroupView({ system, clock: new MonotonicClock(), logger, database, vm: `vm-${rank}`, incarnation: 1, readRank: () => rank })
    views.push(view)
    return view
  }

  async function waitUntil (check: () => boolean): Promise<void> {
    while (!check()) await new Promise(resolve => setTimeout(resolve, 5))
  }

  function findEndpoint (name: string): RunningEndpoint {
    return group.find(e => e.instance === name)!
  }

  function hasApplied (endpoint: RunningEndpoint, position: LogPosition): boolean {
    const { applied, termStarts } = endpoint.member.readStatus()
    return hasReached(applied, termStarts, position)
  }

  async function connectTo (endpoint: { host: string, port: number }): Promise<Connection> {
    return await mysql.createConnection({ host: endpoint.host, port: endpoint.port, user, password, connectTimeout: 500 })
  }

  /** Writes at the view's primary until a write is acknowledged, and returns its position. */
  async function writeDurably (view: GroupView, sql: string): Promise<LogPosition> {
    for (;;) {
      await waitUntil(() => view.findPrimary() !== undefined)
      const position = await attemptWrite(view, sql).catch(() => null)
      if (position !== null && await view.waitDurable(position, 1_000)) return position
    }
  }

  async function attemptWrite (view: GroupView, sql: string): Promise<LogPosition | null> {
    const connection = await connectTo(view.findPrimary()!.endpoint)
    try {
      const [ok] = await connection.query<ResultSetHeader>({ sql, timeout: 500 })
      return parseCommitInfo(ok.info)
    } finally {
      connection.destroy()
    }
  }

  async function readIds (endpoint: RunningEndpoint): Promise<number[]> {
    const connection = await connectTo(endpoint)
    const [rows] = await connection.query<RowDataPacket[]>('SELECT id FROM t ORDER BY id')
    connection.destroy()
    return rows.map(r => r.id)
  }

  afterEach(async () => {
    for (const v of views) v.stop()
    for (const s of systems) stopSystem(s)
    await Promise.all(group.map(e => e.stop()))
    group = []
    views = []
    systems = []
  })

  it('a group acknowledges writes again after its primary is killed, and keeps the writes acknowledged before', async () => {
    const database = await startGroup(3)
    const [first, second] = [startView(database, 0), startView(database, 1)]
    await writeDurably(first, 'CREATE TABLE t (id INTEGER)')
    await writeDurably(second, 'INSERT INTO t VALUES (1)')
    const baseline = await second.readBaseline(WAIT_MS)
    expect(baseline).to.deep.equal({ term: 1, index: 2 })
    await group[0]!.stop()
    await waitUntil(() => first.findPrimary() === undefined)
    expect(first.estimateRecoveryMs()).to.be.greaterThan(0)
    const position = await writeDurably(second, 'INSERT INTO t VALUES (2)')
    expect(position.term).to.be.greaterThan(1)
    expect(await readIds(findEndpoint(second.findPrimary()!.endpoint.endpoint))).to.deep.equal([1, 2])
    expect((await first.readBaseline(WAIT_MS)).term).to.equal(position.term)
  })

  it('a group keeps its primary through a tolerated freeze, replaces it after a longer one and then makes it follow', async () => {
    const database = await startGroup(3)
    const view = startView(database)
    await writeDurably(view, 'CREATE TABLE t (id INTEGER)')
    group[0]!.applyFaults({ freeze: true })
    await new Promise(resolve => setTimeout(resolve, TOLERATED_PAUSE_MS - 200))
    group[0]!.applyFaults({ freeze: false })
    expect((await writeDurably(view, 'INSERT INTO t VALUES (1)')).term).to.equal(1)

    group[0]!.applyFaults({ freeze: true })
    const position = await writeDurably(view, 'INSERT INTO t VALUES (2)')
    expect(position.term).to.be.greaterThan(1)
    group[0]!.applyFaults({ freeze: false })
    await waitUntil(() => hasApplied(group[0]!, position))
    expect(await readIds(group[0]!)).to.deep.equal([1, 2])
  })

  it('a view acknowledges no write of an old primary that it reaches but that is cut off from its replicas', async () => {
    const database = await startGroup(3)
    const view = startView(database)
    await writeDurably(view, 'CREATE TABLE t (id INTEGER)')
    group[0]!.applyFaults({ cut: { peers: ['db-2', 'db-3'] } })
    const old = await connectTo(group[0]!)
    const [ok] = await old.query<ResultSetHeader>('INSERT INTO t VALUES (1)')
    expect(await view.waitDurable(parseCommitInfo(ok.info)!, 300)).to.equal(false)
    const position = await writeDurably(view, 'INSERT INTO t VALUES (2)')
    expect(position.term).to.be.greaterThan(1)
    const errno = await old.query('INSERT INTO t VALUES (3)').then(() => 0, (error: { errno: number }) => error.errno)
    expect(errno).to.be.greaterThan(0)
    old.destroy()
    group[0]!.applyFaults({ cut: { peers: [] } })
    await waitUntil(() => hasApplied(group[0]!, position))
    expect(await readIds(group[0]!)).to.deep.equal([2])
  })

  it('a view acknowledges no write of an old primary after a VM that cannot reach it has promoted another', async () => {
    const database = await startGroup(3)
    const viewOfOldPrimary = startView(database, 1)
    await writeDurably(viewOfOldPrimary, 'CREATE TABLE t (id INTEGER)')
    const old = await connectTo(group[0]!)
    const [unreachable, ...others] = database.endpoints
    const viewWithoutOldPrimary = startView({ ...database, endpoints: [{ ...unreachable!, port: 1 }, ...others] }, 0)
    const position = await writeDurably(viewWithoutOldPrimary, 'INSERT INTO t VALUES (1)')
    expect(position.term).to.be.greaterThan(1)
    const lateWritePosition = await old.query<ResultSetHeader>('INSERT INTO t VALUES (2)').then(([ok]) => parseCommitInfo(ok.info), () => null)
    old.destroy()
    if (lateWritePosition !== null) expect(await viewOfOldPrimary.waitDurable(lateWritePosition, 1_000)).to.equal(false)
    const next = await writeDurably(viewOfOldPrimary, 'INSERT INTO t VALUES (3)')
    await waitUntil(() => hasApplied(group[0]!, next))
    expect(await readIds(group[0]!)).to.deep.equal([1, 3])
  })

  it('two promoters elect one primary after another promoter fenced all instances and died', async () => {
    const database = await startGroup(3)
    for (const e of group) {
      const connection = await connectTo(e)
      await connection.query(formatFenceStatement(7, 'vm-dead'))
      connection.destroy()
    }
    const [first, second] = [startView(database, 0), startView(database, 0)]
    const position = await writeDurably(first, 'CREATE TABLE t (id INTEGER)')
    expect(position.term).to.be.greaterThan(7)
    await waitUntil(() => second.findPrimary()?.term === first.findPrimary()?.term)
    await writeDurably(second, 'INSERT INTO t VALUES (1)')
    const primaries = group.filter(e => e.member.isPrimary() && e.member.state.term === first.findPrimary()!.term)
    expect(primaries.map(e => e.instance)).to.deep.equal([first.findPrimary()!.endpoint.endpoint])
  })

  it('a view moves the primary away from a leaving instance and loses no acknowledged write', async () => {
    const database = await startGroup(3)
    const before = startView(database)
    await writeDurably(before, 'CREATE TABLE t (id INTEGER)')
    const acknowledged = await writeDurably(before, 'INSERT INTO t VALUES (1)')
    before.stop()
    const leavingInstance = before.findPrimary()!.endpoint.endpoint
    const endpoints = database.endpoints.map(e => e.endpoint === leavingInstance ? { ...e, state: 'leaving' as const } : e)
    const view = startView({ ...database, endpoints }, 1)
    await waitUntil(() => view.findPrimary() !== undefined && view.findPrimary()!.endpoint.endpoint !== leavingInstance)
    const successor = findEndpoint(view.findPrimary()!.endpoint.endpoint)
    expect(hasApplied(successor, acknowledged)).to.equal(true)
    await writeDurably(view, 'INSERT INTO t VALUES (2)')
    expect(view.findPrimary()!.endpoint.endpoint).to.not.equal(leavingInstance)
  })

  it('a view serves a group of one instance, and throws NoQuorumError when no quorum responds', async () => {
    const database = await startGroup(1)
    const view = startView(database)
    const position = await writeDurably(view, 'CREATE TABLE t (id INTEGER)')
    expect(await view.readBaseline(WAIT_MS)).to.deep.equal(position)
    await group[0]!.stop()
    const error = await view.readBaseline(WAIT_MS).then(() => null, (e: Error) => e)
    expect(error?.name).to.equal('NoQuorumError')
  })
})
