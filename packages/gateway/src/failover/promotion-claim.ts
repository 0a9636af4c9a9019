import { describeError } from '@camphorpitch/wire'
import { waitFor } from '../runtime/wait-at-most.ts'
import type { Attempt } from './promotion-attempt.ts'

/** Attempts to renew an expired claim, or to clear its order, while the store does not respond. */
const MAX_RENEWAL_ATTEMPTS = 10
const RENEWAL_RETRY_DELAY_MS = 500

/** Writes the claim again if the store has returned from an older copy, or claims the duty again if it has expired. @returns whether this VM holds it; `undefined` if the store did not respond */
export async function updateClaim (attempt: Attempt): Promise<boolean | undefined> {
  const { host, group } = attempt
  if (host.claims.isUsable(attempt.claim)) return true
  try {
    const renewed = await host.claims.ensureUsable(attempt.claim) ?? await host.claims.claim(group.service)
    attempt.claim = renewed ?? attempt.claim
    return renewed !== null
  } catch (error) {
    host.logger.info('renewal of the failover claim failed', { service: group.service, reason: describeError(error) })
    return undefined
  }
}

/** Ensures that this VM holds the claim; retries for some seconds while the store does not respond. @returns whether it does */
export async function ensureClaim (attempt: Attempt): Promise<boolean> {
  const { host, group } = attempt
  for (let attempts = 1; attempts <= MAX_RENEWAL_ATTEMPTS; attempts++) {
    const isHeld = await updateClaim(attempt)
    if (isHeld === true) return true
    if (isHeld === false) {
      host.logger.warn('replicas not resumed, another VM holds the failover claim', { service: group.service })
      return false
    }
    await waitFor(RENEWAL_RETRY_DELAY_MS)
  }
  host.logger.warn('replicas not resumed, the failover claim has expired and the store does not respond', { service: group.service })
  return false
}

/** Clears an order that was recorded but can not take effect, before the replicas are resumed: another VM would rely on it. @returns whether it is cleared */
export async function ensureOrderCleared (attempt: Attempt): Promise<boolean> {
  const { host, group } = attempt
  for (let attempts = 1; attempts <= MAX_RENEWAL_ATTEMPTS; attempts++) {
    try {
      const cleared = await host.claims.removeOrder(attempt.claim)
      attempt.claim = cleared ?? attempt.claim
      if (cleared === null) host.logger.warn('replicas not resumed, another VM holds the failover claim', { service: group.service })
      return cleared !== null
    } catch (error) {
      host.logger.info('clearing the promotion order failed', { service: group.service, reason: describeError(error) })
    }
    await waitFor(RENEWAL_RETRY_DELAY_MS)
  }
  host.logger.warn('replicas not resumed, the promotion order is not cleared and the store does not respond', { service: group.service })
  return false
}
