import type { ConnectionLimits } from './connection-plan.ts'

/** Connections of an endpoint left for control and for VMs that have just started. */
const RESERVED_CONNECTIONS = 2
/** Part of a replica's connections that is for the VMs of its failure domain, which read there. */
const LOCAL_PART = 0.7
/** A share smaller than this is too small to hold connections of several workspaces open while idle. */
const SMALLEST_KEPT = 4
/** How far above its share a VM may go while others do not use theirs. */
const MOST_OVER_KEPT = 2.5

export interface ConnectionShareOptions {
  /** Connections that the endpoint accepts from all VMs together. */
  maxConnections: number
  /** VMs of the fleet. */
  vms: number
  /** VMs in the endpoint's failure domain. */
  localVms: number
  /** Whether this VM is one of them. */
  isLocal: boolean
  isPrimary: boolean
}

/**
 * How many of an endpoint's connections this VM takes. The shares of all VMs stay under the endpoint's
 * limit; above its share a VM goes only for a moment, and the endpoint refuses what is too much.
 *
 * @example computeConnectionShare({ maxConnections: 21, vms: 8, localVms: 3, isLocal: true, isPrimary: false }) // { kept: 4, most: 10 }
 */
export function computeConnectionShare (options: ConnectionShareOptions): ConnectionLimits {
  const { maxConnections, vms, localVms, isLocal, isPrimary } = options
  const shared = Math.max(1, maxConnections - RESERVED_CONNECTIONS)
  const share = Math.max(1, Math.floor(computeShare(shared, { vms, localVms, isLocal, isPrimary })))
  const kept = share < SMALLEST_KEPT ? 0 : share
  return { kept, most: Math.min(shared, Math.max(share + 2, Math.floor(share * MOST_OVER_KEPT))) }
}

function computeShare (shared: number, { vms, localVms, isLocal, isPrimary }: Omit<ConnectionShareOptions, 'maxConnections'>): number {
  if (isPrimary || localVms === 0 || localVms >= vms) return shared / Math.max(1, vms)
  return isLocal ? shared * LOCAL_PART / localVms : shared * (1 - LOCAL_PART) / (vms - localVms)
}
