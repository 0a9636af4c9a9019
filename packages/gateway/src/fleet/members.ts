import { hashName, hashPair } from '@camphorpitch/wire'
import type { VmEntry } from './messages.ts'

/** A VM that has answered no poll for this long does not count as reachable, in milliseconds. */
export const UNHEARD_AFTER_MS = 2_000
/** A VM unheard for this long has its entry removed, in milliseconds. */
export const FORGET_AFTER_MS = 60_000
/** VMs polled in each round. */
const POLLED_VMS = 8

/** Another VM of the fleet. */
export interface Member {
  entry: VmEntry
  /** When this VM first learned of it. */
  knownSinceMs: number
  /** When the last poll was sent that it has answered; `-Infinity` for none. */
  heardAtMs: number
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
export function addMember (state: MemberState, entry: VmEntry, nowMs: number): boolean {
  if (entry.vm === state.self.vm || entry.incarnation <= (state.left.get(entry.vm) ?? -Infinity)) return false
  const known = state.members.get(entry.vm)
  if (known !== undefined && known.entry.incarnation >= entry.incarnation) return false
  state.members.set(entry.vm, { entry, knownSinceMs: nowMs, heardAtMs: -Infinity })
  state.changes++
  return true
}

export function removeMember (state: MemberState, vm: string): void {
  if (state.members.delete(vm)) state.changes++
}

/** Takes in that a VM has ended by itself. */
export function recordLeft (state: MemberState, vm: string, incarnation: number): void {
  const known = state.members.get(vm)
  if (known !== undefined && known.entry.incarnation > incarnation) return
  state.left.set(vm, incarnation)
  removeMember(state, vm)
}

export function recordReport (state: MemberState, vm: string, pollSentAtMs: number): void {
  const member = state.members.get(vm)
  if (member !== undefined) member.heardAtMs = Math.max(member.heardAtMs, pollSentAtMs)
}

export function isHeard (member: Member, nowMs: number): boolean {
  return nowMs - member.heardAtMs < UNHEARD_AFTER_MS
}

/** VMs that answer, this one not included. */
export function listHeard (state: MemberState, nowMs: number): Member[] {
  return [...state.members.values()].filter(m => isHeard(m, nowMs))
}

/** VMs that may be running: those that answer, and those that have not been silent for long. */
export function listPossible (state: MemberState, nowMs: number): Member[] {
  return [...state.members.values()].filter(m => nowMs - Math.max(m.heardAtMs, m.knownSinceMs) < FORGET_AFTER_MS / 3)
}

/** VMs that have answered not long ago. Only these are told to others, so that none that is gone comes back by hearsay. */
export function listAnswering (state: MemberState, nowMs: number): Member[] {
  return [...state.members.values()].filter(m => nowMs - m.heardAtMs < FORGET_AFTER_MS / 3)
}

/** VMs to poll in a round: all of a small fleet, a part that moves on with each round of a large one. */
export function listPolled (state: MemberState, round: number): Member[] {
  const all = [...state.members.values()].sort((a, b) => a.entry.vm < b.entry.vm ? -1 : 1)
  if (all.length <= POLLED_VMS) return all
  const start = (round * POLLED_VMS) % all.length
  return Array.from({ length: POLLED_VMS }, (_, i) => all[(start + i) % all.length]!)
}

/** Place of this VM among those that answer, for a service; 0 acts first. */
export function computeRank (state: MemberState, service: string, nowMs: number): number {
  const key = hashName(service)
  const own = hashPair(key, hashName(state.self.vm))
  return listHeard(state, nowMs).filter(m => hashPair(key, hashName(m.entry.vm)) < own).length
}
