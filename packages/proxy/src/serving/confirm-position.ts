import type { InstanceStatus, LogPosition } from '@camphorpitch/wire'
import { hasApplied, isLastAppliedOfCurrentTerm, isPairMajority, isReplicaOfCurrentTerm } from '../routing/instance-contents.ts'
import { computeTimeLeftMs, type AcceptedRequest, type ServingContext } from './serving-context.ts'

/** A position known to survive any change of primary; `null` when this could not be confirmed in time. */
export type ConfirmedPosition = LogPosition | null

/** Resolves with the promise's value, or with `undefined` after `timeoutMs`. */
async function waitWithTimeout<Value> (promise: Promise<Value>, timeoutMs: number): Promise<Value | undefined> {
  let timer: NodeJS.Timeout | undefined
  const timeout = new Promise<undefined>(resolve => { timer = setTimeout(resolve, Math.max(1, timeoutMs), undefined) })
  try {
    return await Promise.race([promise, timeout])
  } finally {
    clearTimeout(timer)
  }
}

/** Returns the status of an instance from a probe that begins now; `undefined` when the instance does not respond within `timeoutMs`. */
export async function probeWithTimeout (context: ServingContext, endpoint: string, timeoutMs: number): Promise<InstanceStatus | undefined> {
  try {
    return await waitWithTimeout(context.group.probeInstance(endpoint), timeoutMs)
  } catch {
    return undefined
  }
}

/** Resolves true once the entry at `position` survives any change of primary; false when that was not confirmed in time. */
async function waitUntilDurable (context: ServingContext, request: AcceptedRequest, position: LogPosition): Promise<boolean> {
  if (position.index === 0) return true
  try {
    return await context.group.waitDurable(position, Math.max(1, computeTimeLeftMs(context, request)))
  } catch {
    return false
  }
}

/** Waits until the commit at `position` survives any change of primary. */
export async function confirmCommit (context: ServingContext, request: AcceptedRequest, position: LogPosition): Promise<ConfirmedPosition> {
  return await waitUntilDurable(context, request, position) ? position : null
}

/** Waits until all entries that were visible on the primary at the time of the call survive any change of primary. */
export async function confirmVisibleOnPrimary (context: ServingContext, request: AcceptedRequest, endpoint: string): Promise<ConfirmedPosition> {
  const status = await probeWithTimeout(context, endpoint, computeTimeLeftMs(context, request))
  if (status === undefined) return null
  if (isLastAppliedOfCurrentTerm(status)) return await confirmCommit(context, request, status.applied)
  if (status.role !== 'primary') return null
  const isDurable = await waitWithTimeout(context.termBarrier.confirm(context, endpoint, status.term), computeTimeLeftMs(context, request))
  return isDurable === true ? status.applied : null
}

/**
 * Waits until all entries that were visible on a replica at the time of the call survive any change of
 * primary. Call it after the read: a replica that was promoted during the read may show entries that
 * only it holds, and its status then tells that it is no longer a replica.
 *
 * An entry that a replica received in the term it still follows is on the primary as well. In a group
 * of up to three instances these two are a majority, so the entry survives. Larger groups wait for
 * more instances.
 */
export async function confirmVisibleOnReplica (context: ServingContext, request: AcceptedRequest, endpoint: string): Promise<ConfirmedPosition> {
  const status = await probeWithTimeout(context, endpoint, computeTimeLeftMs(context, request))
  if (status === undefined || !isReplicaOfCurrentTerm(status)) return null
  if (isPairMajority(context.group.listInstances().length)) return status.applied
  return await confirmCommit(context, request, status.applied)
}

/** Whether the instance holds `required`, according to its last status or to a probe that begins now. */
export async function hasRequiredPosition (context: ServingContext, request: AcceptedRequest, endpoint: string, required: LogPosition): Promise<boolean> {
  const lastStatus = context.group.listInstances().find(i => i.endpoint.endpoint === endpoint)?.status
  if (lastStatus && hasApplied(lastStatus, required)) return true
  const status = await probeWithTimeout(context, endpoint, computeTimeLeftMs(context, request))
  return status !== undefined && hasApplied(status, required)
}
