import { describeError, parseCommitInfo, recordRequest, spendRetry, type AnswerFrame, type Endpoint, type LogPosition } from '@camphorpitch/wire'
import type { ResultHeader, ResultPart } from '../pool/part-queue.ts'
import { isNotRunError } from '../retries/classify-failure.ts'
import { confirmCommit, confirmVisible } from '../serving/confirm-position.ts'
import { makeRefusal } from '../serving/frames.ts'
import { acquireLease, runCancellable, type ConnectionLease } from '../serving/run-on-connection.ts'
import { waitPrimary } from '../serving/wait-primary.ts'
import { computeTimeLeftMs, writeDecision, type AcceptedRequest, type ServingContext } from '../serving/serving-context.ts'
import { canCommitImplicitly, isTransactionEndError } from './implicit-commit.ts'
import { findTransaction, listIdleTransactions, type Transaction, type TransactionTable } from './transaction-table.ts'

const ROLLBACK_TIMEOUT_MS = 1_000
const IDLE_CHECK_MS = 5_000
const RETRY_WAIT_MS = 50

/** Whether a lost answer leaves open if the transaction was committed. */
function isCommitInDoubt (request: AcceptedRequest): boolean {
  if (request.class === 'commit') return true
  return request.class === 'write' && canCommitImplicitly(request.text)
}

/** A BEGIN has no effect of its own, so it may be repeated; free of the retry budget when nothing was sent. */
interface BeginAttempt {
  frame: AnswerFrame
  repeat: 'never' | 'free' | 'budgeted'
}

type FailedPart = Extract<ResultPart, { kind: 'failed' }>

/**
 * Keeps the open transactions of one database, each on a connection of its own.
 *
 * @example
 * for await (const frame of runner.begin(request)) console.log(frame) // { kind: 'ok', transactionId: 'orders-5f-1', … }
 */
export class TransactionRunner {
  readonly #context: ServingContext
  readonly #namePrefix: string
  readonly #handleEnded: () => void
  readonly #table: TransactionTable = new Map()
  readonly #timer: NodeJS.Timeout
  #count = 0

  /** @param namePrefix makes the names of transactions unique over the fleet */
  constructor (context: ServingContext, namePrefix: string, handleEnded: () => void) {
    this.#context = context
    this.#namePrefix = namePrefix
    this.#handleEnded = handleEnded
    this.#timer = setInterval(() => this.#closeIdle(), IDLE_CHECK_MS)
    this.#timer.unref()
  }

  countOpen (): number {
    return this.#table.size
  }

  hasTransaction (transactionId: string): boolean {
    return this.#table.has(transactionId)
  }

  async * begin (request: AcceptedRequest): AsyncGenerator<AnswerFrame, void, void> {
    const context = this.#context
    recordRequest(context.budget)
    for (;;) {
      const { frame, repeat } = await this.#attemptBegin(request)
      const canRepeat = repeat === 'free' || (repeat === 'budgeted' && spendRetry(context.budget))
      if (!canRepeat || computeTimeLeftMs(context, request) <= 0) {
        yield frame
        return
      }
      await context.waitChange(Math.min(RETRY_WAIT_MS, Math.max(1, computeTimeLeftMs(context, request))))
    }
  }

  async #attemptBegin (request: AcceptedRequest): Promise<BeginAttempt> {
    const context = this.#context
    const required = await this.#findRequired(request)
    const primary = required === undefined ? undefined : await waitPrimary(context, request, required)
    if (primary === undefined) return { frame: makeRefusal('notRunRetry', 'no primary', context.group.estimateRecoveryMs()), repeat: 'never' }
    writeDecision(context, request, primary.endpoint, 'transaction on the primary')
    const lease = await acquireLease(context, request, primary.endpoint, true)
    if (!lease.granted) return { frame: makeRefusal('notRunRetry', lease.reason, lease.retryAfterMs), repeat: lease.isOverload ? 'never' : 'free' }
    const last = await this.#sendBegin(request, lease)
    if (last.kind === 'header') return { frame: this.#addTransaction(request, primary, lease), repeat: 'never' }
    lease.release(lease.connection.isReusable())
    if (last.kind === 'failed' && !isNotRunError(last.errno)) return { frame: last, repeat: 'never' }
    const reason = last.kind === 'failed' ? last.message : 'the transaction could not be opened'
    return { frame: makeRefusal('notRunRetry', reason, context.group.estimateRecoveryMs()), repeat: 'budgeted' }
  }

  /** What the primary must hold, so that the transaction does not read from an old one; `undefined` when no majority tells it. */
  async #findRequired (request: AcceptedRequest): Promise<LogPosition | undefined> {
    if (request.required !== null) return request.required
    const context = this.#context
    try {
      return await context.group.readBaseline(Math.max(1, computeTimeLeftMs(context, request)))
    } catch (error) {
      context.logger.debug('no baseline', { request: request.requestId, database: request.database, reason: describeError(error) })
      return undefined
    }
  }

  /** The last part of the answer; `end` when the connection was lost. */
  async #sendBegin (request: AcceptedRequest, lease: ConnectionLease): Promise<ResultPart> {
    let last: ResultPart = { kind: 'end' }
    try {
      for await (const part of runCancellable(this.#context, request, lease.connection, request.text)) last = part
      return last
    } catch (error) {
      this.#context.logger.debug('transaction not opened', { request: request.requestId, reason: describeError(error) })
      return { kind: 'end' }
    }
  }

  #addTransaction (request: AcceptedRequest, endpoint: Endpoint, lease: ConnectionLease): AnswerFrame {
    const id = `${this.#namePrefix}-${++this.#count}`
    this.#table.set(id, {
      id,
      sessionId: request.sessionId,
      workspace: request.workspace,
      endpoint,
      lease,
      isRunning: false,
      isAbandoned: false,
      usedAtMs: this.#context.clock.readNow()
    })
    return { kind: 'ok', affectedRows: 0, insertId: 0, position: null, transactionId: id }
  }

  async * run (request: AcceptedRequest): AsyncGenerator<AnswerFrame, void, void> {
    const transaction = findTransaction(this.#table, request.transactionId ?? '', request.sessionId, request.workspace)
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
      transaction.usedAtMs = this.#context.clock.readNow()
      const { connection } = transaction.lease
      if (isEnded || !connection.isReusable()) this.#endTransaction(transaction, !connection.isInTransaction())
    }
  }

  /** Yields the answer and returns whether the transaction has ended. */
  async * #runStatement (transaction: Transaction, request: AcceptedRequest): AsyncGenerator<AnswerFrame, boolean, void> {
    try {
      for await (const part of runCancellable(this.#context, request, transaction.lease.connection, request.text)) {
        if (part.kind === 'header') return yield * this.#answerHeader(transaction, request, part.header)
        if (part.kind === 'failed') return yield * this.#answerError(transaction, request, part)
        yield part
      }
      return false
    } catch (error) {
      yield makeRefusal(isCommitInDoubt(request) ? 'outcomeUnknown' : 'transactionLost', describeError(error))
      return true
    }
  }

  async * #answerHeader (transaction: Transaction, request: AcceptedRequest, header: ResultHeader): AsyncGenerator<AnswerFrame, boolean, void> {
    const { affectedRows, insertId } = header
    const isEnd = request.class === 'commit' || request.class === 'rollback'
    if (isEnd || !transaction.lease.connection.isInTransaction()) {
      yield await this.#confirmEnd(transaction, request, header)
      return true
    }
    yield { kind: 'ok', affectedRows, insertId, position: null, transactionId: transaction.id }
    return false
  }

  /** An error that may have ended the transaction closes its connection, so that nothing runs outside of it. */
  async * #answerError (transaction: Transaction, request: AcceptedRequest, part: FailedPart): AsyncGenerator<AnswerFrame, boolean, void> {
    const isEnd = request.class === 'commit' || request.class === 'rollback' || isTransactionEndError(part.errno)
    if (isEnd || isNotRunError(part.errno)) transaction.lease.connection.close()
    if (isNotRunError(part.errno)) {
      yield makeRefusal('transactionLost', part.message)
      return true
    }
    yield part
    return isEnd
  }

  /** What the transaction read or wrote must survive before its end is acknowledged. */
  async #confirmEnd (transaction: Transaction, request: AcceptedRequest, header: ResultHeader): Promise<AnswerFrame> {
    const committed = parseCommitInfo(header.info)
    const position = committed === null
      ? await confirmVisible(this.#context, request, transaction.endpoint.endpoint)
      : await confirmCommit(this.#context, request, committed)
    if (position !== null) return { kind: 'ok', affectedRows: header.affectedRows, insertId: header.insertId, position, transactionId: null }
    if (request.class === 'rollback') return makeRefusal('transactionLost', 'rolled back; what it read was not confirmed by a second instance')
    return makeRefusal('outcomeUnknown', 'the commit was not confirmed by a second instance in time')
  }

  /** Rolls back and gives the connection back; one that is running a statement is closed. */
  abandon (id: string): void {
    const transaction = this.#table.get(id)
    if (transaction === undefined || transaction.isAbandoned) return
    if (transaction.isRunning) this.#endTransaction(transaction, false)
    else this.#rollBack(transaction)
  }

  async #rollBack (transaction: Transaction): Promise<void> {
    transaction.isAbandoned = true
    transaction.isRunning = true
    let isClean = false
    try {
      for await (const part of transaction.lease.connection.runStatement('ROLLBACK', ROLLBACK_TIMEOUT_MS)) isClean ||= part.kind === 'header'
    } catch (error) {
      this.#context.logger.debug('rollback failed', { transaction: transaction.id, reason: describeError(error) })
    }
    this.#endTransaction(transaction, isClean)
  }

  #endTransaction (transaction: Transaction, isClean: boolean): void {
    if (!this.#table.delete(transaction.id)) return
    const { connection, release } = transaction.lease
    const isReusable = isClean && connection.isReusable()
    if (!isReusable) connection.close()
    release(isReusable)
    this.#handleEnded()
  }

  #closeIdle (): void {
    for (const transaction of listIdleTransactions(this.#table, this.#context.clock.readNow())) {
      this.#context.logger.info('transaction abandoned', { database: this.#context.database.database, transaction: transaction.id, reason: 'idle' })
      this.#endTransaction(transaction, false)
    }
  }

  stop (): void {
    clearInterval(this.#timer)
    for (const transaction of [...this.#table.values()]) this.#endTransaction(transaction, false)
  }
}
