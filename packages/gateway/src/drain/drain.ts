import type { Clock, Logger } from '@camphorpitch/wire'
import type { ClientSession } from '../sessions/client-session.ts'
import { countByActivity } from '../sessions/session-end.ts'
import { waitFor } from '../runtime/wait-at-most.ts'

/** Time in which the load balancer removes a VM that is not ready: two readiness checks a second apart, and their latency. */
const BALANCER_REMOVAL_MS = 2_500
/** The drain ends once no session has been open for this long: a client may be connecting in the meantime. */
const NO_SESSION_GRACE_MS = 300
/** A session idle for less than this is not closed yet: its client is likely to send the next statement now. */
const MIN_IDLE_BEFORE_CLOSE_MS = 50
/** Fraction of the grace period within which open transactions may end by themselves. */
const TRANSACTION_GRACE_FRACTION = 0.5
/** The drain ends this long before the grace period does, as the process is killed then. */
const KILL_MARGIN_MS = 500
const CHECK_INTERVAL_MS = 50

export interface DrainOptions {
  clock: Clock
  logger: Logger
  /** Time until the process is killed, in milliseconds. */
  graceMs: number
  listSessions: () => Array<Pick<ClientSession, 'activity' | 'isBusy' | 'idleMs' | 'closeWhenIdle' | 'endTransaction'>>
  /** Waits for the given time; tests replace it together with the clock. */
  pause?: (ms: number) => Promise<void>
}

/**
 * Ends all sessions without interrupting a statement. Once the load balancer sends no new clients, idle sessions are
 * closed, and busy ones when their statement or transaction ends. Transactions that are still open after their fraction
 * of the grace period are ended.
 */
export async function drainSessions ({ clock, logger, graceMs, listSessions, pause = waitFor }: DrainOptions): Promise<void> {
  const startedAtMs = clock.readNow()
  const hasElapsed = (afterMs: number): boolean => clock.readNow() - startedAtMs >= afterMs
  logger.info('draining', { sessions: listSessions().length, activities: countByActivity(listSessions()), graceMs })
  let noSessionSinceMs = startedAtMs + BALANCER_REMOVAL_MS
  while (!hasElapsed(graceMs - KILL_MARGIN_MS)) {
    const sessions = listSessions()
    if (sessions.length > 0) noSessionSinceMs = Math.max(noSessionSinceMs, clock.readNow())
    if (clock.readNow() - noSessionSinceMs >= NO_SESSION_GRACE_MS) break
    if (hasElapsed(BALANCER_REMOVAL_MS)) for (const s of sessions) if (s.isBusy || s.idleMs >= MIN_IDLE_BEFORE_CLOSE_MS) s.closeWhenIdle()
    if (hasElapsed(graceMs * TRANSACTION_GRACE_FRACTION)) for (const s of sessions) s.endTransaction('the VM stops')
    await pause(CHECK_INTERVAL_MS)
  }
  logger.info('drain finished', { left: listSessions().length, waitedFor: countByActivity(listSessions()), durationMs: Math.round(clock.readNow() - startedAtMs) })
}
