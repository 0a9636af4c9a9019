import { hashName, hashPair } from '@camphorpitch/wire'
import type { VmEntry } from './messages.ts'

/** A VM that has left a poll unanswered for this long does not count as reachable, in milliseconds: three rounds of polls. */
export const UNRESPONSIVE_AFTER_MS = 1_500
/** A VM silent for this long has its entry removed, in milliseconds. */
export const REMOVE_ENTRY_AFTER_MS = 60_000
/** A VM silent for this long does not run any more, as far as anything that is safe without it needs to know. */
const PRESUMED_STOPPED_AFTER_MS = REMOVE_ENTRY_AFTER_MS / 3
/** Up to this many other VMs are all polled in each round. Source: letter 1, small sites run 8 to 9 VMs. */
const MAX_MEMBERS_POLLED_EVERY_ROUND = 8
/** VMs polled in a round of a larger fleet: with 76 VMs, polls are most of what an idle VM spends processor time on. */
const POLLED_PER_ROUND = 5
/** Those of other regions among them: links between regions are dear, and carry the same news as those within. */
const POLLED_IN_OTHER_REGIONS_PER_ROUND = 1

/** Another VM of the fleet. */
export interface Member {
  entry: VmEntry
  /** When the last poll was sent that it has answered; `-Infinity` for none. */
  lastAnsweredPollSentAtMs: number
  /** When the first poll was sent that it has not answered since; `null` while it has answered all. */
  unansweredSinceMs: number | null
}

export interface MemberState {
  self: VmEntry
  members: Map<string, Member>
  /** Start of each VM that has told that it ends; what is still heard of that start is out of date. */
  left: Map<string, number>
  /** Raised with each change of who is a member. */
  changes: number
  /** Whether the store, or a VM that had read it, told who the members are. */
  isListed: boolean
}

export function createMemberState (self: VmEntry): MemberState {
  return { self, members: new Map(), left: new Map(), changes: 0, isListed: false }
}

/**
 * Takes in a VM; a later start of the same VM replaces the earlier one.
 *
 * @returns whether anything is new
 */
export function addMember (state: MemberState, entry: VmEntry): boolean {
  if (entry.vm === state.self.vm || entry.incarnation <= (state.left.get(entry.vm) ?? -Infinity)) return false
  const existing = state.members.get(entry.vm)
  if (existing !== undefined && existing.entry.incarnation >= entry.incarnation) return false
  state.members.set(entry.vm, { entry, lastAnsweredPollSentAtMs: -Infinity, unansweredSinceMs: null })
  state.changes++
  return true
}

export function removeMember (state: MemberState, vm: string): void {
  if (state.members.delete(vm)) state.changes++
}

/** Takes in that a VM has ended by itself. */
export function recordLeft (state: MemberState, vm: string, incarnation: number): void {
  const existing = state.members.get(vm)
  if (existing !== undefined && existing.entry.incarnation > incarnation) return
  state.left.set(vm, incarnation)
  removeMember(state, vm)
}

export function recordPoll (member: Member, nowMs: number): void {
  member.unansweredSinceMs ??= nowMs
}

export function recordReport (state: MemberState, vm: string, pollSentAtMs: number): void {
  const member = state.members.get(vm)
  if (member === undefined) return
  member.lastAnsweredPollSentAtMs = Math.max(member.lastAnsweredPollSentAtMs, pollSentAtMs)
  if (member.unansweredSinceMs !== null && pollSentAtMs >= member.unansweredSinceMs) member.unansweredSinceMs = null
}

/** For how long a VM has left polls unanswered, in milliseconds; 0 while it answers, or was never asked. */
export function measureUnansweredMs ({ unansweredSinceMs }: Member, nowMs: number): number {
  return unansweredSinceMs === null ? 0 : nowMs - unansweredSinceMs
}

export function isHeard (member: Member, nowMs: number): boolean {
  return member.lastAnsweredPollSentAtMs > -Infinity && measureUnansweredMs(member, nowMs) < UNRESPONSIVE_AFTER_MS
}

/** VMs that answer, this one not included. */
export function listHeard (state: MemberState, nowMs: number): Member[] {
  return [...state.members.values()].filter(m => isHeard(m, nowMs))
}

/** VMs that may be running: those that answer, and those that have not been silent for long. */
export function listPossible (state: MemberState, nowMs: number): Member[] {
  return [...state.members.values()].filter(m => measureUnansweredMs(m, nowMs) < PRESUMED_STOPPED_AFTER_MS)
}

/** VMs that have answered not long ago. Only these are told to others, so that none that is gone comes back by hearsay. */
export function listRecentlyResponsive (state: MemberState, nowMs: number): Member[] {
  return listPossible(state, nowMs).filter(m => m.lastAnsweredPollSentAtMs > -Infinity)
}

/** VMs to poll in a round: all of a small fleet; of a large one a part, mostly of this region, that moves on with each round. */
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

/** Place of this VM among those that answer, for a service; 0 acts first. */
export function computeRank (state: MemberState, service: string, nowMs: number): number {
  const serviceHash = hashName(service)
  const localHash = hashPair(serviceHash, hashName(state.self.vm))
  return listHeard(state, nowMs).filter(m => hashPair(serviceHash, hashName(m.entry.vm)) < localHash).length
}
