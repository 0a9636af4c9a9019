import type { Clock, Logger } from '@camphorpitch/wire'
import type { ClientSession } from '../sessions/client-session.ts'
import { waitFor } from '../runtime/wait-at-most.ts'

/** Time in which the balancer takes an unready VM out, in milliseconds: two questions, a second apart, and their way. */
const BALANCER_REMOVAL_MS = 2_500
/** The VM ends once no session has been open for this long, in milliseconds: a client may be connecting. */
const NO_SESSION_GRACE_MS = 300
/** A session that was idle for less is likely to be sent its next statement now, in milliseconds. */
const MIN_IDLE_BEFORE_CLOSE_MS = 50
/** Part of the grace period in which open transactions may end. */
const TRANSACTION_GRACE_FRACTION = 0.5
/** The process ends this long before it is killed, in milliseconds. */
const KILL_MARGIN_MS = 500
const CHECK_INTERVAL_MS = 50

export interface DrainOptions {
  clock: Clock
  logger: Logger
  graceMs: number
  listSessions: () => Array<Pick<ClientSession, 'isBusy' | 'idleMs' | 'closeWhenIdle' | 'endTransaction'>>
  /** Lets time pass; a test replaces it together with the clock. */
  pause?: (ms: number) => Promise<void>
}

/**
 * Ends all sessions without cutting a statement: idle ones once no new ones come, others when what they run ends,
 * transactions after their part of the grace period.
 */
export async function drainSessions ({ clock, logger, graceMs, listSessions, pause = waitFor }: DrainOptions): Promise<void> {
  const startedAtMs = clock.readNow()
  const hasElapsed = (afterMs: number): boolean => clock.readNow() - startedAtMs >= afterMs
  logger.info('draining', { sessions: listSessions().length, graceMs })
  let noSessionSinceMs = startedAtMs + BALANCER_REMOVAL_MS
  while (!hasElapsed(graceMs - KILL_MARGIN_MS)) {
    const sessions = listSessions()
    if (sessions.length > 0) noSessionSinceMs = Math.max(noSessionSinceMs, clock.readNow())
    if (clock.readNow() - noSessionSinceMs >= NO_SESSION_GRACE_MS) break
    if (hasElapsed(BALANCER_REMOVAL_MS)) for (const s of sessions) if (s.isBusy || s.idleMs >= MIN_IDLE_BEFORE_CLOSE_MS) s.closeWhenIdle()
    if (hasElapsed(graceMs * TRANSACTION_GRACE_FRACTION)) for (const s of sessions) s.endTransaction('the VM stops')
    await pause(CHECK_INTERVAL_MS)
  }
  logger.info('drained', { left: listSessions().length, durationMs: Math.round(clock.readNow() - startedAtMs) })
}
