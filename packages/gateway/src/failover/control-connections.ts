import type { EndpointConnection, EndpointConnector, EndpointStatus } from '../backend/endpoint-connector.ts'
import { ConnectionLostError } from '../backend/errors.ts'
import type { EndpointEntry } from '../directory/endpoint-entry.ts'
import { waitAtMost } from '../runtime/wait-at-most.ts'

/** As whom control connections are opened; no client's statement runs on them. */
const CONTROL_WORKSPACE = '-'
const CONNECT_TIMEOUT_MS = 500
const RESPONSE_TIMEOUT_MS = 400
/** A control connection is closed after this long without use, in milliseconds. */
const IDLE_TIMEOUT_MS = 1_500

export type ControlCommand = (connection: EndpointConnection) => Promise<EndpointStatus | null>

interface CachedConnection { connection: Promise<EndpointConnection>, timer: NodeJS.Timeout | undefined }

/** Connections for questions and commands to endpoints, opened when needed. */
export class ControlConnections {
  readonly #connector: EndpointConnector
  readonly #cached = new Map<string, CachedConnection>()

  constructor (connector: EndpointConnector) {
    this.#connector = connector
  }

  /**
   * @returns `null` when the endpoint was too busy or refused
   * @throws ConnectionLostError when it did not answer
   */
  async run (entry: EndpointEntry, command: ControlCommand): Promise<EndpointStatus | null> {
    const cached = this.#acquire(entry)
    clearTimeout(cached.timer)
    try {
      return await waitAtMost(command(await cached.connection), RESPONSE_TIMEOUT_MS, () => new ConnectionLostError('no answer to a control command'))
    } catch (error) {
      this.#drop(entry.endpoint)
      throw error
    } finally {
      cached.timer = setTimeout(() => this.#drop(entry.endpoint), IDLE_TIMEOUT_MS)
      cached.timer.unref()
    }
  }

  #acquire (entry: EndpointEntry): CachedConnection {
    const existing = this.#cached.get(entry.endpoint)
    if (existing !== undefined) return existing
    const { endpoint, service, address } = entry
    const connection = this.#connector.connect({ endpoint, service, address, workspace: CONTROL_WORKSPACE }, CONNECT_TIMEOUT_MS)
    const cached: CachedConnection = { connection, timer: undefined }
    this.#cached.set(endpoint, cached)
    connection.then(c => c.subscribeClose(() => this.#remove(endpoint, cached)), () => this.#remove(endpoint, cached))
    return cached
  }

  #remove (endpoint: string, cached: CachedConnection): void {
    if (this.#cached.get(endpoint) === cached) this.#cached.delete(endpoint)
  }

  #drop (endpoint: string): void {
    const cached = this.#cached.get(endpoint)
    this.#cached.delete(endpoint)
    cached?.connection.then(c => c.close(), () => {}) // A connection that never opened needs no closing.
  }
}
