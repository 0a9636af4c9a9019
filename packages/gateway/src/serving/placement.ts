import { hashName, hashPair } from '@camphorpitch/wire'
import type { VmEntry } from '../fleet/message-schemas.ts'

/** Fewest serving VMs of a service in a region that has as many: if one is lost, the other goes on at once. */
const MIN_SERVING_VMS = 2
/** A VM serves at most this multiple of its part by capacity, so that no VM gets many services by chance. */
const MAX_LOAD_FACTOR = 1.25
/** Number of values of `hashPair`. */
const HASH_RANGE = 2 ** 32
/**
 * Bandwidth that carries as many forwarded statements as a core serves: 1 KB for the two messages of one (measured), and an assumed 0.3 ms
 * of processor time, of which encoding and decoding the messages take 0.03 ms (measured).
 */
const LINK_MBPS_PER_CORE = 25

/** The serving VMs of each service in each region, by service and then region. */
export type Placement = ReadonlyMap<string, ReadonlyMap<string, readonly VmEntry[]>>

/** What a VM states about itself for the placement: the scarcer of its processor time and its link, in cores. */
export function computeCapacity ({ cpuShare, cores, linkMbps }: { cpuShare: number, cores: number, linkMbps: number }): number {
  return Math.max(0.01, Math.round(100 * Math.min(cpuShare * cores, linkMbps / LINK_MBPS_PER_CORE)) / 100)
}

/**
 * Places the services on the VMs of each region, by rendezvous hashing weighted by capacity. The pairs of a service and a VM are taken
 * in the order of their weights, so that a VM that comes or goes moves only its own places and the few that its bound displaces.
 *
 * The serving VMs of a service are spread over the region's failure domains. A VM without a stated capacity serves nothing: it may run an
 * older build. The result is the same for every order of `vms` and `services`.
 */
export function computePlacement (vms: readonly VmEntry[], services: readonly string[]): Placement {
  const placement = new Map<string, Map<string, VmEntry[]>>(services.map(service => [service, new Map()]))
  const regions = new Set(vms.map(e => e.region))
  for (const region of regions) {
    const entries = vms.filter(e => e.region === region && e.capacity !== undefined)
    for (const [service, picked] of computeRegionPlacement(entries, services)) if (picked.length > 0) placement.get(service)!.set(region, picked)
  }
  return placement
}

/** Computes how many VMs of a region with `vms` VMs serve each of `services` services. */
export function countServingVms (vms: number, services: number): number {
  return Math.min(vms, Math.max(MIN_SERVING_VMS, Math.floor(vms / Math.max(1, services))))
}

/**
 * Lists the serving VMs for a workspace's statements in the order in which they are to be tried, by weighted rendezvous hashing. A workspace
 * keeps its first VM while that serves, so that its connections are opened by one VM.
 */
export function listForWorkspace (serving: readonly VmEntry[], service: string, workspace: string): VmEntry[] {
  const key = hashPair(hashName(service), hashName(workspace))
  return rankVms(serving, key).map(r => r.entry)
}

interface RankedVm { entry: VmEntry, score: number }

/** Ranks VMs for a key, the highest score first; the chance to be first is proportional to the capacity. */
function rankVms (vms: readonly VmEntry[], key: number): RankedVm[] {
  return vms.map(entry => ({ entry, score: computeScore(key, entry) })).sort(compareRanked)
}

/** Score of weighted rendezvous hashing (Schindelhauer and Schomaker, 2005). */
function computeScore (key: number, { vm, capacity = 1 }: VmEntry): number {
  return -capacity / Math.log((hashPair(key, hashName(vm)) + 0.5) / HASH_RANGE)
}

function compareRanked (a: RankedVm, b: RankedVm): number {
  return b.score - a.score || (a.entry.vm < b.entry.vm ? -1 : 1)
}

function computeRegionPlacement (vms: readonly VmEntry[], services: readonly string[]): Map<string, VmEntry[]> {
  const perService = countServingVms(vms.length, services.length)
  const perDomain = Math.ceil(perService / Math.max(1, new Set(vms.map(e => e.failureDomain)).size))
  const totalCapacity = vms.reduce((sum, e) => sum + e.capacity!, 0)
  const bounds = new Map(vms.map(e => [e.vm, Math.max(1, Math.ceil(MAX_LOAD_FACTOR * services.length * perService * e.capacity! / totalCapacity))]))
  const placed = new Map<string, VmEntry[]>([...services].sort().map(service => [service, []]))
  const loads = new Map<string, number>()
  const pairs = [...placed.keys()].flatMap(service => rankVms(vms, hashName(service)).map(ranked => ({ service, ...ranked })))
  pairs.sort((a, b) => compareRanked(a, b) || (a.service < b.service ? -1 : 1))
  const isWithinBound = ({ vm }: VmEntry): boolean => (loads.get(vm) ?? 0) < bounds.get(vm)!
  const isSpread = (picked: readonly VmEntry[], { failureDomain }: VmEntry): boolean => picked.filter(p => p.failureDomain === failureDomain).length < perDomain
  // Where bounds and failure domains leave no choice, first the spread is given up, then the bound.
  const rules = [
    (picked: readonly VmEntry[], entry: VmEntry): boolean => isWithinBound(entry) && isSpread(picked, entry),
    (_: readonly VmEntry[], entry: VmEntry): boolean => isWithinBound(entry),
    (): boolean => true
  ]
  for (const canPlace of rules) {
    for (const { service, entry } of pairs) {
      const picked = placed.get(service)!
      if (picked.length >= perService || picked.includes(entry) || !canPlace(picked, entry)) continue
      picked.push(entry)
      loads.set(entry.vm, (loads.get(entry.vm) ?? 0) + 1)
    }
  }
  return placed
}
