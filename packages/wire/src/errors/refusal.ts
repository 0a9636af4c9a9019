import { z } from 'zod'

/** Error numbers that callers see. Each states whether the statement ran. */
export const RefusalCode = {
  /** Not run; the same statement may be sent again after `retryAfterMs`. */
  notRunRetry: 5101,
  /** Not run, and will not be: the contract, the key or the statement forbids it. */
  notRunDenied: 5102,
  /** May have run, entirely or not at all. */
  outcomeUnknown: 5103,
  /** Not committed: the transaction is gone and left nothing behind. */
  transactionLost: 5104
} as const

export const refusalSchema = z.object({
  kind: z.enum(['notRunRetry', 'notRunDenied', 'outcomeUnknown', 'transactionLost']),
  reason: z.string(),
  /** Milliseconds after which a repeat is worthwhile. */
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
 * The message that goes to the caller, in ASCII.
 *
 * @example formatRefusal({ kind: 'notRunRetry', reason: 'rate', retryAfterMs: 120 })
 * // 'camphorpitch: not run: rate; retry after 120 ms'
 */
export function formatRefusal (refusal: Refusal): string {
  const retry = refusal.retryAfterMs === undefined ? '' : `; retry after ${Math.ceil(refusal.retryAfterMs)} ms`
  const text = `camphorpitch: ${textsByKind[refusal.kind]}: ${refusal.reason}${retry}`
  return text.replace(/\s*\n\s*/g, ': ').replace(/[^\x20-\x7e]/g, '?')
}

/** Reads `retryAfterMs` back from a caller's error message; `null` when it names none. */
export function parseRetryAfterMs (message: string): number | null {
  const match = /retry after (\d+) ms/.exec(message)
  return match === null ? null : Number(match[1])
}
