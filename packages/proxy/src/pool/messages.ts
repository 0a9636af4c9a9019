import type { PoolLimits, Waiter } from './state.ts'

export type PoolMessage =
  | { type: 'acquire', waiter: Waiter }
  /** The request for a connection was withdrawn. */
  | { type: 'cancel', waiter: number }
  | { type: 'opened', connection: number }
  /** `isLimitReached` when the instance refused the connection because its connection limit is reached. */
  | { type: 'openFailed', connection: number, reason: string, isLimitReached: boolean }
  /** A granted connection was given back; one that is not reusable is closed. */
  | { type: 'released', connection: number, isReusable: boolean }
  /** The connection's socket has closed. */
  | { type: 'closed', connection: number }
  /** This VM's share of the instance's connections has changed. */
  | { type: 'limits', limits: PoolLimits }
  /** The endpoint does not respond to probes; `isReplaced` when another instance is primary. */
  | { type: 'unreachable', isReplaced: boolean }
  /** The time requested by the last `wake` effect has come. */
  | { type: 'wake' }

export type PoolEffect =
  | { type: 'open', connection: number }
  | { type: 'close', connection: number }
  | { type: 'grant', waiter: number, connection: number }
  /** `isOverload` is true when the queue is too long, false when the endpoint cannot be used. */
  | { type: 'refuse', waiter: number, reason: string, retryAfterMs: number, isOverload: boolean }
  /** Requests a `wake` message at this time. */
  | { type: 'wake', atMs: number }
