import type { Change, Listing, StoredObject } from '../metadata/metadata-store.ts'
import { compareRevisions, type Revision } from '../metadata/revision.ts'
import type { EndpointEntry } from './endpoint-entry.ts'

/** The platform guarantees that entries which lapsed during a store outage return within this time after it. */
export const LAPSED_ENTRY_GRACE_MS = 2_000

/** The registered endpoints, including those whose entries have lapsed and may come back. */
export interface DirectoryState {
  entries: Map<string, EndpointEntry>
  /** Revision of the store up to which changes have been applied. */
  asOf: Revision
  /** When to remove each endpoint whose entry is missing from the store, by its name. */
  lapsedRemovalAtMs: Map<string, number>
  /** When the store last recovered from an outage, or returned from an older copy; entries may still be missing or outdated shortly after. */
  storeRecoveredAtMs: number
}

export type DirectoryEvent = 'added' | 'changed' | 'lapsed' | 'removed'
export interface DirectoryChange { event: DirectoryEvent, entry: EndpointEntry }

export function createDirectory (): DirectoryState {
  return { entries: new Map(), asOf: { epoch: 0, number: 0 }, lapsedRemovalAtMs: new Map(), storeRecoveredAtMs: -Infinity }
}

/** Records that the store responds again after an outage, or that it has returned from an older copy. */
export function recordStoreRecovery (state: DirectoryState, nowMs: number): void {
  state.storeRecoveredAtMs = nowMs
  for (const name of state.lapsedRemovalAtMs.keys()) state.lapsedRemovalAtMs.set(name, nowMs + LAPSED_ENTRY_GRACE_MS)
}

/** Applies a full listing of the store; one older than what has been applied is ignored. */
export function applyListing (state: DirectoryState, listing: Listing<EndpointEntry>, nowMs: number): DirectoryChange[] {
  if (compareRevisions(listing.asOf, state.asOf) < 0) return []
  state.asOf = listing.asOf
  const changes = listing.items.flatMap(o => applyObject(state, o, nowMs))
  const listedNames = new Set(listing.items.filter(o => o.value !== null).map(o => o.name))
  for (const name of [...state.entries.keys()]) {
    if (!listedNames.has(name)) changes.push(...handleMissingEntry(state, name, nowMs))
  }
  return changes
}

/** Applies changes that a watch of the store has returned. */
export function applyChanges (state: DirectoryState, storeChanges: ReadonlyArray<Change<EndpointEntry>>, asOf: Revision, nowMs: number): DirectoryChange[] {
  const changes = storeChanges.flatMap(({ object, isRemoved }) => isRemoved ? handleMissingEntry(state, object.name, nowMs) : applyObject(state, object, nowMs))
  if (compareRevisions(asOf, state.asOf) > 0) state.asOf = asOf
  return changes
}

/** Removes lapsed entries that have not come back in time. */
export function removeExpiredLapsedEntries (state: DirectoryState, nowMs: number): DirectoryChange[] {
  const changes: DirectoryChange[] = []
  for (const [name, removalAtMs] of state.lapsedRemovalAtMs) {
    if (removalAtMs > nowMs) continue
    const entry = state.entries.get(name)
    state.lapsedRemovalAtMs.delete(name)
    state.entries.delete(name)
    if (entry !== undefined) changes.push({ event: 'removed', entry })
  }
  return changes
}

function applyObject (state: DirectoryState, { name, value }: StoredObject<EndpointEntry>, nowMs: number): DirectoryChange[] {
  if (value === null) return []
  const previous = state.entries.get(name)
  // A store that returned from an older copy lists an entry as it was before the endpoint reported that it drains.
  const isOutdated = previous !== undefined && previous.isDraining && previous.startedAtMs === value.startedAtMs && isStoreRecovering(state, nowMs)
  const entry = isOutdated ? { ...value, isDraining: true } : value
  state.entries.set(name, entry)
  state.lapsedRemovalAtMs.delete(name)
  return [{ event: previous === undefined ? 'added' : 'changed', entry }]
}

/** Whether the store recovered so recently that entries may still be missing or outdated. */
function isStoreRecovering ({ storeRecoveredAtMs }: DirectoryState, nowMs: number): boolean {
  return nowMs < storeRecoveredAtMs + LAPSED_ENTRY_GRACE_MS
}

/** Removes an entry that is missing from the store, or keeps it for a while if the store recovered a short time ago. */
function handleMissingEntry (state: DirectoryState, name: string, nowMs: number): DirectoryChange[] {
  const entry = state.entries.get(name)
  if (entry === undefined || state.lapsedRemovalAtMs.has(name)) return []
  if (isStoreRecovering(state, nowMs)) {
    state.lapsedRemovalAtMs.set(name, state.storeRecoveredAtMs + LAPSED_ENTRY_GRACE_MS)
    return [{ event: 'lapsed', entry }]
  }
  state.entries.delete(name)
  return [{ event: 'removed', entry }]
}

/** Lists the service's endpoints, sorted by name. */
export function listEndpoints (state: DirectoryState, service: string): EndpointEntry[] {
  return [...state.entries.values()].filter(e => e.service === service).sort((a, b) => a.endpoint < b.endpoint ? -1 : 1)
}
