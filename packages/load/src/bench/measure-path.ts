import { build } from 'hdr-histogram-js'
import { createPool, type PoolOptions } from 'mysql2/promise'

const MAX_LATENCY_MICROSECONDS = 60_000_000

/** What one path to the database delivered. */
export interface PathResult {
  statements: number
  statementsPerSecond: number
  p50Ms: number
  p99Ms: number
}

export interface PathOptions {
  connection: PoolOptions
  clients: number
  durationMs: number
  /** Text of the n-th statement. */
  formatStatement: (n: number) => string
}

/** Runs statements one after the other on each client for a time. */
export async function measurePath ({ connection, clients, durationMs, formatStatement }: PathOptions): Promise<PathResult> {
  const pool = createPool({ ...connection, connectionLimit: clients })
  const histogram = build({ highestTrackableValue: MAX_LATENCY_MICROSECONDS, numberOfSignificantValueDigits: 3 })
  let statements = 0
  const startedAtMs = performance.now()
  const runClient = async () => {
    const client = await pool.getConnection()
    while (performance.now() - startedAtMs < durationMs) {
      const sentAtMs = performance.now()
      await client.query(formatStatement(statements++))
      histogram.recordValue(Math.min(MAX_LATENCY_MICROSECONDS, Math.round((performance.now() - sentAtMs) * 1_000)))
    }
    client.release()
  }
  await Promise.all(Array.from({ length: clients }, runClient))
  const elapsedMs = performance.now() - startedAtMs
  await pool.end()
  return {
    statements,
    statementsPerSecond: Math.round(statements * 1_000 / elapsedMs),
    p50Ms: histogram.getValueAtPercentile(50) / 1_000,
    p99Ms: histogram.getValueAtPercentile(99) / 1_000
  }
}

/** Processor seconds that a proxy has used, from its metrics. */
export async function readCpuSeconds (host: string, metricsPort: number): Promise<number> {
  const response = await fetch(`http://${host}:${metricsPort}/metrics`)
  const match = /^process_cpu_seconds_total ([\d.e+-]+)/m.exec(await response.text())
  return Number(match?.[1] ?? Number.NaN)
}
