/** Weight of a new answer in the average time of answers. */
const NEW_RESPONSE_WEIGHT = 0.15
/** An endpoint that left an answer or connection attempt out for this long counts as silent, in milliseconds. */
export const SILENT_AFTER_MS = 700
/** After a failure other endpoints are preferred for this long, in milliseconds. */
const AVOID_AFTER_FAILURE_MS = 1_000

/** How one endpoint has answered this VM. */
export interface EndpointHealth {
  heardAtMs: number
  /** When the first message was sent that nothing has followed from the endpoint; `null` for none. */
  unansweredSinceMs: number | null
  /** Statements sent and not yet answered. */
  inFlight: number
  /** Average time to an answer, in milliseconds; `null` before the first. */
  averageResponseMs: number | null
  /** Since when it refuses connections; `null` while it does not. */
  refusedSinceMs: number | null
  /** Other endpoints are preferred until then. */
  avoidUntilMs: number
}

export function createHealth (): EndpointHealth {
  return { heardAtMs: -Infinity, unansweredSinceMs: null, inFlight: 0, averageResponseMs: null, refusedSinceMs: null, avoidUntilMs: -Infinity }
}

export function recordSent (health: EndpointHealth, nowMs: number): void {
  health.inFlight++
  health.unansweredSinceMs ??= nowMs
}

/** Takes in an answer; `sentAtMs` is when its statement was sent. */
export function recordAnswered (health: EndpointHealth, sentAtMs: number, nowMs: number): void {
  health.inFlight--
  recordContact(health, nowMs)
  const responseMs = nowMs - sentAtMs
  health.averageResponseMs = health.averageResponseMs === null ? responseMs : health.averageResponseMs + NEW_RESPONSE_WEIGHT * (responseMs - health.averageResponseMs)
}

/** Takes in a new connection, which says nothing of how long statements take. */
export function recordConnected (health: EndpointHealth, nowMs: number): void {
  health.inFlight--
  recordContact(health, nowMs)
}

export function recordContact (health: EndpointHealth, nowMs: number): void {
  health.heardAtMs = nowMs
  health.unansweredSinceMs = health.inFlight > 0 ? nowMs : null
  health.refusedSinceMs = null
}

/** Takes in that a statement or connection attempt ended without an answer. */
export function recordUnanswered (health: EndpointHealth, nowMs: number): void {
  health.inFlight--
  health.avoidUntilMs = nowMs + AVOID_AFTER_FAILURE_MS
}

export function recordRefused (health: EndpointHealth, nowMs: number): void {
  health.refusedSinceMs ??= nowMs
  health.avoidUntilMs = nowMs + AVOID_AFTER_FAILURE_MS
}

/** Prefers other endpoints for a while, as after an answer that it is too busy. */
export function recordBusy (health: EndpointHealth, avoidForMs: number, nowMs: number): void {
  health.avoidUntilMs = Math.max(health.avoidUntilMs, nowMs + avoidForMs)
}

export function measureSilence (health: EndpointHealth, nowMs: number): number {
  return health.unansweredSinceMs === null ? 0 : nowMs - health.unansweredSinceMs
}

export function isSilent (health: EndpointHealth, nowMs: number): boolean {
  return measureSilence(health, nowMs) >= SILENT_AFTER_MS
}

/** Whether requests should rather go elsewhere. */
export function isAvoided (health: EndpointHealth, nowMs: number): boolean {
  return nowMs < health.avoidUntilMs || isSilent(health, nowMs)
}
