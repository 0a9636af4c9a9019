import { describeError, parseCommitInfo, recordRequest, spendRetry, type ResponseFrame, type Endpoint, type LogPosition } from '@camphorpitch/wire'
import type { ResultHeader, ResultPart } from '../pool/result-part-queue.ts'
import { isNotRunError } from '../retries/classify-failure.ts'
import { confirmCommit, confirmVisibleOnPrimary } from '../serving/confirm-position.ts'
import { makeRefusal } from '../serving/frames.ts'
import { acquireLease, runCancellable, type ConnectionLease } from '../serving/run-on-connection.ts'
import { waitForPrimary } from '../serving/wait-for-primary.ts'
import { computeTimeLeftMs, logRoutingDecision, type AcceptedRequest, type ServingContext } from '../serving/serving-context.ts'
import { canCommitImplicitly, isTransactionEndError } from './implicit-commit.ts'
import { findTransaction, listIdleTransactions, type Transaction, type TransactionTable } from './transaction-table.ts'

const ROLLBACK_TIMEOUT_MS = 1_000
const IDLE_CHECK_INTERVAL_MS = 5_000
/** Longest time until a BEGIN is repeated if the group does not change before. */
const MAX_RETRY_DELAY_MS = 50

/** Whether the transaction may have been committed when the response to this request is lost. */
function isCommitInDoubt (request: AcceptedRequest): boolean {
  if (request.class === 'commit') return true
  return request.class === 'write' && canCommitImplicitly(request.text)
}

/**
 * Outcome of one attempt to begin a transaction. A BEGIN has no effect by itself, so it may be repeated:
 * `free` when nothing was sent, `budgeted` when the retry budget must allow it.
 */
interface BeginAttempt {
  frame: ResponseFrame
  retry: 'never' | 'free' | 'budgeted'
}

type FailedResultPart = Extract<ResultPart, { kind: 'failed' }>

/**
 * Keeps the open transactions of one database, each on a connection of its own.
 *
 * @example
 * for await (const frame of runner.begin(request)) console.log(frame) // { kind: 'ok', transactionId: 'orders-5f-1', … }
 */
export class TransactionRunner {
  readonly #context: ServingContext
  readonly #idPrefix: string
  readonly #handleEnded: () => void
  readonly #openTransactions: TransactionTable = new Map()
  readonly #idleCheckTimer: NodeJS.Timeout
  #createdCount = 0

  /**
   * @param idPrefix makes transaction ids unique across the fleet
   * @param handleEnded called each time a transaction has ended
   */
  constructor (context: ServingContext, idPrefix: string, handleEnded: () => void) {
    this.#context = context
    this.#idPrefix = idPrefix
    this.#handleEnded = handleEnded
    this.#idleCheckTimer = setInterval(() => this.#closeIdleTransactions(), IDLE_CHECK_INTERVAL_MS)
    this.#idleCheckTimer.unref()
  }

  countOpen (): number {
    return this.#openTransactions.size
  }

  hasTransaction (transactionId: string): boolean {
    return this.#openTransactions.has(transactionId)
  }

  /** Begins a transaction on the primary; yields `ok` with the transaction's id, an error, or a refusal. */
  async * begin (request: AcceptedRequest): AsyncGenerator<ResponseFrame, void, void> {
    const context = this.#context
    recordRequest(context.retryBudget)
    for (;;) {
      const { frame, retry } = await this.#attemptBegin(request)
      const canRetry = retry === 'free' || (retry === 'budgeted' && spendRetry(context.retryBudget))
      if (!canRetry || computeTimeLeftMs(context, request) <= 0) {
        yield frame
        return
      }
      await context.waitForChange(Math.min(MAX_RETRY_DELAY_MS, Math.max(1, computeTimeLeftMs(context, request))))
    }
  }

  async #attemptBegin (request: AcceptedRequest): Promise<BeginAttempt> {
    const context = this.#context
    const required = await this.#findRequiredPosition(request)
    const primary = required === undefined ? undefined : await waitForPrimary(context, request, required)
    if (primary === undefined) return { frame: makeRefusal('notRunRetry', 'no primary', context.group.estimateRecoveryMs()), retry: 'never' }
    logRoutingDecision(context, request, primary.endpoint, 'transaction on the primary')
    const lease = await acquireLease(context, request, primary.endpoint, true)
    if (!lease.granted) return { frame: makeRefusal('notRunRetry', lease.reason, lease.retryAfterMs), retry: lease.isOverload ? 'never' : 'free' }
    const last = await this.#sendBegin(request, lease)
    if (last.kind === 'header') return { frame: this.#addTransaction(request, primary, lease), retry: 'never' }
    lease.release(lease.connection.isReusable())
    if (last.kind === 'failed' && !isNotRunError(last.errno)) return { frame: last, retry: 'never' }
    const reason = last.kind === 'failed' ? last.message : 'the transaction could not be opened'
    return { frame: makeRefusal('notRunRetry', reason, context.group.estimateRecoveryMs()), retry: 'budgeted' }
  }

  /** Finds the position that the primary must hold, so that the transaction does not run on an outdated primary; `undefined` when no majority responds to tell it. */
  async #findRequiredPosition (request: AcceptedRequest): Promise<LogPosition | undefined> {
    if (request.required !== null) return request.required
    const context = this.#context
    try {
      return await context.group.readBaseline(Math.max(1, computeTimeLeftMs(context, request)))
    } catch (error) {
      context.logger.debug('baseline position unavailable for transaction', { request: request.requestId, database: request.database, reason: describeError(error) })
      return undefined
    }
  }

  /** Sends the BEGIN and returns the last part of its response; `end` when it was not completed. */
  async #sendBegin (request: AcceptedRequest, lease: ConnectionLease): Promise<ResultPart> {
    let last: ResultPart = { kind: 'end' }
    try {
      for await (const part of runCancellable(this.#context, request, lease.connection, request.text)) last = part
      return last
    } catch (error) {
      this.#context.logger.debug('BEGIN not completed', { request: request.requestId, reason: describeError(error) })
      return { kind: 'end' }
    }
  }

  #addTransaction (request: AcceptedRequest, endpoint: Endpoint, lease: ConnectionLease): ResponseFrame {
    const id = `${this.#idPrefix}-${++this.#createdCount}`
    this.#openTransactions.set(id, {
      id,
      sessionId: request.sessionId,
      workspace: request.workspace,
      endpoint,
      lease,
      isRunning: false,
      isAbandoned: false,
      lastUsedAtMs: this.#context.clock.readNow()
    })
    return { kind: 'ok', affectedRows: 0, insertId: 0, position: null, transactionId: id }
  }

  /** Runs a statement in the transaction that the request names, including COMMIT and ROLLBACK. */
  async * run (request: AcceptedRequest): AsyncGenerator<ResponseFrame, void, void> {
    const transaction = findTransaction(this.#openTransactions, request.transactionId ?? '', request.sessionId, request.workspace)
    if (transaction === undefined) {
      yield makeRefusal('transactionLost', 'the transaction is no longer open')
      return
    }
    if (request.writeId !== null) {
      yield makeRefusal('notRunDenied', 'a request id may only name a write outside a transaction')
      return
    }
    if (transaction.isRunning) {
      yield makeRefusal('notRunDenied', 'the transaction is still running its last statement')
      return
    }
    transaction.isRunning = true
    let isEnded = false
    try {
      isEnded = yield * this.#runStatement(transaction, request)
    } finally {
      transaction.isRunning = false
      transaction.lastUsedAtMs = this.#context.clock.readNow()
      const { connection } = transaction.lease
      if (isEnded || !connection.isReusable()) this.#endTransaction(transaction, !connection.isInTransaction())
    }
  }

  /** Yields the response and returns whether the transaction has ended. */
  async * #runStatement (transaction: Transaction, request: AcceptedRequest): AsyncGenerator<ResponseFrame, boolean, void> {
    try {
      for await (const part of runCancellable(this.#context, request, transaction.lease.connection, request.text)) {
        if (part.kind === 'header') return yield * this.#respondToHeader(transaction, request, part.header)
        if (part.kind === 'failed') return yield * this.#respondToError(transaction, request, part)
        yield part
      }
      return false
    } catch (error) {
      yield makeRefusal(isCommitInDoubt(request) ? 'outcomeUnknown' : 'transactionLost', describeError(error))
      return true
    }
  }

  async * #respondToHeader (transaction: Transaction, request: AcceptedRequest, header: ResultHeader): AsyncGenerator<ResponseFrame, boolean, void> {
    const { affectedRows, insertId } = header
    const isEnd = request.class === 'commit' || request.class === 'rollback'
    if (isEnd || !transaction.lease.connection.isInTransaction()) {
      yield await this.#confirmEnd(transaction, request, header)
      return true
    }
    yield { kind: 'ok', affectedRows, insertId, position: null, transactionId: transaction.id }
    return false
  }

  /** Yields an error, and closes the connection if the error may have ended the transaction, so that no later statement runs outside it. */
  async * #respondToError (transaction: Transaction, request: AcceptedRequest, part: FailedResultPart): AsyncGenerator<ResponseFrame, boolean, void> {
    const isEnd = request.class === 'commit' || request.class === 'rollback' || isTransactionEndError(part.errno)
    if (isEnd || isNotRunError(part.errno)) transaction.lease.connection.close()
    if (isNotRunError(part.errno)) {
      yield makeRefusal('transactionLost', part.message)
      return true
    }
    yield part
    return isEnd
  }

  /** Acknowledges the end of a transaction only after everything it read or wrote is known to survive a change of primary. */
  async #confirmEnd (transaction: Transaction, request: AcceptedRequest, header: ResultHeader): Promise<ResponseFrame> {
    const commitPosition = parseCommitInfo(header.info)
    const position = commitPosition === null
      ? await confirmVisibleOnPrimary(this.#context, request, transaction.endpoint.endpoint)
      : await confirmCommit(this.#context, request, commitPosition)
    if (position !== null) return { kind: 'ok', affectedRows: header.affectedRows, insertId: header.insertId, position, transactionId: null }
    if (request.class === 'rollback') return makeRefusal('transactionLost', 'rolled back; what it read was not confirmed by a second instance')
    return makeRefusal('outcomeUnknown', 'the commit was not confirmed by a second instance in time')
  }

  /** Rolls the transaction back and releases its connection; a connection that is running a statement is closed instead. */
  abandon (id: string): void {
    const transaction = this.#openTransactions.get(id)
    if (transaction === undefined || transaction.isAbandoned) return
    if (transaction.isRunning) return this.#endTransaction(transaction, false)
    this.#rollBack(transaction).catch((error: unknown) => {
      this.#context.logger.warn('abandoned transaction not ended', { transaction: id, error: String(error) })
    })
  }

  async #rollBack (transaction: Transaction): Promise<void> {
    transaction.isAbandoned = true
    transaction.isRunning = true
    let isRolledBack = false
    try {
      for await (const part of transaction.lease.connection.runStatement('ROLLBACK', ROLLBACK_TIMEOUT_MS)) isRolledBack ||= part.kind === 'header'
    } catch (error) {
      this.#context.logger.debug('rollback of abandoned transaction failed', { transaction: transaction.id, reason: describeError(error) })
    }
    this.#endTransaction(transaction, isRolledBack)
  }

  #endTransaction (transaction: Transaction, isOutsideTransaction: boolean): void {
    if (!this.#openTransactions.delete(transaction.id)) return
    const { connection, release } = transaction.lease
    const isReusable = isOutsideTransaction && connection.isReusable()
    if (!isReusable) connection.close()
    release(isReusable)
    this.#handleEnded()
  }

  #closeIdleTransactions (): void {
    for (const transaction of listIdleTransactions(this.#openTransactions, this.#context.clock.readNow())) {
      this.#context.logger.info('transaction abandoned', { database: this.#context.database.database, transaction: transaction.id, reason: 'idle' })
      this.#endTransaction(transaction, false)
    }
  }

  /** Ends all open transactions by closing their connections. */
  stop (): void {
    clearInterval(this.#idleCheckTimer)
    for (const transaction of [...this.#openTransactions.values()]) this.#endTransaction(transaction, false)
  }
}
