import type { LogPosition } from '@camphorpitch/wire'
import type { EndpointResponse, EndpointConnection } from '../backend/endpoint-connector.ts'
import type { StatementMode } from '../backend/statement.ts'

/** A prepared statement of a client session; `shape` is the definition that is sent to the endpoint. */
export interface PreparedStatement { mode: StatementMode, shape: string }

/** Session state that a connection must hold before it runs a statement of the client session. */
export interface RequiredSessionState {
  session: string
  sessionValues: ReadonlyMap<string, string>
  preparedStatements: ReadonlyMap<string, PreparedStatement>
}

/** A connection of the pool, with the session state that it holds at the endpoint. */
export class PooledConnection {
  readonly id: number
  readonly endpoint: string
  readonly connection: EndpointConnection
  #heldSession: string | null = null
  readonly #heldValues = new Map<string, string>()
  readonly #heldPrepared = new Map<string, PreparedStatement>()
  #restoring: ReadonlyArray<Promise<EndpointResponse>> = []

  constructor (id: number, endpoint: string, connection: EndpointConnection) {
    this.id = id
    this.endpoint = endpoint
    this.connection = connection
  }

  get session (): string | null {
    return this.#heldSession
  }

  /**
   * Sends the commands that give the connection the session's values and the prepared statement that runs next.
   * It does not wait for the responses (`waitForRestore`), because the endpoint runs commands in the order in which they are sent.
   *
   * @param preparedName the prepared statement to be executed next; `null` for none
   */
  restoreSession (required: RequiredSessionState, preparedName: string | null): void {
    const responses: Array<Promise<EndpointResponse>> = []
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
    for (const response of responses) response.catch(() => {}) // The statement that follows reports the lost connection.
    this.#restoring = responses
  }

  /**
   * Waits for the responses to the commands of the latest `restoreSession`.
   *
   * @throws ConnectionLostError if the connection is lost; the next statement fails as well
   */
  async waitForRestore (): Promise<void> {
    await Promise.all(this.#restoring)
  }

  async run (id: string, text: string, requiredPosition: LogPosition | null): Promise<EndpointResponse> {
    return await this.connection.run(id, text, requiredPosition)
  }

  #restorePrepared (required: RequiredSessionState, name: string, responses: Array<Promise<EndpointResponse>>): void {
    const requiredStatement = required.preparedStatements.get(name)
    const heldStatement = this.#heldPrepared.get(name)
    if (requiredStatement === undefined || (heldStatement?.mode === requiredStatement.mode && heldStatement.shape === requiredStatement.shape)) return
    if (heldStatement !== undefined) responses.push(this.connection.closeStatement(name))
    responses.push(this.connection.prepare(name, requiredStatement.mode, requiredStatement.shape))
    this.#heldPrepared.set(name, requiredStatement)
  }
}
