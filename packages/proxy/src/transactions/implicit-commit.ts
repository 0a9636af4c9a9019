const nonCommittingStatement = /^\s*(select|insert|update|delete|replace|with)\b/i
/** Deadlock and lock wait timeout: the endpoint may have rolled the transaction back. */
const rollbackErrnos: ReadonlySet<number> = new Set([1205, 1213])

/** Whether the statement might commit the transaction by itself, as definitions of tables do. */
export function canCommitImplicitly (text: string): boolean {
  return !nonCommittingStatement.test(text)
}

/** Whether the endpoint may have ended the transaction when it answered this error. */
export function isTransactionEndError (errno: number): boolean {
  return rollbackErrnos.has(errno)
}
