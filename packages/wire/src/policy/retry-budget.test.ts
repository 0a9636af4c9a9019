import { expect } from 'chai'
import fc from 'fast-check'
import { createRetryBudget, recordRequest, spendRetry } from './retry-budget.ts'

const REQUESTS = 2_000

/** Measures the number of attempts per request at an endpoint that fails half of the attempts. */
function measureAttemptsPerRequest (canRetry: () => boolean, recordFirstAttempt: () => void, draws: Iterator<number>): number {
  let attemptCount = 0
  for (let i = 0; i < REQUESTS; i++) {
    recordFirstAttempt()
    for (let attempt = 0; ; attempt++) {
      attemptCount++
      const isFailed = draws.next().value < 50
      if (!isFailed || attempt === 5 || !canRetry()) break
    }
  }
  return attemptCount / REQUESTS
}

describe('retry budget', () => {
  it('keeps the load on a failing endpoint below 1.2 attempts per request, whereas unlimited retries exceed 1.5', () => {
    fc.assert(fc.property(fc.infiniteStream(fc.nat(99)), draws => {
      const budget = createRetryBudget()
      expect(measureAttemptsPerRequest(() => spendRetry(budget), () => recordRequest(budget), draws)).to.be.below(1.2)
      expect(measureAttemptsPerRequest(() => true, () => {}, draws)).to.be.above(1.5)
    }), { numRuns: 50, seed: 7 })
  })
})
