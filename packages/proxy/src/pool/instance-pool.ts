import { describeError, spawnSlice, TOO_MANY_CONNECTIONS_ERRNO, type Clock, type Database, type Endpoint, type Logger, type SliceActor } from '@camphorpitch/wire'
import type { ActorSystemRef } from 'nact'
import { decidePool } from './decide-pool.ts'
import { openEndpointConnection, type EndpointConnection } from './endpoint-connection.ts'
import type { PoolEffect, PoolMessage } from './messages.ts'
import { createPoolState, type PoolLimits, type PoolState } from './state.ts'

/** Outcome of a request for a connection. A granted connection must be given back with `release`; further calls of it do nothing. */
export type Acquisition =
  | { granted: true, connection: EndpointConnection, release: (isReusable: boolean) => void }
  | { granted: false, reason: string, retryAfterMs: number, isOverload: boolean }

export interface AcquireRequest {
  workspace: string
  /** True for a transaction, which keeps its connection until it ends. */
  isPinned: boolean
  /** Time on the pool's clock at which a waiting request is refused. */
  deadlineMs: number
}

export interface InstancePoolOptions {
  system: ActorSystemRef
  database: Database
  endpoint: Endpoint
  limits: PoolLimits
  clock: Clock
  logger: Logger
  /** Name of the pool's actor; unique also among successive pools of one instance. */
  name: string
}

const stoppedAcquisition: Acquisition = { granted: false, reason: 'pool is stopped', retryAfterMs: 0, isOverload: false }

function readErrno (error: unknown): number {
  return (error as { errno?: number }).errno ?? 0
}

/**
 * Holds the connections of this VM to one instance.
 *
 * @example
 * const pool = new InstancePool(options)
 * const lease = await pool.acquire({ workspace, isPinned: false, deadlineMs }).acquisition
 * if (lease.granted) lease.release(lease.connection.isReusable())
 */
export class InstancePool {
  readonly #options: InstancePoolOptions
  readonly #waiterResolvers = new Map<number, (acquisition: Acquisition) => void>()
  readonly #connections = new Map<number, EndpointConnection>()
  readonly #slice: SliceActor<PoolState, PoolMessage>
  #lastWaiterId = 0
  #grantedCount = 0
  #isStopped = false
  #isStoppingWhenIdle = false
  #wakeTimer: NodeJS.Timeout | undefined

  constructor (options: InstancePoolOptions) {
    const { system, name, clock, logger } = options
    this.#options = options
    this.#slice = spawnSlice<PoolState, PoolMessage, PoolEffect>({
      system,
      name,
      clock,
      logger,
      initialState: createPoolState(options.limits),
      decide: decidePool,
      runEffect: effect => this.#runEffect(effect)
    })
  }

  /** Requests a connection. `cancel` withdraws the request; it does nothing after the request was granted or refused. */
  acquire (request: AcquireRequest): { acquisition: Promise<Acquisition>, cancel: () => void } {
    if (this.#isStopped || this.#isStoppingWhenIdle) return { acquisition: Promise.resolve(stoppedAcquisition), cancel: () => {} }
    const id = ++this.#lastWaiterId
    const acquisition = new Promise<Acquisition>(resolve => {
      this.#waiterResolvers.set(id, resolve)
      this.#slice.tell({ type: 'acquire', waiter: { id, ...request } })
    })
    return { acquisition, cancel: () => this.#cancelWaiter(id) }
  }

  #cancelWaiter (waiterId: number): void {
    if (!this.#settleWaiter(waiterId, { granted: false, reason: 'cancelled', retryAfterMs: 0, isOverload: true })) return
    this.#slice.tell({ type: 'cancel', waiter: waiterId })
  }

  /** Applies new limits; closes idle connections above them, and refuses waiting requests when no connection is left. */
  setLimits (limits: PoolLimits): void {
    this.#slice.tell({ type: 'limits', limits })
  }

  /** Refuses waiting requests and closes idle connections; `isReplaced` (another instance is primary) closes busy connections too. */
  handleUnreachable (isReplaced: boolean): void {
    this.#slice.tell({ type: 'unreachable', isReplaced })
  }

  /** Counts the requests that are waiting or hold a connection. */
  countOutstandingRequests (): number {
    return this.#waiterResolvers.size + this.#grantedCount
  }

  /** Counts the connections, including those that are opening or closing. */
  countConnections (): number {
    return this.#slice.readState().connections.size
  }

  /** Refuses requests from now on and stops the pool when every granted connection has been released; for an endpoint that has left. */
  stopWhenIdle (): void {
    this.#isStoppingWhenIdle = true
    this.setLimits({ connections: 0, statements: 0, pinnedConnections: 0 })
    if (this.#grantedCount === 0) this.stop()
  }

  /** Stops the pool at once: closes all connections, also busy ones, and refuses waiting requests. */
  stop (): void {
    this.#isStopped = true
    clearTimeout(this.#wakeTimer)
    for (const connection of this.#connections.values()) connection.close()
    for (const waiter of [...this.#waiterResolvers.keys()]) this.#settleWaiter(waiter, stoppedAcquisition)
    this.#slice.stop()
  }

  #runEffect (effect: PoolEffect): void {
    switch (effect.type) {
      case 'open':
        this.#openConnection(effect.connection).catch((error: unknown) => {
          this.#options.logger.error('endpoint connection not recorded', { error: String(error) })
        })
        return
      case 'close':
        this.#connections.get(effect.connection)?.close()
        return
      case 'grant': return this.#grantConnection(effect.waiter, effect.connection)
      case 'refuse':
        this.#settleWaiter(effect.waiter, { granted: false, reason: effect.reason, retryAfterMs: effect.retryAfterMs, isOverload: effect.isOverload })
        return
      case 'wake': this.#scheduleWake(effect.atMs)
    }
  }

  async #openConnection (connectionId: number): Promise<void> {
    const { database, endpoint, logger } = this.#options
    try {
      const connection = await openEndpointConnection({ endpoint, database, handleClosed: () => this.#handleClosed(connectionId) })
      if (this.#isStopped) {
        connection.close()
        return
      }
      this.#connections.set(connectionId, connection)
      this.#slice.tell({ type: 'opened', connection: connectionId })
    } catch (error) {
      const reason = describeError(error)
      const errno = readErrno(error)
      logger.warn('connecting to endpoint failed', { database: database.database, endpoint: endpoint.endpoint, reason, errno })
      this.#slice.tell({ type: 'openFailed', connection: connectionId, reason, isLimitReached: errno === TOO_MANY_CONNECTIONS_ERRNO })
    }
  }

  #handleClosed (connectionId: number): void {
    this.#connections.delete(connectionId)
    this.#slice.tell({ type: 'closed', connection: connectionId })
  }

  #grantConnection (waiterId: number, connectionId: number): void {
    const connection = this.#connections.get(connectionId)
    if (connection === undefined) {
      this.#settleWaiter(waiterId, { granted: false, reason: 'connection closed before use', retryAfterMs: 0, isOverload: false })
      return
    }
    this.#grantedCount++
    let isReleased = false
    const release = (isReusable: boolean): void => {
      if (isReleased) return
      isReleased = true
      this.#grantedCount--
      this.#slice.tell({ type: 'released', connection: connectionId, isReusable })
      if (this.#isStoppingWhenIdle && this.#grantedCount === 0) this.stop()
    }
    if (!this.#settleWaiter(waiterId, { granted: true, connection, release })) release(true)
  }

  #settleWaiter (waiterId: number, acquisition: Acquisition): boolean {
    const resolve = this.#waiterResolvers.get(waiterId)
    if (resolve === undefined) return false
    this.#waiterResolvers.delete(waiterId)
    resolve(acquisition)
    return true
  }

  #scheduleWake (atMs: number): void {
    clearTimeout(this.#wakeTimer)
    const delayMs = Math.max(1, atMs - this.#options.clock.readNow())
    this.#wakeTimer = setTimeout(() => this.#slice.tell({ type: 'wake' }), delayMs)
    this.#wakeTimer.unref()
  }
}
