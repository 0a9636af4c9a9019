import type { StoredObject } from '@camphorpitch/wire'

/** Maximum size of a page of objects in a message between VMs, in estimated bytes of JSON. */
export const MAX_PAGE_BYTES = 64 * 1024

/**
 * The objects that a VM has, with their revisions in the object service.
 *
 * Merging is idempotent and commutative: of two versions of an object the one with the higher revision
 * is kept, in whichever order they arrive.
 */
export interface ObjectSet {
  /** Objects by `kind/name`. A deleted object is kept as a tombstone with value `null`. */
  byKey: Map<string, StoredObject>
  /** Every change up to this revision is included. */
  revision: number
  /** Oldest revision from which a delta can be sent: `byKey` may lack deletions up to here, since the last full listing did not show them. */
  minDeltaRevision: number
}

/** The latest change of each object that changed after `from`, up to and including `to`. Later changes may be included. */
export interface Delta {
  from: number
  to: number
  objects: StoredObject[]
}

export function createObjectSet (): ObjectSet {
  return { byKey: new Map(), revision: 0, minDeltaRevision: 0 }
}

/** @example formatKey({ kind: 'contract', name: 'orders' }) // 'contract/orders' */
export function formatKey (object: Pick<StoredObject, 'kind' | 'name'>): string {
  return `${object.kind}/${object.name}`
}

/** Merges objects into the set and returns those that were newer than what it had. */
export function mergeObjects (set: ObjectSet, objects: readonly StoredObject[]): StoredObject[] {
  return objects.filter(o => {
    const current = set.byKey.get(formatKey(o))
    if (o.revision <= set.revision || (current !== undefined && current.revision >= o.revision)) return false
    set.byKey.set(formatKey(o), o)
    return true
  })
}

/** Merges a delta and returns the objects that were newer. The set is complete up to `to` if the delta begins at or before its revision. */
export function applyDelta (set: ObjectSet, delta: Delta): StoredObject[] {
  const changes = mergeObjects(set, delta.objects)
  if (delta.from <= set.revision) set.revision = Math.max(set.revision, delta.to)
  return changes
}

/**
 * Marks the objects as deleted that a full listing as of `revision` does not contain.
 *
 * @param kind limits this to the objects of one kind
 * @returns the tombstones
 */
export function deleteUnlistedObjects (set: ObjectSet, listedKeys: ReadonlySet<string>, revision: number, kind?: string): StoredObject[] {
  const tombstones: StoredObject[] = []
  for (const [key, o] of set.byKey) {
    if (o.value === null || o.revision > revision || listedKeys.has(key)) continue
    if (kind !== undefined && o.kind !== kind) continue
    const tombstone = { ...o, version: o.version + 1, revision, value: null }
    set.byKey.set(key, tombstone)
    tombstones.push(tombstone)
  }
  return tombstones
}

/** Marks the set as complete up to `revision` after a full listing. As a listing does not show deletions, no delta from an older revision can be sent any more. */
export function recordFullListing (set: ObjectSet, revision: number): void {
  if (revision <= set.revision) return
  set.revision = revision
  set.minDeltaRevision = revision
}

/** Selects a page of the changes after `since`, in order of revision; 0 selects from the beginning. */
export function selectPage (set: ObjectSet, since: number): Delta & { isLast: boolean } {
  const changed = [...set.byKey.values()].filter(o => o.revision > since)
  changed.sort((a, b) => a.revision - b.revision)
  let bytes = 0
  const firstBeyondPage = changed.findIndex(o => {
    bytes += estimateBytes(o)
    return bytes > MAX_PAGE_BYTES
  })
  if (firstBeyondPage === -1) return { from: since, to: Math.max(since, set.revision), objects: changed, isLast: true }
  const objects = selectWholeRevisions(changed, Math.max(firstBeyondPage, 1))
  const to = objects.at(-1)?.revision ?? since
  return { from: since, to: Math.min(to, Math.max(since, set.revision)), objects, isLast: objects.length === changed.length }
}

/** Extends a page so that objects with the same revision are not split; a listing gives its tombstones the same revision. */
function selectWholeRevisions (sorted: StoredObject[], count: number): StoredObject[] {
  let end = count
  while (end < sorted.length && sorted[end]?.revision === sorted[end - 1]?.revision) end += 1
  return sorted.slice(0, end)
}

/** Estimates an object's size in a message, in bytes of JSON. */
export function estimateBytes (object: StoredObject): number {
  return JSON.stringify(object.value).length + object.name.length
}
