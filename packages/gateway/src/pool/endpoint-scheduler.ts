import type { ConnectionLimits, ConnectionRequest, ConnectionSlot } from './connection-plan.ts'
import { createConcurrencyLimit, readShortestMs, recordFullQueue, recordResponseTime } from './concurrency-limit.ts'
import { sortByTurn } from './request-order.ts'
import { createWorkspaceUsage, readUsedMs, recordUse } from './workspace-usage.ts'

/** Kind under which the opening of connections is recorded. */
const CONNECT_KIND = 'connect'
/** Time to open a connection that is assumed before the first one, in milliseconds. */
const FIRST_CONNECT_MS = 50
/** Weight of the latest time to open a connection in the moving average. */
const NEW_CONNECT_WEIGHT = 0.3
/** An opening that takes longer than this multiple of the recent ones may be at an endpoint that does not respond. */
const MAX_OPENING_FACTOR = 2
/** Backoff of the highest priority at an endpoint that refuses connections, in milliseconds: it waits for 100 ms at most. */
const URGENT_BACKOFF_MS = 20
/** Time for which a priority counts as in use after a request of it, in milliseconds. */
const PRIORITY_MEMORY_MS = 5_000

/** Which decisions on waiting requests apply; those that are missing do. Tests and trials turn single ones off. */
export interface SchedulingOptions {
  /** Whether the decisions apply now; they always do by default. */
  isApplied?: () => boolean
  /** Limit of what is in flight (`concurrency-limit.ts`). */
  limit?: boolean
  /** Order by priority, share and time left (`request-order.ts`). */
  order?: boolean
  /** No connection is opened that would come too late, and the highest priority waits for one that is being opened. */
  openings?: boolean
}

/** Decides which requests for one endpoint go first, from what this VM has seen of it. Times are on this VM's clock, in milliseconds. */
export class EndpointScheduler {
  readonly #options: SchedulingOptions
  readonly #limit: ReturnType<typeof createConcurrencyLimit>
  readonly #usage = createWorkspaceUsage()
  /** Time of the last request of each priority. */
  readonly #lastRequestedAtMs = new Map<number, number>()
  #nextUrgentOpenAtMs = -Infinity
  /** Moving average of the time to open a connection, in milliseconds. */
  #averageConnectMs = FIRST_CONNECT_MS

  constructor (slots: number, options: SchedulingOptions) {
    this.#options = options
    this.#limit = createConcurrencyLimit(slots)
  }

  get isApplied (): boolean {
    return this.#options.isApplied?.() ?? true
  }

  get concurrencyLimit (): number {
    return this.#limit.limit
  }

  get congestion (): number {
    return this.#limit.congestion
  }

  recordRequest (priority: number, nowMs: number): void {
    this.#lastRequestedAtMs.set(priority, nowMs)
  }

  /** Records that a workspace gave a connection back that it was granted at `grantedAtMs`. */
  recordRelease (workspace: string, grantedAtMs: number, nowMs: number): void {
    recordUse(this.#usage, workspace, nowMs - grantedAtMs, nowMs)
  }

  recordStatement (kind: string, sentAtMs: number, inFlight: number, nowMs: number): void {
    recordResponseTime(this.#limit, kind, nowMs - sentAtMs, inFlight, nowMs)
  }

  recordConnected (sentAtMs: number, inFlight: number, nowMs: number): void {
    this.#averageConnectMs += NEW_CONNECT_WEIGHT * (nowMs - sentAtMs - this.#averageConnectMs)
    recordResponseTime(this.#limit, CONNECT_KIND, nowMs - sentAtMs, inFlight, nowMs)
  }

  /** Records that the endpoint's queue was full. */
  recordBusy (nowMs: number): void {
    recordFullQueue(this.#limit, nowMs)
  }

  /** Records that the endpoint refused a connection. @returns the time until the highest priority tries again, in milliseconds */
  recordConnectionRefused (backoffMs: number, nowMs: number): number {
    const urgentBackoffMs = Math.min(backoffMs, URGENT_BACKOFF_MS)
    this.#nextUrgentOpenAtMs = nowMs + urgentBackoffMs
    return urgentBackoffMs
  }

  /** Returns the limits of a plan, with those that are decided here. */
  computeLimits (limits: ConnectionLimits, nowMs: number): ConnectionLimits {
    if (this.#options.limit === false) return limits
    return { ...limits, maxActive: Math.floor(this.#limit.limit), isUrgent: request => this.#isUrgent(request, nowMs) }
  }

  /** Orders waiting requests by their turn; `undefined` if the plan's own order applies. */
  sortRequests (requests: readonly ConnectionRequest[], slots: Iterable<ConnectionSlot & { grantedAtMs: number }>, nowMs: number): ConnectionRequest[] | undefined {
    if (this.#options.order === false) return undefined
    const inUseMs = new Map<string, number>()
    for (const { state, workspace, grantedAtMs } of slots) if (state === 'busy') inUseMs.set(workspace, (inUseMs.get(workspace) ?? 0) + nowMs - grantedAtMs)
    return sortByTurn(requests, workspace => readUsedMs(this.#usage, workspace, nowMs) + (inUseMs.get(workspace) ?? 0), nowMs)
  }

  /**
   * Whether a connection may be opened for a request: one that would come after the end of the request's wait only takes time of a slot.
   * After refusals by the endpoint, the highest priority tries again sooner than the others.
   *
   * @param nextOpenAtMs end of the backoff of the other priorities
   */
  canOpen (request: ConnectionRequest, nextOpenAtMs: number, nowMs: number): boolean {
    if (this.#options.openings === false) return nowMs >= nextOpenAtMs
    const connectMs = Math.min(this.#readConnectMs(), (request.deadlineMs - request.requestedAtMs) / 2)
    if (request.deadlineMs - nowMs < connectMs) return false
    return nowMs >= (this.#isUrgent(request, nowMs) ? Math.min(nextOpenAtMs, this.#nextUrgentOpenAtMs) : nextOpenAtMs)
  }

  /** Records a backoff that applies to all priorities, for example after a connection attempt without a response. */
  recordBackoff (backoffMs: number, nowMs: number): void {
    this.#nextUrgentOpenAtMs = nowMs + backoffMs
  }

  /** Estimates the time within which a connection is open, unless the endpoint does not respond, in milliseconds. */
  estimateOpeningMs (): number {
    return MAX_OPENING_FACTOR * this.#averageConnectMs
  }

  /**
   * Computes for how long a request of the highest priority goes on waiting after its time, in milliseconds: while a connection is being
   * opened for it that the endpoint has not refused within the time in which it would have, and that does not take too long.
   *
   * @param requests waiting requests in the order of their arrival
   * @param unansweredMs time for which the endpoint has owed a response without any contact
   */
  computeExtraWaitMs (request: ConnectionRequest, requests: Iterable<ConnectionRequest>, slots: Iterable<ConnectionSlot>, unansweredMs: number, nowMs: number): number {
    if (this.#options.openings === false || !this.#isUrgent(request, nowMs)) return 0
    const ages: number[] = []
    for (const { state, workspace, lastUsedAtMs } of slots) if (state === 'opening' && workspace === request.workspace && nowMs - lastUsedAtMs >= this.#readConnectMs()) ages.push(nowMs - lastUsedAtMs)
    let ahead = 0
    for (const { id, workspace } of requests) {
      if (id === request.id) break
      if (workspace === request.workspace) ahead++
    }
    const ageMs = ages[ahead]
    return ageMs === undefined ? 0 : Math.max(0, this.estimateOpeningMs() - Math.max(ageMs, unansweredMs))
  }

  #readConnectMs (): number {
    return readShortestMs(this.#limit, CONNECT_KIND) ?? FIRST_CONNECT_MS
  }

  /** Whether no request of a higher priority has come lately. */
  #isUrgent ({ priority }: ConnectionRequest, nowMs: number): boolean {
    for (const [other, atMs] of this.#lastRequestedAtMs) if (other < priority && nowMs - atMs < PRIORITY_MEMORY_MS) return false
    return true
  }
}
