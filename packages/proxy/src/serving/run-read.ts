import { describeError, recordRequest, spendRetry, type ResponseFrame } from '@camphorpitch/wire'
import type { ReadTarget } from '../routing/select-read-target.ts'
import { isNotRunError } from '../retries/classify-failure.ts'
import { confirmVisibleOnReplica, confirmVisibleOnPrimary } from './confirm-position.ts'
import { findReadTarget } from './find-read-target.ts'
import { makeRefusal } from './frames.ts'
import { acquireLease, runOnConnection } from './run-on-connection.ts'
import { computeTimeLeftMs, logRoutingDecision, type AcceptedRequest, type ServingContext } from './serving-context.ts'

type InstanceTarget = Extract<ReadTarget, { kind: 'instance' }>

/**
 * How one attempt ended. It is final when the whole response, or a refusal, was yielded. Otherwise the
 * client has received nothing yet, and `frame` is the refusal to send if the read is not repeated.
 * `hasRun` is true when the read may have run. `hasBeenSent` is false when no statement was sent, so
 * that repeating the read adds no load on the endpoint.
 */
type AttemptOutcome = { isFinal: true } | { isFinal: false, frame: ResponseFrame, hasRun: boolean, hasBeenSent: boolean }

/** A result of at most this many frames is buffered until it is confirmed, so that the read can be repeated without sending the client two results. */
const MAX_BUFFERED_FRAMES = 2

/** Waits until all entries that the read can have seen survive any change of primary. */
function confirmRead (context: ServingContext, request: AcceptedRequest, target: InstanceTarget) {
  const confirm = target.isPrimary ? confirmVisibleOnPrimary : confirmVisibleOnReplica
  return confirm(context, request, target.endpoint)
}

/** Runs the read on one instance; yields `end` only after the entries it read are known to survive a change of primary. */
async function * attemptRead (context: ServingContext, request: AcceptedRequest, target: InstanceTarget): AsyncGenerator<ResponseFrame, AttemptOutcome, void> {
  const lease = await acquireLease(context, request, target.endpoint, false)
  if (!lease.granted) return { isFinal: false, hasRun: false, hasBeenSent: false, frame: makeRefusal('notRunRetry', lease.reason, lease.retryAfterMs) }
  let bufferedFrames: ResponseFrame[] | null = []
  let failure: ResponseFrame | undefined
  try {
    for await (const part of runOnConnection(context, request, lease)) {
      if (part.kind === 'header' || part.kind === 'end') continue
      if (part.kind === 'failed') failure = part
      if (part.kind === 'failed' && bufferedFrames !== null && isNotRunError(part.errno)) {
        return { isFinal: false, hasRun: false, hasBeenSent: true, frame: makeRefusal('notRunRetry', part.message, context.group.estimateRecoveryMs()) }
      }
      if (bufferedFrames !== null && bufferedFrames.length < MAX_BUFFERED_FRAMES) {
        bufferedFrames.push(part)
        continue
      }
      if (bufferedFrames !== null) yield * bufferedFrames
      bufferedFrames = null
      yield part
    }
  } catch (error) {
    failure = makeRefusal('outcomeUnknown', `${describeError(error)}; reads may be repeated`)
    if (bufferedFrames !== null) return { isFinal: false, hasRun: true, hasBeenSent: true, frame: failure }
    yield failure
    return { isFinal: true }
  }
  return yield * finishRead(context, request, target, bufferedFrames, failure)
}

/** Confirms the read after its last part; yields the buffered frames unless the read has to be repeated. */
async function * finishRead (context: ServingContext, request: AcceptedRequest, target: InstanceTarget, bufferedFrames: ResponseFrame[] | null, failure: ResponseFrame | undefined): AsyncGenerator<ResponseFrame, AttemptOutcome, void> {
  if (failure !== undefined) {
    if (bufferedFrames !== null) yield * bufferedFrames
    return { isFinal: true }
  }
  const confirmedPosition = await confirmRead(context, request, target)
  if (confirmedPosition === null) {
    const frame = makeRefusal('outcomeUnknown', 'the read was not confirmed in time; reads may be repeated')
    if (bufferedFrames !== null) return { isFinal: false, hasRun: true, hasBeenSent: true, frame }
    yield frame
    return { isFinal: true }
  }
  if (bufferedFrames !== null) yield * bufferedFrames
  yield { kind: 'end' }
  yield { kind: 'position', position: confirmedPosition }
  return { isFinal: true }
}

/** Runs a read on a replica or the primary; a read that has yielded nothing yet may be repeated on another instance. */
export async function * runRead (context: ServingContext, request: AcceptedRequest): AsyncGenerator<ResponseFrame, void, void> {
  recordRequest(context.retryBudget)
  const excluded = new Set<string>()
  let refusal: ResponseFrame | undefined
  let hasRun = false
  for (;;) {
    const target = await findReadTarget(context, request, excluded)
    if (target.kind === 'none') {
      yield hasRun && refusal !== undefined ? refusal : makeRefusal('notRunRetry', target.reason, context.group.estimateRecoveryMs())
      return
    }
    logRoutingDecision(context, request, target.endpoint, target.reason)
    const outcome = yield * attemptRead(context, request, target)
    if (outcome.isFinal) return
    // Once an attempt may have run, the refusal must not become one that says that the read has not run.
    if (refusal === undefined || outcome.hasRun || !hasRun) refusal = outcome.frame
    hasRun ||= outcome.hasRun
    excluded.add(target.endpoint)
    const canRetry = excluded.size < context.group.listInstances().length && computeTimeLeftMs(context, request) > 0
    if (!canRetry || (outcome.hasBeenSent && !spendRetry(context.retryBudget))) {
      yield refusal
      return
    }
  }
}
