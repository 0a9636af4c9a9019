import type { LogPosition } from '@camphorpitch/wire'
import type { EndpointAnswer } from '../backend/endpoint-connector.ts'
import type { AnswerError, ClientStatement } from '../backend/statement.ts'
import type { Route } from '../configuration/configuration.ts'
import type { RequiredSessionState } from '../pool/pooled-connection.ts'

/** A statement to run on an endpoint, for whom and by when. */
export interface Operation {
  statement: ClientStatement
  requiredState: RequiredSessionState
  /** Prepared statement that it executes. */
  preparedName: string | null
  workspace: string
  route: Route
  /** Last position that the session has written. */
  sessionPosition: LogPosition | null
  receivedAtMs: number
}

/** How a statement ended: the endpoint's answer, or why there is none. */
export type Outcome = { answer: EndpointAnswer, endpoint: string } | { refusal: AnswerError }

/** Part of an operation's objective for which it may wait before an endpoint is offered it. */
const MAX_WAIT_FRACTION = 0.25

/** Milliseconds for which the operation may still wait before it is offered to an endpoint. */
export function computeWaitMs ({ route, receivedAtMs }: Operation, nowMs: number): number {
  return Math.max(0, receivedAtMs + route.objectiveMs * MAX_WAIT_FRACTION - nowMs)
}

/** Milliseconds until the statement's time is over. */
export function computeTimeLeftMs ({ route, receivedAtMs }: Operation, nowMs: number): number {
  return Math.max(1, receivedAtMs + route.statementTimeoutMs - nowMs)
}

/** Age that the operation's reads may show, in milliseconds. */
export function readMaxStalenessMs ({ route }: Operation): number {
  return route.consistency === 'primary' ? 0 : route.maxStalenessMs
}

/** A refusal that names the time to come back. */
export function createRetryRefusal<C extends AnswerError['code']> (code: C, reason: string, retryAfterMs: number): { refusal: { code: C, text: string } } {
  return { refusal: { code, text: `${reason}; retry after ${Math.ceil(retryAfterMs)} ms` } }
}
