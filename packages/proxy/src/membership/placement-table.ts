import { hashName, hashPair } from '@camphorpitch/wire'
import { hashCandidates, selectFromHashed, SERVING_VM_COUNT, type Candidate, type HashedCandidate } from './placement.ts'

/** A database to place, with the regions of its endpoints. */
export interface PlacedDatabase {
  database: string
  regions: readonly string[]
}

interface Entry extends PlacedDatabase {
  key: number
  /** In the order of the hash. */
  selected: readonly Candidate[]
}

/**
 * The serving VMs of every database, kept up to date as members and databases come and go.
 *
 * A change of one member recomputes only the databases that it may serve, as if all were selected anew.
 */
export class PlacementTable {
  readonly #members = new Map<string, HashedCandidate>()
  readonly #entries = new Map<string, Entry>()

  /** Takes the members that may serve; returns the databases whose serving VMs changed. */
  replaceMembers (members: readonly Candidate[]): string[] {
    const current = new Map(hashCandidates(members).map(m => [m.candidate.vm, m]))
    const gone = [...this.#members.values()].filter(m => current.get(m.candidate.vm)?.place !== m.place)
    const fresh = [...current.values()].filter(m => this.#members.get(m.candidate.vm)?.place !== m.place)
    if (gone.length === 0 && fresh.length === 0) return []
    for (const m of gone) this.#members.delete(m.candidate.vm)
    for (const m of fresh) this.#members.set(m.candidate.vm, m)
    const goneVms = new Set(gone.map(m => m.candidate.vm))
    const affected = [...this.#entries.values()].filter(e => isAffected(e, goneVms, fresh))
    return this.#computeAnew(affected)
  }

  /** Takes the databases to place; returns those whose serving VMs changed, dropped ones included. */
  replaceDatabases (databases: readonly PlacedDatabase[]): string[] {
    const wanted = new Map(databases.map(d => [d.database, d]))
    const dropped = [...this.#entries.keys()].filter(name => !wanted.has(name))
    for (const name of dropped) this.#entries.delete(name)
    const changed: Entry[] = []
    for (const d of databases) {
      const entry = this.#entries.get(d.database)
      if (entry !== undefined && entry.regions.join() === d.regions.join()) continue
      const fresh = { ...d, key: hashName(d.database), selected: entry?.selected ?? [] }
      this.#entries.set(d.database, fresh)
      changed.push(fresh)
    }
    return [...dropped, ...this.#computeAnew(changed)]
  }

  /** Serving VMs in the order of the hash; none for an unknown database. */
  listSelected (database: string): readonly Candidate[] {
    return this.#entries.get(database)?.selected ?? []
  }

  listDatabases (): string[] {
    return [...this.#entries.keys()]
  }

  #computeAnew (entries: readonly Entry[]): string[] {
    const members = [...this.#members.values()]
    return entries.filter(entry => {
      const before = entry.selected
      entry.selected = selectFromHashed(entry.database, members, { regions: entry.regions })
      return !hasSameVms(before, entry.selected)
    }).map(e => e.database)
  }
}

function isAffected (entry: Entry, gone: ReadonlySet<string>, fresh: readonly HashedCandidate[]): boolean {
  if (entry.selected.some(c => gone.has(c.vm))) return true
  if (fresh.length === 0) return false
  if (!isSpread(entry)) return true
  const lowest = Math.min(...entry.selected.map(c => hashPair(entry.key, hashName(c.vm))))
  return fresh.some(m => hashPair(entry.key, m.hash) >= lowest)
}

/** Whether only a VM of a higher weight can still enter: enough VMs, each in a wanted region of its own. */
function isSpread ({ selected, regions }: Entry): boolean {
  if (selected.length < SERVING_VM_COUNT) return false
  if (new Set(selected.map(c => c.region)).size < selected.length) return false
  return regions.length === 0 || selected.every(c => regions.includes(c.region))
}

function hasSameVms (a: readonly Candidate[], b: readonly Candidate[]): boolean {
  return a.length === b.length && a.every((c, i) => c.vm === b[i]!.vm)
}
