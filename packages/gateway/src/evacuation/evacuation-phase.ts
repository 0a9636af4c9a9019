/**
 * How far an evacuation is.
 *
 * - `leaving`: reads and read-only transactions go elsewhere; the primary is replaced, and used until then.
 * - `ending`: no transaction begins there any more, and open ones are ended.
 * - `closed`: nothing is sent there.
 */
export type EvacuationPhase = 'leaving' | 'ending' | 'closed'

/** Time from the store's acknowledgement of an evacuation until a VM that reaches the store, or other VMs, knows of it: two rounds of polls. */
const LEARNING_MS = 1_000
/** Time for what was sent last to reach its endpoint: the event loop of a VM with a third of a core stalls for some hundred milliseconds. */
const ARRIVAL_MARGIN_MS = 1_000
/** Fraction of the time until nothing is sent any more in which open transactions may end by themselves, as in a drain. */
const TRANSACTION_FRACTION = 0.5

/** Times of the phases since a VM has learned of an evacuation, in milliseconds. */
export interface EvacuationTimes { endTransactionsAfterMs: number, closeAfterMs: number }

/**
 * Computes when the phases of an evacuation begin.
 *
 * @param applyMs time from the store's acknowledgement until no request reaches the failure domain
 * @example computeEvacuationTimes(5_000) // { endTransactionsAfterMs: 1_500, closeAfterMs: 3_000 }
 */
export function computeEvacuationTimes (applyMs: number): EvacuationTimes {
  const closeAfterMs = Math.max(0, applyMs - LEARNING_MS - ARRIVAL_MARGIN_MS)
  return { endTransactionsAfterMs: closeAfterMs * TRANSACTION_FRACTION, closeAfterMs }
}

/**
 * Decides how far an evacuation is.
 *
 * @param ageMs time since it became known; `null` if that may be long ago
 */
export function decideEvacuationPhase (ageMs: number | null, { endTransactionsAfterMs, closeAfterMs }: EvacuationTimes): EvacuationPhase {
  if (ageMs === null || ageMs >= closeAfterMs) return 'closed'
  return ageMs >= endTransactionsAfterMs ? 'ending' : 'leaving'
}
