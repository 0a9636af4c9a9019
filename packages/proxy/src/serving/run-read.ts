import { describeError, recordRequest, spendRetry, type AnswerFrame } from '@camphorpitch/wire'
import type { ReadTarget } from '../routing/select-read-target.ts'
import { isNotRunError } from '../retries/classify-failure.ts'
import { confirmReplica, confirmVisible } from './confirm-position.ts'
import { findReadTarget } from './find-read-target.ts'
import { makeRefusal } from './frames.ts'
import { acquireLease, runOnConnection } from './run-on-connection.ts'
import { computeTimeLeftMs, writeDecision, type AcceptedRequest, type ServingContext } from './serving-context.ts'

type InstanceTarget = Extract<ReadTarget, { kind: 'instance' }>

/**
 * How one attempt ended: the caller has its answer, or nothing yet and `frame` says why. `hasReached`
 * is false when no statement was sent, so that a repeat adds no load.
 */
type AttemptEnd = { isFinal: true } | { isFinal: false, frame: AnswerFrame, hasRun: boolean, hasReached: boolean }

/** A result of this many frames is held until it is confirmed, so that the read can be repeated without the caller seeing two answers. */
const MAX_HELD_FRAMES = 2

function confirmRead (context: ServingContext, request: AcceptedRequest, target: InstanceTarget) {
  const confirm = target.isPrimary ? confirmVisible : confirmReplica
  return confirm(context, request, target.endpoint)
}

/** Runs the read on one instance; `end` is sent once all that was seen is known to survive. */
async function * attemptRead (context: ServingContext, request: AcceptedRequest, target: InstanceTarget): AsyncGenerator<AnswerFrame, AttemptEnd, void> {
  const lease = await acquireLease(context, request, target.endpoint, false)
  if (!lease.granted) return { isFinal: false, hasRun: false, hasReached: false, frame: makeRefusal('notRunRetry', lease.reason, lease.retryAfterMs) }
  let held: AnswerFrame[] | null = []
  let failure: AnswerFrame | undefined
  try {
    for await (const part of runOnConnection(context, request, lease)) {
      if (part.kind === 'header' || part.kind === 'end') continue
      if (part.kind === 'failed') failure = part
      if (part.kind === 'failed' && held !== null && isNotRunError(part.errno)) {
        return { isFinal: false, hasRun: false, hasReached: true, frame: makeRefusal('notRunRetry', part.message, context.group.estimateRecoveryMs()) }
      }
      if (held !== null && held.length < MAX_HELD_FRAMES) {
        held.push(part)
        continue
      }
      if (held !== null) yield * held
      held = null
      yield part
    }
  } catch (error) {
    failure = makeRefusal('outcomeUnknown', `${describeError(error)}; reads may be repeated`)
    if (held !== null) return { isFinal: false, hasRun: true, hasReached: true, frame: failure }
    yield failure
    return { isFinal: true }
  }
  return yield * finishRead(context, request, target, held, failure)
}

async function * finishRead (context: ServingContext, request: AcceptedRequest, target: InstanceTarget, held: AnswerFrame[] | null, failure: AnswerFrame | undefined): AsyncGenerator<AnswerFrame, AttemptEnd, void> {
  if (failure !== undefined) {
    if (held !== null) yield * held
    return { isFinal: true }
  }
  const seen = await confirmRead(context, request, target)
  if (seen === null) {
    const frame = makeRefusal('outcomeUnknown', 'the read was not confirmed in time; reads may be repeated')
    if (held !== null) return { isFinal: false, hasRun: true, hasReached: true, frame }
    yield frame
    return { isFinal: true }
  }
  if (held !== null) yield * held
  yield { kind: 'end' }
  yield { kind: 'position', position: seen }
  return { isFinal: true }
}

/** Runs a read on a replica or the primary; a read that has yielded nothing may be repeated elsewhere. */
export async function * runRead (context: ServingContext, request: AcceptedRequest): AsyncGenerator<AnswerFrame, void, void> {
  recordRequest(context.budget)
  const excluded = new Set<string>()
  let refusal: AnswerFrame | undefined
  let hasRun = false
  for (;;) {
    const target = await findReadTarget(context, request, excluded)
    if (target.kind === 'none') {
      yield hasRun && refusal !== undefined ? refusal : makeRefusal('notRunRetry', target.reason, context.group.estimateRecoveryMs())
      return
    }
    writeDecision(context, request, target.endpoint, target.reason)
    const end = yield * attemptRead(context, request, target)
    if (end.isFinal) return
    if (refusal === undefined || end.hasRun || !hasRun) refusal = end.frame
    hasRun ||= end.hasRun
    excluded.add(target.endpoint)
    const canRetry = excluded.size < context.group.listInstances().length && computeTimeLeftMs(context, request) > 0
    if (!canRetry || (end.hasReached && !spendRetry(context.budget))) {
      yield refusal
      return
    }
  }
}
