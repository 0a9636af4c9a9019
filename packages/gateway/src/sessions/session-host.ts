import type { Clock, Logger } from '@camphorpitch/wire'
import type { AnswerError } from '../backend/statement.ts'
import type { Configuration } from '../configuration/configuration.ts'
import type { Operation, Outcome } from '../statements/operation.ts'
import type { OpenedTransaction } from '../statements/pinned-transaction.ts'
import type { ClientSession } from './client-session.ts'

/** What a client session asks of the rest of the VM. */
export interface SessionHost {
  clock: Clock
  logger: Logger
  /** Waits for the first configuration; `null` when none came in time. */
  waitForConfiguration: () => Promise<Configuration | null>
  readConfiguration: () => Configuration | null
  readTransactionIdleTimeoutMs: () => number
  /** Counts an operation against its workspace's quota. @returns why it is refused, or `null` */
  admitOperation: (id: string, workspace: string) => Promise<AnswerError | null>
  runRead: (operation: Operation) => Promise<Outcome>
  runWrite: (operation: Operation) => Promise<Outcome>
  openTransaction: (operation: Operation, isReadOnly: boolean) => Promise<OpenedTransaction>
  recordOutcome: (operation: Operation, outcome: Outcome) => void
  removeSession: (session: ClientSession) => void
}
