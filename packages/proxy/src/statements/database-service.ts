import type { ResponseFrame, StatementRequest } from '@camphorpitch/wire'

/** Runs statements on the endpoints of one database, on a VM that serves it. */
export abstract class DatabaseService {
  /**
   * Runs one statement. The generator yields the frames of the response as the consumer requests
   * them, so a slow consumer slows down reading from the endpoint. Returning the generator early
   * cancels the statement.
   */
  abstract run (request: StatementRequest): AsyncGenerator<ResponseFrame, void, void>
  /** Whether the transaction is open on this service. A draining service still runs the statements of its open transactions. */
  abstract hasTransaction (transactionId: string): boolean
  /** Rolls back the transaction and closes its connection. */
  abstract abandon (transactionId: string): void
  /** Accepts no new statements or transactions, and resolves when all accepted ones have ended. */
  abstract drain (): Promise<void>
  /** Stops the service at once; open transactions end with their connections. */
  abstract stop (): void
}

/**
 * Finds the service of a database on this VM. With a transaction ID, prefers the service that holds the
 * transaction, which may be draining. Returns `undefined` if there is none.
 */
export type FindService = (database: string, transactionId: string | null) => DatabaseService | undefined
