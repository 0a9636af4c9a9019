import { hashName, hashPair, type Rate } from '@camphorpitch/wire'
import type { Member } from '../membership/membership-view.ts'

/** Number of groups of workspaces; the shares of all workspaces in a group move between VMs together. */
export const PARTITION_COUNT = 64
/** Largest number of shares that a workspace's rate is divided into, so that different VMs can count them. */
export const SHARES_PER_PARTITION = 3
/** Smallest burst of a share; a workspace whose burst is below `SHARES_PER_PARTITION` times this has one share. */
const MIN_SHARE_BURST = 8
export const MAX_WITNESSES = 9
/** Time after which every owner uses a changed number of shares. */
const SHARE_COUNT_CHANGE_DELAY_MS = 10_000

/** The rate and burst of one share of a workspace. */
export interface ShareRate {
  /** Name of the share in the owners object. */
  name: string
  /** Tokens per millisecond. */
  rate: number
  burst: number
}

/** A workspace's rate, divided into shares. Each change of the rate creates a new object. */
export interface WorkspaceLimit {
  shares: ShareRate[]
  /** Set when the number of shares changed: until `untilMs`, no share may exceed its previous rate and burst. */
  shareCountChange: { previous: ShareRate[], untilMs: number } | null
}

/**
 * Returns the name of a share in the owners object.
 *
 * @example formatShare(7, 2) // 'p7-2'
 */
export function formatShare (partition: number, index: number): string {
  return `p${partition}-${index}`
}

/** Returns the index of a share within its partition, from a name that `formatShare` returned. */
export function parseShareIndex (name: string): number {
  return Number(name.slice(name.lastIndexOf('-') + 1))
}

export function computePartition (workspace: string): number {
  return hashName(workspace) % PARTITION_COUNT
}

/**
 * Divides a rate into shares whose rates and bursts add up to the whole.
 *
 * @param previousLimit the limit that this one replaces; `undefined` for a new workspace
 */
export function createWorkspaceLimit (workspace: string, rate: Rate, previousLimit: WorkspaceLimit | undefined, nowMs: number): WorkspaceLimit {
  const partition = computePartition(workspace)
  const count = rate.burst >= SHARES_PER_PARTITION * MIN_SHARE_BURST ? SHARES_PER_PARTITION : 1
  const baseBurst = Math.floor(rate.burst / count)
  const remainder = rate.burst - baseBurst * count
  const shares = Array.from({ length: count }, (_, i) => ({
    name: formatShare(partition, i),
    rate: rate.statementsPerSecond / 1000 / count,
    burst: baseBurst + (i < remainder ? 1 : 0)
  }))
  if (previousLimit === undefined || previousLimit.shares.length === count) return { shares, shareCountChange: previousLimit?.shareCountChange ?? null }
  const previous = previousLimit.shares.map((_, i) => findShareRate(previousLimit, i, nowMs)).filter(s => s !== undefined)
  return { shares, shareCountChange: { previous, untilMs: nowMs + SHARE_COUNT_CHANGE_DELAY_MS } }
}

/** The rate and burst that a share may use now; `undefined` for a share that does not exist, or not yet. */
export function findShareRate ({ shares, shareCountChange }: WorkspaceLimit, index: number, nowMs: number): ShareRate | undefined {
  const share = shares[index]
  if (share === undefined || shareCountChange === null || nowMs >= shareCountChange.untilMs) return share
  const previousShare = shareCountChange.previous[index]
  if (previousShare === undefined) return undefined
  return { ...share, rate: Math.min(share.rate, previousShare.rate), burst: Math.min(share.burst, previousShare.burst) }
}

/** Sorts the members by rendezvous hashing, the highest score for `key` first. */
export function listByRendezvous (key: string, members: readonly Member[]): Member[] {
  const keyHash = hashName(key)
  const scored = members.map(member => ({ member, score: hashPair(keyHash, hashName(member.vm)) }))
  scored.sort((a, b) => b.score - a.score || (a.member.vm < b.member.vm ? -1 : 1))
  return scored.map(s => s.member)
}

/** Picks up to `count` members in rendezvous order, preferring the failure domains with the fewest picks so far. */
export function pickAcrossDomains (key: string, members: readonly Member[], count: number): Member[] {
  const remaining = listByRendezvous(key, members)
  const picksByDomain = new Map<string, number>()
  const picked: Member[] = []
  while (picked.length < count && remaining.length > 0) {
    const nextIndex = findIndexInLeastPickedDomain(remaining, picksByDomain)
    const [member] = remaining.splice(nextIndex, 1)
    picksByDomain.set(member!.failureDomain, (picksByDomain.get(member!.failureDomain) ?? 0) + 1)
    picked.push(member!)
  }
  return picked
}

function findIndexInLeastPickedDomain (members: readonly Member[], picksByDomain: ReadonlyMap<string, number>): number {
  let bestIndex = 0
  let fewestPicks = Infinity
  for (let i = 0; i < members.length && fewestPicks > 0; i++) {
    const count = picksByDomain.get(members[i]!.failureDomain) ?? 0
    if (count >= fewestPicks) continue
    bestIndex = i
    fewestPicks = count
  }
  return bestIndex
}

/**
 * The `SHARES_PER_PARTITION` members with the highest rendezvous scores of each failure domain.
 *
 * No partition has more owners than that, so picking from these gives the same owners as picking from all members.
 */
function listTopMembersPerDomain (keyHash: number, domains: ReadonlyArray<readonly Member[]>): Member[] {
  const topMembers: Member[] = []
  for (const members of domains) {
    const best: Array<{ member: Member, score: number }> = []
    for (const member of members) {
      const score = hashPair(keyHash, hashName(member.vm))
      if (best.length === SHARES_PER_PARTITION && score < best[SHARES_PER_PARTITION - 1]!.score) continue
      best.push({ member, score })
      best.sort((a, b) => b.score - a.score)
      best.length = Math.min(best.length, SHARES_PER_PARTITION)
    }
    for (const { member } of best) topMembers.push(member)
  }
  return topMembers
}

/** The member that should own each share, by share name. With fewer members than shares, a member owns several. */
export function computeTargetOwners (members: readonly Member[]): Map<string, Member> {
  const targets = new Map<string, Member>()
  const domains = new Map<string, Member[]>()
  for (const member of members) domains.set(member.failureDomain, [...domains.get(member.failureDomain) ?? [], member])
  for (let partition = 0; partition < PARTITION_COUNT; partition++) {
    const key = `partition-${partition}`
    const owners = pickAcrossDomains(key, listTopMembersPerDomain(hashName(key), [...domains.values()]), SHARES_PER_PARTITION)
    if (owners.length === 0) return targets
    for (let i = 0; i < SHARES_PER_PARTITION; i++) targets.set(formatShare(partition, i), owners[i % owners.length]!)
  }
  return targets
}

/** Keeps the witnesses that are still members and adds others up to `MAX_WITNESSES`. */
export function pickWitnesses (currentWitnesses: readonly string[], members: readonly Member[]): string[] {
  const keptWitnesses = currentWitnesses.filter(vm => members.some(m => m.vm === vm))
  const candidates = pickAcrossDomains('witness', members, members.length).filter(m => !keptWitnesses.includes(m.vm))
  const addedWitnesses = candidates.slice(0, Math.max(0, MAX_WITNESSES - keptWitnesses.length)).map(m => m.vm)
  return [...keptWitnesses, ...addedWitnesses]
}
