/** Time of a watch in any deployment. */
const MIN_WATCH_MS = 5_000
/** The store allows no longer wait. */
const MAX_WATCH_MS = 30_000
/** Time to notice that a watch has had no answer, to list the objects and to apply them. */
const RECOVERY_MARGIN_MS = 3_000

export interface WatchBounds {
  /** Time for which a VM must have been without disruption until bounds hold for it. */
  stableWindowMs: number
  /** Time within which a VM applies a change that was acknowledged. */
  applyMs: number
}

/**
 * Computes how long a watch may wait for changes, in milliseconds. A connection may go silent at any time, which only the end of the wait
 * shows; the VM must apply the next change in time all the same.
 *
 * @example computeWatchMs({ stableWindowMs: 6_000, applyMs: 6_000 }) // 9_000
 */
export function computeWatchMs ({ stableWindowMs, applyMs }: WatchBounds): number {
  return Math.min(MAX_WATCH_MS, Math.max(MIN_WATCH_MS, stableWindowMs + applyMs - RECOVERY_MARGIN_MS))
}
