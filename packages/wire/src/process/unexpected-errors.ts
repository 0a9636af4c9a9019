import type { Logger } from './logger.ts'

export interface UnexpectedErrorsOptions {
  logger: Pick<Logger, 'error'>
  /** Counts an error by where it came from. */
  recordError: (origin: 'rejection' | 'exception') => void
  /** Begins a planned stop of the process. */
  stop: () => void
}

/**
 * Handles errors that no other code has handled. Each is logged whole and counted.
 *
 * After a promise that rejects without a handler the process goes on: the code that ran ended at an `await`, and nobody relies on its
 * result. An exception that leaves an event handler or a timer may have left state half changed, so the process stops, as at SIGTERM.
 *
 * @example handleUnexpectedErrors({ logger, recordError: origin => counter.inc({ origin }), stop: beginShutdown })
 */
export function handleUnexpectedErrors ({ logger, recordError, stop }: UnexpectedErrorsOptions): void {
  process.on('unhandledRejection', reason => {
    recordError('rejection')
    logger.error('promise rejected without a handler', { error: describeWhole(reason) })
  })
  process.on('uncaughtException', error => {
    recordError('exception')
    logger.error('exception without a handler, the process stops', { error: describeWhole(error) })
    stop()
  })
}

function describeWhole (error: unknown): string {
  return error instanceof Error ? error.stack ?? error.message : String(error)
}
