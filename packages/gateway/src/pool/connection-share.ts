import type { ConnectionLimits } from './connection-plan.ts'

/** Connections of an endpoint left for control and for VMs that have just started. */
const RESERVED_CONNECTIONS = 2
/** Part of a replica's connections that is for the VMs of its failure domain, which read there. */
const LOCAL_FRACTION = 0.7
/** A share smaller than this is too small to hold connections of several workspaces open while idle. */
const MIN_RETAINED_CONNECTIONS = 4
/** How far above its share a VM may go while others do not use theirs. */
const MAX_OPEN_FACTOR = 2.5

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
  const sharedConnections = Math.max(1, maxConnections - RESERVED_CONNECTIONS)
  const share = Math.max(1, Math.floor(computeShare(sharedConnections, { vms, localVms, isLocal, isPrimary })))
  const retained = share < MIN_RETAINED_CONNECTIONS ? 0 : share
  return { kept: retained, most: Math.min(sharedConnections, Math.max(share + 2, Math.floor(share * MAX_OPEN_FACTOR))) }
}

function computeShare (sharedConnections: number, { vms, localVms, isLocal, isPrimary }: Omit<ConnectionShareOptions, 'maxConnections'>): number {
  if (isPrimary || localVms === 0 || localVms >= vms) return sharedConnections / Math.max(1, vms)
  return isLocal ? sharedConnections * LOCAL_FRACTION / localVms : sharedConnections * (1 - LOCAL_FRACTION) / (vms - localVms)
}
