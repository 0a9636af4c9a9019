/**
 * State of start-time fair queueing between workspaces (Goyal, Vin and Cheng, 1996).
 *
 * Each workspace has a start tag: the service that it has received, in milliseconds of endpoint time.
 * The next item is taken from the workspace with the lowest tag. A workspace that was idle starts at
 * the queue's virtual time, so that it gets no credit for being idle. An item is charged an estimate
 * when it is taken, and its actual cost when that becomes known.
 */
export interface FairQueueState<Item> {
  virtualTimeMs: number
  flowsByWorkspace: Map<string, Flow<Item>>
}

/** Limits how far a start tag can be ahead of virtual time, so that one slow statement does not block its workspace for long. */
const MAX_SERVICE_LEAD_MS = 1_000

interface Flow<Item> {
  startTagMs: number
  /** Number of items taken whose actual cost is not yet known. */
  running: number
  waiting: Item[]
}

/** @example const queue = createFairQueue<string>() */
export function createFairQueue<Item> (): FairQueueState<Item> {
  return { virtualTimeMs: 0, flowsByWorkspace: new Map() }
}

/**
 * Adds an item to the end of its workspace's queue.
 *
 * @example addItem(queue, 'nordlys', 'statement')
 */
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
 * Removes and returns the next item that `canServe` accepts, and charges its workspace `estimateMs`;
 * `undefined` when there is none. Follow it with `recordCost` once the item has been served.
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

/** Replaces the estimate charged for an item by its actual cost; the workspace ends up at most `MAX_SERVICE_LEAD_MS` ahead of virtual time. */
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

/** Deletes an idle flow that is not ahead of virtual time, since its next item would start it at virtual time anyway. */
function removeIdleFlow<Item> (queue: FairQueueState<Item>, workspace: string, flow: Flow<Item>): void {
  if (flow.waiting.length === 0 && flow.running === 0 && flow.startTagMs <= queue.virtualTimeMs) queue.flowsByWorkspace.delete(workspace)
}

/**
 * Counts the items of a workspace that have not been taken yet.
 *
 * @example countWaitingItems(queue, 'nordlys') // 3
 */
export function countWaitingItems<Item> (queue: FairQueueState<Item>, workspace: string): number {
  return queue.flowsByWorkspace.get(workspace)?.waiting.length ?? 0
}

/** Counts the items that would be served before a new item of `workspace` if the workspaces took turns. */
export function countItemsAhead<Item> (queue: FairQueueState<Item>, workspace: string): number {
  const waitingCount = countWaitingItems(queue, workspace)
  let ahead = 0
  for (const [name, flow] of queue.flowsByWorkspace) ahead += name === workspace ? waitingCount : Math.min(flow.waiting.length, waitingCount + 1)
  return ahead
}
