/** Weight of the latest response time in the moving average. */
const NEW_RESPONSE_WEIGHT = 0.15
/** An endpoint is unresponsive once a statement or connection attempt has had no response for this long, in milliseconds. */
export const ENDPOINT_UNRESPONSIVE_AFTER_MS = 700
/** Time for which other endpoints are preferred after a failure, in milliseconds. */
const AVOID_AFTER_FAILURE_MS = 1_000

/** How one endpoint has responded to this VM. Times are on this VM's clock, in milliseconds. */
export interface EndpointHealth {
  /** Time of the last response; `-Infinity` before the first. */
  lastResponseAtMs: number
  /** Since when a response has been pending without any contact from the endpoint; `null` when none is pending. */
  unansweredSinceMs: number | null
  /** Statements and connection attempts whose response is pending. */
  inFlight: number
  /** Moving average of the response time to statements, in milliseconds; `null` before the first response. */
  averageResponseMs: number | null
  /** Since when connection attempts are refused at its address; `null` while they are not. */
  refusedSinceMs: number | null
  /** Time until which other endpoints are preferred. */
  avoidUntilMs: number
}

export function createHealth (): EndpointHealth {
  return { lastResponseAtMs: -Infinity, unansweredSinceMs: null, inFlight: 0, averageResponseMs: null, refusedSinceMs: null, avoidUntilMs: -Infinity }
}

/** Records that a statement was sent or a connection attempt began. */
export function recordSent (health: EndpointHealth, nowMs: number): void {
  health.inFlight++
  health.unansweredSinceMs ??= nowMs
}

/** Records the response to a statement that was sent at `sentAtMs`. */
export function recordResponse (health: EndpointHealth, sentAtMs: number, nowMs: number): void {
  health.inFlight--
  recordContact(health, nowMs)
  const responseMs = nowMs - sentAtMs
  health.averageResponseMs = health.averageResponseMs === null ? responseMs : health.averageResponseMs + NEW_RESPONSE_WEIGHT * (responseMs - health.averageResponseMs)
}

/** Records the response to a connection attempt. It does not count towards the response time of statements. */
export function recordConnected (health: EndpointHealth, nowMs: number): void {
  health.inFlight--
  recordContact(health, nowMs)
}

/** Records any message from the endpoint, which shows that it is reachable. */
export function recordContact (health: EndpointHealth, nowMs: number): void {
  health.lastResponseAtMs = nowMs
  health.unansweredSinceMs = health.inFlight > 0 ? nowMs : null
  health.refusedSinceMs = null
}

/** Records that a statement or connection attempt ended without a response. */
export function recordNoResponse (health: EndpointHealth, nowMs: number): void {
  health.inFlight--
  health.avoidUntilMs = nowMs + AVOID_AFTER_FAILURE_MS
}

/** Records that a response is no longer waited for, which tells nothing about the endpoint. */
export function recordAbandoned (health: EndpointHealth): void {
  health.inFlight--
  if (health.inFlight === 0) health.unansweredSinceMs = null
}

/** Records that a connection attempt was refused at the endpoint's address. */
export function recordRefused (health: EndpointHealth, nowMs: number): void {
  health.refusedSinceMs ??= nowMs
  health.avoidUntilMs = nowMs + AVOID_AFTER_FAILURE_MS
}

/** Records that the endpoint was too busy: other endpoints are preferred for `avoidForMs`. */
export function recordBusy (health: EndpointHealth, avoidForMs: number, nowMs: number): void {
  health.avoidUntilMs = Math.max(health.avoidUntilMs, nowMs + avoidForMs)
}

/** Returns how long a response has been pending without contact, in milliseconds; 0 when none is pending. */
export function measureUnansweredMs (health: EndpointHealth, nowMs: number): number {
  return health.unansweredSinceMs === null ? 0 : nowMs - health.unansweredSinceMs
}

/** Whether a response has been pending without contact for too long. */
export function isUnresponsive (health: EndpointHealth, nowMs: number): boolean {
  return measureUnansweredMs(health, nowMs) >= ENDPOINT_UNRESPONSIVE_AFTER_MS
}

/** Whether nothing shows that this VM reaches the endpoint: it does not respond, or refuses connections at its address. */
export function isUnreachable (health: EndpointHealth, nowMs: number): boolean {
  return health.refusedSinceMs !== null || isUnresponsive(health, nowMs)
}

/** Whether requests should prefer other endpoints. */
export function isAvoided (health: EndpointHealth, nowMs: number): boolean {
  return nowMs < health.avoidUntilMs || isUnresponsive(health, nowMs)
}
