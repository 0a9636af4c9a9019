/** Time after which a use counts half, in milliseconds. */
const HALF_LIFE_MS = 1_000

/** Connection time that each workspace has lately used at one endpoint. */
export interface WorkspaceUsage { byWorkspace: Map<string, { usedMs: number, atMs: number }> }

export function createWorkspaceUsage (): WorkspaceUsage {
  return { byWorkspace: new Map() }
}

/** Number of workspaces from which on those that have not used the endpoint lately are dropped. */
const MAX_WORKSPACES = 500
/** Use below which a workspace counts as not having used the endpoint, in milliseconds. */
const NEGLIGIBLE_MS = 1

/** Records that a workspace has used a connection for `usedMs`. */
export function recordUse (usage: WorkspaceUsage, workspace: string, usedMs: number, nowMs: number): void {
  usage.byWorkspace.set(workspace, { usedMs: readUsedMs(usage, workspace, nowMs) + usedMs, atMs: nowMs })
  if (usage.byWorkspace.size > MAX_WORKSPACES) sweepUnused(usage, nowMs)
}

function sweepUnused (usage: WorkspaceUsage, nowMs: number): void {
  for (const workspace of [...usage.byWorkspace.keys()]) if (readUsedMs(usage, workspace, nowMs) < NEGLIGIBLE_MS) usage.byWorkspace.delete(workspace)
}

/** Returns the connection time that the workspace has lately used, in milliseconds; earlier uses count less. */
export function readUsedMs ({ byWorkspace }: WorkspaceUsage, workspace: string, nowMs: number): number {
  const use = byWorkspace.get(workspace)
  return use === undefined ? 0 : use.usedMs * 0.5 ** ((nowMs - use.atMs) / HALF_LIFE_MS)
}
