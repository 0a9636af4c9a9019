import { FALLBACK_AGE_MS, FLEET_SHRINK_DELAY_MS, STALENESS_LIMIT_MS, type ConfigurationState } from './state.ts'

/** Milliseconds since this VM surely had all that was accepted; `Infinity` before the first proof. */
export function computeAgeMs (state: ConfigurationState, nowMs: number): number {
  return Math.max(0, nowMs - state.completeAsOfMs)
}

/**
 * Tells whether keys may be accepted.
 *
 * A VM without recent proof may have missed a withdrawn key. While it still sees a majority of the
 * fleet, the object service is down for nearly all, and nothing can be withdrawn; without one, the
 * VM itself is probably cut off.
 */
export function isCurrent (state: ConfigurationState, nowMs: number): boolean {
  if (!state.isReady) return false
  if (computeAgeMs(state, nowMs) <= STALENESS_LIMIT_MS) return true
  return state.members.length > state.fleetSize / 2
}

/** Keeps the size of the fleet; a shrunken fleet counts only after it has lasted, with proof. */
export function updateFleetSize (state: ConfigurationState, nowMs: number): void {
  const size = state.members.length
  if (size >= state.fleetSize) {
    state.fleetSize = size
    state.fleetSmallerSinceMs = null
    return
  }
  if (computeAgeMs(state, nowMs) > FALLBACK_AGE_MS) {
    state.fleetSmallerSinceMs = null
    return
  }
  state.fleetSmallerSinceMs ??= nowMs
  if (nowMs - state.fleetSmallerSinceMs < FLEET_SHRINK_DELAY_MS) return
  state.fleetSize = size
  state.fleetSmallerSinceMs = null
}
