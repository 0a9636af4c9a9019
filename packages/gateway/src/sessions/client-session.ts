import { pickLaterPosition, type LogPosition } from '@camphorpitch/wire'
import type { ResponseError, ClientStatement } from '../backend/statement.ts'
import type { ClientResponse, ClientEvents, ClientTransport } from '../clients/client-listener.ts'
import type { Configuration, Route } from '../configuration/configuration.ts'
import type { Operation, Outcome } from '../statements/operation.ts'
import type { PinnedTransaction } from '../statements/pinned-transaction.ts'
import { authenticate } from './authenticate.ts'
import { createSessionState, decideStatement, type StatementPlan } from './decide-statement.ts'
import type { SessionActivity, SessionEndCause } from './session-end.ts'
import type { SessionHost } from './session-host.ts'

/** Maximum number of statements that a client may send ahead of their responses. */
const MAX_QUEUED_STATEMENTS = 256

type QueuedStatement = ClientStatement | { malformed: string }

/** The session of one client connection. Runs its statements one at a time and holds its transaction and session state. */
export class ClientSession implements ClientEvents {
  readonly id: string
  readonly #host: SessionHost
  readonly #transport: ClientTransport
  readonly #sessionState = createSessionState()
  readonly #queue: QueuedStatement[] = []
  #runningStatement: QueuedStatement | null = null
  #answeredCount = 0
  #database = ''
  #key = ''
  #workspace: string | null = null
  #lastWritePosition: LogPosition | null = null
  #route: Route | null = null
  #transaction: PinnedTransaction | null = null
  /** Why the open transaction was lost; the client is told with its next statement. `null` when none was lost. */
  #transactionLossReason: string | null = null
  #transactionIdleTimer: NodeJS.Timeout | undefined
  #isClosed = false
  #closedAtMs = 0
  #endCause: SessionEndCause | null = null
  #isEndRecorded = false
  /** Statements that were unanswered when the gateway closed the session. */
  #droppedIds: string[] | null = null
  #isCloseRequested = false
  #lastActiveAtMs: number

  constructor (id: string, host: SessionHost, transport: ClientTransport) {
    this.id = id
    this.#host = host
    this.#transport = transport
    this.#lastActiveAtMs = host.clock.readNow()
  }

  handleStartup = (database: string, key: string): void => {
    if (this.#workspace !== null) return this.#close('startupRefused')
    this.#database = database
    this.#key = key
    this.#host.waitForConfiguration().then(configuration => this.#admitSession(configuration), (error: unknown) => {
      this.#host.logger.error('session admission failed', { session: this.id, error: String(error) })
      this.#close('internalError')
    })
  }

  handleStatement = (statement: ClientStatement): void => {
    this.#enqueueStatement(statement)
  }

  handleMalformed = (reason: string): void => {
    this.#enqueueStatement({ malformed: reason })
  }

  handleTooLarge = (): void => this.#recordCause('messageTooLarge')

  handleTerminate = (): void => this.#close('clientTerminated')

  handleClose = (): void => {
    this.recordEnd('clientClosed')
    this.#isClosed = true
    clearTimeout(this.#transactionIdleTimer)
    this.#queue.length = 0
    if (!this.#isRunning) this.#transaction?.rollback()
    this.#host.removeSession(this)
  }

  /** Logs and counts the end of the session, once. `cause` applies if the gateway did not begin to end it before. */
  recordEnd (cause: SessionEndCause): void {
    if (this.#isEndRecorded) return
    this.#isEndRecorded = true
    this.#host.recordSessionEnd({
      session: this.id,
      cause: this.#endCause ?? cause,
      version: this.#host.readConfiguration()?.version,
      answered: this.#answeredCount,
      unansweredIds: this.#droppedIds ?? this.#listUnansweredIds(),
      input: this.#transport.readInputState()
    })
  }

  get activity (): SessionActivity {
    if (this.#isClosed) return 'closing'
    if (this.#isRunning || this.#queue.length > 0) return 'busy'
    if (this.#sessionState.transaction !== 'idle') return 'inTransaction'
    return this.#workspace === null ? 'notStarted' : 'idle'
  }

  /** Whether a statement is running or queued, or a transaction is open. */
  get isBusy (): boolean {
    return this.#isRunning || this.#queue.length > 0 || this.#sessionState.transaction !== 'idle'
  }

  /** Time since the last statement began or ended, in milliseconds. */
  get idleMs (): number {
    return this.#host.clock.readNow() - this.#lastActiveAtMs
  }

  /** Closes the session now if it is idle, else once its queued statements and its transaction have ended. */
  closeWhenIdle (): void {
    this.#isCloseRequested = true
    if (!this.isBusy) this.#close('drain')
  }

  /** Rolls back an open transaction unless one of its statements is running. The client gets `reason` with its next statement. */
  endTransaction (reason: string): void {
    if (this.#isRunning || this.#sessionState.transaction === 'idle' || this.#transactionLossReason !== null) return
    clearTimeout(this.#transactionIdleTimer)
    this.#abandonTransaction(reason)
  }

  /** Applies a new configuration: closes the session when its key or database is no longer valid, unless the session is busy. */
  applyConfiguration (configuration: Configuration): void {
    if (this.#workspace === null || this.isBusy) return
    if ('error' in authenticate(configuration, this.#database, this.#key)) this.#close('configuration')
  }

  #admitSession (configuration: Configuration | null): void {
    if (this.#isClosed) return
    const admission = configuration === null ? { error: { code: 'busy' as const, text: 'no configuration yet; retry after 1000 ms' } } : authenticate(configuration, this.#database, this.#key)
    if ('error' in admission) {
      this.#host.logger.info('session refused', { session: this.id, database: this.#database, version: configuration?.version, ...admission.error })
      this.#recordCause('startupRefused')
      this.#transport.sendRefusal(admission.error)
      return
    }
    this.#workspace = admission.workspace
    this.#transport.sendWelcome()
    this.#runNextStatement()
  }

  get #isRunning (): boolean {
    return this.#runningStatement !== null
  }

  #listUnansweredIds (): string[] {
    const pending = this.#runningStatement === null ? this.#queue : [this.#runningStatement, ...this.#queue]
    return pending.map(readStatementId)
  }

  #enqueueStatement (queued: QueuedStatement): void {
    if (this.#isClosed) {
      this.#host.logger.warn('statement received after its session was closed', { id: readStatementId(queued), session: this.id, cause: this.#endCause, sinceCloseMs: Math.round(this.#host.clock.readNow() - this.#closedAtMs) })
      return
    }
    if (this.#queue.length >= MAX_QUEUED_STATEMENTS) {
      this.#queue.push(queued)
      return this.#close('queueFull')
    }
    this.#queue.push(queued)
    if (this.#workspace !== null) this.#runNextStatement()
  }

  #runNextStatement (): void {
    if (this.#isRunning) return
    const queued = this.#queue.shift()
    if (queued === undefined) return
    this.#runningStatement = queued
    clearTimeout(this.#transactionIdleTimer)
    this.#lastActiveAtMs = this.#host.clock.readNow()
    const running = 'malformed' in queued ? this.#sendResponse({ error: { code: 'malformed', text: queued.malformed }, state: this.#sessionState.transaction }) : this.#admitAndRun(queued)
    Promise.resolve(running).catch((error: unknown) => {
      this.#host.logger.error('statement processing failed', { session: this.id, error: error instanceof Error ? error.stack : String(error) })
      this.#close('internalError')
    }).finally(() => this.#finishStatement())
  }

  #finishStatement (): void {
    this.#runningStatement = null
    this.#lastActiveAtMs = this.#host.clock.readNow()
    if (this.#isClosed) return this.#transaction?.rollback()
    if (this.#queue.length > 0) return this.#runNextStatement()
    if (this.#isCloseRequested && this.#sessionState.transaction === 'idle') return this.#close('drain')
    if (this.#transaction !== null) this.#transactionIdleTimer = setTimeout(() => this.#abandonTransaction('the transaction was idle for too long'), this.#host.readTransactionIdleTimeoutMs())
  }

  #abandonTransaction (reason: string): void {
    this.#host.logger.info('transaction ended by gateway', { session: this.id, workspace: this.#workspace, reason })
    this.#transaction?.rollback()
    this.#transaction = null
    this.#transactionLossReason = reason
  }

  async #admitAndRun (statement: ClientStatement): Promise<void> {
    const refusal = this.#sessionState.transaction === 'idle' ? await this.#admitOperation(statement) : null
    if (this.#isClosed) return
    if (refusal !== null) return this.#sendResponse({ error: refusal, state: 'idle' })
    const plan = decideStatement(this.#sessionState, statement)
    await this.#runPlan(statement, plan)
  }

  /** Checks key, route and quota at the start of an operation: a transaction or a single statement. */
  async #admitOperation (statement: ClientStatement): Promise<ResponseError | null> {
    const configuration = this.#host.readConfiguration()
    if (configuration === null) return { code: 'busy', text: 'no configuration yet; retry after 1000 ms' }
    const admission = authenticate(configuration, this.#database, this.#key)
    if ('error' in admission || admission.workspace !== this.#workspace) {
      const error: ResponseError = 'error' in admission ? admission.error : { code: 'noAuth', text: 'the key belongs to another workspace now' }
      this.#host.logger.info('operation refused because its key or database is not valid', { id: statement.id, session: this.id, version: configuration.version, ...error })
      return error
    }
    this.#route = admission.route
    const isOperation = ['begin', 'read', 'write', 'execute'].includes(statement.type)
    return isOperation ? await this.#host.admitOperation(statement.id, admission.workspace) : null
  }

  async #runPlan (statement: ClientStatement, plan: StatementPlan): Promise<void> {
    const state = this.#sessionState
    switch (plan.type) {
      case 'answer': return this.#sendResponse({ error: plan.error, state: state.transaction })
      case 'begin':
        this.#transactionLossReason = null
        return this.#sendResponse({ state: 'open' })
      case 'rollback':
        this.#transaction?.rollback()
        this.#transaction = null
        state.transaction = 'idle'
        return this.#sendResponse({ state: 'idle' })
      case 'endFailed':
        state.transaction = 'idle'
        return this.#sendResponse({ error: plan.isCommit ? { code: 'aborted', text: 'the transaction had failed' } : null, state: 'idle' })
      case 'commit': return await this.#commitTransaction(statement)
      case 'run': return state.transaction === 'idle' ? await this.#runSingle(statement, plan) : await this.#runInTransaction(statement, plan)
    }
  }

  async #runSingle (statement: ClientStatement, plan: { isWrite: boolean, preparedName: string | null }): Promise<void> {
    const operation = this.#createOperation(statement, plan.preparedName)
    const outcome = plan.isWrite ? await this.#host.runWrite(operation) : await this.#host.runRead(operation)
    this.#sendOutcome(operation, outcome, 'idle', plan.isWrite)
  }

  async #runInTransaction (statement: ClientStatement, plan: { isWrite: boolean, preparedName: string | null }): Promise<void> {
    const operation = this.#createOperation(statement, plan.preparedName)
    const transaction = await this.#ensureTransaction(operation)
    if ('refusal' in transaction) return this.#finishFailedTransaction(operation, transaction)
    const outcome = await transaction.run(operation, plan.isWrite)
    if ('refusal' in outcome || outcome.response.error !== null) return this.#finishFailedTransaction(operation, outcome)
    this.#sendOutcome(operation, outcome, 'open', false)
  }

  /** Returns the open transaction, opening it at an endpoint for its first statement. */
  async #ensureTransaction (operation: Operation): Promise<PinnedTransaction | { refusal: ResponseError }> {
    if (this.#transactionLossReason !== null) return { refusal: { code: 'aborted', text: this.#transactionLossReason } }
    if (this.#transaction !== null) return this.#transaction
    const opened = await this.#host.openTransaction(operation, this.#sessionState.isReadOnly)
    if ('refusal' in opened) return opened
    this.#transaction = opened.transaction
    return opened.transaction
  }

  #finishFailedTransaction (operation: Operation, outcome: Outcome): void {
    this.#transaction?.rollback()
    this.#transaction = null
    this.#sessionState.transaction = 'failed'
    this.#sendOutcome(operation, outcome, 'failed', false)
  }

  async #commitTransaction (statement: ClientStatement): Promise<void> {
    const operation = this.#createOperation(statement, null)
    const transaction = await this.#ensureTransaction(operation)
    const outcome = 'refusal' in transaction ? transaction : await transaction.commit(operation)
    this.#transaction = null
    this.#transactionLossReason = null
    this.#sessionState.transaction = 'idle'
    this.#sendOutcome(operation, outcome, 'idle', true)
  }

  #createOperation (statement: ClientStatement, preparedName: string | null): Operation {
    const { sessionValues, preparedStatements } = this.#sessionState
    if (this.#route === null || this.#workspace === null) throw new Error('cannot create an operation: the session has no workspace or route yet')
    return {
      statement,
      requiredState: { session: this.id, sessionValues, preparedStatements },
      preparedName,
      workspace: this.#workspace,
      route: this.#route,
      sessionPosition: this.#lastWritePosition,
      receivedAtMs: this.#lastActiveAtMs
    }
  }

  #sendOutcome (operation: Operation, outcome: Outcome, state: ClientResponse['state'], isCommit: boolean): void {
    this.#host.recordOutcome(operation, outcome)
    if ('refusal' in outcome) return this.#sendResponse({ error: outcome.refusal, state })
    const { rows, signature, error, position } = outcome.response
    if (isCommit && error === null && position !== null) this.#lastWritePosition = pickLaterPosition(this.#lastWritePosition, position)
    this.#sendResponse({ rows, signature, error, state, position })
  }

  #sendResponse (response: ClientResponse): void {
    if (this.#isClosed) return
    this.#answeredCount++
    this.#transport.sendResponse(response)
  }

  #recordCause (cause: SessionEndCause): void {
    this.#endCause ??= cause
  }

  /** Closes the session. Statements that arrive later are not run, because their client would get no response. */
  #close (cause: SessionEndCause): void {
    if (this.#isClosed) return
    this.#recordCause(cause)
    this.#droppedIds = this.#listUnansweredIds()
    this.#isClosed = true
    this.#closedAtMs = this.#host.clock.readNow()
    this.#queue.length = 0
    this.#transport.close()
  }
}

function readStatementId (queued: QueuedStatement): string {
  return 'malformed' in queued ? '-' : queued.id
}
