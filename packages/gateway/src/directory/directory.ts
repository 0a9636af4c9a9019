import type { Change, Listing, StoredObject } from '../metadata/metadata-store.ts'
import { compareRevisions, type Revision } from '../metadata/revision.ts'
import type { EndpointEntry, EndpointListing } from './endpoint-entry.ts'

/** The platform guarantees that entries which lapsed during a store outage return within this time after it. */
export const LAPSED_ENTRY_GRACE_MS = 2_000
/** How long a removed endpoint is remembered; the store returns from copies that are seconds old. */
const REMOVED_ENTRY_MEMORY_MS = 60_000

/** The registered endpoints, including those whose entries have lapsed and may come back. */
export interface DirectoryState {
  entries: Map<string, EndpointEntry>
  /** Revision of the store up to which changes have been applied. */
  asOf: Revision
  /** When to remove each endpoint whose entry is missing from the store, by its name. */
  lapsedRemovalAtMs: Map<string, number>
  /** Start of each endpoint that was removed lately, by its name, with the time of its removal. */
  removedStarts: Map<string, { startedAtMs: number, atMs: number }>
  /** Entries of an earlier start than is known, which an older copy of the store has. They are applied if the store still has them after the grace period. */
  heldBack: Map<string, EndpointEntry>
  /** When the store last recovered from an outage, or returned from an older copy; entries may still be missing or outdated shortly after. */
  storeRecoveredAtMs: number
  /** Until when entries may be of earlier starts than are known, as the store has returned from an older copy. */
  outdatedUntilMs: number
}

export type DirectoryEvent = 'added' | 'changed' | 'lapsed' | 'removed'
export interface DirectoryChange { event: DirectoryEvent, entry: EndpointEntry }

export function createDirectory (): DirectoryState {
  return { entries: new Map(), asOf: { epoch: 0, number: 0 }, lapsedRemovalAtMs: new Map(), removedStarts: new Map(), heldBack: new Map(), storeRecoveredAtMs: -Infinity, outdatedUntilMs: -Infinity }
}

/** Records that the store responds again after an outage. */
export function recordStoreRecovery (state: DirectoryState, nowMs: number): void {
  state.storeRecoveredAtMs = nowMs
  for (const name of state.lapsedRemovalAtMs.keys()) state.lapsedRemovalAtMs.set(name, nowMs + LAPSED_ENTRY_GRACE_MS)
}

/** Records that the store has returned from an older copy. */
export function recordOlderCopy (state: DirectoryState, nowMs: number): void {
  recordStoreRecovery(state, nowMs)
  state.outdatedUntilMs = nowMs + LAPSED_ENTRY_GRACE_MS
}

/** Applies a full listing of the store; one older than what has been applied is ignored. */
export function applyListing (state: DirectoryState, listing: Listing<EndpointEntry>, nowMs: number): DirectoryChange[] {
  if (compareRevisions(listing.asOf, state.asOf) < 0) return []
  state.asOf = listing.asOf
  state.heldBack.clear()
  const changes = listing.items.flatMap(o => applyObject(state, o, nowMs))
  const listedNames = new Set(listing.items.filter(o => o.value !== null).map(o => o.name))
  for (const name of [...state.entries.keys()]) {
    if (!listedNames.has(name)) changes.push(...handleMissingEntry(state, name, nowMs))
  }
  return changes
}

/** Whether the endpoints have been listed, by the store or by a VM that knew the store's listing. */
export function isListed ({ asOf }: DirectoryState): boolean {
  return asOf.epoch > 0 || asOf.number > 0
}

/** Lists the entries with the revision that they are known up to, for a VM that can't list them itself; `null` before they are listed. */
export function createOffer (state: DirectoryState): EndpointListing | null {
  return isListed(state) ? { entries: [...state.entries.values()], asOf: state.asOf } : null
}

/** Applies another VM's entries, unless they have been listed already. The store's own listing replaces them once it arrives. */
export function applyOffer (state: DirectoryState, { entries, asOf }: EndpointListing, nowMs: number): DirectoryChange[] {
  if (isListed(state)) return []
  return applyListing(state, { items: entries.map(value => ({ name: value.endpoint, revision: asOf, value })), asOf }, nowMs)
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
    if (entry !== undefined) changes.push(removeEntry(state, entry, nowMs))
  }
  return changes
}

/** Applies the entries of earlier starts that the store still has once the grace period after its return is over. */
export function applyHeldBackEntries (state: DirectoryState, nowMs: number): DirectoryChange[] {
  if (nowMs < state.outdatedUntilMs) return []
  const objects = [...state.heldBack].map(([name, value]) => ({ name, value }))
  return objects.flatMap(o => applyObject(state, o, nowMs))
}

function removeEntry (state: DirectoryState, entry: EndpointEntry, nowMs: number): DirectoryChange {
  const { endpoint, startedAtMs } = entry
  state.entries.delete(endpoint)
  for (const [name, { atMs }] of state.removedStarts) if (nowMs - atMs >= REMOVED_ENTRY_MEMORY_MS) state.removedStarts.delete(name)
  state.removedStarts.set(endpoint, { startedAtMs, atMs: nowMs })
  return { event: 'removed', entry }
}

function applyObject (state: DirectoryState, { name, value }: Pick<StoredObject<EndpointEntry>, 'name' | 'value'>, nowMs: number): DirectoryChange[] {
  if (value === null) return []
  state.heldBack.delete(name)
  if (nowMs < state.outdatedUntilMs && isOfEarlierStart(state, value)) {
    state.heldBack.set(name, value)
    return []
  }
  const previous = state.entries.get(name)
  // A store that returned from an older copy lists an entry as it was before the endpoint reported that it drains.
  const isOutdated = previous !== undefined && previous.isDraining && previous.startedAtMs === value.startedAtMs && isStoreRecovering(state, nowMs)
  const entry = isOutdated ? { ...value, isDraining: true } : value
  state.entries.set(name, entry)
  state.lapsedRemovalAtMs.delete(name)
  state.removedStarts.delete(name)
  return [{ event: previous === undefined ? 'added' : 'changed', entry }]
}

/** Whether an entry is of a start that ended: the endpoint has started again since, or was removed. */
function isOfEarlierStart ({ entries, removedStarts }: DirectoryState, { endpoint, startedAtMs }: EndpointEntry): boolean {
  const present = entries.get(endpoint)
  return present === undefined ? startedAtMs <= (removedStarts.get(endpoint)?.startedAtMs ?? -Infinity) : startedAtMs < present.startedAtMs
}

/** Whether the store recovered so recently that entries may still be missing or outdated. */
export function isStoreRecovering ({ storeRecoveredAtMs }: DirectoryState, nowMs: number): boolean {
  return nowMs < storeRecoveredAtMs + LAPSED_ENTRY_GRACE_MS
}

/** Removes an entry that is missing from the store, or keeps it for a while if the store recovered a short time ago. */
function handleMissingEntry (state: DirectoryState, name: string, nowMs: number): DirectoryChange[] {
  state.heldBack.delete(name)
  const entry = state.entries.get(name)
  if (entry === undefined || state.lapsedRemovalAtMs.has(name)) return []
  if (isStoreRecovering(state, nowMs)) {
    state.lapsedRemovalAtMs.set(name, state.storeRecoveredAtMs + LAPSED_ENTRY_GRACE_MS)
    return [{ event: 'lapsed', entry }]
  }
  return [removeEntry(state, entry, nowMs)]
}

/** Lists the service's endpoints, sorted by name. */
export function listEndpoints (state: DirectoryState, service: string): EndpointEntry[] {
  return [...state.entries.values()].filter(e => e.service === service).sort((a, b) => a.endpoint < b.endpoint ? -1 : 1)
}
