import { hashName, hashPair } from '@camphorpitch/wire'
import { hashCandidates, selectFromHashedCandidates, SERVING_VM_COUNT, type Candidate, type HashedCandidate } from './placement.ts'

/** A database to place, with the regions of its endpoints. */
export interface PlacedDatabase {
  database: string
  regions: readonly string[]
}

interface PlacementEntry extends PlacedDatabase {
  /** Hash of the database's name. */
  key: number
  /** Serving VMs in the order in which they were selected. */
  selected: readonly Candidate[]
}

/**
 * The serving VMs of every database, kept up to date as members and databases come and go.
 *
 * A change of members recomputes only the databases that it can affect; the result equals a new selection for all.
 */
export class PlacementTable {
  readonly #members = new Map<string, HashedCandidate>()
  readonly #entries = new Map<string, PlacementEntry>()

  /**
   * Replaces the members that may serve databases.
   *
   * @returns the databases whose serving VMs changed
   */
  replaceMembers (members: readonly Candidate[]): string[] {
    const current = new Map(hashCandidates(members).map(m => [m.candidate.vm, m]))
    const removed = [...this.#members.values()].filter(m => current.get(m.candidate.vm)?.location !== m.location)
    const added = [...current.values()].filter(m => this.#members.get(m.candidate.vm)?.location !== m.location)
    if (removed.length === 0 && added.length === 0) return []
    for (const m of removed) this.#members.delete(m.candidate.vm)
    for (const m of added) this.#members.set(m.candidate.vm, m)
    const removedVms = new Set(removed.map(m => m.candidate.vm))
    const affected = [...this.#entries.values()].filter(e => isAffected(e, removedVms, added))
    return this.#updateSelections(affected)
  }

  /**
   * Replaces the databases to place.
   *
   * @returns the databases whose serving VMs changed, including removed databases
   */
  replaceDatabases (databases: readonly PlacedDatabase[]): string[] {
    const wanted = new Map(databases.map(d => [d.database, d]))
    const dropped = [...this.#entries.keys()].filter(name => !wanted.has(name))
    for (const name of dropped) this.#entries.delete(name)
    const changed: PlacementEntry[] = []
    for (const d of databases) {
      const entry = this.#entries.get(d.database)
      if (entry !== undefined && entry.regions.join() === d.regions.join()) continue
      const updatedEntry = { ...d, key: hashName(d.database), selected: entry?.selected ?? [] }
      this.#entries.set(d.database, updatedEntry)
      changed.push(updatedEntry)
    }
    return [...dropped, ...this.#updateSelections(changed)]
  }

  /** Serving VMs in the order in which they were selected; empty for an unknown database. */
  listSelected (database: string): readonly Candidate[] {
    return this.#entries.get(database)?.selected ?? []
  }

  listDatabases (): string[] {
    return [...this.#entries.keys()]
  }

  #updateSelections (entries: readonly PlacementEntry[]): string[] {
    const members = [...this.#members.values()]
    return entries.filter(entry => {
      const previous = entry.selected
      entry.selected = selectFromHashedCandidates(entry.database, members, { regions: entry.regions })
      return !hasSameVms(previous, entry.selected)
    }).map(e => e.database)
  }
}

function isAffected (entry: PlacementEntry, removedVms: ReadonlySet<string>, added: readonly HashedCandidate[]): boolean {
  if (entry.selected.some(c => removedVms.has(c.vm))) return true
  if (added.length === 0) return false
  if (!isFullySpread(entry)) return true
  const lowestWeight = Math.min(...entry.selected.map(c => hashPair(entry.key, hashName(c.vm))))
  return added.some(m => hashPair(entry.key, m.hash) >= lowestWeight)
}

/**
 * Whether a new member can enter the selection only by a higher weight: there are enough VMs, and each is
 * in a region of its own that is one of the wanted regions, if any are given.
 */
function isFullySpread ({ selected, regions }: PlacementEntry): boolean {
  if (selected.length < SERVING_VM_COUNT) return false
  if (new Set(selected.map(c => c.region)).size < selected.length) return false
  return regions.length === 0 || selected.every(c => regions.includes(c.region))
}

function hasSameVms (a: readonly Candidate[], b: readonly Candidate[]): boolean {
  return a.length === b.length && a.every((c, i) => c.vm === b[i]!.vm)
}
