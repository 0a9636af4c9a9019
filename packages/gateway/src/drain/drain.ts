import type { Clock, Logger } from '@camphorpitch/wire'
import type { ClientSession } from '../sessions/client-session.ts'
import { waitFor } from '../runtime/wait-at-most.ts'

/** Time in which the balancer takes an unready VM out, in milliseconds: two questions, a second apart, and their way. */
const OUT_OF_ROTATION_MS = 2_500
/** The VM ends once no session has been open for this long, in milliseconds: a client may be connecting. */
const NO_SESSION_MS = 300
/** A session that was idle for less is likely to be sent its next statement now, in milliseconds. */
const SETTLED_IDLE_MS = 50
/** Part of the grace period in which open transactions may end. */
const TRANSACTION_PART = 0.5
/** The process ends this long before it is killed, in milliseconds. */
const END_MARGIN_MS = 500
const TICK_MS = 50

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
  const startMs = clock.readNow()
  const isPast = (afterMs: number): boolean => clock.readNow() - startMs >= afterMs
  logger.info('draining', { sessions: listSessions().length, graceMs })
  let emptySinceMs = startMs + OUT_OF_ROTATION_MS
  while (!isPast(graceMs - END_MARGIN_MS)) {
    const sessions = listSessions()
    if (sessions.length > 0) emptySinceMs = Math.max(emptySinceMs, clock.readNow())
    if (clock.readNow() - emptySinceMs >= NO_SESSION_MS) break
    if (isPast(OUT_OF_ROTATION_MS)) for (const s of sessions) if (s.isBusy || s.idleMs >= SETTLED_IDLE_MS) s.closeWhenIdle()
    if (isPast(graceMs * TRANSACTION_PART)) for (const s of sessions) s.endTransaction('the VM stops')
    await pause(TICK_MS)
  }
  logger.info('drained', { left: listSessions().length, tookMs: Math.round(clock.readNow() - startMs) })
}
