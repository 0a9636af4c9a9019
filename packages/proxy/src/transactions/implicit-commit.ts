/** Matches statements that are known not to commit a transaction. */
const nonCommittingStatement = /^\s*(select|insert|update|delete|replace|with)\b/i
/** MySQL's errors for a lock wait timeout and a deadlock: the endpoint may have rolled the transaction back. */
const rollbackErrnos: ReadonlySet<number> = new Set([1205, 1213])

/** Whether the statement may commit the open transaction implicitly, as DDL statements do; true for every statement not known to be safe. */
export function canCommitImplicitly (text: string): boolean {
  return !nonCommittingStatement.test(text)
}

/** Whether the endpoint may have ended the transaction when it returned this error. */
export function isTransactionEndError (errno: number): boolean {
  return rollbackErrnos.has(errno)
}
