/**
 * Tokens for operations that a VM admits while no counting VM responds. They become available at the VM's usual rate, which the
 * counting VMs leave to it once they find it silent.
 *
 * The first token comes after a random part of the usual interval, so that all VMs together admit their usual number from the start on:
 * in a fleet of 71 VMs, one operation of each at once is more than the excess that a small limit tolerates.
 */
export interface UnansweredTokens {
  count: number
  /** Tokens that were given at once so far. */
  part: number
  updatedAtMs: number
}

/**
 * @param random a number in [0, 1)
 * @example createUnansweredTokens(Math.random(), nowMs)
 */
export function createUnansweredTokens (random: number, nowMs: number): UnansweredTokens {
  return { count: random, part: 0, updatedAtMs: nowMs }
}

/**
 * Adds the tokens that have become available since the last call, and what may be given at once beyond what was given so far.
 *
 * @param usualPerMs the VM's usual rate, in operations per millisecond
 * @param part operations that the VM may admit at once, as far as is known now; may be less than one
 */
export function updateUnansweredTokens (tokens: UnansweredTokens, usualPerMs: number, part: number, nowMs: number): void {
  const gain = Math.max(0, part - tokens.part)
  tokens.part += gain
  tokens.count = Math.min(computeMaxTokens(tokens), tokens.count + gain + usualPerMs * (nowMs - tokens.updatedAtMs))
  tokens.updatedAtMs = nowMs
}

/** Takes a token for an operation. @returns whether there was one */
export function spendUnansweredToken (tokens: UnansweredTokens): boolean {
  if (tokens.count < 1) return false
  tokens.count--
  return true
}

/** Adds the token of an operation that a counting VM has counted after all. */
export function restoreUnansweredToken (tokens: UnansweredTokens): void {
  tokens.count = Math.min(computeMaxTokens(tokens), tokens.count + 1)
}

function computeMaxTokens ({ part }: UnansweredTokens): number {
  return 1 + part
}
