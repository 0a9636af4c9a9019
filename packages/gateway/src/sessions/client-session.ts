import { pickLaterPosition, type LogPosition } from '@camphorpitch/wire'
import type { AnswerError, ClientStatement } from '../backend/statement.ts'
import type { ClientAnswer, ClientEvents, ClientTransport } from '../clients/client-listener.ts'
import type { Configuration, Route } from '../configuration/configuration.ts'
import type { Operation, Outcome } from '../statements/operation.ts'
import type { PinnedTransaction } from '../statements/pinned-transaction.ts'
import { authenticate } from './authenticate.ts'
import { createSessionState, decideStatement, type StatementPlan } from './decide-statement.ts'
import type { SessionHost } from './session-host.ts'

/** Statements that a client may send ahead of their answers. */
const MOST_QUEUED = 256

/** One client connection: runs its statements one by one and holds what they leave behind. */
export class ClientSession implements ClientEvents {
  readonly id: string
  readonly #host: SessionHost
  readonly #transport: ClientTransport
  readonly #state = createSessionState()
  readonly #queue: Array<ClientStatement | { malformed: string }> = []
  #database = ''
  #key = ''
  #workspace: string | null = null
  #position: LogPosition | null = null
  #route: Route | null = null
  #transaction: PinnedTransaction | null = null
  /** Why the open transaction is lost, to be told with its next statement. */
  #lostReason: string | null = null
  #idleTimer: NodeJS.Timeout | undefined
  #isRunning = false
  #isClosed = false
  #mustClose = false
  #lastActiveMs: number

  constructor (id: string, host: SessionHost, transport: ClientTransport) {
    this.id = id
    this.#host = host
    this.#transport = transport
    this.#lastActiveMs = host.clock.readNow()
  }

  handleStartup = (database: string, key: string): void => {
    if (this.#workspace !== null) return this.#transport.close()
    this.#database = database
    this.#key = key
    this.#host.waitForConfiguration().then(configuration => this.#admit(configuration), (error: unknown) => {
      this.#host.logger.error('session not admitted', { session: this.id, error: String(error) })
      this.#transport.close()
    })
  }

  handleStatement = (statement: ClientStatement): void => {
    this.#addStatement(statement)
  }

  handleMalformed = (reason: string): void => {
    this.#addStatement({ malformed: reason })
  }

  handleClose = (): void => {
    this.#isClosed = true
    clearTimeout(this.#idleTimer)
    this.#queue.length = 0
    if (!this.#isRunning) this.#transaction?.rollback()
    this.#host.removeSession(this)
  }

  get isBusy (): boolean {
    return this.#isRunning || this.#queue.length > 0 || this.#state.transaction !== 'idle'
  }

  get idleMs (): number {
    return this.#host.clock.readNow() - this.#lastActiveMs
  }

  /** Closes the session now if nothing is under way, else after the statement or transaction that is. */
  closeWhenIdle (): void {
    this.#mustClose = true
    if (!this.isBusy) this.#close()
  }

  /** Ends an open transaction that no statement is running in; its client learns of it with the next one. */
  endTransaction (reason: string): void {
    if (this.#isRunning || this.#state.transaction === 'idle' || this.#lostReason !== null) return
    clearTimeout(this.#idleTimer)
    this.#abandonTransaction(reason)
  }

  /** Takes in a new configuration: a session whose key is gone ends, an open transaction does not. */
  applyConfiguration (configuration: Configuration): void {
    if (this.#workspace === null || this.isBusy) return
    if ('error' in authenticate(configuration, this.#database, this.#key)) this.#close()
  }

  #admit (configuration: Configuration | null): void {
    if (this.#isClosed) return
    const admission = configuration === null ? { error: { code: 'busy' as const, text: 'no configuration yet; retry after 1000 ms' } } : authenticate(configuration, this.#database, this.#key)
    if ('error' in admission) {
      this.#host.logger.info('session refused', { session: this.id, database: this.#database, version: configuration?.version, ...admission.error })
      this.#transport.sendRefusal(admission.error)
      return
    }
    this.#workspace = admission.workspace
    this.#transport.sendWelcome()
    this.#runNext()
  }

  #addStatement (item: ClientStatement | { malformed: string }): void {
    if (this.#isClosed) return
    if (this.#queue.length >= MOST_QUEUED) return this.#close()
    this.#queue.push(item)
    if (this.#workspace !== null) this.#runNext()
  }

  #runNext (): void {
    if (this.#isRunning) return
    const item = this.#queue.shift()
    if (item === undefined) return
    this.#isRunning = true
    clearTimeout(this.#idleTimer)
    this.#lastActiveMs = this.#host.clock.readNow()
    const running = 'malformed' in item ? this.#answer({ error: { code: 'malformed', text: item.malformed }, state: this.#state.transaction }) : this.#run(item)
    Promise.resolve(running).catch((error: unknown) => {
      this.#host.logger.error('statement failed', { session: this.id, error: error instanceof Error ? error.stack : String(error) })
      this.#close()
    }).finally(() => this.#finishStatement())
  }

  #finishStatement (): void {
    this.#isRunning = false
    this.#lastActiveMs = this.#host.clock.readNow()
    if (this.#isClosed) return this.#transaction?.rollback()
    if (this.#queue.length > 0) return this.#runNext()
    if (this.#mustClose && this.#state.transaction === 'idle') return this.#close()
    if (this.#transaction !== null) this.#idleTimer = setTimeout(() => this.#abandonTransaction('the transaction was idle for too long'), this.#host.readTransactionIdleMs())
  }

  #abandonTransaction (reason: string): void {
    this.#host.logger.info('transaction ended', { session: this.id, workspace: this.#workspace, reason })
    this.#transaction?.rollback()
    this.#transaction = null
    this.#lostReason = reason
  }

  async #run (statement: ClientStatement): Promise<void> {
    const refusal = this.#state.transaction === 'idle' ? await this.#admitOperation(statement) : null
    if (this.#isClosed) return
    if (refusal !== null) return this.#answer({ error: refusal, state: 'idle' })
    const plan = decideStatement(this.#state, statement)
    await this.#runPlan(statement, plan)
  }

  /** Checks key, route and quota where an operation begins. */
  async #admitOperation (statement: ClientStatement): Promise<AnswerError | null> {
    const configuration = this.#host.readConfiguration()
    if (configuration === null) return { code: 'busy', text: 'no configuration yet; retry after 1000 ms' }
    const admission = authenticate(configuration, this.#database, this.#key)
    if ('error' in admission || admission.workspace !== this.#workspace) {
      const error: AnswerError = 'error' in admission ? admission.error : { code: 'noAuth', text: 'the key belongs to another workspace now' }
      this.#host.logger.info('operation refused', { id: statement.id, session: this.id, version: configuration.version, ...error })
      return error
    }
    this.#route = admission.route
    const isOperation = ['begin', 'read', 'write', 'execute'].includes(statement.type)
    return isOperation ? await this.#host.admitOperation(statement.id, admission.workspace) : null
  }

  async #runPlan (statement: ClientStatement, plan: StatementPlan): Promise<void> {
    const state = this.#state
    switch (plan.type) {
      case 'answer': return this.#answer({ error: plan.error, state: state.transaction })
      case 'begin':
        this.#lostReason = null
        return this.#answer({ state: 'open' })
      case 'rollback':
        this.#transaction?.rollback()
        this.#transaction = null
        state.transaction = 'idle'
        return this.#answer({ state: 'idle' })
      case 'endFailed':
        state.transaction = 'idle'
        return this.#answer({ error: plan.isCommit ? { code: 'aborted', text: 'the transaction had failed' } : null, state: 'idle' })
      case 'commit': return await this.#commit(statement)
      case 'run': return state.transaction === 'idle' ? await this.#runSingle(statement, plan) : await this.#runInTransaction(statement, plan)
    }
  }

  async #runSingle (statement: ClientStatement, plan: { isWrite: boolean, preparedName: string | null }): Promise<void> {
    const operation = this.#createOperation(statement, plan.preparedName)
    const outcome = plan.isWrite ? await this.#host.runWrite(operation) : await this.#host.runRead(operation)
    this.#answerOutcome(operation, outcome, 'idle', plan.isWrite)
  }

  async #runInTransaction (statement: ClientStatement, plan: { isWrite: boolean, preparedName: string | null }): Promise<void> {
    const operation = this.#createOperation(statement, plan.preparedName)
    const transaction = await this.#findTransaction(operation)
    if ('refusal' in transaction) return this.#finishFailed(operation, transaction)
    const outcome = await transaction.run(operation, plan.isWrite)
    if ('refusal' in outcome || outcome.answer.error !== null) return this.#finishFailed(operation, outcome)
    this.#answerOutcome(operation, outcome, 'open', false)
  }

  async #findTransaction (operation: Operation): Promise<PinnedTransaction | { refusal: AnswerError }> {
    if (this.#lostReason !== null) return { refusal: { code: 'aborted', text: this.#lostReason } }
    if (this.#transaction !== null) return this.#transaction
    const opened = await this.#host.openTransaction(operation, this.#state.isReadOnly)
    if ('refusal' in opened) return opened
    this.#transaction = opened.transaction
    return opened.transaction
  }

  #finishFailed (operation: Operation, outcome: Outcome): void {
    this.#transaction?.rollback()
    this.#transaction = null
    this.#state.transaction = 'failed'
    this.#answerOutcome(operation, outcome, 'failed', false)
  }

  async #commit (statement: ClientStatement): Promise<void> {
    const operation = this.#createOperation(statement, null)
    const transaction = await this.#findTransaction(operation)
    const outcome = 'refusal' in transaction ? transaction : await transaction.commit(operation)
    this.#transaction = null
    this.#lostReason = null
    this.#state.transaction = 'idle'
    this.#answerOutcome(operation, outcome, 'idle', true)
  }

  #createOperation (statement: ClientStatement, preparedName: string | null): Operation {
    const { values, prepared } = this.#state
    if (this.#route === null || this.#workspace === null) throw new Error('statement outside of an admitted session')
    return {
      statement,
      requiredState: { session: this.id, sessionValues: values, preparedStatements: prepared },
      preparedName,
      workspace: this.#workspace,
      route: this.#route,
      sessionPosition: this.#position,
      receivedAtMs: this.#lastActiveMs
    }
  }

  #answerOutcome (operation: Operation, outcome: Outcome, state: ClientAnswer['state'], isCommit: boolean): void {
    this.#host.recordOutcome(operation, outcome)
    if ('refusal' in outcome) return this.#answer({ error: outcome.refusal, state })
    const { rows, signature, error, position } = outcome.answer
    if (isCommit && error === null && position !== null) this.#position = pickLaterPosition(this.#position, position)
    this.#answer({ rows, signature, error, state, position })
  }

  #answer (answer: ClientAnswer): void {
    if (!this.#isClosed) this.#transport.sendAnswer(answer)
  }

  /** Nothing that arrives after this is run: its client would get no answer. */
  #close (): void {
    this.#isClosed = true
    this.#queue.length = 0
    this.#transport.close()
  }
}
