import type { LogPosition } from '@camphorpitch/wire'
import type { ResponseError, StatementMode, TransactionState } from './statement.ts'

/** An endpoint's complete response to one statement. */
export interface EndpointResponse {
  /** Rows in the order and form in which the endpoint sent them. */
  rows: string[]
  /** The endpoint's signature over what it ran; `null` when it gave none or the statement failed. */
  signature: string | null
  error: ResponseError | null
  /** State of the connection's transaction after the statement. */
  state: TransactionState
  /** End of the endpoint's log at the time of the response; `null` when the response does not contain it. */
  position: LogPosition | null
}

/** Status that an endpoint reports about itself. */
export interface EndpointStatus {
  role: 'primary' | 'replica'
  term: number
  /** Position of the last log entry that the endpoint has received; the entry may not be applied yet. */
  received: LogPosition
  /** Term for which the endpoint was paused; 0 when it is not paused. */
  pausedForTerm: number
  lagMs: number
}

/** The endpoint to connect to, and the workspace to connect for. */
export interface EndpointTarget {
  endpoint: string
  /** `host:port` */
  address: string
  service: string
  /** Workspace whose statements run on the connection. */
  workspace: string
}

/**
 * One connection to an endpoint. Commands are sent in the order of the calls, and their responses arrive in that order.
 *
 * Every promise rejects with `ConnectionLostError` when the connection ends first.
 */
export abstract class EndpointConnection {
  /** End of the endpoint's log when it accepted the connection; `null` when it did not report it. */
  abstract readonly startPosition: LogPosition | null
  abstract readonly isOpen: boolean
  /**
   * Runs a client's read, write or commit.
   *
   * @param id the statement's id, as the client sent it
   * @param text the statement, as the client sent it
   * @param requiredPosition position that the endpoint's log must hold; an endpoint that lacks it responds with `lagging`. `null` requires none
   */
  abstract run (id: string, text: string, requiredPosition: LogPosition | null): Promise<EndpointResponse>
  /** Opens a transaction; `id` and `requiredPosition` are as for `run`. */
  abstract begin (id: string, isReadOnly: boolean, requiredPosition: LogPosition | null): Promise<EndpointResponse>
  abstract rollback (): Promise<EndpointResponse>
  /** Sets a session value. */
  abstract setValue (name: string, value: string): Promise<EndpointResponse>
  /** Prepares a statement under `name`; `shape` is its definition. */
  abstract prepare (name: string, mode: StatementMode, shape: string): Promise<EndpointResponse>
  /** Drops the prepared statement `name`. */
  abstract closeStatement (name: string): Promise<EndpointResponse>
  /** Drops all session values and prepared statements. */
  abstract discard (): Promise<EndpointResponse>
  /** Requests the endpoint's status; `null` when the endpoint is too busy to report it. */
  abstract readStatus (): Promise<EndpointStatus | null>
  /** Stops a replica from receiving log entries until it is resumed, promoted or restarted. */
  abstract pause (term: number): Promise<EndpointStatus | null>
  /** Lets a paused replica receive log entries again. */
  abstract resume (): Promise<EndpointStatus | null>
  /** Turns a primary of a term lower than `term` into a replica. */
  abstract demote (term: number): Promise<EndpointStatus | null>
  /** Calls `listener` once when the connection has ended. */
  abstract subscribeClose (listener: () => void): void
  abstract close (): void
}

/** Opens connections to endpoints. */
export abstract class EndpointConnector {
  /**
   * Opens a connection.
   *
   * @throws EndpointRefusedError when the endpoint responded that it does not accept the connection
   * @throws ConnectionLostError when the endpoint could not be reached within `timeoutMs`
   */
  abstract connect (target: EndpointTarget, timeoutMs: number): Promise<EndpointConnection>
}
