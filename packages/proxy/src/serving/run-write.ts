import { describeError, parseCommitInfo, recordRequest, spendRetry, type ResponseFrame } from '@camphorpitch/wire'
import type { ResultHeader, ResultPart } from '../pool/result-part-queue.ts'
import { isNotRunError } from '../retries/classify-failure.ts'
import { confirmCommit, confirmVisibleOnPrimary } from './confirm-position.ts'
import { makeRefusal } from './frames.ts'
import { acquireLease, runOnConnection } from './run-on-connection.ts'
import { computeTimeLeftMs, logRoutingDecision, type AcceptedRequest, type ServingContext } from './serving-context.ts'
import { waitForPrimary } from './wait-for-primary.ts'

/** Longest time until a write is sent again if the group does not change before. */
const MAX_RETRY_DELAY_MS = 50

/** Converts an OK packet to the response once the commit is durable, and to a refusal when that is not confirmed before the request's deadline. */
export async function confirmHeader (context: ServingContext, request: AcceptedRequest, endpoint: string, header: ResultHeader): Promise<ResponseFrame> {
  const commitPosition = parseCommitInfo(header.info)
  const position = commitPosition === null
    ? await confirmVisibleOnPrimary(context, request, endpoint)
    : await confirmCommit(context, request, commitPosition)
  if (position === null) return makeRefusal('outcomeUnknown', 'the write was not confirmed by a second instance in time')
  return { kind: 'ok', affectedRows: header.affectedRows, insertId: header.insertId, position, transactionId: null }
}

/** How one attempt ended: the response was sent, or the statement is known not to have run; `hasBeenSent` tells whether it was sent to the endpoint. */
type AttemptOutcome = 'responded' | { notRun: ResponseFrame, hasBeenSent: boolean }

/** Converts a part of the endpoint's response to frames; a `header` or `end` is confirmed first. */
async function * convertPart (context: ServingContext, request: AcceptedRequest, endpoint: string, part: ResultPart): AsyncGenerator<ResponseFrame, void, void> {
  if (part.kind === 'header') {
    yield await confirmHeader(context, request, endpoint, part.header)
    return
  }
  if (part.kind !== 'end') {
    yield part
    return
  }
  const position = await confirmVisibleOnPrimary(context, request, endpoint)
  if (position === null) {
    yield makeRefusal('outcomeUnknown', 'the statement was not confirmed by a second instance in time')
    return
  }
  yield { kind: 'end' }
  yield { kind: 'position', position }
}

async function * attemptWrite (context: ServingContext, request: AcceptedRequest, endpoint: string): AsyncGenerator<ResponseFrame, AttemptOutcome, void> {
  const lease = await acquireLease(context, request, endpoint, false)
  if (!lease.granted) {
    const refusal = makeRefusal('notRunRetry', lease.reason, lease.retryAfterMs)
    if (!lease.isOverload) return { notRun: refusal, hasBeenSent: false }
    yield refusal
    return 'responded'
  }
  try {
    for await (const part of runOnConnection(context, request, lease)) {
      if (part.kind === 'failed' && isNotRunError(part.errno)) {
        return { notRun: makeRefusal('notRunRetry', part.message, context.group.estimateRecoveryMs()), hasBeenSent: true }
      }
      yield * convertPart(context, request, endpoint, part)
    }
    return 'responded'
  } catch (error) {
    yield makeRefusal('outcomeUnknown', describeError(error))
    return 'responded'
  }
}

/** Runs a write on the primary; it is sent again only when it is known not to have run. */
export async function * runWrite (context: ServingContext, request: AcceptedRequest): AsyncGenerator<ResponseFrame, void, void> {
  recordRequest(context.retryBudget)
  for (;;) {
    const primary = await waitForPrimary(context, request, request.required)
    if (primary === undefined) {
      yield makeRefusal('notRunRetry', 'no primary', context.group.estimateRecoveryMs())
      return
    }
    logRoutingDecision(context, request, primary.endpoint, 'primary')
    const outcome = yield * attemptWrite(context, request, primary.endpoint)
    if (outcome === 'responded') return
    if (computeTimeLeftMs(context, request) <= 0 || (outcome.hasBeenSent && !spendRetry(context.retryBudget))) {
      yield outcome.notRun
      return
    }
    await context.waitForChange(Math.min(MAX_RETRY_DELAY_MS, Math.max(1, computeTimeLeftMs(context, request))))
  }
}
