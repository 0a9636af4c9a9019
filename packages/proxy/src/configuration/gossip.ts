import type { StoredObject } from '@camphorpitch/wire'
import { computeAgeMs } from './currency.ts'
import type { ConfigurationPeerMessage, ReplyMessage } from './messages.ts'
import { applyDelta, deleteUnlistedObjects, estimateBytes, formatKey, mergeObjects, MAX_PAGE_BYTES, recordFullListing, selectPage, type Delta } from './object-set.ts'
import {
  FALLBACK_AGE_MS, MAX_REQUIRED_CONFIRMATIONS, PAGE_TIMEOUT_MS, START_FROM_PEERS_DELAY_MS, POLL_INTERVAL_MS, POLL_TIMEOUT_MS, PUSH_FANOUT, UNRESPONSIVE_PEER_SKIP_MS, STALE_POLL_INTERVAL_MS, TICK_INTERVAL_MS, POLLS_PER_WATCHER_POLL,
  type ConfigurationEffect, type ConfigurationState, type Poll
} from './state.ts'

/** Asks a random peer when it is time, every so often a watcher; a VM that is not ready asks more often. */
export function decidePoll (state: ConfigurationState, nowMs: number): ConfigurationEffect[] {
  removeExpiredPolls(state, nowMs)
  if (nowMs < state.nextPollAtMs) return []
  if (isListingFromPeer(state, nowMs)) return []
  state.nextPollAtMs = nowMs + computePollInterval(state, nowMs)
  const vms = new Set([pickPollTarget(state, nowMs)])
  // With losses or few open links, the only peer that has news may be among those held for silent.
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

/** Whether a full listing gets on; one whose next page is late is begun again with another peer. */
function isListingFromPeer (state: ConfigurationState, nowMs: number): boolean {
  const { load } = state
  if (!state.needsFullListing || load === null) return false
  if (nowMs - load.pageRequestedAtMs < PAGE_TIMEOUT_MS) return true
  state.skippedUntilMs.set(load.vm, nowMs + UNRESPONSIVE_PEER_SKIP_MS)
  state.load = null
  return false
}

/** Picks a random peer, every so often a watcher, that is not known to be silent; else any. */
function pickPollTarget (state: ConfigurationState, nowMs: number): string | undefined {
  const restrictedTo = state.nextPollId % POLLS_PER_WATCHER_POLL === 0 ? state.watchers : undefined
  const responsive = state.members.filter(m => (state.skippedUntilMs.get(m.vm) ?? 0) <= nowMs).map(m => m.vm)
  const preferred = new Set(restrictedTo === undefined ? responsive : responsive.filter(vm => restrictedTo.has(vm)))
  const [vm] = pickPeers(state, 1, preferred)
  return vm ?? pickPeers(state, 1)[0]
}

/** Picks distinct random members other than this VM, from all or from `among`. */
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

/** Handles a message of a peer. Answers to polls that are not open any more are ignored. */
export function handlePeerMessage (state: ConfigurationState, from: string, body: ConfigurationPeerMessage, nowMs: number): ConfigurationEffect[] {
  state.skippedUntilMs.delete(from)
  if (body.type === 'poll') return [...handlePoll(state, from, body, nowMs), ...pollNewerPeer(state, from, body.since, nowMs)]
  if (body.type === 'push') return handlePush(state, from, body, nowMs)
  const poll = state.polls.get(body.id)
  if (poll?.vm !== from) return []
  state.polls.delete(body.id)
  if (body.type === 'reply') return body.from === poll.since ? handleReply(state, poll, body, nowMs) : []
  // With recent proof, other sources bring what this peer cannot.
  if (!isStale(state, nowMs)) return []
  state.needsFullListing = true
  state.nextPollAtMs = nowMs
  return [
    { type: 'log', message: 'revision too old for a peer, listing anew', fields: { revision: state.objectSet.revision, peer: from } },
    ...decidePoll(state, nowMs)
  ]
}

/** A peer that asks with a later revision has news for a VM without recent proof. */
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

/** The peer's age counts from the sending of the poll, which is never later than its answer. */
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

/** Passes on what a full listing brought; it is no delta, since it shows no deletions of unknown objects. */
export function forwardListedChanges (state: ConfigurationState, revision: number, changes: StoredObject[]): ConfigurationEffect[] {
  return state.isReady ? forwardChanges(state, { from: revision, to: revision, objects: changes }, changes) : publishChanges(changes)
}

/** Peers suffice for a start once the object service had its time and enough of them hold nothing newer. */
export function decideStartFromPeers (state: ConfigurationState, nowMs: number): ConfigurationEffect[] {
  state.startedAtMs ??= nowMs
  if (state.isReady || state.needsFullListing || nowMs - state.startedAtMs < START_FROM_PEERS_DELAY_MS) return []
  const fleetSize = Math.max(state.fleetSize, state.members.length)
  const requiredConfirmations = Math.min(MAX_REQUIRED_CONFIRMATIONS, Math.max(1, Math.floor(fleetSize / 2)))
  if (state.confirmingPeers.size < requiredConfirmations) return []
  state.isReady = true
  return [{ type: 'log', message: 'configuration taken from peers', fields: { revision: state.objectSet.revision, peers: [...state.confirmingPeers] } }]
}

function handlePush (state: ConfigurationState, from: string, push: Delta, nowMs: number): ConfigurationEffect[] {
  if (!state.isReady) return []
  const changes = applyDelta(state.objectSet, push)
  const effects = forwardChanges(state, push, changes)
  if (push.from > state.objectSet.revision && !isPolling(state, from)) effects.push(sendPoll(state, from, nowMs))
  return effects
}

/** Puts news in force and passes the delta on to random peers; one that is too large is only announced. */
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
