import type { StoredObject } from '@camphorpitch/wire'

/** Largest page of objects in one message between VMs, in bytes of JSON. */
export const MAX_PAGE_BYTES = 64 * 1024

/**
 * The objects that a VM knows, ordered by the store's revision.
 *
 * Merging is idempotent and commutative: of two versions of an object the one of the higher revision
 * stays, whatever the order of arrival.
 */
export interface ObjectSet {
  /** By `kind/name`; a deleted object stays with value `null`, as its version. */
  byKey: Map<string, StoredObject>
  /** Every change up to this revision is included. */
  revision: number
  /** Deletions up to this revision may be absent from `byKey`. */
  minDeltaRevision: number
}

/** All changes of objects with a revision in `(from, to]`, the last of each; later ones may be included. */
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

/** Merges objects, and answers those that were news. */
export function mergeObjects (set: ObjectSet, objects: readonly StoredObject[]): StoredObject[] {
  return objects.filter(o => {
    const known = set.byKey.get(formatKey(o))
    if (o.revision <= set.revision || (known !== undefined && known.revision >= o.revision)) return false
    set.byKey.set(formatKey(o), o)
    return true
  })
}

/** Merges a delta; it makes the set complete up to `to` if it follows on what the set holds. */
export function applyDelta (set: ObjectSet, delta: Delta): StoredObject[] {
  const changes = mergeObjects(set, delta.objects)
  if (delta.from <= set.revision) set.revision = Math.max(set.revision, delta.to)
  return changes
}

/** Marks objects as deleted that a full listing as of `revision` did not hold. */
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

/** Makes the set complete up to `revision` after a full listing, which shows no deletions. */
export function recordFullListing (set: ObjectSet, revision: number): void {
  if (revision <= set.revision) return
  set.revision = revision
  set.minDeltaRevision = revision
}

/** A page of what changed after `since`, in order of revision; a VM that has nothing yet passes 0. */
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

/** Objects that share a revision, as after a listing, stay on one page. */
function selectWholeRevisions (sorted: StoredObject[], count: number): StoredObject[] {
  let end = count
  while (end < sorted.length && sorted[end]?.revision === sorted[end - 1]?.revision) end += 1
  return sorted.slice(0, end)
}

export function estimateBytes (object: StoredObject): number {
  return JSON.stringify(object.value).length + object.name.length
}
