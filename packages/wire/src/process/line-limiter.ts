import winston from 'winston'

/** Maximum number of lines with the same message per window, at levels below `warn`. */
const MAX_LINES_PER_WINDOW = 200
const WINDOW_MS = 1_000

/**
 * Limits the number of lines with the same message per window of one second. The first line of the next window has
 * the number of lines left out, as `leftOut`. Warnings and errors are never left out.
 */
export const limitLines = winston.format((info, options) => {
  if (info.level === 'warn' || info.level === 'error') return info
  const { counts, readNow } = options as LineLimiterState
  const nowMs = readNow()
  const message = String(info.message)
  const window = counts.get(message)
  if (window === undefined || nowMs - window.startedAtMs >= WINDOW_MS) {
    counts.set(message, { startedAtMs: nowMs, lines: 1 })
    return window !== undefined && window.lines > MAX_LINES_PER_WINDOW ? { ...info, leftOut: window.lines - MAX_LINES_PER_WINDOW } : info
  }
  window.lines++
  return window.lines > MAX_LINES_PER_WINDOW ? false : info
})

interface LineLimiterState {
  /** Current window of each message, and the number of its lines in the window. */
  counts: Map<string, { startedAtMs: number, lines: number }>
  readNow: () => number
}

/**
 * Creates the options of `limitLines`.
 *
 * @example winston.format.combine(limitLines(createLineLimiterState()), winston.format.json())
 */
export function createLineLimiterState (readNow: () => number = () => performance.now()): LineLimiterState {
  return { counts: new Map(), readNow }
}
