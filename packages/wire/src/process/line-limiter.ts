import winston from 'winston'

/** Lines of one message that are written in a second, at levels below `warn`. */
const MAX_LINES_PER_WINDOW = 200
const WINDOW_MS = 1_000

/**
 * Limits how many lines of one message are written in a second; the next line after it carries the number left out.
 * Warnings and errors always pass.
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
  counts: Map<string, { startedAtMs: number, lines: number }>
  readNow: () => number
}

/** @example winston.format.combine(limitLines(createLineLimits()), winston.format.json()) */
export function createLineLimiterState (readNow: () => number = () => performance.now()): LineLimiterState {
  return { counts: new Map(), readNow }
}
