/** Backoff after the first refusal in a row, in milliseconds; it doubles with each further one. */
const FIRST_BACKOFF_MS = 30
/**
 * Idle time after which a connection is closed that this VM does not retain, in milliseconds: about what it takes to open one in another
 * region. The endpoint counts connections for seconds after their VM has lost power, so that those kept for longer are
 * missing when all VMs start again.
 */
export const EXCESS_IDLE_TIMEOUT_MS = 60
/** Time for which an endpoint counts as pressed after it has refused a connection, in milliseconds. */
const PRESSED_FOR_MS = 1_000

export interface PressureOptions {
  /** Longest backoff between two attempts at an endpoint that refuses connections, in milliseconds. */
  maxBackoffMs?: number
  /** Idle time after which a connection to a pressed endpoint is closed: other VMs, or other workspaces, wait for its place. */
  pressedIdleTimeoutMs?: number
  /** The same while the endpoint is not pressed. */
  idleTimeoutMs?: number
}

/** How one endpoint refuses connections of this VM because it has too many. Times are on this VM's clock, in milliseconds. */
export interface ConnectionPressure extends Required<PressureOptions> {
  /** Refusals since the last connection that it has accepted. */
  refusals: number
  lastRefusedAtMs: number
}

/** @example createConnectionPressure({ maxBackoffMs: 240 }) */
export function createConnectionPressure ({ maxBackoffMs = 240, pressedIdleTimeoutMs = 40, idleTimeoutMs = EXCESS_IDLE_TIMEOUT_MS }: PressureOptions = {}): ConnectionPressure {
  return { maxBackoffMs, pressedIdleTimeoutMs, idleTimeoutMs, refusals: 0, lastRefusedAtMs: -Infinity }
}

/** Records that the endpoint refused a connection. @returns the time until the next attempt, in milliseconds */
export function recordOverLimit (pressure: ConnectionPressure, nowMs: number): number {
  pressure.lastRefusedAtMs = nowMs
  return Math.min(pressure.maxBackoffMs, FIRST_BACKOFF_MS * 2 ** pressure.refusals++)
}

/** Factor on the number of refusals with each connection that is accepted, and what is taken from it besides, so that it ends at 0. */
const ACCEPTED_FACTOR = 0.8
const ACCEPTED_STEP = 0.1

export function recordAccepted (pressure: ConnectionPressure): void {
  pressure.refusals = 0
}

/** Records that an endpoint accepted a connection while others may still be refused: the backoff shrinks by steps. */
export function recordAcceptedUnderLoad (pressure: ConnectionPressure): void {
  pressure.refusals = Math.max(0, pressure.refusals * ACCEPTED_FACTOR - ACCEPTED_STEP)
}

/** Returns the idle time after which a connection is closed that this VM does not retain, in milliseconds. */
export function readIdleTimeoutMs ({ lastRefusedAtMs, pressedIdleTimeoutMs, idleTimeoutMs }: ConnectionPressure, nowMs: number): number {
  return nowMs - lastRefusedAtMs < PRESSED_FOR_MS ? pressedIdleTimeoutMs : idleTimeoutMs
}
