import type { VmEntry } from '../fleet/message-schemas.ts'
import { computeEqualShare, MIN_RETAINED_CONNECTIONS } from '../pool/connection-share.ts'
import { listTextRegions } from '../routing/allowed-regions.ts'
import type { Availability } from './serving-vm-health.ts'

/**
 * In a fleet of up to this many VMs, each VM runs its clients' statements itself. Small sites run 8 to 9 VMs. Replaced VMs stay members for up to a
 * minute beside their successors, so twice as many may be known there.
 */
const MAX_VMS_WITHOUT_SERVING = 18
/** Larger statements run on the VM of their client: on a link of 7 Mbit/s they would hold up others for 0.15 s. */
export const MAX_FORWARDED_BYTES = 128 * 1024

/** Why a statement runs on the VM that its client is connected to. */
export type LocalReason = 'noPrimary' | 'noServingVm' | 'regionNotAllowed' | 'servedHere' | 'tooLarge' | 'linksFull' | 'unresponsive'
/** Where a statement runs. `next`: not on the workspace's first serving VM, as that can't be used now. */
export type ForwardingDecision = { vm: VmEntry, reason: 'first' | 'next' } | { vm: null, reason: LocalReason }

export interface ForwardingInputs {
  self: VmEntry
  /** Region whose serving VMs run the statement; `null` if it needs the primary and none is known. */
  region: string | null
  /** The serving VMs of that region for the statement's workspace, the one to be tried first at the start. */
  serving: readonly VmEntry[]
  /** Regions that the statement's route and workspace allow; `undefined` for all. */
  allowedRegions: readonly string[] | undefined
  bytes: number
  isWrite: boolean
  checkAvailability: (vm: VmEntry) => Availability
}

/**
 * Whether statements of a service are forwarded to its serving VMs: if the fleet is large, and each VM's part of an endpoint's connections
 * is too small to keep connections open.
 *
 * @param maxConnections number of connections that one endpoint of the service accepts from all VMs
 */
export function isServedByFewVms (vms: number, maxConnections: number): boolean {
  return vms > MAX_VMS_WITHOUT_SERVING && computeEqualShare(maxConnections, vms) < MIN_RETAINED_CONNECTIONS
}

/**
 * Decides where a single statement of a service with serving VMs runs. It responds to VMs that compete for the connections of an endpoint: the
 * statements of a workspace go to one VM, whose connections stay open. VMs that can't be used now are skipped at once, and a VM that has
 * failed is probed by a read only, as a write without an answer would be in doubt.
 */
export function decideForwarding (inputs: ForwardingInputs): ForwardingDecision {
  const { self, region, serving, allowedRegions, bytes } = inputs
  if (region === null) return { vm: null, reason: 'noPrimary' }
  if (serving.length === 0) return { vm: null, reason: 'noServingVm' }
  // Without any allowed region the statement is refused, which this VM can do itself.
  if (allowedRegions?.length === 0 || listTextRegions(allowedRegions, self.region)?.includes(region) === false) return { vm: null, reason: 'regionNotAllowed' }
  if (serving[0]!.vm !== self.vm && bytes > MAX_FORWARDED_BYTES) return { vm: null, reason: 'tooLarge' }
  return pickServingVm(inputs)
}

function pickServingVm ({ self, serving, isWrite, checkAvailability }: ForwardingInputs): ForwardingDecision {
  let isFull = false
  for (const [i, vm] of serving.entries()) {
    if (vm.vm === self.vm) return { vm: null, reason: 'servedHere' }
    const availability = checkAvailability(vm)
    if (availability === 'usable' || (availability === 'probe' && !isWrite)) return { vm, reason: i === 0 ? 'first' : 'next' }
    isFull ||= availability === 'full'
  }
  return { vm: null, reason: isFull ? 'linksFull' : 'unresponsive' }
}
