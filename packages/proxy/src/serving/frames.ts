import type { ResponseFrame, Refusal } from '@camphorpitch/wire'

/**
 * Creates a refusal frame; a negative `retryAfterMs` becomes 0.
 *
 * @example makeRefusal('notRunRetry', 'no primary', 800)
 */
export function makeRefusal (kind: Refusal['kind'], reason: string, retryAfterMs?: number): ResponseFrame {
  const refusal: Refusal = retryAfterMs === undefined ? { kind, reason } : { kind, reason, retryAfterMs: Math.max(0, retryAfterMs) }
  return { kind: 'refused', refusal }
}
