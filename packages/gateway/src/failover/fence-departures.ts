import { describeError, type LogPosition } from '@camphorpitch/wire'
import type { EndpointStatus } from '../backend/endpoint-connector.ts'
import { ConnectionLostError, EndpointRefusedError } from '../backend/errors.ts'
import { formatStart, hasShutDown, LONG_MISSING_MS, recordGone, recordRunning, type ReportedDeparture } from '../groups/departures.ts'
import { waitFor } from '../runtime/wait-at-most.ts'
import { ensureNotReplaced } from './check-leadership.ts'
import type { ControlCommand } from './control-connections.ts'
import { pauseReplica } from './fence-group.ts'
import { RETRY_DELAY_MS, type Attempt, type Revocation } from './promotion-attempt.ts'
import { resumeEndpoint } from './resume-endpoint.ts'

const MAX_BUSY_ATTEMPTS = 4

type KnownCommits = Pick<Revocation, 'hasEveryVm' | 'lastLossAtMs'>

interface FencedDeparture {
  /** The departure, with the position that a candidate must hold. */
  departure: ReportedDeparture
  /** Whether it may still receive from the old primary, or from a primary that is not known. */
  isUnfenced: boolean
  /** Status that it reported. */
  status?: EndpointStatus
}

/** The departed replicas after the attempt to pause those that may still run. */
export interface FencedDepartures {
  departures: ReportedDeparture[]
  hasPaused: boolean
  /** Number of those that may still receive. */
  unfencedReplicas: number
}

/**
 * Pauses the replicas that have left the directory, at their last known addresses. One may still receive and have commits acknowledged,
 * for example while it does not reach the store.
 *
 * @param known what the VMs have confirmed. A replica counts as ended only if its end is proven, or if every VM has told what it has known to
 *   be acknowledged since the end was presumed: another VM may reach it, and have commits acknowledged by it.
 */
export async function fenceDepartures (attempt: Attempt, known: KnownCommits): Promise<FencedDepartures> {
  const departures = [...attempt.departures.values()]
  const fenced = await Promise.all(departures.map(async d => await fenceDeparture(attempt, d, known)))
  ensureNotReplaced(attempt, fenced.flatMap(({ departure, status }) => status === undefined ? [] : [{ entry: departure, status }]))
  return {
    departures: fenced.map(f => f.departure),
    hasPaused: fenced.some(f => f.status !== undefined),
    unfencedReplicas: fenced.filter(f => f.isUnfenced).length
  }
}

async function fenceDeparture (attempt: Attempt, departure: ReportedDeparture, known: KnownCommits): Promise<FencedDeparture> {
  const { term } = attempt
  const { address } = departure
  const isEndKnown = departure.isGone === true && (departure.isPresumed !== true || isEndCounted(attempt, departure, known))
  if (isEndKnown || address === undefined) return { departure, isUnfenced: false }
  try {
    const status = await runWithRetries(attempt, departure, async c => await pauseReplica(c, term))
    if (status === null) return { departure, isUnfenced: true }
    const running = withdrawEnd(attempt, departure)
    if (status.role === 'primary' || status.pausedForTerm < term) return { departure: running, isUnfenced: true, status }
    return { departure: { ...running, logEnd: computeRequiredEnd(running) }, isUnfenced: false, status }
  } catch (error) {
    return recordNotPaused(attempt, departure, known, error)
  }
}

/**
 * Whether a presumed end counts: this VM knows the end of the primary's log after it, and since then no VM has forgotten what it knew to be
 * acknowledged.
 */
function isEndCounted ({ group }: Attempt, departure: ReportedDeparture, { hasEveryVm, lastLossAtMs }: KnownCommits): boolean {
  const own = group.departures.find(d => formatStart(d) === formatStart(departure))
  return hasEveryVm && own?.isGone === true && own.logEnd !== null && lastLossAtMs <= own.noticedAtMs
}

/** Records whether a replica that could not be paused counts as ended. */
function recordNotPaused (attempt: Attempt, departure: ReportedDeparture, known: KnownCommits, error: unknown): FencedDeparture {
  const { host, group } = attempt
  const { endpoint, address, logEnd } = departure
  const nowMs = host.clock.readNow()
  const own = group.departures.find(d => formatStart(d) === formatStart(departure))
  const isLongMissing = own !== undefined && nowMs - own.noticedAtMs >= LONG_MISSING_MS
  const isProven = isAddressReused(error) || (own !== undefined && hasShutDown(own, nowMs))
  const isGone = isProven || isRefused(error) || isLongMissing || departure.isGone === true
  if (isGone) recordGone(group.departures, departure, nowMs, !isProven)
  const inputs = { isProven, hasEveryVm: known.hasEveryVm, lastLossAgeMs: Math.round(nowMs - known.lastLossAtMs), logEnd, reason: describeError(error) }
  host.logger.info('departed replica not paused', { service: group.service, endpoint, address, isGone, ...inputs })
  return { departure: { ...departure, isGone, isPresumed: isGone && !isProven }, isUnfenced: !isProven }
}

/** Takes back that a departed replica has ended, if it counted as ended, because it has responded. */
function withdrawEnd ({ host, group }: Attempt, departure: ReportedDeparture): ReportedDeparture {
  if (departure.isGone !== true) return departure
  recordRunning(group.departures, departure, host.clock.readNow())
  const { endpoint, address, logEnd } = departure
  host.logger.warn('departed replica still runs, although it counted as ended', { service: group.service, endpoint, address, logEnd })
  return { ...departure, isGone: false, isPresumed: false, logEnd: null }
}

/** Lets departed replicas receive again. */
export async function resumeDepartures (attempt: Attempt): Promise<void> {
  const { host, departures } = attempt
  await Promise.all([...departures.values()].map(async departure => {
    if (departure.isGone === true && departure.isPresumed !== true) return
    await runWithRetries(attempt, departure, async c => await resumeEndpoint(attempt, c))
      .catch((error: unknown) => {
        host.logger.info('departed replica not resumed', { endpoint: departure.endpoint, reason: describeError(error) })
      })
  }))
}

/**
 * Whether a failed connection tells that the endpoint no longer runs: its address refuses connections of this VM, or another endpoint
 * listens there.
 */
export function isEnded (error: unknown): boolean {
  return isRefused(error) || isAddressReused(error)
}

/** Whether an address has refused a connection. That is this VM's view: others may reach an endpoint there. */
export function isRefused (error: unknown): boolean {
  return error instanceof ConnectionLostError && error.isRefused
}

/** Whether another endpoint listens at the address, which proves that the former one has ended. */
export function isAddressReused (error: unknown): boolean {
  return error instanceof EndpointRefusedError && error.code === 'misrouted'
}

/**
 * Computes the position that a log must reach to hold all that a departed replica had received. The status of one that still runs does not
 * tell its start: it may have restarted without its log, so that its position tells nothing of what it had acknowledged before.
 *
 * @returns `null` if no position is known to suffice
 */
export function computeRequiredEnd ({ isGone, logEnd }: Pick<ReportedDeparture, 'isGone' | 'logEnd'>): LogPosition | null {
  return isGone === true ? logEnd : null
}

/** Runs a command, with retries while the endpoint is busy. @returns `null` if it stayed busy or its address is not known */
async function runWithRetries ({ host, group }: Attempt, { endpoint, address }: ReportedDeparture, command: ControlCommand): Promise<EndpointStatus | null> {
  if (address === undefined) return null
  for (let attempts = 1; attempts <= MAX_BUSY_ATTEMPTS; attempts++) {
    const status = await host.control.run({ endpoint, address, service: group.service }, command)
    if (status !== null) return status
    await waitFor(RETRY_DELAY_MS)
  }
  return null
}
