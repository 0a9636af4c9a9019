import { setTimeout as wait } from 'node:timers/promises'
import { measurePath, readCpuSeconds, type PathResult } from './bench/measure-path.ts'
import { createWorkspace } from './demo/workspace-clients.ts'
import { handleInterrupt } from './fleet/child-process.ts'
import { startFleet, type Fleet } from './fleet/start-fleet.ts'
import { createConnection, type PoolOptions } from 'mysql2/promise'

/**
 * Compares statements through one proxy with statements on direct connections to the primary. Both
 * paths are measured in alternating rounds of one run.
 *
 * @example npm run bench
 */

const WORKSPACE = 'bench'
const DATABASE = 'bench'
const ROUNDS = 3
const ROUND_DURATION_MS = 2_000
const CLIENT_COUNTS = [1, 3]
const SETTLE_DURATION_MS = 2_000
const CREATE_TABLE = 'CREATE TABLE IF NOT EXISTS bench_entries (id INTEGER, quantity INTEGER)'

const statementFormats = {
  read: () => 'SELECT COUNT(*) FROM bench_entries WHERE id = -1',
  write: (n: number) => `INSERT INTO bench_entries VALUES (${n}, 1)`
}

interface OperationResult {
  operation: string
  clients: number
  direct: PathResult
  proxy: PathResult
  /** Throughput through the proxy divided by that of the direct connections. */
  throughputRatio: number
  p50Ratio: number
  p99Ratio: number
  /** CPU time of the proxy per statement, in microseconds. */
  cpuMicrosPerStatement: number
}

async function startBenchFleet (): Promise<{ fleet: Fleet, direct: PoolOptions, proxy: PoolOptions }> {
  const fleet = await startFleet({ vms: 1, databases: [DATABASE], endpoint: { connectDelayMs: 0, replicationDelayMs: 0 } })
  const { key } = await createWorkspace(fleet, { workspace: WORKSPACE, databases: [DATABASE], rate: { statementsPerSecond: 1_000_000, burst: 1_000_000 } })
  const direct = { host: fleet.host, port: fleet.endpoints[0]!.port, user: 'camphorpitch', password: '' }
  const proxy = { host: fleet.host, port: fleet.vms[0]!.callersPort, user: WORKSPACE, password: key, database: DATABASE }
  await createTable(proxy)
  await wait(SETTLE_DURATION_MS)
  return { fleet, direct, proxy }
}

/** Creates the table through the proxy, with retries until the proxy has received the workspace's contract and keys. */
async function createTable (options: PoolOptions): Promise<void> {
  for (let retriesLeft = 50; ; retriesLeft--) {
    try {
      const connection = await createConnection(options)
      await connection.query(CREATE_TABLE)
      await connection.end()
      return
    } catch (error) {
      if (retriesLeft === 0) throw error
      await wait(200)
    }
  }
}

/** Merges the results of all rounds: the sum of the statements and the median of each other value. */
function mergeResults (results: readonly PathResult[]): PathResult {
  const pickMedian = (key: keyof PathResult) => results.map(r => r[key]).sort((a, b) => a - b)[Math.floor(results.length / 2)]!
  return {
    statements: results.reduce((total, r) => total + r.statements, 0),
    statementsPerSecond: pickMedian('statementsPerSecond'),
    p50Ms: pickMedian('p50Ms'),
    p99Ms: pickMedian('p99Ms')
  }
}

async function measureOperation (benchFleet: Awaited<ReturnType<typeof startBenchFleet>>, operation: keyof typeof statementFormats, clients: number): Promise<OperationResult> {
  const formatStatement = statementFormats[operation]
  const { host, metricsPort } = { host: benchFleet.fleet.host, metricsPort: benchFleet.fleet.vms[0]!.metricsPort }
  const directResults: PathResult[] = []
  const proxyResults: PathResult[] = []
  let cpuSeconds = 0
  for (let round = 0; round < ROUNDS; round++) {
    directResults.push(await measurePath({ connection: benchFleet.direct, clients, durationMs: ROUND_DURATION_MS, formatStatement }))
    const cpuSecondsBefore = await readCpuSeconds(host, metricsPort)
    proxyResults.push(await measurePath({ connection: benchFleet.proxy, clients, durationMs: ROUND_DURATION_MS, formatStatement }))
    cpuSeconds += await readCpuSeconds(host, metricsPort) - cpuSecondsBefore
  }
  const directResult = mergeResults(directResults)
  const proxyResult = mergeResults(proxyResults)
  return {
    operation,
    clients,
    direct: directResult,
    proxy: proxyResult,
    throughputRatio: proxyResult.statementsPerSecond / directResult.statementsPerSecond,
    p50Ratio: proxyResult.p50Ms / directResult.p50Ms,
    p99Ratio: proxyResult.p99Ms / directResult.p99Ms,
    cpuMicrosPerStatement: cpuSeconds * 1_000_000 / proxyResult.statements
  }
}

function formatRow ({ operation, clients, direct, proxy, ...comparison }: OperationResult): Record<string, string | number> {
  return {
    operation,
    clients,
    'direct/s': direct.statementsPerSecond,
    'proxy/s': proxy.statementsPerSecond,
    ratio: comparison.throughputRatio.toFixed(2),
    'direct p50 ms': direct.p50Ms.toFixed(2),
    'proxy p50 ms': proxy.p50Ms.toFixed(2),
    'direct p99 ms': direct.p99Ms.toFixed(2),
    'proxy p99 ms': proxy.p99Ms.toFixed(2),
    'proxy CPU us/statement': comparison.cpuMicrosPerStatement.toFixed(0)
  }
}

handleInterrupt()
const benchFleet = await startBenchFleet()
try {
  const rows: OperationResult[] = []
  for (const operation of ['read', 'write'] as const) {
    for (const clients of CLIENT_COUNTS) rows.push(await measureOperation(benchFleet, operation, clients))
  }
  console.table(rows.map(formatRow))
  console.log(JSON.stringify({ benchmark: 'statements', rows }))
} finally {
  await benchFleet.fleet.stop()
}
