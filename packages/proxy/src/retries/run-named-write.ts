import { describeError, parseCommitInfo, recordRequest, spendRetry, type AnswerFrame, type Cell, type LogPosition, type Refusal } from '@camphorpitch/wire'
import type { EndpointConnection } from '../pool/endpoint-connection.ts'
import type { ResultHeader, ResultPart } from '../pool/part-queue.ts'
import { confirmCommit, confirmVisible } from '../serving/confirm-position.ts'
import { makeRefusal } from '../serving/frames.ts'
import { acquireLease, runCancellable } from '../serving/run-on-connection.ts'
import { runOwnStatement } from '../serving/run-own-statement.ts'
import { waitPrimary } from '../serving/wait-primary.ts'
import { computeTimeLeftMs, writeDecision, type AcceptedRequest, type ServingContext } from '../serving/serving-context.ts'
import { canCommitImplicitly } from '../transactions/implicit-commit.ts'
import { isNotRunError } from './classify-failure.ts'
import { formatRecordCleanup, formatRecordInsert, formatRecordQuery, formatRecordTable, formatRecordUpdate, hashStatement, hashWriteName, isDuplicateName, isMissingTable, parseRecord } from './write-record.ts'

const RETRY_WAIT_MS = 50
/** One named write in so many also removes records that are past their retention. */
const CLEANUP_EVERY = 1_000

interface Result {
  header: ResultHeader | null
  rows: Cell[][]
  failure: Extract<ResultPart, { kind: 'failed' }> | null
}

/** How one attempt ended: with the answer, or with what to answer when it is not repeated. */
type Attempt =
  | { kind: 'answer', frame: AnswerFrame }
  /** Rolled back, or not begun. */
  | { kind: 'notRun', frame: AnswerFrame }
  /** No connection was to be had, so that nothing was sent. */
  | { kind: 'notSent', frame: AnswerFrame, isOverload: boolean }
  /** Sent to commit, without a whole answer or without its confirmation. */
  | { kind: 'inDoubt', reason: string }
  /** The table of records is missing. */
  | { kind: 'noTable' }

let namedWrites = 0

function answer (frame: AnswerFrame): Attempt {
  return { kind: 'answer', frame }
}

function refuse (kind: Refusal['kind'], reason: string): AnswerFrame {
  return makeRefusal(kind, reason, kind === 'notRunRetry' ? RETRY_WAIT_MS : undefined)
}

/** One attempt of a named write, on one connection of the primary. */
class NamedWriteAttempt {
  readonly #context: ServingContext
  readonly #request: AcceptedRequest
  readonly #endpoint: string
  readonly #connection: EndpointConnection
  readonly #id: string
  /** Half of the time left, so that a lost answer leaves time to find the outcome. */
  readonly #endMs: number
  #isCommitSent = false

  constructor (context: ServingContext, request: AcceptedRequest, endpoint: string, connection: EndpointConnection) {
    this.#context = context
    this.#request = request
    this.#endpoint = endpoint
    this.#connection = connection
    this.#endMs = (context.clock.readNow() + request.deadlineMs) / 2
    this.#id = hashWriteName(request.workspace, request.writeId ?? '')
  }

  async run (): Promise<Attempt | { committed: ResultHeader, position: LogPosition | null }> {
    try {
      return await this.#runSteps()
    } catch (error) {
      const reason = describeError(error)
      if (this.#isCommitSent) return { kind: 'inDoubt', reason }
      return { kind: 'notRun', frame: refuse('notRunRetry', reason) }
    }
  }

  async #runSteps (): Promise<Attempt | { committed: ResultHeader, position: LogPosition | null }> {
    const { text } = this.#request
    const begun = await this.#send('BEGIN')
    if (begun.failure !== null) return this.#convertFailure(begun.failure)
    const reserved = await this.#send(formatRecordInsert(this.#id, hashStatement(text), Date.now()))
    if (reserved.failure !== null) return await this.#handleReserveFailure(reserved.failure)
    const ran = await this.#send(text)
    if (ran.failure !== null) return await this.#rollBack(this.#convertFailure(ran.failure))
    if (ran.header === null) return await this.#rollBack(answer(refuse('notRunDenied', 'a named write may not return rows')))
    const update = formatRecordUpdate(this.#id, ran.header.affectedRows, ran.header.insertId)
    if (update !== null) {
      const updated = await this.#send(update)
      if (updated.failure !== null) return await this.#rollBack(this.#convertFailure(updated.failure))
    }
    this.#isCommitSent = true
    const committed = await this.#send('COMMIT')
    if (committed.failure !== null) return this.#convertFailure(committed.failure)
    return { committed: ran.header, position: parseCommitInfo(committed.header?.info ?? '') }
  }

  async #handleReserveFailure (failure: NonNullable<Result['failure']>): Promise<Attempt> {
    await this.#send('ROLLBACK')
    if (isMissingTable(failure.errno)) return { kind: 'noTable' }
    if (!isDuplicateName(failure.errno)) return { kind: 'notRun', frame: failure }
    return await this.#readEarlier()
  }

  /** Answers from the record of the attempt that was committed. */
  async #readEarlier (): Promise<Attempt> {
    const { rows } = await this.#send(formatRecordQuery(this.#id))
    const row = rows[0]
    if (row === undefined) return { kind: 'notRun', frame: refuse('notRunRetry', 'the record of the write is gone') }
    const record = parseRecord(row)
    if (record.statement !== hashStatement(this.#request.text)) {
      return answer(refuse('notRunDenied', 'the request id was used for another statement'))
    }
    const position = await confirmVisible(this.#context, this.#request, this.#endpoint)
    if (position === null) return { kind: 'inDoubt', reason: 'the recorded outcome was not confirmed by a second instance in time' }
    writeDecision(this.#context, this.#request, this.#endpoint, 'outcome found by request id')
    return answer({ kind: 'ok', affectedRows: record.affectedRows, insertId: record.insertId, position, transactionId: null })
  }

  #convertFailure (failure: NonNullable<Result['failure']>): Attempt {
    if (isNotRunError(failure.errno)) return { kind: 'notRun', frame: refuse('notRunRetry', failure.message) }
    return answer(failure)
  }

  async #rollBack (attempt: Attempt): Promise<Attempt> {
    await this.#send('ROLLBACK')
    return attempt
  }

  async #send (text: string): Promise<Result> {
    const result: Result = { header: null, rows: [], failure: null }
    for await (const part of runCancellable(this.#context, this.#request, this.#connection, text, this.#endMs - this.#context.clock.readNow())) {
      if (part.kind === 'header') result.header = part.header
      if (part.kind === 'rows' && result.rows.length === 0) result.rows = part.rows
      if (part.kind === 'failed') result.failure = part
    }
    return result
  }
}

async function runAttempt (context: ServingContext, request: AcceptedRequest, endpoint: string): Promise<Attempt> {
  const lease = await acquireLease(context, request, endpoint, false)
  if (!lease.granted) return { kind: 'notSent', frame: makeRefusal('notRunRetry', lease.reason, lease.retryAfterMs), isOverload: lease.isOverload }
  const { connection } = lease
  const ended = await new NamedWriteAttempt(context, request, endpoint, connection).run()
  if (connection.isInTransaction()) connection.close()
  lease.release(connection.isReusable())
  if (!('committed' in ended)) return ended
  const { affectedRows, insertId } = ended.committed
  const position = ended.position === null
    ? await confirmVisible(context, request, endpoint)
    : await confirmCommit(context, request, ended.position)
  if (position === null) return { kind: 'inDoubt', reason: 'the write was not confirmed by a second instance in time' }
  return answer({ kind: 'ok', affectedRows, insertId, position, transactionId: null })
}

/** Creates the table of records when it is missing, and tries again. */
async function runWithTable (context: ServingContext, request: AcceptedRequest, endpoint: string): Promise<Attempt> {
  const attempt = await runAttempt(context, request, endpoint)
  if (attempt.kind !== 'noTable') return attempt
  await runOwnStatement(context, endpoint, formatRecordTable())
  return await runAttempt(context, request, endpoint)
}

async function runAtPrimary (context: ServingContext, request: AcceptedRequest): Promise<Attempt> {
  const primary = await waitPrimary(context, request, request.required)
  if (primary === undefined) {
    return { kind: 'notSent', frame: makeRefusal('notRunRetry', 'no primary', context.group.estimateRecoveryMs()), isOverload: true }
  }
  const attempt = await runWithTable(context, request, primary.endpoint)
  writeDecision(context, request, primary.endpoint, `named write: ${attempt.kind}`)
  if (++namedWrites % CLEANUP_EVERY === 0) runOwnStatement(context, primary.endpoint, formatRecordCleanup(Date.now()))
  return attempt
}

function describeEnd (attempt: Exclude<Attempt, { kind: 'answer' }>, doubt: string | null): AnswerFrame {
  if (doubt !== null) return refuse('outcomeUnknown', `${doubt}; the same request id may be repeated`)
  if (attempt.kind === 'notRun' || attempt.kind === 'notSent') return attempt.frame
  return refuse('notRunRetry', 'the table of write records is missing')
}

/**
 * Runs a write that the caller has named. Its record and the write commit together, and the record's
 * key lets a name commit once; so an attempt whose answer was lost is repeated at the current primary,
 * where it either finds the earlier outcome or is the one that runs.
 */
export async function * runNamedWrite (context: ServingContext, request: AcceptedRequest): AsyncGenerator<AnswerFrame, void, void> {
  if (canCommitImplicitly(request.text)) {
    yield refuse('notRunDenied', 'only INSERT, UPDATE, DELETE and REPLACE may carry a request id')
    return
  }
  recordRequest(context.budget)
  let doubt: string | null = null
  for (;;) {
    const attempt = await runAtPrimary(context, request)
    if (attempt.kind === 'answer') {
      yield attempt.frame
      return
    }
    if (attempt.kind === 'inDoubt') doubt = attempt.reason
    const canRetry = attempt.kind === 'notSent' ? !attempt.isOverload : spendRetry(context.budget)
    if (computeTimeLeftMs(context, request) <= 0 || !canRetry) {
      yield describeEnd(attempt, doubt)
      return
    }
    await context.waitChange(Math.min(RETRY_WAIT_MS, Math.max(1, computeTimeLeftMs(context, request))))
  }
}
