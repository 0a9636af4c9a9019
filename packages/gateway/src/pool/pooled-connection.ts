import type { LogPosition } from '@camphorpitch/wire'
import type { EndpointAnswer, EndpointConnection } from '../backend/endpoint-connector.ts'
import type { StatementMode } from '../backend/statement.ts'

export interface PreparedStatement { mode: StatementMode, shape: string }

/** What a client session expects of the connection that runs its statements. */
export interface RequiredSessionState {
  session: string
  sessionValues: ReadonlyMap<string, string>
  preparedStatements: ReadonlyMap<string, PreparedStatement>
}

/** A connection of the pool, with what it holds of a client's session. */
export class PooledConnection {
  readonly id: number
  readonly endpoint: string
  readonly connection: EndpointConnection
  #heldSession: string | null = null
  readonly #heldValues = new Map<string, string>()
  readonly #heldPrepared = new Map<string, PreparedStatement>()

  constructor (id: number, endpoint: string, connection: EndpointConnection) {
    this.id = id
    this.endpoint = endpoint
    this.connection = connection
  }

  get session (): string | null {
    return this.#heldSession
  }

  /**
   * Sends what brings the connection to the session's values and to the one prepared statement that runs next.
   * Nothing is awaited: the endpoint runs what is sent in order.
   *
   * @returns the answers still to come; without one the connection is lost, which the statement after them shows
   */
  restoreSession (required: RequiredSessionState, preparedName: string | null): Array<Promise<EndpointAnswer>> {
    const responses: Array<Promise<EndpointAnswer>> = []
    if (this.#heldSession !== required.session) {
      if (this.#heldValues.size > 0 || this.#heldPrepared.size > 0) responses.push(this.connection.discard())
      this.#heldValues.clear()
      this.#heldPrepared.clear()
      this.#heldSession = required.session
    }
    for (const [name, value] of required.sessionValues) {
      if (this.#heldValues.get(name) === value) continue
      responses.push(this.connection.setValue(name, value))
      this.#heldValues.set(name, value)
    }
    if (preparedName !== null) this.#restorePrepared(required, preparedName, responses)
    for (const response of responses) response.catch(() => {}) // Reported with the statement that follows.
    return responses
  }

  async run (id: string, text: string, atLeast: LogPosition | null): Promise<EndpointAnswer> {
    return await this.connection.run(id, text, atLeast)
  }

  #restorePrepared (required: RequiredSessionState, name: string, responses: Array<Promise<EndpointAnswer>>): void {
    const requiredStatement = required.preparedStatements.get(name)
    const heldStatement = this.#heldPrepared.get(name)
    if (requiredStatement === undefined || (heldStatement?.mode === requiredStatement.mode && heldStatement.shape === requiredStatement.shape)) return
    if (heldStatement !== undefined) responses.push(this.connection.closeStatement(name))
    responses.push(this.connection.prepare(name, requiredStatement.mode, requiredStatement.shape))
    this.#heldPrepared.set(name, requiredStatement)
  }
}
