import { z } from 'zod'
import { instanceStatusSchema, logPositionSchema, type InstanceStatus, type LogPosition } from './position.ts'

/**
 * The statements that read the status of a database group's instances and control them, sent as ordinary queries
 * over the MySQL protocol. Each returns one row with one column `status`, which contains JSON.
 */

/** Error number of an instance that has accepted a newer term, or the same term from another promoter. */
export const STALE_TERM_ERRNO = 5201
/** Error number of a write sent to an instance that is not the primary. */
export const NOT_PRIMARY_ERRNO = 5202
/** Error number of a statement that was not run because all slots of the instance stayed busy. */
export const SLOTS_BUSY_ERRNO = 5203
/** MySQL's own `ER_CON_COUNT_ERROR`: the instance's connection limit is reached. */
export const TOO_MANY_CONNECTIONS_ERRNO = 1040

/** @example formatStatusQuery() // 'SHOW GROUP STATUS' */
export function formatStatusQuery (): string {
  return 'SHOW GROUP STATUS'
}

/**
 * Formats the statement that fences an instance: it raises the instance's term to `term`. The instance responds with
 * its status, or with `STALE_TERM_ERRNO`. At most one promoter per term succeeds.
 */
export function formatFenceStatement (term: number, promoter: string): string {
  return `GROUP FENCE TERM ${term} BY '${promoter}'`
}

/** Formats the statement that makes an instance the primary of a term for which the same promoter has fenced it. */
export function formatPromoteStatement (term: number, promoter: string): string {
  return `GROUP PROMOTE TERM ${term} BY '${promoter}'`
}

/** Formats the statement that makes an instance a replica of `primary`, which listens at `host:port`, in `term`. */
export function formatFollowStatement (term: number, primary: string, host: string, port: number): string {
  return `GROUP FOLLOW '${primary}' AT '${host}:${port}' TERM ${term}`
}

/**
 * Formats the statement that waits up to `timeoutMs` milliseconds until the instance's log contains `position`,
 * unless the instance accepts a term newer than `position.term`. The instance responds with a `WaitResult`.
 */
export function formatWaitStatement (position: LogPosition, timeoutMs: number): string {
  return `GROUP WAIT TERM ${position.term} INDEX ${position.index} TIMEOUT ${timeoutMs}`
}

export const waitResultSchema = z.object({
  reached: z.boolean(),
  term: z.number().int(),
  /** End of the instance's log, which may be past the requested position. */
  logged: logPositionSchema.optional()
})
export type WaitResult = z.infer<typeof waitResultSchema>

/**
 * @throws SyntaxError when the text is not JSON
 * @throws ZodError when it is not an instance status
 */
export function parseInstanceStatus (text: string): InstanceStatus {
  return instanceStatusSchema.parse(JSON.parse(text))
}

/**
 * Formats the info text of the OK packet that ends a write: the position of its commit.
 *
 * @example formatCommitInfo({ term: 3, index: 17 }) // 'position=3:17'
 */
export function formatCommitInfo (position: LogPosition): string {
  return `position=${position.term}:${position.index}`
}

/** Parses the text that `formatCommitInfo` formats; returns `null` for any other text. */
export function parseCommitInfo (info: string): LogPosition | null {
  const match = /position=(\d+):(\d+)/.exec(info)
  if (match === null) return null
  return logPositionSchema.parse({ term: Number(match[1]), index: Number(match[2]) })
}
