import { decideLeaving, initialLeavingState, type Distance, type DomainLoad, type LeavingDecision, type LeavingOptions } from './decide-leaving.ts'
import { countRead, createReadRecord, measureReadsPerS, readRecentMs, readUnloadedMs, recordRead, type ReadCounter, type ReadRecord } from './read-records.ts'

/** Interval of decisions, in milliseconds: short against the time in which a queue of 40 statements fills (0.5 s at 30% too much demand). */
export const DECISION_INTERVAL_MS = 100
/** Round trip by distance, in milliseconds, until responses have shown it: 0.2, 0.9 and 8 ms one way. */
const ROUND_TRIP_MS = [0.4, 1.8, 16] as const

/** An endpoint that reads may use, as the decision about leaving sees it. */
export interface ReadEndpoint {
  endpoint: string
  failureDomain: string
  distance: Distance
  slots: number
  /** Added for its replication lag and for the use of a primary, in milliseconds. */
  penaltyMs: number
}

/** The reads of one service on this VM: how endpoints answered them, and the decision about leaving that results. */
export class ServiceReads {
  readonly #records = new Map<string, ReadRecord>()
  readonly #counter: ReadCounter = { periods: [] }
  #decidedAtMs = -Infinity
  /** The latest decision. */
  decision: LeavingDecision = { ...initialLeavingState, share: 0, excessMs: null }

  countRead (nowMs: number): void {
    countRead(this.#counter, nowMs)
  }

  /** Reads per second that this VM's clients request. */
  measureReadsPerS (nowMs: number): number {
    return measureReadsPerS(this.#counter, nowMs)
  }

  /** Records the time from the selection of the endpoint until its response. */
  recordRead (endpoint: string, responseMs: number, nowMs: number): void {
    const record = this.#records.get(endpoint) ?? createReadRecord()
    this.#records.set(endpoint, record)
    recordRead(record, responseMs, nowMs)
  }

  isDecisionDue (nowMs: number): boolean {
    return nowMs - this.#decidedAtMs >= DECISION_INTERVAL_MS
  }

  /**
   * Decides anew.
   *
   * @param demands reads per second by nearest domain, without those for which reports are missing or too old
   * @returns the inputs of the decision, for the log
   */
  decide (endpoints: readonly ReadEndpoint[], demands: ReadonlyMap<string, number>, options: LeavingOptions, nowMs: number): DomainLoad[] {
    for (const endpoint of [...this.#records.keys()]) if (!endpoints.some(e => e.endpoint === endpoint)) this.#records.delete(endpoint)
    const names = [...new Set(endpoints.map(e => e.failureDomain))]
    const domains = names.map(domain => this.#describeDomain(domain, endpoints.filter(e => e.failureDomain === domain), demands.get(domain) ?? null, nowMs))
    const elapsedMs = this.#decidedAtMs === -Infinity ? DECISION_INTERVAL_MS : nowMs - this.#decidedAtMs
    this.#decidedAtMs = nowMs
    this.decision = decideLeaving(this.decision, { domains, elapsedMs }, options)
    return domains
  }

  #describeDomain (domain: string, endpoints: readonly ReadEndpoint[], demandPerS: number | null, nowMs: number): DomainLoad {
    const { distance } = endpoints[0]!
    const roundTripMs = ROUND_TRIP_MS[distance]
    const known = endpoints.map(e => ({ ...e, recentMs: this.#readRecentMs(e.endpoint, nowMs), unloadedMs: this.#readUnloadedMs(e.endpoint, nowMs) }))
    const withUnloaded = known.filter(e => e.unloadedMs !== null)
    const capacityPerS = withUnloaded.length < known.length ? null : withUnloaded.reduce((sum, e) => sum + e.slots * 1_000 / Math.max(1, e.unloadedMs! - roundTripMs), 0)
    const slots = endpoints.reduce((sum, e) => sum + e.slots, 0)
    const penaltyMs = Math.min(...endpoints.map(e => e.penaltyMs))
    return { domain, distance, capacityPerS, slots, demandPerS, responseMs: pickLowest(known.map(e => e.recentMs)), unloadedMs: pickLowest(known.map(e => e.unloadedMs)), roundTripMs, penaltyMs }
  }

  #readRecentMs (endpoint: string, nowMs: number): number | null {
    const record = this.#records.get(endpoint)
    return record === undefined ? null : readRecentMs(record, nowMs)
  }

  #readUnloadedMs (endpoint: string, nowMs: number): number | null {
    const record = this.#records.get(endpoint)
    return record === undefined ? null : readUnloadedMs(record, nowMs)
  }
}

function pickLowest (values: ReadonlyArray<number | null>): number | null {
  const known = values.filter(v => v !== null)
  return known.length === 0 ? null : Math.min(...known)
}
