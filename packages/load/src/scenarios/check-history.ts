import type { History, Violation, WriteEvent } from './history.ts'

/** Number of rows found after the run, by the ID of their write. */
export type StoredRowCounts = ReadonlyMap<string, number>

/**
 * Compares the outcome that clients saw of each write with the rows that the database holds after the run.
 *
 * @example checkWrites(history, new Map([['a', 1]])) // []
 */
export function checkWrites (history: History, storedRowCounts: StoredRowCounts): Violation[] {
  return history.writes.flatMap(w => checkWrite(w, storedRowCounts.get(w.id) ?? 0))
}

function checkWrite (write: WriteEvent, storedRows: number): Violation[] {
  const detail = `${write.id}: ${write.outcome}, ${storedRows} of ${write.rows} rows${write.reason === '' ? '' : `, ${write.reason}`}`
  if (storedRows > write.rows) return [{ promise: 'no write is doubled', detail }]
  if (storedRows > 0 && storedRows < write.rows) return [{ promise: 'transactions are whole', detail }]
  if (write.outcome === 'acknowledged' && storedRows === 0) return [{ promise: 'no acknowledged write is lost', detail }]
  if (write.outcome === 'not run' && storedRows > 0) return [{ promise: 'a refusal that says not run is true', detail }]
  return []
}

/** @returns the longest time between acknowledged writes in milliseconds; the beginning and the end of the run count as writes */
export function computeMaxWriteGapMs (history: History, durationMs: number): number {
  const times = history.writes.filter(w => w.outcome === 'acknowledged').map(w => w.endedAtMs).sort((a, b) => a - b)
  const bounds = [0, ...times, Math.max(durationMs, times.at(-1) ?? 0)]
  return Math.max(...bounds.slice(1).map((t, i) => t - (bounds[i] ?? 0)))
}
