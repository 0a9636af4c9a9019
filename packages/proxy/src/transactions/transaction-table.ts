import type { Endpoint } from '@camphorpitch/wire'
import type { ConnectionLease } from '../serving/run-on-connection.ts'

/** An open transaction and the connection that it keeps until it ends. */
export interface Transaction {
  id: string
  sessionId: string
  workspace: string
  endpoint: Endpoint
  lease: ConnectionLease
  /** True while a statement of the transaction runs. */
  isRunning: boolean
  /** True while the abandoned transaction is being rolled back; it accepts no more statements. */
  isAbandoned: boolean
  /** Time of BEGIN or of the end of the last statement. */
  lastUsedAtMs: number
}

export type TransactionTable = Map<string, Transaction>

const IDLE_TIMEOUT_MS = 60_000

/** Returns the transaction if it belongs to the session and workspace and accepts statements; `undefined` otherwise. */
export function findTransaction (table: TransactionTable, id: string, sessionId: string, workspace: string): Transaction | undefined {
  const transaction = table.get(id)
  if (transaction === undefined || transaction.isAbandoned) return undefined
  if (transaction.sessionId !== sessionId || transaction.workspace !== workspace) return undefined
  return transaction
}

/** Lists the transactions that no statement has used for the idle timeout. */
export function listIdleTransactions (table: TransactionTable, nowMs: number): Transaction[] {
  return [...table.values()].filter(t => !t.isRunning && nowMs - t.lastUsedAtMs >= IDLE_TIMEOUT_MS)
}
