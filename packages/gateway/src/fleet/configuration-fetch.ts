/** The store is given this long to deliver a version that another VM has, in milliseconds. */
const STORE_DELIVERY_WAIT_MS = 300
/** A VM that has not sent its configuration after this long is given up, in milliseconds; a slow link takes a second for a large one. */
const VM_RESPONSE_TIMEOUT_MS = 2_000

/**
 * When to ask another VM for its configuration, and which.
 *
 * The load pattern: many VMs of a large fleet are turned away by the store while a large configuration changes.
 * Each asks one VM at a time, so that links carry it once for each VM, whatever the number of VMs that have it.
 */
export interface ConfigurationFetch {
  /** Since when a later version than this VM's is known to exist; `null` while none is. */
  outdatedSinceMs: number | null
  requestedAtMs: number
}

export function createConfigurationFetch (): ConfigurationFetch {
  return { outdatedSinceMs: null, requestedAtMs: -Infinity }
}

/**
 * Takes in the version that another VM has.
 *
 * @returns whether to ask that VM for it now
 */
export function applyReportedVersion (state: ConfigurationFetch, reportedVersion: number, localVersion: number, nowMs: number): boolean {
  if (reportedVersion <= localVersion) return false
  state.outdatedSinceMs ??= nowMs
  const isStoreLate = localVersion === 0 || nowMs - state.outdatedSinceMs >= STORE_DELIVERY_WAIT_MS
  if (!isStoreLate || nowMs - state.requestedAtMs < VM_RESPONSE_TIMEOUT_MS) return false
  state.requestedAtMs = nowMs
  return true
}

/** Takes in that a configuration has come, from wherever. */
export function resetConfigurationFetch (state: ConfigurationFetch): void {
  state.outdatedSinceMs = null
  state.requestedAtMs = -Infinity
}
