/** A connection to one endpoint, as the plan sees it. */
export interface ConnectionSlot {
  id: number
  workspace: string
  /** Client session whose values and prepared statements it holds; `null` for none. */
  session: string | null
  state: 'opening' | 'idle' | 'busy'
  /** When it was last used or opened. */
  usedAtMs: number
}

/** A request for a connection. */
export interface Waiter {
  id: number
  workspace: string
  session: string
  /** 0 goes first. */
  priority: number
  sinceMs: number
  /** When it has to be refused. */
  deadlineMs: number
}

export interface ConnectionLimits {
  /** Connections kept open while idle. */
  kept: number
  /** Connections open at most. */
  most: number
}

export type PlannedStep =
  | { type: 'grant', waiter: Waiter, slot: ConnectionSlot }
  | { type: 'open', workspace: string }
  | { type: 'close', slot: ConnectionSlot }

/** An idle connection above the kept ones is closed after this long, in milliseconds. */
export const IDLE_EXCESS_MS = 250

/**
 * Plans which waiting requests get which connections, and which connections to open or close for them.
 *
 * Connections belong to a workspace. A request takes an idle one of its session or else of its workspace;
 * where there is none, one is opened, in place of the longest idle connection of another workspace if no
 * more may be open. Requests go by priority, then to the workspace that has fewest connections in use.
 */
export function planConnections (slots: readonly ConnectionSlot[], waiters: readonly Waiter[], limits: ConnectionLimits, canOpen: boolean, nowMs: number): PlannedStep[] {
  const steps: PlannedStep[] = []
  const idle = new Set(slots.filter(s => s.state === 'idle'))
  const opening = countByWorkspace(slots.filter(s => s.state === 'opening'))
  let open = slots.length
  for (const waiter of sortWaiters(slots, waiters, nowMs)) {
    const slot = pickIdle(idle, waiter)
    if (slot !== undefined) {
      idle.delete(slot)
      steps.push({ type: 'grant', waiter, slot })
      continue
    }
    const expected = opening.get(waiter.workspace) ?? 0
    if (expected > 0) {
      opening.set(waiter.workspace, expected - 1)
      continue
    }
    if (!canOpen) continue
    const evicted = open < limits.most ? undefined : pickLongestIdle(idle)
    if (open >= limits.most && evicted === undefined) continue
    if (evicted !== undefined) {
      idle.delete(evicted)
      steps.push({ type: 'close', slot: evicted })
      open--
    }
    steps.push({ type: 'open', workspace: waiter.workspace })
    open++
  }
  return [...steps, ...planExcess(idle, open, limits, nowMs)]
}

function planExcess (idle: ReadonlySet<ConnectionSlot>, open: number, limits: ConnectionLimits, nowMs: number): PlannedStep[] {
  const closable = [...idle].filter(s => nowMs - s.usedAtMs >= IDLE_EXCESS_MS).sort((a, b) => a.usedAtMs - b.usedAtMs)
  return closable.slice(0, Math.max(0, open - limits.kept)).map(slot => ({ type: 'close', slot }))
}

function countByWorkspace (slots: readonly ConnectionSlot[]): Map<string, number> {
  const counts = new Map<string, number>()
  for (const { workspace } of slots) counts.set(workspace, (counts.get(workspace) ?? 0) + 1)
  return counts
}

/** A request that has used half of its waiting time goes one priority earlier, so that none starves. */
function computePriority (waiter: Waiter, nowMs: number): number {
  const isHalfWaited = (nowMs - waiter.sinceMs) * 2 >= waiter.deadlineMs - waiter.sinceMs
  return isHalfWaited ? waiter.priority - 1 : waiter.priority
}

function sortWaiters (slots: readonly ConnectionSlot[], waiters: readonly Waiter[], nowMs: number): Waiter[] {
  if (waiters.length < 2) return [...waiters]
  const busy = countByWorkspace(slots.filter(s => s.state === 'busy'))
  const readBusy = (w: Waiter): number => busy.get(w.workspace) ?? 0
  return [...waiters].sort((a, b) => computePriority(a, nowMs) - computePriority(b, nowMs) || readBusy(a) - readBusy(b) || a.sinceMs - b.sinceMs)
}

function pickIdle (idle: ReadonlySet<ConnectionSlot>, waiter: Waiter): ConnectionSlot | undefined {
  let best: ConnectionSlot | undefined
  for (const slot of idle) {
    if (slot.workspace !== waiter.workspace) continue
    if (slot.session === waiter.session) return slot
    if (best === undefined || slot.usedAtMs > best.usedAtMs) best = slot
  }
  return best
}

function pickLongestIdle (idle: ReadonlySet<ConnectionSlot>): ConnectionSlot | undefined {
  let longest: ConnectionSlot | undefined
  for (const slot of idle) {
    if (longest === undefined || slot.usedAtMs < longest.usedAtMs) longest = slot
  }
  return longest
}
