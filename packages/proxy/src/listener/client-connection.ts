import { dispatch, spawn, stop, type ActorSystemRef, type Ref } from 'nact'
import { formatRefusal, RefusalCode, type Logger, type Refusal } from '@camphorpitch/wire'
import { createSession, type SessionState } from '../session/state.ts'
import { ClientSocket, type ClientCommand } from './client-socket.ts'
import { abandonTransaction, runCommand, type CommandRunnerOptions } from './command-runner.ts'
import { ClientDisconnectedError } from './errors.ts'
import type { LoginResult } from './login.ts'
import type { AuthParameters, ServerConnection } from './server-connection.ts'

/** Idle time after a response from which the next command is unlikely to be on its way already. */
const MIN_IDLE_MS = 300
const IDLE_CHECK_INTERVAL_MS = 50
/** Time for which a draining VM still runs new commands. */
const DRAIN_GRACE_MS = 3_000
const drainingRefusal: Refusal = { kind: 'notRunRetry', reason: 'this VM is being stopped, connect again', retryAfterMs: 0 }
const UNKNOWN_CHARACTER_SET_ERRNO = 1115

export interface ClientConnectionOptions {
  system: ActorSystemRef
  connection: ServerConnection
  connectionId: number
  vm: string
  logger: Logger
  runner: CommandRunnerOptions
  checkLogin: (parameters: AuthParameters) => LoginResult
  loginTimeoutMs?: number
  onClose: (client: ClientConnection) => void
}

/** The connection of one client. An actor runs its commands one at a time; the session ends with the connection. */
export class ClientConnection {
  readonly #options: ClientConnectionOptions
  readonly #socket: ClientSocket
  readonly #actor: Ref<ClientCommand>
  #session: SessionState | undefined
  #pendingCommands = 0
  #lastResponseAtMs = 0
  #isRefusingCommands = false
  #drainTimer: NodeJS.Timeout | undefined

  constructor (options: ClientConnectionOptions) {
    this.#options = options
    this.#actor = spawn(options.system, (_state: undefined, command: ClientCommand) => this.#handleCommand(command), `client-${options.connectionId}`, {
      onCrash: (_message: unknown, error: unknown, context: { resume: symbol }) => this.#handleCrash(error, context)
    } as never) as Ref<ClientCommand>
    this.#socket = new ClientSocket({
      connection: options.connection,
      connectionId: options.connectionId,
      loginTimeoutMs: options.loginTimeoutMs,
      authenticate: (parameters, done) => this.#authenticate(parameters, done),
      onCommand: command => this.#receiveCommand(command),
      onClose: () => this.#handleClose()
    })
  }

  /** The client's session; `undefined` before login. */
  get session (): SessionState | undefined {
    return this.#session
  }

  /** Whether a command is running or a transaction is open. */
  get isBusy (): boolean {
    return this.#pendingCommands > 0 || (this.#session !== undefined && this.#session.transaction !== null)
  }

  /**
   * Closes the connection once it is idle, so that no command arrives at a closing connection.
   *
   * If the client keeps sending commands, the first one outside a transaction after `DRAIN_GRACE_MS` is refused
   * and the connection closed. The refusal tells the client that the command was not run.
   */
  drain (): void {
    if (this.#drainTimer !== undefined) return
    this.#drainTimer = setInterval(() => this.#closeIfIdle(), IDLE_CHECK_INTERVAL_MS)
    setTimeout(() => { this.#isRefusingCommands = true }, DRAIN_GRACE_MS).unref()
  }

  destroy (): void {
    this.#socket.destroy()
  }

  #authenticate (parameters: AuthParameters, done: (error: Error | null, refusal?: { code: number, message: string }) => void): void {
    if (!this.#socket.isUtf8) return done(null, { code: UNKNOWN_CHARACTER_SET_ERRNO, message: 'camphorpitch: connect with character set utf8mb4' })
    const result = this.#options.checkLogin(parameters)
    if (!result.accepted) return done(null, { code: result.code, message: result.message })
    const sessionId = `${this.#options.vm}/${this.#options.connectionId}`
    this.#session = createSession({ sessionId, workspace: result.workspace, keyId: result.keyId, database: result.database })
    this.#lastResponseAtMs = this.#options.runner.clock.readNow()
    done(null)
  }

  #receiveCommand (command: ClientCommand): void {
    this.#pendingCommands += 1
    dispatch(this.#actor, command)
  }

  async #handleCommand (command: ClientCommand): Promise<undefined> {
    try {
      await this.#runCommand(command)
    } catch (error) {
      if (!(error instanceof ClientDisconnectedError)) throw error
    } finally {
      this.#pendingCommands -= 1
      this.#lastResponseAtMs = this.#options.runner.clock.readNow()
    }
    return undefined
  }

  async #runCommand (command: ClientCommand): Promise<void> {
    if (this.#socket.isClosed || this.#session === undefined) return this.#socket.destroy()
    if (this.#isRefusingCommands && this.#session.transaction === null) {
      this.#socket.sendError(RefusalCode.notRunRetry, formatRefusal(drainingRefusal))
      return this.#socket.close()
    }
    await runCommand(this.#options.runner, { session: this.#session, socket: this.#socket }, command)
  }

  #closeIfIdle (): void {
    const idleMs = this.#options.runner.clock.readNow() - this.#lastResponseAtMs
    if (!this.isBusy && idleMs >= MIN_IDLE_MS) this.#socket.close()
  }

  #handleCrash (error: unknown, context: { resume: symbol }): symbol {
    this.#options.logger.error('client command failed', { session: this.#session?.sessionId, error: error instanceof Error ? error.stack : String(error) })
    this.#socket.destroy()
    return context.resume
  }

  #handleClose (): void {
    clearInterval(this.#drainTimer)
    stop(this.#actor)
    if (this.#session !== undefined) abandonTransaction(this.#options.runner, this.#session)
    this.#options.onClose(this)
  }
}
