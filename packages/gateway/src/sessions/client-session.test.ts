import { once } from 'node:events'
import { connect, createServer, type AddressInfo } from 'node:net'
import { createLogger } from '@camphorpitch/wire'
import { expect } from 'chai'
import type { ResponseError, ClientStatement } from '../backend/statement.ts'
import { ClientTransport, type ClientResponse, type InputState, type OutputState } from '../clients/client-listener.ts'
import type { Configuration } from '../configuration/configuration.ts'
import type { Operation, Outcome } from '../statements/operation.ts'
import { VirtualClock } from '../testing/virtual-clock.ts'
import { VirtualTime } from '../testing/virtual-time.ts'
import { ClientSession } from './client-session.ts'
import { InputBudget } from './input-budget.ts'
import type { SessionEnd, SessionEnding } from './session-end.ts'
import type { SessionHost } from './session-host.ts'

const configuration: Configuration = {
  version: 1,
  routes: [{ name: 'r', database: 'orders', service: 's', consistency: 'primary', statementTimeoutMs: 1_000, objectiveMs: 400, priority: 1, maxStalenessMs: 0, isPublic: false }],
  services: [],
  workspaces: [{ name: 'lab', keys: ['k'] }],
  transactionIdleMs: 3_000
}
const withoutKey: Configuration = { ...configuration, version: 2, workspaces: [] }
const withoutDatabase: Configuration = { ...configuration, version: 2, routes: [] }
const CLOSE_TIMEOUT_MS = 20

/** Records what is sent: `welcome`, `refusal CODE`, `error CODE STATE`, `rows STATE`, `notice CODE`, `completion`, `close` and `destroy`. */
class RecordingTransport extends ClientTransport {
  readonly sent: string[] = []
  isPaused = false
  input: InputState = { incompleteBytes: 0, sinceLastByteMs: null }
  override sendWelcome (): void { this.sent.push('welcome') }
  override sendRefusal ({ code }: ResponseError): void { this.sent.push(`refusal ${code}`) }
  override sendResponse ({ error = null, state }: ClientResponse): void { this.sent.push(error === null ? `rows ${state}` : `error ${error.code} ${state}`) }
  override sendEndNotice ({ code }: ResponseError): void { this.sent.push(`notice ${code}`) }
  override sendNoticeCompletion (): void { this.sent.push('completion') }
  override pauseInput (): void { this.isPaused = true }
  override resumeInput (): void { this.isPaused = false }
  override discardInput (): void { this.sent.push('discard') }
  override close (): void { this.sent.push('close') }
  override destroy (): void { this.sent.push('destroy') }
  override readInputState (): InputState { return this.input }
  output: OutputState = { waitingBytes: 0, isFull: false }
  override readOutputState (): OutputState { return this.output }
}

function createHost (run: (operation: Operation) => Promise<Outcome>): SessionHost & { ends: SessionEnd[] } {
  const ends: SessionEnd[] = []
  const clock = new VirtualClock()
  const logger = createLogger({ process: 'test', level: 'silent' })
  return {
    ends,
    clock,
    logger,
    inputBudget: new InputBudget({ clock, logger }),
    waitForConfiguration: async () => configuration,
    readConfiguration: () => configuration,
    readTransactionIdleTimeoutMs: () => 3_000,
    admitOperation: async (): Promise<ResponseError | null> => null,
    runRead: run,
    runWrite: run,
    openTransaction: async () => ({ refusal: { code: 'busy', text: '' } }),
    recordOutcome: () => {},
    recordSessionEnd: end => { ends.push(end) },
    removeSession: () => {}
  }
}

const success: Outcome = { response: { rows: [], signature: 'x', error: null, state: 'idle', position: null }, endpoint: 'e' }
const ending: SessionEnding = { cause: 'drain', error: { code: 'busy', text: 'the VM stops' }, computeTimeoutMs: () => CLOSE_TIMEOUT_MS }
const writeStatement: ClientStatement = { id: '7f', text: 'WRITE 1 x', type: 'write' }
const readStatement: ClientStatement = { id: '80', text: 'READ 1', type: 'read' }
const beginStatement: ClientStatement = { id: '81', text: 'BEGIN', type: 'begin', isReadOnly: false }
const waitForEventLoopTurn = async (): Promise<void> => await new Promise(resolve => setImmediate(resolve))
const waitFor = async (ms: number): Promise<void> => await new Promise(resolve => setTimeout(resolve, ms))

/** Runs with timers that do not depend on how busy the machine is. */
async function runInVirtualTime (run: (time: VirtualTime) => Promise<void>): Promise<void> {
  const time = new VirtualTime()
  time.start()
  try {
    await run(time)
  } finally {
    time.stop()
  }
}

interface StartedSession {
  session: ClientSession
  transport: RecordingTransport
  ends: SessionEnd[]
  executedIds: string[]
  budget: InputBudget
  /** Lets the running statement succeed. */
  finish: () => Promise<void>
}

/** Starts a session whose statements run until `finish` is called. */
async function startSession (): Promise<StartedSession> {
  const executedIds: string[] = []
  let resolveOutcome: (outcome: Outcome) => void = () => {}
  const host = createHost(async ({ statement }) => {
    executedIds.push(statement.id)
    return await new Promise(resolve => { resolveOutcome = resolve })
  })
  const transport = new RecordingTransport()
  const session = new ClientSession('s', host, transport)
  session.handleStartup('orders', 'k')
  await waitForEventLoopTurn()
  transport.sent.length = 0
  const finish = async (): Promise<void> => {
    resolveOutcome(success)
    await waitForEventLoopTurn()
  }
  return { session, transport, ends: host.ends, executedIds, budget: host.inputBudget, finish }
}

describe('client session', () => {
  it('refuses a connection whose first message is no startup, and queues nothing of it', async () => {
    const transport = new RecordingTransport()
    const { ends, ...host } = createHost(async () => success)
    const session = new ClientSession('s', host, transport)
    for (let i = 0; i < 1_000; i++) session.handleMalformed('unknown message')
    expect(transport.sent).to.deep.equal(['refusal malformed', 'close'])
    session.handleClose()
    expect(ends[0]?.cause).to.equal('notStarted')
  })

  it('refuses a connection that sends no startup in time', async () => {
    await runInVirtualTime(async time => {
      const transport = new RecordingTransport()
      const session = new ClientSession('s', createHost(async () => success), transport)
      await time.advance(9_900)
      expect(transport.sent).to.deep.equal([])
      await time.advance(200)
      expect(transport.sent).to.deep.equal(['refusal timeout', 'close'])
      session.handleClose()
    })
  })

  it('reads no statement before its session is accepted', async () => {
    const transport = new RecordingTransport()
    const session = new ClientSession('s', createHost(async () => success), transport)
    session.handleStartup('orders', 'k')
    expect(transport.isPaused).to.equal(true)
    await waitForEventLoopTurn()
    expect(transport.isPaused).to.equal(false)
    expect(transport.sent).to.deep.equal(['welcome'])
    session.handleClose()
  })

  it('stops reading once large statements are queued, and goes on when they have run', async () => {
    const { session, transport, finish, executedIds } = await startSession()
    for (const id of ['1', '2']) session.handleStatement({ id, text: `WRITE 1 ${'x'.repeat(100_000)}`, type: 'write' })
    expect(transport.isPaused).to.equal(true)
    await waitForEventLoopTurn()
    await finish()
    await waitForEventLoopTurn()
    expect(executedIds).to.deep.equal(['1', '2'])
    expect(transport.isPaused).to.equal(false)
    session.handleClose()
  })

  it('holds nothing of the input budget once its connection has closed, although its statement ends after that', async () => {
    const { session, transport, finish, budget } = await startSession()
    session.handleStatement(writeStatement)
    transport.input = { incompleteBytes: 100, sinceLastByteMs: 0 }
    session.handleInput()
    expect(budget.totalBytes).to.be.greaterThan(100)
    await waitForEventLoopTurn()
    session.handleClose()
    await finish()
    expect(budget.totalBytes).to.equal(0)
  })

  it('rolls back the transaction of a statement that is refused as clients\' input takes too much memory', async () => {
    const clock = new VirtualClock()
    const logger = createLogger({ process: 'test', level: 'silent' })
    const host = { ...createHost(async () => success), inputBudget: new InputBudget({ clock, logger, maxBytes: 1_000 }) }
    const transport = new RecordingTransport()
    const session = new ClientSession('s', host, transport)
    session.handleStartup('orders', 'k')
    await waitForEventLoopTurn()
    session.handleStatement(beginStatement)
    await waitForEventLoopTurn()
    session.handleStatement({ ...writeStatement, text: `WRITE 1 ${'x'.repeat(2_000)}` })
    await waitForEventLoopTurn()
    expect(transport.sent).to.deep.equal(['welcome', 'rows open', 'error busy failed'])
    session.handleClose()
  })

  it('does not run statements that cross the notice of its end, and answers each of them', async () => {
    const { session, transport, executedIds } = await startSession()
    session.end(ending)
    expect(transport.sent).to.deep.equal(['notice busy'])
    session.handleStatement(writeStatement)
    session.handleStatement({ id: '8', text: 'SET a b', type: 'setValue', name: 'a', value: 'b' })
    session.handleMalformed('unknown message')
    await waitForEventLoopTurn()
    expect(executedIds).to.deep.equal([])
    expect(transport.sent).to.deep.equal(['notice busy', 'completion', 'notice busy', 'completion', 'notice busy', 'completion', 'notice busy'])
    session.handleClose()
  })

  it('sends the response to a running statement before it ends', async () => {
    const { session, transport, finish } = await startSession()
    session.handleStatement(writeStatement)
    await waitForEventLoopTurn()
    session.end(ending)
    expect(transport.sent).to.deep.equal([])
    await finish()
    expect(transport.sent).to.deep.equal(['rows idle', 'notice busy'])
    session.handleClose()
  })

  // Review case 3: the earlier read ran with the values and prepared statements that the client had replaced since.
  it('acknowledges no change of its state while an attempt of an answered read may still run', async () => {
    let endAttempt = (): void => {}
    const host = createHost(async ({ attempts }) => {
      attempts?.add(new Promise<void>(resolve => { endAttempt = resolve }))
      return success
    })
    const transport = new RecordingTransport()
    const session = new ClientSession('s', host, transport)
    session.handleStartup('orders', 'k')
    await waitForEventLoopTurn()
    session.handleStatement(readStatement)
    session.handleStatement({ id: '8', text: 'SET a b', type: 'setValue', name: 'a', value: 'b' })
    await waitForEventLoopTurn()
    expect(transport.sent).to.deep.equal(['welcome', 'rows idle'])
    endAttempt()
    await waitForEventLoopTurn()
    expect(transport.sent).to.deep.equal(['welcome', 'rows idle', 'rows idle'])
    session.handleClose()
  })

  it('lets an open transaction end before it tells the client', async () => {
    const { session, transport } = await startSession()
    session.handleStatement(beginStatement)
    await waitForEventLoopTurn()
    session.end(ending)
    session.handleStatement({ id: '82', text: 'ROLLBACK', type: 'rollback' })
    await waitForEventLoopTurn()
    expect(transport.sent).to.deep.equal(['rows open', 'rows idle', 'notice busy'])
    session.handleClose()
  })

  it('closes the connection of a client that does not, and destroys it if it does not end', async () => {
    const { session, transport, ends } = await startSession()
    await runInVirtualTime(async time => {
      session.end(ending)
      await time.advance(CLOSE_TIMEOUT_MS * 4)
    })
    expect(transport.sent).to.deep.equal(['notice busy', 'close', 'destroy'])
    session.handleClose()
    expect(ends[0]).to.include({ cause: 'drain', answered: 0 })
  })

  it('does not close the connection while a message is arriving', async () => {
    const { session, transport } = await startSession()
    await runInVirtualTime(async time => {
      session.end(ending)
      transport.input = { incompleteBytes: 12, sinceLastByteMs: 1 }
      await time.advance(CLOSE_TIMEOUT_MS * 3)
    })
    session.handleStatement(writeStatement)
    expect(transport.sent).to.deep.equal(['notice busy', 'completion', 'notice busy'])
    session.handleClose()
  })

  it('answers a statement that waits unread when the time to close its connection has come', async () => {
    const { session, transport } = await startSession()
    const server = createServer(socket => socket.on('data', () => session.handleStatement(writeStatement))).listen(0, '127.0.0.1')
    await once(server, 'listening')
    const client = connect((server.address() as AddressInfo).port, '127.0.0.1')
    await Promise.all([once(client, 'connect'), once(server, 'connection')])
    session.end(ending)
    client.write('x')
    const endsAtMs = performance.now() + 2 * CLOSE_TIMEOUT_MS
    while (performance.now() < endsAtMs);
    await waitFor(CLOSE_TIMEOUT_MS)
    expect(transport.sent.slice(0, 4)).to.deep.equal(['notice busy', 'completion', 'notice busy', 'close'])
    session.handleClose()
    client.destroy()
    server.close()
  })

  for (const { change, version, code } of [{ change: 'key', version: withoutKey, code: 'noAuth' }, { change: 'database', version: withoutDatabase, code: 'noDatabase' }]) {
    it(`tells the client when its ${change} is no longer valid, and does not run a statement that crosses the notice`, async () => {
      const { session, transport, executedIds } = await startSession()
      session.applyConfiguration(version)
      session.handleStatement(writeStatement)
      expect(transport.sent).to.deep.equal([`notice ${code}`, 'completion', `notice ${code}`])
      expect(executedIds).to.deep.equal([])
      session.handleClose()
    })
  }

  it('tells a busy client that its key is no longer valid once it is idle, unless the key is valid again', async () => {
    const { session, transport, finish } = await startSession()
    session.handleStatement(writeStatement)
    await waitForEventLoopTurn()
    session.applyConfiguration(withoutKey)
    session.applyConfiguration(configuration)
    await finish()
    expect(transport.sent).to.deep.equal(['rows idle'])
    session.handleStatement(writeStatement)
    await waitForEventLoopTurn()
    session.applyConfiguration(withoutKey)
    await finish()
    expect(transport.sent).to.deep.equal(['rows idle', 'rows idle', 'notice noAuth'])
    session.applyConfiguration(configuration)
    session.handleStatement(writeStatement)
    expect(transport.sent.slice(3)).to.deep.equal(['completion', 'notice busy'])
    session.handleClose()
  })

  it('reads no more input while many statements are queued, and answers all of them', async () => {
    const { session, transport, finish } = await startSession()
    session.handleStatement(writeStatement)
    for (let i = 0; i < 300; i++) session.handleStatement({ id: `s${i}`, text: 'SET a b', type: 'setValue', name: 'a', value: 'b' })
    expect(transport.isPaused).to.equal(true)
    await waitForEventLoopTurn()
    await finish()
    while (transport.sent.length < 301) await waitForEventLoopTurn()
    expect(transport.isPaused).to.equal(false)
    expect(transport.sent).to.have.length(301)
    session.handleClose()
  })

  it('refuses a startup that crosses the notice of its end', async () => {
    const transport = new RecordingTransport()
    const session = new ClientSession('s', createHost(async () => success), transport)
    session.end(ending)
    session.handleStartup('orders', 'k')
    await waitForEventLoopTurn()
    expect(transport.sent).to.deep.equal(['notice busy', 'close'])
    session.handleClose()
  })

  it('refuses a startup once no session may begin, and goes on with one that has begun', async () => {
    const late = new RecordingTransport()
    const lateSession = new ClientSession('late', createHost(async () => success), late)
    lateSession.refuseStartup(ending)
    lateSession.handleStartup('orders', 'k')
    const { session, transport } = await startSession()
    session.refuseStartup(ending)
    session.handleStatement(writeStatement)
    await waitForEventLoopTurn()
    expect(late.sent).to.deep.equal(['refusal busy', 'close'])
    expect(transport.sent).to.deep.equal([])
    session.handleClose()
    lateSession.handleClose()
  })

  it('answers a startup whose admission was under way when its end was requested', async () => {
    const transport = new RecordingTransport()
    const session = new ClientSession('s', createHost(async () => success), transport)
    session.handleStartup('orders', 'k')
    session.end(ending)
    await waitForEventLoopTurn()
    expect(transport.sent).to.deep.equal(['welcome', 'notice busy'])
    session.handleClose()
  })

  it('finishes its statements before it ends at its client\'s request', async () => {
    const { session, transport, finish } = await startSession()
    session.handleStatement(writeStatement)
    session.handleTerminate()
    await waitForEventLoopTurn()
    await finish()
    expect(transport.sent).to.deep.equal(['rows idle', 'close'])
    session.handleClose()
  })

  it('answers the statements before a message that is too large', async () => {
    const { session, transport, finish } = await startSession()
    session.handleStatement(writeStatement)
    session.handleTooLarge()
    await waitForEventLoopTurn()
    await finish()
    expect(transport.sent).to.deep.equal(['rows idle', 'error tooLarge idle', 'close'])
    session.handleClose()
  })
})

describe('values and prepared statements that sessions keep', () => {
  const large = 'x'.repeat(1_048_576)
  const set = (name: string, value = large): ClientStatement => ({ id: name, text: 'SET', type: 'setValue', name, value })

  async function run (session: ClientSession, statement: ClientStatement): Promise<void> {
    session.handleStatement(statement)
    await waitForEventLoopTurn()
  }

  // Guards against peers that end the process with values that nothing bounds.
  it('are refused as not run once they take too much memory, while replacing and dropping them goes on', async () => {
    const { session, transport, budget } = await startSession()
    for (let i = 0; i < 40; i++) await run(session, set(`name${i}`))
    expect(transport.sent.filter(s => s === 'rows idle')).to.have.length(31)
    expect(transport.sent.slice(31)).to.deep.equal(Array(9).fill('error busy idle'))
    expect(budget.totalBytes).to.be.below(32 * 1_048_576)
    await run(session, set('name0', 'small'))
    await run(session, set('name40'))
    expect(transport.sent.slice(40)).to.deep.equal(['rows idle', 'rows idle'])
    session.handleClose()
    expect(budget.totalBytes).to.equal(0)
  })

  it('give up the open transaction if they are refused, as the answer promises that nothing of it is kept', async () => {
    const { session, transport } = await startSession()
    for (let i = 0; i < 31; i++) await run(session, set(`name${i}`))
    for (const s of [beginStatement, set('name31'), writeStatement]) await run(session, s)
    expect(transport.sent.slice(31)).to.deep.equal(['rows open', 'error busy failed', 'error malformed failed'])
    session.handleClose()
  })

  it('are counted as what is left of them when they are prepared again and closed', async () => {
    const { session, budget } = await startSession()
    const prepare = (shape: string): ClientStatement => ({ id: '1', text: 'PARSE', type: 'prepare', name: 'q', mode: 'read', shape })
    for (const s of [prepare(large), prepare('short')]) await run(session, s)
    expect(budget.totalBytes).to.be.within(1, 1_000)
    await run(session, { id: '2', text: 'CLOSE', type: 'closeStatement', name: 'q' })
    expect(budget.totalBytes).to.equal(0)
    session.handleClose()
  })
})

describe('a client that does not take its responses', () => {
  const isFull = { waitingBytes: 100_000, isFull: true }
  const readAt = (id: string): ClientStatement => ({ ...readStatement, id })

  // Guards against peers that end the process with responses that pile up.
  it('has its next statement run once it has taken them', async () => {
    const { session, transport, executedIds, finish } = await startSession()
    for (const id of ['1', '2', '3']) session.handleStatement(readAt(id))
    await waitForEventLoopTurn()
    transport.output = isFull
    await finish()
    expect(executedIds).to.deep.equal(['1'])
    transport.output = { waitingBytes: 0, isFull: false }
    session.handleDrain()
    await waitForEventLoopTurn()
    expect(executedIds).to.deep.equal(['1', '2'])
    await finish()
    await finish()
    expect(transport.sent).to.deep.equal(['rows idle', 'rows idle', 'rows idle'])
    session.handleClose()
  })

  it('has its other statements refused at once when the VM stops', async () => {
    const { session, transport, executedIds, finish } = await startSession()
    for (const id of ['1', '2']) session.handleStatement(readAt(id))
    await waitForEventLoopTurn()
    transport.output = isFull
    await finish()
    session.stopAdmission(ending)
    await waitForEventLoopTurn()
    expect(executedIds).to.deep.equal(['1'])
    expect(transport.sent.slice(0, 2)).to.deep.equal(['rows idle', 'error busy idle'])
    session.handleClose()
  })

  it('is ended if it holds most of the memory for clients, and that is counted by its cause', async () => {
    const { session, transport, ends, budget, finish } = await startSession()
    session.handleStatement(readAt('1'))
    await waitForEventLoopTurn()
    transport.output = { waitingBytes: 33 * 1_048_576, isFull: true }
    await finish()
    expect(transport.sent).to.deep.equal(['rows idle', 'destroy'])
    expect(budget.totalBytes).to.equal(0)
    session.handleClose()
    expect(ends[0]?.cause).to.equal('outputRefused')
  })
})

describe('client session at the end of the process', () => {
  it('refuses statements that have not begun, and waits for the one that runs', async () => {
    const { session, transport, executedIds, finish } = await startSession()
    session.handleStatement(writeStatement)
    session.handleStatement(readStatement)
    await waitForEventLoopTurn()
    session.stopAdmission(ending)
    await finish()
    expect(transport.sent).to.deep.equal(['rows idle', 'error busy idle', 'notice busy'])
    expect(executedIds).to.deep.equal(['7f'])
    session.handleClose()
  })

  for (const { statement, error } of [{ statement: writeStatement, error: 'inDoubt' }, { statement: readStatement, error: 'failed' }]) {
    it(`answers a ${statement.type} that does not end in time with ${error}, and those behind it as not run`, async () => {
      const { session, transport, ends, executedIds, finish } = await startSession()
      session.handleStatement(statement)
      session.handleStatement({ ...writeStatement, id: '90' })
      await waitForEventLoopTurn()
      session.terminate()
      await finish()
      expect(transport.sent).to.deep.equal([`error ${error} idle`, 'error busy idle', 'close'])
      expect(executedIds).to.deep.equal([statement.id])
      session.handleClose()
      expect(ends).to.have.length(1)
      expect(ends[0]).to.deep.include({ cause: 'processExit', answered: 2, unansweredIds: [] })
    })
  }

  it('tells the client of an idle transaction that nothing of it is kept', async () => {
    const { session, transport } = await startSession()
    session.handleStatement(beginStatement)
    await waitForEventLoopTurn()
    session.stopAdmission(ending)
    session.handleStatement({ id: '83', text: 'COMMIT', type: 'commit' })
    expect(transport.sent).to.deep.equal(['rows open', 'notice aborted', 'completion', 'notice busy'])
    session.handleClose()
  })

  it('counts statements that arrive after its connection was closed as unanswered', async () => {
    const { session, ends } = await startSession()
    session.terminate()
    for (let i = 0; i < 300; i++) session.handleStatement({ ...writeStatement, id: `q${i}` })
    session.handleClose()
    expect(ends[0]).to.deep.include({ cause: 'processExit', unanswered: 300 })
    expect(ends[0]!.unansweredIds).to.have.length.below(10)
  })
})
