/**
 * Runs `stop` at the first SIGTERM or SIGINT, then exits with 0, or with 1 if `stop` fails.
 *
 * @example handleShutdown(async () => { await server.close() })
 */
export function handleShutdown (stop: () => Promise<void>): void {
  let isStopping = false
  const beginShutdown = () => {
    if (isStopping) return
    isStopping = true
    stop().then(() => process.exit(0), () => process.exit(1))
  }
  process.on('SIGTERM', beginShutdown)
  process.on('SIGINT', beginShutdown)
}
