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
 * Cost of a statement through `DatabaseService` against a direct connection to the same stand-ins, in
 * one run, and the share of reads that replicas serve against the best possible.
 *
 * Stand-ins run as processes of their own; CPU is that of this process, which holds the service and the
 * callers, and so the direct connections too. Run after `npm run build`:
 * node --import=tsx packages/load/src/benchmarks/serving.ts
 */

const DATABASE = 'orders'
const STATEMENTS = 1_500
const CONCURRENCY = [1, 8]
const APPLY_DELAYS_MS = [0, 5, 20]
const ROUNDS = 120
const SESSIONS = 4

class WholePlacement extends PlacementView {
  override listServingVms (): readonly string[] { return [] }
  override listRankedServingVms (): readonly string[] { return [] }
  override isServing (): boolean { return true }
  override listServedDatabases (): readonly string[] { return [] }
  override computeConnectionShare (_database: string, maxConnections: number): number { return maxConnections - 2 }
  override subscribe (): void {}
}

interface Bench {
  fleet: Fleet
  group: GroupView
  service: DatabaseService
  stop: () => Promise<void>
}

async function startBench (): Promise<Bench> {
  const fleet = await startFleet({ vms: 0, databases: [DATABASE], endpoint: { connectDelayMs: 12, maxConnections: 20, slots: 3 } })
  const endpoints = fleet.endpoints.map(e => ({ endpoint: e.endpoint, host: fleet.host, port: e.port, failureDomain: e.failureDomain, region: 'r', maxConnections: 20, slots: 3 }))
  const database: Database = { database: DATABASE, endpoints, user: 'camphorpitch', password: '' }
  const system = start()
  const common = { system, clock: new MonotonicClock(), logger: createLogger({ process: 'benchmark', level: 'silent' }), database }
  const group = startGroupView({ ...common, vm: 'vm-1', incarnation: 1 })
  const service = startDatabaseService({ ...common, group, placement: new WholePlacement(), failureDomain: 'north' })
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

let count = 0

function makeRequest (text: string, options: Partial<StatementRequest> = {}): StatementRequest {
  return {
    requestId: `r${++count}`,
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

async function runFrames (service: DatabaseService, request: StatementRequest): Promise<ResponseFrame[]> {
  const frames: ResponseFrame[] = []
  for await (const f of service.run(request)) frames.push(f)
  const last = frames.at(-1)
  if (last?.kind === 'refused' || last?.kind === 'failed') throw new Error(JSON.stringify(last))
  return frames
}

interface Cost { statement: string, concurrency: number, path: string, meanUs: number, p99Us: number, perSecond: number, cpuUs: number }

async function measure (statement: string, path: string, concurrency: number, run: (lane: number) => Promise<unknown>): Promise<Cost> {
  const lanes = Array.from({ length: concurrency }, (_, i) => i)
  await Promise.all(lanes.map(async lane => { for (let i = 0; i < 50; i++) await run(lane) }))
  const samples: number[] = []
  const cpu = process.cpuUsage()
  const startedAt = performance.now()
  await Promise.all(lanes.map(async lane => {
    for (let i = 0; i < STATEMENTS / concurrency; i++) {
      const at = performance.now()
      await run(lane)
      samples.push((performance.now() - at) * 1_000)
    }
  }))
  const elapsedMs = performance.now() - startedAt
  const used = process.cpuUsage(cpu)
  samples.sort((a, b) => a - b)
  return {
    statement,
    concurrency,
    path,
    meanUs: Math.round(samples.reduce((a, b) => a + b, 0) / samples.length),
    p99Us: Math.round(samples[Math.floor(samples.length * 0.99)] ?? 0),
    perSecond: Math.round(samples.length / elapsedMs * 1_000),
    cpuUs: Math.round((used.user + used.system) / samples.length)
  }
}

async function openDirect (fleet: Fleet, index: number, connections: number): Promise<Connection[]> {
  const { port } = fleet.endpoints[index] as { port: number }
  return await Promise.all(Array.from({ length: connections }, () => mysql.createConnection({ host: fleet.host, port, user: 'camphorpitch' })))
}

async function measureCosts ({ fleet, service }: Bench, concurrency: number): Promise<Cost[]> {
  const primary = await openDirect(fleet, 0, concurrency)
  const replica = await openDirect(fleet, 1, concurrency)
  const read = 'SELECT n FROM t WHERE id = 1'
  const write = 'UPDATE t SET n = n + 1 WHERE id = 1'
  let names = 0
  const costs = [
    await measure('read', 'direct to a replica', concurrency, lane => replica[lane]!.query(read)),
    await measure('read', 'service', concurrency, () => runFrames(service, makeRequest(read))),
    await measure('read', 'service, position unknown', concurrency, () => runFrames(service, makeRequest(read, { required: null }))),
    await measure('write', 'direct to the primary, not durable', concurrency, lane => primary[lane]!.query(write)),
    await measure('write', 'service', concurrency, () => runFrames(service, makeRequest(write))),
    await measure('write', 'service, named', concurrency, () => runFrames(service, makeRequest(write, { writeId: `n${concurrency}-${++names}` })))
  ]
  for (const c of [...primary, ...replica]) c.destroy()
  return costs
}

interface Share { applyDelayMs: number, reads: number, byReplica: number, bestPossible: number, share: number, bestShare: number, readMeanMs: number }

async function setFaults (fleet: Fleet, faults: object): Promise<void> {
  await Promise.all(fleet.endpoints.map(e => fetch(`${e.controlUrl}/faults`, { method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify(faults) })))
}

async function countReads (fleet: Fleet): Promise<number[]> {
  return await Promise.all(fleet.endpoints.map(async e => {
    const record = await (await fetch(`${e.controlUrl}/record`)).json() as { statements: Array<{ text: string }> }
    return record.statements.filter(s => s.text.startsWith('SELECT n')).length
  }))
}

/** Sessions write, think, and read; a read has a best possible replica when the write's delay had passed as it began. */
async function measureShare ({ fleet, service, group }: Bench, applyDelayMs: number): Promise<Share> {
  await setFaults(fleet, { applyDelayMs })
  const before = await countReads(fleet)
  let reads = 0
  let bestPossible = 0
  let readMs = 0
  const runSession = async (session: number): Promise<void> => {
    for (let i = 0; i < ROUNDS; i++) {
      const sentAt = performance.now()
      const [ok] = await runFrames(service, makeRequest(`UPDATE t SET n = n + 1 WHERE id = ${session}`))
      const required: LogPosition | null = ok?.kind === 'ok' ? ok.position : null
      const thinkMs = (i % 8) / 4 * Math.max(1, applyDelayMs)
      await waitMs(thinkMs)
      const startedAt = performance.now()
      if (startedAt - sentAt >= applyDelayMs) bestPossible++
      await runFrames(service, makeRequest(`SELECT n FROM t WHERE id = ${session}`, { required }))
      readMs += performance.now() - startedAt
      reads++
    }
  }
  await Promise.all(Array.from({ length: SESSIONS }, (_, s) => runSession(s)))
  const after = await countReads(fleet)
  const primary = group.findPrimary()?.endpoint.endpoint
  const byReplica = fleet.endpoints.reduce((sum, e, i) => e.endpoint === primary ? sum : sum + after[i]! - before[i]!, 0)
  await setFaults(fleet, { applyDelayMs: 0 })
  const round = (value: number) => Math.round(value * 1_000) / 1_000
  return { applyDelayMs, reads, byReplica, bestPossible, share: round(byReplica / reads), bestShare: round(bestPossible / reads), readMeanMs: round(readMs / reads) }
}

function computeRatios (costs: readonly Cost[]) {
  return costs.filter(c => c.path.startsWith('service')).map(c => {
    const direct = costs.find(d => d.statement === c.statement && d.concurrency === c.concurrency && d.path.startsWith('direct')) as Cost
    const round = (value: number) => Math.round(value * 100) / 100
    return { statement: c.statement, path: c.path, concurrency: c.concurrency, latency: round(c.meanUs / direct.meanUs), throughput: round(c.perSecond / direct.perSecond), cpu: round(c.cpuUs / direct.cpuUs) }
  })
}

const bench = await startBench()
try {
  await runFrames(bench.service, makeRequest('CREATE TABLE t (id INTEGER PRIMARY KEY, n INTEGER)'))
  await runFrames(bench.service, makeRequest('INSERT INTO t VALUES (0, 0), (1, 0), (2, 0), (3, 0)'))
  await measureShare(bench, 0)
  const shares: Share[] = []
  for (const delay of APPLY_DELAYS_MS) shares.push(await measureShare(bench, delay))
  const costs: Cost[] = []
  for (const c of CONCURRENCY) costs.push(...await measureCosts(bench, c))
  const ratios = computeRatios(costs)
  console.table(costs)
  console.table(ratios)
  console.table(shares)
  console.log(JSON.stringify({ benchmark: 'serving', costs, ratios, shares }))
} finally {
  await bench.stop()
}
process.exit(0)
