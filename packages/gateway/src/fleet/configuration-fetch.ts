/** How long the store may take to deliver a version that another VM reports before that VM is requested to send it. */
const STORE_DELIVERY_WAIT_MS = 300
/** How long to wait for one VM's configuration before another VM is tried; a large one takes a second over a slow link. */
const VM_RESPONSE_TIMEOUT_MS = 2_000

/**
 * State that decides when to request the configuration from another VM, and from which one.
 *
 * While a large configuration changes, the store rejects requests from many VMs of a large fleet. Each of them
 * requests it from one VM at a time, so that it is transferred once per VM, however many VMs could send it.
 */
export interface ConfigurationFetch {
  /** When a version later than the local one was first reported; `null` while the local version is the latest known. */
  outdatedSinceMs: number | null
  /** When a VM was last requested to send its configuration; `-Infinity` while no request is pending. */
  requestedAtMs: number
}

export function createConfigurationFetch (): ConfigurationFetch {
  return { outdatedSinceMs: null, requestedAtMs: -Infinity }
}

/**
 * Applies the configuration version that another VM reports. A returned `true` is recorded as a request sent.
 *
 * @returns whether to request the configuration from that VM now
 */
export function applyReportedVersion (state: ConfigurationFetch, reportedVersion: number, localVersion: number, nowMs: number): boolean {
  if (reportedVersion <= localVersion) return false
  state.outdatedSinceMs ??= nowMs
  const isStoreLate = localVersion === 0 || nowMs - state.outdatedSinceMs >= STORE_DELIVERY_WAIT_MS
  if (!isStoreLate || nowMs - state.requestedAtMs < VM_RESPONSE_TIMEOUT_MS) return false
  state.requestedAtMs = nowMs
  return true
}

/** Ends the pending request once a configuration has been applied, whether it came from the store or from a VM. */
export function resetConfigurationFetch (state: ConfigurationFetch): void {
  state.outdatedSinceMs = null
  state.requestedAtMs = -Infinity
}
