import { z } from 'zod'

/** Error numbers that clients receive. Each states whether the statement was run. */
export const RefusalCode = {
  /** Not run; the same statement can be retried after `retryAfterMs`. */
  notRunRetry: 5101,
  /** Not run, and a retry will be refused too: the contract, the key or the statement itself does not allow it. */
  notRunDenied: 5102,
  /** Either run completely, or not at all; it is not known which. */
  outcomeUnknown: 5103,
  /** Not committed: the transaction was lost, and none of its changes are kept. */
  transactionLost: 5104
} as const

export const refusalSchema = z.object({
  kind: z.enum(['notRunRetry', 'notRunDenied', 'outcomeUnknown', 'transactionLost']),
  reason: z.string(),
  /** Milliseconds after which a retry may succeed. */
  retryAfterMs: z.number().nonnegative().optional()
})
export type Refusal = z.infer<typeof refusalSchema>

const textsByKind: Record<Refusal['kind'], string> = {
  notRunRetry: 'not run',
  notRunDenied: 'not run, not allowed',
  outcomeUnknown: 'outcome unknown',
  transactionLost: 'transaction not committed'
}

/**
 * Formats the error message that the client receives, in ASCII.
 *
 * @example formatRefusal({ kind: 'notRunRetry', reason: 'rate', retryAfterMs: 120 })
 * // 'camphorpitch: not run: rate; retry after 120 ms'
 */
export function formatRefusal (refusal: Refusal): string {
  const retry = refusal.retryAfterMs === undefined ? '' : `; retry after ${Math.ceil(refusal.retryAfterMs)} ms`
  const text = `camphorpitch: ${textsByKind[refusal.kind]}: ${refusal.reason}${retry}`
  return text.replace(/\s*\n\s*/g, ': ').replace(/[^\x20-\x7e]/g, '?')
}

/** Parses `retryAfterMs` from an error message that `formatRefusal` formatted; returns `null` if the message has none. */
export function parseRetryAfterMs (message: string): number | null {
  const match = /retry after (\d+) ms/.exec(message)
  return match === null ? null : Number(match[1])
}
