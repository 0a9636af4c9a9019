import { build } from 'hdr-histogram-js'
import { createPool, type PoolOptions } from 'mysql2/promise'

/** Longest latency that the histogram can record; longer ones count as this long. */
const MAX_LATENCY_MICROSECONDS = 60_000_000

/** Number, throughput and latencies of the statements that one path to the database executed. */
export interface PathResult {
  statements: number
  statementsPerSecond: number
  p50Ms: number
  p99Ms: number
}

export interface PathOptions {
  connection: PoolOptions
  /** Connections that execute statements at the same time. */
  clients: number
  durationMs: number
  /** Returns the text of the n-th statement, counted from 0 over all clients. */
  formatStatement: (n: number) => string
}

/**
 * Runs statements one after the other on each client for `durationMs` and measures them.
 *
 * @throws Error when a connection cannot be opened or a statement fails
 */
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

/** CPU seconds that a proxy has used since its start, from its metrics; `NaN` when they don't contain the value. */
export async function readCpuSeconds (host: string, metricsPort: number): Promise<number> {
  const response = await fetch(`http://${host}:${metricsPort}/metrics`)
  const match = /^process_cpu_seconds_total ([\d.e+-]+)/m.exec(await response.text())
  return Number(match?.[1] ?? Number.NaN)
}
