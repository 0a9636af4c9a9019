/** Outcome of a write as its client knows it. */
export type WriteOutcome = 'acknowledged' | 'not run' | 'unknown'

export interface WriteEvent {
  id: string
  outcome: WriteOutcome
  /** Number of rows that the write inserts, all or none of them. */
  rows: number
  endedAtMs: number
  /** Error message; empty for an acknowledged write. */
  reason: string
}

/** A broken promise of the system. */
export interface Violation {
  promise: string
  detail: string
}

/** What the clients of one run observed. */
export interface History {
  writes: WriteEvent[]
  violations: Violation[]
  reads: number
  /** Message of each error that a client got. */
  failures: string[]
}

export function createHistory (): History {
  return { writes: [], violations: [], reads: 0, failures: [] }
}
