import type { Endpoint, LogPosition } from '@camphorpitch/wire'
import { hasRequiredPosition } from './confirm-position.ts'
import { computeTimeLeftMs, type AcceptedRequest, type ServingContext } from './serving-context.ts'

const RECHECK_INTERVAL_MS = 50

/** Waits for a primary that holds `required`; `undefined` when none was found before the request's deadline, or when the group is not expected to recover before it. */
export async function waitForPrimary (context: ServingContext, request: AcceptedRequest, required: LogPosition | null): Promise<Endpoint | undefined> {
  for (;;) {
    const primary = context.group.findPrimary()
    if (primary !== undefined) {
      const isUsable = required === null || await hasRequiredPosition(context, request, primary.endpoint.endpoint, required)
      if (isUsable) return primary.endpoint
    }
    const timeLeftMs = computeTimeLeftMs(context, request)
    if (timeLeftMs <= 0 || context.group.estimateRecoveryMs() > timeLeftMs) return undefined
    await context.waitForChange(Math.min(timeLeftMs, RECHECK_INTERVAL_MS))
  }
}
