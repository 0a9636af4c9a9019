import type { Step, Vm } from '@camphorpitch/wire'
import type { MembershipInput, MembershipMessage, MemberUpdate } from './messages.ts'
import { selectServingVms } from './placement.ts'
import { verifyReportedDeath, checkSuspicions, listRegularTargets, probeSuspect, advanceProbes, ROUND_INTERVAL_MS, startProbe, startRound } from './probes.ts'
import { describeMember, pickMembers, readRing, type MemberRecord, type MembershipEffect, type MembershipState } from './state.ts'
import { compareViews, sendViewToUnknownVms, sendView } from './sync.ts'
import { applyUpdate, dropSuspicion, selectUpdatesFor, scheduleGossip, setLeaving, type DecisionContext } from './updates.ts'

/** Time between `tick` inputs. */
export const TICK_INTERVAL_MS = 250
/** A tick that is late by this much means that this process was paused, rather than that its peers were slow. */
const PAUSE_THRESHOLD_MS = 500
/** Time after a pause to read the messages that arrived meanwhile, before this VM suspects a member. */
const PAUSE_RECOVERY_MS = 2_000
/** Members to which each tick sends gossip. */
const GOSSIP_FANOUT = 3
/** Number of VMs that read the platform's list at the short interval on behalf of the fleet. */
const POLLER_COUNT = 3
const POLL_INTERVAL_MS = 1_000
/** Interval at which the other VMs read the platform's list. */
const BACKGROUND_POLL_INTERVAL_MS = 60_000
/** A dead member is removed once the platform has not listed it for this long. */
const UNLISTED_RETENTION_MS = 600_000

/**
 * Handles one input of the membership slice.
 *
 * Changes `state` in place and returns it with the effects to run. `nowMs` is monotonic.
 *
 * Failure detection follows SWIM (Das, Gupta and Motivala, 2002) and the local health awareness of
 * Lifeguard (Dadgar, Phillips and Currey, 2018). Each VM probes its successors on a hash ring, so the
 * work and the number of links per VM do not grow with the fleet.
 */
export function decideMembership (state: MembershipState, input: MembershipInput, nowMs: number): Step<MembershipState, MembershipEffect> {
  const context: DecisionContext = { state, nowMs, effects: [] }
  switch (input.type) {
    case 'tick':
      handleTick(context)
      break
    case 'received':
      handleMessage(context, input.from, input.body)
      break
    case 'listed':
      applyPlatformList(context, input.vms)
      break
    case 'linkLost':
      handleLinkLoss(context, input.vm)
      break
    case 'leave':
      handleLeave(context)
  }
  if (context.effects.some(e => e.type === 'changed')) context.effects.push({ type: 'publish' })
  return { state, effects: context.effects }
}

function handleTick (context: DecisionContext): void {
  const { state, nowMs } = context
  checkPause(context)
  state.lastTickAtMs = nowMs
  advanceProbes(context)
  checkSuspicions(context)
  if (nowMs >= state.nextRoundAtMs) {
    state.nextRoundAtMs = nowMs + ROUND_INTERVAL_MS
    startRound(context)
    sendViewToUnknownVms(context)
  }
  updatePollerRole(context)
  if (nowMs >= state.nextPollAtMs) schedulePoll(context)
  sendGossip(context)
}

/**
 * Detects by a late tick that this process was paused. Missing acks then say nothing about other members, so
 * probes in flight are discarded and suspicions extended by the delay.
 */
function checkPause ({ state, nowMs }: DecisionContext): void {
  if (state.lastTickAtMs === null) return
  const lateMs = nowMs - state.lastTickAtMs - TICK_INTERVAL_MS
  if (lateMs < PAUSE_THRESHOLD_MS) return
  state.pauseRecoveryEndsAtMs = nowMs + PAUSE_RECOVERY_MS
  state.probes.clear()
  for (const vm of state.suspected) state.members.get(vm)!.suspectedAtMs += lateMs
}

/**
 * Decides after a change of the ring whether this VM is one of the pollers. A VM that becomes one polls at once.
 *
 * All VMs hash the same name, so those with the same view agree on the pollers.
 */
function updatePollerRole ({ state, nowMs }: DecisionContext): void {
  const ring = readRing(state)
  if (state.pollerRing === ring) return
  state.pollerRing = ring
  const wasPoller = state.isPoller
  state.isPoller = selectServingVms('list-of-vms', [state.self, ...ring], { count: POLLER_COUNT }).includes(state.self.vm)
  if (state.isPoller && !wasPoller) state.nextPollAtMs = nowMs
}

function schedulePoll ({ state, nowMs, effects }: DecisionContext): void {
  const isFrequent = state.isPoller || !state.hasSynced
  state.nextPollAtMs = nowMs + (isFrequent ? POLL_INTERVAL_MS : BACKGROUND_POLL_INTERVAL_MS)
  effects.push({ type: 'poll' })
}

function sendGossip (context: DecisionContext): void {
  const { state, effects } = context
  if (state.gossip.size === 0) return
  for (const to of pickMembers(state, readRing(state), GOSSIP_FANOUT, () => true)) {
    const updates = selectUpdatesFor(state, to.vm)
    if (updates.length > 0) effects.push({ type: 'send', to, body: { type: 'gossip', updates } })
  }
}

function handleMessage (context: DecisionContext, from: string, body: MembershipMessage): void {
  const { state } = context
  for (const update of body.updates) handleUpdate(context, update)
  const sender = state.members.get(from)
  if (sender === undefined) return
  sender.lastContactAtMs = context.nowMs
  switch (body.type) {
    case 'ping':
      context.effects.push({ type: 'send', to: sender, body: { type: 'ack', sequence: body.sequence, updates: selectUpdatesFor(state, from) } })
      if (body.digest !== undefined) compareViews(context, sender, body.digest)
      break
    case 'ack':
      handleAck(context, sender, body.sequence)
      break
    case 'relay':
      forwardPing(context, sender, body.sequence, body.vm)
      break
    case 'sync':
      if (body.isLast) finishJoin(state)
      if (body.wantsReply) sendView(context, sender, false)
  }
}

/** Discards the gossip queued while joining, since the other members know it already; only this VM's record is new to them. */
function finishJoin (state: MembershipState): void {
  if (state.hasSynced) return
  state.hasSynced = true
  state.gossip.clear()
  scheduleGossip(state, state.self.vm)
}

function handleUpdate (context: DecisionContext, update: MemberUpdate): void {
  const isNews = applyUpdate(context, update)
  const record = context.state.members.get(update.vm)
  if (record === undefined) return
  if (record.reportedAccusers.length > 0) verifyReportedDeath(context, record, update)
  else if (isNews && record.accusers.length > 0) probeSuspect(context, record)
}

function handleAck (context: DecisionContext, sender: MemberRecord, sequence: number): void {
  const { state, effects } = context
  const relay = state.relays.get(sequence)
  if (relay !== undefined) {
    state.relays.delete(sequence)
    const to = state.members.get(relay.requester)
    if (to !== undefined) effects.push({ type: 'send', to, body: { type: 'ack', sequence: relay.sequence, updates: selectUpdatesFor(state, to.vm) } })
    return
  }
  const probe = [...state.probes.values()].find(p => p.sequence === sequence)
  if (probe === undefined) return
  state.probes.delete(probe.vm)
  const target = state.members.get(probe.vm)
  if (target === undefined) return
  target.lastContactAtMs = context.nowMs
  target.reportedAccusers = []
  withdrawAccusation(context, target)
}

/** Withdraws this VM's accusation after an ack; those of others end when the member refutes them. */
function withdrawAccusation (context: DecisionContext, target: MemberRecord): void {
  const { self } = context.state
  if (target.isDead || !target.accusers.includes(self.vm)) return
  target.accusers = target.accusers.filter(a => a !== self.vm)
  if (target.accusers.length === 0) dropSuspicion(context, target, 'probe acknowledged')
}

function forwardPing (context: DecisionContext, requester: MemberRecord, sequence: number, vm: string): void {
  const { state, nowMs, effects } = context
  const to = state.members.get(vm)
  if (to === undefined) return
  state.sequence += 1
  state.relays.set(state.sequence, { requester: requester.vm, sequence, sentAtMs: nowMs })
  effects.push({ type: 'send', to, body: { type: 'ping', sequence: state.sequence, updates: selectUpdatesFor(state, vm) } })
}

/** Uses the platform's list, which may be out of date, only for VMs to contact, members that leave and dead members to remove. */
function applyPlatformList (context: DecisionContext, vms: readonly Vm[]): void {
  const { state } = context
  const listedVms = new Map(vms.map(v => [v.vm, v]))
  state.unknownListedVms = vms.filter(v => v.vm !== state.self.vm && !state.members.has(v.vm) && v.state === 'live')
  for (const member of state.members.values()) {
    if (listedVms.get(member.vm)?.state === 'leaving' && !member.isLeaving) setLeaving(context, member, 'listed as leaving')
    if (member.isDead) expireUnlistedMember(context, member, listedVms.has(member.vm))
  }
  applyListedStateOfSelf(context, listedVms.get(state.self.vm)?.state)
}

/** Removes a dead member that the platform has not listed for `UNLISTED_RETENTION_MS`. */
function expireUnlistedMember ({ state, nowMs }: DecisionContext, record: MemberRecord, isListed: boolean): void {
  if (isListed) {
    record.unlistedSinceMs = null
    return
  }
  record.unlistedSinceMs ??= nowMs
  if (nowMs - record.unlistedSinceMs < UNLISTED_RETENTION_MS) return
  state.members.delete(record.vm)
  state.dead.delete(record.vm)
  state.gossip.delete(record.vm)
}

/** Applies the platform's state for this VM, unless this VM has announced by itself that it leaves. */
function applyListedStateOfSelf (context: DecisionContext, listedState: Vm['state'] | undefined): void {
  const { state } = context
  const { self } = state
  if (listedState === 'leaving' && !self.isLeaving) {
    state.isListedAsLeaving = true
    publishLeavingState(context, true)
  } else if (listedState === 'live' && state.isListedAsLeaving) {
    state.isListedAsLeaving = false
    publishLeavingState(context, false)
  }
}

function handleLeave (context: DecisionContext): void {
  context.state.isListedAsLeaving = false
  if (!context.state.self.isLeaving) publishLeavingState(context, true)
  sendGossip(context)
}

function publishLeavingState (context: DecisionContext, isLeaving: boolean): void {
  const { state, effects } = context
  state.self.isLeaving = isLeaving
  state.self.incarnation += 1
  scheduleGossip(state, state.self.vm)
  effects.push({ type: 'changed', member: describeMember(state.self), reason: isLeaving ? 'leaving' : 'no longer listed as leaving' })
}

/** Probes a member at once if this VM probes it in each round; links to other members may also close because they are idle. */
function handleLinkLoss (context: DecisionContext, vm: string): void {
  const record = context.state.members.get(vm)
  if (record !== undefined && listRegularTargets(context).includes(record)) startProbe(context, record, false)
}
