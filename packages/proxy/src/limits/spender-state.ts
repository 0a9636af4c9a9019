import type { DemandItem } from './messages.ts'
import type { ShareRate, WorkspaceLimit } from './shares.ts'

/** Tokens that this VM may spend. */
export interface HeldGrant {
  id: number
  owner: string
  ownerIncarnation: number
  share: number
  left: number
  spent: number
  expiresAtMs: number
  lastSpentAtMs: number
}

/** What this VM believes of one share. */
export interface ShareEstimate {
  rate: ShareRate
  available: number
  asOfMs: number
  /** Tokens asked for and not yet answered. */
  inFlight: number
  /** The share is not asked before this, unless another VM owns it by then. */
  blockedUntilMs: number
  blockedOwner: string | undefined
}

export interface WaitingRequest {
  requestId: number
  deadlineMs: number
}

export interface WorkspaceState {
  workspace: string
  limit: WorkspaceLimit
  shares: ShareEstimate[]
  /** Earliest expiry first. */
  grants: HeldGrant[]
  waiting: WaitingRequest[]
  prefetchInFlight: number
  /** Decaying average of arrivals, in requests per millisecond. */
  demandPerMs: number
  lastArrivalAtMs: number
}

export interface PendingDemand {
  owner: string
  sentAtMs: number
  items: DemandItem[]
  /** No longer waited for; a late answer is still of use. */
  isOverdue: boolean
}

/** Traffic to one owner. */
export interface OwnerLink {
  owner: string
  incarnation: number
  lastFlushAtMs: number
  items: DemandItem[]
  /** Grants whose report is out of date, by grant. */
  unreported: Map<number, HeldGrant>
  reportDueAtMs: number
}

export interface SpenderState {
  incarnation: number
  workspaces: Map<string, WorkspaceState>
  /** Workspaces with grants or waiting requests. */
  activeWorkspaces: Set<WorkspaceState>
  links: Map<string, OwnerLink>
  /** Links with something to send. */
  linksToFlush: Set<OwnerLink>
  pending: Map<number, PendingDemand>
  nextSeq: number
  lastSweepAtMs: number
  /** No later than the next time at which something is due. */
  wakeAtMs: number
}

export function createSpenderState (incarnation: number): SpenderState {
  return { incarnation, workspaces: new Map(), activeWorkspaces: new Set(), links: new Map(), linksToFlush: new Set(), pending: new Map(), nextSeq: 1, lastSweepAtMs: 0, wakeAtMs: Infinity }
}

export function findOrCreateLink (state: SpenderState, owner: string): OwnerLink {
  const existing = state.links.get(owner)
  if (existing !== undefined) return existing
  const link: OwnerLink = { owner, incarnation: 0, lastFlushAtMs: -Infinity, items: [], unreported: new Map(), reportDueAtMs: Infinity }
  state.links.set(owner, link)
  return link
}

function createShareEstimate (rate: ShareRate, nowMs: number): ShareEstimate {
  return { rate, available: rate.burst, asOfMs: nowMs, inFlight: 0, blockedUntilMs: -Infinity, blockedOwner: undefined }
}

/** The workspace's state, with its shares as the contract divides them now. */
export function findOrCreateWorkspaceState (state: SpenderState, workspace: string, limit: WorkspaceLimit, nowMs: number): WorkspaceState {
  const existing = state.workspaces.get(workspace)
  if (existing?.limit === limit) return existing
  if (existing === undefined) {
    const shares = limit.shares.map(r => createShareEstimate(r, nowMs))
    const workspaceState = { workspace, limit, shares, grants: [], waiting: [], prefetchInFlight: 0, demandPerMs: 0, lastArrivalAtMs: nowMs }
    state.workspaces.set(workspace, workspaceState)
    return workspaceState
  }
  existing.limit = limit
  existing.shares = limit.shares.map((r, i) => {
    const share = existing.shares[i] ?? createShareEstimate(r, nowMs)
    share.rate = r
    return share
  })
  return existing
}

/** Makes sure that a tick comes by then. */
export function scheduleTick (state: SpenderState, atMs: number): void {
  if (atMs < state.wakeAtMs) state.wakeAtMs = atMs
}

export function countInFlight (workspaceState: WorkspaceState): number {
  return workspaceState.shares.reduce((sum, share) => sum + share.inFlight, 0)
}
