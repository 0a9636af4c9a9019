/** Table of the workload. It has no primary key, so that a write that is applied twice leaves two rows. */
export const WORKLOAD_TABLE = 'load_entries'

export const createTableStatements = [
  `CREATE TABLE IF NOT EXISTS ${WORKLOAD_TABLE} (id VARCHAR(64), workspace VARCHAR(63), quantity INTEGER)`,
  `CREATE INDEX IF NOT EXISTS ${WORKLOAD_TABLE}_id ON ${WORKLOAD_TABLE} (id)`
]

/** @example formatInsert('bergen-0-7', 'bergen', 7) */
export function formatInsert (id: string, workspace: string, quantity: number): string {
  return `INSERT INTO ${WORKLOAD_TABLE} VALUES ('${id}', '${workspace}', ${quantity})`
}

export function formatRead (id: string): string {
  return `SELECT quantity FROM ${WORKLOAD_TABLE} WHERE id = '${id}'`
}

export function formatUpdate (id: string, quantity: number): string {
  return `UPDATE ${WORKLOAD_TABLE} SET quantity = ${quantity} WHERE id = '${id}'`
}

/** @returns whether a statement that an endpoint recorded is a read of the workload */
export function isWorkloadRead (text: string): boolean {
  return text.startsWith(`SELECT quantity FROM ${WORKLOAD_TABLE}`)
}
