import type { EndpointStatus } from '../backend/endpoint-connector.ts'
import type { KnownPrimary } from '../freshness/group-state.ts'
import type { FencedEndpoint } from './decide-promotion.ts'
import { findStrayCall, pickLaterStray } from './order-decisions.ts'
import type { Attempt, EndpointResult } from './promotion-attempt.ts'

/**
 * Checks that no endpoint has a newer term or follows a primary other than the one to be replaced: then another VM has
 * replaced it, and fencing at the attempt's term has no effect. Records the primary that leads.
 *
 * @throws Error if there is one
 */
export function ensureNotReplaced (attempt: Attempt, statuses: ReadonlyArray<{ entry: EndpointResult['entry'] | { endpoint: string }, status: EndpointStatus }>): void {
  const { group, term, knownPrimary, oldPrimary } = attempt
  const leading = statuses.find(({ entry, status }) => status.role === 'primary' && status.term > (knownPrimary?.term ?? 0) && (entry !== oldPrimary || status.term >= term))
  if (leading !== undefined) group.adoptPrimary(leading.entry.endpoint, leading.status.term, 'promotion attempt', true)
  const newer = statuses.find(({ status }) => isNewer(status, term))
  if (leading === undefined && newer === undefined) return
  if (leading === undefined && group.state.primary?.term === knownPrimary?.term) group.resetPrimary()
  const { entry, status } = leading ?? newer!
  closeOrder(attempt, status.term, leading === undefined ? null : leading.entry.endpoint)
  throw new Error(`the primary to be replaced no longer leads: ${entry.endpoint} reports role ${status.role}, term ${status.term}, paused for term ${status.pausedForTerm}; this attempt has term ${term}`)
}

/**
 * Checks that `latest`, which this or another VM takes for the primary, is not a later one than that to be replaced. Records it otherwise.
 * The endpoint to be replaced may itself lead again, at a term above the one that the attempt fences. A replica that this attempt has fenced
 * does not lead.
 *
 * @throws Error if it is later
 */
export function ensureLatestPrimary (attempt: Attempt, latest: KnownPrimary | null, fenced: readonly FencedEndpoint[] = []): void {
  const { group, knownPrimary, replacedTerm } = attempt
  const knownTerm = latest?.endpoint === knownPrimary?.endpoint ? replacedTerm : knownPrimary?.term ?? 0
  if (latest === null || latest.term <= knownTerm) return
  const isFenced = fenced.some(f => f.endpoint === latest.endpoint && !f.isOldPrimary)
  if (isFenced && latest.term <= replacedTerm) return
  group.adoptPrimary(latest.endpoint, latest.term, 'promotion attempt')
  closeOrder(attempt, latest.term, latest.endpoint)
  throw new Error(`the primary to be replaced no longer leads: a VM knows ${latest.endpoint} as primary of term ${latest.term}`)
}

/** Whether an endpoint has a term that fencing at `term` does not affect. A term that it was only paused for does not count. */
export function isNewer (status: EndpointStatus, term: number): boolean {
  return status.term >= term && status.term > status.pausedForTerm
}

/**
 * Closes an order that has taken effect: an endpoint leads, or has led, at a later term than the primary that it replaces. Other calls for it
 * may still be executed.
 */
export function closeOrder (attempt: Attempt, term: number, leader: string | null): void {
  const { openOrder } = attempt
  if (openOrder === null || term <= openOrder.replacedTerm) return
  attempt.stray = pickLaterStray(attempt.stray, findStrayCall(openOrder, leader))
  attempt.seenPromotedTerm = Math.max(attempt.seenPromotedTerm, term)
  attempt.openOrder = null
}
