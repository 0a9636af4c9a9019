/** A serving VM is unresponsive once an answer has been pending for this long without any message of the slice from it. */
const UNRESPONSIVE_AFTER_MS = 700
/** Time for which an unresponsive VM is skipped after its first failure; it doubles with each further one, up to the maximum. */
const FIRST_SKIP_MS = 500
const MAX_SKIP_MS = 4_000
/** Time for which a VM is skipped that drains: it stops within this time, or is a new start after it. */
const DRAINING_SKIP_MS = 10_000
/** Time for which a VM is skipped that has refused a statement because it serves too many. */
const OVERLOADED_SKIP_MS = 100
/** Time for which a VM is skipped that does not reach an endpoint: its next statements would wait for a connection in vain. */
const UNREACHABLE_SKIP_MS = 1_000
/** A round trip, without the time that the VM worked, that is far above the 16 ms between regions: the VM or its link is slow. */
const SLOW_ROUND_TRIP_MS = 200
/** Number of slow round trips in a row after which a VM is skipped that still sends something. */
const MAX_SLOW_IN_ROW = 5
/** Statements and bytes in flight to one VM. At 20 ms a statement, 256 are over 10,000 a second; 2 MB take 2.3 s on a link of 7 Mbit/s. */
const MAX_IN_FLIGHT = 256
const MAX_IN_FLIGHT_BYTES = 2 * 1024 * 1024

const SKIP_MS = { draining: DRAINING_SKIP_MS, overloaded: OVERLOADED_SKIP_MS, endpointUnreachable: UNREACHABLE_SKIP_MS } as const
/** Reason for which a VM that refuses a statement is skipped for some time. */
export type RefusalReason = keyof typeof SKIP_MS

/** How a serving VM has responded to this VM. Times are on this VM's clock, in milliseconds. */
export interface ServingVmHealth {
  inFlight: number
  inFlightBytes: number
  /** Since when an answer has been pending without any message from the VM; `null` while none is pending. */
  unansweredSinceMs: number | null
  lastHeardAtMs: number | null
  /** Failures since the last message from the VM. */
  failures: number
  /** Answers in a row with a slow round trip. */
  slowInRow: number
  skippedUntilMs: number
  /** Until when the VM is skipped because its round trips are slow. Unlike after a failure, messages from it do not end that. */
  slowUntilMs: number
  /** Whether a statement is in flight that probes the VM after failures. */
  isProbing: boolean
  /** Shortest round trip seen, less the time that the VM worked; `null` before the first answer. */
  roundTripMs: number | null
}

/** Whether a statement may be sent to a VM. `probe`: one read may be, to find out whether the VM responds again. */
export type Availability = 'usable' | 'probe' | 'skipped' | 'unresponsive' | 'full'

export function createServingVmHealth (): ServingVmHealth {
  return { inFlight: 0, inFlightBytes: 0, unansweredSinceMs: null, lastHeardAtMs: null, failures: 0, slowInRow: 0, skippedUntilMs: -Infinity, slowUntilMs: -Infinity, isProbing: false, roundTripMs: null }
}

export function checkAvailability (health: ServingVmHealth, bytes: number, nowMs: number): Availability {
  if (nowMs < health.skippedUntilMs || nowMs < health.slowUntilMs) return 'skipped'
  if (health.unansweredSinceMs !== null && nowMs - health.unansweredSinceMs >= UNRESPONSIVE_AFTER_MS) return 'unresponsive'
  if (health.failures > 0) return health.isProbing ? 'unresponsive' : 'probe'
  return health.inFlight >= MAX_IN_FLIGHT || health.inFlightBytes + bytes > MAX_IN_FLIGHT_BYTES ? 'full' : 'usable'
}

export function recordForwarded (health: ServingVmHealth, bytes: number, nowMs: number): void {
  if (health.failures > 0) health.isProbing = true
  health.inFlight++
  health.inFlightBytes += bytes
  health.unansweredSinceMs ??= nowMs
}

/** Records that a statement is no longer waited for, with or without an answer. */
export function recordSettled (health: ServingVmHealth, bytes: number): void {
  health.inFlight--
  health.inFlightBytes -= bytes
  if (health.inFlight === 0) {
    health.unansweredSinceMs = null
    health.isProbing = false
  }
}

/** Records a message from the VM, which shows that it is reachable and runs. */
export function recordHeard (health: ServingVmHealth, nowMs: number): void {
  health.unansweredSinceMs = health.inFlight > 0 ? nowMs : null
  health.lastHeardAtMs = nowMs
  if (health.failures > 0) health.skippedUntilMs = -Infinity
  health.failures = 0
  health.isProbing = false
}

/** Records that the link was lost, or that a statement got no answer in time while nothing was heard of the VM. Failures at the same time count once. */
export function recordFailure (health: ServingVmHealth, nowMs: number): void {
  if (nowMs < health.skippedUntilMs) return
  health.skippedUntilMs = nowMs + Math.min(MAX_SKIP_MS, FIRST_SKIP_MS * 2 ** health.failures++)
  health.isProbing = false
}

/**
 * Records the round trip of an answer, without the time that the VM worked. A VM whose round trips are slow again and again is skipped for some
 * time. A slow endpoint makes answers late as well, but counts as work: other VMs would wait for it too, on connections that they open for it.
 */
export function recordRoundTrip (health: ServingVmHealth, roundTripMs: number, nowMs: number): void {
  health.roundTripMs = Math.min(health.roundTripMs ?? Infinity, roundTripMs)
  if (nowMs < health.slowUntilMs) return
  health.slowInRow = roundTripMs < SLOW_ROUND_TRIP_MS ? 0 : health.slowInRow + 1
  if (health.slowInRow < MAX_SLOW_IN_ROW) return
  health.slowInRow = 0
  health.slowUntilMs = nowMs + FIRST_SKIP_MS
}

/** Records that the VM refused a statement. */
export function recordRefusal (health: ServingVmHealth, reason: RefusalReason, nowMs: number): void {
  health.skippedUntilMs = nowMs + SKIP_MS[reason]
}

/** Whether nothing has been heard of the VM for so long that it counts as unresponsive. */
export function isUnheard ({ unansweredSinceMs }: ServingVmHealth, nowMs: number): boolean {
  return unansweredSinceMs !== null && nowMs - unansweredSinceMs >= UNRESPONSIVE_AFTER_MS
}
