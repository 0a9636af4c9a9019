import { parseRetryAfterMs, RefusalCode } from '@camphorpitch/wire'
import type { Outcome } from '../measures/sample.ts'

export interface ClassifiedError {
  outcome: Exclude<Outcome, 'ok'>
  reason: string
  retryAfterMs: number | null
  /** Whether the connection can't be used any more. */
  isConnectionLost: boolean
}

interface MysqlError {
  errno?: unknown
  code?: unknown
  message?: unknown
}

const limitReasonPattern = /rate|limit/i
/** Errors from this number on were sent by the server, so the connection still works. */
const MIN_MYSQL_ERRNO = 1_000

/** Classifies the error of a statement by what its client may conclude. */
export function classifyError (error: unknown): ClassifiedError {
  const { errno, code, message } = (error ?? {}) as MysqlError
  const text = String(message ?? error)
  const retryAfterMs = parseRetryAfterMs(text)
  const reason = text.replace(/; retry after \d+ ms$/, '').replace(/^camphorpitch: /, '')
  if (typeof errno !== 'number' || errno < MIN_MYSQL_ERRNO) {
    return { outcome: 'unknown', reason: `connection: ${String(code ?? text)}`, retryAfterMs: null, isConnectionLost: true }
  }
  if (errno === RefusalCode.notRunRetry) {
    return { outcome: limitReasonPattern.test(reason) ? 'limited' : 'refused', reason, retryAfterMs, isConnectionLost: false }
  }
  const outcome = errno === RefusalCode.notRunDenied || errno === RefusalCode.transactionLost
    ? 'refused'
    : errno === RefusalCode.outcomeUnknown ? 'unknown' : 'failed'
  return { outcome, reason, retryAfterMs, isConnectionLost: false }
}
