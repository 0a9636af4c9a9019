import type { ResponseError, ClientStatement, TransactionState } from '../backend/statement.ts'

/** Response to one statement of a client. */
export interface ClientResponse {
  rows?: readonly string[]
  /** The endpoint's signature; absent if the gateway responds without an endpoint. */
  signature?: string | null
  error?: ResponseError | null
  state: TransactionState
  /** Position to send to the client, as `term.index`; absent for none. */
  position?: { term: number, index: number } | null
}

/** Input of a client connection that has been received and not passed on as a message. */
export interface InputState {
  /** Its bytes: an incomplete message and, while the input is paused, the messages before that. */
  incompleteBytes: number
  /** Time since the last byte was received, in milliseconds; `null` before the first. */
  sinceLastByteMs: number | null
}

/** Responses that a client connection has been given and the client has not taken. */
export interface OutputState {
  waitingBytes: number
  /** Whether so much waits that no more should be added; `ClientEvents.handleDrain` tells when it has been taken. */
  isFull: boolean
}

/** The gateway's side of one client connection. */
export abstract class ClientTransport {
  /** Tells the client that its session is accepted. */
  abstract sendWelcome (): void
  /** Refuses the session and closes the connection. */
  abstract sendRefusal (error: ResponseError): void
  abstract sendResponse (response: ClientResponse): void
  /**
   * Tells an idle client that its session ends. A client whose statement is on its way takes the notice for the error in
   * response to that statement; `sendNoticeCompletion` completes the response.
   */
  abstract sendEndNotice (error: ResponseError): void
  /** Completes the notice as the response to a statement that has crossed it. No transaction is open then. */
  abstract sendNoticeCompletion (): void
  /** Stops reading from the client until `resumeInput`. */
  abstract pauseInput (): void
  abstract resumeInput (): void
  /** Drops the input that has been received and not passed on, and all that follows. */
  abstract discardInput (): void
  /** Ends the connection after all responses; the client's input is still read. */
  abstract close (): void
  /** Ends the connection at once; responses that the client has not taken are lost. */
  abstract destroy (): void
  abstract readInputState (): InputState
  abstract readOutputState (): OutputState
}

/** Handlers for what a client does on its connection; they are called in the order of the events. */
export interface ClientEvents {
  /** Handles the first message: the requested database, and the key that authenticates the client. */
  handleStartup: (database: string, key: string) => void
  handleStatement: (statement: ClientStatement) => void
  /** Handles a message that could not be decoded. */
  handleMalformed: (reason: string) => void
  /** Handles that input has been received, after the messages in it. */
  handleInput: () => void
  /** Handles that the client has taken its responses, after they were full. */
  handleDrain: () => void
  /** Handles a message above the maximum size, after which no further message is read. */
  handleTooLarge: () => void
  /** Handles the client's message that ends the session. */
  handleTerminate: () => void
  handleClose: () => void
}

/** Accepts client connections. */
export abstract class ClientListener {
  /** Starts to listen. `accept` is called with each new connection, and returns the handlers for its events. */
  abstract listen (accept: (transport: ClientTransport) => ClientEvents): Promise<void>
  /** Stops accepting connections. */
  abstract stop (): Promise<void>
}
