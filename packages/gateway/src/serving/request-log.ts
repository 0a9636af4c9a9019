/** Requests whose numbers are remembered for each VM; messages of a VM arrive nearly in order, so a lower number is a very late repetition. */
const MAX_REMEMBERED = 4_096
/** Interval after which the smallest delay of a VM's messages is measured anew, as clocks drift by up to 0.1 ms a second. */
const DELAY_WINDOW_MS = 30_000

/** What a serving VM remembers of the statements of one start of another VM. */
export interface RequestLog {
  incarnation: number
  /** Numbers of the requests that were received, or that will be refused if they arrive, the oldest first. */
  known: Set<number>
  /** Requests up to this number are not remembered any more, and are taken as received. */
  forgottenUpTo: number
  /** Smallest difference between the clocks at arrival and sending, of this window and the one before; `Infinity` without messages. */
  minDelayMs: [number, number]
  windowStartedAtMs: number
}

export function createRequestLog (incarnation: number, nowMs: number): RequestLog {
  return { incarnation, known: new Set(), forgottenUpTo: -1, minDelayMs: [Infinity, Infinity], windowStartedAtMs: nowMs }
}

/** Records a request, or that it must not be run. @returns whether it is new */
export function addRequest (log: RequestLog, request: number): boolean {
  if (request <= log.forgottenUpTo || log.known.has(request)) return false
  log.known.add(request)
  if (log.known.size > MAX_REMEMBERED) {
    const oldest = log.known.values().next().value!
    log.known.delete(oldest)
    log.forgottenUpTo = Math.max(log.forgottenUpTo, oldest)
  }
  return true
}

/**
 * Measures by how much longer a message was on the way than the fastest one of late, in milliseconds: because its link was slow or its
 * receiver stood still. Clocks of different VMs can't be compared, but their difference stays nearly the same.
 */
export function measureExcessDelayMs (log: RequestLog, sentAtMs: number, nowMs: number): number {
  if (nowMs - log.windowStartedAtMs >= DELAY_WINDOW_MS) {
    const isPreviousRecent = nowMs - log.windowStartedAtMs < 2 * DELAY_WINDOW_MS
    log.minDelayMs = [Infinity, isPreviousRecent ? log.minDelayMs[0] : Infinity]
    log.windowStartedAtMs = nowMs
  }
  log.minDelayMs[0] = Math.min(log.minDelayMs[0], nowMs - sentAtMs)
  return nowMs - sentAtMs - Math.min(...log.minDelayMs)
}
