import type { Endpoint } from '@camphorpitch/wire'
import type { ConnectionLease } from '../serving/run-on-connection.ts'

/** A transaction and the connection that it keeps until it ends. */
export interface Transaction {
  id: string
  sessionId: string
  workspace: string
  endpoint: Endpoint
  lease: ConnectionLease
  isRunning: boolean
  /** Set when the transaction must end as soon as its running statement has. */
  isAbandoned: boolean
  lastUsedAtMs: number
}

export type TransactionTable = Map<string, Transaction>

const IDLE_TIMEOUT_MS = 60_000

/** The transaction that a statement of this session may use; `undefined` for any other. */
export function findTransaction (table: TransactionTable, id: string, sessionId: string, workspace: string): Transaction | undefined {
  const transaction = table.get(id)
  if (transaction === undefined || transaction.isAbandoned) return undefined
  if (transaction.sessionId !== sessionId || transaction.workspace !== workspace) return undefined
  return transaction
}

/** Transactions whose callers have sent nothing for the idle timeout. */
export function listIdleTransactions (table: TransactionTable, nowMs: number): Transaction[] {
  return [...table.values()].filter(t => !t.isRunning && nowMs - t.lastUsedAtMs >= IDLE_TIMEOUT_MS)
}
