import { pickLaterPosition, type LogPosition } from '@camphorpitch/wire'
import type { ResponseError, ClientStatement } from '../backend/statement.ts'
import type { ClientResponse, ClientEvents, ClientTransport } from '../clients/client-listener.ts'
import type { Configuration, Route } from '../configuration/configuration.ts'
import type { EndpointEntry } from '../directory/endpoint-entry.ts'
import { createRetryRefusal, type Operation, type Outcome } from '../statements/operation.ts'
import type { PinnedTransaction } from '../statements/pinned-transaction.ts'
import { SessionAttempts } from '../statements/session-attempts.ts'
import { authenticate, authenticateAgain } from './authenticate.ts'
import { createSessionState, decideLastResponse, decideStatement, measureKeptGrowth, type StatementPlan } from './decide-statement.ts'
import { SessionCloser } from './session-closer.ts'
import type { SessionActivity, SessionEndCause, SessionEnding } from './session-end.ts'
import { createInputRefusal, type InputHolder } from './input-budget.ts'
import type { SessionHost } from './session-host.ts'
import { STARTUP_EXPECTED, STARTUP_TIMED_OUT, STARTUP_TIMEOUT_MS } from './startup-refusals.ts'
import { readStatementId, StatementQueue, TOO_LARGE, type QueuedStatement, type RefusedMessage } from './statement-queue.ts'

/** Time for a client to close its connection after it was told that its session ends, unless the VM stops. */
const CLOSE_TIMEOUT_MS = 2_000
/** Fraction of a route's objective for which an operation may wait for a token of its workspace's rate: most of the objective is left to run it. */
const MAX_QUOTA_WAIT_FRACTION = 0.25

/** The session of one client connection. Runs its statements one at a time and holds its transaction and session state. */
export class ClientSession implements ClientEvents, InputHolder {
  readonly id: string
  readonly #host: SessionHost
  readonly #transport: ClientTransport
  readonly #sessionState = createSessionState()
  readonly #queue: StatementQueue
  #answeredCount = 0
  #database = ''
  #key = ''
  #workspace: string | null = null
  #lastWritePosition: LogPosition | null = null
  #route: Route | null = null
  /** Regions whose endpoints may run the operation or transaction; `undefined` for all. */
  #allowedRegions: readonly string[] | undefined
  #transaction: PinnedTransaction | null = null
  /** Why the open transaction was lost; the client is told with its next statement. `null` when none was lost. */
  #transactionLossReason: string | null = null
  #transactionIdleTimer: NodeJS.Timeout | undefined
  readonly #startupTimer: NodeJS.Timeout
  readonly #closer: SessionCloser
  #isStartupReceived = false
  /** How the session is to end once it is idle; `null` while it is to go on. */
  #ending: SessionEnding | null = null
  /** Whether operations that have not begun are refused with the error of `#ending`. */
  #isAdmissionStopped = false
  #startupRefusal: ResponseError | null = null
  #isTerminating = false
  /** Whether the running statement may have reached an endpoint. */
  #isAdmitted = false
  #isAnswered = false
  #endCause: SessionEndCause | null = null
  #isEndRecorded = false
  readonly #attempts = new SessionAttempts()
  /** Why the open transaction is to be rolled back after its running statement. */
  #pendingTransactionEnd: string | null = null
  #lastActiveAtMs: number

  constructor (id: string, host: SessionHost, transport: ClientTransport) {
    this.id = id
    this.#host = host
    this.#transport = transport
    this.#lastActiveAtMs = host.clock.readNow()
    this.#queue = new StatementQueue({ holder: this, transport, budget: host.inputBudget, logger: host.logger })
    this.#closer = new SessionCloser({ transport, clock: host.clock })
    this.#startupTimer = setTimeout(() => this.#refuseUnstarted(STARTUP_TIMED_OUT), STARTUP_TIMEOUT_MS).unref()
  }

  /** The workspace whose key the client has shown; `null` before the session is accepted. */
  get workspace (): string | null {
    return this.#workspace
  }

  handleStartup = (database: string, key: string): void => {
    // The notice that the session ends is the refusal of the startup.
    if (this.#closer.isTold) return this.#close('startupRefused')
    if (this.#isStartupReceived) return this.handleMalformed('the session has started already')
    this.#isStartupReceived = true
    clearTimeout(this.#startupTimer)
    // Statements that follow at once stay in the connection until the session is accepted.
    this.#transport.pauseInput()
    this.#database = database
    this.#key = key
    this.#host.waitForConfiguration().then(configuration => this.#admitSession(configuration), (error: unknown) => {
      this.#host.logger.error('session admission failed', { session: this.id, error: String(error) })
      this.#close('internalError')
    })
  }

  handleStatement = (statement: ClientStatement): void => this.#enqueueStatement(statement)

  handleMalformed = (reason: string): void => this.#enqueueStatement({ error: { code: 'malformed', text: reason }, endCause: null })

  handleTooLarge = (): void => this.#enqueueStatement(TOO_LARGE)

  handleInput = (): void => {
    if (this.#closer.isOpen) this.#queue.recordInput(this.#sessionState.keptBytes)
  }

  /** Ends the session after the statements that it has taken, as its input that is not a whole message yet takes too much memory. */
  refuseInput = (error: ResponseError): void => {
    if (!this.#closer.isOpen) return this.#transport.destroy()
    this.#transport.discardInput()
    if (this.#workspace !== null) return this.#enqueueStatement({ error, endCause: 'inputRefused' })
    this.#transport.sendRefusal(error)
    this.#close('inputRefused')
  }

  refuseOutput = (): void => {
    this.#endCause ??= 'outputRefused'
    this.#closer.destroy()
  }

  handleDrain = (): void => {
    if (!this.#closer.isOpen) return
    this.#queue.recordInput(this.#sessionState.keptBytes)
    this.#runNextStatement()
  }

  handleTerminate = (): void => {
    this.#isTerminating = true
    if (!this.#hasStatements) this.#close('clientTerminated')
  }

  handleClose = (): void => {
    this.recordEnd('clientClosed')
    this.#closer.handleClosed()
    clearTimeout(this.#transactionIdleTimer)
    clearTimeout(this.#startupTimer)
    this.#queue.removeWaiting()
    this.#host.inputBudget.remove(this)
    if (this.#queue.running === null) this.#transaction?.rollback()
    this.#host.removeSession(this)
  }

  /** Logs and counts the end of the session, once. `cause` applies if the gateway did not begin to end it before. */
  recordEnd (cause: SessionEndCause): void {
    if (this.#isEndRecorded) return
    this.#isEndRecorded = true
    const unanswered = this.#queue.describeUnanswered(this.#isAnswered)
    const [version, input, answered] = [this.#host.readConfiguration()?.version, this.#transport.readInputState(), this.#answeredCount]
    this.#host.recordSessionEnd({ session: this.id, cause: this.#endCause ?? cause, version, answered, ...unanswered, input })
  }

  get activity (): SessionActivity {
    if (!this.#closer.isOpen || this.#closer.isTold) return 'closing'
    if (!this.#isStartupReceived) return 'notStarted'
    if (this.#hasStatements || this.#workspace === null) return 'busy'
    return this.#sessionState.transaction === 'idle' ? 'idle' : 'inTransaction'
  }

  /** The endpoint at which the session's transaction is open; `null` without one. */
  get transactionEndpoint (): EndpointEntry | null {
    return this.#transaction?.pool.entry ?? null
  }

  /** Whether a statement is running or queued, a transaction is open, or the client waits for its session to be accepted. */
  get isBusy (): boolean {
    return ['busy', 'inTransaction'].includes(this.activity)
  }

  /** Time since the last statement began or ended, in milliseconds. */
  get idleMs (): number {
    return this.#host.clock.readNow() - this.#lastActiveAtMs
  }

  /**
   * Ends the session now if it is idle, else once its queued statements and its transaction have ended. The client is
   * told with `ending.error`, which must promise that nothing of a statement that crosses it is kept.
   */
  end (ending: SessionEnding): void {
    this.#ending ??= ending
    if (!this.isBusy) this.#tellClient(this.#ending.error)
  }

  /** Refuses the client's startup if it has not been answered yet. A client has nothing outstanding after a refusal, unlike after a notice. */
  refuseStartup ({ error }: SessionEnding): void {
    this.#startupRefusal = error
  }

  /** Ends the session, and refuses operations that have not begun. A statement that is running is waited for; an open transaction is rolled back. */
  stopAdmission (ending: SessionEnding): void {
    this.#isAdmissionStopped = true
    this.#ending = ending
    this.refuseStartup(ending)
    this.end(ending)
    this.endTransaction(ending.error.text)
    this.#runNextStatement()
    if (this.#hasStatements || this.#sessionState.transaction === 'idle') return
    this.#sessionState.transaction = 'idle'
    this.#tellClient({ code: 'aborted', text: this.#transactionLossReason ?? 'the transaction had failed' })
  }

  /** Closes the session at once. A statement that is running is answered with what is certain of its outcome. */
  terminate (): void {
    if (!this.#closer.isOpen) return
    const { refusal } = createRetryRefusal('busy', 'the VM stops', 0)
    if (this.#isStartupReceived && this.#workspace === null) this.#transport.sendRefusal(refusal)
    if (this.#queue.running !== null) this.#respondWithoutOutcome(this.#queue.running, 'the VM stops')
    for (const queued of this.#queue.removeWaiting()) this.#respond({ error: 'error' in queued ? queued.error : refusal, state: 'idle' })
    this.#close('processExit')
  }

  /** Ends the connection at once; responses that the client has not taken are lost. */
  destroy (): void {
    this.#closer.destroy()
  }

  /** Rolls back an open transaction, after its running statement if there is one. The client gets `reason` with its next statement. */
  endTransaction (reason: string): void {
    if (this.#sessionState.transaction !== 'open' || this.#transactionLossReason !== null) return
    if (this.#queue.running !== null) {
      this.#pendingTransactionEnd = reason
      return
    }
    clearTimeout(this.#transactionIdleTimer)
    this.#abandonTransaction(reason)
  }

  /** Applies a new configuration: ends the session when its key or database is no longer valid. */
  applyConfiguration (configuration: Configuration): void {
    if (this.#workspace === null) return
    const admission = authenticateAgain(configuration, this.#database, this.#key, this.#workspace)
    if ('error' in admission) return this.end({ cause: 'configuration', error: admission.error, computeTimeoutMs: () => CLOSE_TIMEOUT_MS })
    if (this.#ending?.cause === 'configuration') this.#withdrawEnding()
  }

  #admitSession (configuration: Configuration | null): void {
    if (!this.#closer.isOpen) return
    if (this.#startupRefusal !== null) {
      this.#transport.sendRefusal(this.#startupRefusal)
      return this.#close('startupRefused')
    }
    const admission = configuration === null ? { error: { code: 'busy' as const, text: 'no configuration yet; retry after 1000 ms' } } : authenticate(configuration, this.#database, this.#key)
    if ('error' in admission) {
      this.#host.logger.info('session refused', { session: this.id, database: this.#database, version: configuration?.version, ...admission.error })
      this.#transport.sendRefusal(admission.error)
      return this.#close('startupRefused')
    }
    this.#workspace = admission.workspace
    this.#transport.sendWelcome()
    this.#lastActiveAtMs = this.#host.clock.readNow()
    this.#transport.resumeInput()
    if (this.#ending !== null && !this.isBusy) this.#tellClient(this.#ending.error)
  }

  get #hasStatements (): boolean {
    return this.#queue.running !== null || this.#queue.length > 0
  }

  #enqueueStatement (queued: QueuedStatement): void {
    if (!this.#closer.isOpen) return this.#queue.recordDropped(queued, { cause: this.#endCause, sinceCloseMs: this.#closer.sinceCloseMs })
    if (this.#closer.isTold) return this.#refuseCrossing(queued)
    if (!this.#isStartupReceived) return this.#refuseUnstarted(STARTUP_EXPECTED)
    this.#queue.add(queued)
    this.#runNextStatement()
  }

  /** Ends a connection whose client has not begun a session. */
  #refuseUnstarted (error: ResponseError): void {
    if (!this.#closer.isOpen) return
    this.#transport.sendRefusal(error)
    this.#close('notStarted')
  }

  /** Answers a statement that crossed the notice that the session ends: its client takes the notice as the error in response to it. */
  #refuseCrossing (queued: QueuedStatement): void {
    const error = this.#ending?.error ?? createRetryRefusal('busy', 'the session ends', 0).refusal
    this.#host.logger.info('statement refused because its session ends', { id: readStatementId(queued), session: this.id, cause: this.#endCause })
    this.#answeredCount++
    this.#closer.respondToCrossing(error)
    if ('error' in queued && queued.endCause !== null) this.#close(queued.endCause)
  }

  /** Whether statements wait for the client to take its responses. Once the session may admit none, they are refused instead. */
  get #isBlocked (): boolean {
    return !this.#isAdmissionStopped && this.#transport.readOutputState().isFull
  }

  #runNextStatement (): void {
    if (this.#workspace === null || this.#queue.running !== null || this.#isBlocked) return
    const queued = this.#queue.beginNext()
    if (queued === undefined) return
    this.#isAdmitted = false
    this.#isAnswered = false
    clearTimeout(this.#transactionIdleTimer)
    this.#lastActiveAtMs = this.#host.clock.readNow()
    const running = 'error' in queued ? this.#refuseMessage(queued) : this.#admitAndRun(queued)
    Promise.resolve(running).catch((error: unknown) => {
      this.#host.logger.error('statement processing failed', { session: this.id, error: error instanceof Error ? error.stack : String(error) })
      this.#respondWithoutOutcome(queued, 'internal error')
      this.#close('internalError')
    }).finally(() => this.#finishStatement())
  }

  #refuseMessage ({ error, endCause }: RefusedMessage): void {
    // The code promises that nothing of the transaction is kept.
    if (error.code === 'busy' && this.#sessionState.transaction === 'open') this.#rollbackTransaction()
    this.#sendResponse({ error, state: this.#sessionState.transaction })
    if (endCause !== null) this.#close(endCause)
  }

  #finishStatement (): void {
    this.#queue.finishRunning()
    this.#lastActiveAtMs = this.#host.clock.readNow()
    if (!this.#closer.isOpen) return this.#transaction?.rollback()
    this.#queue.recordInput(this.#sessionState.keptBytes)
    if (this.#pendingTransactionEnd !== null) this.#finishTransactionEnd(this.#pendingTransactionEnd)
    if (this.#queue.length > 0) return this.#isBlocked ? this.#startTransactionIdleTimer() : this.#runNextStatement()
    if (this.#isTerminating) return this.#close('clientTerminated')
    if (this.#ending !== null && this.#sessionState.transaction === 'idle') return this.#tellClient(this.#ending.error)
    this.#startTransactionIdleTimer()
  }

  #startTransactionIdleTimer (): void {
    if (this.#transaction !== null) this.#transactionIdleTimer = setTimeout(() => this.#abandonTransaction('the transaction was idle for too long'), this.#host.readTransactionIdleTimeoutMs())
  }

  /** Answers a statement whose outcome the session does not wait for. */
  #respondWithoutOutcome (statement: QueuedStatement, reason: string): void {
    if ('error' in statement) return
    this.#sendResponse(decideLastResponse(statement, { isAdmitted: this.#isAdmitted, transaction: this.#sessionState.transaction, reason }))
  }

  #finishTransactionEnd (reason: string): void {
    this.#pendingTransactionEnd = null
    if (this.#sessionState.transaction === 'open' && this.#transactionLossReason === null) this.#abandonTransaction(reason)
  }

  #abandonTransaction (reason: string): void {
    this.#host.logger.info('transaction ended by gateway', { session: this.id, workspace: this.#workspace, reason })
    this.#transaction?.rollback()
    this.#transaction = null
    this.#transactionLossReason = reason
  }

  async #admitAndRun (statement: ClientStatement): Promise<void> {
    const refusal = this.#sessionState.transaction === 'idle' ? await this.#admitOperation(statement) : null
    if (!this.#closer.isOpen) return
    if (refusal !== null) return this.#sendResponse({ error: refusal, state: 'idle' })
    const more = measureKeptGrowth(this.#sessionState, statement)
    if (more > 0 && !this.#host.inputBudget.canHold(this, more)) return this.#refuseMessage({ error: createInputRefusal(), endCause: null })
    this.#isAdmitted = true
    const plan = decideStatement(this.#sessionState, statement)
    await this.#runPlan(statement, plan)
  }

  /** Checks key, route and quota at the start of an operation: a transaction or a single statement. */
  async #admitOperation (statement: ClientStatement): Promise<ResponseError | null> {
    if (this.#isAdmissionStopped && this.#ending !== null) return this.#ending.error
    const configuration = this.#host.readConfiguration()
    if (configuration === null) return { code: 'busy', text: 'no configuration yet; retry after 1000 ms' }
    const admission = authenticateAgain(configuration, this.#database, this.#key, this.#workspace)
    if ('error' in admission) {
      this.#host.logger.info('operation refused because its key or database is not valid', { id: statement.id, session: this.id, version: configuration.version, ...admission.error })
      return admission.error
    }
    this.#route = admission.route
    this.#allowedRegions = admission.allowedRegions
    const isOperation = ['begin', 'read', 'write', 'execute'].includes(statement.type)
    return isOperation ? await this.#host.admitOperation(statement.id, admission.workspace, admission.route.objectiveMs * MAX_QUOTA_WAIT_FRACTION) : null
  }

  async #runPlan (statement: ClientStatement, plan: StatementPlan): Promise<void> {
    const state = this.#sessionState
    switch (plan.type) {
      case 'answer':
        if (plan.error === null) await this.#waitForAttempts(statement)
        return this.#sendResponse({ error: plan.error, state: state.transaction })
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

  /**
   * Waits until no attempt of an earlier read can run any more with values or prepared statements that the client is about to see
   * replaced.
   */
  async #waitForAttempts ({ id, type }: ClientStatement): Promise<void> {
    const { count } = this.#attempts
    if (count === 0) return
    await this.#attempts.waitForEnd()
    const elapsedMs = Math.round(this.#host.clock.readNow() - this.#lastActiveAtMs)
    this.#host.logger.info('change of session state waited for earlier reads', { id, type, session: this.id, attempts: count, elapsedMs })
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

  #rollbackTransaction (): void {
    this.#transaction?.rollback()
    this.#transaction = null
    this.#sessionState.transaction = 'failed'
  }

  #finishFailedTransaction (operation: Operation, outcome: Outcome): void {
    this.#rollbackTransaction()
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
    const [route, workspace] = [this.#route, this.#workspace]
    if (route === null || workspace === null) throw new Error('cannot create an operation: the session has no workspace or route yet')
    const requiredState = { session: this.id, sessionValues, preparedStatements }
    const limits = { allowedRegions: this.#allowedRegions, sessionPosition: this.#lastWritePosition, receivedAtMs: this.#lastActiveAtMs }
    return { statement, requiredState, preparedName, workspace, route, attempts: this.#attempts, ...limits }
  }

  #sendOutcome (operation: Operation, outcome: Outcome, state: ClientResponse['state'], isCommit: boolean): void {
    this.#host.recordOutcome(operation, outcome)
    if ('refusal' in outcome) return this.#sendResponse({ error: outcome.refusal, state })
    const { rows, signature, error, position } = outcome.response
    if (isCommit && error === null && position !== null) this.#lastWritePosition = pickLaterPosition(this.#lastWritePosition, position)
    this.#sendResponse({ rows, signature, error, state, position })
  }

  #sendResponse (response: ClientResponse): void {
    if (!this.#closer.isOpen || this.#isAnswered) return
    this.#isAnswered = true
    this.#respond(response)
  }

  #respond (response: ClientResponse): void {
    this.#answeredCount++
    this.#transport.sendResponse(response)
  }

  #tellClient (error: ResponseError): void {
    if (this.#ending === null || !this.#closer.isOpen) return
    this.#endCause ??= this.#ending.cause
    this.#closer.tell(error, this.#ending.computeTimeoutMs)
  }

  /** Lets the session go on because its key and database are valid again, unless its client was told already. */
  #withdrawEnding (): void {
    if (this.#ending === null) return
    this.#ending = this.#closer.isTold ? { ...this.#ending, error: createRetryRefusal('busy', 'the session ends', 0).refusal } : null
  }

  /** Closes the connection after the responses that have been sent. */
  #close (cause: SessionEndCause): void {
    if (!this.#closer.isOpen) return
    this.#endCause ??= cause
    clearTimeout(this.#transactionIdleTimer)
    clearTimeout(this.#startupTimer)
    this.#host.inputBudget.remove(this)
    if (this.#queue.running === null) this.#transaction?.rollback()
    this.#closer.close(this.#ending?.computeTimeoutMs() ?? CLOSE_TIMEOUT_MS)
  }
}
