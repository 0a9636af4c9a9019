import type { LogPosition } from '@camphorpitch/wire'
import type { AnswerError, StatementMode, TransactionState } from './statement.ts'

/** The whole answer of an endpoint to one statement. */
export interface EndpointAnswer {
  /** Rows as the endpoint sent them, in order. */
  rows: string[]
  /** The endpoint's signature over what it ran; `null` where it gave none or failed. */
  signature: string | null
  error: AnswerError | null
  state: TransactionState
  /** End of the endpoint's log when it answered; `null` when it did not say. */
  position: LogPosition | null
}

/** What an endpoint says of itself. */
export interface EndpointStatus {
  role: 'primary' | 'replica'
  term: number
  /** Last log entry that it has received, which may not be applied yet. */
  received: LogPosition
  /** Term that it was paused for; 0 when it is not paused. */
  pausedForTerm: number
  lagMs: number
}

/** Where and as whom to connect. */
export interface EndpointTarget {
  endpoint: string
  /** `host:port` */
  address: string
  service: string
  /** Workspace in whose name statements run. */
  workspace: string
}

/**
 * One connection to an endpoint. Commands are sent in the order of the calls and answered in that order.
 *
 * Every promise rejects with `ConnectionLostError` when the connection ends first.
 */
export abstract class EndpointConnection {
  /** Log position at which the endpoint accepted the connection. */
  abstract readonly startPosition: LogPosition | null
  abstract readonly isOpen: boolean
  /** Runs a client's read, write or commit under its own id. With `atLeast`, a log that lacks that position refuses. */
  abstract run (id: string, text: string, atLeast: LogPosition | null): Promise<EndpointAnswer>
  abstract begin (id: string, isReadOnly: boolean, atLeast: LogPosition | null): Promise<EndpointAnswer>
  abstract rollback (): Promise<EndpointAnswer>
  abstract setValue (name: string, value: string): Promise<EndpointAnswer>
  abstract prepare (name: string, mode: StatementMode, shape: string): Promise<EndpointAnswer>
  abstract closeStatement (name: string): Promise<EndpointAnswer>
  /** Drops session values and prepared statements. */
  abstract discard (): Promise<EndpointAnswer>
  /** `null` when the endpoint is too busy to tell. */
  abstract readStatus (): Promise<EndpointStatus | null>
  /** Stops a replica from receiving, until it is resumed, promoted or restarted. */
  abstract pause (term: number): Promise<EndpointStatus | null>
  abstract resume (): Promise<EndpointStatus | null>
  /** Makes a primary of a lower term a replica. */
  abstract demote (term: number): Promise<EndpointStatus | null>
  /** Calls the listener once, when the connection has ended. */
  abstract subscribeClose (listener: () => void): void
  abstract close (): void
}

/** Opens connections to endpoints. */
export abstract class EndpointConnector {
  /**
   * @throws EndpointRefusedError when the endpoint answered that it does not accept the connection
   * @throws ConnectionLostError when it could not be reached within `timeoutMs`
   */
  abstract connect (target: EndpointTarget, timeoutMs: number): Promise<EndpointConnection>
}
