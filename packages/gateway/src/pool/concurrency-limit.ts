/** Response times longer than this multiple of the shortest one of their kind show that statements queue at the endpoint. */
const CONGESTED_RATIO = 6
/** Response times below this multiple show that nothing queues. Work of one kind varies by about this much. */
const FREE_RATIO = 2.5
/** Factors on the limit when statements queue at the endpoint, and when its queue is full. */
const CONGESTED_FACTOR = 0.85
const FULL_FACTOR = 0.7
/** Time between two reductions, in milliseconds: about the time after which the response times show the previous one. */
const REDUCTION_INTERVAL_MS = 50
/** Weight of the latest ratio in the moving average. */
const NEW_RATIO_WEIGHT = 0.3
/** The limit stays above this multiple of what the rate of responses would need if nothing queued, so that a VM with many statements keeps its part. */
const NEEDED_FACTOR = 3
/** Time over which the rate of responses is measured, in milliseconds, and the shortest response time that is assumed at first. */
const RATE_WINDOW_MS = 1_000
const FIRST_SHORTEST_MS = 30
/** Weight of the latest shortest response time in the mean over the kinds. */
const NEW_SHORTEST_WEIGHT = 0.1
/** The shortest response time is that of the last one to two windows, so that a change of the endpoint or the network is followed. */
const SHORTEST_WINDOW_MS = 5_000

interface ShortestResponse { windowStartMs: number, currentMs: number, previousMs: number }

/** How many statements and connection attempts this VM has in flight at one endpoint at most. Times are on this VM's clock, in milliseconds. */
export interface ConcurrencyLimit {
  limit: number
  readonly maxLimit: number
  /** Moving average of the response times as multiples of the shortest ones of their kind. */
  congestion: number
  lastReducedAtMs: number
  /** Responses in the last `RATE_WINDOW_MS`, of which earlier ones count less. */
  recentResponses: number
  lastResponseAtMs: number
  /** Mean of the shortest response times, weighted by the kinds of the latest responses. */
  meanShortestMs: number
  readonly shortestByKind: Map<string, ShortestResponse>
}

/** @example createConcurrencyLimit(5) // starts with the number of the endpoint's slots */
export function createConcurrencyLimit (slots: number): ConcurrencyLimit {
  return { limit: Math.max(1, slots), maxLimit: Math.max(1, slots) * 4, congestion: 1, lastReducedAtMs: -Infinity, recentResponses: 0, lastResponseAtMs: 0, meanShortestMs: FIRST_SHORTEST_MS, shortestByKind: new Map() }
}

/**
 * Records a response time. The limit rises by about one with each round of responses while it is used and nothing queues at the endpoint,
 * and falls by a factor while statements queue there.
 *
 * @param kind statements of one kind take similar times
 * @param inFlight number in flight before the response
 */
export function recordResponseTime (state: ConcurrencyLimit, kind: string, responseMs: number, inFlight: number, nowMs: number): void {
  const shortestMs = recordShortest(state, kind, responseMs, nowMs)
  state.meanShortestMs += NEW_SHORTEST_WEIGHT * (shortestMs - state.meanShortestMs)
  state.recentResponses = readRecentResponses(state, nowMs) + 1
  state.lastResponseAtMs = nowMs
  state.congestion += NEW_RATIO_WEIGHT * (responseMs / shortestMs - state.congestion)
  if (state.congestion > CONGESTED_RATIO) applyReduction(state, CONGESTED_FACTOR, nowMs)
  else if (state.congestion < FREE_RATIO && inFlight >= Math.floor(state.limit)) state.limit = Math.min(state.maxLimit, state.limit + 1 / state.limit)
}

/** Records that the endpoint refused a statement or connection because its queue is full. */
export function recordFullQueue (state: ConcurrencyLimit, nowMs: number): void {
  applyReduction(state, FULL_FACTOR, nowMs)
}

function applyReduction (state: ConcurrencyLimit, factor: number, nowMs: number): void {
  if (nowMs - state.lastReducedAtMs < REDUCTION_INTERVAL_MS) return
  state.lastReducedAtMs = nowMs
  const neededLimit = NEEDED_FACTOR * readRecentResponses(state, nowMs) * state.meanShortestMs / RATE_WINDOW_MS
  state.limit = Math.max(1, Math.min(neededLimit, state.maxLimit), state.limit * factor)
}

function readRecentResponses ({ recentResponses, lastResponseAtMs }: ConcurrencyLimit, nowMs: number): number {
  return recentResponses * Math.exp((lastResponseAtMs - nowMs) / RATE_WINDOW_MS)
}

/** Returns the shortest response time of a kind that was seen lately, in milliseconds; `undefined` if none was. */
export function readShortestMs ({ shortestByKind }: ConcurrencyLimit, kind: string): number | undefined {
  const shortest = shortestByKind.get(kind)
  return shortest === undefined ? undefined : Math.min(shortest.currentMs, shortest.previousMs)
}

function recordShortest ({ shortestByKind }: ConcurrencyLimit, kind: string, responseMs: number, nowMs: number): number {
  const known = shortestByKind.get(kind)
  const shortest = known ?? { windowStartMs: nowMs, currentMs: responseMs, previousMs: Infinity }
  if (known === undefined) shortestByKind.set(kind, shortest)
  if (nowMs - shortest.windowStartMs >= SHORTEST_WINDOW_MS) {
    shortest.previousMs = nowMs - shortest.windowStartMs < 2 * SHORTEST_WINDOW_MS ? shortest.currentMs : Infinity
    Object.assign(shortest, { windowStartMs: nowMs, currentMs: responseMs })
  }
  shortest.currentMs = Math.max(0.1, Math.min(shortest.currentMs, responseMs))
  return Math.min(shortest.currentMs, shortest.previousMs)
}
