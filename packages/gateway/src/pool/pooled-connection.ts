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

/** The endpoint's refusal of a command that restores session state. `command` names what it was about, without values. */
export interface RestoreRefusal { command: string, response: EndpointResponse }

function isSameStatement (a: PreparedStatement | undefined, b: PreparedStatement | undefined): boolean {
  return a?.mode === b?.mode && a?.shape === b?.shape
}

/**
 * Describes a refusal for clients.
 *
 * @example describeRestoreRefusal('i-1', { command: 'SET app', response }) // 'i-1 refused SET app: readOnly'
 */
export function describeRestoreRefusal (endpoint: string, { command, response }: RestoreRefusal): string {
  return `${endpoint} refused ${command}: ${response.error?.code ?? 'no error'}`
}

/**
 * A connection of the pool, with the session state that it holds at the endpoint. Only state that the endpoint has confirmed counts as
 * held.
 * Once the endpoint has refused a command that restores state, the connection may end its transaction, but must run nothing else.
 */
export class PooledConnection {
  readonly id: number
  readonly endpoint: string
  readonly connection: EndpointConnection
  #heldSession: string | null = null
  readonly #heldValues = new Map<string, string>()
  readonly #heldPrepared = new Map<string, PreparedStatement>()
  #pendingConfirmations: Array<Promise<void>> = []
  #unconfirmedCount = 0
  #refusal: RestoreRefusal | null = null

  constructor (id: number, endpoint: string, connection: EndpointConnection) {
    this.id = id
    this.endpoint = endpoint
    this.connection = connection
  }

  get session (): string | null {
    return this.#heldSession
  }

  /**
   * Whether the endpoint has confirmed every command that restored session state. Without it no other statement may rely on the connection.
   */
  get isStateConfirmed (): boolean {
    return this.#unconfirmedCount === 0 && this.#refusal === null
  }

  /** Whether the connection holds a prepared statement that writes under the name that the session uses for another one. */
  hasOtherWrite (required: RequiredSessionState, preparedName: string): boolean {
    const held = this.#heldPrepared.get(preparedName)
    const isRequired = this.#heldSession === required.session && isSameStatement(held, required.preparedStatements.get(preparedName))
    return held?.mode === 'write' && !isRequired
  }

  /**
   * Sends the commands that give the connection the session's values and the prepared statement that runs next. The endpoint runs them in
   * order, but a refused one does not keep it from running what is sent behind them: `waitForRestore` must return `null` before a statement
   * is sent that can't be taken back, and before the success of any other is passed on.
   *
   * @param preparedName the prepared statement to be executed next; `null` for none
   * @throws Error if commands of an earlier call were refused or have not been answered yet
   */
  restoreSession (required: RequiredSessionState, preparedName: string | null): void {
    if (!this.isStateConfirmed) throw new Error(`cannot restore session state at ${this.endpoint}: earlier commands are not confirmed`)
    this.#pendingConfirmations = []
    const isSameSession = this.#heldSession === required.session
    if (!isSameSession && (this.#heldValues.size > 0 || this.#heldPrepared.size > 0)) this.#sendDiscard()
    this.#heldSession = required.session
    for (const [name, value] of required.sessionValues) {
      if (isSameSession && this.#heldValues.get(name) === value) continue
      this.#send(`SET ${name}`, this.connection.setValue(name, value), () => this.#heldValues.set(name, value))
    }
    if (preparedName === null) return
    const held = isSameSession ? this.#heldPrepared.get(preparedName) : undefined
    this.#restorePrepared(preparedName, required.preparedStatements.get(preparedName), held)
  }

  /**
   * Waits until the endpoint has responded to the commands of the latest `restoreSession`; at once if there were none.
   *
   * @returns the first refusal, `null` if the endpoint has confirmed all commands
   * @throws ConnectionLostError if the connection is lost; the next statement fails as well
   * @example
   * connection.restoreSession(requiredState, preparedName)
   * const refusal = await connection.waitForRestore()
   * if (refusal !== null) pool.release(connection, false)
   */
  async waitForRestore (): Promise<RestoreRefusal | null> {
    await Promise.all(this.#pendingConfirmations)
    return this.#refusal
  }

  async run (id: string, text: string, requiredPosition: LogPosition | null): Promise<EndpointResponse> {
    return await this.connection.run(id, text, requiredPosition)
  }

  #sendDiscard (): void {
    this.#send('DISCARD', this.connection.discard(), () => {
      this.#heldValues.clear()
      this.#heldPrepared.clear()
    })
  }

  #restorePrepared (name: string, required: PreparedStatement | undefined, held: PreparedStatement | undefined): void {
    if (required === undefined || isSameStatement(held, required)) return
    if (held !== undefined) this.#send(`CLOSE ${name}`, this.connection.closeStatement(name), () => this.#heldPrepared.delete(name))
    this.#send(`PARSE ${name}`, this.connection.prepare(name, required.mode, required.shape), () => this.#heldPrepared.set(name, required))
  }

  /** Records the endpoint's response to a command: what the connection holds then, or the first refusal. */
  #send (command: string, pendingResponse: Promise<EndpointResponse>, recordHeld: () => void): void {
    this.#unconfirmedCount++
    const confirmation = pendingResponse.then(response => {
      this.#unconfirmedCount--
      if (response.error === null) recordHeld()
      else this.#refusal ??= { command, response }
    })
    confirmation.catch(() => {}) // The statement that follows reports the lost connection.
    this.#pendingConfirmations.push(confirmation)
  }
}
