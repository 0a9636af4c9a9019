import { once } from 'node:events'
import { connect } from 'node:net'
import { createLogger, MonotonicClock, type ResponseFrame, type Contract } from '@camphorpitch/wire'
import { expect } from 'chai'
import { createConnection } from 'mysql2'
import { start, stop } from 'nact'
import type { Configuration } from '../configuration/configuration.ts'
import { Limiter, type Admission } from '../limits/limiter.ts'
import type { RoutedFrame, StatementRouter } from '../statements/statement-router.ts'
import { createMetrics } from '../telemetry/metrics.ts'
import { startListener, type Listener } from './listener.ts'

const FRAMES = 4_000
const FRAME_BYTES = 64 * 1024
/** Far more than the socket buffers can hold, far fewer than the whole result has. */
const MAX_FRAMES_AHEAD = 1_000
const STALL_MS = 300
const LOGIN_TIMEOUT_MS = 200

class OpenLimiter extends Limiter {
  override async admit (): Promise<Admission> { return { admitted: true } }
}

const contract: Contract = { workspace: 'kari', rate: { statementsPerSecond: 1, burst: 1 }, open: true, databases: { orders: { access: 'read', defaultMaxAgeMs: 0 } }, statementTimeoutMs: 60_000, maxConnectionsPerVm: 9 }

async function startListenerWithRouter (run: StatementRouter['run']): Promise<{ listener: Listener, end: () => Promise<void> }> {
  const system = start()
  const configuration = { findContract: () => contract, findFleetSecret: () => undefined } as unknown as Configuration
  const listener = await startListener({
    host: '127.0.0.1',
    port: 0,
    vm: 'vm',
    system,
    logger: createLogger({ process: 'test', level: 'silent' }),
    loginTimeoutMs: LOGIN_TIMEOUT_MS,
    findKey: () => undefined,
    runner: {
      clock: new MonotonicClock(),
      logger: createLogger({ process: 'test', level: 'silent' }),
      configuration,
      limiter: new OpenLimiter(),
      router: { run, abandon: () => {} },
      metrics: createMetrics(),
      checkKey: () => ({ isAllowed: true }),
      createRequestId: () => 'r'
    }
  })
  const end = async () => {
    await listener.drain(0)
    stop(system)
  }
  return { listener, end }
}

describe('clients that stall', () => {
  it('are disconnected when they do not log in', async () => {
    const { listener, end } = await startListenerWithRouter(async function * () {})
    const socket = connect(listener.port, '127.0.0.1')
    socket.resume()
    await once(socket, 'close')
    await end()
  })

  it('stop the flow of rows from the router while they do not read', async () => {
    let generatedFrames = 0
    const cell = Buffer.alloc(FRAME_BYTES, 65)
    async function * run (): AsyncGenerator<RoutedFrame, void, void> {
      const emit = (frame: ResponseFrame): RoutedFrame => ({ vm: 'vm', frame })
      yield emit({ kind: 'columns', columns: [{ name: 'a', orgName: 'a', table: '', orgTable: '', schema: '', catalog: 'def', characterSet: 63, columnLength: 9, columnType: 252, flags: 0, decimals: 0 }] })
      for (generatedFrames = 0; generatedFrames < FRAMES; generatedFrames++) yield emit({ kind: 'rows', rows: [[cell]] })
      yield emit({ kind: 'end' })
    }
    const { listener, end } = await startListenerWithRouter(run)
    const client = createConnection({ host: '127.0.0.1', port: listener.port, user: 'kari', database: 'orders' })
    const query = client.query('SELECT a FROM t')
    let rows = 0
    const ended = new Promise<void>(resolve => query.on('end', () => resolve()))
    query.on('result', () => { rows += 1 })
    await new Promise<void>(resolve => query.on('fields', () => resolve()))
    const socket = (client as unknown as { stream: NodeJS.ReadableStream }).stream
    socket.pause()
    await new Promise(resolve => setTimeout(resolve, STALL_MS))
    expect(generatedFrames).to.be.lessThan(MAX_FRAMES_AHEAD)
    socket.resume()
    await ended
    expect(rows).to.equal(FRAMES)
    client.destroy()
    await end()
  })
})
