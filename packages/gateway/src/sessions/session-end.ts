import type { Logger } from '@camphorpitch/wire'
import type { ResponseError } from '../backend/statement.ts'
import type { InputState } from '../clients/client-listener.ts'
import type { GatewayMetrics } from '../telemetry/gateway-metrics.ts'

/** Why a client session ended. */
export type SessionEndCause =
  | 'clientClosed'
  | 'clientTerminated'
  | 'drain'
  /** The configuration no longer has the session's key or database. */
  | 'configuration'
  | 'startupRefused'
  | 'messageTooLarge'
  | 'internalError'
  | 'processExit'

/** How a session is to end. */
export interface SessionEnding {
  cause: SessionEndCause
  /** The error that tells the client; nothing of a statement that it answers is kept. */
  error: ResponseError
  /**
   * Returns how long to wait for the client to close the connection, and after that for the connection to end, in
   * milliseconds.
   */
  computeTimeoutMs: () => number
}

/** What a session does at the moment, from the point of view of a stop that waits for it. */
export type SessionActivity = 'notStarted' | 'idle' | 'busy' | 'inTransaction' | 'closing'

/** Describes an ended session for the log. */
export interface SessionEnd {
  session: string
  cause: SessionEndCause
  /** Version of the configuration in force at the end; `undefined` before the first. */
  version: number | undefined
  /** Number of statements that were responded to. */
  answered: number
  /** Statements that were received and not responded to; `-` stands for one without a valid id. */
  unansweredIds: readonly string[]
  input: InputState
}

/** Maximum number of statement ids in one log line. */
const MAX_LOGGED_IDS = 8

/** Logs and counts the end of a session. One that left statements unanswered is logged as a warning. */
export function recordSessionEnd (end: SessionEnd, logger: Logger, metrics: Pick<GatewayMetrics, 'sessionEnds' | 'unansweredStatements'>): void {
  const { cause, unansweredIds, input, ...rest } = end
  metrics.sessionEnds.inc({ cause })
  if (unansweredIds.length > 0) metrics.unansweredStatements.inc({ cause }, unansweredIds.length)
  logger.log(unansweredIds.length > 0 ? 'warn' : 'info', 'session ended', { ...rest, cause, unanswered: unansweredIds.length, unansweredIds: unansweredIds.slice(0, MAX_LOGGED_IDS), ...input })
}

/** Counts sessions by what they do. */
export function countByActivity (sessions: ReadonlyArray<{ activity: SessionActivity }>): Partial<Record<SessionActivity, number>> {
  const counts: Partial<Record<SessionActivity, number>> = {}
  for (const { activity } of sessions) counts[activity] = (counts[activity] ?? 0) + 1
  return counts
}
