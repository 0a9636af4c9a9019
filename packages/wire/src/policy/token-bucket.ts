/**
 * Token bucket in the form of the generic cell rate algorithm (ITU-T I.371): one time stands for
 * the level. Tokens in other hands are reserved until it is known when they were spent.
 */
export interface TokenBucket {
  /** Tokens per millisecond. */
  rate: number
  burst: number
  /** Monotonic milliseconds at which the bucket is full again, reservations aside. */
  fullAtMs: number
  /** Tokens granted whose time of use is still unknown. */
  reserved: number
}

/** Rounding slack, in tokens. */
const ROUNDING_TOLERANCE_TOKENS = 1e-9

/** @example createBucket(0.1, 50, 1_000) // empty at 1,000 ms, full at 1,500 ms */
export function createBucket (rate: number, burst: number, emptyAtMs: number): TokenBucket {
  return { rate, burst, fullAtMs: emptyAtMs + burst / rate, reserved: 0 }
}

/** Whole tokens that may be granted now; negative after the burst was lowered. */
export function countAvailable (bucket: TokenBucket, nowMs: number): number {
  return Math.floor(computeLevel(bucket, nowMs) + ROUNDING_TOLERANCE_TOKENS)
}

function computeLevel (bucket: TokenBucket, nowMs: number): number {
  const debt = Math.max(0, bucket.fullAtMs - nowMs) * bucket.rate
  return bucket.burst - debt - bucket.reserved
}

export function reserveTokens (bucket: TokenBucket, tokens: number): void {
  bucket.reserved += tokens
}

/** Turns reserved tokens into tokens spent no later than `spentAtMs`, which may lie in the past. */
export function spendReserved (bucket: TokenBucket, tokens: number, spentAtMs: number): void {
  bucket.reserved -= tokens
  bucket.fullAtMs = Math.max(bucket.fullAtMs, spentAtMs) + tokens / bucket.rate
}

/** Gives back reserved tokens that surely were not and will not be spent. */
export function releaseReserved (bucket: TokenBucket, tokens: number): void {
  bucket.reserved -= tokens
}

/** Keeps what has been spent and reserved. */
export function replaceRate (bucket: TokenBucket, rate: number, burst: number, nowMs: number): void {
  const debt = Math.max(0, bucket.fullAtMs - nowMs) * bucket.rate
  bucket.rate = rate
  bucket.burst = burst
  bucket.fullAtMs = nowMs + debt / rate
}

/** Whole milliseconds until one token is available if all reserved tokens get spent; at least 1. */
export function computeRetryAfterMs (bucket: TokenBucket, nowMs: number): number {
  const missingTokens = 1 - computeLevel(bucket, nowMs)
  return Math.max(1, Math.ceil(missingTokens / bucket.rate))
}

/** True when nothing is owed, so that the bucket equals a fresh full one. */
export function isFull (bucket: TokenBucket, nowMs: number): boolean {
  return bucket.reserved === 0 && bucket.fullAtMs <= nowMs
}
