import type { Clock, Logger } from '@camphorpitch/wire'
import type { ClientSession } from '../sessions/client-session.ts'
import { countByActivity, type SessionEnding } from '../sessions/session-end.ts'
import { createRetryRefusal } from '../statements/operation.ts'
import { waitFor } from '../runtime/wait-at-most.ts'

/** Time in which the load balancer removes a VM that is not ready: two readiness checks a second apart, and their latency. */
const BALANCER_REMOVAL_MS = 2_500
/** The drain ends once no session has been open for this long: a client may be connecting in the meantime. */
const NO_SESSION_GRACE_MS = 300
/** A session idle for less than this is not ended yet: its client is likely to send the next statement now. */
const MIN_IDLE_BEFORE_END_MS = 50
/** A connection that was opened less than this ago is not ended yet: its client is about to start its session. */
const MIN_STARTUP_WAIT_MS = 300
/**
 * Fraction of the grace period within which open transactions may end by themselves. Connections that have not started a
 * session at a check after it are refused, so that there is time to end those that have.
 */
const TRANSACTION_GRACE_FRACTION = 0.5
/** Fraction of the grace period after which no operation begins any more. */
const ADMISSION_FRACTION = 0.85
/** Fraction of the grace period after which running statements are no longer waited for. The process is killed at its end. */
const STATEMENT_FRACTION = 0.93
/** Time for the last responses to reach the clients. */
const FLUSH_MS = 100
const MIN_CLOSE_TIMEOUT_MS = 100
const CHECK_INTERVAL_MS = 50

type DrainedSession = Pick<ClientSession, 'activity' | 'isBusy' | 'idleMs' | 'end' | 'endTransaction' | 'refuseStartup' | 'stopAdmission' | 'terminate' | 'destroy'>

export interface DrainOptions {
  clock: Clock
  logger: Logger
  /** Time at which the stop began, in milliseconds. */
  startedAtMs: number
  /** Time from then until the process is killed, in milliseconds. */
  graceMs: number
  listSessions: () => DrainedSession[]
  /** Waits for the given time; tests replace it together with the clock. */
  pause?: (ms: number) => Promise<void>
}

/**
 * Ends all sessions without interrupting a statement. Once the load balancer sends no new clients, idle clients are
 * told that their session ends, and busy ones when their statement or transaction has ended. Transactions that are still
 * open after their fraction of the grace period are ended.
 */
export async function drainSessions ({ clock, logger, startedAtMs, graceMs, listSessions, pause = waitFor }: DrainOptions): Promise<void> {
  const hasElapsed = (afterMs: number): boolean => clock.readNow() - startedAtMs >= afterMs
  const ending = createStopEnding(() => startedAtMs + graceMs * ADMISSION_FRACTION - clock.readNow())
  logger.info('draining', { sessions: listSessions().length, activities: countByActivity(listSessions()), graceMs })
  let noSessionSinceMs = startedAtMs + BALANCER_REMOVAL_MS
  while (!hasElapsed(graceMs * ADMISSION_FRACTION)) {
    const sessions = listSessions()
    if (sessions.length > 0) noSessionSinceMs = Math.max(noSessionSinceMs, clock.readNow())
    if (clock.readNow() - noSessionSinceMs >= NO_SESSION_GRACE_MS) break
    if (hasElapsed(BALANCER_REMOVAL_MS)) for (const s of sessions) if (s.isBusy || s.idleMs >= readMinIdleMs(s)) s.end(ending)
    if (hasElapsed(graceMs * TRANSACTION_GRACE_FRACTION)) {
      for (const s of sessions) {
        s.refuseStartup(ending)
        s.endTransaction('the VM stops')
      }
    }
    await pause(CHECK_INTERVAL_MS)
  }
  logger.info('drain finished', { left: listSessions().length, waitedFor: countByActivity(listSessions()), durationMs: Math.round(clock.readNow() - startedAtMs) })
}

/**
 * Ends the sessions that the drain has left, before the process is killed. No operation begins any more; statements
 * that are running are waited for until shortly before the end of the grace period, and then answered without their
 * outcome.
 */
export async function finishSessions ({ clock, logger, startedAtMs, graceMs, listSessions, pause = waitFor }: DrainOptions): Promise<void> {
  const deadlineMs = startedAtMs + graceMs * STATEMENT_FRACTION
  const ending = createStopEnding(() => deadlineMs - clock.readNow())
  while (listSessions().length > 0 && clock.readNow() < deadlineMs - FLUSH_MS) {
    for (const s of listSessions()) s.stopAdmission(ending)
    await pause(CHECK_INTERVAL_MS)
  }
  const left = listSessions()
  if (left.length > 0) logger.warn('sessions ended with the process', { waitedFor: countByActivity(left) })
  for (const s of left) s.terminate()
  while (listSessions().length > 0 && clock.readNow() < deadlineMs) await pause(CHECK_INTERVAL_MS)
  for (const s of listSessions()) s.destroy()
}

/** Computes how much of the grace period is left until no step of a stop is waited for any more, in milliseconds. */
export function computeStopTimeLeftMs ({ clock, startedAtMs, graceMs }: Pick<DrainOptions, 'clock' | 'startedAtMs' | 'graceMs'>): number {
  return Math.max(0, startedAtMs + graceMs * STATEMENT_FRACTION - clock.readNow())
}

/** Half of the time that is left is for the client to close, and half of the rest for its connection to end. */
function createStopEnding (computeTimeLeftMs: () => number): SessionEnding {
  const { refusal } = createRetryRefusal('busy', 'the VM stops', 0)
  return { cause: 'drain', error: refusal, computeTimeoutMs: () => Math.max(MIN_CLOSE_TIMEOUT_MS, computeTimeLeftMs() / 2) }
}

function readMinIdleMs ({ activity }: DrainedSession): number {
  return activity === 'notStarted' ? MIN_STARTUP_WAIT_MS : MIN_IDLE_BEFORE_END_MS
}
