import { describeError, parseCommitInfo, recordRequest, spendRetry, type ResponseFrame, type Cell, type LogPosition, type Refusal } from '@camphorpitch/wire'
import type { EndpointConnection } from '../pool/endpoint-connection.ts'
import type { ResultHeader, ResultPart } from '../pool/result-part-queue.ts'
import { confirmCommit, confirmVisibleOnPrimary } from '../serving/confirm-position.ts'
import { makeRefusal } from '../serving/frames.ts'
import { acquireLease, runCancellable } from '../serving/run-on-connection.ts'
import { runSystemStatement } from '../serving/run-system-statement.ts'
import { waitForPrimary } from '../serving/wait-for-primary.ts'
import { computeTimeLeftMs, logRoutingDecision, type AcceptedRequest, type ServingContext } from '../serving/serving-context.ts'
import { canCommitImplicitly } from '../transactions/implicit-commit.ts'
import { isNotRunError } from './classify-failure.ts'
import { formatRecordCleanup, formatRecordInsert, formatRecordQuery, formatRecordTableCreation, formatRecordUpdate, hashStatement, hashWriteName, isDuplicateKey, isMissingTable, parseRecord } from './write-record.ts'

/** Longest wait between two attempts, and the retry-after time of refusals. */
const RETRY_DELAY_MS = 50
/** One in so many named writes also deletes the records that are past their retention. */
const WRITES_PER_RECORD_CLEANUP = 1_000

/** Result of one statement of an attempt. `rows` holds at most the first batch of rows. */
interface StatementResult {
  header: ResultHeader | null
  rows: Cell[][]
  failure: Extract<ResultPart, { kind: 'failed' }> | null
}

/** How one attempt ended: with the final response for the client, or with what the response is based on when no further attempt is made. */
type AttemptOutcome =
  | { kind: 'answer', frame: ResponseFrame }
  /** The write was rolled back or not begun. */
  | { kind: 'notRun', frame: ResponseFrame }
  /** No connection was available, so nothing was sent. */
  | { kind: 'notSent', frame: ResponseFrame, isOverload: boolean }
  /** The commit was sent, but its response was lost or its position was not confirmed as durable. */
  | { kind: 'inDoubt', reason: string }
  /** The table of write records is missing; the transaction was rolled back before the write ran. */
  | { kind: 'noTable' }

let namedWriteCount = 0

function createFinalOutcome (frame: ResponseFrame): AttemptOutcome {
  return { kind: 'answer', frame }
}

function createRefusal (kind: Refusal['kind'], reason: string): ResponseFrame {
  return makeRefusal(kind, reason, kind === 'notRunRetry' ? RETRY_DELAY_MS : undefined)
}

/** One attempt of a named write, on one connection to the primary. */
class NamedWriteAttempt {
  readonly #context: ServingContext
  readonly #request: AcceptedRequest
  readonly #endpoint: string
  readonly #connection: EndpointConnection
  readonly #recordId: string
  /** Halfway to the request's deadline, so that after a lost response there is time to find the outcome. */
  readonly #attemptDeadlineMs: number
  #isCommitSent = false

  constructor (context: ServingContext, request: AcceptedRequest, endpoint: string, connection: EndpointConnection) {
    this.#context = context
    this.#request = request
    this.#endpoint = endpoint
    this.#connection = connection
    this.#attemptDeadlineMs = (context.clock.readNow() + request.deadlineMs) / 2
    this.#recordId = hashWriteName(request.workspace, request.writeId ?? '')
  }

  /** Runs the write and its record in one transaction. When it committed, returns the header of the write's result and the position of the commit. */
  async run (): Promise<AttemptOutcome | { committed: ResultHeader, position: LogPosition | null }> {
    try {
      return await this.#runSteps()
    } catch (error) {
      const reason = describeError(error)
      if (this.#isCommitSent) return { kind: 'inDoubt', reason }
      return { kind: 'notRun', frame: createRefusal('notRunRetry', reason) }
    }
  }

  async #runSteps (): Promise<AttemptOutcome | { committed: ResultHeader, position: LogPosition | null }> {
    const { text } = this.#request
    const beginResult = await this.#send('BEGIN')
    if (beginResult.failure !== null) return this.#convertFailure(beginResult.failure)
    const insertResult = await this.#send(formatRecordInsert(this.#recordId, hashStatement(text), Date.now()))
    if (insertResult.failure !== null) return await this.#handleRecordInsertFailure(insertResult.failure)
    const writeResult = await this.#send(text)
    if (writeResult.failure !== null) return await this.#rollBack(this.#convertFailure(writeResult.failure))
    if (writeResult.header === null) return await this.#rollBack(createFinalOutcome(createRefusal('notRunDenied', 'a named write may not return rows')))
    const updateSql = formatRecordUpdate(this.#recordId, writeResult.header.affectedRows, writeResult.header.insertId)
    if (updateSql !== null) {
      const updateResult = await this.#send(updateSql)
      if (updateResult.failure !== null) return await this.#rollBack(this.#convertFailure(updateResult.failure))
    }
    this.#isCommitSent = true
    const commitResult = await this.#send('COMMIT')
    if (commitResult.failure !== null) return this.#convertFailure(commitResult.failure)
    return { committed: writeResult.header, position: parseCommitInfo(commitResult.header?.info ?? '') }
  }

  /** Rolls back; a duplicate key means that a write with the same request id has already committed. */
  async #handleRecordInsertFailure (failure: NonNullable<StatementResult['failure']>): Promise<AttemptOutcome> {
    await this.#send('ROLLBACK')
    if (isMissingTable(failure.errno)) return { kind: 'noTable' }
    if (!isDuplicateKey(failure.errno)) return { kind: 'notRun', frame: failure }
    return await this.#respondFromRecord()
  }

  /** Creates the response from the record of the earlier attempt that committed. */
  async #respondFromRecord (): Promise<AttemptOutcome> {
    const { rows } = await this.#send(formatRecordQuery(this.#recordId))
    const row = rows[0]
    if (row === undefined) return { kind: 'notRun', frame: createRefusal('notRunRetry', 'the record of the write is gone') }
    const record = parseRecord(row)
    if (record.statement !== hashStatement(this.#request.text)) {
      return createFinalOutcome(createRefusal('notRunDenied', 'the request id was used for another statement'))
    }
    const position = await confirmVisibleOnPrimary(this.#context, this.#request, this.#endpoint)
    if (position === null) return { kind: 'inDoubt', reason: 'the recorded outcome was not confirmed by a second instance in time' }
    logRoutingDecision(this.#context, this.#request, this.#endpoint, 'outcome found by request id')
    return createFinalOutcome({ kind: 'ok', affectedRows: record.affectedRows, insertId: record.insertId, position, transactionId: null })
  }

  #convertFailure (failure: NonNullable<StatementResult['failure']>): AttemptOutcome {
    if (isNotRunError(failure.errno)) return { kind: 'notRun', frame: createRefusal('notRunRetry', failure.message) }
    return createFinalOutcome(failure)
  }

  async #rollBack (outcome: AttemptOutcome): Promise<AttemptOutcome> {
    await this.#send('ROLLBACK')
    return outcome
  }

  async #send (text: string): Promise<StatementResult> {
    const result: StatementResult = { header: null, rows: [], failure: null }
    for await (const part of runCancellable(this.#context, this.#request, this.#connection, text, this.#attemptDeadlineMs - this.#context.clock.readNow())) {
      if (part.kind === 'header') result.header = part.header
      if (part.kind === 'rows' && result.rows.length === 0) result.rows = part.rows
      if (part.kind === 'failed') result.failure = part
    }
    return result
  }
}

/** Runs one attempt and, when it committed, confirms that the commit is durable. */
async function runAttempt (context: ServingContext, request: AcceptedRequest, endpoint: string): Promise<AttemptOutcome> {
  const lease = await acquireLease(context, request, endpoint, false)
  if (!lease.granted) return { kind: 'notSent', frame: makeRefusal('notRunRetry', lease.reason, lease.retryAfterMs), isOverload: lease.isOverload }
  const { connection } = lease
  const result = await new NamedWriteAttempt(context, request, endpoint, connection).run()
  if (connection.isInTransaction()) connection.close()
  lease.release(connection.isReusable())
  if (!('committed' in result)) return result
  const { affectedRows, insertId } = result.committed
  const position = result.position === null
    ? await confirmVisibleOnPrimary(context, request, endpoint)
    : await confirmCommit(context, request, result.position)
  if (position === null) return { kind: 'inDoubt', reason: 'the write was not confirmed by a second instance in time' }
  return createFinalOutcome({ kind: 'ok', affectedRows, insertId, position, transactionId: null })
}

/** Runs an attempt; when the table of write records is missing, creates it and runs another one. */
async function runAttemptEnsuringTable (context: ServingContext, request: AcceptedRequest, endpoint: string): Promise<AttemptOutcome> {
  const outcome = await runAttempt(context, request, endpoint)
  if (outcome.kind !== 'noTable') return outcome
  await runSystemStatement(context, endpoint, formatRecordTableCreation())
  return await runAttempt(context, request, endpoint)
}

/** Deletes the records that are past their retention. A failure is made up for by the next deletion. */
function deleteOldRecords (context: ServingContext, endpoint: string): void {
  runSystemStatement(context, endpoint, formatRecordCleanup(Date.now())).catch((error: unknown) => {
    context.logger.warn('old write records not deleted', { endpoint, error: String(error) })
  })
}

async function runAtPrimary (context: ServingContext, request: AcceptedRequest): Promise<AttemptOutcome> {
  const primary = await waitForPrimary(context, request, request.required)
  if (primary === undefined) {
    return { kind: 'notSent', frame: makeRefusal('notRunRetry', 'no primary', context.group.estimateRecoveryMs()), isOverload: true }
  }
  const outcome = await runAttemptEnsuringTable(context, request, primary.endpoint)
  logRoutingDecision(context, request, primary.endpoint, `named write: ${outcome.kind}`)
  if (++namedWriteCount % WRITES_PER_RECORD_CLEANUP === 0) deleteOldRecords(context, primary.endpoint)
  return outcome
}

/** The response when no further attempt is made. Once any attempt was in doubt, the outcome is unknown. */
function createFinalResponse (outcome: Exclude<AttemptOutcome, { kind: 'answer' }>, inDoubtReason: string | null): ResponseFrame {
  if (inDoubtReason !== null) return createRefusal('outcomeUnknown', `${inDoubtReason}; the same request id may be repeated`)
  if (outcome.kind === 'notRun' || outcome.kind === 'notSent') return outcome.frame
  return createRefusal('notRunRetry', 'the table of write records is missing')
}

/**
 * Runs a named write: a write with a request id, under which it commits at most once. The write and its
 * record commit in one transaction, and the record's primary key is derived from the request id. An
 * attempt whose response was lost is therefore repeated at the current primary, where it either finds
 * the record of the earlier outcome or runs the write. Yields one frame; a failed connection becomes a
 * refusal.
 */
export async function * runNamedWrite (context: ServingContext, request: AcceptedRequest): AsyncGenerator<ResponseFrame, void, void> {
  if (canCommitImplicitly(request.text)) {
    yield createRefusal('notRunDenied', 'only INSERT, UPDATE, DELETE and REPLACE may carry a request id')
    return
  }
  recordRequest(context.retryBudget)
  let inDoubtReason: string | null = null
  for (;;) {
    const outcome = await runAtPrimary(context, request)
    if (outcome.kind === 'answer') {
      yield outcome.frame
      return
    }
    if (outcome.kind === 'inDoubt') inDoubtReason = outcome.reason
    const canRetry = outcome.kind === 'notSent' ? !outcome.isOverload : spendRetry(context.retryBudget)
    if (computeTimeLeftMs(context, request) <= 0 || !canRetry) {
      yield createFinalResponse(outcome, inDoubtReason)
      return
    }
    await context.waitForChange(Math.min(RETRY_DELAY_MS, Math.max(1, computeTimeLeftMs(context, request))))
  }
}
