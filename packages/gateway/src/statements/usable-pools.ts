import { MAX_DRAINING_USE_MS, type ServiceGroup } from '../groups/service-group.ts'
import type { EndpointPool } from '../pool/endpoint-pool.ts'
import { listUsableEndpoints, type EndpointUse, type RuledOutEndpoint } from '../routing/usable-endpoints.ts'
import { createRetryRefusal, readMaxStalenessMs, type Operation } from './operation.ts'
import type { VmLocation } from './read-targets.ts'
import type { StatementContext } from './statement-context.ts'

/**
 * Retry time for a client whose operation no endpoint may run, in milliseconds: it can run once the operator has ended an evacuation, or
 * changed the allowed regions, or a primary has moved, which takes seconds at least.
 */
const RULED_OUT_RETRY_MS = 5_000
/** Shortest retry time while the primary is being replaced, in milliseconds. */
const MIN_RECOVERY_RETRY_MS = 500
/** Clients are told times up to this fraction later, so that they do not all return at once. */
const SPREAD_FRACTION = 0.5

export type RuledOutRefusal = { refusal: { code: 'busy', text: string } }

/** Lists the endpoints among `pools` that the operation may use. */
export function listUsablePools (group: ServiceGroup, pools: readonly EndpointPool[], operation: Operation, use: EndpointUse, location: VmLocation, nowMs: number): { pools: EndpointPool[], ruledOut: RuledOutEndpoint[] } {
  const { evacuations } = group
  const { allowedRegions } = operation
  if (evacuations.size === 0 && allowedRegions === undefined) return { pools: [...pools], ruledOut: [] }
  // A primary that drains is being replaced, which has a return time of its own.
  const isRead = use === 'read' || use === 'readTransaction'
  const candidates = pools.map(pool => ({ pool, endpoint: pool.entry.endpoint, failureDomain: pool.entry.failureDomain, isLeaving: isRead && pool.measureDraining(nowMs) >= MAX_DRAINING_USE_MS }))
  const { usable, ruledOut } = listUsableEndpoints(candidates, { use, allowedRegions, regions: location.regions, evacuations })
  return { pools: usable.map(u => u.pool), ruledOut }
}

/** Whether the operation may use an endpoint that it needs. */
export function isUsablePool (group: ServiceGroup, pool: EndpointPool, operation: Operation, use: EndpointUse, location: VmLocation, nowMs: number): boolean {
  return listUsablePools(group, [pool], operation, use, location, nowMs).pools.length > 0
}

/** Whether a read that has waited for a connection to the endpoint may still be sent there. */
export function isUsableForRead (group: ServiceGroup, pool: EndpointPool, operation: Operation, use: 'read' | 'readTransaction', location: VmLocation, nowMs: number): boolean {
  if (pool === group.primaryPool) return isUsablePool(group, pool, operation, use === 'read' ? 'only' : 'transaction', location, nowMs)
  return listUsablePools(group, [...group.pools.values()], operation, use, location, nowMs).pools.includes(pool)
}

/** Refuses a read if all endpoints that could run it are ruled out. @returns `undefined` if one is not, or none is known */
export function refuseRuledOutRead (context: StatementContext, group: ServiceGroup, operation: Operation): RuledOutRefusal | undefined {
  if (readMaxStalenessMs(operation) === 0) return refuseRuledOutPrimary(context, group, operation, 'only')
  return refuseIfRuledOut(context, group, [...group.pools.values()], operation, 'read')
}

/** Refuses an operation that needs the primary, if that is ruled out. @returns `undefined` if it is not, or none is known */
export function refuseRuledOutPrimary (context: StatementContext, group: ServiceGroup, operation: Operation, use: 'only' | 'transaction'): RuledOutRefusal | undefined {
  const { primaryPool } = group
  return primaryPool === undefined ? undefined : refuseIfRuledOut(context, group, [primaryPool], operation, use)
}

function refuseIfRuledOut (context: StatementContext, group: ServiceGroup, candidates: readonly EndpointPool[], operation: Operation, use: EndpointUse): RuledOutRefusal | undefined {
  const { pools, ruledOut } = listUsablePools(group, candidates, operation, use, context.location, context.clock.readNow())
  if (pools.length > 0 || ruledOut.length === 0) return undefined
  const retryAfterMs = estimateReturnMs(context, group, operation, ruledOut)
  context.recordRuledOut?.(operation, group, ruledOut, retryAfterMs)
  return createRetryRefusal('busy', describeRuledOut(group, ruledOut), retryAfterMs)
}

/** Describes why a read may not use the primary; `null` if it may, or none is known. */
export function describeRuledOutPrimary (group: ServiceGroup, operation: Operation, location: VmLocation, nowMs: number): string | null {
  const { primaryPool } = group
  if (primaryPool === undefined) return null
  const { ruledOut } = listUsablePools(group, [primaryPool], operation, 'only', location, nowMs)
  return ruledOut.length === 0 ? null : describeRuledOut(group, ruledOut)
}

/** Describes for the client why no endpoint may run its operation. */
function describeRuledOut ({ service, primaryPool }: ServiceGroup, ruledOut: readonly RuledOutEndpoint[]): string {
  const [only] = ruledOut
  const isPrimaryOnly = ruledOut.length === 1 && only!.endpoint === primaryPool?.entry.endpoint
  if (isPrimaryOnly) return `the primary of ${service} is ${describeReason(only!)}`
  const reasons = [...new Set(ruledOut.map(describeReason))]
  return `every endpoint of ${service} is ${reasons.sort().join(' or ')}`
}

function describeReason ({ reason, failureDomain }: RuledOutEndpoint): string {
  return reason === 'evacuated' ? `in the evacuated failure domain ${failureDomain}` : reason
}

/** Estimates when the operation can run: once the primary is replaced, if the operation is refused for an evacuation. */
function estimateReturnMs (context: StatementContext, group: ServiceGroup, { allowedRegions }: Operation, ruledOut: readonly RuledOutEndpoint[]): number {
  const { location: { regions } } = context
  const isAllowed = (domain: string): boolean => allowedRegions === undefined || allowedRegions.includes(regions[domain] ?? '')
  return ruledOut.some(r => r.reason === 'evacuated') ? estimateReplacementMs(group, context.estimateRecoveryMs(group), isAllowed) : computeSpreadMs(RULED_OUT_RETRY_MS)
}

/**
 * Estimates after how long an endpoint outside of all evacuated failure domains has replaced the primary, in milliseconds. If there is none,
 * only the operator can help. The time is spread, so that clients don't return all at once.
 *
 * @param recoveryMs time until the group has a new primary, if one can be promoted
 * @param isAllowed whether an endpoint of the failure domain is of use
 */
export function estimateReplacementMs ({ pools, evacuations }: ServiceGroup, recoveryMs: number, isAllowed: (failureDomain: string) => boolean = () => true): number {
  const canBeReplaced = [...pools.values()].some(({ entry }) => !entry.isDraining && !evacuations.has(entry.failureDomain) && isAllowed(entry.failureDomain))
  return computeSpreadMs(canBeReplaced ? Math.max(MIN_RECOVERY_RETRY_MS, recoveryMs) : RULED_OUT_RETRY_MS)
}

function computeSpreadMs (ms: number): number {
  return Math.round(ms * (1 + SPREAD_FRACTION * Math.random()))
}
