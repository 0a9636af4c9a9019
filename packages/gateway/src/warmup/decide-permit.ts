/**
 * A request counts for this long after its response: a second, and 2 percent more for clocks of VMs that run at different speeds.
 */
export const COUNTED_AFTER_RESPONSE_MS = 1_020
/** Time after which a request should be retried while the endpoint's start or the shares are being read from the store. */
const UNCONFIRMED_RETRY_AFTER_MS = 100
/** Response time of a cold endpoint that return times assume while every request that counts is still without a response. */
const ASSUMED_RESPONSE_MS = 100

/** What a VM knows about an endpoint when it is about to send a request there. */
export interface WarmupView {
  nowMs: number
  /** Until when the endpoint may be cold. */
  coldUntilMs: number
  /** When the endpoint may last have restarted unnoticed: a connection to it was lost, a request was not answered, or another VM reported that its start has ended. `-Infinity` if never. */
  doubtedAtMs: number
  /** When the newest connection to it was opened. Each of them leads to the start that was registered then, or to a later one. */
  lastConnectedAtMs: number
  /** When the first connection was opened since `doubtedAtMs`; `null` if there was none. */
  reconnectedAtMs: number | null
  /** When the latest listing of the store was requested that had the endpoint with its known start. */
  confirmedAtMs: number
  /** Whether the store answered the latest call for a confirmation or the shares. */
  isStoreReachable: boolean
  /** How long an endpoint of the service takes to warm up. */
  warmupMs: number
  /** Requests that this VM may send in a second; `null` while the shares are not known. */
  share: number | null
  /** Requests that were sent and not answered. */
  unanswered: number
  /** Times of the latest responses, the oldest first. */
  respondedAtMs: readonly number[]
}

/** `reason` for a refusal: it is not certain which start of the endpoint would get the request, or this VM has no share, or has used it. */
export type WarmupVerdict =
  | { isPermitted: true, isCold: boolean }
  | { isPermitted: false, reason: 'unconfirmed' | 'no share' | 'share used', availableAtMs: number }

/**
 * Decides whether a VM may send a request to an endpoint now, and if not, when. Responds to endpoints that are slow and easily overloaded
 * right after their start, while many VMs send to them.
 *
 * A request counts from before it is sent until a second after its response. If the share is n, at most n requests of this VM reach the
 * endpoint in any second, however long they are under way: when the last of them was sent, each other one was without a response or had been answered within
 * that second. A request whose response never comes counts until the endpoint is warm.
 */
export function decideWarmupPermit (view: WarmupView): WarmupVerdict {
  const { nowMs, coldUntilMs, share, unanswered, respondedAtMs } = view
  const isCold = nowMs < coldUntilMs
  if (!isCold) return isDoubtful(view) ? refuseUnconfirmed(view, (view.reconnectedAtMs ?? nowMs) + view.warmupMs) : { isPermitted: true, isCold }
  if (share === null) return refuseUnconfirmed(view, coldUntilMs)
  if (share === 0) return { isPermitted: false, reason: 'no share', availableAtMs: coldUntilMs }
  const counted = respondedAtMs.filter(t => nowMs - t <= COUNTED_AFTER_RESPONSE_MS)
  if (unanswered + counted.length >= share) {
    const freeAtMs = (counted[unanswered + counted.length - share] ?? nowMs + ASSUMED_RESPONSE_MS) + COUNTED_AFTER_RESPONSE_MS
    return { isPermitted: false, reason: 'share used', availableAtMs: Math.min(coldUntilMs, Math.max(nowMs, freeAtMs)) }
  }
  // Other VMs have the shares of a later start. So it must be certain that every open connection leads to the known one.
  if (view.confirmedAtMs <= Math.max(view.doubtedAtMs, view.lastConnectedAtMs)) return refuseUnconfirmed(view, coldUntilMs)
  return { isPermitted: true, isCold }
}

/**
 * Whether a warm endpoint may have restarted, and be cold. What a connection has reached for as long as a warm-up takes is warm, so
 * the doubt ends without the store, too.
 */
function isDoubtful ({ nowMs, doubtedAtMs, confirmedAtMs, reconnectedAtMs, warmupMs }: WarmupView): boolean {
  return doubtedAtMs > -Infinity && doubtedAtMs >= confirmedAtMs && (reconnectedAtMs === null || nowMs - reconnectedAtMs < warmupMs)
}

/** @param withoutStoreMs when a request is permitted even if the store does not answer */
function refuseUnconfirmed ({ nowMs, isStoreReachable }: WarmupView, withoutStoreMs: number): WarmupVerdict {
  return { isPermitted: false, reason: 'unconfirmed', availableAtMs: isStoreReachable ? nowMs + UNCONFIRMED_RETRY_AFTER_MS : withoutStoreMs }
}
