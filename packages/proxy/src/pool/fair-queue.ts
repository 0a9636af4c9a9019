/**
 * Fair queueing between workspaces by virtual time.
 *
 * Each workspace has a tag: the service it has received, in milliseconds of endpoint time. The next
 * item comes from the workspace with the lowest tag, and a workspace that was idle starts at the
 * queue's virtual time, so idling earns no credit. This is start-time fair queueing (Goyal, Vin and
 * Cheng, 1996); the true cost is charged when it becomes known.
 */
export interface FairQueueState<Item> {
  virtualTimeMs: number
  flowsByWorkspace: Map<string, Flow<Item>>
}

/** Most service that a workspace can be ahead of the others, so that one slow statement does not shut it out. */
const MAX_SERVICE_LEAD_MS = 1_000

interface Flow<Item> {
  startTagMs: number
  /** Items handed out whose true cost is not yet known. */
  running: number
  waiting: Item[]
}

/** @example const queue = createFairQueue<string>() */
export function createFairQueue<Item> (): FairQueueState<Item> {
  return { virtualTimeMs: 0, flowsByWorkspace: new Map() }
}

/** @example addItem(queue, 'nordlys', 'statement') */
export function addItem<Item> (queue: FairQueueState<Item>, workspace: string, item: Item): void {
  const flow = queue.flowsByWorkspace.get(workspace)
  if (flow === undefined) {
    queue.flowsByWorkspace.set(workspace, { startTagMs: queue.virtualTimeMs, running: 0, waiting: [item] })
    return
  }
  if (flow.waiting.length === 0 && flow.running === 0) flow.startTagMs = Math.max(flow.startTagMs, queue.virtualTimeMs)
  flow.waiting.push(item)
}

/**
 * Takes the next item that `canServe` admits and charges its workspace `estimateMs`.
 *
 * @example pickItem(queue, () => true, 2) // 'statement'
 */
export function pickItem<Item> (queue: FairQueueState<Item>, canServe: (item: Item) => boolean, estimateMs: number): Item | undefined {
  let best: { flow: Flow<Item>, index: number } | undefined
  for (const flow of queue.flowsByWorkspace.values()) {
    if (best !== undefined && best.flow.startTagMs <= flow.startTagMs) continue
    const index = flow.waiting.findIndex(canServe)
    if (index >= 0) best = { flow, index }
  }
  if (best === undefined) return undefined
  const { flow, index } = best
  queue.virtualTimeMs = Math.max(queue.virtualTimeMs, flow.startTagMs)
  flow.startTagMs += estimateMs
  flow.running++
  return flow.waiting.splice(index, 1)[0]
}

/** Replaces the estimate charged for an item by what it cost; a long hold is charged up to `MAX_LEAD_MS`. */
export function recordCost<Item> (queue: FairQueueState<Item>, workspace: string, estimateMs: number, costMs: number): void {
  const flow = queue.flowsByWorkspace.get(workspace)
  if (flow === undefined) return
  flow.startTagMs = Math.min(flow.startTagMs + costMs - estimateMs, queue.virtualTimeMs + MAX_SERVICE_LEAD_MS)
  flow.running--
  removeIdleFlow(queue, workspace, flow)
}

/** Removes and returns the items that match. */
export function removeItems<Item> (queue: FairQueueState<Item>, matches: (item: Item) => boolean): Item[] {
  const removed: Item[] = []
  for (const [workspace, flow] of queue.flowsByWorkspace) {
    const kept = flow.waiting.filter(i => !matches(i))
    if (kept.length === flow.waiting.length) continue
    removed.push(...flow.waiting.filter(matches))
    flow.waiting = kept
    removeIdleFlow(queue, workspace, flow)
  }
  return removed
}

/** A flow behind virtual time would be raised to it on its next item, so it need not be kept. */
function removeIdleFlow<Item> (queue: FairQueueState<Item>, workspace: string, flow: Flow<Item>): void {
  if (flow.waiting.length === 0 && flow.running === 0 && flow.startTagMs <= queue.virtualTimeMs) queue.flowsByWorkspace.delete(workspace)
}

/** @example countWaiting(queue, 'nordlys') // 3 */
export function countWaitingItems<Item> (queue: FairQueueState<Item>, workspace: string): number {
  return queue.flowsByWorkspace.get(workspace)?.waiting.length ?? 0
}

/** Items that are served before a new one of `workspace`, when all workspaces take turns. */
export function countItemsAhead<Item> (queue: FairQueueState<Item>, workspace: string): number {
  const waitingCount = countWaitingItems(queue, workspace)
  let ahead = 0
  for (const [name, flow] of queue.flowsByWorkspace) ahead += name === workspace ? waitingCount : Math.min(flow.waiting.length, waitingCount + 1)
  return ahead
}
