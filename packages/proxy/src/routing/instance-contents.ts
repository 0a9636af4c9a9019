import { hasReached, type InstanceStatus, type LogPosition } from '@camphorpitch/wire'

/** Largest group in which the primary and one replica are a majority. */
const MAX_INSTANCES_FOR_PAIR_MAJORITY = 3

/**
 * Whether the last entry that the instance shows was written in the term that it is in. Entries of
 * older terms may have come with a new primary's log, and those can still be lost.
 */
export function isInTerm ({ applied, term }: InstanceStatus): boolean {
  return applied.index === 0 || applied.term === term
}

/** Whether the instance follows a primary and shows only what both of them hold in their term. */
export function isShownDurable (status: InstanceStatus): boolean {
  return status.role === 'replica' && isInTerm(status)
}

/** Whether entries that a replica took over in its own term are on a majority of the group. */
export function isPairMajority (instanceCount: number): boolean {
  return instanceCount <= MAX_INSTANCES_FOR_PAIR_MAJORITY
}

/** Whether the instance shows the entry at `required`; the primary of a term shows every entry of that term. */
export function hasShown (status: InstanceStatus, required: LogPosition): boolean {
  if (status.role === 'primary' && status.term === required.term) return true
  return hasReached(status.applied, status.termStarts, required)
}
