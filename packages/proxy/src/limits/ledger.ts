import { computeRetryAfterMs, countAvailableTokens, createBucket, isFull, releaseReservedTokens, replaceRate, reserveTokens, spendReservedTokens, type TokenBucket } from '@camphorpitch/wire'
import type { Demand, DemandItem, Grant, GrantReport, Grants } from './messages.ts'
import { findShareRate, type WorkspaceLimit } from './shares.ts'

/** How long a granted token may be spent, counted from the time at which the entry VM sent its demand. */
export const TOKEN_LIFETIME_MS = 250
/** Largest difference in speed between two VMs' clocks that is allowed for over a token lifetime or a lease. */
export const MAX_CLOCK_DRIFT_FRACTION = 0.01
/** How long after a token's expiry its report may still arrive. */
const REPORT_GRACE_MS = 300
/** Fraction of the available tokens that may be granted for requests that are only expected. */
const PREFETCH_FRACTION = 0.2
const SWEEP_INTERVAL_MS = 1_000
/** Retry delay sent to entry VMs while this VM does not count the share. */
const NOT_COUNTING_RETRY_AFTER_MS = 500

interface OpenGrant {
  id: number
  /** Entry VM that holds the grant. */
  vm: string
  account: Account
  /** Tokens not yet reported as spent. */
  left: number
  spent: number
  /** Time on this VM's clock after which none of the grant's tokens can be spent. */
  expiresAtMs: number
}

/** The token bucket of one workspace's share. */
interface Account {
  /** Name of the share in the owners object. */
  share: string
  bucket: TokenBucket
}

/** An owner's buckets for the shares that it counts, and the grants that entry VMs hold. */
export interface LedgerState {
  /** Keyed by `workspace/shareIndex`. */
  accounts: Map<string, Account>
  /** Keyed by grant id, so in order of expiry. */
  grants: Map<number, OpenGrant>
  nextGrantId: number
  /** Latest demand processed from each entry VM. */
  latestDemands: Map<string, { incarnation: number, seq: number }>
  lastSweepAtMs: number
}

/** Look-ups that the ledger needs from the rest of the limits state. */
export interface LedgerContext {
  findLimit: (workspace: string) => WorkspaceLimit | undefined
  /** When this VM began to count the share, with an empty bucket; `undefined` while it may not count it. */
  findCountingStartMs: (share: string, nowMs: number) => number | undefined
}

export function createLedger (): LedgerState {
  return { accounts: new Map(), grants: new Map(), nextGrantId: 1, latestDemands: new Map(), lastSweepAtMs: 0 }
}

/**
 * Processes a demand: applies its reports, then grants tokens from the buckets.
 *
 * Reports are applied also from a demand that is a repeat or arrived out of order.
 *
 * @returns `undefined` when there is nothing to send: the demand has no items, is a repeat or arrived out of order
 */
export function handleDemand (
  state: LedgerState, context: LedgerContext, from: { vm: string, incarnation: number }, localIncarnation: number, demand: Demand, nowMs: number
): Grants | undefined {
  expireGrants(state, context, nowMs)
  if (demand.reportsFor === localIncarnation) for (const report of demand.reports) applyReport(state, from.vm, report, nowMs)
  const latest = state.latestDemands.get(from.vm)
  const isStale = latest !== undefined && (from.incarnation < latest.incarnation || (from.incarnation === latest.incarnation && demand.seq <= latest.seq))
  if (isStale) return undefined
  state.latestDemands.set(from.vm, { incarnation: from.incarnation, seq: demand.seq })
  if (demand.items.length === 0) return undefined
  const items = demand.items.map(item => grantTokens(state, context, from.vm, item, nowMs))
  return { type: 'grants', seq: demand.seq, incarnation: from.incarnation, items }
}

function grantTokens (state: LedgerState, context: LedgerContext, vm: string, item: DemandItem, nowMs: number): Grant {
  const account = findOrCreateAccount(state, context, item, nowMs)
  const { workspace, share } = item
  if (account === undefined) {
    return { workspace, share, id: 0, tokens: 0, available: 0, retryAfterMs: NOT_COUNTING_RETRY_AFTER_MS, counting: false }
  }
  const { bucket } = account
  const available = Math.max(0, countAvailableTokens(bucket, nowMs))
  const needed = Math.min(item.need, available)
  const tokens = needed + Math.min(item.extra, Math.floor((available - needed) * PREFETCH_FRACTION))
  const id = tokens === 0 ? 0 : openGrant(state, account, vm, item, tokens, nowMs)
  const availableAfter = Math.max(0, countAvailableTokens(bucket, nowMs))
  return { workspace, share, id, tokens, available: availableAfter, retryAfterMs: availableAfter > 0 ? 0 : computeRetryAfterMs(bucket, nowMs), counting: true }
}

function openGrant (state: LedgerState, account: Account, vm: string, item: DemandItem, tokens: number, nowMs: number): number {
  const id = state.nextGrantId++
  reserveTokens(account.bucket, tokens)
  const expiresAtMs = computeGrantExpiryMs(nowMs)
  state.grants.set(id, { id, vm, account, left: tokens, spent: 0, expiresAtMs })
  return id
}

/**
 * Returns the share's account with its bucket set to the rate in force now.
 *
 * @returns `undefined` for a workspace or share without a limit, and while this VM may not count the share
 */
function findOrCreateAccount (state: LedgerState, context: LedgerContext, item: DemandItem, nowMs: number): Account | undefined {
  const limit = context.findLimit(item.workspace)
  const share = limit === undefined ? undefined : findShareRate(limit, item.share, nowMs)
  if (limit === undefined || share === undefined) return undefined
  const countingStartMs = context.findCountingStartMs(share.name, nowMs)
  if (countingStartMs === undefined) return undefined
  const key = `${item.workspace}/${item.share}`
  const account = state.accounts.get(key)
  if (account !== undefined) {
    const { bucket } = account
    if (bucket.rate !== share.rate || bucket.burst !== share.burst) replaceRate(bucket, share.rate, share.burst, nowMs)
    return account
  }
  const emptyAtMs = Math.max(countingStartMs, limit.shareCountChange?.untilMs ?? -Infinity)
  const created = { share: share.name, bucket: createBucket(share.rate, share.burst, Math.min(emptyAtMs, nowMs)) }
  state.accounts.set(key, created)
  return created
}

/** Applies a cumulative report. Late, repeated and reordered reports change nothing. */
function applyReport (state: LedgerState, vm: string, report: GrantReport, nowMs: number): void {
  const grant = state.grants.get(report.id)
  if (grant === undefined || grant.vm !== vm) return
  const { bucket } = grant.account
  const spent = Math.min(report.spent - grant.spent, grant.left)
  if (spent > 0) {
    grant.spent += spent
    grant.left -= spent
    spendReservedTokens(bucket, spent, nowMs - report.ageMs * (1 - MAX_CLOCK_DRIFT_FRACTION))
  }
  if (!report.open) releaseReservedTokens(bucket, grant.left)
  if (!report.open || grant.left === 0) state.grants.delete(grant.id)
}

/** Counts unreported tokens of expired grants as spent at their expiry, and drops buckets that equal newly created ones. */
function expireGrants (state: LedgerState, context: LedgerContext, nowMs: number): void {
  for (const grant of state.grants.values()) {
    if (grant.expiresAtMs + REPORT_GRACE_MS > nowMs) break
    state.grants.delete(grant.id)
    spendReservedTokens(grant.account.bucket, grant.left, grant.expiresAtMs)
  }
  if (nowMs - state.lastSweepAtMs < SWEEP_INTERVAL_MS) return
  state.lastSweepAtMs = nowMs
  for (const [key, { share, bucket }] of state.accounts) {
    const countingStartMs = context.findCountingStartMs(share, nowMs)
    if (countingStartMs === undefined || !isFull(bucket, nowMs)) continue
    if (countingStartMs + bucket.burst / bucket.rate <= nowMs) state.accounts.delete(key)
  }
}

/** The time after which no token granted up to `nowMs` can be spent. */
export function computeGrantExpiryMs (nowMs: number): number {
  return nowMs + TOKEN_LIFETIME_MS * (1 + MAX_CLOCK_DRIFT_FRACTION)
}

/** Drops the accounts and grants of a share that this VM no longer owns. */
export function dropShare (state: LedgerState, share: string): void {
  for (const [key, account] of state.accounts) if (account.share === share) state.accounts.delete(key)
  for (const grant of state.grants.values()) if (grant.account.share === share) state.grants.delete(grant.id)
}
