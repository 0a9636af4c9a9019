import type { EndpointConnection, EndpointConnector, EndpointStatus } from '../backend/endpoint-connector.ts'
import { ConnectionLostError } from '../backend/errors.ts'
import type { EndpointEntry } from '../directory/endpoint-entry.ts'
import { waitAtMost } from '../runtime/wait-at-most.ts'

/** Workspace for which control connections are opened. It is not a customer's: no client's statement runs on them. */
const CONTROL_WORKSPACE = '-'
const CONNECT_TIMEOUT_MS = 500
const RESPONSE_TIMEOUT_MS = 400
/** A control connection is closed after it was unused for this long. */
const IDLE_TIMEOUT_MS = 1_500

/** Runs one command on an open connection; resolves to `null` if the endpoint was too busy or refused it. */
export type ControlCommand = (connection: EndpointConnection) => Promise<EndpointStatus | null>

/** The endpoint that a command is for. */
export type ControlTarget = Pick<EndpointEntry, 'endpoint' | 'service' | 'address'>

interface CachedConnection {
  connection: Promise<EndpointConnection>
  /** Number of commands that wait for a response on it. */
  commands: number
  idleTimer: NodeJS.Timeout | undefined
}

/** Connections for status requests and commands to endpoints. They are opened when needed and reused until idle. */
export class ControlConnections {
  readonly #connector: EndpointConnector
  readonly #cached = new Map<string, CachedConnection>()

  constructor (connector: EndpointConnector) {
    this.#connector = connector
  }

  /**
   * Runs a command on the endpoint.
   *
   * @returns `null` if the endpoint was too busy or refused the command
   * @throws ConnectionLostError if the endpoint could not be reached or did not respond in time
   * @throws EndpointRefusedError if the endpoint responded that it does not accept the connection
   */
  async run (entry: ControlTarget, command: ControlCommand): Promise<EndpointStatus | null> {
    const cached = this.#acquire(entry)
    clearTimeout(cached.idleTimer)
    cached.commands++
    try {
      return await waitAtMost(command(await cached.connection), RESPONSE_TIMEOUT_MS, () => new ConnectionLostError('no response to a control command in time'))
    } catch (error) {
      this.#remove(entry.endpoint, cached)
      throw error
    } finally {
      cached.commands--
      if (cached.commands === 0) this.#handleUnused(entry.endpoint, cached)
    }
  }

  #acquire (entry: ControlTarget): CachedConnection {
    const existing = this.#cached.get(entry.endpoint)
    if (existing !== undefined) return existing
    const { endpoint, service, address } = entry
    const connection = this.#connector.connect({ endpoint, service, address, workspace: CONTROL_WORKSPACE }, CONNECT_TIMEOUT_MS)
    const cached: CachedConnection = { connection, commands: 0, idleTimer: undefined }
    this.#cached.set(endpoint, cached)
    connection.then(c => c.subscribeClose(() => this.#remove(endpoint, cached)), () => this.#remove(endpoint, cached))
    return cached
  }

  #remove (endpoint: string, cached: CachedConnection): void {
    if (this.#cached.get(endpoint) === cached) this.#cached.delete(endpoint)
  }

  /** Closes a connection that no command waits on: at once if no other command will get it, otherwise when it has been idle. */
  #handleUnused (endpoint: string, cached: CachedConnection): void {
    if (this.#cached.get(endpoint) !== cached) return closeConnection(cached)
    cached.idleTimer = setTimeout(() => {
      this.#remove(endpoint, cached)
      closeConnection(cached)
    }, IDLE_TIMEOUT_MS)
    cached.idleTimer.unref()
  }
}

function closeConnection ({ connection }: CachedConnection): void {
  connection.then(c => c.close(), () => {}) // A connection that never opened needs no closing.
}
