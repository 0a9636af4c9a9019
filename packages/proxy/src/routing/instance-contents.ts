import { hasReached, type InstanceStatus, type LogPosition } from '@camphorpitch/wire'

/** Largest number of instances of which the primary and one replica are a majority. */
const MAX_INSTANCES_FOR_PAIR_MAJORITY = 3

/**
 * Whether the last applied entry was written in the instance's current term, or nothing is applied yet.
 * Entries of older terms may come from a new primary's log without being on a majority, so they can still be lost.
 */
export function isLastAppliedOfCurrentTerm ({ applied, term }: InstanceStatus): boolean {
  return applied.index === 0 || applied.term === term
}

/** Whether the instance is a replica whose applied entries are all on the primary of its term too. */
export function isReplicaOfCurrentTerm (status: InstanceStatus): boolean {
  return status.role === 'replica' && isLastAppliedOfCurrentTerm(status)
}

/** Whether an entry that a replica received from the primary of its term is on a majority, since the two of them are one. */
export function isPairMajority (instanceCount: number): boolean {
  return instanceCount <= MAX_INSTANCES_FOR_PAIR_MAJORITY
}

/** Whether a query on the instance sees the entry at `required`. The primary of a term sees every entry of that term. */
export function hasApplied (status: InstanceStatus, required: LogPosition): boolean {
  if (status.role === 'primary' && status.term === required.term) return true
  return hasReached(status.applied, status.termStarts, required)
}
