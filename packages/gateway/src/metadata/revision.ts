/**
 * A revision of the store. Within an epoch, revisions increase across all objects. An epoch ends when the store returns from
 * an older copy; it may then assign the same numbers again.
 */
export interface Revision {
  epoch: number
  number: number
}

/**
 * Compares two revisions. A revision of a later epoch counts as later, as it was read later.
 *
 * @returns a negative number if `a` is earlier, 0 if they are equal
 * @example compareRevisions({ epoch: 0, number: 9 }, { epoch: 1, number: 5 }) // -1
 */
export function compareRevisions (a: Revision, b: Revision): number {
  return a.epoch === b.epoch ? a.number - b.number : a.epoch - b.epoch
}

export function isSameRevision (a: Revision | null, b: Revision | null): boolean {
  return a?.epoch === b?.epoch && a?.number === b?.number
}
