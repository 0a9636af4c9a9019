import { hashName, hashPair } from '@camphorpitch/wire'

/** A VM that placement may select. */
export interface Candidate {
  vm: string
  failureDomain: string
  region: string
}

export interface SelectOptions {
  /** Number of VMs to select, `SERVING_VM_COUNT` by default. */
  count?: number
  /** Regions of the database's endpoints; VMs in other regions are selected only if these have too few. */
  regions?: readonly string[]
}

/** Number of VMs that serve one database. */
export const SERVING_VM_COUNT = 3
/** Connections of each serving VM to each instance for health probes and group control. */
export const CONTROL_CONNECTIONS_PER_VM = 2
/** VMs beyond `SERVING_VM_COUNT` that may hold connections while another VM takes over a database. */
export const HANDOVER_VM_COUNT = 1

/**
 * Selects the VMs that serve a database, by rendezvous hashing.
 *
 * The selection covers as many regions as possible, then as many failure domains: no two VMs share one
 * while another is unused. Every VM with the same members selects the same VMs in the same order, and a
 * member that joins or leaves moves only the databases that it then serves or served before.
 *
 * @example selectServingVms('orders', members, { count: 3 }) // ['vm-4', 'vm-1', 'vm-9']
 */
export function selectServingVms (database: string, members: readonly Candidate[], options: SelectOptions = {}): string[] {
  return selectFromHashedCandidates(database, hashCandidates(members), options).map(c => c.vm)
}

/** Selects serving VMs like `selectServingVms`, from members that are hashed already. */
export function selectFromHashedCandidates (database: string, members: readonly HashedCandidate[], options: SelectOptions = {}): Candidate[] {
  const { count = SERVING_VM_COUNT, regions = [] } = options
  const ranked = rankCandidates(database, members, count)
  const inWantedRegions = ranked.filter(c => regions.includes(c.region))
  const selected: Candidate[] = []
  for (const pool of [inWantedRegions, ranked]) {
    addDistinct(selected, pool, count, c => c.region)
    addDistinct(selected, pool, count, c => c.failureDomain)
    addDistinct(selected, pool, count, c => c.vm)
  }
  return selected
}

/** A candidate with the hash of its name, which is computed once for all databases. */
export interface HashedCandidate {
  candidate: Candidate
  hash: number
  /** Region and failure domain, as `region/failureDomain`. */
  location: string
}

export function hashCandidates (members: readonly Candidate[]): HashedCandidate[] {
  return members.map(candidate => ({ candidate, hash: hashName(candidate.vm), location: `${candidate.region}/${candidate.failureDomain}` }))
}

interface RankedCandidate {
  candidate: Candidate
  weight: number
}

/**
 * Lists the candidates that can be selected, by descending weight for the database.
 *
 * At most `count` candidates of one location can be selected, so only its `count` best are ordered.
 */
function rankCandidates (database: string, members: readonly HashedCandidate[], count: number): Candidate[] {
  const key = hashName(database)
  const bestByLocation = new Map<string, RankedCandidate[]>()
  for (const { candidate, hash, location } of members) {
    const ranked = { candidate, weight: hashPair(key, hash) }
    const list = bestByLocation.get(location)
    if (list === undefined) bestByLocation.set(location, [ranked])
    else insertRanked(list, ranked, count)
  }
  return [...bestByLocation.values()].flat().sort(compareRanked).map(r => r.candidate)
}

/** Inserts a candidate into a list by descending weight, which keeps at most `count`. */
function insertRanked (rankedList: RankedCandidate[], ranked: RankedCandidate, count: number): void {
  if (rankedList.length >= count && compareRanked(rankedList.at(-1)!, ranked) < 0) return
  const index = rankedList.findIndex(r => compareRanked(ranked, r) < 0)
  rankedList.splice(index === -1 ? rankedList.length : index, 0, ranked)
  if (rankedList.length > count) rankedList.pop()
}

function compareRanked (a: RankedCandidate, b: RankedCandidate): number {
  return b.weight - a.weight || compareNames(a.candidate.vm, b.candidate.vm)
}

/** Adds the best candidates whose key no selected candidate shares, until `count` are selected. */
function addDistinct (selected: Candidate[], ranked: readonly Candidate[], count: number, readKey: (c: Candidate) => string): void {
  const takenKeys = new Set(selected.map(readKey))
  for (const c of ranked) {
    if (selected.length >= count) return
    if (takenKeys.has(readKey(c))) continue
    takenKeys.add(readKey(c))
    selected.push(c)
  }
}

function compareNames (a: string, b: string): number {
  return a < b ? -1 : Number(a > b)
}

/**
 * Creates a comparator that orders serving VMs for the VM `self` that sends statements to them: itself, then
 * VMs in its failure domain, in its region, and elsewhere. Equally near VMs are ordered by a hash that depends
 * on the sender, so that senders choose different VMs.
 */
export function createNearnessComparator (self: Candidate, database: string): (a: Candidate, b: Candidate) => number {
  const key = hashName(`${self.vm}/${database}`)
  return (a, b) => computeDistance(self, a) - computeDistance(self, b) ||
    hashPair(key, hashName(b.vm)) - hashPair(key, hashName(a.vm))
}

function computeDistance (self: Candidate, other: Candidate): number {
  if (self.vm === other.vm) return 0
  if (self.failureDomain === other.failureDomain) return 1
  return self.region === other.region ? 2 : 3
}

/**
 * Computes how many connections for statements one serving VM may hold to an instance, at least 1.
 *
 * `HANDOVER_VM_COUNT` further VMs are allowed for during a takeover, and each VM's control connections are
 * part of its share. The result does not depend on the live members, so a VM with an incomplete view
 * never exceeds its share. The limit of the instance itself remains the last safeguard.
 *
 * @example computeStatementConnections(20) // 3
 */
export function computeStatementConnections (maxConnections: number): number {
  const perVm = Math.floor(maxConnections / (SERVING_VM_COUNT + HANDOVER_VM_COUNT))
  return Math.max(1, perVm - CONTROL_CONNECTIONS_PER_VM)
}
