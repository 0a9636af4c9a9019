import { describeError, parseCommitInfo, recordRequest, spendRetry, type AnswerFrame } from '@camphorpitch/wire'
import type { ResultHeader, ResultPart } from '../pool/part-queue.ts'
import { isNotRunError } from '../retries/classify-failure.ts'
import { confirmCommit, confirmVisible } from './confirm-position.ts'
import { makeRefusal } from './frames.ts'
import { acquireLease, runOnConnection } from './run-on-connection.ts'
import { computeTimeLeftMs, writeDecision, type AcceptedRequest, type ServingContext } from './serving-context.ts'
import { waitPrimary } from './wait-primary.ts'

const MAX_RETRY_DELAY_MS = 50

/** Turns an OK packet into the answer, once the commit is durable. */
export async function confirmHeader (context: ServingContext, request: AcceptedRequest, endpoint: string, header: ResultHeader): Promise<AnswerFrame> {
  const commitPosition = parseCommitInfo(header.info)
  const position = commitPosition === null
    ? await confirmVisible(context, request, endpoint)
    : await confirmCommit(context, request, commitPosition)
  if (position === null) return makeRefusal('outcomeUnknown', 'the write was not confirmed by a second instance in time')
  return { kind: 'ok', affectedRows: header.affectedRows, insertId: header.insertId, position, transactionId: null }
}

/** The caller has its answer; or the statement surely was not run, and `hasReached` tells whether it was sent. */
type AttemptOutcome = 'answered' | { notRun: AnswerFrame, hasBeenSent: boolean }

async function * convertPart (context: ServingContext, request: AcceptedRequest, endpoint: string, part: ResultPart): AsyncGenerator<AnswerFrame, void, void> {
  if (part.kind === 'header') {
    yield await confirmHeader(context, request, endpoint, part.header)
    return
  }
  if (part.kind !== 'end') {
    yield part
    return
  }
  const position = await confirmVisible(context, request, endpoint)
  if (position === null) {
    yield makeRefusal('outcomeUnknown', 'the statement was not confirmed by a second instance in time')
    return
  }
  yield { kind: 'end' }
  yield { kind: 'position', position }
}

async function * attemptWrite (context: ServingContext, request: AcceptedRequest, endpoint: string): AsyncGenerator<AnswerFrame, AttemptOutcome, void> {
  const lease = await acquireLease(context, request, endpoint, false)
  if (!lease.granted) {
    const refusal = makeRefusal('notRunRetry', lease.reason, lease.retryAfterMs)
    if (!lease.isOverload) return { notRun: refusal, hasBeenSent: false }
    yield refusal
    return 'answered'
  }
  try {
    for await (const part of runOnConnection(context, request, lease)) {
      if (part.kind === 'failed' && isNotRunError(part.errno)) {
        return { notRun: makeRefusal('notRunRetry', part.message, context.group.estimateRecoveryMs()), hasBeenSent: true }
      }
      yield * convertPart(context, request, endpoint, part)
    }
    return 'answered'
  } catch (error) {
    yield makeRefusal('outcomeUnknown', describeError(error))
    return 'answered'
  }
}

/** Runs a write on the primary; it is sent again only when it surely was not run. */
export async function * runWrite (context: ServingContext, request: AcceptedRequest): AsyncGenerator<AnswerFrame, void, void> {
  recordRequest(context.budget)
  for (;;) {
    const primary = await waitPrimary(context, request, request.required)
    if (primary === undefined) {
      yield makeRefusal('notRunRetry', 'no primary', context.group.estimateRecoveryMs())
      return
    }
    writeDecision(context, request, primary.endpoint, 'primary')
    const outcome = yield * attemptWrite(context, request, primary.endpoint)
    if (outcome === 'answered') return
    if (computeTimeLeftMs(context, request) <= 0 || (outcome.hasBeenSent && !spendRetry(context.budget))) {
      yield outcome.notRun
      return
    }
    await context.waitChange(Math.min(MAX_RETRY_DELAY_MS, Math.max(1, computeTimeLeftMs(context, request))))
  }
}
