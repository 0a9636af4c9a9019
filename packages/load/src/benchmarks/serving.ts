import { performance } from 'node:perf_hooks'
import { createLogger, MonotonicClock, type ResponseFrame, type Database, type LogPosition, type StatementRequest } from '@camphorpitch/wire'
import mysql, { type Connection } from 'mysql2/promise'
import { start, stop } from 'nact'
import type { GroupView } from '../../../proxy/src/failover/group-view.ts'
import { startGroupView } from '../../../proxy/src/failover/start-group-view.ts'
import { PlacementView } from '../../../proxy/src/membership/placement-view.ts'
import { startDatabaseService } from '../../../proxy/src/serving/start-database-service.ts'
import type { DatabaseService } from '../../../proxy/src/statements/database-service.ts'
import { startFleet, type Fleet } from '../fleet/start-fleet.ts'

/**
 * Compares the cost of a statement through `DatabaseService` with that of a direct connection to the
 * same stand-ins, in one run, and the fraction of reads that replicas serve with the highest possible one.
 *
 * Each stand-in runs in a separate process. The CPU time is that of this process, which runs the service,
 * the clients and the direct connections.
 *
 * @example npm run build && node --import=tsx packages/load/src/benchmarks/serving.ts
 */

const DATABASE = 'orders'
const STATEMENT_COUNT = 1_500
const CONCURRENCY_LEVELS = [1, 8]
const APPLY_DELAYS_MS = [0, 5, 20]
const ROUNDS_PER_SESSION = 120
const SESSION_COUNT = 4

/** Placement of a fleet with this VM only, which serves every database. */
class SingleVmPlacement extends PlacementView {
  override listServingVms (): readonly string[] { return [] }
  override listRankedServingVms (): readonly string[] { return [] }
  override isServing (): boolean { return true }
  override listServedDatabases (): readonly string[] { return [] }
  /** Leaves two connections for the control connections of the group view. */
  override computeConnectionShare (_database: string, maxConnections: number): number { return maxConnections - 2 }
  override subscribe (): void {}
}

interface ServingBenchmark {
  fleet: Fleet
  group: GroupView
  service: DatabaseService
  stop: () => Promise<void>
}

async function startBenchmark (): Promise<ServingBenchmark> {
  const fleet = await startFleet({ vms: 0, databases: [DATABASE], endpoint: { connectDelayMs: 12, maxConnections: 20, slots: 3 } })
  const endpoints = fleet.endpoints.map(e => ({ endpoint: e.endpoint, host: fleet.host, port: e.port, failureDomain: e.failureDomain, region: 'r', maxConnections: 20, slots: 3 }))
  const database: Database = { database: DATABASE, endpoints, user: 'camphorpitch', password: '' }
  const system = start()
  const common = { system, clock: new MonotonicClock(), logger: createLogger({ process: 'benchmark', level: 'silent' }), database }
  const group = startGroupView({ ...common, vm: 'vm-1', incarnation: 1 })
  const service = startDatabaseService({ ...common, group, placement: new SingleVmPlacement(), failureDomain: 'north' })
  while (group.findPrimary() === undefined) await waitMs(10)
  return {
    fleet,
    group,
    service,
    stop: async () => {
      service.stop()
      stop(system)
      await fleet.stop()
    }
  }
}

function waitMs (ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}

let requestCount = 0

function makeRequest (text: string, options: Partial<StatementRequest> = {}): StatementRequest {
  return {
    requestId: `r${++requestCount}`,
    sessionId: 's',
    workspace: 'w',
    database: DATABASE,
    text,
    class: text.startsWith('SELECT') ? 'read' : 'write',
    required: { term: 0, index: 0 },
    maxAgeMs: 0,
    timeoutMs: 10_000,
    transactionId: null,
    writeId: null,
    ...options
  }
}

/**
 * Runs one statement through the service and returns its response frames.
 *
 * @throws Error when the statement is refused or fails; the message is the last frame as JSON
 */
async function runStatement (service: DatabaseService, request: StatementRequest): Promise<ResponseFrame[]> {
  const frames: ResponseFrame[] = []
  for await (const f of service.run(request)) frames.push(f)
  const last = frames.at(-1)
  if (last?.kind === 'refused' || last?.kind === 'failed') throw new Error(JSON.stringify(last))
  return frames
}

/** Cost of one statement on one path; times in microseconds, `perSecond` is the throughput of all clients together. */
interface StatementCost { statement: string, concurrency: number, path: string, meanUs: number, p99Us: number, perSecond: number, cpuUs: number }

/** Runs statements on `concurrency` clients at once; `run` executes one statement for the client with the given number. */
async function measureCost (statement: string, path: string, concurrency: number, run: (client: number) => Promise<unknown>): Promise<StatementCost> {
  const clients = Array.from({ length: concurrency }, (_, i) => i)
  await Promise.all(clients.map(async client => { for (let i = 0; i < 50; i++) await run(client) }))
  const samples: number[] = []
  const cpuBefore = process.cpuUsage()
  const startedAtMs = performance.now()
  await Promise.all(clients.map(async client => {
    for (let i = 0; i < STATEMENT_COUNT / concurrency; i++) {
      const sentAtMs = performance.now()
      await run(client)
      samples.push((performance.now() - sentAtMs) * 1_000)
    }
  }))
  const elapsedMs = performance.now() - startedAtMs
  const cpuUsed = process.cpuUsage(cpuBefore)
  samples.sort((a, b) => a - b)
  return {
    statement,
    concurrency,
    path,
    meanUs: Math.round(samples.reduce((a, b) => a + b, 0) / samples.length),
    p99Us: Math.round(samples[Math.floor(samples.length * 0.99)] ?? 0),
    perSecond: Math.round(samples.length / elapsedMs * 1_000),
    cpuUs: Math.round((cpuUsed.user + cpuUsed.system) / samples.length)
  }
}

async function openDirectConnections (fleet: Fleet, index: number, connections: number): Promise<Connection[]> {
  const { port } = fleet.endpoints[index] as { port: number }
  return await Promise.all(Array.from({ length: connections }, () => mysql.createConnection({ host: fleet.host, port, user: 'camphorpitch' })))
}

async function measureCosts ({ fleet, service }: ServingBenchmark, concurrency: number): Promise<StatementCost[]> {
  const primaryConnections = await openDirectConnections(fleet, 0, concurrency)
  const replicaConnections = await openDirectConnections(fleet, 1, concurrency)
  const read = 'SELECT n FROM t WHERE id = 1'
  const write = 'UPDATE t SET n = n + 1 WHERE id = 1'
  let namedWriteCount = 0
  const costs = [
    await measureCost('read', 'direct to a replica', concurrency, client => replicaConnections[client]!.query(read)),
    await measureCost('read', 'service', concurrency, () => runStatement(service, makeRequest(read))),
    await measureCost('read', 'service, position unknown', concurrency, () => runStatement(service, makeRequest(read, { required: null }))),
    await measureCost('write', 'direct to the primary, not durable', concurrency, client => primaryConnections[client]!.query(write)),
    await measureCost('write', 'service', concurrency, () => runStatement(service, makeRequest(write))),
    await measureCost('write', 'service, named', concurrency, () => runStatement(service, makeRequest(write, { writeId: `n${concurrency}-${++namedWriteCount}` })))
  ]
  for (const c of [...primaryConnections, ...replicaConnections]) c.destroy()
  return costs
}

/**
 * Reads served by replicas: `share` is the fraction of all reads, `bestShare` the fraction of reads that
 * some replica could have served.
 */
interface ReplicaReadFraction { applyDelayMs: number, reads: number, byReplica: number, bestPossible: number, share: number, bestShare: number, readMeanMs: number }

async function setFaults (fleet: Fleet, faults: object): Promise<void> {
  await Promise.all(fleet.endpoints.map(e => fetch(`${e.controlUrl}/faults`, { method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify(faults) })))
}

/** Reads of the table that each endpoint has executed, in the order of `fleet.endpoints`. */
async function countReadsByEndpoint (fleet: Fleet): Promise<number[]> {
  return await Promise.all(fleet.endpoints.map(async e => {
    const record = await (await fetch(`${e.controlUrl}/record`)).json() as { statements: Array<{ text: string }> }
    return record.statements.filter(s => s.text.startsWith('SELECT n')).length
  }))
}

/**
 * Runs sessions that write, pause and then read their own write. A replica could have served the read
 * when at least `applyDelayMs` passed between sending the write and sending the read.
 */
async function measureReplicaReadFraction ({ fleet, service, group }: ServingBenchmark, applyDelayMs: number): Promise<ReplicaReadFraction> {
  await setFaults(fleet, { applyDelayMs })
  const readsBefore = await countReadsByEndpoint(fleet)
  let reads = 0
  let bestPossible = 0
  let totalReadMs = 0
  const runSession = async (session: number): Promise<void> => {
    for (let i = 0; i < ROUNDS_PER_SESSION; i++) {
      const writeSentAtMs = performance.now()
      const [ok] = await runStatement(service, makeRequest(`UPDATE t SET n = n + 1 WHERE id = ${session}`))
      const required: LogPosition | null = ok?.kind === 'ok' ? ok.position : null
      const thinkTimeMs = (i % 8) / 4 * Math.max(1, applyDelayMs)
      await waitMs(thinkTimeMs)
      const readSentAtMs = performance.now()
      if (readSentAtMs - writeSentAtMs >= applyDelayMs) bestPossible++
      await runStatement(service, makeRequest(`SELECT n FROM t WHERE id = ${session}`, { required }))
      totalReadMs += performance.now() - readSentAtMs
      reads++
    }
  }
  await Promise.all(Array.from({ length: SESSION_COUNT }, (_, s) => runSession(s)))
  const readsAfter = await countReadsByEndpoint(fleet)
  const primary = group.findPrimary()?.endpoint.endpoint
  const byReplica = fleet.endpoints.reduce((sum, e, i) => e.endpoint === primary ? sum : sum + readsAfter[i]! - readsBefore[i]!, 0)
  await setFaults(fleet, { applyDelayMs: 0 })
  const round = (value: number) => Math.round(value * 1_000) / 1_000
  return { applyDelayMs, reads, byReplica, bestPossible, share: round(byReplica / reads), bestShare: round(bestPossible / reads), readMeanMs: round(totalReadMs / reads) }
}

/** Ratios of each path through the service to the direct connection for the same statement and concurrency. */
function computeRatios (costs: readonly StatementCost[]) {
  return costs.filter(c => c.path.startsWith('service')).map(c => {
    const direct = costs.find(d => d.statement === c.statement && d.concurrency === c.concurrency && d.path.startsWith('direct')) as StatementCost
    const round = (value: number) => Math.round(value * 100) / 100
    return { statement: c.statement, path: c.path, concurrency: c.concurrency, latency: round(c.meanUs / direct.meanUs), throughput: round(c.perSecond / direct.perSecond), cpu: round(c.cpuUs / direct.cpuUs) }
  })
}

const benchmark = await startBenchmark()
try {
  await runStatement(benchmark.service, makeRequest('CREATE TABLE t (id INTEGER PRIMARY KEY, n INTEGER)'))
  await runStatement(benchmark.service, makeRequest('INSERT INTO t VALUES (0, 0), (1, 0), (2, 0), (3, 0)'))
  await measureReplicaReadFraction(benchmark, 0)
  const shares: ReplicaReadFraction[] = []
  for (const delay of APPLY_DELAYS_MS) shares.push(await measureReplicaReadFraction(benchmark, delay))
  const costs: StatementCost[] = []
  for (const c of CONCURRENCY_LEVELS) costs.push(...await measureCosts(benchmark, c))
  const ratios = computeRatios(costs)
  console.table(costs)
  console.table(ratios)
  console.table(shares)
  console.log(JSON.stringify({ benchmark: 'serving', costs, ratios, shares }))
} finally {
  await benchmark.stop()
}
process.exit(0)
