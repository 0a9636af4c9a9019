import { hashPair } from '@camphorpitch/wire'
import { SYNC_CHUNK_SIZE, type MemberUpdate } from './messages.ts'
import { pickRandom, type PeerAddress, type MemberRecord, type MembershipState } from './state.ts'
import { createUpdate, type DecisionContext } from './updates.ts'

/** Minimum time between full syncs that this VM starts because of a different digest. */
const SYNC_INTERVAL_MS = 10_000
/** Listed VMs that a joining VM contacts in each round until it has received a view. */
const JOIN_FANOUT = 3

/** Computes a hash of the members that are not dead. Equal views have equal digests. */
export function computeDigest (state: MembershipState): number {
  let digest = hashMember(state.self)
  for (const m of state.members.values()) {
    if (!m.isDead) digest ^= hashMember(m)
  }
  return digest >>> 0
}

function hashMember (m: MemberRecord): number {
  const memberVersion = (m.incarnation % 0x20000000) * 2 + Number(m.isLeaving)
  return hashPair(m.hash, memberVersion)
}

/** Starts a full sync if the peer's view differs, at most once per `SYNC_INTERVAL_MS`. */
export function compareViews (context: DecisionContext, peer: PeerAddress, digest: number): void {
  const { state, nowMs } = context
  if (digest === computeDigest(state) || nowMs < state.nextSyncAtMs) return
  state.nextSyncAtMs = nowMs + SYNC_INTERVAL_MS
  sendView(context, peer, true)
}

/** Sends the whole view in chunks; with `wantsReply`, the last one requests the receiver's view. */
export function sendView (context: DecisionContext, to: PeerAddress, wantsReply: boolean): void {
  const { state, effects } = context
  const updates: MemberUpdate[] = [state.self, ...state.members.values()].map(createUpdate)
  for (let i = 0; i < updates.length; i += SYNC_CHUNK_SIZE) {
    const isLast = i + SYNC_CHUNK_SIZE >= updates.length
    effects.push({ type: 'send', to, body: { type: 'sync', updates: updates.slice(i, i + SYNC_CHUNK_SIZE), isLast, wantsReply: wantsReply && isLast } })
  }
}

/** Sends this VM's view to random listed VMs that are not members yet, and requests theirs. */
export function sendViewToUnknownVms (context: DecisionContext): void {
  const { state } = context
  const count = state.hasSynced ? 1 : JOIN_FANOUT
  const remaining = [...state.unknownListedVms]
  for (let i = 0; i < count && remaining.length > 0; i++) {
    const [address] = remaining.splice(Math.floor(pickRandom(state) * remaining.length), 1)
    sendView(context, address!, true)
  }
}
