import { comparePositions } from '@camphorpitch/wire'
import { waitFor } from '../runtime/wait-at-most.ts'
import { ensureNotReplaced } from './check-leadership.ts'
import { RETRY_DELAY_MS, runOnAll, type Attempt } from './promotion-attempt.ts'

/** Time that a replica has to receive the rest of the log; VMs send the primary no writes meanwhile. */
const CATCH_UP_TIMEOUT_MS = 600

/**
 * Waits until a replica outside of all evacuated failure domains has the log of the evacuated primary, before that steps down: afterwards
 * it might send nothing any more, and only an endpoint that is evacuated as well could be promoted.
 *
 * @throws Error if there is none in time; the primary still leads then
 */
export async function waitForCandidateOutside (attempt: Attempt): Promise<void> {
  const { host, group, oldPrimary, replicas } = attempt
  if (oldPrimary === undefined) return
  const deadlineMs = host.clock.readNow() + CATCH_UP_TIMEOUT_MS
  for (;;) {
    const { evacuations } = group
    const outside = replicas.filter(r => !evacuations.has(r.failureDomain))
    const statuses = await runOnAll(attempt, [oldPrimary, ...outside], async c => await c.readStatus())
    ensureNotReplaced(attempt, statuses)
    const primary = statuses.find(s => s.entry === oldPrimary)?.status
    // An endpoint that is no primary any more sends nothing, and what follows compares the logs anyway.
    if (primary?.role === 'replica') return
    if (primary !== undefined && statuses.some(s => s.entry !== oldPrimary && comparePositions(s.status.received, primary.received) >= 0)) return
    if (host.clock.readNow() >= deadlineMs) throw new Error('no endpoint outside of the evacuated failure domains has the whole log of the primary')
    await waitFor(RETRY_DELAY_MS)
  }
}
