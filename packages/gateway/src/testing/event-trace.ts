import { createLogger, type Clock, type Logger } from '@camphorpitch/wire'

/** Whether tests of promotions print their events. */
const IS_TRACING = process.env.PROMOTION_TRACE === '1'

/** Prints an event of a simulation with its time, if `PROMOTION_TRACE=1` is set. */
export function printEvent (clock: Clock, source: string, event: string, details: object = {}): void {
  if (IS_TRACING) console.log(`${Math.round(clock.readNow()).toString().padStart(6)} ms  ${source.padEnd(5)} ${event}${formatDetails(details)}`)
}

/** Creates the logger of a simulation: silent, or one that prints events. */
export function createTraceLogger (clock: Clock): Logger {
  const silent = createLogger({ process: 'test', level: 'silent' })
  return IS_TRACING ? createPrintingLogger(clock, silent, '') : silent
}

function createPrintingLogger (clock: Clock, silent: Logger, source: string): Logger {
  const print = (event: string, details: object = {}): void => printEvent(clock, source, event, details)
  const overrides = { info: print, warn: print, error: print, child: ({ vm }: { vm?: string }) => createPrintingLogger(clock, silent, vm ?? source) }
  return Object.assign(Object.create(silent) as Logger, overrides) as Logger
}

function formatDetails (details: object): string {
  const text = JSON.stringify(details)
  return text === '{}' ? '' : ` ${text}`
}
