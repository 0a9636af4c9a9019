import type { Clock, Database, Endpoint, Logger } from '@camphorpitch/wire'
import type { ActorSystemRef } from 'nact'
import type { GroupView } from '../failover/group-view.ts'
import type { PlacementView } from '../membership/placement-view.ts'
import { InstancePool } from './instance-pool.ts'
import { computePoolLimits } from './state.ts'

export interface EndpointPoolsOptions {
  system: ActorSystemRef
  database: Database
  group: GroupView
  placement: PlacementView
  clock: Clock
  logger: Logger
}

/** `replaced`: unreachable, and another instance is primary. */
type Reachability = 'reachable' | 'unreachable' | 'replaced'

interface PoolEntry {
  endpoint: Endpoint
  pool: InstancePool
  /** Number of the instance's connections that this VM may open. */
  share: number
  reachability: Reachability
}

let poolCount = 0

function classifyUnreachable (group: GroupView, endpoint: string): 'unreachable' | 'replaced' {
  const primary = group.findPrimary()
  return primary !== undefined && primary.endpoint.endpoint !== endpoint ? 'replaced' : 'unreachable'
}

function isSameAddress (a: Endpoint, b: Endpoint): boolean {
  return a.host === b.host && a.port === b.port
}

/** Keeps one connection pool for each instance of a database group; a pool is created when it is first used. */
export class EndpointPools {
  readonly #options: EndpointPoolsOptions
  readonly #entries = new Map<string, PoolEntry>()

  constructor (options: EndpointPoolsOptions) {
    this.#options = options
  }

  /** Returns the pool of an instance, or `undefined` when the instance does not belong to the group. */
  findPool (name: string): InstancePool | undefined {
    const entry = this.#entries.get(name)
    if (entry !== undefined) return entry.pool
    const endpoint = this.#options.group.listInstances().find(i => i.endpoint.endpoint === name)?.endpoint
    return endpoint === undefined ? undefined : this.#addPool(endpoint).pool
  }

  /** Counts the requests to an instance that are waiting or hold a connection. */
  countOutstandingRequests (name: string): number {
    return this.#entries.get(name)?.pool.countOutstandingRequests() ?? 0
  }

  /** Stops the pools of instances that have left the group or changed address, and refuses the requests that wait for unreachable ones. */
  updateInstances (): void {
    if (this.#entries.size === 0) return
    const views = new Map(this.#options.group.listInstances().map(i => [i.endpoint.endpoint, i]))
    for (const entry of [...this.#entries.values()]) {
      const view = views.get(entry.endpoint.endpoint)
      if (view !== undefined && isSameAddress(view.endpoint, entry.endpoint)) this.#updateReachability(entry, view.isReachable)
      else this.#removePool(entry)
    }
  }

  /** Adjusts the pools to this VM's current share of each instance's connections. */
  updateConnectionShares (): void {
    for (const entry of this.#entries.values()) this.#updateConnectionShare(entry)
  }

  stop (): void {
    for (const { pool } of this.#entries.values()) pool.stop()
    this.#entries.clear()
  }

  #computeConnectionShare (endpoint: Endpoint): number {
    const { placement, database } = this.#options
    return placement.computeConnectionShare(database.database, endpoint.maxConnections)
  }

  #addPool (endpoint: Endpoint): PoolEntry {
    const { system, database, clock, logger } = this.#options
    const share = this.#computeConnectionShare(endpoint)
    const limits = computePoolLimits(share, endpoint.slots)
    const name = `pool-${database.database}-${endpoint.endpoint}-${++poolCount}`
    const pool = new InstancePool({ system, database, endpoint, limits, clock, logger, name })
    const entry: PoolEntry = { endpoint, share, reachability: 'reachable', pool }
    this.#entries.set(endpoint.endpoint, entry)
    return entry
  }

  #updateConnectionShare (entry: PoolEntry): void {
    const share = this.#computeConnectionShare(entry.endpoint)
    if (share === entry.share) return
    const { database, logger } = this.#options
    logger.info('connection share changed', { database: database.database, endpoint: entry.endpoint.endpoint, from: entry.share, to: share })
    entry.share = share
    entry.pool.setLimits(computePoolLimits(share, entry.endpoint.slots))
  }

  #removePool (entry: PoolEntry): void {
    const { database, logger } = this.#options
    logger.info('endpoint left the group or changed address', { database: database.database, endpoint: entry.endpoint.endpoint })
    this.#entries.delete(entry.endpoint.endpoint)
    entry.pool.stopWhenIdle()
  }

  #updateReachability (entry: PoolEntry, isReachable: boolean): void {
    const { database, logger, group } = this.#options
    const { endpoint } = entry.endpoint
    const reachability = isReachable ? 'reachable' : classifyUnreachable(group, endpoint)
    if (reachability === entry.reachability) return
    entry.reachability = reachability
    logger.info('endpoint reachability changed', { database: database.database, endpoint, reachability })
    if (reachability !== 'reachable') entry.pool.handleUnreachable(reachability === 'replaced')
  }
}
