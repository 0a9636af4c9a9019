import type { Step, Vm } from '@camphorpitch/wire'
import type { MembershipInput, MembershipMessage, MemberUpdate } from './messages.ts'
import { selectServingVms } from './placement.ts'
import { checkClaim, checkSuspicions, listRegularTargets, probeSuspect, retryProbes, ROUND_INTERVAL_MS, startProbe, startRound } from './probes.ts'
import { describeMember, pickMembers, readRing, type MemberRecord, type MembershipEffect, type MembershipState } from './state.ts'
import { compareViews, sendToContacts, sendView } from './sync.ts'
import { applyUpdate, dropSuspicion, listNews, recordNews, setLeaving, type Round } from './updates.ts'

/** Time between `tick` messages. */
export const TICK_INTERVAL_MS = 250
/** A tick so much later than due means that this process, not its peers, was held up. */
const PAUSE_THRESHOLD_MS = 500
/** Time after a pause in which messages that waited are read before anybody is suspected. */
const RECOVERY_MS = 2_000
/** Members that each tick passes news to. */
const GOSSIP_FANOUT = 3
/** Members that read the platform's list often on behalf of all. */
const POLLERS = 3
const POLL_INTERVAL_MS = 1_000
const IDLE_POLL_INTERVAL_MS = 60_000
/** A dead member that the platform has not listed for this long is forgotten. */
const ABSENCE_LIMIT_MS = 600_000

/**
 * Decides on one message of the membership slice.
 *
 * Failure detection follows SWIM (Das, Gupta and Motivala, 2002) and the local health awareness of
 * Lifeguard (Dadgar, Phillips and Currey, 2018). Each VM probes its next members on a hash ring, so
 * its cost and its links do not grow with the fleet.
 */
export function decideMembership (state: MembershipState, input: MembershipInput, nowMs: number): Step<MembershipState, MembershipEffect> {
  const round: Round = { state, nowMs, effects: [] }
  switch (input.type) {
    case 'tick':
      handleTick(round)
      break
    case 'received':
      handleMessage(round, input.from, input.body)
      break
    case 'listed':
      applyList(round, input.vms)
      break
    case 'linkLost':
      handleLinkLoss(round, input.vm)
      break
    case 'leave':
      handleLeave(round)
  }
  if (round.effects.some(e => e.type === 'changed')) round.effects.push({ type: 'publish' })
  return { state, effects: round.effects }
}

function handleTick (round: Round): void {
  const { state, nowMs } = round
  checkPause(round)
  state.lastTickMs = nowMs
  retryProbes(round)
  checkSuspicions(round)
  if (nowMs >= state.nextRoundMs) {
    state.nextRoundMs = nowMs + ROUND_INTERVAL_MS
    startRound(round)
    sendToContacts(round)
  }
  updatePoller(round)
  if (nowMs >= state.nextPollMs) schedulePoll(round)
  sendGossip(round)
}

/** After a pause of this process, silence says nothing about others. */
function checkPause ({ state, nowMs }: Round): void {
  if (state.lastTickMs === null) return
  const lateMs = nowMs - state.lastTickMs - TICK_INTERVAL_MS
  if (lateMs < PAUSE_THRESHOLD_MS) return
  state.distrustUntilMs = nowMs + RECOVERY_MS
  state.probes.clear()
  for (const vm of state.suspected) state.members.get(vm)!.suspectedAtMs += lateMs
}

/** Decides anew after a change of members whether this VM polls for all, and if so begins at once. */
function updatePoller ({ state, nowMs }: Round): void {
  const ring = readRing(state)
  if (state.pollerRing === ring) return
  state.pollerRing = ring
  const wasPoller = state.isPoller
  state.isPoller = selectServingVms('list-of-vms', [state.self, ...ring], { count: POLLERS }).includes(state.self.vm)
  if (state.isPoller && !wasPoller) state.nextPollMs = nowMs
}

function schedulePoll ({ state, nowMs, effects }: Round): void {
  const isOften = state.isPoller || !state.hasSynced
  state.nextPollMs = nowMs + (isOften ? POLL_INTERVAL_MS : IDLE_POLL_INTERVAL_MS)
  effects.push({ type: 'poll' })
}

function sendGossip (round: Round): void {
  const { state, effects } = round
  if (state.gossip.size === 0) return
  for (const to of pickMembers(state, readRing(state), GOSSIP_FANOUT, () => true)) {
    const updates = listNews(state, to.vm)
    if (updates.length > 0) effects.push({ type: 'send', to, body: { type: 'gossip', updates } })
  }
}

function handleMessage (round: Round, from: string, body: MembershipMessage): void {
  const { state } = round
  for (const update of body.updates) applyMemberUpdate(round, update)
  const sender = state.members.get(from)
  if (sender === undefined) return
  sender.heardAtMs = round.nowMs
  switch (body.type) {
    case 'ping':
      round.effects.push({ type: 'send', to: sender, body: { type: 'ack', sequence: body.sequence, updates: listNews(state, from) } })
      if (body.digest !== undefined) compareViews(round, sender, body.digest)
      break
    case 'ack':
      handleAck(round, sender, body.sequence)
      break
    case 'relay':
      forwardPing(round, sender, body.sequence, body.vm)
      break
    case 'sync':
      if (body.isLast) applyFirstView(state)
      if (body.wantsReply) sendView(round, sender, false)
  }
}

/** What a VM learns while it joins is news to itself only. */
function applyFirstView (state: MembershipState): void {
  if (state.hasSynced) return
  state.hasSynced = true
  state.gossip.clear()
  recordNews(state, state.self.vm)
}

function applyMemberUpdate (round: Round, update: MemberUpdate): void {
  const isNews = applyUpdate(round, update)
  const record = round.state.members.get(update.vm)
  if (record === undefined) return
  if (record.claimedAccusers.length > 0) checkClaim(round, record, update)
  else if (isNews && record.accusers.length > 0) probeSuspect(round, record)
}

function handleAck (round: Round, sender: MemberRecord, sequence: number): void {
  const { state, effects } = round
  const relay = state.relays.get(sequence)
  if (relay !== undefined) {
    state.relays.delete(sequence)
    const to = state.members.get(relay.requester)
    if (to !== undefined) effects.push({ type: 'send', to, body: { type: 'ack', sequence: relay.sequence, updates: listNews(state, to.vm) } })
    return
  }
  const probe = [...state.probes.values()].find(p => p.sequence === sequence)
  if (probe === undefined) return
  state.probes.delete(probe.vm)
  const target = state.members.get(probe.vm)
  if (target === undefined) return
  target.heardAtMs = round.nowMs
  target.claimedAccusers = []
  withdrawAccusation(round, target)
}

/** An ack ends this VM's own accusation; those of others end when the member refutes them. */
function withdrawAccusation (round: Round, target: MemberRecord): void {
  const { self } = round.state
  if (target.isDead || !target.accusers.includes(self.vm)) return
  target.accusers = target.accusers.filter(a => a !== self.vm)
  if (target.accusers.length === 0) dropSuspicion(round, target, 'answered')
}

function forwardPing (round: Round, requester: MemberRecord, sequence: number, vm: string): void {
  const { state, nowMs, effects } = round
  const to = state.members.get(vm)
  if (to === undefined) return
  state.sequence += 1
  state.relays.set(state.sequence, { requester: requester.vm, sequence, sentAtMs: nowMs })
  effects.push({ type: 'send', to, body: { type: 'ping', sequence: state.sequence, updates: listNews(state, vm) } })
}

/** Takes the platform's list as a hint: whom to contact, who leaves, who may be forgotten. */
function applyList (round: Round, vms: readonly Vm[]): void {
  const { state } = round
  const listed = new Map(vms.map(v => [v.vm, v]))
  state.contacts = vms.filter(v => v.vm !== state.self.vm && !state.members.has(v.vm) && v.state === 'live')
  for (const m of state.members.values()) {
    if (listed.get(m.vm)?.state === 'leaving' && !m.isLeaving) setLeaving(round, m, 'listed as leaving')
    if (m.isDead) checkAbsence(round, m, listed.has(m.vm))
  }
  applyListedState(round, listed.get(state.self.vm)?.state)
}

function checkAbsence ({ state, nowMs }: Round, record: MemberRecord, isListed: boolean): void {
  if (isListed) {
    record.absentSinceMs = null
    return
  }
  record.absentSinceMs ??= nowMs
  if (nowMs - record.absentSinceMs < ABSENCE_LIMIT_MS) return
  state.members.delete(record.vm)
  state.dead.delete(record.vm)
  state.gossip.delete(record.vm)
}

/** Follows what the platform says of this VM itself, unless it has announced its own leaving. */
function applyListedState (round: Round, listed: Vm['state'] | undefined): void {
  const { state } = round
  const { self } = state
  if (listed === 'leaving' && !self.isLeaving) {
    state.isListedLeaving = true
    publishState(round, true)
  } else if (listed === 'live' && state.isListedLeaving) {
    state.isListedLeaving = false
    publishState(round, false)
  }
}

function handleLeave (round: Round): void {
  round.state.isListedLeaving = false
  if (!round.state.self.isLeaving) publishState(round, true)
  sendGossip(round)
}

function publishState (round: Round, isLeaving: boolean): void {
  const { state, effects } = round
  state.self.isLeaving = isLeaving
  state.self.incarnation += 1
  recordNews(state, state.self.vm)
  effects.push({ type: 'changed', member: describeMember(state.self), reason: isLeaving ? 'leaving' : 'staying' })
}

/** Probes at once a member that would be probed anyway; idle links to others are lost without meaning. */
function handleLinkLoss (round: Round, vm: string): void {
  const record = round.state.members.get(vm)
  if (record !== undefined && listRegularTargets(round).includes(record)) startProbe(round, record, false)
}
