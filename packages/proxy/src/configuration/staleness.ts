import { FALLBACK_AGE_MS, FLEET_SHRINK_DELAY_MS, STALENESS_LIMIT_MS, type ConfigurationState } from './state.ts'

/**
 * Milliseconds since the last time at which this VM is known to have had every accepted change;
 * `Infinity` before the first confirmation.
 */
export function computeAgeMs (state: ConfigurationState, nowMs: number): number {
  return Math.max(0, nowMs - state.completeAsOfMs)
}

/**
 * Whether keys may be accepted.
 *
 * A VM whose configuration was not recently confirmed complete may have missed the withdrawal of a key.
 * If it still sees a majority of the fleet, the object service is down for nearly every VM, so that
 * nothing can be withdrawn. Without a majority, this VM itself is probably cut off.
 */
export function isCurrent (state: ConfigurationState, nowMs: number): boolean {
  if (!state.isReady) return false
  if (computeAgeMs(state, nowMs) <= STALENESS_LIMIT_MS) return true
  return state.members.length > state.fleetSize / 2
}

/**
 * Updates the fleet size that `isCurrent` compares with.
 *
 * Growth counts at once. A smaller size counts only after it has lasted for `FLEET_SHRINK_DELAY_MS` with a
 * recently confirmed configuration; otherwise a VM that is cut off would take the few members it still
 * sees for the whole fleet.
 */
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
