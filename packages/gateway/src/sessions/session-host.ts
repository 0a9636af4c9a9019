import type { Clock, Logger } from '@camphorpitch/wire'
import type { ResponseError } from '../backend/statement.ts'
import type { Configuration } from '../configuration/configuration.ts'
import type { Operation, Outcome } from '../statements/operation.ts'
import type { OpenedTransaction } from '../statements/pinned-transaction.ts'
import type { ClientSession } from './client-session.ts'
import type { InputBudget } from './input-budget.ts'
import type { SessionEnd } from './session-end.ts'

/** What a client session needs from the other components of this VM. */
export interface SessionHost {
  clock: Clock
  logger: Logger
  inputBudget: InputBudget
  /** Waits for the first configuration; `null` when none arrived in time. */
  waitForConfiguration: () => Promise<Configuration | null>
  /** Returns the current configuration; `null` before the first. */
  readConfiguration: () => Configuration | null
  /** Returns the time after which an idle transaction is rolled back, in milliseconds. */
  readTransactionIdleTimeoutMs: () => number
  /**
   * Counts an operation against its workspace's quota, and waits for its token for at most `maxWaitMs`.
   *
   * @returns the error that refuses the operation, or `null` when it is admitted
   */
  admitOperation: (id: string, workspace: string, maxWaitMs: number) => Promise<ResponseError | null>
  runRead: (operation: Operation) => Promise<Outcome>
  runWrite: (operation: Operation) => Promise<Outcome>
  openTransaction: (operation: Operation, isReadOnly: boolean) => Promise<OpenedTransaction>
  /** Records how an operation ended, in metrics and, for errors, in the log. */
  recordOutcome: (operation: Operation, outcome: Outcome) => void
  /** Records how a session ended, in metrics and in the log. */
  recordSessionEnd: (end: SessionEnd) => void
  /** Removes a closed session from the VM's list of sessions. */
  removeSession: (session: ClientSession) => void
}
