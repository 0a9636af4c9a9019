import type { ConnectionLimits } from './connection-plan.ts'

/** Connections of an endpoint that stay free for control connections and for VMs that have just started. */
const RESERVED_CONNECTIONS = 2
/** Fraction of a replica's connections for the VMs of its failure domain, because these VMs read from it. */
const SAME_DOMAIN_FRACTION = 0.7
/** A VM with a smaller share retains no idle connections: its share is too small for those of several workspaces. */
export const MIN_RETAINED_CONNECTIONS = 4
/** A VM may open up to this multiple of its share while other VMs do not use theirs. */
const MAX_OPEN_FACTOR = 2.5
/** Fractions of an endpoint's connections, by where the VMs are that serve its service. */
export type ServingFractions = Record<'primary' | 'replica', Record<ServingPlace, number>>

/**
 * Fractions for the serving VMs of the endpoint's region, of the primary's region if that is another one, and of the other regions.
 * Serving VMs use endpoints of other regions when those of their own fail, lag or lead. The rest is kept by no VM. It is larger at
 * the primary: transactions run there from all VMs. It has to be large: endpoints count the connections of VMs that have lost power
 * for seconds, and when all VMs start again, they have only this rest.
 */
const SERVING_FRACTIONS: ServingFractions = {
  primary: { inRegion: 0.45, inPrimaryRegion: 0, elsewhere: 0.05 },
  replica: { inRegion: 0.52, inPrimaryRegion: 0.05, elsewhere: 0.05 }
}
/** A serving VM may open this multiple of its share. */
const SERVING_OPEN_FACTOR = 1.2
/** Connections that a VM may open which does not serve the endpoint's service: for transactions, and for statements that can't be forwarded. */
const MAX_OPEN_WITHOUT_SEAT = 3

export interface ConnectionShareOptions {
  /** Maximum number of connections that the endpoint accepts from all VMs together. */
  maxConnections: number
  /** Number of VMs in the fleet. */
  vms: number
  /** Number of VMs in the endpoint's failure domain. */
  vmsInSameDomain: number
  /** Whether this VM is in the endpoint's failure domain. */
  isInSameDomain: boolean
  /** Whether the endpoint is the primary, whose connections all VMs share equally. */
  isPrimary: boolean
}

/**
 * Computes how many connections to an endpoint this VM may open.
 *
 * The retained connections of all VMs together stay within the endpoint's limit. A VM exceeds its share only briefly;
 * the endpoint refuses connections above its limit.
 *
 * @example computeConnectionShare({ maxConnections: 21, vms: 8, vmsInSameDomain: 3, isInSameDomain: true, isPrimary: false }) // { retainedConnections: 4, maxOpenConnections: 10 }
 */
export function computeConnectionShare (options: ConnectionShareOptions): ConnectionLimits {
  const { maxConnections, vms, vmsInSameDomain, isInSameDomain, isPrimary } = options
  const sharedConnections = Math.max(1, maxConnections - RESERVED_CONNECTIONS)
  const share = Math.max(1, Math.floor(computeShare(sharedConnections, { vms, vmsInSameDomain, isInSameDomain, isPrimary })))
  const retained = share < MIN_RETAINED_CONNECTIONS ? 0 : share
  return { retainedConnections: retained, maxOpenConnections: Math.min(sharedConnections, Math.max(share + 2, Math.floor(share * MAX_OPEN_FACTOR))) }
}

/** Computes how many connections to an endpoint each VM would get if all had the same number. */
export function computeEqualShare (maxConnections: number, vms: number): number {
  return Math.max(1, maxConnections - RESERVED_CONNECTIONS) / Math.max(1, vms)
}

/** Where a serving VM is, as seen from an endpoint: in its region, in that of the primary if that is another one, or elsewhere. */
export type ServingPlace = 'inRegion' | 'inPrimaryRegion' | 'elsewhere'

export interface ServingShareOptions {
  maxConnections: number
  /** Number of VMs that serve the endpoint's service in each place. */
  serving: Record<ServingPlace, number>
  /** Which of these this VM is; `null` if it does not serve the service. */
  place: ServingPlace | null
  isPrimary: boolean
  fractions?: ServingFractions
}

/**
 * Computes how many connections to an endpoint this VM may open while few VMs serve its service. Those of the endpoint's region keep most
 * of its connections open; VMs that don't serve keep none, and open what their transactions need. The part of a place without a serving
 * VM goes to the next one, from the endpoint's region outwards and back.
 *
 * Connections retained by all VMs with the same view stay within 0.62 of the limit at a replica and 0.5 at the primary. While the views of VMs
 * differ in one place, one VM more keeps its share: with two serving VMs in the region 0.26 or 0.23 of the limit, which makes 0.88 or 0.73 of
 * it.
 *
 * @example computeServingShare({ maxConnections: 82, serving: { inRegion: 2, inPrimaryRegion: 2, elsewhere: 2 }, place: 'inRegion', isPrimary: false }) // { retainedConnections: 20, maxOpenConnections: 24 }
 */
export function computeServingShare (options: ServingShareOptions): ConnectionLimits {
  const { maxConnections, serving, place, isPrimary, fractions = SERVING_FRACTIONS } = options
  const sharedConnections = Math.max(1, maxConnections - RESERVED_CONNECTIONS)
  if (place === null) return { retainedConnections: 0, maxOpenConnections: Math.min(sharedConnections, MAX_OPEN_WITHOUT_SEAT) }
  const share = Math.max(1, Math.floor(sharedConnections * computePlaceFraction(serving, place, fractions[isPrimary ? 'primary' : 'replica']) / serving[place]))
  const retainedConnections = share < MIN_RETAINED_CONNECTIONS && place !== 'inRegion' ? 0 : share
  return { retainedConnections, maxOpenConnections: Math.min(sharedConnections, Math.max(MAX_OPEN_WITHOUT_SEAT, Math.floor(share * SERVING_OPEN_FACTOR))) }
}

/** Computes the fraction of an endpoint's connections for the serving VMs of a place, with the parts of places that have none. */
function computePlaceFraction (serving: Record<ServingPlace, number>, place: ServingPlace, fractions: Record<ServingPlace, number>): number {
  const heirs = { inRegion: ['inPrimaryRegion', 'elsewhere'], inPrimaryRegion: ['inRegion', 'elsewhere'], elsewhere: [] } as const
  let fraction = fractions[place]
  for (const empty of ['inRegion', 'inPrimaryRegion'] as const) {
    if (serving[empty] === 0 && heirs[empty].find(p => serving[p] > 0) === place) fraction += fractions[empty]
  }
  return fraction
}

function computeShare (sharedConnections: number, { vms, vmsInSameDomain, isInSameDomain, isPrimary }: Omit<ConnectionShareOptions, 'maxConnections'>): number {
  if (isPrimary || vmsInSameDomain === 0 || vmsInSameDomain >= vms) return sharedConnections / Math.max(1, vms)
  return isInSameDomain ? sharedConnections * SAME_DOMAIN_FRACTION / vmsInSameDomain : sharedConnections * (1 - SAME_DOMAIN_FRACTION) / (vms - vmsInSameDomain)
}
