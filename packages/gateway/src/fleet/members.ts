import { hashName, hashPair } from '@camphorpitch/wire'
import type { VmEntry } from './message-schemas.ts'

/** A VM that has left a poll unanswered for this long counts as unresponsive: three rounds of polls. */
export const VM_UNRESPONSIVE_AFTER_MS = 1_500
/** A VM that has left polls unanswered for this long has its entry removed. */
export const REMOVE_ENTRY_AFTER_MS = 60_000
/**
 * A VM that was removed without having announced that it leaves may still run for this long, beside the primary and with commits
 * acknowledged: regions lose each other for minutes.
 */
export const MISSING_KEPT_MS = 15 * 60_000
/** A VM that has left polls unanswered for this long is presumed stopped. Only for uses that stay safe if it still runs. */
const PRESUMED_STOPPED_AFTER_MS = REMOVE_ENTRY_AFTER_MS / 3
/** Up to this many other VMs are all polled in each round: small sites run 8 to 9 VMs, and a replaced VM stays a member for up to a minute. */
const MAX_MEMBERS_POLLED_EVERY_ROUND = 17
/** A VM of a small fleet acts for the fleet only while a majority of the VMs has answered polls that were sent within this time: four rounds. */
const MAJORITY_LEASE_MS = 2_000
/** A VM that has sent no poll for this long is reported as silent. Its lease has ended then, whenever the answers to earlier polls reached it. */
const SILENT_AFTER_MS = MAJORITY_LEASE_MS + 1_000
/** A VM of a large fleet that has not answered a poll for this long, three rounds, may have been lost with what else is lost. */
const RANK_EVIDENCE_MS = 1_500
/** Time after a start in which a VM may act for the fleet before its polls are answered. */
const MAJORITY_GRACE_MS = 1_000
/** A report on silent VMs counts for this long. */
const SILENT_REPORT_VALID_MS = 2_000
/** VMs polled in a round of a larger fleet: with 76 VMs, polls take most of the processor time of an idle VM. */
const POLLED_PER_ROUND = 5
/** How many of these are in other regions: links between regions are expensive, and reports from there carry the same information. */
const POLLED_IN_OTHER_REGIONS_PER_ROUND = 1

/** Another VM of the fleet. */
export interface Member {
  entry: VmEntry
  /** When the latest poll that it has answered was sent; `-Infinity` before its first answer. */
  lastAnsweredPollSentAtMs: number
  /** When the first poll after its last answer was sent; `null` while no poll is unanswered. */
  unansweredSinceMs: number | null
  /** When its last poll arrived, or this VM began to expect its polls. */
  lastPolledAtMs: number | null
  /** VMs that it reported as silent, and when. */
  silentVms: { vms: ReadonlySet<string>, reportedAtMs: number } | null
}

/** A VM that was removed without having announced that it leaves. It may still run. */
export interface MissingVm { entry: VmEntry, removedAtMs: number }

export interface MemberState {
  self: VmEntry
  members: Map<string, Member>
  /** VMs that were removed and may still run, by name; kept for `MISSING_KEPT_MS`. */
  missing: Map<string, MissingVm>
  /** Incarnation of each VM that has announced that it leaves the fleet; entries of that incarnation or earlier ones are ignored. */
  left: Map<string, number>
  /** Number of changes to `members` so far. */
  changes: number
  /** Whether the members have been listed by the store, or by a VM that knew the store's list. */
  hasMemberList: boolean
  /** Until when VMs may be missing among the members, as they were first listed by a store that has returned from an older copy. */
  incompleteUntilMs: number
}

export function createMemberState (self: VmEntry): MemberState {
  return { self, members: new Map(), missing: new Map(), left: new Map(), changes: 0, hasMemberList: false, incompleteUntilMs: -Infinity }
}

/**
 * Adds a VM; a later incarnation of the same VM replaces an earlier one.
 *
 * @returns whether the VM or its incarnation is new
 */
export function addMember (state: MemberState, entry: VmEntry): boolean {
  if (entry.vm === state.self.vm || entry.incarnation <= (state.left.get(entry.vm) ?? -Infinity)) return false
  const existing = state.members.get(entry.vm)
  // An older build that passes an entry on drops the capacity, which the store and the VM itself tell.
  if (existing?.entry.incarnation === entry.incarnation && entry.capacity !== undefined) existing.entry.capacity = entry.capacity
  if (existing !== undefined && existing.entry.incarnation >= entry.incarnation) return false
  state.missing.delete(entry.vm)
  state.members.set(entry.vm, { entry, lastAnsweredPollSentAtMs: -Infinity, unansweredSinceMs: null, lastPolledAtMs: null, silentVms: null })
  state.changes++
  return true
}

export function removeMember (state: MemberState, vm: string): void {
  if (state.members.delete(vm)) state.changes++
}

/** Removes a VM that has not announced that it leaves: it has not answered for long, or its entry was deleted by another VM. */
export function removeUnannounced (state: MemberState, vm: string, nowMs: number): void {
  const member = state.members.get(vm)
  if (member === undefined) return
  state.missing.set(vm, { entry: member.entry, removedAtMs: nowMs })
  removeMember(state, vm)
}

/**
 * Makes a missing VM a member again, after a message of it has arrived.
 *
 * @returns whether it was missing
 */
export function restoreMissing (state: MemberState, vm: string, incarnation: number): boolean {
  const missing = state.missing.get(vm)
  return missing !== undefined && missing.entry.incarnation === incarnation && addMember(state, missing.entry)
}

/**
 * Lists the VMs that were removed and may still run, the one that has been missing for longest first. Forgets those that have been missing
 * for too long.
 */
export function listMissing (state: MemberState, nowMs: number): VmEntry[] {
  for (const [vm, { removedAtMs }] of state.missing) if (nowMs - removedAtMs >= MISSING_KEPT_MS) state.missing.delete(vm)
  return [...state.missing.values()].map(m => m.entry)
}

/** Removes a VM that has announced that it leaves the fleet, unless a later incarnation of it is known. */
export function recordLeft (state: MemberState, vm: string, incarnation: number): void {
  const existing = state.members.get(vm)
  if (existing !== undefined && existing.entry.incarnation > incarnation) return
  state.left.set(vm, incarnation)
  state.missing.delete(vm)
  removeMember(state, vm)
}

/** Records that a poll has been sent to a VM. */
export function recordPoll (member: Member, nowMs: number): void {
  member.unansweredSinceMs ??= nowMs
}

/** Records that a VM has answered the poll that was sent at `pollSentAtMs`. */
export function recordReport (state: MemberState, vm: string, pollSentAtMs: number): void {
  const member = state.members.get(vm)
  if (member === undefined) return
  member.lastAnsweredPollSentAtMs = Math.max(member.lastAnsweredPollSentAtMs, pollSentAtMs)
  if (member.unansweredSinceMs !== null && pollSentAtMs >= member.unansweredSinceMs) member.unansweredSinceMs = null
}

/** Records that a poll of a VM has arrived. */
export function recordPolledBy ({ members }: MemberState, vm: string, nowMs: number): void {
  const member = members.get(vm)
  if (member !== undefined) member.lastPolledAtMs = nowMs
}

/** Records which VMs a VM has reported as silent. */
export function recordSilentVms ({ members }: MemberState, vm: string, silent: readonly string[], nowMs: number): void {
  const member = members.get(vm)
  if (member !== undefined) member.silentVms = { vms: new Set(silent), reportedAtMs: nowMs }
}

/** Lists the VMs of a small fleet whose polls no longer arrive here. */
export function listSilent (state: MemberState, nowMs: number): string[] {
  if (!isSmallFleet(state)) return []
  const silent: string[] = []
  for (const member of state.members.values()) {
    member.lastPolledAtMs ??= nowMs
    if (nowMs - member.lastPolledAtMs >= SILENT_AFTER_MS) silent.push(member.entry.vm)
  }
  return silent
}

/** Whether every VM polls all others in each round. */
export function isSmallFleet ({ members }: MemberState): boolean {
  return members.size <= MAX_MEMBERS_POLLED_EVERY_ROUND
}

/**
 * Whether this VM may act for the fleet: a majority of the VMs answers its polls, or it has just started. Always true in a large fleet, whose VMs
 * poll each other too seldom, and for one or two VMs.
 */
export function isInMajority (state: MemberState, uptimeMs: number, nowMs: number): boolean {
  if (!isSmallFleet(state) || state.members.size < 2 || uptimeMs < MAJORITY_GRACE_MS) return true
  const answering = [...state.members.values()].filter(m => nowMs - m.lastAnsweredPollSentAtMs < MAJORITY_LEASE_MS).length
  return (answering + 1) * 2 > state.members.size + 1
}

/** Lists the VMs that a majority of a small fleet has found silent for so long that they do not act for the fleet any more. */
export function listSilentToMajority (state: MemberState, nowMs: number): string[] {
  if (!isSmallFleet(state) || state.members.size < 2) return []
  const counts = new Map<string, number>()
  const addAll = (vms: Iterable<string>): void => { for (const vm of vms) counts.set(vm, (counts.get(vm) ?? 0) + 1) }
  addAll(listSilent(state, nowMs))
  for (const { silentVms } of state.members.values()) if (silentVms !== null && nowMs - silentVms.reportedAtMs < SILENT_REPORT_VALID_MS) addAll(silentVms.vms)
  return [...counts].filter(([, count]) => count * 2 > state.members.size + 1).map(([vm]) => vm).sort()
}

/** Measures for how long a VM has left polls unanswered, in milliseconds; 0 while it answers, or before its first poll. */
export function measureUnansweredMs ({ unansweredSinceMs }: Member, nowMs: number): number {
  return unansweredSinceMs === null ? 0 : nowMs - unansweredSinceMs
}

/**
 * Estimates the fraction of the other VMs that this VM reaches. A large fleet polls few VMs in a round, so that the fraction is found
 * to be smaller only in the course of a round of all.
 *
 * @param timeoutMs a poll that has been unanswered for this long counts as lost
 * @returns 1 while no poll tells
 */
export function estimateReachedFraction ({ members }: MemberState, timeoutMs: number, nowMs: number): number {
  const polled = [...members.values()].filter(m => m.unansweredSinceMs !== null || m.lastAnsweredPollSentAtMs > -Infinity)
  if (polled.length === 0) return 1
  return polled.filter(m => measureUnansweredMs(m, nowMs) < timeoutMs).length / polled.length
}

/** Whether a VM has answered a poll, and has no poll that has been unanswered for too long. */
export function isResponsive (member: Member, nowMs: number): boolean {
  return member.lastAnsweredPollSentAtMs > -Infinity && measureUnansweredMs(member, nowMs) < VM_UNRESPONSIVE_AFTER_MS
}

/** Lists the responsive VMs, without the local one. */
export function listResponsive (state: MemberState, nowMs: number): Member[] {
  return [...state.members.values()].filter(m => isResponsive(m, nowMs))
}

/**
 * Lists the other VMs that are not known to be unresponsive, also those that have not been polled yet: right after a start these are most
 * of a large fleet.
 */
export function listPresent (state: MemberState, nowMs: number): Member[] {
  return [...state.members.values()].filter(m => measureUnansweredMs(m, nowMs) < VM_UNRESPONSIVE_AFTER_MS)
}

/** Whether the members are all VMs that run, as far as is known. So once all of them have answered, as one that has run for longer tells which others there are. */
export function hasAllMembers (state: MemberState, nowMs: number): boolean {
  const all = [...state.members.values()]
  return nowMs >= state.incompleteUntilMs || (all.length > 0 && all.every(m => isResponsive(m, nowMs)))
}

/** Lists the VMs that may be running: all but those that have left polls unanswered for long. */
export function listPossiblyRunning (state: MemberState, nowMs: number): Member[] {
  return [...state.members.values()].filter(m => measureUnansweredMs(m, nowMs) < PRESUMED_STOPPED_AFTER_MS)
}

/**
 * Lists the VMs that may be running and have answered this VM at least once. Reports list only these, so that VMs do
 * not reintroduce a stopped VM to each other.
 */
export function listRecentlyResponsive (state: MemberState, nowMs: number): Member[] {
  return listPossiblyRunning(state, nowMs).filter(m => m.lastAnsweredPollSentAtMs > -Infinity)
}

/** Lists the VMs to poll in a round: all of a small fleet; of a large one a few in turn, mostly of the local region. */
export function listPolled (state: MemberState, round: number): Member[] {
  const sortedMembers = [...state.members.values()].sort((a, b) => a.entry.vm < b.entry.vm ? -1 : 1)
  if (sortedMembers.length <= MAX_MEMBERS_POLLED_EVERY_ROUND) return sortedMembers
  const sameRegion = sortedMembers.filter(m => m.entry.region === state.self.region)
  const otherRegions = sortedMembers.filter(m => m.entry.region !== state.self.region)
  const sameRegionCount = Math.min(sameRegion.length, POLLED_PER_ROUND - Math.min(POLLED_IN_OTHER_REGIONS_PER_ROUND, otherRegions.length))
  return [...pickRoundRobin(sameRegion, sameRegionCount, round), ...pickRoundRobin(otherRegions, POLLED_PER_ROUND - sameRegionCount, round)]
}

function pickRoundRobin (members: readonly Member[], count: number, round: number): Member[] {
  const start = round * count
  return Array.from({ length: Math.min(count, members.length) }, (_, i) => members[(start + i) % members.length]!)
}

/**
 * Computes the rank of this VM among the responsive ones for a service, by hash. VMs that see the same members compute
 * distinct ranks without coordination, and the VM with rank 0 acts first.
 *
 * @param maxAgeMs only VMs that have answered a poll within this time count; all that are responsive by default
 */
export function computeRank (state: MemberState, service: string, nowMs: number, maxAgeMs = Infinity): number {
  return countLowerHashes(state, service, listResponsive(state, nowMs).filter(m => nowMs - m.lastAnsweredPollSentAtMs <= maxAgeMs))
}

/**
 * Computes the rank among the VMs that are not known to be unresponsive. Right after a start, when none has answered a poll yet, the VMs
 * share work by it that each of them would do otherwise.
 *
 * @returns `Infinity` while the VMs have not been listed
 * @example computePresentRank(state, 'orders', clock.readNow()) // 0 on one of the VMs
 */
export function computePresentRank (state: MemberState, service: string, nowMs: number): number {
  return state.hasMemberList ? countLowerHashes(state, service, listPresent(state, nowMs)) : Infinity
}

function countLowerHashes ({ self }: MemberState, service: string, counted: readonly Member[]): number {
  const serviceHash = hashName(service)
  const localHash = hashPair(serviceHash, hashName(self.vm))
  return counted.filter(m => hashPair(serviceHash, hashName(m.entry.vm)) < localHash).length
}

/**
 * Computes the rank among the VMs that are known to run now. A VM of a large fleet hears of each other one every few seconds, and
 * would wait for VMs that were lost with the primary; without those that it has not heard of lately, a few VMs act first instead of one.
 */
export function computeCurrentRank (state: MemberState, service: string, nowMs: number): number {
  return computeRank(state, service, nowMs, isSmallFleet(state) ? Infinity : RANK_EVIDENCE_MS)
}

/** When a VM last stopped, left or restarted: positions that only it knew to be acknowledged are lost. */
export interface MemberLosses {
  lastLossAtMs: number
  /** Incarnations of the members when they were last compared. */
  incarnations: Map<string, number>
}

/** @param startedAtMs start of this VM, which knows nothing of before */
export function createMemberLosses (startedAtMs: number): MemberLosses {
  return { lastLossAtMs: startedAtMs, incarnations: new Map() }
}

/** Records whether a VM has gone or restarted since the last call. */
export function updateMemberLosses (losses: MemberLosses, { members }: MemberState, nowMs: number): void {
  const hasLoss = [...losses.incarnations].some(([vm, incarnation]) => members.get(vm)?.entry.incarnation !== incarnation)
  if (hasLoss) losses.lastLossAtMs = nowMs
  losses.incarnations = new Map([...members].map(([vm, { entry }]) => [vm, entry.incarnation]))
}
