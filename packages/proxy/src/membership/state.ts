import { hashName, type Vm } from '@camphorpitch/wire'
import type { Member } from './membership-view.ts'
import type { MembershipMessage } from './messages.ts'

/** Sends of a new member's own news before it knows how many others there are. */
const JOIN_GOSSIP_SENDS = 10

/** One member as this VM knows it. */
export interface MemberRecord {
  vm: string
  host: string
  peerPort: number
  failureDomain: string
  region: string
  /** Raised by the member itself at each refutation. */
  incarnation: number
  /** As in the hello of the member's process. */
  processIncarnation: number
  /** Place on the ring. */
  hash: number
  isLeaving: boolean
  isDead: boolean
  /** VMs whose probes failed; not empty while suspected or dead. */
  accusers: string[]
  /** Accusers whom others claim for a death that this VM has not seen itself; they count once its own probe fails. */
  reportedAccusers: string[]
  /** When the suspicion began here, in monotonic milliseconds. */
  suspectedAtMs: number
  /** Last message from the member itself, in monotonic milliseconds. */
  lastContactAtMs: number
  /** Since when the platform has not listed this dead member; `null` while it does. */
  unlistedSinceMs: number | null
}

/** A probe in flight: several attempts, direct and through others. */
export interface Probe {
  vm: string
  sequence: number
  startedAtMs: number
  attempts: number
  /** The ping carries a digest of the view. */
  hasDigest: boolean
}

/** A ping sent on behalf of another VM. */
export interface Relay {
  requester: string
  sequence: number
  sentAtMs: number
}

export interface MembershipState {
  self: MemberRecord
  /** The platform called this VM leaving. */
  isListedAsLeaving: boolean
  /** Every member but this VM. */
  members: Map<string, MemberRecord>
  /** Members that are not dead, by place on the ring; `null` when it must be rebuilt. */
  ring: MemberRecord[] | null
  /** Suspected and not yet dead. */
  suspected: Set<string>
  dead: Set<string>
  /** Members with `claimedAccusers`. */
  reportedDead: Set<string>
  probes: Map<string, Probe>
  relays: Map<number, Relay>
  /** Sends left for the news of each member. */
  gossip: Map<string, number>
  /** Listed VMs that are not members yet. */
  unknownListedVms: Vm[]
  hasSynced: boolean
  isPoller: boolean
  /** The ring for which `isPoller` was decided. */
  pollerRing: MemberRecord[] | null
  sequence: number
  /** State of the seeded generator. */
  randomState: number
  roundCount: number
  lastTickMs: number | null
  nextRoundMs: number
  nextPollMs: number
  nextSyncMs: number
  /** Until then failed probes are not held against anybody, since this process was itself late. */
  pauseRecoveryEndsMs: number
}

export interface PeerAddress {
  vm: string
  host: string
  peerPort: number
}

export type MembershipEffect =
  | { type: 'send', to: PeerAddress, body: MembershipMessage }
  | { type: 'poll' }
  | { type: 'changed', member: Member, reason: string }
  /** After all changes of one message. */
  | { type: 'publish' }

export interface MembershipStateOptions {
  self: Omit<Member, 'state'>
  seed: number
}

/** @example const state = createMembershipState({ self, seed: 1 }) */
export function createMembershipState ({ self, seed }: MembershipStateOptions): MembershipState {
  return {
    self: createMemberRecord(self, 0),
    isListedAsLeaving: false,
    members: new Map(),
    ring: null,
    suspected: new Set(),
    dead: new Set(),
    reportedDead: new Set(),
    probes: new Map(),
    relays: new Map(),
    gossip: new Map([[self.vm, JOIN_GOSSIP_SENDS]]),
    unknownListedVms: [],
    hasSynced: false,
    isPoller: true,
    pollerRing: null,
    sequence: 0,
    randomState: seed | 0,
    roundCount: 0,
    lastTickMs: null,
    nextRoundMs: 0,
    nextPollMs: 0,
    nextSyncMs: 0,
    pauseRecoveryEndsMs: 0
  }
}

export function createMemberRecord (member: Omit<Member, 'state'> & { processIncarnation?: number }, nowMs: number): MemberRecord {
  const { vm, host, peerPort, failureDomain, region, incarnation, processIncarnation = incarnation } = member
  return {
    vm,
    host,
    peerPort,
    failureDomain,
    region,
    incarnation,
    processIncarnation,
    hash: hashName(vm),
    isLeaving: false,
    isDead: false,
    accusers: [],
    reportedAccusers: [],
    suspectedAtMs: 0,
    lastContactAtMs: nowMs,
    unlistedSinceMs: null
  }
}

/** A member as other slices see it. */
export function describeMember (record: MemberRecord): Member {
  const { vm, host, peerPort, failureDomain, region, processIncarnation } = record
  return { vm, host, peerPort, failureDomain, region, incarnation: processIncarnation, state: readMemberState(record) }
}

export function readMemberState (record: MemberRecord): Member['state'] {
  if (record.isDead) return 'dead'
  if (record.isLeaving) return 'leaving'
  return record.accusers.length > 0 ? 'suspected' : 'live'
}

/** All members that are not dead, this VM first. */
export function listLiveMembers (state: MembershipState): Member[] {
  return [state.self, ...readRing(state)].map(describeMember)
}

/** Members that are not dead, by place on the ring, without this VM. */
export function readRing (state: MembershipState): MemberRecord[] {
  state.ring ??= [...state.members.values()]
    .filter(m => !m.isDead)
    .sort((a, b) => a.hash - b.hash || (a.vm < b.vm ? -1 : 1))
  return state.ring
}

/** A number in [0, 1) from the seeded generator mulberry32. */
export function pickRandom (state: MembershipState): number {
  state.randomState = (state.randomState + 0x6d2b79f5) | 0
  let t = Math.imul(state.randomState ^ (state.randomState >>> 15), 1 | state.randomState)
  t = (t + Math.imul(t ^ (t >>> 7), 61 | t)) ^ t
  return ((t ^ (t >>> 14)) >>> 0) / 4_294_967_296
}

/** Up to `count` different members that pass `isWanted`. */
export function pickMembers (state: MembershipState, members: readonly MemberRecord[], count: number, isWanted: (m: MemberRecord) => boolean): MemberRecord[] {
  const picked = new Set<MemberRecord>()
  const maxTries = Math.min(members.length, 2 * count) + count
  for (let i = 0; i < maxTries && picked.size < count; i++) {
    const m = members[Math.floor(pickRandom(state) * members.length)]
    if (m !== undefined && isWanted(m)) picked.add(m)
  }
  return [...picked]
}
