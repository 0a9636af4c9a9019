import type { StoredObject } from '@camphorpitch/wire'
import { computeAgeMs } from './staleness.ts'
import type { ConfigurationPeerMessage, ReplyMessage } from './messages.ts'
import { applyDelta, deleteUnlistedObjects, estimateBytes, formatKey, mergeObjects, MAX_PAGE_BYTES, recordFullListing, selectPage, type Delta } from './object-set.ts'
import {
  FALLBACK_AGE_MS, MAX_REQUIRED_CONFIRMATIONS, PAGE_TIMEOUT_MS, START_FROM_PEERS_DELAY_MS, POLL_INTERVAL_MS, POLL_TIMEOUT_MS, PUSH_FANOUT, UNRESPONSIVE_PEER_SKIP_MS, STALE_POLL_INTERVAL_MS, TICK_INTERVAL_MS, POLLS_PER_WATCHER_POLL,
  type ConfigurationEffect, type ConfigurationState, type Poll
} from './state.ts'

/**
 * Polls a random peer when the poll interval is over; one poll in `POLLS_PER_WATCHER_POLL` goes to a watcher.
 *
 * VMs that are not ready or whose configuration is stale poll more often.
 */
export function decidePoll (state: ConfigurationState, nowMs: number): ConfigurationEffect[] {
  removeExpiredPolls(state, nowMs)
  if (nowMs < state.nextPollAtMs) return []
  if (isListingFromPeer(state, nowMs)) return []
  state.nextPollAtMs = nowMs + computePollInterval(state, nowMs)
  const vms = new Set([pickPollTarget(state, nowMs)])
  // With message loss or few working links, the only peer that has newer objects may be one that is skipped as unresponsive.
  if (isStale(state, nowMs) && !state.needsFullListing) vms.add(pickPeers(state, 1)[0])
  return [...vms].flatMap(vm => vm === undefined ? [] : [sendPoll(state, vm, nowMs)])
}

function isStale (state: ConfigurationState, nowMs: number): boolean {
  return computeAgeMs(state, nowMs) > FALLBACK_AGE_MS
}

function computePollInterval (state: ConfigurationState, nowMs: number): number {
  if (!state.isReady) return TICK_INTERVAL_MS
  return isStale(state, nowMs) ? STALE_POLL_INTERVAL_MS : POLL_INTERVAL_MS
}

/** Whether a full listing from a peer is in progress. Abandons one whose next page is late, so that another peer is tried. */
function isListingFromPeer (state: ConfigurationState, nowMs: number): boolean {
  const { load } = state
  if (!state.needsFullListing || load === null) return false
  if (nowMs - load.pageRequestedAtMs < PAGE_TIMEOUT_MS) return true
  state.skippedUntilMs.set(load.vm, nowMs + UNRESPONSIVE_PEER_SKIP_MS)
  state.load = null
  return false
}

/** Picks a random peer, or a watcher if its turn has come, that is not skipped as unresponsive; any peer if there is none. */
function pickPollTarget (state: ConfigurationState, nowMs: number): string | undefined {
  const restrictedTo = state.nextPollId % POLLS_PER_WATCHER_POLL === 0 ? state.watchers : undefined
  const responsive = state.members.filter(m => (state.skippedUntilMs.get(m.vm) ?? 0) <= nowMs).map(m => m.vm)
  const preferred = new Set(restrictedTo === undefined ? responsive : responsive.filter(vm => restrictedTo.has(vm)))
  const [vm] = pickPeers(state, 1, preferred)
  return vm ?? pickPeers(state, 1)[0]
}

/** Picks distinct random members other than this VM, from `eligible` or, without it, from all. */
function pickPeers (state: ConfigurationState, count: number, eligible?: ReadonlySet<string>): string[] {
  const peers = state.members.filter(m => m.vm !== state.vm && (eligible === undefined || eligible.has(m.vm)))
  const picked: string[] = []
  while (picked.length < count && peers.length > 0) {
    const [member] = peers.splice(Math.floor(state.random() * peers.length), 1)
    if (member !== undefined) picked.push(member.vm)
  }
  return picked
}

function sendPoll (state: ConfigurationState, vm: string, nowMs: number): ConfigurationEffect {
  const id = state.nextPollId
  state.nextPollId += 1
  const isFull = state.needsFullListing && (state.load === null || state.load.vm === vm)
  if (isFull) state.load ??= { vm, cursor: 0, listedKeys: new Set(), pageRequestedAtMs: nowMs }
  if (isFull && state.load !== null) state.load.pageRequestedAtMs = nowMs
  const since = isFull ? state.load?.cursor ?? 0 : state.objectSet.revision
  state.polls.set(id, { vm, sentAtMs: nowMs, since, isFull })
  return { type: 'send', to: vm, body: { type: 'poll', id, since, isFull } }
}

function removeExpiredPolls (state: ConfigurationState, nowMs: number): void {
  for (const [id, poll] of state.polls) {
    if (nowMs - poll.sentAtMs < POLL_TIMEOUT_MS) break
    state.polls.delete(id)
    state.skippedUntilMs.set(poll.vm, nowMs + UNRESPONSIVE_PEER_SKIP_MS)
  }
}

/** Handles a message from a peer. Responses to polls that are no longer pending are ignored. */
export function handlePeerMessage (state: ConfigurationState, from: string, body: ConfigurationPeerMessage, nowMs: number): ConfigurationEffect[] {
  state.skippedUntilMs.delete(from)
  if (body.type === 'poll') return [...handlePoll(state, from, body, nowMs), ...pollNewerPeer(state, from, body.since, nowMs)]
  if (body.type === 'push') return handlePush(state, from, body, nowMs)
  const poll = state.polls.get(body.id)
  if (poll?.vm !== from) return []
  state.polls.delete(body.id)
  if (body.type === 'reply') return body.from === poll.since ? handleReply(state, poll, body, nowMs) : []
  // If the configuration was recently confirmed, other peers or the object service can still send deltas.
  if (!isStale(state, nowMs)) return []
  state.needsFullListing = true
  state.nextPollAtMs = nowMs
  return [
    { type: 'log', message: 'revision too old for a delta from peer, requesting a full listing', fields: { revision: state.objectSet.revision, peer: from } },
    ...decidePoll(state, nowMs)
  ]
}

/** Polls the sender of a poll if it has a later revision and the configuration of this VM is stale. */
function pollNewerPeer (state: ConfigurationState, vm: string, since: number, nowMs: number): ConfigurationEffect[] {
  if (!state.isReady || state.needsFullListing || since <= state.objectSet.revision || !isStale(state, nowMs)) return []
  return isPolling(state, vm) ? [] : [sendPoll(state, vm, nowMs)]
}

function isPolling (state: ConfigurationState, vm: string): boolean {
  return [...state.polls.values()].some(p => p.vm === vm)
}

function handlePoll (state: ConfigurationState, to: string, poll: Extract<ConfigurationPeerMessage, { type: 'poll' }>, nowMs: number): ConfigurationEffect[] {
  if (!state.isReady || state.needsFullListing) return []
  const { id, since, isFull } = poll
  if (!isFull && since < state.objectSet.minDeltaRevision) return [{ type: 'send', to, body: { type: 'expired', id } }]
  const ageMs = computeAgeMs(state, nowMs)
  const page = selectPage(state.objectSet, since)
  const reply: ReplyMessage = { type: 'reply', id, ...page, ageMs: Number.isFinite(ageMs) ? ageMs : null, fleetSize: state.fleetSize }
  return [{ type: 'send', to, body: reply }]
}

function handleReply (state: ConfigurationState, poll: Poll, reply: ReplyMessage, nowMs: number): ConfigurationEffect[] {
  if (!state.isReady) state.fleetSize = Math.max(state.fleetSize, reply.fleetSize)
  if (poll.isFull) return handleFullPage(state, poll, reply, nowMs)
  const wasReady = state.isReady
  const changes = applyDelta(state.objectSet, reply)
  if (reply.isLast) recordConfirmation(state, poll, reply)
  const effects = wasReady ? forwardChanges(state, reply, changes) : publishChanges(changes)
  if (!reply.isLast) effects.push(sendPoll(state, poll.vm, nowMs))
  return effects
}

/**
 * If this VM now has everything that the peer has, records that as a confirmation, and how recent the peer's
 * configuration is.
 *
 * The peer's age is subtracted from the time at which the poll was sent. As the peer computed it later than
 * that, the result is never too recent.
 */
function recordConfirmation (state: ConfigurationState, poll: Poll, reply: ReplyMessage): void {
  if (state.objectSet.revision < reply.to || state.needsFullListing) return
  state.confirmingPeers.add(poll.vm)
  if (reply.ageMs !== null) state.completeAsOfMs = Math.max(state.completeAsOfMs, poll.sentAtMs - reply.ageMs)
}

function handleFullPage (state: ConfigurationState, poll: Poll, reply: ReplyMessage, nowMs: number): ConfigurationEffect[] {
  const { load } = state
  if (load === null || load.vm !== poll.vm || load.cursor !== poll.since) return []
  const changes = mergeObjects(state.objectSet, reply.objects)
  for (const o of reply.objects) load.listedKeys.add(formatKey(o))
  load.cursor = reply.to
  if (!reply.isLast) return [...forwardListedChanges(state, reply.to, changes), sendPoll(state, poll.vm, nowMs)]
  changes.push(...deleteUnlistedObjects(state.objectSet, load.listedKeys, reply.to))
  recordFullListing(state.objectSet, reply.to)
  state.needsFullListing = false
  state.load = null
  recordConfirmation(state, poll, reply)
  return forwardListedChanges(state, reply.to, changes)
}

/**
 * Applies and forwards objects found by a full listing.
 *
 * A listing does not show deletions of objects that this VM never had. The objects are therefore forwarded with
 * an empty revision range, which does not make the receivers complete up to `revision`.
 */
export function forwardListedChanges (state: ConfigurationState, revision: number, changes: StoredObject[]): ConfigurationEffect[] {
  return state.isReady ? forwardChanges(state, { from: revision, to: revision, objects: changes }, changes) : publishChanges(changes)
}

/**
 * Makes the VM ready with the configuration of its peers, without the object service, once the service has
 * had `START_FROM_PEERS_DELAY_MS` to respond and enough peers have confirmed that they have nothing newer.
 */
export function decideStartFromPeers (state: ConfigurationState, nowMs: number): ConfigurationEffect[] {
  state.startedAtMs ??= nowMs
  if (state.isReady || state.needsFullListing || nowMs - state.startedAtMs < START_FROM_PEERS_DELAY_MS) return []
  const fleetSize = Math.max(state.fleetSize, state.members.length)
  const requiredConfirmations = Math.min(MAX_REQUIRED_CONFIRMATIONS, Math.max(1, Math.floor(fleetSize / 2)))
  if (state.confirmingPeers.size < requiredConfirmations) return []
  state.isReady = true
  return [{ type: 'log', message: 'configuration complete from peers', fields: { revision: state.objectSet.revision, peers: [...state.confirmingPeers] } }]
}

function handlePush (state: ConfigurationState, from: string, push: Delta, nowMs: number): ConfigurationEffect[] {
  if (!state.isReady) return []
  const changes = applyDelta(state.objectSet, push)
  const effects = forwardChanges(state, push, changes)
  if (push.from > state.objectSet.revision && !isPolling(state, from)) effects.push(sendPoll(state, from, nowMs))
  return effects
}

/**
 * Applies changes and forwards their delta to random peers.
 *
 * For a delta larger than a page, only its revision is announced; the receivers poll for the objects.
 */
export function forwardChanges (state: ConfigurationState, delta: Delta, changes: StoredObject[]): ConfigurationEffect[] {
  if (changes.length === 0) return []
  const bytes = delta.objects.reduce((sum, o) => sum + estimateBytes(o), 0)
  const { from, to, objects } = bytes > MAX_PAGE_BYTES ? { from: delta.to, to: delta.to, objects: [] } : delta
  const sends = pickPeers(state, PUSH_FANOUT).map((vm): ConfigurationEffect => ({ type: 'send', to: vm, body: { type: 'push', from, to, objects } }))
  return [...publishChanges(changes), ...sends]
}

function publishChanges (changes: StoredObject[]): ConfigurationEffect[] {
  return changes.length === 0 ? [] : [{ type: 'publish', objects: changes }]
}
