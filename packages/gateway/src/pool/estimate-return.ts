/** Time for which a statement holds a connection, in milliseconds, before the endpoint has answered one. */
const DEFAULT_RESPONSE_MS = 30
/** Bounds of the estimate, in milliseconds: a shorter one is no better than an attempt at once, a longer one no estimate. */
const MIN_RETURN_MS = 50
const MAX_RETURN_MS = 2_000
/** Clients are told times up to this fraction later than the estimate, so that they do not all return at once. */
const SPREAD_FRACTION = 0.5

/** What an endpoint's pool has in hand. */
export interface WorkInHand {
  /** Requests that wait for a connection. */
  waiting: number
  /** Open connections. */
  connections: number
  /** Average response time of the endpoint, in milliseconds; `null` before the first response. */
  averageResponseMs: number | null
  /** Time until a connection may be opened again, in milliseconds; 0 if it may be now. */
  backoffLeftMs: number
}

/**
 * Estimates after how long a client that is refused now will find a free connection, in milliseconds: once the requests that wait have been
 * served, at the rate at which the endpoint answers.
 *
 * @param draw a random number in [0, 1) that spreads the returns
 * @example estimateReturnMs({ waiting: 8, connections: 3, averageResponseMs: 40, backoffLeftMs: 0 }, 0) // 120
 */
export function estimateReturnMs ({ waiting, connections, averageResponseMs, backoffLeftMs }: WorkInHand, draw: number): number {
  const workMs = (waiting + 1) * (averageResponseMs ?? DEFAULT_RESPONSE_MS) / Math.max(1, connections)
  const returnMs = Math.min(MAX_RETURN_MS, Math.max(MIN_RETURN_MS, backoffLeftMs + workMs))
  return Math.round(returnMs * (1 + SPREAD_FRACTION * draw))
}
