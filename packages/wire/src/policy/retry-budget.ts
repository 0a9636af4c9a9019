/**
 * Limits retries to a fraction of the requests, so that retries do not add much load to a failing endpoint.
 */
export interface RetryBudget {
  tokens: number
}

/** Retries allowed per request, in the long run. */
const RETRIES_PER_REQUEST = 0.1
const MAX_TOKENS = 10

export function createRetryBudget (): RetryBudget {
  return { tokens: MAX_TOKENS }
}

/** Adds the tokens for a request; called once per request, for its first attempt. */
export function recordRequest (budget: RetryBudget): void {
  budget.tokens = Math.min(MAX_TOKENS, budget.tokens + RETRIES_PER_REQUEST)
}

/** Takes the token for one retry; returns false if there is none, so the request must not be retried. */
export function spendRetry (budget: RetryBudget): boolean {
  if (budget.tokens < 1) return false
  budget.tokens -= 1
  return true
}
