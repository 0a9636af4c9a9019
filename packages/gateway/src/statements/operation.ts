import type { LogPosition } from '@camphorpitch/wire'
import type { EndpointResponse } from '../backend/endpoint-connector.ts'
import type { ResponseError, ClientStatement } from '../backend/statement.ts'
import type { Route } from '../configuration/configuration.ts'
import type { RequiredSessionState } from '../pool/pooled-connection.ts'
import type { SessionAttempts } from './session-attempts.ts'

/** A statement to run on an endpoint, with its session, its workspace and the route that sets its limits. */
export interface Operation {
  statement: ClientStatement
  requiredState: RequiredSessionState
  /** Name of the prepared statement that it executes; `null` when it executes none. */
  preparedName: string | null
  workspace: string
  route: Route
  /** Regions whose endpoints may run it; absent for all. Empty if those of route and workspace exclude each other. */
  allowedRegions?: readonly string[]
  /** Log position of the session's last write; `null` before the first. */
  sessionPosition: LogPosition | null
  /** Where its attempts are recorded that may outlive it; absent for an operation without a session of this VM. */
  attempts?: SessionAttempts
  /** Time at which the statement was taken from the client's queue; its time limits count from here. */
  receivedAtMs: number
}

/** How a statement ended: with an endpoint's response, or with a refusal when no response can be given. */
export type Outcome = { response: EndpointResponse, endpoint: string } | Refused

/** The statement has not run, or its outcome is unknown; `refusal` tells which. */
export interface Refused {
  refusal: ResponseError
  /** Whether it has not run because this VM does not reach the endpoint, which another VM may. */
  isUnreachable?: boolean
}

/** Fraction of an operation's objective (`Route.objectiveMs`) for which it may wait before it is sent to an endpoint. */
const MAX_WAIT_FRACTION = 0.25

/** Computes how long the operation may still wait before it is sent to an endpoint, in milliseconds. */
export function computeWaitMs ({ route, receivedAtMs }: Operation, nowMs: number): number {
  return Math.max(0, receivedAtMs + route.objectiveMs * MAX_WAIT_FRACTION - nowMs)
}

/** Computes the time until the statement's timeout, in milliseconds; at least 1. */
export function computeTimeLeftMs ({ route, receivedAtMs }: Operation, nowMs: number): number {
  return Math.max(1, receivedAtMs + route.statementTimeoutMs - nowMs)
}

/** Returns how old the data may be that the operation reads, in milliseconds; 0 when its route reads from the primary only. */
export function readMaxStalenessMs ({ route }: Operation): number {
  return route.consistency === 'primary' ? 0 : route.maxStalenessMs
}

/** Creates a refusal whose text tells the client when to retry. */
export function createRetryRefusal<C extends ResponseError['code']> (code: C, reason: string, retryAfterMs: number): { refusal: { code: C, text: string } } {
  return { refusal: { code, text: `${reason}; retry after ${Math.ceil(retryAfterMs)} ms` } }
}
