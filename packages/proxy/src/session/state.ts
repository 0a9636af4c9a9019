import { pickLaterPosition, type LogPosition } from '@camphorpitch/wire'

export interface OpenTransaction {
  database: string
  id: string
  /** Serving VM that holds the transaction. */
  vm: string
}

/** The session of one client connection. */
export interface SessionState {
  sessionId: string
  workspace: string
  /** Id of the key with which the client logged in; `null` for an open contract. */
  keyId: string | null
  database: string | null
  /** For each database, the position that reads must include. Without one, a read must include every write acknowledged before it. */
  positions: Map<string, LogPosition>
  /** Maximum age of the data read, in milliseconds, as set by the client; `null` for the contract's default. */
  maxAgeMs: number | null
  /** Id that the client has set for its next write. */
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

/** Advances the session's position in a database; an earlier position is ignored. */
export function recordPosition (session: SessionState, database: string, position: LogPosition): void {
  const current = session.positions.get(database)
  session.positions.set(database, pickLaterPosition(current, position))
}

/**
 * Drops the session's position in a database, after a read that did not report how much it had seen.
 *
 * The next read must then include every write acknowledged before it, and so everything that an earlier read
 * may have seen on a replica.
 */
export function dropPosition (session: SessionState, database: string): void {
  session.positions.delete(database)
}
