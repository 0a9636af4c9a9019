import type { InstanceStatus, LogPosition, TermStart } from '@camphorpitch/wire'

/**
 * The rules that an instance of a database group follows, as functions of its state, without sockets, clocks or
 * an engine.
 *
 * Terms are granted and logs are matched as in Raft (Ongaro and Ousterhout, 2014, sections 5.2 and
 * 5.3), except that a promoter outside of the group raises the term and names the primary.
 */

/** One committed transaction. */
export interface LogEntry {
  term: number
  statements: string[]
}

export interface PrimaryAddress {
  instance: string
  host: string
  port: number
}

export interface GroupState {
  instance: string
  /** Highest term that the instance has promised to follow; it refuses older ones. */
  term: number
  /** Name of the promoter that `term` was granted to; `null` in the initial term and when the instance learnt of the term by following its primary. */
  promoter: string | null
  role: InstanceStatus['role']
  primary: PrimaryAddress | null
  /** The entry of index `i` is `log[i - 1]`. */
  log: LogEntry[]
  /** Index of the last entry that is visible to queries. */
  appliedIndex: number
}

/** Log entries that the primary of `term` sends to a replica; the first one follows directly after `previous`. */
export interface Shipment {
  term: number
  previous: LogPosition
  entries: LogEntry[]
}

/** Describes the log of a replica, so that the primary can find out which entries the replica lacks. */
export interface LogRequest {
  term: number
  /** Number of entries that the replica has received. */
  length: number
  termStarts: TermStart[]
}

export interface ShipmentOutcome {
  accepted: boolean
  /** Index of the last entry that was not replaced. */
  keptIndex: number
}

/** @example createGroupState('r1', 1, null) // an empty instance, fenced in term 1 without a primary */
export function createGroupState (instance: string, term: number, primary: PrimaryAddress | null): GroupState {
  const role = primary === null ? 'fenced' : primary.instance === instance ? 'primary' : 'replica'
  return { instance, term, promoter: null, role, primary, log: [], appliedIndex: 0 }
}

/** Returns the position of the entry with the given index; 0 is the position before the first entry. */
export function readPosition (log: readonly LogEntry[], index: number): LogPosition {
  return { term: index === 0 ? 0 : log[index - 1]!.term, index }
}

/** Lists the terms in a log, each with the index of its first entry. */
export function listTermStarts (log: readonly LogEntry[]): TermStart[] {
  const starts: TermStart[] = []
  for (let i = 0; i < log.length; i = findTermEnd(log, i)) starts.push([log[i]!.term, i + 1])
  return starts
}

/** Returns the index of the last entry in the term of `log[start]`. A binary search, as terms never decrease along a log. */
function findTermEnd (log: readonly LogEntry[], start: number): number {
  const { term } = log[start]!
  let low = start + 1
  let high = log.length
  while (low < high) {
    const middle = (low + high) >> 1
    if (log[middle]!.term === term) low = middle + 1
    else high = middle
  }
  return low
}

export function describeStatus (state: GroupState): InstanceStatus {
  return {
    instance: state.instance,
    term: state.term,
    role: state.role,
    primary: state.primary?.instance ?? null,
    applied: readPosition(state.log, state.appliedIndex),
    logged: readPosition(state.log, state.log.length),
    termStarts: listTermStarts(state.log)
  }
}

/**
 * Grants a term to one promoter. The instance is then fenced: it is no longer primary or replica of an older term.
 *
 * @returns false when a newer term, or this term to another promoter, has been promised
 */
export function fence (state: GroupState, term: number, promoter: string): boolean {
  if (term === state.term) return state.promoter === promoter
  if (term < state.term) return false
  state.term = term
  state.promoter = promoter
  state.role = 'fenced'
  state.primary = null
  return true
}

/**
 * Makes the instance primary and begins the term with an empty entry, so that replicas at once drop entries
 * that only an older primary had.
 *
 * @returns false unless the instance is fenced, or already primary, in `term` by `promoter`
 */
export function promote (state: GroupState, term: number, promoter: string, address: PrimaryAddress): boolean {
  if (state.term !== term || state.promoter !== promoter || state.role === 'replica') return false
  if (state.role === 'primary') return true
  state.role = 'primary'
  state.primary = address
  addEntry(state, [])
  return true
}

/**
 * Makes the instance a replica of `primary` in `term`.
 *
 * @returns false when a newer term is promised, `term` has another primary, or the instance is `primary` itself
 */
export function follow (state: GroupState, term: number, primary: PrimaryAddress): boolean {
  if (term < state.term || primary.instance === state.instance) return false
  const knownPrimary = term === state.term ? state.primary?.instance : undefined
  if (knownPrimary !== undefined && knownPrimary !== primary.instance) return false
  if (term > state.term) state.promoter = null
  state.term = term
  state.role = 'replica'
  state.primary = primary
  return true
}

/** Appends a transaction at the primary and returns its position. */
export function addEntry (state: GroupState, statements: string[]): LogPosition {
  state.log.push({ term: state.term, statements })
  return readPosition(state.log, state.log.length)
}

/** Creates the request for entries after those in `log`. */
export function createLogRequest (term: number, log: readonly LogEntry[]): LogRequest {
  return { term, length: log.length, termStarts: listTermStarts(log) }
}

/**
 * Creates the shipment with up to `maxEntries` entries that a replica lacks.
 *
 * @returns `null` unless this instance is the primary of the request's term
 */
export function createShipment (state: GroupState, request: LogRequest, maxEntries: number): Shipment | null {
  if (state.role !== 'primary' || state.term !== request.term) return null
  const index = findLastCommonIndex(state.log, request)
  return { term: state.term, previous: readPosition(state.log, index), entries: state.log.slice(index, index + maxEntries) }
}

/**
 * Returns the index of the last entry that is certain to be the same in both logs: by Raft's log matching property,
 * logs that have the same term at an index are equal up to it.
 */
function findLastCommonIndex (log: readonly LogEntry[], request: LogRequest): number {
  let index = Math.min(log.length, request.length)
  while (index > 0 && log[index - 1]!.term !== readTermAt(request.termStarts, index)) index--
  return index
}

function readTermAt (starts: readonly TermStart[], index: number): number {
  return starts.findLast(([, start]) => start <= index)?.[0] ?? 0
}

/**
 * Merges entries from the primary of the local term into the log. Entries that contradict it are replaced, and are no
 * longer applied. A repeated or late shipment changes nothing.
 */
export function applyShipment (state: GroupState, shipment: Shipment): ShipmentOutcome {
  const rejected = { accepted: false, keptIndex: state.log.length }
  if (state.role !== 'replica' || state.term !== shipment.term) return rejected
  if (!hasEntry(state.log, shipment.previous)) return rejected
  const keptIndex = mergeEntries(state.log, shipment)
  state.appliedIndex = Math.min(state.appliedIndex, keptIndex)
  return { accepted: true, keptIndex }
}

/** Adds the entries of a shipment to a log that holds `previous`, and returns the index of the last entry that was not replaced. */
export function mergeEntries (log: LogEntry[], shipment: Shipment): number {
  const start = shipment.previous.index
  let matching = 0
  while (matching < shipment.entries.length && log[start + matching]?.term === shipment.entries[matching]!.term) matching++
  if (matching === shipment.entries.length) return log.length
  const keptIndex = start + matching
  log.splice(keptIndex, log.length - keptIndex, ...shipment.entries.slice(matching))
  return keptIndex
}

/** Whether the log holds the entry at `position`, with the same term. */
export function hasEntry (log: readonly LogEntry[], position: LogPosition): boolean {
  return position.index === 0 || log[position.index - 1]?.term === position.term
}

/** Whether this instance counts towards the durability of `position`: it holds the entry and has not promised a newer term. */
export function hasEntryInCurrentTerm (state: GroupState, position: LogPosition): boolean {
  return state.term === position.term && hasEntry(state.log, position)
}
