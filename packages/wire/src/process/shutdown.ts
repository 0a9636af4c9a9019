import { flushLogs } from './logger.ts'

/** A reader of the log that has stopped does not keep the process. */
const LOG_FLUSH_TIMEOUT_MS = 50

/**
 * Runs `stop` at the first SIGTERM or SIGINT, then exits with 0, or with 1 if `stop` fails.
 *
 * @returns what begins the same stop because of an error; the process then exits with 1
 * @example const stopAfterError = handleShutdown(async () => { await server.close() })
 */
export function handleShutdown (stop: () => Promise<void>): () => void {
  let isStopping = false
  const finish = async (code: number): Promise<void> => {
    await flushLogs(LOG_FLUSH_TIMEOUT_MS)
    process.exit(code)
  }
  const beginShutdown = (code: number): void => {
    if (isStopping) return
    isStopping = true
    stop().then(async () => await finish(code), async () => await finish(1))
  }
  process.on('SIGTERM', () => beginShutdown(0))
  process.on('SIGINT', () => beginShutdown(0))
  return () => beginShutdown(1)
}
