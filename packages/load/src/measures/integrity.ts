/** What the system may never get wrong, counted by the callers. */
export interface Integrity {
  acknowledgedWrites: number
  /** Acknowledged writes that are gone; `null` where the databases could not be read afterwards. */
  lostWrites: number | null
  doubledWrites: number | null
  /** Reads that missed the session's own acknowledged write. */
  staleReads: number
}

/** Compares acknowledged ids with those stored; each database apart. */
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
