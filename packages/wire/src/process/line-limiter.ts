import winston from 'winston'

/** Lines of one message that are written in a second, at levels below `warn`. */
const LINES_PER_SECOND = 200
const WINDOW_MS = 1_000

/**
 * Limits how many lines of one message are written in a second; the next line after it carries the number left out.
 * Warnings and errors always pass.
 */
export const limitLines = winston.format((info, options) => {
  if (info.level === 'warn' || info.level === 'error') return info
  const { counts, readNow } = options as LineLimits
  const nowMs = readNow()
  const message = String(info.message)
  const count = counts.get(message)
  if (count === undefined || nowMs - count.sinceMs >= WINDOW_MS) {
    counts.set(message, { sinceMs: nowMs, lines: 1 })
    return count !== undefined && count.lines > LINES_PER_SECOND ? { ...info, leftOut: count.lines - LINES_PER_SECOND } : info
  }
  count.lines++
  return count.lines > LINES_PER_SECOND ? false : info
})

interface LineLimits {
  counts: Map<string, { sinceMs: number, lines: number }>
  readNow: () => number
}

/** @example winston.format.combine(limitLines(createLineLimits()), winston.format.json()) */
export function createLineLimits (readNow: () => number = () => performance.now()): LineLimits {
  return { counts: new Map(), readNow }
}
