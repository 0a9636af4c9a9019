import type { AnswerError, ClientStatement, TransactionState } from '../backend/statement.ts'

/** Answer to one statement of a client. */
export interface ClientAnswer {
  rows?: readonly string[]
  /** The endpoint's signature; absent where the gateway answers by itself. */
  signature?: string | null
  error?: AnswerError | null
  state: TransactionState
  /** Position to show, as `term.index`; absent shows none. */
  position?: { term: number, index: number } | null
}

/** The gateway's side of one client connection. */
export abstract class ClientTransport {
  /** Accepts the session. */
  abstract sendWelcome (): void
  /** Refuses the session and closes. */
  abstract sendRefusal (error: AnswerError): void
  abstract sendAnswer (answer: ClientAnswer): void
  abstract close (): void
}

/** What a client does on its connection, in order. */
export interface ClientEvents {
  /** First message: the database it wants and the key it shows. */
  handleStartup: (database: string, key: string) => void
  handleStatement: (statement: ClientStatement) => void
  /** A message that could not be decoded; `id` where one could be read. */
  handleMalformed: (reason: string) => void
  handleClose: () => void
}

/** Accepts client connections. */
export abstract class ClientListener {
  abstract listen (accept: (transport: ClientTransport) => ClientEvents): Promise<void>
  /** Accepts no further connections. */
  abstract stop (): Promise<void>
}
