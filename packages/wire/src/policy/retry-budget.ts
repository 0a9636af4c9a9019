/**
 * Limits retries to a share of the requests, so that a failing endpoint is not offered much more
 * load than its callers bring.
 */
export interface RetryBudget {
  tokens: number
}

/** Retries allowed for each request, in the long run. */
const RETRIES_PER_REQUEST = 0.1
const MAX_TOKENS = 10

export function createRetryBudget (): RetryBudget {
  return { tokens: MAX_TOKENS }
}

/** Counts a first attempt. */
export function recordRequest (budget: RetryBudget): void {
  budget.tokens = Math.min(MAX_TOKENS, budget.tokens + RETRIES_PER_REQUEST)
}

/** Takes the token for one retry; false when the budget is spent. */
export function spendRetry (budget: RetryBudget): boolean {
  if (budget.tokens < 1) return false
  budget.tokens -= 1
  return true
}
