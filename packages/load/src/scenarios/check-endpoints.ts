import { readJson } from '../fleet/read-json.ts'
import type { FleetEndpoint } from '../fleet/start-fleet.ts'
import type { Violation } from './history.ts'

/** Time after which a leaving endpoint gets no new work. */
const LEAVING_GRACE_MS = 3_000
const groupStatementPattern = /^(show\s+)?group\b/i

/** Looks for statements that a leaving endpoint was given later than it may be; `leftAtMs` is in milliseconds since 1970. */
export async function checkLeavingEndpoints (endpoints: readonly FleetEndpoint[], leavingSinceMs: ReadonlyMap<string, number>): Promise<Violation[]> {
  const violations: Violation[] = []
  for (const endpoint of endpoints) {
    const markedAtMs = leavingSinceMs.get(endpoint.endpoint)
    if (markedAtMs === undefined) continue
    const record = await readJson<{ statements: Array<{ text: string, atMs: number }> }>(`${endpoint.controlUrl}/record`)
    const lateStatements = record?.statements.filter(s => s.atMs > markedAtMs + LEAVING_GRACE_MS && !groupStatementPattern.test(s.text)) ?? []
    if (lateStatements.length > 0) violations.push({ promise: 'a leaving endpoint gets no new work', detail: `${endpoint.endpoint} ran ${lateStatements.length} statements later than ${LEAVING_GRACE_MS} ms` })
  }
  return violations
}

/** Searches what every living endpoint received for the caller's key. */
export async function checkKeyLeaks (endpoints: readonly FleetEndpoint[], key: string): Promise<Violation[]> {
  const violations: Violation[] = []
  for (const e of endpoints) {
    const report = await readJson<{ count: number }>(`${e.controlUrl}/record/bytes?contains=${encodeURIComponent(key)}`)
    if (report !== null && report.count > 0) violations.push({ promise: 'no endpoint sees a caller\'s key', detail: e.endpoint })
  }
  return violations
}

/** Keeps the most connections that any instance reported, also of instances that are killed later. */
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

  async checkConnectionLimit (limit: number): Promise<Violation[]> {
    await this.recordPeakConnections()
    return this.peakConnections > limit ? [{ promise: 'connections stay within the instance\'s limit', detail: `${this.peakConnections} of ${limit}` }] : []
  }
}
