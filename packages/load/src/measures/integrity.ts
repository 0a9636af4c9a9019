/** Counts of consistency violations that the system must never show, as the clients found them. */
export interface Integrity {
  acknowledgedWrites: number
  /** Acknowledged writes that are not stored; `null` if a database could not be read after the run. */
  lostWrites: number | null
  /** Rows that are stored in addition to the first of the same write; `null` as for `lostWrites`. */
  doubledWrites: number | null
  /** Reads that did not return an earlier acknowledged write of the same session. */
  staleReads: number
}

/** Compares the acknowledged IDs of each database with the IDs that it stores. */
export function checkIntegrity (acknowledgedByDatabase: ReadonlyMap<string, readonly string[]>, storedByDatabase: ReadonlyMap<string, readonly string[] | null>, staleReads: number): Integrity {
  let lostWrites = 0
  let doubledWrites = 0
  let acknowledgedWrites = 0
  let isEveryDatabaseReadable = true
  for (const [database, ids] of acknowledgedByDatabase) {
    acknowledgedWrites += ids.length
    const storedIds = storedByDatabase.get(database) ?? null
    if (storedIds === null) {
      isEveryDatabaseReadable = false
      continue
    }
    const distinctIds = new Set(storedIds)
    lostWrites += ids.filter(id => !distinctIds.has(id)).length
    doubledWrites += storedIds.length - distinctIds.size
  }
  return { acknowledgedWrites, lostWrites: isEveryDatabaseReadable ? lostWrites : null, doubledWrites: isEveryDatabaseReadable ? doubledWrites : null, staleReads }
}
