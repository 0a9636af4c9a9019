import { pickLaterPosition, type Clock, type LogPosition } from '@camphorpitch/wire'
import { findRequiredPosition, isPrimaryFresh } from '../freshness/group-state.ts'
import { MAX_DRAINING_USE_MS, type ServiceGroup } from '../groups/service-group.ts'
import { isAvoided } from '../pool/endpoint-health.ts'
import type { EndpointPool } from '../pool/endpoint-pool.ts'
import { selectEndpoint, type ReadCandidate } from '../routing/select-endpoint.ts'
import { readMaxStalenessMs, type Operation } from './operation.ts'
import { isUsablePool, listUsablePools } from './usable-pools.ts'

/** Location of this VM, for the distances to endpoints. */
export interface VmLocation {
  failureDomain: string
  /** Region of each failure domain. */
  regions: Readonly<Record<string, string>>
}

/** An endpoint for a read. */
export interface ReadTarget {
  pool: EndpointPool
  /** Position that the endpoint's log must hold to run the read: the later one of the session's last write and the position that the allowed staleness requires. `null` when none is required. */
  requiredPosition: LogPosition | null
}

/**
 * Finds the endpoint for a read among those that the read has not tried yet.
 *
 * Any endpoint whose log holds the required position can run the read. When no position is known that is fresh enough for
 * the allowed staleness, only the primary can, and only while its leadership is verified.
 *
 * @returns `unproven` when no such position is known and the primary's leadership is not verified for the allowed
 *   staleness, or it may not be used; `none` when no endpoint is left
 */
export function findReadTarget (group: ServiceGroup, operation: Operation, triedEndpoints: ReadonlySet<string>, location: VmLocation, clock: Clock, use: 'read' | 'readTransaction' = 'read'): ReadTarget | 'unproven' | 'none' {
  const nowMs = clock.readNow()
  const maxStalenessMs = readMaxStalenessMs(operation)
  const freshPosition = findRequiredPosition(group.state, maxStalenessMs, nowMs)
  if (freshPosition === undefined) return findPrimaryTarget(group, operation, triedEndpoints, location, nowMs)
  const { sessionPosition } = operation
  const requiredPosition = pickLaterPosition(sessionPosition, freshPosition)
  const usable = listServingPools(group, operation, use, location, nowMs).filter(p => !triedEndpoints.has(p.entry.endpoint))
  const candidates = listPermittedPools(group, usable, nowMs).map(p => createCandidate(group, p, operation.workspace, location, nowMs))
  const pool = group.pools.get(selectEndpoint(candidates)?.endpoint ?? '')
  return pool === undefined ? 'none' : { pool, requiredPosition }
}

/**
 * Lists the endpoints that the read may use and that are not draining, or if all are, those that have been draining for less than
 * `MAX_DRAINING_USE_MS`.
 */
function listServingPools (group: ServiceGroup, operation: Operation, use: 'read' | 'readTransaction', location: VmLocation, nowMs: number): EndpointPool[] {
  const { pools } = listUsablePools(group, [...group.pools.values()], operation, use, location, nowMs)
  const notDraining = pools.filter(p => !p.entry.isDraining)
  return notDraining.length > 0 ? notDraining : pools.filter(p => p.measureDraining(nowMs) < MAX_DRAINING_USE_MS)
}

/** Leaves out cold endpoints, unless there is no healthy warm one and a permit is available. */
function listPermittedPools (group: ServiceGroup, pools: readonly EndpointPool[], nowMs: number): EndpointPool[] {
  const hasHealthyWarm = pools.some(p => !group.isCold(p) && !isAvoided(p.health, nowMs) && nowMs >= p.laggingUntilMs)
  return pools.filter(p => !(hasHealthyWarm && group.isCold(p)) && group.hasWarmupPermit(p))
}

function findPrimaryTarget (group: ServiceGroup, operation: Operation, triedEndpoints: ReadonlySet<string>, location: VmLocation, nowMs: number): ReadTarget | 'unproven' | 'none' {
  const pool = group.primaryPool
  if (pool === undefined || triedEndpoints.has(pool.entry.endpoint) || pool.measureDraining(nowMs) >= MAX_DRAINING_USE_MS) return 'none'
  const isUsable = isUsablePool(group, pool, operation, 'only', location, nowMs)
  if (!isUsable || !isPrimaryFresh(group.state, readMaxStalenessMs(operation), nowMs)) return 'unproven'
  return group.hasWarmupPermit(pool) ? { pool, requiredPosition: null } : 'none'
}

function createCandidate (group: ServiceGroup, pool: EndpointPool, workspace: string, location: VmLocation, nowMs: number): ReadCandidate {
  const { entry, health } = pool
  return {
    endpoint: entry.endpoint,
    isPrimary: group.state.primary?.endpoint === entry.endpoint,
    isDraining: entry.isDraining,
    distance: measureDistance(location, entry.failureDomain),
    slots: entry.slots,
    load: pool.countBusy() + pool.pendingRequestCount,
    averageResponseMs: health.averageResponseMs,
    hasIdleConnection: pool.hasIdleConnection(workspace),
    isAvoided: isAvoided(health, nowMs),
    isWarmingUp: entry.warmupLeftMs > 0,
    isLagging: nowMs < pool.laggingUntilMs
  }
}

/** Returns 0 for the same failure domain, 1 for the same region and 2 otherwise. */
export function measureDistance ({ failureDomain, regions }: VmLocation, otherDomain: string): 0 | 1 | 2 {
  if (failureDomain === otherDomain) return 0
  return regions[failureDomain] !== undefined && regions[failureDomain] === regions[otherDomain] ? 1 : 2
}
