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
  /** The first message was no startup, or none came in time. */
  | 'notStarted'
  /** Clients' input took too much memory, and this session held most. */
  | 'inputRefused'
  /** Responses that clients do not take took too much memory, and this session had most. */
  | 'outputRefused'
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
  /** Number of statements that were received and not responded to. */
  unanswered: number
  /** Their first ids; `-` stands for a statement without a valid one. */
  unansweredIds: readonly string[]
  input: InputState
}

/** Maximum number of a session's unanswered statements whose ids are logged. */
export const MAX_LOGGED_IDS = 8

/** Logs and counts the end of a session. It is a warning if statements were left unanswered and the client did not end the session itself. */
export function recordSessionEnd (end: SessionEnd, logger: Logger, metrics: Pick<GatewayMetrics, 'sessionEnds' | 'unansweredStatements'>): void {
  const { cause, unanswered, input, ...rest } = end
  metrics.sessionEnds.inc({ cause })
  if (unanswered > 0) metrics.unansweredStatements.inc({ cause }, unanswered)
  const isClientEnd = cause === 'clientClosed' || cause === 'clientTerminated'
  logger.log(unanswered > 0 && !isClientEnd ? 'warn' : 'info', 'session ended', { ...rest, cause, unanswered, ...input })
}

/** Counts sessions by what they do. */
export function countByActivity (sessions: ReadonlyArray<{ activity: SessionActivity }>): Partial<Record<SessionActivity, number>> {
  const counts: Partial<Record<SessionActivity, number>> = {}
  for (const { activity } of sessions) counts[activity] = (counts[activity] ?? 0) + 1
  return counts
}
