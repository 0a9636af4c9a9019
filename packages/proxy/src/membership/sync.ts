import { hashPair } from '@camphorpitch/wire'
import { SYNC_CHUNK_SIZE, type MemberUpdate } from './messages.ts'
import { pickRandom, type Contact, type MemberRecord, type MembershipState } from './state.ts'
import { createUpdate, type Round } from './updates.ts'

/** Time between full syncs that this VM begins. */
const SYNC_INTERVAL_MS = 10_000
/** Listed VMs that a VM contacts at once while it has no view yet. */
const JOIN_CONTACTS = 3

/** A hash of the members that are not dead, equal for equal views. */
export function computeDigest (state: MembershipState): number {
  let digest = hashMember(state.self)
  for (const m of state.members.values()) {
    if (!m.isDead) digest ^= hashMember(m)
  }
  return digest >>> 0
}

function hashMember (m: MemberRecord): number {
  const version = (m.incarnation % 0x20000000) * 2 + Number(m.isLeaving)
  return hashPair(m.hash, version)
}

/** Begins a full sync when a peer's view differs, at most once per `SYNC_INTERVAL_MS`. */
export function compareViews (round: Round, peer: Contact, digest: number): void {
  const { state, nowMs } = round
  if (digest === computeDigest(state) || nowMs < state.nextSyncMs) return
  state.nextSyncMs = nowMs + SYNC_INTERVAL_MS
  sendView(round, peer, true)
}

/** Sends the whole view in chunks; the last one asks for the receiver's view if `wantsReply`. */
export function sendView (round: Round, to: Contact, wantsReply: boolean): void {
  const { state, effects } = round
  const updates: MemberUpdate[] = [state.self, ...state.members.values()].map(createUpdate)
  for (let i = 0; i < updates.length; i += SYNC_CHUNK_SIZE) {
    const isLast = i + SYNC_CHUNK_SIZE >= updates.length
    effects.push({ type: 'send', to, body: { type: 'sync', updates: updates.slice(i, i + SYNC_CHUNK_SIZE), isLast, wantsReply: wantsReply && isLast } })
  }
}

/** Sends this VM's view to listed VMs that are not members yet. */
export function sendToContacts (round: Round): void {
  const { state } = round
  const count = state.hasSynced ? 1 : JOIN_CONTACTS
  const left = [...state.contacts]
  for (let i = 0; i < count && left.length > 0; i++) {
    const [contact] = left.splice(Math.floor(pickRandom(state) * left.length), 1)
    sendView(round, contact!, true)
  }
}
