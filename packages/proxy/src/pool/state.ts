import { createFairQueue, type FairQueueState } from './fair-queue.ts'

/** A request for a connection that has not been granted yet. */
export interface Waiter {
  id: number
  workspace: string
  /** A transaction keeps its connection until it ends. */
  isPinned: boolean
  deadlineMs: number
}

export interface PooledConnection {
  id: number
  state: 'opening' | 'idle' | 'busy' | 'closing'
  isPinned: boolean
  workspace: string
  grantedAtMs: number
  /** Service charged to the workspace when the connection was granted. */
  estimatedServiceMs: number
}

/** What this VM may use of one instance. */
export interface PoolLimits {
  connections: number
  /** Statements sent at once, transactions not counted. */
  statements: number
  /** Connections that transactions may hold. */
  pinnedConnections: number
}

export interface PoolState {
  limits: PoolLimits
  connections: Map<number, PooledConnection>
  queue: FairQueueState<Waiter>
  /** Requests in the queue. */
  waiterCounts: { statements: number, transactions: number }
  /** No request in the queue has an earlier deadline; kept so that most messages need not look at all of them. */
  earliestDeadlineMs: number
  nextConnectionId: number
  /** No connection is opened before this time. */
  backoffUntilMs: number
  failures: number
  /** Moving average of the time a statement holds its connection. */
  meanServiceMs: number
  /** Time of the wake-up already asked for. */
  scheduledWakeAtMs: number
}

const INITIAL_SERVICE_ESTIMATE_MS = 5

/** Half of the connections stay with single statements, so that transactions cannot starve them. */
export function computePoolLimits (connections: number, slots: number): PoolLimits {
  return { connections, statements: Math.min(connections, slots * 2), pinnedConnections: Math.max(1, Math.floor(connections / 2)) }
}

export function createPoolState (limits: PoolLimits): PoolState {
  return {
    limits,
    connections: new Map(),
    queue: createFairQueue(),
    waiterCounts: { statements: 0, transactions: 0 },
    earliestDeadlineMs: Infinity,
    nextConnectionId: 1,
    backoffUntilMs: 0,
    failures: 0,
    meanServiceMs: INITIAL_SERVICE_ESTIMATE_MS,
    scheduledWakeAtMs: Infinity
  }
}
