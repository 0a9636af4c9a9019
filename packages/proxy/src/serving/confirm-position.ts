import type { InstanceStatus, LogPosition } from '@camphorpitch/wire'
import { hasShown, isInTerm, isPairMajority, isShownDurable } from '../routing/instance-contents.ts'
import { computeTimeLeftMs, type AcceptedRequest, type ServingContext } from './serving-context.ts'

/** A position known to survive any change of primary; `null` when that could not be shown in time. */
export type ConfirmedPosition = LogPosition | null

async function waitWithTimeout<Value> (promise: Promise<Value>, timeoutMs: number): Promise<Value | undefined> {
  let timer: NodeJS.Timeout | undefined
  const timeout = new Promise<undefined>(resolve => { timer = setTimeout(resolve, Math.max(1, timeoutMs), undefined) })
  try {
    return await Promise.race([promise, timeout])
  } finally {
    clearTimeout(timer)
  }
}

/** Status of an instance from a probe that begins now; `undefined` when it does not answer in time. */
export async function probeWithTimeout (context: ServingContext, endpoint: string, timeoutMs: number): Promise<InstanceStatus | undefined> {
  try {
    return await waitWithTimeout(context.group.probeInstance(endpoint), timeoutMs)
  } catch {
    return undefined
  }
}

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

/** Waits until all that was visible on the primary when this is called survives any change of primary. */
export async function confirmVisible (context: ServingContext, request: AcceptedRequest, endpoint: string): Promise<ConfirmedPosition> {
  const status = await probeWithTimeout(context, endpoint, computeTimeLeftMs(context, request))
  if (status === undefined) return null
  if (isInTerm(status)) return await confirmCommit(context, request, status.applied)
  if (status.role !== 'primary') return null
  const isDurable = await waitWithTimeout(context.termBarrier.confirm(context, endpoint, status.term), computeTimeLeftMs(context, request))
  return isDurable === true ? status.applied : null
}

/**
 * Waits until all that was visible on a replica when this is called survives any change of primary.
 *
 * An entry that a replica took over in the term it still follows is on the primary as well. In a group
 * of up to three instances those two are a majority, so it survives; larger groups wait for more. A
 * replica that was promoted during the read shows entries that only it holds, so it is asked afterwards.
 */
export async function confirmVisibleOnReplica (context: ServingContext, request: AcceptedRequest, endpoint: string): Promise<ConfirmedPosition> {
  const status = await probeWithTimeout(context, endpoint, computeTimeLeftMs(context, request))
  if (status === undefined || !isShownDurable(status)) return null
  if (isPairMajority(context.group.listInstances().length)) return status.applied
  return await confirmCommit(context, request, status.applied)
}

/** Whether the instance holds `required`, by its last status or by a probe that begins now. */
export async function hasRequiredPosition (context: ServingContext, request: AcceptedRequest, endpoint: string, required: LogPosition): Promise<boolean> {
  const lastStatus = context.group.listInstances().find(i => i.endpoint.endpoint === endpoint)?.status
  if (lastStatus && hasShown(lastStatus, required)) return true
  const status = await probeWithTimeout(context, endpoint, computeTimeLeftMs(context, request))
  return status !== undefined && hasShown(status, required)
}
