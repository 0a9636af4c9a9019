import type { Clock, Logger } from '@camphorpitch/wire'
import type { ClientSession } from '../sessions/client-session.ts'
import { sleep } from '../runtime/wait-at-most.ts'

/** Time in which the balancer takes an unready VM out, in milliseconds: two questions, a second apart. */
const OUT_OF_ROTATION_MS = 2_100
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
  listSessions: () => ClientSession[]
}

/**
 * Ends all sessions without cutting a statement: idle ones once no new ones come, others when what they run ends,
 * transactions after their part of the grace period.
 */
export async function drainSessions ({ clock, logger, graceMs, listSessions }: DrainOptions): Promise<void> {
  const startMs = clock.readNow()
  const isPast = (afterMs: number): boolean => clock.readNow() - startMs >= afterMs
  logger.info('draining', { sessions: listSessions().length, graceMs })
  while (!isPast(graceMs - END_MARGIN_MS)) {
    const sessions = listSessions()
    if (sessions.length === 0 && isPast(OUT_OF_ROTATION_MS)) break
    if (isPast(OUT_OF_ROTATION_MS)) for (const s of sessions) if (s.isBusy || s.idleMs >= SETTLED_IDLE_MS) s.closeWhenIdle()
    if (isPast(graceMs * TRANSACTION_PART)) for (const s of sessions) s.endTransaction('the VM stops')
    await sleep(TICK_MS)
  }
  logger.info('drained', { left: listSessions().length, tookMs: Math.round(clock.readNow() - startMs) })
}
