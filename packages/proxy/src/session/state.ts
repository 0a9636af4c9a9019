import { pickLaterPosition, type LogPosition } from '@camphorpitch/wire'

export interface OpenTransaction {
  database: string
  id: string
  vm: string
}

/** Everything that one caller's connection knows of its session. */
export interface SessionState {
  sessionId: string
  workspace: string
  /** Key that opened the connection; `null` on an open contract. */
  keyId: string | null
  database: string | null
  /** Position that reads of a database must include; an absent one asks for all acknowledged before the read. */
  positions: Map<string, LogPosition>
  /** Set by the caller; `null` leaves it to the contract. */
  maxAgeMs: number | null
  /** Names the next write. */
  writeId: string | null
  transaction: OpenTransaction | null
}

export interface SessionOptions {
  sessionId: string
  workspace: string
  keyId: string | null
  database?: string | null
}

/** @example createSession({ sessionId: 's1', workspace: 'kari', keyId: 'k1' }) */
export function createSession ({ sessionId, workspace, keyId, database = null }: SessionOptions): SessionState {
  return { sessionId, workspace, keyId, database, positions: new Map(), maxAgeMs: null, writeId: null, transaction: null }
}

/** Raises the session's position in a database; it never goes back. */
export function recordPosition (session: SessionState, database: string, position: LogPosition): void {
  const current = session.positions.get(database)
  session.positions.set(database, pickLaterPosition(current, position))
}

/**
 * Forgets the position, after a read whose upper bound never came.
 *
 * The next read then asks for everything acknowledged before it, which includes what a replica showed.
 */
export function dropPosition (session: SessionState, database: string): void {
  session.positions.delete(database)
}
