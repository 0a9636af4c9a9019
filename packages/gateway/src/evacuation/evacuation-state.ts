import { compareRevisions, type Revision } from '../metadata/revision.ts'

/**
 * After the store has returned from an older copy, an evacuation that the copy lacks stays in force for this long, unless it is written and
 * deleted again: the platform allows the bound of an evacuation to grow by as much while the store is unstable.
 */
export const KEEP_MISSING_MS = 15_000
/** An evacuation that had ended and is in the copy again is applied after this long: the operator deletes it again within that time. */
export const HOLD_ENDED_MS = 2_000

/** A failure domain that is evacuated, as far as this VM knows. Times are on this VM's clock, in milliseconds. */
export interface Evacuation {
  domain: string
  /** Revision of the object in the store. */
  revision: Revision
  /** When the first VM learned of it, as far as is known; `null` if this VM found it in its first listing, so that it may be old. */
  sinceMs: number | null
  /** When this VM learned of it. */
  learnedAtMs: number
  /** From where this VM learned of it: `store`, or another VM. */
  source: string
  /** Until when it stays in force although the older copy, from which the store has returned, lacks it; `null` if the store has it. */
  keptUntilMs: number | null
}

/** An evacuation that had ended and is in an older copy of the store again. */
interface HeldBackEvacuation { revision: Revision, source: string, dueAtMs: number }

/** The evacuated failure domains as of a revision of the store. */
export interface EvacuationState {
  /** Revision as of which the state is complete; `null` before anything is known. */
  asOf: Revision | null
  evacuated: Map<string, Evacuation>
  /** Evacuations that have ended, with the revision as of which they were known to have. */
  ended: Map<string, Revision>
  heldBack: Map<string, HeldBackEvacuation>
}

/** An evacuated domain in a listing of the store, or in another VM's report. */
export interface ListedEvacuation {
  domain: string
  revision: Revision
  /** When the first VM learned of it, as far as is known, on this VM's clock; `null` if it is not known. */
  sinceMs: number | null
  /** For how long the other VM keeps it although the store's copy lacks it, in milliseconds; `null` if the store has it. */
  keptForMs: number | null
}

export interface EvacuationListing {
  asOf: Revision
  items: readonly ListedEvacuation[]
  source: string
}

export type EvacuationEvent = 'begun' | 'ended' | 'kept' | 'heldBack'
/** A change of the state, for the log. */
export interface EvacuationChange { event: EvacuationEvent, domain: string, revision: Revision, source: string }

export function createEvacuationState (): EvacuationState {
  return { asOf: null, evacuated: new Map(), ended: new Map(), heldBack: new Map() }
}

/**
 * Applies all evacuations as of a revision of the store, from a listing or from another VM. A listing of an earlier revision than is known
 * changes nothing, but for evacuations that the other VM keeps: those are not in any copy that the store still has.
 */
export function applyListing (state: EvacuationState, listing: EvacuationListing, nowMs: number): EvacuationChange[] {
  const { asOf, items } = listing
  const order = state.asOf === null ? 1 : compareRevisions(asOf, state.asOf)
  const kept = items.filter(i => i.keptForMs !== null).flatMap(i => beginKept(state, i, listing, nowMs))
  if (order < 0) return kept
  const present = items.filter(i => i.keptForMs === null)
  const begun = present.flatMap(i => applyListed(state, i, listing, nowMs))
  if (order === 0) return [...kept, ...begun]
  state.asOf = asOf
  const listedDomains = new Set(items.map(i => i.domain))
  for (const domain of state.heldBack.keys()) if (!listedDomains.has(domain)) state.heldBack.delete(domain)
  const missing = [...state.evacuated.values()].filter(e => !listedDomains.has(e.domain))
  return [...kept, ...begun, ...missing.flatMap(e => handleMissing(state, e, listing, nowMs))]
}

/** Applies a creation or deletion that the store's watch has returned. */
export function applyChange (state: EvacuationState, { domain, revision, isRemoved }: { domain: string, revision: Revision, isRemoved: boolean }, nowMs: number): EvacuationChange[] {
  state.heldBack.delete(domain)
  const known = state.evacuated.get(domain)
  if (isRemoved) return known === undefined ? recordEnded(state, domain, revision) : endEvacuation(state, known, revision, 'store')
  if (known !== undefined) {
    state.evacuated.set(domain, { ...known, revision, sinceMs: known.sinceMs ?? nowMs, keptUntilMs: null })
    return []
  }
  return beginEvacuation(state, { domain, revision, sinceMs: nowMs, learnedAtMs: nowMs, source: 'store', keptUntilMs: null })
}

/** Applies the changes whose waiting time after a return of the store from an older copy is over. */
export function applyDueChanges (state: EvacuationState, nowMs: number): EvacuationChange[] {
  const expired = [...state.evacuated.values()].filter(e => e.keptUntilMs !== null && e.keptUntilMs <= nowMs)
  const due = [...state.heldBack].filter(([, h]) => h.dueAtMs <= nowMs)
  for (const [domain] of due) state.heldBack.delete(domain)
  return [
    ...expired.flatMap(e => endEvacuation(state, e, state.asOf ?? e.revision, e.source)),
    ...due.flatMap(([domain, { revision, source }]) => beginEvacuation(state, { domain, revision, sinceMs: nowMs, learnedAtMs: nowMs, source, keptUntilMs: null }))
  ]
}

/** Whether the state has anything to tell to another VM, which may know of an evacuation that has ended. */
export function hasNews ({ evacuated, ended }: EvacuationState): boolean {
  return evacuated.size > 0 || ended.size > 0
}

function applyListed (state: EvacuationState, { domain, revision, sinceMs }: ListedEvacuation, { asOf, source }: EvacuationListing, nowMs: number): EvacuationChange[] {
  const known = state.evacuated.get(domain)
  if (known !== undefined) {
    // Only an unknown age is replaced: each exchange makes the age a little too high, and two VMs would add these errors up.
    state.evacuated.set(domain, { ...known, revision, sinceMs: known.sinceMs ?? sinceMs, keptUntilMs: null })
    return []
  }
  const endedAsOf = state.ended.get(domain)
  const isOfOlderCopy = endedAsOf !== undefined && endedAsOf.epoch < asOf.epoch
  if (isOfOlderCopy) return recordHeldBack(state, domain, { revision, source, dueAtMs: nowMs + HOLD_ENDED_MS })
  return beginEvacuation(state, { domain, revision, sinceMs, learnedAtMs: nowMs, source, keptUntilMs: null })
}

function beginKept (state: EvacuationState, { domain, revision, sinceMs, keptForMs }: ListedEvacuation, { asOf, source }: EvacuationListing, nowMs: number): EvacuationChange[] {
  const isOfEarlierEpoch = state.asOf !== null && asOf.epoch < state.asOf.epoch
  if (keptForMs === null || isOfEarlierEpoch || state.evacuated.has(domain) || state.ended.has(domain)) return []
  return beginEvacuation(state, { domain, revision, sinceMs, learnedAtMs: nowMs, source, keptUntilMs: nowMs + Math.min(keptForMs, KEEP_MISSING_MS) })
}

/** Ends an evacuation that the store does not have any more, or keeps it for a while if the store has returned from an older copy. */
function handleMissing (state: EvacuationState, known: Evacuation, { asOf, source }: EvacuationListing, nowMs: number): EvacuationChange[] {
  if (known.keptUntilMs !== null) return []
  if (known.revision.epoch === asOf.epoch) return endEvacuation(state, known, asOf, source)
  state.evacuated.set(known.domain, { ...known, keptUntilMs: nowMs + KEEP_MISSING_MS })
  return [{ event: 'kept', domain: known.domain, revision: known.revision, source }]
}

function recordHeldBack (state: EvacuationState, domain: string, heldBack: HeldBackEvacuation): EvacuationChange[] {
  if (state.heldBack.has(domain)) return []
  state.heldBack.set(domain, heldBack)
  return [{ event: 'heldBack', domain, revision: heldBack.revision, source: heldBack.source }]
}

function beginEvacuation (state: EvacuationState, evacuation: Evacuation): EvacuationChange[] {
  const { domain, revision, source } = evacuation
  state.evacuated.set(domain, evacuation)
  state.ended.delete(domain)
  return [{ event: 'begun', domain, revision, source }]
}

function endEvacuation (state: EvacuationState, { domain, revision }: Evacuation, asOf: Revision, source: string): EvacuationChange[] {
  state.evacuated.delete(domain)
  recordEnded(state, domain, asOf)
  return [{ event: 'ended', domain, revision, source }]
}

function recordEnded (state: EvacuationState, domain: string, asOf: Revision): EvacuationChange[] {
  state.ended.set(domain, asOf)
  return []
}
