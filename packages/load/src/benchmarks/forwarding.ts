import { createLogger, MonotonicClock, WsPeerNetwork, type ResponseFrame, type StatementRequest } from '@camphorpitch/wire'
import { DatabaseService, RemoteStatements, StatementServer, STATEMENTS_SLICE, parseStatementMessage } from '@camphorpitch/proxy'

/**
 * Measures the CPU time of forwarding a statement from the entry VM to a serving VM, by the number of
 * rows in the result set. Both ends run in this process and are connected over the loopback interface.
 *
 * @example node --import=tsx packages/load/src/benchmarks/forwarding.ts
 */

const WARM_UP_STATEMENTS = 2_000
const MEASURED_STATEMENTS = 20_000
const CONCURRENCY = 16

/** Responds to each statement with the same result set of `rows` rows. */
class FixedResultService extends DatabaseService {
  readonly #rows: Array<Array<Uint8Array | null>>

  constructor (rows: number) {
    super()
    this.#rows = Array.from({ length: rows }, () => [Buffer.from('1234'), Buffer.from('coral red'), null])
  }

  override async * run (): AsyncGenerator<ResponseFrame, void, void> {
    const column = { orgName: 'a', table: 't', orgTable: 't', schema: 's', catalog: 'def', characterSet: 45, columnLength: 20, columnType: 253, flags: 0, decimals: 0 }
    yield { kind: 'columns', columns: ['id', 'shade', 'note'].map(name => ({ ...column, name })) }
    yield { kind: 'rows', rows: this.#rows }
    yield { kind: 'end' }
    await Promise.resolve()
    yield { kind: 'position', position: { term: 1, index: 2 } }
  }

  override hasTransaction (): boolean { return false }
  override abandon (): void {}
  override async drain (): Promise<void> {}
  override stop (): void {}
}

const request: StatementRequest = { requestId: 'r', sessionId: 's', workspace: 'w', database: 'd', text: 'SELECT id, shade, note FROM orders WHERE id = 7', class: 'read', required: null, maxAgeMs: 0, timeoutMs: 20_000, transactionId: null, writeId: null }

async function runStatements (remote: RemoteStatements, count: number): Promise<void> {
  let remaining = count
  await Promise.all(Array.from({ length: CONCURRENCY }, async () => {
    while (remaining-- > 0) {
      for await (const frame of remote.run('server', request)) {
        if (frame.kind === 'failed') throw new Error('forwarded statement failed')
      }
    }
  }))
}

/** CPU time in microseconds that both ends together spend on one forwarded statement. */
async function measureForwarding (rows: number): Promise<number> {
  const clock = new MonotonicClock()
  const logger = createLogger({ process: 'benchmark', level: 'silent' })
  let port = 0
  const findAddress = () => ({ host: '127.0.0.1', port })
  const createNetwork = (vm: string) => new WsPeerNetwork({ self: { version: 1, vm, incarnation: 1, failureDomain: 'a' }, clock, logger, findAddress })
  const serverNetwork = createNetwork('server')
  const entryNetwork = createNetwork('entry')
  port = await serverNetwork.listen('127.0.0.1', 0)
  const service = new FixedResultService(rows)
  const server = new StatementServer({ peers: serverNetwork, logger, findService: () => service })
  serverNetwork.subscribe(STATEMENTS_SLICE, (from, body) => {
    const message = parseStatementMessage(body)
    if (message !== undefined && message.type !== 'frame') server.handleMessage(from.vm, message)
  })
  const remote = new RemoteStatements(entryNetwork)
  entryNetwork.subscribe(STATEMENTS_SLICE, (from, body) => {
    const message = parseStatementMessage(body)
    if (message?.type === 'frame') remote.handleFrame(from.vm, message)
  })
  await runStatements(remote, WARM_UP_STATEMENTS)
  const cpuBefore = process.cpuUsage()
  await runStatements(remote, MEASURED_STATEMENTS)
  const cpuUsed = process.cpuUsage(cpuBefore)
  await Promise.all([entryNetwork.stop(), serverNetwork.stop()])
  return (cpuUsed.user + cpuUsed.system) / MEASURED_STATEMENTS
}

for (const rows of [1, 10, 100]) {
  const microseconds = await measureForwarding(rows)
  process.stdout.write(`${JSON.stringify({ benchmark: 'forwarding', rows, cpuMicrosecondsPerStatement: Math.round(microseconds) })}\n`)
}
process.exit(0)
