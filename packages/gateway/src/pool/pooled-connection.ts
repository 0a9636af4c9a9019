import type { LogPosition } from '@camphorpitch/wire'
import type { EndpointAnswer, EndpointConnection } from '../backend/endpoint-connector.ts'
import type { StatementMode } from '../backend/statement.ts'

export interface PreparedStatement { mode: StatementMode, shape: string }

/** What a client session expects of the connection that runs its statements. */
export interface SessionContents {
  session: string
  values: ReadonlyMap<string, string>
  prepared: ReadonlyMap<string, PreparedStatement>
}

/** A connection of the pool, with what it holds of a client's session. */
export class PooledConnection {
  readonly id: number
  readonly endpoint: string
  readonly connection: EndpointConnection
  #session: string | null = null
  readonly #values = new Map<string, string>()
  readonly #prepared = new Map<string, PreparedStatement>()

  constructor (id: number, endpoint: string, connection: EndpointConnection) {
    this.id = id
    this.endpoint = endpoint
    this.connection = connection
  }

  get session (): string | null {
    return this.#session
  }

  /**
   * Sends what brings the connection to the session's values and to the one prepared statement that runs next.
   * Nothing is awaited: the endpoint runs what is sent in order.
   *
   * @returns the answers still to come; without one the connection is lost, which the statement after them shows
   */
  restoreSession (contents: SessionContents, preparedName: string | null): Array<Promise<EndpointAnswer>> {
    const sent: Array<Promise<EndpointAnswer>> = []
    if (this.#session !== contents.session) {
      if (this.#values.size > 0 || this.#prepared.size > 0) sent.push(this.connection.discard())
      this.#values.clear()
      this.#prepared.clear()
      this.#session = contents.session
    }
    for (const [name, value] of contents.values) {
      if (this.#values.get(name) === value) continue
      sent.push(this.connection.setValue(name, value))
      this.#values.set(name, value)
    }
    if (preparedName !== null) this.#restorePrepared(contents, preparedName, sent)
    for (const answer of sent) answer.catch(() => {}) // Reported with the statement that follows.
    return sent
  }

  async run (id: string, text: string, atLeast: LogPosition | null): Promise<EndpointAnswer> {
    return await this.connection.run(id, text, atLeast)
  }

  #restorePrepared (contents: SessionContents, name: string, sent: Array<Promise<EndpointAnswer>>): void {
    const wanted = contents.prepared.get(name)
    const held = this.#prepared.get(name)
    if (wanted === undefined || (held?.mode === wanted.mode && held.shape === wanted.shape)) return
    if (held !== undefined) sent.push(this.connection.closeStatement(name))
    sent.push(this.connection.prepare(name, wanted.mode, wanted.shape))
    this.#prepared.set(name, wanted)
  }
}
