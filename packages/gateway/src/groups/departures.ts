import { comparePositions, type LogPosition } from '@camphorpitch/wire'
import type { EndpointEntry } from '../directory/endpoint-entry.ts'

/** Departures kept for a group; the oldest is dropped first. */
const MAX_DEPARTURES = 64
/** Departures of a group that a VM reports to the others. */
const MAX_REPORTED_DEPARTURES = 8

/** An endpoint that runs registers again within seconds; one that neither has an entry nor responds for this long has ended. */
export const LONG_MISSING_MS = 10_000

/**
 * An endpoint that has announced its shutdown has ended this long after its departure: it serves for the drain time and at times many
 * seconds more, and receives meanwhile, also if it has lost the store and thus its entry.
 */
export const SHUTDOWN_MS = 30_000

/** An endpoint that was removed from the directory, or that started again without its log. */
export interface Departure {
  endpoint: string
  startedAtMs: number
  /** Time on this VM's clock at which it was noticed or, once this start is known to have ended, at which that was. */
  noticedAtMs: number
  /**
   * End of the primary's log at a time after this start was known to have ended: no commit that only this endpoint had received lies beyond
   * it. `null` while the primary has not responded since, or while the endpoint may still receive.
   */
  logEnd: LogPosition | null
  /** Its last known address. */
  address?: string
  /** Latest position that its log is known to have had. */
  latestPosition?: LogPosition | null
  /** Whether it had announced its shutdown. */
  isDraining?: boolean
  /**
   * Whether this start counts as ended only because this VM, or one that told it, does not reach it: its address refuses connections, or it
   * has been silent for long. Other VMs and the primary may reach it, so that it may go on receiving and having commits acknowledged.
   */
  isPresumed?: boolean
  /** Whether this start is known to have ended. Otherwise it may still run, receive and have commits acknowledged, although its entry has lapsed. */
  isGone?: boolean
}

/** One start of an endpoint; the endpoint may start again under the same name without its log. */
export type EndpointStart = Pick<EndpointEntry, 'endpoint' | 'startedAtMs'>
/** A departure as one VM reports it to another. */
export type ReportedDeparture = Omit<Departure, 'noticedAtMs'>
/** What a VM knows of an endpoint when it notices its departure. */
export type DepartedEndpoint = Omit<Departure, 'noticedAtMs' | 'logEnd'>

/** Formats a key for one start of an endpoint. */
export function formatStart ({ endpoint, startedAtMs }: EndpointStart): string {
  return `${endpoint}@${startedAtMs}`
}

/** Adds a departure. */
export function addDeparture (departures: Departure[], departed: DepartedEndpoint, nowMs: number): void {
  departures.push({ ...departed, noticedAtMs: nowMs, logEnd: null })
  if (departures.length > MAX_DEPARTURES) departures.shift()
}

/** Forgets the log ends, because another endpoint leads now: the earlier ones may lie before its log's end at the time of a departure. */
export function resetLogEnds (departures: readonly Departure[]): void {
  for (const departure of departures) departure.logEnd = null
}

/**
 * Lists the latest departures that a candidate's log might not cover: no commit beyond their log end is known to be acknowledged, or
 * the endpoint may still receive commits.
 */
export function listUncovered (departures: readonly Departure[], acknowledged: LogPosition | null): Departure[] {
  return departures.filter(({ logEnd, isGone }) => isGone !== true || logEnd === null || acknowledged === null || comparePositions(acknowledged, logEnd) <= 0).slice(-MAX_REPORTED_DEPARTURES)
}

/** Removes the departure of an endpoint that has come back with its log. Its earlier starts have ended. */
export function removeDeparture (departures: Departure[], { endpoint, startedAtMs }: EndpointStart, nowMs: number): void {
  const index = departures.findIndex(d => d.endpoint === endpoint && d.startedAtMs === startedAtMs)
  if (index >= 0) departures.splice(index, 1)
  for (const departure of departures) if (departure.endpoint === endpoint) updateGone(departure, nowMs, false)
}

/**
 * Records that a start of an endpoint has ended.
 *
 * @param isPresumed whether only a VM that does not reach it says so
 */
export function recordGone (departures: readonly Departure[], start: EndpointStart, nowMs: number, isPresumed = false): void {
  const departure = departures.find(d => formatStart(d) === formatStart(start))
  if (departure !== undefined) updateGone(departure, nowMs, isPresumed)
}

function updateGone (departure: Departure, nowMs: number, isPresumed: boolean): void {
  if (departure.isGone === true && (isPresumed || departure.isPresumed !== true)) return
  departure.isGone = true
  departure.isPresumed = isPresumed
  departure.noticedAtMs = nowMs
}

/**
 * Takes back that a start has ended, because the endpoint has responded: it may have received, and may go on receiving, beyond the log end
 * that was told meanwhile.
 *
 * @returns whether it counted as ended
 */
export function recordRunning (departures: readonly Departure[], start: EndpointStart, nowMs: number): boolean {
  const departure = departures.find(d => formatStart(d) === formatStart(start))
  if (departure?.isGone !== true || departure.isPresumed !== true) return false
  Object.assign(departure, { isGone: false, isPresumed: false, logEnd: null, noticedAtMs: nowMs })
  return true
}

/** Whether an endpoint that had announced its shutdown has ended by now. */
export function hasShutDown ({ isDraining, noticedAtMs }: Departure, nowMs: number): boolean {
  return isDraining === true && nowMs - noticedAtMs >= SHUTDOWN_MS
}

/** Merges what two VMs know of a departure; `reported` is of the VM that does not promote. */
export function mergeDepartures (known: ReportedDeparture | undefined, reported: ReportedDeparture): ReportedDeparture {
  const both = known === undefined ? [reported] : [known, reported]
  const isGone = both.some(d => d.isGone === true)
  return {
    ...reported,
    ...known,
    logEnd: known?.logEnd ?? reported.logEnd,
    address: known?.address ?? reported.address,
    isDraining: both.some(d => d.isDraining === true),
    isGone,
    isPresumed: isGone && both.every(d => d.isGone !== true || d.isPresumed === true)
  }
}

/**
 * Records the end of the primary's log in its response to a statement that was sent at `sentAtMs`. It says nothing of an endpoint whose entry
 * has lapsed and that may still receive later commits, as one that shuts down does until it has ended.
 */
export function recordLogEnd (departures: readonly Departure[], position: LogPosition, sentAtMs: number): void {
  for (const departure of departures) {
    if (departure.isGone === true && departure.logEnd === null && sentAtMs >= departure.noticedAtMs) departure.logEnd = position
  }
}

/** Whether a log up to `position` holds every commit that only departed endpoints had received. */
export function isCovering (position: LogPosition, departures: ReadonlyArray<Pick<Departure, 'logEnd'>>): boolean {
  return departures.every(({ logEnd }) => logEnd !== null && comparePositions(position, logEnd) >= 0)
}
