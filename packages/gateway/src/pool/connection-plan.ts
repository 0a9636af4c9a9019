import { EXCESS_IDLE_TIMEOUT_MS } from './connection-pressure.ts'
import { computeEffectivePriority } from './request-order.ts'

/** State of one connection to an endpoint, as far as planning needs it. */
export interface ConnectionSlot {
  id: number
  workspace: string
  /** Client session whose values and prepared statements the connection holds; `null` when it holds none. */
  session: string | null
  state: 'opening' | 'idle' | 'busy'
  /** Whether the connection holds a transaction whose client has sent no further statement. */
  isHeld?: boolean
  /** Time of the last use, or of opening when the connection has not been used yet. */
  lastUsedAtMs: number
}

/** A pending request for a connection. */
export interface ConnectionRequest {
  id: number
  workspace: string
  session: string
  /** 0 is served first. */
  priority: number
  requestedAtMs: number
  /** Time at which the request is rejected if it has no connection yet. */
  deadlineMs: number
}

export interface ConnectionLimits {
  /** Idle connections are closed only while more than this many connections are open. */
  retainedConnections: number
  /** Maximum number of open connections, including those being opened. */
  maxOpenConnections: number
  /** Idle time after which a connection is closed while more than `retainedConnections` are open, in milliseconds. */
  idleTimeoutMs?: number
  /** Maximum number of connections that run a statement or are being opened; connections that idle transactions hold do not count. */
  maxActive?: number
  /** Whether a request is of the highest priority, for which `maxActive` does not apply. */
  isUrgent?: (request: ConnectionRequest) => boolean
}

export type PlannedStep =
  | { type: 'grant', request: ConnectionRequest, slot: ConnectionSlot }
  | { type: 'open', workspace: string }
  | { type: 'close', slot: ConnectionSlot }

/**
 * Plans which pending requests get which connections, and which connections to open or close.
 *
 * A connection serves one workspace only. A request gets an idle connection that its session used before, or else
 * the most recently used idle connection of its workspace. When there is none, a connection is opened. At the
 * connection limit, the least recently used idle connection is closed first to make room. Requests are ordered by
 * priority, then by how few connections their workspace has in use, then by the time of the request, unless they come in the order of their turns.
 *
 * @param areSorted whether the requests are in the order of their turns
 * @param canOpen whether connections may be opened now, for a request; `false` during the backoff after a failed attempt, for example
 * @returns the steps in the order in which they must be carried out
 */
export function planConnections (slots: readonly ConnectionSlot[], requests: readonly ConnectionRequest[], limits: ConnectionLimits, canOpen: boolean | ((request: ConnectionRequest) => boolean), nowMs: number, areSorted = false): PlannedStep[] {
  const steps: PlannedStep[] = []
  const idleSlots = new Set(slots.filter(s => s.state === 'idle'))
  const openingByWorkspace = countByWorkspace(slots.filter(s => s.state === 'opening'))
  let openCount = slots.length
  let activeCount = countActive(slots)
  for (const request of areSorted ? requests : sortRequests(slots, requests, nowMs)) {
    if (isOverLimit(limits, request, activeCount)) continue
    const slot = pickIdleSlot(idleSlots, request)
    if (slot !== undefined) {
      idleSlots.delete(slot)
      activeCount++
      steps.push({ type: 'grant', request, slot })
      continue
    }
    const connectionsBeingOpened = openingByWorkspace.get(request.workspace) ?? 0
    if (connectionsBeingOpened > 0) {
      openingByWorkspace.set(request.workspace, connectionsBeingOpened - 1)
      continue
    }
    if (!canOpenNow(canOpen, request)) continue
    const evicted = openCount < limits.maxOpenConnections ? undefined : pickLeastRecentlyUsed(idleSlots)
    if (openCount >= limits.maxOpenConnections && evicted === undefined) continue
    if (evicted !== undefined) {
      idleSlots.delete(evicted)
      steps.push({ type: 'close', slot: evicted })
      openCount--
    }
    steps.push({ type: 'open', workspace: request.workspace })
    openCount++
    activeCount++
  }
  return [...steps, ...planExcessCloses(idleSlots, openCount, limits, nowMs)]
}

function canOpenNow (canOpen: boolean | ((request: ConnectionRequest) => boolean), request: ConnectionRequest): boolean {
  return typeof canOpen === 'boolean' ? canOpen : canOpen(request)
}

function countActive (slots: readonly ConnectionSlot[]): number {
  return slots.filter(s => s.state === 'opening' || (s.state === 'busy' && s.isHeld !== true)).length
}

function isOverLimit ({ maxActive, isUrgent }: ConnectionLimits, request: ConnectionRequest, activeCount: number): boolean {
  return maxActive !== undefined && activeCount >= maxActive && isUrgent?.(request) !== true
}

function planExcessCloses (idleSlots: ReadonlySet<ConnectionSlot>, openCount: number, limits: ConnectionLimits, nowMs: number): PlannedStep[] {
  const closable = [...idleSlots].filter(s => nowMs - s.lastUsedAtMs >= (limits.idleTimeoutMs ?? EXCESS_IDLE_TIMEOUT_MS)).sort((a, b) => a.lastUsedAtMs - b.lastUsedAtMs)
  return closable.slice(0, Math.max(0, openCount - limits.retainedConnections)).map(slot => ({ type: 'close', slot }))
}

function countByWorkspace (slots: readonly ConnectionSlot[]): Map<string, number> {
  const counts = new Map<string, number>()
  for (const { workspace } of slots) counts.set(workspace, (counts.get(workspace) ?? 0) + 1)
  return counts
}

function sortRequests (slots: readonly ConnectionSlot[], requests: readonly ConnectionRequest[], nowMs: number): ConnectionRequest[] {
  if (requests.length < 2) return [...requests]
  const busyByWorkspace = countByWorkspace(slots.filter(s => s.state === 'busy'))
  const countBusy = (request: ConnectionRequest): number => busyByWorkspace.get(request.workspace) ?? 0
  return [...requests].sort((a, b) => computeEffectivePriority(a, nowMs) - computeEffectivePriority(b, nowMs) || countBusy(a) - countBusy(b) || a.requestedAtMs - b.requestedAtMs)
}

function pickIdleSlot (idleSlots: ReadonlySet<ConnectionSlot>, request: ConnectionRequest): ConnectionSlot | undefined {
  let mostRecentlyUsed: ConnectionSlot | undefined
  for (const slot of idleSlots) {
    if (slot.workspace !== request.workspace) continue
    if (slot.session === request.session) return slot
    if (mostRecentlyUsed === undefined || slot.lastUsedAtMs > mostRecentlyUsed.lastUsedAtMs) mostRecentlyUsed = slot
  }
  return mostRecentlyUsed
}

function pickLeastRecentlyUsed (idleSlots: ReadonlySet<ConnectionSlot>): ConnectionSlot | undefined {
  let leastRecentlyUsed: ConnectionSlot | undefined
  for (const slot of idleSlots) {
    if (leastRecentlyUsed === undefined || slot.lastUsedAtMs < leastRecentlyUsed.lastUsedAtMs) leastRecentlyUsed = slot
  }
  return leastRecentlyUsed
}
