import type { DemandItem } from './messages.ts'
import type { ShareRate, WorkspaceLimit } from './shares.ts'

/** A grant of an owner whose tokens this VM may spend. */
export interface HeldGrant {
  id: number
  owner: string
  ownerIncarnation: number
  /** Index of the share within the workspace. */
  share: number
  /** Tokens that can still be spent; 0 once the grant has expired. */
  left: number
  spent: number
  expiresAtMs: number
  lastSpentAtMs: number
}

/** This VM's estimate of the tokens of one share, from its owner's last response. */
export interface ShareEstimate {
  rate: ShareRate
  /** Tokens that the owner had at `asOfMs`; the full burst before its first response. */
  available: number
  asOfMs: number
  /** Tokens for waiting requests in demands that have not been responded to. */
  inFlight: number
  /** No tokens are requested from the share before this time, unless a VM other than `blockedOwner` owns it by then. */
  blockedUntilMs: number
  blockedOwner: string | undefined
}

/** An admission request that waits for a token. */
export interface WaitingRequest {
  requestId: number
  deadlineMs: number
}

/** The spender's state of one workspace. */
export interface WorkspaceState {
  workspace: string
  limit: WorkspaceLimit
  shares: ShareEstimate[]
  /** Earliest expiry first. */
  grants: HeldGrant[]
  waiting: WaitingRequest[]
  /** Tokens for expected requests in demands that have not been responded to. */
  prefetchInFlight: number
  /** Decaying average of arrivals, in requests per millisecond. */
  demandPerMs: number
  lastArrivalAtMs: number
}

/** A demand that has been sent and not yet responded to. */
export interface PendingDemand {
  owner: string
  sentAtMs: number
  items: DemandItem[]
  /** True once the reply timeout has passed. Tokens of a late response are still used. */
  isOverdue: boolean
}

/** Demand items and reports to be sent to one owner. */
export interface OwnerLink {
  owner: string
  /** Incarnation of the owner in its last response; 0 before the first. */
  incarnation: number
  lastFlushAtMs: number
  items: DemandItem[]
  /** Grants whose use has changed since the last report, by grant id. */
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
  /** Keyed by the demand's `seq`. */
  pending: Map<number, PendingDemand>
  nextSeq: number
  lastSweepAtMs: number
  /** When the next tick is needed, or earlier. */
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

/** Returns the workspace's state, with its shares updated to `limit`. */
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

/** Ensures that the next tick comes no later than `atMs`. */
export function scheduleTick (state: SpenderState, atMs: number): void {
  if (atMs < state.wakeAtMs) state.wakeAtMs = atMs
}

/** Tokens requested for waiting requests of the workspace, over all shares. */
export function countInFlight (workspaceState: WorkspaceState): number {
  return workspaceState.shares.reduce((sum, share) => sum + share.inFlight, 0)
}
