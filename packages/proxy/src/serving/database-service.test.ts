import { expect } from 'chai'
import { createLogger, hasReached, MonotonicClock, pickLaterPosition, type ResponseFrame, type Database, type Endpoint, type InstanceStatus, type LogPosition, type StatementRequest } from '@camphorpitch/wire'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { startEndpointGroup, type RunningEndpoint } from '@camphorpitch/standins'
import mysql from 'mysql2/promise'
import { start, stop, type ActorSystemRef } from 'nact'
import { GroupView, type InstanceView } from '../failover/group-view.ts'
import { startGroupView } from '../failover/start-group-view.ts'
import { openEndpointConnection } from '../pool/endpoint-connection.ts'
import { PlacementView } from '../membership/placement-view.ts'
import type { DatabaseService } from '../statements/database-service.ts'
import { startDatabaseService } from './start-database-service.ts'

const clock = new MonotonicClock()
const logger = createLogger({ process: 'test', level: 'silent' })
const POLL_INTERVAL_MS = 2

function sleepMs (ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}

/** Group view that reads the stand-ins in this process directly instead of probing them over the network. */
class InProcessGroupView extends GroupView {
  readonly instances: RunningEndpoint[]
  readonly endpoints: Endpoint[]
  readonly listeners: Array<() => void> = []
  readonly unreachable = new Set<string>()
  readonly lastProbes = new Map<string, { status: InstanceStatus, probedAtMs: number }>()
  /** Number of coming probes that report their instance as fenced, as happens during a change of primary. */
  remainingFencedProbes = 0

  constructor (instances: RunningEndpoint[]) {
    super()
    this.instances = instances
    this.endpoints = instances.map(i => ({ endpoint: i.instance, host: i.host, port: i.port, failureDomain: 'fd-1', region: 'r', maxConnections: 20, slots: 3 }))
  }

  refresh (): void {
    for (const i of this.instances) this.lastProbes.set(i.instance, { status: i.member.readStatus(), probedAtMs: clock.readNow() })
    for (const listener of this.listeners) listener()
  }

  override listInstances (): readonly InstanceView[] {
    return this.endpoints.map(endpoint => {
      const lastProbe = this.lastProbes.get(endpoint.endpoint)
      return { endpoint, status: lastProbe?.status ?? null, probedAtMs: lastProbe?.probedAtMs ?? 0, isReachable: !this.unreachable.has(endpoint.endpoint) }
    })
  }

  override findPrimary (): { endpoint: Endpoint, term: number } | undefined {
    const found = this.listInstances().filter(i => i.isReachable && i.status?.role === 'primary').sort((a, b) => b.status!.term - a.status!.term)[0]
    return found === undefined ? undefined : { endpoint: found.endpoint, term: found.status!.term }
  }

  override async probeInstance (name: string): Promise<InstanceStatus> {
    await sleepMs(0)
    if (this.unreachable.has(name)) throw new Error('unreachable')
    const status = this.instances.find(i => i.instance === name)!.member.readStatus()
    if (this.remainingFencedProbes > 0) {
      this.remainingFencedProbes -= 1
      return { ...status, role: 'fenced', primary: null }
    }
    this.lastProbes.set(name, { status, probedAtMs: clock.readNow() })
    return status
  }

  override async readBaseline (): Promise<LogPosition> {
    return this.instances.map(i => i.member.readStatus().logged).reduce(pickLaterPosition)
  }

  override async waitDurable (position: LogPosition, timeoutMs: number): Promise<boolean> {
    const endMs = clock.readNow() + timeoutMs
    while (clock.readNow() < endMs) {
      const holders = this.instances.filter(({ member: { state } }) => {
        const status = { term: state.log.at(-1)?.term ?? 0, index: state.log.length }
        return state.term === position.term && hasReached(status, [[position.term, 1]], position)
      })
      if (holders.length >= 2) return true
      await sleepMs(POLL_INTERVAL_MS)
    }
    return false
  }

  override estimateRecoveryMs (): number { return 10 }
  override subscribe (listener: () => void): void { this.listeners.push(listener) }
  override stop (): void {}
}

/** TCP relay in front of an instance; a test can close its connections or stop the forwarding. */
class Relay {
  readonly #sockets = new Set<Socket>()
  readonly #server: Server
  constructor (port: number) {
    this.#server = createServer(socket => {
      const target = connect(port, '127.0.0.1')
      for (const [from, to] of [[socket, target], [target, socket]] as const) {
        this.#sockets.add(from)
        from.setNoDelay(true)
        from.pipe(to)
        from.on('error', () => {})
        from.on('close', () => {
          this.#sockets.delete(from)
          to.destroy()
        })
      }
    })
  }

  async listen (): Promise<number> {
    await new Promise<void>(resolve => this.#server.listen(0, '127.0.0.1', resolve))
    return (this.#server.address() as AddressInfo).port
  }

  cut (): void {
    for (const s of this.#sockets) s.destroy()
  }

  /** Stops forwarding data without closing any connection. */
  stopForwarding (): void {
    for (const s of this.#sockets) {
      s.unpipe()
      s.removeAllListeners('end')
      s.pause()
    }
  }

  stop (): void {
    this.cut()
    this.#server.close()
  }
}

/** Placement in which this VM serves the database and may use `share` connections of each instance. */
class FixedPlacementView extends PlacementView {
  share = 20
  readonly listeners: Array<() => void> = []
  override listServingVms (): readonly string[] { return [] }
  override listRankedServingVms (): readonly string[] { return this.listServingVms() }
  override isServing (): boolean { return true }
  override listServedDatabases (): readonly string[] { return [] }
  override computeConnectionShare (_database: string, maxConnections: number): number { return Math.min(this.share, maxConnections) }
  override subscribe (listener: () => void): void { this.listeners.push(listener) }
}

describe('DatabaseService on the stand-in', () => {
  let instances: RunningEndpoint[] = []
  let system: ActorSystemRef
  let group: InProcessGroupView
  let view: GroupView
  let placement: FixedPlacementView
  let service: DatabaseService
  let relays: Relay[] = []
  let count = 0

  async function startService (options: object = {}, isRealGroupView = false): Promise<void> {
    instances = await startEndpointGroup({ instances: ['db-1', 'db-2', 'db-3'], password: 'secret', connectDelayMs: 0, logLevel: 'silent', ...options })
    group = new InProcessGroupView(instances)
    relays = instances.map(i => new Relay(i.port))
    for (const [n, relay] of relays.entries()) group.endpoints[n]!.port = await relay.listen()
    group.refresh()
    placement = new FixedPlacementView()
    system = start()
    const database: Database = { database: 'orders', endpoints: group.endpoints, user: 'camphorpitch', password: 'secret' }
    view = isRealGroupView ? startGroupView({ system, clock, logger, database, vm: 'vm-1', incarnation: 1 }) : group
    service = startDatabaseService({ database, group: view, placement, system, clock, logger, failureDomain: 'fd-1' })
  }

  afterEach(async () => {
    service.stop()
    stop(system)
    for (const r of relays) r.stop()
    await Promise.all(instances.map(i => i.stop()))
  })

  function makeRequest (text: string, options: Partial<StatementRequest> = {}): StatementRequest {
    const isRead = /^select/i.test(text)
    return {
      requestId: `r${++count}`,
      sessionId: 's1',
      workspace: 'nordlys',
      database: 'orders',
      text,
      class: isRead ? 'read' : 'write',
      required: { term: 0, index: 0 },
      maxAgeMs: 0,
      timeoutMs: 5_000,
      transactionId: null,
      writeId: null,
      ...options
    }
  }

  async function run (text: string, options: Partial<StatementRequest> = {}): Promise<ResponseFrame[]> {
    const frames: ResponseFrame[] = []
    for await (const f of service.run(makeRequest(text, options))) frames.push(f)
    return frames
  }

  function listCells (frames: ResponseFrame[]): Array<Array<string | null>> {
    return frames.flatMap(f => f.kind === 'rows' ? f.rows.map(r => r.map(c => c === null ? null : Buffer.from(c).toString())) : [])
  }

  async function begin (): Promise<string | null> {
    const [frame] = await run('BEGIN', { class: 'begin' })
    expect(frame).to.include({ kind: 'ok' })
    return frame?.kind === 'ok' ? frame.transactionId : null
  }

  async function tryBegin (sessionId: string, required: LogPosition | null): Promise<string | null> {
    const [frame] = await run('BEGIN', { class: 'begin', sessionId, required, timeoutMs: 3_000 })
    return frame?.kind === 'ok' ? frame.transactionId : null
  }

  function findPrimaryName (): string | undefined {
    return view.findPrimary()?.endpoint.endpoint
  }

  function changePrimary (index: number, term: number): void {
    const { instance, host, port, member } = instances[index]!
    for (const i of instances) i.member.fence(term, 'vm-1')
    member.promote(term, 'vm-1', { instance, host, port })
    for (const i of instances) {
      if (i.member !== member) i.member.follow(term, { instance, host, port })
    }
    group.refresh()
  }

  /** Sends the same statement again until it succeeds; returns the frames of all attempts. */
  async function repeatUntilOk (text: string, options: Partial<StatementRequest>): Promise<ResponseFrame[]> {
    const responses: ResponseFrame[] = []
    while (responses.at(-1)?.kind !== 'ok') responses.push(...await run(text, options))
    return responses
  }

  /**
   * Runs a write until its outcome is `expected` and the instances have received `decisiveText`, with twice the timeout after
   * each other refusal: a busy machine may use the time up before the write is decided. The fault stays until then.
   * A refusal as not run must be true: the instances have not received `decisiveText`.
   */
  async function runUntilOutcome (expected: 'ok' | 'outcomeUnknown', text: string, { decisiveText, injectFault, timeoutMs, ...options }: { decisiveText: string, injectFault: () => void, timeoutMs: number } & Partial<StatementRequest>): Promise<string | undefined> {
    const runsBefore = countStatementRuns(decisiveText)
    let canHaveRun = false
    for (let attempts = 1, currentTimeoutMs = timeoutMs; ; attempts++, currentTimeoutMs *= 2) {
      injectFault()
      const frames = await run(text, { ...options, timeoutMs: currentTimeoutMs })
      const outcome = readRefusalKind(frames) ?? frames.at(-1)?.kind
      const hasRun = countStatementRuns(decisiveText) > runsBefore
      if (outcome === 'outcomeUnknown') canHaveRun = true
      if (decisiveText === text) expect(countStatementRuns(text) - runsBefore, 'runs of an unnamed write').to.be.at.most(attempts)
      if (!canHaveRun) expect(hasRun, `received by an instance, outcome ${outcome}`).to.equal(outcome !== 'notRunRetry')
      const isDecided = (outcome === expected && hasRun) || (outcome !== 'notRunRetry' && outcome !== 'outcomeUnknown')
      if (isDecided || currentTimeoutMs > 16 * timeoutMs) return outcome
    }
  }

  function readRefusalKind (frames: ResponseFrame[]): string | undefined {
    const last = frames.at(-1)
    return last?.kind === 'refused' ? last.refusal.kind : undefined
  }

  async function waitUntil (check: () => boolean): Promise<void> {
    while (!check()) await sleepMs(1)
  }

  function countStatementRuns (text: string): number {
    return instances.reduce((sum, i) => sum + i.record.statements.filter(s => s.text === text).length, 0)
  }

  it('writes to the primary and reads the write from a replica', async () => {
    await startService()
    const [created] = await run('CREATE TABLE t (id INTEGER PRIMARY KEY, note TEXT)')
    expect(created).to.include({ kind: 'ok' })
    const [written] = await run("INSERT INTO t VALUES (7, 'æ')")
    expect(written).to.deep.include({ kind: 'ok', affectedRows: 1, position: { term: 1, index: 2 } })
    const required = written!.kind === 'ok' ? written!.position : null
    const frames = await run('SELECT id, note, NULL FROM t', { required })
    expect(frames.map(f => f.kind)).to.deep.equal(['columns', 'rows', 'end', 'position'])
    expect(listCells(frames)).to.deep.equal([['7', 'æ', null]])
    expect(instances[0]!.record.statements.filter(s => s.text.startsWith('SELECT'))).to.have.length(0)
    expect(await run('SELECT * FROM nowhere')).to.have.nested.property('[0].kind', 'failed')
    expect((await run('SELECT id FROM t WHERE id = 8')).map(f => f.kind)).to.deep.equal(['columns', 'end', 'position'])
  })

  it('returns the same cells and columns as a direct connection, byte for byte', async () => {
    await startService()
    await run('CREATE TABLE t (id INTEGER PRIMARY KEY, big BIGINT, amount DECIMAL(10,2), day DATE, note TEXT, raw BLOB, ratio DOUBLE)')
    const [written] = await run("INSERT INTO t VALUES (9007199254740992, 9223372036854775807, 12.5, '2024-02-29', 'æ’s \\n 新 \\'', x'00FF270A5C', 0.1)")
    expect(written).to.include({ kind: 'ok', insertId: '9007199254740992' })
    const required = written?.kind === 'ok' ? written.position : null
    const direct = await mysql.createConnection({ host: '127.0.0.1', port: instances[0]!.port, user: 'camphorpitch', password: 'secret' })
    for (const text of ['SELECT id, big, amount, day, note, raw, ratio, NULL, id FROM t', 'SELECT * FROM t WHERE id = 0', "SELECT '' AS e, x'' AS b"]) {
      const frames = await run(text, { required })
      const [rows, fields] = await direct.query({ sql: text, rowsAsArray: true, typeCast: false })
      const columns = frames.flatMap(f => f.kind === 'columns' ? f.columns : [])
      expect(columns).to.deep.equal(fields.map(f => Object.fromEntries(Object.keys(columns[0]!).map(k => [k, Reflect.get(f, k)]))))
      expect(frames.flatMap(f => f.kind === 'rows' ? f.rows : [])).to.deep.equal(rows)
    }
    direct.destroy()
  })

  it('serves a read from a lagging replica if its maximum age allows that, and returns current data otherwise', async () => {
    await startService()
    await run('CREATE TABLE t (id INTEGER)')
    await waitUntil(() => instances.every(i => i.member.readStatus().applied.index === 1))
    group.refresh()
    for (const i of instances) i.applyFaults({ applyDelayMs: 400 })
    await run('INSERT INTO t VALUES (1)')
    const stale = await run('SELECT id FROM t', { required: null, maxAgeMs: 60_000 })
    expect(listCells(stale)).to.deep.equal([])
    expect(listCells(await run('SELECT id FROM t', { required: null, maxAgeMs: 1 }))).to.deep.equal([['1']])
  })

  it('isolates transactions, and refuses the statements of a lost transaction instead of running them outside it', async () => {
    await startService()
    await run('CREATE TABLE t (id INTEGER PRIMARY KEY)')
    const transactionId = await begin()
    await run('INSERT INTO t VALUES (1)', { transactionId })
    expect(listCells(await run('SELECT count(*) FROM t', { transactionId }))).to.deep.equal([['1']])
    expect(listCells(await run('SELECT count(*) FROM t', { required: null }))).to.deep.equal([['0']])
    for (const otherIdentity of [{ sessionId: 's2' }, { workspace: 'other' }]) {
      expect(readRefusalKind(await run('INSERT INTO t VALUES (2)', { transactionId, ...otherIdentity }))).to.equal('transactionLost')
    }
    const [committed] = await run('COMMIT', { transactionId, class: 'commit' })
    expect(committed).to.deep.include({ kind: 'ok', transactionId: null, position: { term: 1, index: 2 } })
    expect(readRefusalKind(await run('INSERT INTO t VALUES (3)', { transactionId }))).to.equal('transactionLost')
    const abandonedTransactionId = await begin()
    await run('INSERT INTO t VALUES (4)', { transactionId: abandonedTransactionId })
    service.abandon(abandonedTransactionId!)
    const lostTransactionId = await begin()
    await run('INSERT INTO t VALUES (5)', { transactionId: lostTransactionId })
    changePrimary(0, 2)
    expect(readRefusalKind(await run('INSERT INTO t VALUES (6)', { transactionId: lostTransactionId }))).to.equal('transactionLost')
    await run('INSERT INTO t VALUES (7)')
    expect(listCells(await run('SELECT id FROM t', { required: null }))).to.deep.equal([['1'], ['7']])
  })

  it('reports an unknown outcome when the reply or the second copy of a write is missing, and finds the outcome of a named write', async () => {
    await startService()
    const cut = { cut: { peers: ['db-1', 'db-2', 'db-3'] } }
    await run('CREATE TABLE t (id INTEGER PRIMARY KEY, n INTEGER)')
    await run('INSERT INTO t VALUES (1, 0), (2, 0)')
    const unnamedText = 'UPDATE t SET n = n + 1 WHERE id = 1'
    const dropReplies = (count: number): void => instances[0]!.applyFaults({ dropReplies: count })
    expect(await runUntilOutcome('outcomeUnknown', unnamedText, { decisiveText: unnamedText, injectFault: () => dropReplies(1), timeoutMs: 100 })).to.equal('outcomeUnknown')
    await run('UPDATE t SET n = n WHERE id = 1', { writeId: 'order-0' })
    expect(await runUntilOutcome('ok', 'UPDATE t SET n = n WHERE id = 1', { writeId: 'silent', decisiveText: 'COMMIT', injectFault: () => dropReplies(2), timeoutMs: 2_000 })).to.equal('ok')
    dropReplies(0)
    const named = { writeId: 'order-1', workspace: 'nordlys' }
    const text = 'UPDATE t SET n = n + 1'
    const [first] = await run(text, named)
    expect(first).to.deep.include({ kind: 'ok', affectedRows: 2 })
    expect((await run(text, named))[0]).to.deep.include({ kind: 'ok', affectedRows: 2, insertId: 0 })
    expect(readRefusalKind(await run('DELETE FROM t', named))).to.equal('notRunDenied')
    expect(readRefusalKind(await run('CREATE TABLE u (id INTEGER)', { writeId: 'ddl' }))).to.equal('notRunDenied')
    expect((await run(text, { ...named, workspace: 'other' }))[0]).to.include({ kind: 'ok' })
    const cutLinks = (): void => { for (const i of instances) i.applyFaults(cut) }
    expect(await runUntilOutcome('outcomeUnknown', text, { writeId: 'order-2', decisiveText: 'COMMIT', injectFault: cutLinks, timeoutMs: 100 })).to.equal('outcomeUnknown')
    for (const i of instances) i.applyFaults({ cut: { peers: [] } })
    expect((await run(text, { writeId: 'order-2' }))[0]).to.include({ kind: 'ok' })
    expect(listCells(await run('SELECT n FROM t', { required: null }))).to.deep.equal([[String(3 + countStatementRuns(unnamedText))], ['3']])
  })

  it('runs a named write once when its connection is closed at any step, whereas a repeated unnamed write runs twice', async () => {
    await startService()
    await run('CREATE TABLE t (id INTEGER PRIMARY KEY, n INTEGER)')
    await run('INSERT INTO t VALUES (1, 0)')
    for (let i = 0; i < 20; i++) {
      const responses = repeatUntilOk('UPDATE t SET n = n + 1', { writeId: `w-${i}`, timeoutMs: 2_000 })
      await waitUntil(() => countStatementRuns('BEGIN') > i)
      await sleepMs(i % 5)
      relays[0]!.cut()
      expect((await responses).at(-1)).to.deep.include({ kind: 'ok', affectedRows: 1 })
    }
    expect(listCells(await run('SELECT n FROM t', { required: null }))).to.deep.equal([['20']])
    const unnamedText = 'UPDATE t SET n = n + 2'
    const dropReply = (): void => instances[0]!.applyFaults({ dropReplies: 1 })
    expect(await runUntilOutcome('outcomeUnknown', unnamedText, { decisiveText: unnamedText, injectFault: dropReply, timeoutMs: 100 })).to.equal('outcomeUnknown')
    expect((await run(unnamedText)).map(f => f.kind)).to.deep.equal(['ok'])
    const unnamedRuns = countStatementRuns(unnamedText)
    expect(unnamedRuns, 'a repeated unnamed write runs twice').to.be.at.least(2)
    expect(listCells(await run('SELECT n FROM t', { required: null }))).to.deep.equal([[String(20 + 2 * unnamedRuns)]])
  })

  it('serves reads after a change of primary before any client has written in the new term', async () => {
    await startService()
    await run('CREATE TABLE t (id INTEGER)')
    const [written] = await run('INSERT INTO t VALUES (1)')
    const required = written?.kind === 'ok' ? written.position : null
    changePrimary(1, 2)
    const frames = await run('SELECT id FROM t', { required, timeoutMs: 1_000 })
    expect(frames.map(f => f.kind)).to.deep.equal(['columns', 'rows', 'end', 'position'])
    await waitUntil(() => instances[2]!.member.readStatus().applied.term === 2)
    group.refresh()
    const replicaReads = countStatementRuns('SELECT id FROM t')
    await run('SELECT id FROM t', { required, timeoutMs: 1_000 })
    expect(countStatementRuns('SELECT id FROM t')).to.equal(replicaReads + 1)
  })

  it('sends a read again to instances that could not confirm it when no other instance is left', async () => {
    await startService()
    await run('CREATE TABLE t (id INTEGER)')
    const [written] = await run('INSERT INTO t VALUES (1)')
    const required = written?.kind === 'ok' ? written.position : null
    await waitUntil(() => instances.every(i => i.member.readStatus().applied.index === required?.index))
    group.refresh()
    group.unreachable.add('db-1')
    group.remainingFencedProbes = 2
    const frames = await run('SELECT id FROM t', { required, timeoutMs: 3_000 })
    expect(frames.map(f => f.kind)).to.deep.equal(['columns', 'rows', 'end', 'position'])
    expect(countStatementRuns('SELECT id FROM t')).to.equal(3)
  })

  it('streams a large result in small parts to a slow consumer, and serves the next read after a result was cancelled', async () => {
    await startService()
    const text = 'WITH RECURSIVE c(n) AS (SELECT 1 UNION ALL SELECT n + 1 FROM c WHERE n < 16384) SELECT n, hex(zeroblob(512)) FROM c'
    let bytes = 0
    let largest = 0
    for await (const f of service.run(makeRequest(text, { class: 'read' }))) {
      if (f.kind !== 'rows') continue
      const size = f.rows.reduce((sum, r) => sum + r.reduce((s, c) => s + (c?.length ?? 0), 0), 0)
      bytes += size
      largest = Math.max(largest, size)
      await sleepMs(0)
    }
    expect(bytes).to.be.greaterThan(16 * 1024 * 1024)
    expect(largest).to.be.lessThan(70_000)
    for await (const f of service.run(makeRequest(text, { class: 'read' }))) {
      if (f.kind === 'rows') break
    }
    expect(listCells(await run('SELECT 5'))).to.deep.equal([['5']])
  })

  it('does not run statements that are cancelled while they wait for a connection', async () => {
    await startService({ statementDelayMs: 20 })
    await run('CREATE TABLE t (id INTEGER)')
    const abandonedResponses = Array.from({ length: 30 }, (_, n) => service.run(makeRequest(`INSERT INTO t VALUES (${n})`)))
    const firstFrames = abandonedResponses.map(g => g.next())
    await waitUntil(() => instances[0]!.record.statements.some(s => s.text.startsWith('INSERT')))
    await Promise.all(abandonedResponses.map(g => g.return()))
    await Promise.all(firstFrames)
    await run('INSERT INTO t VALUES (100)')
    expect(instances[0]!.record.statements.filter(s => s.text.startsWith('INSERT')).length).to.be.below(12)
  })

  it('keeps a transaction open when the client stops reading after the last frame of a response', async () => {
    await startService()
    await run('CREATE TABLE t (id INTEGER)')
    const transactionId = await begin()
    for await (const f of service.run(makeRequest('INSERT INTO t VALUES (1)', { transactionId }))) {
      if (f.kind === 'ok') break
    }
    for await (const f of service.run(makeRequest('SELECT id FROM t', { transactionId }))) {
      if (f.kind === 'end') break
    }
    expect((await run('COMMIT', { transactionId, class: 'commit' }))[0]).to.include({ kind: 'ok' })
  })

  // A connection that never closes would count against this VM's share for ever.
  it('closes a connection when the endpoint does not respond to the close', async () => {
    await startService()
    await run('CREATE TABLE t (id INTEGER)')
    const database: Database = { database: 'orders', endpoints: group.endpoints, user: 'camphorpitch', password: 'secret' }
    const closed = new Promise<void>((resolve, reject) => {
      openEndpointConnection({ endpoint: group.endpoints[0]!, database, handleClosed: resolve }).then(connection => {
        relays[0]!.stopForwarding()
        connection.close()
      }, reject)
    })
    await closed
  })

  it('closes the connections above a reduced share; while draining, refuses new statements and completes an open transaction', async () => {
    await startService()
    await run('CREATE TABLE t (id INTEGER)')
    const transactionId = await begin()
    await Promise.all(Array.from({ length: 12 }, () => run('INSERT INTO t VALUES (1)')))
    placement.share = 1
    for (const listener of placement.listeners) listener()
    await waitUntil(() => instances[0]!.record.countConnections() <= 1)
    let isDrained = false
    const drained = service.drain().then(() => { isDrained = true })
    expect(readRefusalKind(await run('SELECT 1'))).to.equal('notRunRetry')
    await run('INSERT INTO t VALUES (2)', { transactionId })
    expect(isDrained).to.equal(false)
    expect((await run('COMMIT', { transactionId, class: 'commit' }))[0]).to.include({ kind: 'ok' })
    await drained
  })

  it('completes all statements on an instance with few connections without exceeding its connection limit', async () => {
    await startService({ maxConnections: 2, statementDelayMs: 1 })
    await run('CREATE TABLE t (id INTEGER)')
    const responses = await Promise.all(Array.from({ length: 30 }, () => run('INSERT INTO t VALUES (1)')))
    expect(responses.map(a => a[0]!.kind)).to.deep.equal(Array(30).fill('ok'))
    expect(instances[0]!.record.maxConnections).to.be.at.most(2)
  })

  it('neither loses nor duplicates writes while primaries freeze and connections are closed', async () => {
    await startService({}, true)
    await run('CREATE TABLE t (id INTEGER)')
    const outcomes = new Map<number, string>()
    let ids = 0
    const sessionControl = { isOver: false }
    const runSession = async (n: number): Promise<void> => {
      const sessionId = `s${n}`
      let required: LogPosition | null = null
      while (!sessionControl.isOver) {
        const id = ++ids
        const [writeFrame] = await run(`INSERT INTO t VALUES (${id})`, { sessionId, required, writeId: n % 2 === 0 ? `w${id}` : null, timeoutMs: 3_000 })
        outcomes.set(id, writeFrame?.kind === 'refused' ? writeFrame.refusal.kind : writeFrame!.kind)
        if (writeFrame?.kind !== 'ok') continue
        required = writeFrame.position
        const read = await run(`SELECT id FROM t WHERE id = ${id}`, { sessionId, required, timeoutMs: 3_000 })
        if (read.some(f => f.kind === 'end')) expect(listCells(read)).to.deep.equal([[String(id)]])
        const transactionId = await tryBegin(sessionId, required)
        if (transactionId === null) continue
        const transactionWriteId = ++ids
        const frames = [...await run(`INSERT INTO t VALUES (${transactionWriteId})`, { sessionId, transactionId }), ...await run('COMMIT', { class: 'commit', sessionId, transactionId, timeoutMs: 3_000 })]
        const refusal = frames.find(f => f.kind === 'refused')
        outcomes.set(transactionWriteId, refusal === undefined ? 'ok' : refusal.refusal.kind)
      }
    }
    const sessions = [0, 1, 2, 3, 4, 5].map(runSession)
    const countAcknowledged = () => [...outcomes.values()].filter(o => o === 'ok').length
    for (let round = 0; round < 2; round++) {
      await waitUntil(() => countAcknowledged() >= 40 * (round + 1))
      for (const r of relays) r.cut()
      const frozenPrimary = findPrimaryName()
      instances.find(i => i.instance === frozenPrimary)!.applyFaults({ freeze: true })
      await waitUntil(() => findPrimaryName() !== undefined && findPrimaryName() !== frozenPrimary)
      const resumeAtCount = countAcknowledged() + 20
      await waitUntil(() => countAcknowledged() >= resumeAtCount)
      instances.find(i => i.instance === frozenPrimary)!.applyFaults({ freeze: false })
    }
    sessionControl.isOver = true
    await Promise.all(sessions)
    const counts = new Map<number, number>()
    for (const [id] of listCells(await run('SELECT id FROM t', { required: null, timeoutMs: 10_000 }))) counts.set(Number(id), (counts.get(Number(id)) ?? 0) + 1)
    for (const [id, outcome] of outcomes) {
      const count = counts.get(id) ?? 0
      expect(count, `${outcome} ${id}`).to.be.at.most(1)
      if (outcome === 'ok') expect(count, `acknowledged ${id}`).to.equal(1)
      if (outcome === 'notRunRetry' || outcome === 'transactionLost') expect(count, `${outcome} ${id}`).to.equal(0)
    }
  })
})
