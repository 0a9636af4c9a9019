/**
 * Token bucket in the form of the generic cell rate algorithm (ITU-T I.371): the level is stored as the time at
 * which the bucket is full. Granted tokens are reserved until it is known when they were spent.
 */
export interface TokenBucket {
  /** Tokens per millisecond. */
  rate: number
  burst: number
  /** Monotonic time at which the bucket is full again, in milliseconds, not counting reserved tokens. */
  fullAtMs: number
  /** Granted tokens of which it is not yet known when they were spent. */
  reserved: number
}

/** Keeps floating-point rounding from hiding a whole token. */
const ROUNDING_TOLERANCE_TOKENS = 1e-9

/**
 * Creates a bucket that is empty at `emptyAtMs` (monotonic time).
 *
 * @example createBucket(0.1, 50, 1_000) // empty at 1,000 ms, full at 1,500 ms
 */
export function createBucket (rate: number, burst: number, emptyAtMs: number): TokenBucket {
  return { rate, burst, fullAtMs: emptyAtMs + burst / rate, reserved: 0 }
}

/** Returns the number of whole tokens that may be granted now; negative if the burst was lowered below what is spent and reserved. */
export function countAvailableTokens (bucket: TokenBucket, nowMs: number): number {
  return Math.floor(computeLevel(bucket, nowMs) + ROUNDING_TOLERANCE_TOKENS)
}

function computeLevel (bucket: TokenBucket, nowMs: number): number {
  const debt = Math.max(0, bucket.fullAtMs - nowMs) * bucket.rate
  return bucket.burst - debt - bucket.reserved
}

export function reserveTokens (bucket: TokenBucket, tokens: number): void {
  bucket.reserved += tokens
}

/** Converts reserved tokens into tokens spent no later than `spentAtMs`, which may be in the past. */
export function spendReservedTokens (bucket: TokenBucket, tokens: number, spentAtMs: number): void {
  bucket.reserved -= tokens
  bucket.fullAtMs = Math.max(bucket.fullAtMs, spentAtMs) + tokens / bucket.rate
}

/** Returns reserved tokens to the bucket that were not spent and will not be. */
export function releaseReservedTokens (bucket: TokenBucket, tokens: number): void {
  bucket.reserved -= tokens
}

/** Changes rate and burst; the tokens that are spent and reserved stay so. */
export function replaceRate (bucket: TokenBucket, rate: number, burst: number, nowMs: number): void {
  const debt = Math.max(0, bucket.fullAtMs - nowMs) * bucket.rate
  bucket.rate = rate
  bucket.burst = burst
  bucket.fullAtMs = nowMs + debt / rate
}

/** Computes the whole milliseconds until a token is available if all reserved tokens are spent; at least 1. */
export function computeRetryAfterMs (bucket: TokenBucket, nowMs: number): number {
  const missingTokens = 1 - computeLevel(bucket, nowMs)
  return Math.max(1, Math.ceil(missingTokens / bucket.rate))
}

/** Returns whether no token is spent or reserved, so that the bucket can be replaced by a new full one. */
export function isFull (bucket: TokenBucket, nowMs: number): boolean {
  return bucket.reserved === 0 && bucket.fullAtMs <= nowMs
}
