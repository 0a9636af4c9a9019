import { comparePositions, type LogPosition } from '@camphorpitch/wire'
import { z } from 'zod'
import type { EndpointEntry } from '../directory/endpoint-entry.ts'
import { formatStart, hasShutDown, type Departure, type EndpointStart } from '../groups/departures.ts'

/**
 * A start that is only presumed to have ended stays on record for this long, as a missing VM does: regions lose each other for minutes, and
 * it may receive and have commits acknowledged meanwhile.
 */
export const PRESUMED_END_KEPT_MS = 15 * 60_000

const recordedStartSchema = z.object({
  endpoint: z.string(),
  startedAtMs: z.number(),
  /** Its last known address. */
  address: z.string().optional(),
  /** Whether it had announced its shutdown when the record was written. */
  isDraining: z.boolean().optional()
})

/** The record of one service in the metadata store. */
export const startRecordSchema = z.object({
  /** Epoch of the store in which it was written. */
  epoch: z.number().int().nonnegative(),
  starts: z.array(recordedStartSchema)
})

/** A start of an endpoint whose log may be needed: it may hold acknowledged commits that few others have. */
export type RecordedStart = z.infer<typeof recordedStartSchema>

/** What a VM knows of a group when it compares the record with it. */
export interface KnownStarts {
  registered: ReadonlyArray<Pick<EndpointEntry, 'endpoint' | 'startedAtMs' | 'address' | 'isDraining'>>
  departures: readonly Departure[]
  /** Ends of the logs of replicas that are registered, as far as they were asked. */
  received: readonly LogPosition[]
}

/**
 * Lists the starts to have on record: those that are recorded or registered, without the ones that are not needed any more.
 *
 * @param recorded the starts on record; `null` without a record of the store's present epoch, in which case departed ones are added too
 * @example mergeRecordedStarts(null, { registered: [entry], departures: [], received: [] }, 0) // the start of `entry`
 */
export function mergeRecordedStarts (recorded: readonly RecordedStart[] | null, known: KnownStarts, nowMs: number): RecordedStart[] {
  const { registered, departures, received } = known
  const starts = new Map(recorded?.map(r => [formatStart(r), r]))
  // Departed starts were recorded when they registered: one that is not on record has been forgotten.
  for (const { endpoint, startedAtMs, address, isDraining } of [...recorded === null ? departures : [], ...registered]) {
    const start = { endpoint, startedAtMs, address, isDraining: isDraining === true ? true : undefined }
    starts.set(formatStart(start), { ...starts.get(formatStart(start)), ...start })
  }
  for (const departure of departures) if (isForgettable(departure, received, nowMs)) starts.delete(formatStart(departure))
  return [...starts.values()]
}

/** Whether a start has ended, and may be forgotten once a registered replica's log reaches its log end. */
export function isEndSettled (departure: Departure, nowMs: number): boolean {
  const { isGone, isPresumed, logEnd, noticedAtMs } = departure
  const isProven = isPresumed !== true || hasShutDown(departure, nowMs)
  return isGone === true && logEnd !== null && (isProven || nowMs - noticedAtMs >= PRESUMED_END_KEPT_MS)
}

/** Whether a start has ended and a registered replica has all that only its log may have had beside the primary's. */
function isForgettable (departure: Departure, received: readonly LogPosition[], nowMs: number): boolean {
  const { logEnd } = departure
  return isEndSettled(departure, nowMs) && logEnd !== null && received.some(r => comparePositions(r, logEnd) >= 0)
}

/** Whether two lists name the same starts; what else they tell of a start is not compared. */
export function hasSameStarts (a: readonly RecordedStart[], b: readonly RecordedStart[]): boolean {
  const names = new Set(a.map(formatStart))
  return names.size === b.length && b.every(s => names.has(formatStart(s)))
}

/**
 * Finds the only endpoint on record that is not registered. Each acknowledged commit is on the primary and on a replica, so the logs of all
 * other starts on record hold every one of them, whichever endpoint led. A VM that knows no primary can do without this endpoint's log.
 *
 * @returns `undefined` if none or several are missing, or if an endpoint on record has started again without its log
 * @example findOnlyMissing([p, a, b], [a, b]) // 'p'
 */
export function findOnlyMissing (recorded: readonly RecordedStart[], registered: readonly EndpointStart[]): string | undefined {
  const present = new Set(registered.map(formatStart))
  const missing = recorded.filter(r => !present.has(formatStart(r)))
  const [only] = missing
  return missing.length === 1 && !registered.some(r => r.endpoint === only!.endpoint) ? only!.endpoint : undefined
}
