/** How long the store may take to deliver a version that another VM reports before that VM is requested to send it. */
const STORE_DELIVERY_WAIT_MS = 300
/** How long to wait for one VM's response before another VM is tried; a large configuration takes a second over a slow link. */
const VM_RESPONSE_TIMEOUT_MS = 2_000

/**
 * State that decides when to request what the store has not delivered from another VM, and from which one.
 *
 * While a large configuration changes, the store rejects requests from many VMs of a large fleet. Each of them
 * requests it from one VM at a time, so that it is transferred once per VM, however many VMs could send it.
 */
export interface PeerFetch {
  /** When a version later than the local one was first reported; `null` while the local version is the latest known. */
  outdatedSinceMs: number | null
  /** When a VM was last requested to send its version; `-Infinity` while no request is pending. */
  requestedAtMs: number
}

export function createPeerFetch (): PeerFetch {
  return { outdatedSinceMs: null, requestedAtMs: -Infinity }
}

/**
 * Applies the version that another VM reports. A returned `true` is recorded as a request sent. The first version is requested at once: a VM
 * that has none can't serve.
 *
 * @param localVersion 0 if this VM has none
 * @returns whether to request the version from that VM now
 */
export function applyReportedVersion (state: PeerFetch, reportedVersion: number, localVersion: number, nowMs: number): boolean {
  if (reportedVersion <= localVersion) return false
  state.outdatedSinceMs ??= nowMs
  const isStoreLate = localVersion === 0 || nowMs - state.outdatedSinceMs >= STORE_DELIVERY_WAIT_MS
  if (!isStoreLate || nowMs - state.requestedAtMs < VM_RESPONSE_TIMEOUT_MS) return false
  state.requestedAtMs = nowMs
  return true
}

/** Ends the pending request once a version has been applied, whether it came from the store or from a VM. */
export function resetPeerFetch (state: PeerFetch): void {
  state.outdatedSinceMs = null
  state.requestedAtMs = -Infinity
}
