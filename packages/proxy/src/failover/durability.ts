import { comparePositions, type LogPosition } from '@camphorpitch/wire'

/** State of an instance's log: the instance has promised `term` and its log ends at `logged`. */
export interface LogReport {
  term: number
  logged: LogPosition
}

interface DurabilityWaiter {
  position: LogPosition
  /** Number of instances, not counting the primary, that must hold the position. */
  neededHolderCount: number
  primary: string | null
  /** Instances, other than the primary, that hold the position. */
  holders: Set<string>
  /** Instances that promised a newer term before they were known to hold the position; they can no longer count as holders. */
  instancesInNewerTerm: Set<string>
}

/** How a wait ended: whether its position is durable. */
export interface DurabilityOutcome {
  id: number
  isDurable: boolean
}

/**
 * Tracks which instances hold the position of each pending write.
 *
 * An entry that every instance of a quorum held before it promised a newer term is in the log of
 * every later primary, since the quorum that grants a later term shares an instance with this one.
 */
export interface DurabilityState {
  instances: readonly string[]
  quorumSize: number
  waiters: Map<number, DurabilityWaiter>
  lastWaiterId: number
}

export function createDurabilityState (instances: readonly string[], quorumSize: number): DurabilityState {
  return { instances, quorumSize, waiters: new Map(), lastWaiterId: 0 }
}

/**
 * Adds a wait for a position.
 *
 * @param primary the instance that is primary in the position's term, which holds it already; `null` when that is not known
 * @returns the id of the wait
 */
export function addWaiter (state: DurabilityState, position: LogPosition, primary: string | null): number {
  const neededHolderCount = primary === null ? state.quorumSize : state.quorumSize - 1
  state.lastWaiterId++
  state.waiters.set(state.lastWaiterId, { position, neededHolderCount, primary, holders: new Set(), instancesInNewerTerm: new Set() })
  return state.lastWaiterId
}

export function removeWaiter (state: DurabilityState, id: number): void {
  state.waiters.delete(id)
}

/** Applies a report to all waits. Removes and returns the waits that it ends. */
export function recordReport (state: DurabilityState, instance: string, report: LogReport): DurabilityOutcome[] {
  for (const w of state.waiters.values()) recordWaiterReport(w, instance, report)
  return removeSettledWaiters(state)
}

/** Removes and returns the waits whose position is durable, or can no longer become durable. */
export function removeSettledWaiters (state: DurabilityState): DurabilityOutcome[] {
  const outcomes: DurabilityOutcome[] = []
  for (const [id, w] of state.waiters) {
    const isDurable = w.holders.size >= w.neededHolderCount
    const possibleHolderCount = state.instances.filter(i => i !== w.primary && !w.instancesInNewerTerm.has(i)).length
    if (isDurable || possibleHolderCount < w.neededHolderCount) outcomes.push({ id, isDurable })
  }
  for (const { id } of outcomes) state.waiters.delete(id)
  return outcomes
}

function recordWaiterReport (waiter: DurabilityWaiter, instance: string, { term, logged }: LogReport): void {
  const { position } = waiter
  if (instance === waiter.primary || waiter.holders.has(instance)) return
  if (term > position.term) waiter.instancesInNewerTerm.add(instance)
  const isHeld = term === position.term && logged.term === position.term && logged.index >= position.index
  if (isHeld) waiter.holders.add(instance)
}

/** The earliest awaited position that this instance is not known to hold; `undefined` when no wait depends on the instance. */
export function findNextAwaitedPosition (state: DurabilityState, instance: string): LogPosition | undefined {
  const pendingWaiters = [...state.waiters.values()].filter(w => instance !== w.primary && !w.holders.has(instance) && !w.instancesInNewerTerm.has(instance))
  return pendingWaiters.map(w => w.position).sort(comparePositions)[0]
}
