import { readJson } from '../fleet/read-json.ts'
import type { FleetEndpoint } from '../fleet/start-fleet.ts'
import type { Violation } from './history.ts'

/** An endpoint gets no new work once it has been leaving for this time. */
const LEAVING_GRACE_MS = 3_000
const groupStatementPattern = /^(show\s+)?group\b/i

/**
 * Finds endpoints that received statements after the grace period of leaving. Group statements are exempt.
 *
 * @param leavingSinceMs when each leaving endpoint was marked, in milliseconds since 1970
 */
export async function checkLeavingEndpoints (endpoints: readonly FleetEndpoint[], leavingSinceMs: ReadonlyMap<string, number>): Promise<Violation[]> {
  const violations: Violation[] = []
  for (const endpoint of endpoints) {
    const markedAtMs = leavingSinceMs.get(endpoint.endpoint)
    if (markedAtMs === undefined) continue
    const record = await readJson<{ statements: Array<{ text: string, atMs: number }> }>(`${endpoint.controlUrl}/record`)
    const lateStatements = record?.statements.filter(s => s.atMs > markedAtMs + LEAVING_GRACE_MS && !groupStatementPattern.test(s.text)) ?? []
    if (lateStatements.length > 0) violations.push({ promise: 'a leaving endpoint gets no new work', detail: `${endpoint.endpoint} ran ${lateStatements.length} statements more than ${LEAVING_GRACE_MS} ms after it was marked as leaving` })
  }
  return violations
}

/** Searches the bytes that each running endpoint received for the client's key. */
export async function checkKeyLeaks (endpoints: readonly FleetEndpoint[], key: string): Promise<Violation[]> {
  const violations: Violation[] = []
  for (const e of endpoints) {
    const report = await readJson<{ count: number }>(`${e.controlUrl}/record/bytes?contains=${encodeURIComponent(key)}`)
    if (report !== null && report.count > 0) violations.push({ promise: 'no endpoint sees a caller\'s key', detail: e.endpoint })
  }
  return violations
}

/** Records the highest number of connections at any instance. Instances that are killed later count if they were polled before. */
export class PeakConnectionRecorder {
  peakConnections = 0
  readonly #endpoints: readonly FleetEndpoint[]

  constructor (endpoints: readonly FleetEndpoint[]) {
    this.#endpoints = endpoints
  }

  async recordPeakConnections (): Promise<void> {
    for (const e of this.#endpoints) {
      const record = await readJson<{ maxConnections: number }>(`${e.controlUrl}/record`)
      this.peakConnections = Math.max(this.peakConnections, record?.maxConnections ?? 0)
    }
  }

  /** Polls once more, and compares the peak with the instances' connection limit. */
  async checkConnectionLimit (limit: number): Promise<Violation[]> {
    await this.recordPeakConnections()
    return this.peakConnections > limit ? [{ promise: 'connections stay within the instance\'s limit', detail: `${this.peakConnections} connections, limit ${limit}` }] : []
  }
}
