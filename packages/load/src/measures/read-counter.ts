import { readJson } from '../fleet/read-json.ts'
import type { FleetEndpoint } from '../fleet/start-fleet.ts'
import { isWorkloadRead } from '../workload/statements.ts'
import type { ReadCount } from './compute-measures.ts'

const ROLE_POLL_INTERVAL_MS = 250

interface EndpointState { status: { role: string, term: number } }
interface EndpointRecord { statements: Array<{ text: string, term: number }> }

/** Counts the reads that endpoints ran, by whether the endpoint was the primary of the term in which the read ran. */
export class ReadCounter {
  readonly #endpoints: readonly FleetEndpoint[]
  readonly #isRead: (text: string) => boolean
  /** Name of the primary by `database/term`. */
  readonly #primaryByTerm = new Map<string, string>()
  readonly #recordByEndpoint = new Map<string, EndpointRecord>()
  #timer: NodeJS.Timeout | null = null

  constructor (endpoints: readonly FleetEndpoint[], isRead: (text: string) => boolean = isWorkloadRead) {
    this.#endpoints = endpoints
    this.#isRead = isRead
  }

  /** Starts to poll the endpoints' roles. */
  start (): void {
    this.#timer = setInterval(() => {
      this.#pollRoles().catch((error: unknown) => console.error(`roles not read: ${String(error)}`))
    }, ROLE_POLL_INTERVAL_MS)
  }

  stop (): void {
    if (this.#timer !== null) clearInterval(this.#timer)
  }

  /** Fetches and keeps the statements that an endpoint recorded; call this before it is killed. */
  async saveStatements (endpoint: FleetEndpoint): Promise<void> {
    const record = await readJson<EndpointRecord>(`${endpoint.controlUrl}/record`)
    if (record !== null) this.#recordByEndpoint.set(endpoint.endpoint, record)
  }

  /** Polls all endpoints once more, and counts their reads. An endpoint that is gone counts with its saved statements. */
  async countReads (): Promise<ReadCount> {
    await this.#pollRoles()
    await Promise.all(this.#endpoints.map(async e => await this.saveStatements(e)))
    const count: ReadCount = { primary: 0, replica: 0 }
    for (const e of this.#endpoints) {
      for (const s of this.#recordByEndpoint.get(e.endpoint)?.statements ?? []) {
        if (!this.#isRead(s.text)) continue
        if (this.#primaryByTerm.get(`${e.database}/${s.term}`) === e.endpoint) count.primary += 1
        else count.replica += 1
      }
    }
    return count
  }

  async #pollRoles (): Promise<void> {
    await Promise.all(this.#endpoints.map(async e => {
      const state = await readJson<EndpointState>(`${e.controlUrl}/state`)
      if (state?.status.role === 'primary') this.#primaryByTerm.set(`${e.database}/${state.status.term}`, e.endpoint)
    }))
  }
}
