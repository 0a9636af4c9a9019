import { hashName, hashPair, type Rate } from '@camphorpitch/wire'
import type { Member } from '../membership/membership-view.ts'

/** Groups of workspaces whose shares move together. */
export const PARTITION_COUNT = 64
/** Shares of a workspace's rate, counted by different VMs. */
export const SHARE_COUNT = 3
/** Smallest burst of a share; workspaces with less than `SHARE_COUNT` times this have one share. */
const MIN_SHARE_BURST = 8
export const MAX_WITNESSES = 9
/** Time after which every owner counts by a new division. */
const RESPLIT_DELAY_MS = 10_000

/** One share's part of a workspace's rate. */
export interface ShareRate {
  /** Name of the share in the owners object. */
  name: string
  /** Tokens per millisecond. */
  rate: number
  burst: number
}

/** A workspace's rate, divided into shares. A change of rate makes a new one. */
export interface WorkspaceLimit {
  shares: ShareRate[]
  /** Set when the number of shares changed: until then, no share may exceed what it was before. */
  resplit: { previous: ShareRate[], untilMs: number } | null
}

/** @example formatShare(7, 2) // 'p7-2' */
export function formatShare (partition: number, index: number): string {
  return `p${partition}-${index}`
}

/** Which of a workspace's shares a name means. */
export function parseShareIndex (name: string): number {
  return Number(name.slice(name.lastIndexOf('-') + 1))
}

export function computePartition (workspace: string): number {
  return hashName(workspace) % PARTITION_COUNT
}

/** Divides a rate into shares whose sums are the whole. */
export function createWorkspaceLimit (workspace: string, rate: Rate, before: WorkspaceLimit | undefined, nowMs: number): WorkspaceLimit {
  const partition = computePartition(workspace)
  const count = rate.burst >= SHARE_COUNT * MIN_SHARE_BURST ? SHARE_COUNT : 1
  const whole = Math.floor(rate.burst / count)
  const rest = rate.burst - whole * count
  const shares = Array.from({ length: count }, (_, i) => ({
    name: formatShare(partition, i),
    rate: rate.statementsPerSecond / 1000 / count,
    burst: whole + (i < rest ? 1 : 0)
  }))
  if (before === undefined || before.shares.length === count) return { shares, resplit: before?.resplit ?? null }
  const previous = before.shares.map((_, i) => findShareRate(before, i, nowMs)).filter(s => s !== undefined)
  return { shares, resplit: { previous, untilMs: nowMs + RESPLIT_DELAY_MS } }
}

/** What a share may count now; `undefined` for a share that does not exist, or not yet. */
export function findShareRate ({ shares, resplit }: WorkspaceLimit, index: number, nowMs: number): ShareRate | undefined {
  const share = shares[index]
  if (share === undefined || resplit === null || nowMs >= resplit.untilMs) return share
  const previous = resplit.previous[index]
  if (previous === undefined) return undefined
  return { ...share, rate: Math.min(share.rate, previous.rate), burst: Math.min(share.burst, previous.burst) }
}

/** The members in rendezvous order, the best for `key` first. */
export function listByRendezvous (key: string, members: readonly Member[]): Member[] {
  const keyHash = hashName(key)
  const scored = members.map(member => ({ member, score: hashPair(keyHash, hashName(member.vm)) }))
  scored.sort((a, b) => b.score - a.score || (a.member.vm < b.member.vm ? -1 : 1))
  return scored.map(s => s.member)
}

/** Picks up to `count` members in rendezvous order, failure domains not yet used first. */
export function pickSpread (key: string, members: readonly Member[], count: number): Member[] {
  const left = listByRendezvous(key, members)
  const uses = new Map<string, number>()
  const picked: Member[] = []
  while (picked.length < count && left.length > 0) {
    const next = findLeastUsed(left, uses)
    const [member] = left.splice(next, 1)
    uses.set(member!.failureDomain, (uses.get(member!.failureDomain) ?? 0) + 1)
    picked.push(member!)
  }
  return picked
}

function findLeastUsed (members: readonly Member[], uses: ReadonlyMap<string, number>): number {
  let best = 0
  let fewest = Infinity
  for (let i = 0; i < members.length && fewest > 0; i++) {
    const count = uses.get(members[i]!.failureDomain) ?? 0
    if (count >= fewest) continue
    best = i
    fewest = count
  }
  return best
}

/** The best few members of each failure domain; a choice among them equals one among all. */
function listFinalists (keyHash: number, domains: ReadonlyArray<readonly Member[]>): Member[] {
  const finalists: Member[] = []
  for (const members of domains) {
    const best: Array<{ member: Member, score: number }> = []
    for (const member of members) {
      const score = hashPair(keyHash, hashName(member.vm))
      if (best.length === SHARE_COUNT && score < best[SHARE_COUNT - 1]!.score) continue
      best.push({ member, score })
      best.sort((a, b) => b.score - a.score)
      best.length = Math.min(best.length, SHARE_COUNT)
    }
    for (const { member } of best) finalists.push(member)
  }
  return finalists
}

/** The member that should own each share; fewer members than shares own several. */
export function computeTargets (members: readonly Member[]): Map<string, Member> {
  const targets = new Map<string, Member>()
  const domains = new Map<string, Member[]>()
  for (const m of members) domains.set(m.failureDomain, [...domains.get(m.failureDomain) ?? [], m])
  for (let partition = 0; partition < PARTITION_COUNT; partition++) {
    const key = `partition-${partition}`
    const owners = pickSpread(key, listFinalists(hashName(key), [...domains.values()]), SHARE_COUNT)
    if (owners.length === 0) return targets
    for (let i = 0; i < SHARE_COUNT; i++) targets.set(formatShare(partition, i), owners[i % owners.length]!)
  }
  return targets
}

/** Keeps the witnesses that are still members and fills up. */
export function pickWitnesses (current: readonly string[], members: readonly Member[]): string[] {
  const kept = current.filter(vm => members.some(m => m.vm === vm))
  const candidates = pickSpread('witness', members, members.length).filter(m => !kept.includes(m.vm))
  const added = candidates.slice(0, Math.max(0, MAX_WITNESSES - kept.length)).map(m => m.vm)
  return [...kept, ...added]
}
