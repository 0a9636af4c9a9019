import { setTimeout as wait } from 'node:timers/promises'
import { createFailoverState, decideFailover, startGroupView, type FailoverState } from '@camphorpitch/proxy'
import { MonotonicClock, parseCommitInfo, type Database, type Endpoint, type InstanceStatus, type Logger, type LogPosition } from '@camphorpitch/wire'
import { createConnection, type Connection, type ResultSetHeader } from 'mysql2/promise'
import { start as startSystem, stop as stopSystem } from 'nact'
import { startFleet, type Fleet, type FleetEndpoint } from '../fleet/start-fleet.ts'

/**
 * Measures a change of primary on stand-in instances, split into its stages, the latency added to a
 * write by waiting until a second instance holds it, and the cost of probes and failover decisions.
 * Prints tables and JSON. The heap per group needs `--expose-gc`.
 *
 * @example npm run build && node --expose-gc --import=tsx packages/load/src/benchmarks/failover.ts
 */

const WRITE_GAP_RUNS = 8
const VIEW_COUNT = 2
const WRITES_PER_MODE = 300
const PROBE_COUNT = 1_000
const PROBE_ROUNDS = 20
const GROUP_COUNTS = [100, 400, 1_600]
const USER = 'camphorpitch'
const REPLICATION_DELAYS_MS = [0, 5, 20]
const WRITE_TIMEOUT_MS = 400

type View = ReturnType<typeof startGroupView>
/** Milliseconds from the fault until each stage of the failover is reached. */
type StageTimes = Record<'detected' | 'fenced' | 'promoted' | 'routed' | 'acknowledged', number>

/** A group view and the failover stages that it has logged. */
interface ObservedView {
  view: View
  stages: Array<{ stage: string, atMs: number }>
  stop: () => void
}

function describeGroup (fleet: Fleet): Database {
  const endpoints = fleet.endpoints.map(e => ({
    endpoint: e.endpoint, host: fleet.host, port: e.port, failureDomain: e.failureDomain, region: 'default', maxConnections: 20, slots: 3
  }))
  return { database: 'orders', endpoints, user: USER, password: '' }
}

function startObservedView (database: Database, rank: number): ObservedView {
  const stages: ObservedView['stages'] = []
  const recordStage = (_message: string, fields?: { stage?: string }): void => {
    if (fields?.stage !== undefined) stages.push({ stage: fields.stage, atMs: performance.now() })
  }
  const logger = { info: recordStage, debug: () => {}, warn: () => {}, error: console.error } as unknown as Logger
  const system = startSystem()
  const view = startGroupView({ system, clock: new MonotonicClock(), logger, database, vm: `vm-${rank}`, incarnation: 1, readRank: () => rank })
  return {
    view,
    stages,
    stop: () => {
      view.stop()
      stopSystem(system)
    }
  }
}

async function waitUntil (check: () => boolean): Promise<void> {
  while (!check()) await wait(1)
}

async function openPrimary (view: View): Promise<Connection> {
  await waitUntil(() => view.findPrimary() !== undefined)
  const { host, port } = view.findPrimary()!.endpoint
  return await createConnection({ host, port, user: USER, connectTimeout: WRITE_TIMEOUT_MS })
}

async function executeWrite (connection: Connection, sql: string): Promise<LogPosition> {
  const [ok] = await connection.query<ResultSetHeader>({ sql, timeout: WRITE_TIMEOUT_MS })
  return parseCommitInfo(ok.info)!
}

/** Repeats a write on the current primary until it is durable, that is, held by a second instance. */
async function writeDurably (view: View, sql: string): Promise<LogPosition> {
  for (;;) {
    const connection = await openPrimary(view).catch(() => null)
    if (connection === null) continue
    const position = await executeWrite(connection, sql).catch(() => null)
    connection.destroy()
    if (position !== null && await view.waitDurable(position, WRITE_TIMEOUT_MS)) return position
  }
}

async function applyFault (endpoint: FleetEndpoint, fault: 'kill' | 'freeze'): Promise<void> {
  if (fault === 'kill') {
    await endpoint.process.kill()
    return
  }
  await fetch(`${endpoint.controlUrl}/faults`, { method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify({ freeze: true }) })
}

/**
 * Applies a fault to the primary and measures the time to each stage of the failover, up to the next
 * write that is acknowledged as durable. A stage ends when the first view reaches it, except `routed`,
 * which ends when every view has found the new primary.
 */
async function measureWriteGap (fault: 'kill' | 'freeze'): Promise<StageTimes> {
  const fleet = await startFleet({ vms: 0, endpoint: { replicationDelayMs: 5 } })
  const observedViews = Array.from({ length: VIEW_COUNT }, (_, i) => startObservedView(describeGroup(fleet), i))
  const { view } = observedViews[0]!
  await writeDurably(view, 'CREATE TABLE t (id INTEGER)')
  await waitUntil(() => observedViews.every(v => v.view.findPrimary() !== undefined))
  const faultAtMs = performance.now()
  await applyFault(fleet.endpoints[0]!, fault)
  const findStageMs = (stage: string): number => Math.min(...observedViews.flatMap(v => v.stages).filter(s => s.stage === stage && s.atMs > faultAtMs).map(s => s.atMs)) - faultAtMs
  const routed = waitUntil(() => observedViews.every(v => (v.view.findPrimary()?.term ?? 0) > 1)).then(() => performance.now() - faultAtMs)
  await writeDurably(view, 'INSERT INTO t VALUES (1)')
  const acknowledged = performance.now() - faultAtMs
  const times = { detected: findStageMs('electionStarted'), fenced: findStageMs('promoting'), promoted: findStageMs('promoted'), routed: await routed, acknowledged }
  for (const v of observedViews) v.stop()
  await fleet.stop()
  return times
}

/** Measures write latency with and without the wait for durability, alternating so that both see the same conditions. */
async function measureWrites (replicationDelayMs: number): Promise<Record<string, number>> {
  const fleet = await startFleet({ vms: 0, endpoint: { replicationDelayMs } })
  const observedView = startObservedView(describeGroup(fleet), 0)
  await writeDurably(observedView.view, 'CREATE TABLE t (id INTEGER)')
  const connection = await openPrimary(observedView.view)
  const plainTimesMs: number[] = []
  const durableTimesMs: number[] = []
  for (let i = 0; i < WRITES_PER_MODE * 2; i++) {
    const isDurable = i % 2 === 1
    const startedAtMs = performance.now()
    const position = await executeWrite(connection, `INSERT INTO t VALUES (${i})`)
    if (isDurable) await observedView.view.waitDurable(position, WRITE_TIMEOUT_MS)
    const timesMs = isDurable ? durableTimesMs : plainTimesMs
    timesMs.push(performance.now() - startedAtMs)
  }
  connection.destroy()
  observedView.stop()
  await fleet.stop()
  return { replicationDelayMs, plainP50: pickQuantile(plainTimesMs, 0.5), plainP99: pickQuantile(plainTimesMs, 0.99), durableP50: pickQuantile(durableTimesMs, 0.5), durableP99: pickQuantile(durableTimesMs, 0.99) }
}

/** Measures the CPU time of this process, the round trip and the bytes on the wire of one probe of one instance. */
async function measureProbe (): Promise<Record<string, number>> {
  const fleet = await startFleet({ vms: 0 })
  const observedView = startObservedView(describeGroup(fleet), 0)
  await writeDurably(observedView.view, 'CREATE TABLE t (id INTEGER)')
  const endpointName = fleet.endpoints[1]!.endpoint
  const runProbes = async (count: number): Promise<void> => {
    for (let i = 0; i < count; i++) await observedView.view.probeInstance(endpointName)
  }
  await runProbes(PROBE_COUNT)
  const cpuBefore = process.cpuUsage()
  const startedAtMs = performance.now()
  await runProbes(PROBE_COUNT)
  const { user, system } = process.cpuUsage(cpuBefore)
  const roundTripMs = (performance.now() - startedAtMs) / PROBE_COUNT
  const bytes = await measureProbeBytes(fleet, fleet.endpoints[1]!)
  observedView.stop()
  await fleet.stop()
  return { cpuMicroseconds: (user + system) / PROBE_COUNT, roundTripMs, bytes }
}

async function measureProbeBytes (fleet: Fleet, endpoint: FleetEndpoint): Promise<number> {
  const connection = await createConnection({ host: fleet.host, port: endpoint.port, user: USER })
  const { stream } = (connection as unknown as { connection: { stream: { bytesRead: number, bytesWritten: number } } }).connection
  await connection.query('SHOW GROUP STATUS')
  const bytesBefore = stream.bytesRead + stream.bytesWritten
  await connection.query('SHOW GROUP STATUS')
  const bytes = stream.bytesRead + stream.bytesWritten - bytesBefore
  connection.destroy()
  return bytes
}

/** Measures the heap that the failover state of one group takes, and the time to process one probe response, with `groups` groups. */
function measureDecision (groups: number): Record<string, number> {
  const createStatus = (i: number): InstanceStatus => {
    const logged = { term: 3, index: 900 }
    return { instance: `db-${i}`, term: 3, role: i === 0 ? 'primary' : 'replica', primary: 'db-0', applied: logged, logged, termStarts: [[1, 1], [2, 40], [3, 80]], primaryHeardMs: 20 }
  }
  const endpoints: Endpoint[] = [0, 1, 2].map(i => ({ endpoint: `db-${i}`, host: '127.0.0.1', port: 1, failureDomain: 'a', region: 'a', maxConnections: 20, slots: 3 }))
  global.gc?.()
  const heapBytesBefore = process.memoryUsage().heapUsed
  const states: FailoverState[] = Array.from({ length: groups }, (_, i) => createFailoverState({ database: `d${i}`, endpoints, promoterId: 'vm-1.1', seed: i, nowMs: 0 }))
  const startedAtMs = performance.now()
  for (let round = 1; round <= PROBE_ROUNDS; round++) {
    for (const s of states) {
      for (const [i, { endpoint }] of endpoints.entries()) decideFailover(s, { type: 'probeAnswered', endpoint, sentAtMs: round, status: createStatus(i) }, round)
    }
  }
  const microseconds = (performance.now() - startedAtMs) * 1_000 / (groups * PROBE_ROUNDS * endpoints.length)
  global.gc?.()
  const heapBytes = (process.memoryUsage().heapUsed - heapBytesBefore) / states.length
  return { groups, bytesPerGroup: Math.round(heapBytes), microsecondsPerAnswer: round(microseconds) }
}

function pickQuantile (values: readonly number[], quantile: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  return round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))]!)
}

function round (value: number): number {
  return Math.round(value * 100) / 100
}

function describeWriteGaps (fault: string, gaps: readonly StageTimes[]): Record<string, number | string> {
  const stages = Object.keys(gaps[0]!) as Array<keyof StageTimes>
  const columns = stages.map(s => [`${s} p50/max ms`, `${Math.round(pickQuantile(gaps.map(g => g[s]), 0.5))}/${Math.round(Math.max(...gaps.map(g => g[s])))}`])
  return { fault, runs: gaps.length, ...Object.fromEntries(columns) }
}

async function measureWriteGaps (fault: 'kill' | 'freeze'): Promise<Record<string, number | string>> {
  const gaps: StageTimes[] = []
  for (let i = 0; i < WRITE_GAP_RUNS; i++) gaps.push(await measureWriteGap(fault))
  return describeWriteGaps(fault, gaps)
}

const gaps = [await measureWriteGaps('kill'), await measureWriteGaps('freeze')]
const writes: Array<Record<string, number>> = []
for (const delayMs of REPLICATION_DELAYS_MS) writes.push(await measureWrites(delayMs))
const probe = await measureProbe()
measureDecision(GROUP_COUNTS[0]!)
const decisions = GROUP_COUNTS.map(measureDecision)
console.log('Time from the fault to the end of each stage:')
console.table(gaps)
console.log('Write latency in ms, without (plain) and with (durable) waiting until a second instance holds the write:')
console.table(writes)
console.log('Cost of one probe of one instance:')
console.table([Object.fromEntries(Object.entries(probe).map(([key, value]) => [key, round(value)]))])
console.log('Heap per group and time per probe response of the failover decision:')
console.table(decisions)
console.log(JSON.stringify({ gaps, writes, probe, decisions }))
