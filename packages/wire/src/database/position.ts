import { z } from 'zod'

/**
 * A place in a database group's replicated log.
 *
 * `term` counts changes of primary; `index` is the number of log entries up to and
 * including this one. Entries obey the log matching property of Raft (Ongaro and
 * Ousterhout, 2014, section 5.3): two logs that hold the same (term, index) are equal up to it.
 */
export const logPositionSchema = z.object({
  term: z.number().int().nonnegative(),
  index: z.number().int().nonnegative()
})
export type LogPosition = z.infer<typeof logPositionSchema>

/** The first index written in a term, as `[term, startIndex]`. */
export const termStartSchema = z.tuple([z.number().int(), z.number().int()])
export type TermStart = z.infer<typeof termStartSchema>

/** What an instance says of itself in answer to `SHOW GROUP STATUS`. */
export const instanceStatusSchema = z.object({
  instance: z.string(),
  /** Highest term this instance has promised to; it refuses anything older. */
  term: z.number().int().nonnegative(),
  role: z.enum(['primary', 'replica', 'fenced']),
  /** Instance id of the primary it follows, itself when it is the primary. */
  primary: z.string().nullable(),
  /** Position of the last entry that queries on this instance can see. */
  applied: logPositionSchema,
  /** Position of the last entry in its log; never before `applied`. */
  logged: logPositionSchema,
  /** Start of each term in its log, ascending by term. */
  termStarts: z.array(termStartSchema),
  /** Milliseconds since this replica last heard from its primary; absent where it follows none. */
  primaryHeardMs: z.number().nonnegative().optional()
})
export type InstanceStatus = z.infer<typeof instanceStatusSchema>

/** The position before every entry. */
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
 * Picks the later of two positions; the first may be unknown.
 *
 * @example pickLaterPosition({ term: 1, index: 9 }, { term: 2, index: 3 }) // { term: 2, index: 3 }
 */
export function pickLaterPosition (a: LogPosition | null | undefined, b: LogPosition): LogPosition {
  return a !== null && a !== undefined && comparePositions(a, b) >= 0 ? a : b
}

/**
 * Tells whether a log that ends at `applied` holds the entry `required`.
 *
 * Positions of different terms compare only through the index at which the next term began: an
 * entry of an older term survives when it lies before that start.
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
