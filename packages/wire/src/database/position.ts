import { z } from 'zod'

/**
 * Position of an entry in a database group's replicated log.
 *
 * `term` counts changes of the primary; `index` is the number of log entries up to and
 * including this one. Logs have the log matching property of Raft (Ongaro and
 * Ousterhout, 2014, section 5.3): two logs that contain an entry of the same (term, index) are equal up to that entry.
 */
export const logPositionSchema = z.object({
  term: z.number().int().nonnegative(),
  index: z.number().int().nonnegative()
})
export type LogPosition = z.infer<typeof logPositionSchema>

/** A term and the first index written in it, as `[term, startIndex]`. */
export const termStartSchema = z.tuple([z.number().int(), z.number().int()])
export type TermStart = z.infer<typeof termStartSchema>

/** An instance's response to `SHOW GROUP STATUS`. */
export const instanceStatusSchema = z.object({
  instance: z.string(),
  /** Highest term that this instance has accepted; it refuses group statements of older terms. */
  term: z.number().int().nonnegative(),
  role: z.enum(['primary', 'replica', 'fenced']),
  /** Instance id of the primary that it follows; its own id when it is the primary. */
  primary: z.string().nullable(),
  /** Position of the last entry whose effects are visible to queries on this instance. */
  applied: logPositionSchema,
  /** Position of the last entry in its log; never before `applied`. */
  logged: logPositionSchema,
  /** Start of each term in its log, ascending by term. */
  termStarts: z.array(termStartSchema),
  /** Milliseconds since this replica last received something from its primary; absent if it follows none. */
  primaryHeardMs: z.number().nonnegative().optional()
})
export type InstanceStatus = z.infer<typeof instanceStatusSchema>

/** The position before the first log entry. */
export const zeroPosition: LogPosition = { term: 0, index: 0 }

/**
 * Orders two positions by term, then by index.
 *
 * @example comparePositions({ term: 1, index: 9 }, { term: 2, index: 3 }) // < 0
 */
export function comparePositions (a: LogPosition, b: LogPosition): number {
  return a.term - b.term || a.index - b.index
}

/**
 * Returns the later of two positions; `a` may be unknown.
 *
 * @example pickLaterPosition({ term: 1, index: 9 }, { term: 2, index: 3 }) // { term: 2, index: 3 }
 */
export function pickLaterPosition (a: LogPosition | null | undefined, b: LogPosition): LogPosition {
  return a !== null && a !== undefined && comparePositions(a, b) >= 0 ? a : b
}

/**
 * Returns whether a log that ends at `applied` contains the entry `required`.
 *
 * Positions of different terms can only be compared by the index at which the next term started: an entry of
 * an older term is in the log only if its index is below that start.
 *
 * @param termStarts start of each term in the log, ascending by term
 *
 * @example hasReached({ term: 2, index: 7 }, [[1, 1], [2, 5]], { term: 1, index: 4 }) // true
 * @example hasReached({ term: 2, index: 7 }, [[1, 1], [2, 5]], { term: 1, index: 6 }) // false
 */
export function hasReached (applied: LogPosition, termStarts: readonly TermStart[], required: LogPosition): boolean {
  if (required.index === 0) return true
  if (applied.term < required.term || applied.index < required.index) return false
  if (applied.term === required.term) return true
  const nextTermStart = termStarts.find(([term]) => term > required.term)
  if (nextTermStart === undefined) return false
  return required.index < nextTermStart[1]
}
