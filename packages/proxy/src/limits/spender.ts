import type { LimitEffect } from './effects.ts'
import { TOKEN_LIFETIME_MS } from './ledger.ts'
import type { Admission } from './limiter.ts'
import type { Grant, GrantReport, Grants } from './messages.ts'
import type { WorkspaceLimit } from './shares.ts'
import {
  countInFlight, findOrCreateLink, findOrCreateWorkspaceState, scheduleTick, type HeldGrant, type OwnerLink, type PendingDemand, type ShareEstimate, type SpenderState, type WorkspaceState
} from './spender-state.ts'

/** Longest time that a request waits for its admission. */
export const MAX_ADMISSION_WAIT_MS = 100
/** Time after which an owner that has not responded to a demand counts as unresponsive. */
const REPLY_TIMEOUT_MS = 60
/** How long no tokens are requested from a share whose owner did not respond. */
const UNRESPONSIVE_OWNER_BLOCK_MS = 200
/** Shortest time between two demands to one owner. */
const MIN_FLUSH_INTERVAL_MS = 2
/** Time constant of the decaying average of a workspace's demand. */
const DEMAND_AVERAGE_WINDOW_MS = 500
/** A prefetch requests tokens for the demand expected in this time. */
const PREFETCH_HORIZON_MS = 120
/** Tokens are prefetched when those at hand cover the expected demand for no longer than this. */
const PREFETCH_THRESHOLD_MS = 40
/** A report is due within this fraction of the time in which the share's burst refills. */
const REPORT_DELAY_FRACTION = 0.1
const MIN_REPORT_DELAY_MS = 5
const MAX_REPORT_DELAY_MS = 200
/** The state of a workspace without requests for this long is dropped. */
const IDLE_TIMEOUT_MS = 60_000
const SWEEP_INTERVAL_MS = 10_000
/** Retry delay of a refusal when no owner has given one. */
const NO_RESPONSE_RETRY_AFTER_MS = 200

/** Look-ups that the spender needs from the rest of the limits state. */
export interface SpenderContext {
  findLimit: (workspace: string) => WorkspaceLimit | undefined
  /** The VM that owns a share. */
  findOwner: (share: string) => string | undefined
}

export interface AdmitRequest {
  requestId: number
  workspace: string
  timeoutMs: number
}

/**
 * Admits the request from tokens at hand; otherwise it waits for tokens from an owner.
 *
 * Refuses at once when the workspace has no contract, and when no tokens are in flight and no share is worth requesting from.
 */
export function handleAdmit (state: SpenderState, context: SpenderContext, request: AdmitRequest, nowMs: number): LimitEffect[] {
  const { requestId, workspace } = request
  const limit = context.findLimit(workspace)
  if (limit === undefined) return [resolveRequest(requestId, { admitted: false, retryAfterMs: 1_000, reason: 'no contract' })]
  const workspaceState = findOrCreateWorkspaceState(state, workspace, limit, nowMs)
  recordArrival(workspaceState, nowMs)
  if (workspaceState.waiting.length === 0 && spendToken(state, workspaceState, nowMs)) {
    requestPrefetch(state, context, workspaceState, nowMs)
    return [resolveRequest(requestId, { admitted: true })]
  }
  const deadlineMs = nowMs + Math.min(request.timeoutMs, MAX_ADMISSION_WAIT_MS)
  workspaceState.waiting.push({ requestId, deadlineMs })
  scheduleTick(state, deadlineMs)
  state.activeWorkspaces.add(workspaceState)
  return requestTokens(state, context, workspaceState, nowMs)
}

function resolveRequest (requestId: number, admission: Admission): LimitEffect {
  return { type: 'resolve', requestId, admission }
}

/** Updates the average demand of the workspace. */
function recordArrival (workspaceState: WorkspaceState, nowMs: number): void {
  const decay = Math.exp((workspaceState.lastArrivalAtMs - nowMs) / DEMAND_AVERAGE_WINDOW_MS)
  workspaceState.demandPerMs = workspaceState.demandPerMs * decay + 1 / DEMAND_AVERAGE_WINDOW_MS
  workspaceState.lastArrivalAtMs = nowMs
}

/** Spends one token that has not expired; returns false when there is none. */
function spendToken (state: SpenderState, workspaceState: WorkspaceState, nowMs: number): boolean {
  dropExpiredGrants(state, workspaceState, nowMs)
  const grant = workspaceState.grants[0]
  if (grant === undefined) return false
  grant.left -= 1
  grant.spent += 1
  grant.lastSpentAtMs = nowMs
  enqueueReport(state, workspaceState, grant, nowMs)
  if (grant.left === 0) workspaceState.grants.shift()
  return true
}

function dropExpiredGrants (state: SpenderState, workspaceState: WorkspaceState, nowMs: number): void {
  while (workspaceState.grants.length > 0 && workspaceState.grants[0]!.expiresAtMs <= nowMs) {
    const grant = workspaceState.grants.shift()!
    grant.left = 0
    enqueueReport(state, workspaceState, grant, nowMs)
  }
}

function enqueueReport (state: SpenderState, workspaceState: WorkspaceState, grant: HeldGrant, nowMs: number): void {
  const link = findOrCreateLink(state, grant.owner)
  const share = workspaceState.shares[grant.share]?.rate
  const refillMs = share === undefined ? 0 : share.burst / share.rate
  const delayMs = Math.min(MAX_REPORT_DELAY_MS, Math.max(MIN_REPORT_DELAY_MS, refillMs * REPORT_DELAY_FRACTION))
  link.unreported.set(grant.id, grant)
  link.reportDueAtMs = Math.min(link.reportDueAtMs, nowMs + delayMs)
  scheduleFlush(state, link)
}

function scheduleFlush (state: SpenderState, link: OwnerLink): void {
  state.linksToFlush.add(link)
  scheduleTick(state, computeFlushMs(link))
}

/** Requests tokens ahead of need when the expected demand is at least one token within the prefetch horizon. */
function requestPrefetch (state: SpenderState, context: SpenderContext, workspaceState: WorkspaceState, nowMs: number): void {
  const wantedTokens = Math.floor(workspaceState.demandPerMs * PREFETCH_HORIZON_MS)
  if (wantedTokens < 1 || workspaceState.prefetchInFlight > 0) return
  const heldTokens = workspaceState.grants.reduce((sum, g) => sum + g.left, 0)
  if (heldTokens > workspaceState.demandPerMs * PREFETCH_THRESHOLD_MS || heldTokens >= wantedTokens) return
  const index = pickShare(context, workspaceState, nowMs)
  if (index !== undefined) addDemand(state, context, workspaceState, index, 0, wantedTokens - heldTokens)
}

/** Requests a token for each waiting request, or refuses all of them when none is in flight and no share can be chosen. */
function requestTokens (state: SpenderState, context: SpenderContext, workspaceState: WorkspaceState, nowMs: number): LimitEffect[] {
  let missingTokens = workspaceState.waiting.length - countInFlight(workspaceState)
  while (missingTokens > 0) {
    const index = pickShare(context, workspaceState, nowMs)
    if (index === undefined) break
    const share = workspaceState.shares[index]!
    const estimate = Math.max(1, Math.floor(estimateAvailable(share, nowMs)))
    const need = Math.min(missingTokens, estimate, Math.ceil(missingTokens / workspaceState.shares.length))
    const extra = workspaceState.prefetchInFlight > 0 ? 0 : Math.floor(workspaceState.demandPerMs * PREFETCH_HORIZON_MS)
    addDemand(state, context, workspaceState, index, need, extra)
    missingTokens -= need
  }
  if (countInFlight(workspaceState) > 0 || workspaceState.waiting.length === 0) return []
  const retryAfterMs = estimateRetryAfterMs(workspaceState, nowMs)
  const refused = workspaceState.waiting.splice(0)
  return refused.map(w => resolveRequest(w.requestId, { admitted: false, retryAfterMs, reason: 'rate' }))
}

/**
 * The index of the share that is estimated to have the most tokens.
 *
 * A share is left out when it has no owner, when it is blocked, and when the tokens in flight already exhaust it.
 *
 * @returns `undefined` when no share is left
 */
function pickShare (context: SpenderContext, workspaceState: WorkspaceState, nowMs: number): number | undefined {
  let bestIndex: number | undefined
  let bestEstimate = -Infinity
  for (const [i, share] of workspaceState.shares.entries()) {
    const owner = context.findOwner(share.rate.name)
    const isBlocked = share.blockedUntilMs > nowMs && share.blockedOwner === owner
    const estimate = estimateAvailable(share, nowMs)
    if (owner === undefined || isBlocked || (estimate < 1 && share.inFlight > 0)) continue
    if (estimate > bestEstimate) {
      bestIndex = i
      bestEstimate = estimate
    }
  }
  return bestIndex
}

function estimateAvailable (share: ShareEstimate, nowMs: number): number {
  const refilled = share.available + (nowMs - share.asOfMs) * share.rate.rate
  return Math.min(share.rate.burst, refilled) - share.inFlight
}

function estimateRetryAfterMs (workspaceState: WorkspaceState, nowMs: number): number {
  const blockEnds = workspaceState.shares.map(s => s.blockedUntilMs).filter(ms => ms > nowMs)
  return blockEnds.length === 0 ? NO_RESPONSE_RETRY_AFTER_MS : Math.max(1, Math.min(...blockEnds) - nowMs)
}

function addDemand (state: SpenderState, context: SpenderContext, workspaceState: WorkspaceState, index: number, need: number, extra: number): void {
  const share = workspaceState.shares[index]!
  const owner = context.findOwner(share.rate.name)
  if (owner === undefined) return
  share.inFlight += need
  workspaceState.prefetchInFlight += extra
  const link = findOrCreateLink(state, owner)
  const queued = link.items.find(i => i.workspace === workspaceState.workspace && i.share === index)
  if (queued === undefined) {
    link.items.push({ workspace: workspaceState.workspace, share: index, need, extra })
    scheduleFlush(state, link)
    return
  }
  queued.need += need
  queued.extra += extra
}

/** Applies an owner's response to a demand. One without a pending demand, or for another incarnation of this VM, changes nothing. */
export function handleGrants (
  state: SpenderState, context: SpenderContext, from: { vm: string, incarnation: number }, message: Grants, nowMs: number
): LimitEffect[] {
  const pending = state.pending.get(message.seq)
  if (pending === undefined || pending.owner !== from.vm || message.incarnation !== state.incarnation) return []
  state.pending.delete(message.seq)
  const link = findOrCreateLink(state, from.vm)
  link.incarnation = from.incarnation
  const updatedWorkspaces = new Set<WorkspaceState>()
  for (const item of message.items) {
    const workspaceState = state.workspaces.get(item.workspace)
    if (workspaceState === undefined) continue
    applyGrant(state, workspaceState, item, pending, nowMs)
    updatedWorkspaces.add(workspaceState)
  }
  return [...updatedWorkspaces].flatMap(s => [...admitWaiting(state, s, nowMs), ...requestTokens(state, context, s, nowMs)])
}

function applyGrant (state: SpenderState, workspaceState: WorkspaceState, item: Grant, pending: PendingDemand, nowMs: number): void {
  const demanded = pending.items.find(i => i.workspace === item.workspace && i.share === item.share)
  if (demanded === undefined) return
  if (item.tokens > 0) addGrant(state, workspaceState, item, pending, findOrCreateLink(state, pending.owner).incarnation, nowMs)
  const share = workspaceState.shares[item.share]
  if (share === undefined) return
  if (!pending.isOverdue) releaseDemand(workspaceState, share, demanded.need, demanded.extra)
  share.available = item.available
  share.asOfMs = nowMs
  const isBelowDemand = !item.counting || item.tokens < demanded.need || item.retryAfterMs > 0
  share.blockedUntilMs = isBelowDemand ? nowMs + item.retryAfterMs : -Infinity
  share.blockedOwner = pending.owner
}

function releaseDemand (workspaceState: WorkspaceState, share: ShareEstimate, need: number, extra: number): void {
  share.inFlight = Math.max(0, share.inFlight - need)
  workspaceState.prefetchInFlight = Math.max(0, workspaceState.prefetchInFlight - extra)
}

function addGrant (
  state: SpenderState, workspaceState: WorkspaceState, item: Grant, pending: PendingDemand, ownerIncarnation: number, nowMs: number
): void {
  const grant: HeldGrant = {
    id: item.id,
    owner: pending.owner,
    ownerIncarnation,
    share: item.share,
    left: item.tokens,
    spent: 0,
    expiresAtMs: pending.sentAtMs + TOKEN_LIFETIME_MS,
    lastSpentAtMs: pending.sentAtMs
  }
  workspaceState.grants.push(grant)
  workspaceState.grants.sort((a, b) => a.expiresAtMs - b.expiresAtMs)
  state.activeWorkspaces.add(workspaceState)
  scheduleTick(state, grant.expiresAtMs)
  dropExpiredGrants(state, workspaceState, nowMs)
}

function admitWaiting (state: SpenderState, workspaceState: WorkspaceState, nowMs: number): LimitEffect[] {
  const effects: LimitEffect[] = []
  while (workspaceState.waiting.length > 0 && spendToken(state, workspaceState, nowMs)) {
    effects.push(resolveRequest(workspaceState.waiting.shift()!.requestId, { admitted: true }))
  }
  return effects
}

/**
 * Times out demands, drops expired grants, refuses requests whose wait has ended, and drops the state of idle workspaces.
 *
 * Demands and reports that are due are sent by `flushSpender`.
 */
export function tickSpender (state: SpenderState, context: SpenderContext, nowMs: number): LimitEffect[] {
  const effects: LimitEffect[] = []
  for (const [seq, pending] of state.pending) effects.push(...checkPendingDemand(state, context, seq, pending, nowMs))
  for (const workspaceState of state.activeWorkspaces) {
    dropExpiredGrants(state, workspaceState, nowMs)
    const overdue = workspaceState.waiting.filter(w => w.deadlineMs <= nowMs)
    workspaceState.waiting = workspaceState.waiting.filter(w => w.deadlineMs > nowMs)
    const refusal = { admitted: false as const, retryAfterMs: NO_RESPONSE_RETRY_AFTER_MS, reason: 'limit owner did not answer' }
    effects.push(...overdue.map(w => resolveRequest(w.requestId, refusal)))
    if (workspaceState.grants.length === 0 && workspaceState.waiting.length === 0) state.activeWorkspaces.delete(workspaceState)
  }
  dropIdleWorkspaces(state, nowMs)
  state.wakeAtMs = computeSpenderWakeMs(state)
  return effects
}

function checkPendingDemand (state: SpenderState, context: SpenderContext, seq: number, pending: PendingDemand, nowMs: number): LimitEffect[] {
  if (nowMs >= pending.sentAtMs + TOKEN_LIFETIME_MS) state.pending.delete(seq)
  if (pending.isOverdue || nowMs < pending.sentAtMs + REPLY_TIMEOUT_MS) return []
  pending.isOverdue = true
  return pending.items.flatMap(item => {
    const workspaceState = state.workspaces.get(item.workspace)
    const share = workspaceState?.shares[item.share]
    if (workspaceState === undefined || share === undefined) return []
    releaseDemand(workspaceState, share, item.need, item.extra)
    share.blockedUntilMs = Math.max(share.blockedUntilMs, nowMs + UNRESPONSIVE_OWNER_BLOCK_MS)
    share.blockedOwner = pending.owner
    return requestTokens(state, context, workspaceState, nowMs)
  })
}

function dropIdleWorkspaces (state: SpenderState, nowMs: number): void {
  if (nowMs - state.lastSweepAtMs < SWEEP_INTERVAL_MS) return
  state.lastSweepAtMs = nowMs
  for (const [name, s] of state.workspaces) {
    if (!state.activeWorkspaces.has(s) && countInFlight(s) === 0 && nowMs - s.lastArrivalAtMs > IDLE_TIMEOUT_MS) state.workspaces.delete(name)
  }
}

/** Sends the demands and reports that are due to each owner. */
export function flushSpender (state: SpenderState, nowMs: number): LimitEffect[] {
  const effects: LimitEffect[] = []
  for (const link of state.linksToFlush) {
    if (nowMs >= computeFlushMs(link)) effects.push(flushLink(state, link, nowMs))
  }
  return effects
}

function computeFlushMs (link: OwnerLink): number {
  if (link.items.length > 0) return link.lastFlushAtMs + MIN_FLUSH_INTERVAL_MS
  return link.reportDueAtMs
}

function flushLink (state: SpenderState, link: OwnerLink, nowMs: number): LimitEffect {
  const { owner } = link
  const seq = state.nextSeq++
  state.linksToFlush.delete(link)
  const reportable = [...link.unreported.values()].filter(g => g.ownerIncarnation === link.incarnation)
  const reports = reportable.map(g => createReport(g, nowMs))
  const { items } = link
  link.items = []
  link.unreported.clear()
  link.reportDueAtMs = Infinity
  link.lastFlushAtMs = nowMs
  if (items.length > 0) {
    state.pending.set(seq, { owner, sentAtMs: nowMs, items, isOverdue: false })
    scheduleTick(state, nowMs + REPLY_TIMEOUT_MS)
  }
  return { type: 'send', vm: owner, body: { type: 'demand', seq, items, reportsFor: link.incarnation, reports } }
}

function createReport (grant: HeldGrant, nowMs: number): GrantReport {
  return { id: grant.id, spent: grant.spent, open: grant.left > 0, ageMs: Math.floor(nowMs - grant.lastSpentAtMs) }
}

function computeSpenderWakeMs (state: SpenderState): number {
  let atMs = Infinity
  for (const link of state.linksToFlush) atMs = Math.min(atMs, computeFlushMs(link))
  for (const p of state.pending.values()) atMs = Math.min(atMs, p.sentAtMs + (p.isOverdue ? TOKEN_LIFETIME_MS : REPLY_TIMEOUT_MS))
  for (const s of state.activeWorkspaces) {
    if (s.waiting.length > 0) atMs = Math.min(atMs, s.waiting[0]!.deadlineMs)
    if (s.grants.length > 0) atMs = Math.min(atMs, s.grants[0]!.expiresAtMs)
  }
  return atMs
}
