import type { ConnectionLimits } from './connection-plan.ts'

/** Connections of an endpoint that stay free for control connections and for VMs that have just started. */
const RESERVED_CONNECTIONS = 2
/** Fraction of a replica's connections for the VMs of its failure domain, because these VMs read from it. */
const SAME_DOMAIN_FRACTION = 0.7
/** A VM with a smaller share retains no idle connections: its share is too small for those of several workspaces. */
const MIN_RETAINED_CONNECTIONS = 4
/** A VM may open up to this multiple of its share while other VMs do not use theirs. */
const MAX_OPEN_FACTOR = 2.5

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

function computeShare (sharedConnections: number, { vms, vmsInSameDomain, isInSameDomain, isPrimary }: Omit<ConnectionShareOptions, 'maxConnections'>): number {
  if (isPrimary || vmsInSameDomain === 0 || vmsInSameDomain >= vms) return sharedConnections / Math.max(1, vms)
  return isInSameDomain ? sharedConnections * SAME_DOMAIN_FRACTION / vmsInSameDomain : sharedConnections * (1 - SAME_DOMAIN_FRACTION) / (vms - vmsInSameDomain)
}
