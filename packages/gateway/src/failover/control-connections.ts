import type { EndpointConnection, EndpointConnector, EndpointStatus } from '../backend/endpoint-connector.ts'
import { ConnectionLostError } from '../backend/errors.ts'
import type { EndpointEntry } from '../directory/endpoint-entry.ts'
import { waitAtMost } from '../runtime/wait-at-most.ts'

/** As whom control connections are opened; no client's statement runs on them. */
const CONTROL_WORKSPACE = '-'
const CONNECT_TIMEOUT_MS = 500
const ANSWER_TIMEOUT_MS = 400
/** A control connection is closed after this long without use, in milliseconds. */
const IDLE_CLOSE_MS = 1_500

export type ControlCommand = (connection: EndpointConnection) => Promise<EndpointStatus | null>

interface HeldConnection { connection: Promise<EndpointConnection>, timer: NodeJS.Timeout | undefined }

/** Connections for questions and commands to endpoints, opened when needed. */
export class ControlConnections {
  readonly #connector: EndpointConnector
  readonly #held = new Map<string, HeldConnection>()

  constructor (connector: EndpointConnector) {
    this.#connector = connector
  }

  /**
   * @returns `null` when the endpoint was too busy or refused
   * @throws ConnectionLostError when it did not answer
   */
  async run (entry: EndpointEntry, command: ControlCommand): Promise<EndpointStatus | null> {
    const held = this.#acquire(entry)
    clearTimeout(held.timer)
    try {
      return await waitAtMost(command(await held.connection), ANSWER_TIMEOUT_MS, () => new ConnectionLostError('no answer to a control command'))
    } catch (error) {
      this.#drop(entry.endpoint)
      throw error
    } finally {
      held.timer = setTimeout(() => this.#drop(entry.endpoint), IDLE_CLOSE_MS)
      held.timer.unref()
    }
  }

  #acquire (entry: EndpointEntry): HeldConnection {
    const existing = this.#held.get(entry.endpoint)
    if (existing !== undefined) return existing
    const { endpoint, service, address } = entry
    const connection = this.#connector.connect({ endpoint, service, address, workspace: CONTROL_WORKSPACE }, CONNECT_TIMEOUT_MS)
    const held: HeldConnection = { connection, timer: undefined }
    this.#held.set(endpoint, held)
    connection.then(c => c.subscribeClose(() => this.#remove(endpoint, held)), () => this.#remove(endpoint, held))
    return held
  }

  #remove (endpoint: string, held: HeldConnection): void {
    if (this.#held.get(endpoint) === held) this.#held.delete(endpoint)
  }

  #drop (endpoint: string): void {
    const held = this.#held.get(endpoint)
    this.#held.delete(endpoint)
    held?.connection.then(c => c.close(), () => {}) // A connection that never opened needs no closing.
  }
}
