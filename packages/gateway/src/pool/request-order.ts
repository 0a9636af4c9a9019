import type { ConnectionRequest } from './connection-plan.ts'

/** A workspace below this multiple of the smallest share that waits is not behind another one, so that time left decides between them. */
const SHARE_STEP = 2
/** Connection time that no workspace is put behind others for, in milliseconds. */
const MIN_COUNTED_MS = 50

/**
 * Orders waiting requests: by priority, then by the share of the endpoint that their workspaces have lately used, then by the time left.
 *
 * A request is raised by one priority once half of its waiting time has passed, so that the lower ones do not starve. Shares count in steps
 * of a factor, so that workspaces with similar shares are served by the time left. A share that is not used goes to the others at once,
 * because only workspaces that wait are compared.
 *
 * @param readUsedMs returns the connection time that a workspace has lately used, with what it holds now
 */
export function sortByTurn (requests: readonly ConnectionRequest[], readUsedMs: (workspace: string) => number, nowMs: number): ConnectionRequest[] {
  if (requests.length < 2) return [...requests]
  const usedMs = new Map<string, number>()
  for (const { workspace } of requests) if (!usedMs.has(workspace)) usedMs.set(workspace, Math.max(MIN_COUNTED_MS, readUsedMs(workspace)))
  const leastMs = Math.min(...usedMs.values())
  const ranks = new Map(requests.map(r => [r, { priority: computeEffectivePriority(r, nowMs), step: Math.floor(Math.log(usedMs.get(r.workspace)! / leastMs) / Math.log(SHARE_STEP)) }]))
  return [...requests].sort((a, b) => {
    const [rankA, rankB] = [ranks.get(a)!, ranks.get(b)!]
    return rankA.priority - rankB.priority || rankA.step - rankB.step || a.deadlineMs - b.deadlineMs || a.id - b.id
  })
}

/** Raises a request by one priority once half of its waiting time has passed. */
export function computeEffectivePriority ({ priority, requestedAtMs, deadlineMs }: ConnectionRequest, nowMs: number): number {
  const hasWaitedHalf = (nowMs - requestedAtMs) * 2 >= deadlineMs - requestedAtMs
  return hasWaitedHalf ? priority - 1 : priority
}
