import type { LogPosition } from '@camphorpitch/wire'
import type { InstanceView } from '../failover/group-view.ts'
import type { BaselineHistory } from './baseline-history.ts'
import { findHeldBaselineTimeMs } from './baseline-history.ts'
import { hasShown, isShownDurable } from './instance-contents.ts'

/** What a read needs of the instance that answers it. */
export interface ReadRequirement {
  /** Position that the answer must include; `null` when only age matters. */
  required: LogPosition | null
  /** Accepted age of the data in milliseconds; 0 for none. */
  maxAgeMs: number
}

export interface ReadTargetOptions {
  instances: readonly InstanceView[]
  /** Endpoint of the primary; `undefined` when none is known. */
  primary: string | undefined
  requirement: ReadRequirement
  history: BaselineHistory
  nowMs: number
  /** Failure domain of this VM. */
  failureDomain: string
  /** Statements of this VM that wait for or run on an endpoint. */
  countOutstanding: (endpoint: string) => number
  /** Endpoints that already failed this request. */
  excluded: ReadonlySet<string>
}

export type ReadTarget =
  | { kind: 'instance', endpoint: string, isPrimary: boolean, reason: string }
  /** No instance surely holds what the read needs. */
  | { kind: 'none', reason: string }

function isFreshEnough (instance: InstanceView, { requirement, history, nowMs }: ReadTargetOptions): boolean {
  const { status } = instance
  if (status === null) return false
  const { required, maxAgeMs } = requirement
  if (required !== null && hasShown(status, required)) return true
  if (maxAgeMs <= 0) return false
  return nowMs - findHeldBaselineTimeMs(history, status) <= maxAgeMs
}

/**
 * Whether the instance may answer the read: reachable, staying or still the primary, not yet tried, and surely holding what the
 * read needs. An instance that takes itself for the primary, but is not, answers nothing.
 */
export function canServeRead (instance: InstanceView, options: ReadTargetOptions): boolean {
  const { endpoint, status, isReachable } = instance
  if (!isReachable || status === null || options.excluded.has(endpoint.endpoint)) return false
  if (endpoint.state === 'leaving' && endpoint.endpoint !== options.primary) return false
  if (endpoint.endpoint !== options.primary && !isShownDurable(status)) return false
  return isFreshEnough(instance, options)
}

/**
 * Picks the instance for a read. Replicas go before the primary; among them the one with the least
 * outstanding work, then the one in this VM's failure domain.
 *
 * @example selectReadTarget(options) // { kind: 'instance', endpoint: 'orders-2', isPrimary: false, reason: 'replica' }
 */
export function selectReadTarget (options: ReadTargetOptions): ReadTarget {
  const { primary, failureDomain, countOutstanding } = options
  const eligibleInstances = options.instances.filter(i => canServeRead(i, options))
  const eligibleReplicas = eligibleInstances.filter(i => i.endpoint.endpoint !== primary)
  const rankedReplicas = eligibleReplicas.map(i => ({
    endpoint: i.endpoint.endpoint,
    outstanding: countOutstanding(i.endpoint.endpoint),
    distance: i.endpoint.failureDomain === failureDomain ? 0 : 1
  }))
  rankedReplicas.sort((a, b) => a.outstanding - b.outstanding || a.distance - b.distance || a.endpoint.localeCompare(b.endpoint))
  const bestReplica = rankedReplicas[0]
  if (bestReplica !== undefined) return { kind: 'instance', endpoint: bestReplica.endpoint, isPrimary: false, reason: 'replica holds the position' }
  const eligiblePrimary = eligibleInstances.find(i => i.endpoint.endpoint === primary)
  if (eligiblePrimary !== undefined) return { kind: 'instance', endpoint: eligiblePrimary.endpoint.endpoint, isPrimary: true, reason: 'no replica holds the position' }
  return { kind: 'none', reason: 'no instance is known to hold the position' }
}
