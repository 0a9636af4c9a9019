import { comparePositions, pickLaterPosition, type LogPosition } from '@camphorpitch/wire'
import type { EndpointStatus } from '../backend/endpoint-connector.ts'
import type { KnownOrder } from '../freshness/group-state.ts'
import { formatStart, type Departure, type EndpointStart } from '../groups/departures.ts'
import type { Claim, FormerPrimary, OpenOrder, StrayCall } from './duty-claim.ts'

/**
 * Longest time from the status request to which the ordered endpoint responded with its whole log to the call of the platform. An endpoint
 * that loses its log after its response needs longer to run again, so that it starts after the call, which then has no effect.
 */
export const MAX_LOOK_AGE_MS = 100
/** An order that has not taken effect after this long is sent again, unless it was accepted. */
export const PROMOTION_EFFECT_TIMEOUT_MS = 3_500
/** An accepted order that has not taken effect after this time is sent again: its endpoint was down when it would have. */
const ACCEPTED_ORDER_TIMEOUT_MS = 21_000
/**
 * A call of the platform has taken effect within this time after it was sent, or never does: it is executed, refused or lost within some
 * seconds, and has its effect within the time given to an accepted order. Covers differences between the VMs' wall clocks.
 */
export const CALL_LIFETIME_MS = 5_000 + ACCEPTED_ORDER_TIMEOUT_MS

/** What a VM knows of the endpoint of an open order when it has fenced the group. */
export interface OrderedEndpoint {
  /** Start of the endpoint that its entry tells; `undefined` without an entry. */
  startedAtMs: number | undefined
  departures: ReadonlyArray<EndpointStart & Pick<Departure, 'isGone' | 'isPresumed'>>
  /** End of its log, if it is fenced; `null` if it did not respond. */
  received: LogPosition | null
  /** Latest position that any VM knows to be acknowledged. */
  acknowledged: LogPosition | null
  /** Time of the wall clock. */
  nowMs: number
}

/** What `decideOrderState` needs of an order. */
type CalledOrder = Pick<OpenOrder, 'endpoint' | 'startedAtMs' | 'received' | 'calledAtMs'>

export type OrderState = 'orderAgain' | 'lapsed' | 'silent' | 'ended'

/**
 * Decides what becomes of an order that may still take effect. Its choice was proven when it was recorded, and no commit was acknowledged
 * since. Only an endpoint that is known to have ended, or has started again without its log, is not promoted by it any more (`ended`). While
 * it has no entry (`lapsed`) or does not respond (`silent`), nothing can be ordered: if it runs, it may become primary at any time. One whose end
 * is only presumed may run until no call can take effect any more.
 */
export function decideOrderState (order: CalledOrder, { startedAtMs, departures, received, acknowledged, nowMs }: OrderedEndpoint): OrderState {
  const isSameStart = startedAtMs === order.startedAtMs
  const departure = departures.find(d => formatStart(d) === formatStart(order))
  const isPresumed = departure?.isPresumed === true && nowMs < order.calledAtMs + CALL_LIFETIME_MS
  if (!isSameStart) return departure !== undefined && (departure.isGone !== true || isPresumed) ? 'lapsed' : 'ended'
  if (received === null) return 'silent'
  return comparePositions(received, pickLaterPosition(acknowledged, order.received)) >= 0 ? 'orderAgain' : 'ended'
}

/** Whether the replicas that were fenced are still paused at `term`, so that they have received nothing since they were compared. */
export function isFenceIntact (paused: ReadonlySet<string>, statuses: ReadonlyArray<{ endpoint: string, status: Pick<EndpointStatus, 'pausedForTerm'> }>, term: number): boolean {
  return statuses.every(({ endpoint, status }) => !paused.has(endpoint) || status.pausedForTerm >= term)
}

/** Whether an announced order replaces what the claim's object tells: the store has returned from an older copy since it was announced. */
export function isAnnouncementNewer (announced: KnownOrder, claimEpoch: number, replacedTerm: number, recorded: OpenOrder | null): boolean {
  return announced.epoch < claimEpoch && announced.replacedTerm >= replacedTerm && recorded?.isProven !== true
}

/** Whether two records are of the same order. */
export function isSameOrder (a: OpenOrder | null, b: OpenOrder | null): boolean {
  return a?.endpoint === b?.endpoint && a?.startedAtMs === b?.startedAtMs && a?.replacedTerm === b?.replacedTerm && a?.isProven === b?.isProven
}

/** Whether a response to a status request that was sent at `sentAtMs` still proves that its endpoint has its log. */
export function isLookRecent (sentAtMs: number, nowMs: number): boolean {
  return nowMs - sentAtMs <= MAX_LOOK_AGE_MS
}

/** Whether the platform is to be called for an order: it has not been, or the effect of the latest call is overdue. `nowMs` is the wall clock's time. */
export function isCallDue (order: Pick<OpenOrder, 'isAccepted' | 'waits' | 'calledAtMs'> | null, nowMs: number): boolean {
  if (order === null) return true
  const sinceCallMs = nowMs - order.calledAtMs
  return order.isAccepted ? sinceCallMs >= ACCEPTED_ORDER_TIMEOUT_MS : order.waits > 0 || sinceCallMs >= PROMOTION_EFFECT_TIMEOUT_MS
}

/**
 * Finds the calls of an order that may still be executed although the order is closed: one call has taken effect if its endpoint leads,
 * and none if another one does.
 *
 * @param leader the endpoint that leads at a later term than the replaced primary; `null` if it is not known
 */
export function findStrayCall ({ endpoint, calls, calledAtMs }: Pick<OpenOrder, 'endpoint' | 'calls' | 'calledAtMs'>, leader: string | null): StrayCall | null {
  const usedCalls = leader === endpoint ? 1 : 0
  return calls > usedCalls ? { endpoint, untilMs: calledAtMs + CALL_LIFETIME_MS } : null
}

/** Whether an endpoint may be ordered: no call for another one may still be executed. `nowMs` is the wall clock's time. */
export function canOrder (endpoint: string, stray: StrayCall | null, nowMs: number): boolean {
  return stray === null || stray.endpoint === endpoint || nowMs >= stray.untilMs
}

/** Picks the stray call that lasts longer. */
export function pickLaterStray (a: StrayCall | null, b: StrayCall | null): StrayCall | null {
  return a === null || (b !== null && b.untilMs > a.untilMs) ? b : a
}

type PromotedTerm = Pick<Claim, 'promotedTerm'>

/**
 * Whether the primary of a term was replaced by an order that has taken effect. Neither that primary nor VMs that are cut off from its
 * successor may know: it goes on, and steps down when it is asked, with a log that lacks its successor's commits.
 *
 * @example isSuperseded({ promotedTerm: 3 }, 2) // true
 */
export function isSuperseded ({ promotedTerm }: PromotedTerm, term: number): boolean {
  return promotedTerm !== null && term < promotedTerm
}

/** Picks a primary that has stepped down if its log is complete: no order has begun a later term, and no record of one was lost. */
export function pickFormerPrimary ({ promotedTerm }: PromotedTerm, former: FormerPrimary | null): FormerPrimary | null {
  return former !== null && promotedTerm !== null && former.term >= promotedTerm ? former : null
}

/**
 * Computes the latest term that an order is known to have begun.
 *
 * @param seenTerm latest one that an attempt has seen; 0 if it has seen none
 * @param hasPromoted whether the attempt itself has promoted its endpoint, so that none that was lost can have begun a later term
 * @returns `null` if a record of a later one may be lost
 * @example computePromotedTerm({ promotedTerm: 2 }, 3, false) // 3
 */
export function computePromotedTerm ({ promotedTerm }: PromotedTerm, seenTerm: number, hasPromoted: boolean): number | null {
  return promotedTerm === null && !hasPromoted ? null : Math.max(promotedTerm ?? 0, seenTerm)
}
