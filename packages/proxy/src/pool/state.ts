import { createFairQueue, type FairQueueState } from './fair-queue.ts'

/** A request for a connection that has not been granted yet. */
export interface Waiter {
  id: number
  workspace: string
  /** True for a transaction, which keeps its connection until it ends. */
  isPinned: boolean
  deadlineMs: number
}

export interface PooledConnection {
  id: number
  state: 'opening' | 'idle' | 'busy' | 'closing'
  isPinned: boolean
  /** Workspace that uses the connection; empty when none does. */
  workspace: string
  grantedAtMs: number
  /** Service time charged to the workspace when the connection was granted. */
  estimatedServiceMs: number
}

/** This VM's limits for one instance. */
export interface PoolLimits {
  connections: number
  /** Statements that may run concurrently outside transactions. */
  statements: number
  /** Connections that transactions may hold. */
  pinnedConnections: number
}

export interface PoolState {
  limits: PoolLimits
  connections: Map<number, PooledConnection>
  queue: FairQueueState<Waiter>
  /** Number of requests in the queue. */
  waiterCounts: { statements: number, transactions: number }
  /** Lower bound of the deadlines in the queue; avoids a scan of the queue for most messages. */
  earliestDeadlineMs: number
  nextConnectionId: number
  /** No connection is opened before this time. */
  backoffUntilMs: number
  /** Failed attempts to open a connection since the last success. */
  failures: number
  /** Moving average of the time a statement holds its connection. */
  meanServiceMs: number
  /** Time of the `wake` message already requested; infinite when there is none. */
  scheduledWakeAtMs: number
}

const INITIAL_SERVICE_ESTIMATE_MS = 5

/**
 * Computes this VM's limits from its share of an instance's connections and from the number of
 * statements that the instance runs at once (`slots`). Half of the connections are reserved for
 * single statements, so that transactions cannot starve them; a share of one serves both.
 */
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
