import { hashName, type Vm } from '@camphorpitch/wire'
import type { Member } from './membership-view.ts'
import type { MembershipMessage } from './messages.ts'

/** Number of times that a joining VM gossips its own record, set before it knows the fleet's size. */
const JOIN_GOSSIP_SENDS = 10

/** One member as this VM knows it. */
export interface MemberRecord {
  vm: string
  host: string
  peerPort: number
  failureDomain: string
  region: string
  /** Raised by the member itself when it refutes a report about it or changes its leaving state. */
  incarnation: number
  /** Incarnation in the hello of the member's process; a refutation does not change it. */
  processIncarnation: number
  /** Position on the hash ring. */
  hash: number
  isLeaving: boolean
  isDead: boolean
  /** VMs whose probes of this member failed; not empty while it is suspected or dead. */
  accusers: string[]
  /** Accusers in another VM's report of a death that this VM has not verified; they count once a local probe fails. */
  reportedAccusers: string[]
  /** When this VM began to suspect the member, in monotonic milliseconds. */
  suspectedAtMs: number
  /** Last message from the member, or last ack of a probe of it, in monotonic milliseconds. */
  lastContactAtMs: number
  /** Since when the platform has not listed this dead member, in monotonic milliseconds; `null` while it is listed. */
  unlistedSinceMs: number | null
}

/** A probe in flight: several ping attempts, first direct and then also relayed by other members. */
export interface Probe {
  vm: string
  sequence: number
  startedAtMs: number
  attempts: number
  /** Whether the ping carries a digest of this VM's view, for comparison with the target's. */
  hasDigest: boolean
}

/** A ping sent on behalf of another VM. */
export interface Relay {
  requester: string
  /** Sequence of the requester's probe, which the forwarded ack carries. */
  sequence: number
  sentAtMs: number
}

export interface MembershipState {
  self: MemberRecord
  /** Whether this VM is leaving because the platform lists it so, rather than by its own announcement. */
  isListedAsLeaving: boolean
  /** All members except this VM, dead ones included. */
  members: Map<string, MemberRecord>
  /** Members that are not dead, without this VM, ordered by position on the ring; `null` when it must be rebuilt. */
  ring: MemberRecord[] | null
  /** VMs that are suspected and not yet confirmed dead. */
  suspected: Set<string>
  dead: Set<string>
  /** VMs that others report dead and that this VM has yet to verify, that is, with `reportedAccusers`. */
  reportedDead: Set<string>
  probes: Map<string, Probe>
  /** By the sequence of the ping that this VM sends. */
  relays: Map<number, Relay>
  /** Remaining sends of each VM's record by gossip. */
  gossip: Map<string, number>
  /** VMs that the platform lists as live and that are not members yet. */
  unknownListedVms: Vm[]
  /** Whether the last chunk of another member's whole view was received. */
  hasSynced: boolean
  /** Whether this VM is one of the few that read the platform's list at the short interval. */
  isPoller: boolean
  /** The ring for which `isPoller` was decided. */
  pollerRing: MemberRecord[] | null
  /** Sequence of the last ping that this VM began. */
  sequence: number
  /** State of the seeded random number generator. */
  randomState: number
  roundCount: number
  lastTickAtMs: number | null
  nextRoundAtMs: number
  nextPollAtMs: number
  nextSyncAtMs: number
  /**
   * Until then this VM neither suspects members for failed probes nor confirms deaths, because its own process
   * was paused and could not read their messages.
   */
  pauseRecoveryEndsAtMs: number
}

/** A VM and the address at which it accepts links from its peers. */
export interface PeerAddress {
  vm: string
  host: string
  peerPort: number
}

export type MembershipEffect =
  | { type: 'send', to: PeerAddress, body: MembershipMessage }
  | { type: 'poll' }
  | { type: 'changed', member: Member, reason: string }
  /** Notifies subscribers, once after all changes that one input causes. */
  | { type: 'publish' }

export interface MembershipStateOptions {
  self: Omit<Member, 'state'>
  /** Seed of the choice of members to probe and to gossip with. */
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
    lastTickAtMs: null,
    nextRoundAtMs: 0,
    nextPollAtMs: 0,
    nextSyncAtMs: 0,
    pauseRecoveryEndsAtMs: 0
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

/** Converts a record to the member that other slices see. */
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

/** Members that are not dead, ordered by position on the ring, without this VM. */
export function readRing (state: MembershipState): MemberRecord[] {
  state.ring ??= [...state.members.values()]
    .filter(m => !m.isDead)
    .sort((a, b) => a.hash - b.hash || (a.vm < b.vm ? -1 : 1))
  return state.ring
}

/** A random number in [0, 1) from the seeded generator mulberry32. */
export function pickRandom (state: MembershipState): number {
  state.randomState = (state.randomState + 0x6d2b79f5) | 0
  let t = Math.imul(state.randomState ^ (state.randomState >>> 15), 1 | state.randomState)
  t = (t + Math.imul(t ^ (t >>> 7), 61 | t)) ^ t
  return ((t ^ (t >>> 14)) >>> 0) / 4_294_967_296
}

/**
 * Picks up to `count` different members for which `isWanted` holds, at random.
 *
 * The number of tries is limited, so fewer may be returned although more would qualify.
 */
export function pickMembers (state: MembershipState, members: readonly MemberRecord[], count: number, isWanted: (m: MemberRecord) => boolean): MemberRecord[] {
  const picked = new Set<MemberRecord>()
  const maxTries = Math.min(members.length, 2 * count) + count
  for (let i = 0; i < maxTries && picked.size < count; i++) {
    const m = members[Math.floor(pickRandom(state) * members.length)]
    if (m !== undefined && isWanted(m)) picked.add(m)
  }
  return [...picked]
}
