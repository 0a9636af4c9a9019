import { describeError } from '@camphorpitch/wire'
import { waitFor } from '../runtime/wait-at-most.ts'
import { computeStopTimeLeftMs, type DrainOptions } from './drain.ts'

/**
 * Runs the steps of a stop side by side, and logs when each of them ends. Steps that have not ended before the process
 * is killed are no longer waited for.
 *
 * @param options.minMs how long to wait at least, although the time for the stop is over, in milliseconds
 */
export async function runStopSteps (stop: Pick<DrainOptions, 'clock' | 'logger' | 'startedAtMs' | 'graceMs'>, steps: Record<string, () => Promise<void>>, { minMs = 0 } = {}): Promise<void> {
  const { clock, logger, startedAtMs } = stop
  const pending = new Set(Object.keys(steps))
  const running = Object.entries(steps).map(async ([name, run]) => {
    try {
      await run()
      logger.info(name, { sinceStopMs: Math.round(clock.readNow() - startedAtMs) })
    } catch (error) {
      logger.warn('step of the stop failed', { step: name, reason: describeError(error) })
    }
    pending.delete(name)
  })
  await Promise.race([Promise.all(running), waitFor(Math.max(minMs, computeStopTimeLeftMs(stop)))])
  if (pending.size > 0) logger.warn('stop does not wait for all of its steps', { pending: [...pending], sinceStopMs: Math.round(clock.readNow() - startedAtMs) })
}
