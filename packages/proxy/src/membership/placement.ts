import { hashName, hashPair } from '@camphorpitch/wire'

/** What placement needs of a member. */
export interface Candidate {
  vm: string
  failureDomain: string
  region: string
}

export interface SelectOptions {
  /** VMs that serve a database. */
  count?: number
  /** Regions of the database's endpoints; VMs elsewhere are taken only where these have too few. */
  regions?: readonly string[]
}

/** VMs that serve one database. */
export const SERVING_VM_COUNT = 3
/** Connections per serving VM and instance that probe and steer the group. */
export const CONTROL_CONNECTIONS_PER_VM = 2
/** VMs beyond `SERVING_VM_COUNT` that may hold connections while a database changes hands. */
export const HANDOVER_VM_COUNT = 1

/**
 * Selects the VMs that serve a database, by rendezvous hashing.
 *
 * Regions are spread first, then failure domains: no two VMs share one while another is free. Every
 * VM with the same members selects the same, in the same order, and a member that comes or goes
 * moves only the databases that it takes or gives up.
 *
 * @example selectServingVms('orders', members, { count: 3 }) // ['vm-4', 'vm-1', 'vm-9']
 */
export function selectServingVms (database: string, members: readonly Candidate[], options: SelectOptions = {}): string[] {
  return selectFromHashedCandidates(database, hashCandidates(members), options).map(c => c.vm)
}

/** As `selectServingVms`, for members that were hashed before. */
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

/** A candidate with the hash of its name, computed once for all databases. */
export interface HashedCandidate {
  candidate: Candidate
  hash: number
  /** Region and failure domain. */
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
 * The candidates that can be selected, by descending weight for the database.
 *
 * At most `count` are taken from one place, so more than its `count` best need not be ordered.
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

/** Adds to an ordered list of at most `count`. */
function insertRanked (rankedList: RankedCandidate[], ranked: RankedCandidate, count: number): void {
  if (rankedList.length >= count && compareRanked(rankedList.at(-1)!, ranked) < 0) return
  const index = rankedList.findIndex(r => compareRanked(ranked, r) < 0)
  rankedList.splice(index === -1 ? rankedList.length : index, 0, ranked)
  if (rankedList.length > count) rankedList.pop()
}

function compareRanked (a: RankedCandidate, b: RankedCandidate): number {
  return b.weight - a.weight || compareNames(a.candidate.vm, b.candidate.vm)
}

/** Adds the best candidates whose `readGroup` none of the selected shares, up to `count`. */
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
 * Orders serving VMs for one VM that sends to them: itself, then its failure domain, its region, the
 * others. Equally near ones are ordered by a hash of the pair, so that senders spread.
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
 * Connections for statements that one serving VM may hold to an instance, at least 1.
 *
 * Room for one VM more than serve is left for hand-over, and each VM's control connections come out
 * of its own part. The count does not follow the live members, so a VM with an incomplete view never
 * takes more than its part. The instance's own limit remains the last fence.
 *
 * @example computeShare(20) // 3
 */
export function computeStatementConnections (maxConnections: number): number {
  const perVm = Math.floor(maxConnections / (SERVING_VM_COUNT + HANDOVER_VM_COUNT))
  return Math.max(1, perVm - CONTROL_CONNECTIONS_PER_VM)
}
