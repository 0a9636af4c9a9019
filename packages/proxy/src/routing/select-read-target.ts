import type { LogPosition } from '@camphorpitch/wire'
import type { InstanceView } from '../failover/group-view.ts'
import type { BaselineHistory } from './baseline-history.ts'
import { findHeldBaselineTimeMs } from './baseline-history.ts'
import { hasApplied, isReplicaOfCurrentTerm } from './instance-contents.ts'

/** What a read requires of the instance that serves it. */
export interface ReadRequirement {
  /** Position that the instance must have applied; `null` when only the age of the data matters. */
  required: LogPosition | null
  /** Accepted age of the data in milliseconds; with 0 only `required` counts. */
  maxAgeMs: number
}

export interface ReadTargetOptions {
  instances: readonly InstanceView[]
  /** Name of the primary's endpoint; `undefined` when no primary is known. */
  primary: string | undefined
  requirement: ReadRequirement
  /** Baselines from which the age of an instance's data is derived. */
  history: BaselineHistory
  nowMs: number
  /** Failure domain of this VM. */
  failureDomain: string
  /** Number of this VM's statements that wait for an endpoint or run on it. */
  countOutstanding: (endpoint: string) => number
  /** Names of endpoints on which this request has already failed. */
  excluded: ReadonlySet<string>
}

export type ReadTarget =
  | { kind: 'instance', endpoint: string, isPrimary: boolean, reason: string }
  /** No instance is known to meet the requirement. */
  | { kind: 'none', reason: string }

function isFreshEnough (instance: InstanceView, { requirement, history, nowMs }: ReadTargetOptions): boolean {
  const { status } = instance
  if (status === null) return false
  const { required, maxAgeMs } = requirement
  if (required !== null && hasApplied(status, required)) return true
  if (maxAgeMs <= 0) return false
  return nowMs - findHeldBaselineTimeMs(history, status) <= maxAgeMs
}

/**
 * Whether the instance may serve the read: it is reachable, not excluded, not leaving unless it is the
 * primary, and known to meet the requirement. An instance that reports to be primary, but is not
 * `options.primary`, may not serve reads.
 */
export function canServeRead (instance: InstanceView, options: ReadTargetOptions): boolean {
  const { endpoint, status, isReachable } = instance
  if (!isReachable || status === null || options.excluded.has(endpoint.endpoint)) return false
  if (endpoint.state === 'leaving' && endpoint.endpoint !== options.primary) return false
  if (endpoint.endpoint !== options.primary && !isReplicaOfCurrentTerm(status)) return false
  return isFreshEnough(instance, options)
}

/**
 * Selects the instance for a read. Replicas are preferred to the primary; among replicas the one with
 * the fewest outstanding statements, then one in this VM's failure domain.
 *
 * @example selectReadTarget(options) // { kind: 'instance', endpoint: 'orders-2', isPrimary: false, reason: 'replica holds the position' }
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
