import type { Change, Listing, StoredObject } from '../metadata/metadata-store.ts'
import type { EndpointEntry } from './endpoint-entry.ts'

/** Time after the store's return within which lapsed entries come back, in milliseconds; from the platform's promise. */
export const LAPSED_ENTRY_GRACE_MS = 2_000

/** Endpoints as registered, and until when lapsed ones are kept. */
export interface DirectoryState {
  entries: Map<string, EndpointEntry>
  /** Revision of the store up to which changes are included. */
  asOf: number
  /** Endpoints without an entry, and when to drop them. */
  lapsedRemovalAtMs: Map<string, number>
  /** When the store was last known to come back; entries may still be missing shortly after. */
  storeRecoveredAtMs: number
}

export type DirectoryEvent = 'added' | 'changed' | 'lapsed' | 'removed'
export interface DirectoryChange { event: DirectoryEvent, entry: EndpointEntry }

export function createDirectory (): DirectoryState {
  return { entries: new Map(), asOf: 0, lapsedRemovalAtMs: new Map(), storeRecoveredAtMs: -Infinity }
}

/** Takes in that the store answers again after it did not. */
export function recordStoreRecovery (state: DirectoryState, nowMs: number): void {
  state.storeRecoveredAtMs = nowMs
}

/** Takes in the whole list. */
export function applyListing (state: DirectoryState, listing: Listing<EndpointEntry>, nowMs: number): DirectoryChange[] {
  if (listing.asOf < state.asOf) return []
  state.asOf = listing.asOf
  const changes = listing.items.flatMap(o => applyObject(state, o))
  const listedNames = new Set(listing.items.filter(o => o.value !== null).map(o => o.name))
  for (const name of [...state.entries.keys()]) {
    if (!listedNames.has(name)) changes.push(...handleMissingEntry(state, name, nowMs))
  }
  return changes
}

/** Takes in changes that a watch has shown. */
export function applyChanges (state: DirectoryState, storeChanges: ReadonlyArray<Change<EndpointEntry>>, asOf: number, nowMs: number): DirectoryChange[] {
  const changes = storeChanges.flatMap(({ object, isRemoved }) => isRemoved ? handleMissingEntry(state, object.name, nowMs) : applyObject(state, object))
  state.asOf = Math.max(state.asOf, asOf)
  return changes
}

/** Drops entries that have been missing for long enough. */
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

function applyObject (state: DirectoryState, { name, value }: StoredObject<EndpointEntry>): DirectoryChange[] {
  if (value === null) return []
  const previous = state.entries.get(name)
  state.entries.set(name, value)
  state.lapsedRemovalAtMs.delete(name)
  return [{ event: previous === undefined ? 'added' : 'changed', entry: value }]
}

function handleMissingEntry (state: DirectoryState, name: string, nowMs: number): DirectoryChange[] {
  const entry = state.entries.get(name)
  if (entry === undefined || state.lapsedRemovalAtMs.has(name)) return []
  const removalAtMs = state.storeRecoveredAtMs + LAPSED_ENTRY_GRACE_MS
  if (removalAtMs > nowMs) {
    state.lapsedRemovalAtMs.set(name, removalAtMs)
    return [{ event: 'lapsed', entry }]
  }
  state.entries.delete(name)
  return [{ event: 'removed', entry }]
}

/** The service's endpoints, in the order of their names. */
export function listEndpoints (state: DirectoryState, service: string): EndpointEntry[] {
  return [...state.entries.values()].filter(e => e.service === service).sort((a, b) => a.endpoint < b.endpoint ? -1 : 1)
}
