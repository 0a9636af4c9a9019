import { MAX_ACCUSERS, MAX_UPDATES, type MemberUpdate } from './messages.ts'
import { createMemberRecord, describeMember, readMemberState, type MemberRecord, type MembershipEffect, type MembershipState } from './state.ts'

/** Number of times that each VM gossips an update, for each doubling of the fleet. */
const GOSSIP_SENDS_PER_DOUBLING = 3

/** The state, the time and the collected effects of one membership decision. */
export interface DecisionContext {
  state: MembershipState
  nowMs: number
  effects: MembershipEffect[]
}

/**
 * Applies an update to this VM's view.
 *
 * As in SWIM (Das, Gupta and Motivala, 2002), the higher incarnation wins, and only the member
 * itself raises it. Unlike in SWIM, VMs do not accept a death on another VM's word: they exchange
 * accusations, and each VM waits for the suspicion to time out locally. A VM verifies a reported death
 * by a probe of its own, so that a group that reconnects after a partition cannot make the other VMs
 * confirm each other dead.
 *
 * @returns whether the update was news; an unverified report of a death is not
 */
export function applyUpdate (context: DecisionContext, update: MemberUpdate): boolean {
  const { state } = context
  if (update.vm === state.self.vm) return applyUpdateOfSelf(context, update)
  const record = state.members.get(update.vm)
  if (record === undefined) return addMember(context, update)
  if (update.incarnation < record.incarnation) return false
  if (update.incarnation > record.incarnation) {
    replaceIncarnation(context, record, update)
    return true
  }
  const isNewlyLeaving = update.isLeaving && !record.isLeaving
  if (isNewlyLeaving) setLeaving(context, record, 'leaving announced')
  if (update.isDead && !record.isDead && record.accusers.length === 0) {
    record.reportedAccusers = update.accusers
    state.reportedDead.add(record.vm)
    return isNewlyLeaving
  }
  return addAccusers(context, record, update.accusers) || isNewlyLeaving
}

/** Refutes a wrong report about this VM by raising its incarnation above the reported one. */
function applyUpdateOfSelf (context: DecisionContext, update: MemberUpdate): boolean {
  const { self } = context.state
  if (update.incarnation < self.incarnation) return false
  if (update.incarnation === self.incarnation && update.isLeaving && !self.isLeaving) adoptReportedLeaving(context)
  const isAccurate = update.incarnation === self.incarnation && update.accusers.length === 0 && update.isLeaving === self.isLeaving
  if (isAccurate) return false
  self.incarnation = update.incarnation + 1
  scheduleGossip(context.state, self.vm)
  context.effects.push({ type: 'changed', member: describeMember(self), reason: 'false report refuted' })
  return true
}

/**
 * Marks this VM as leaving because others report it so from the platform's list. It reads the list at
 * the next tick, which confirms or ends that.
 */
function adoptReportedLeaving ({ state, effects }: DecisionContext): void {
  state.isListedAsLeaving = true
  state.self.isLeaving = true
  state.nextPollAtMs = 0
  scheduleGossip(state, state.self.vm)
  effects.push({ type: 'changed', member: describeMember(state.self), reason: 'listed as leaving' })
}

function addMember (context: DecisionContext, update: MemberUpdate): boolean {
  if (update.isDead) return false
  const { state, nowMs } = context
  const record = createMemberRecord(update, nowMs)
  record.isLeaving = update.isLeaving
  state.members.set(record.vm, record)
  state.ring = null
  state.unknownListedVms = state.unknownListedVms.filter(c => c.vm !== record.vm)
  scheduleGossip(state, record.vm)
  addAccusers(context, record, update.accusers)
  context.effects.push({ type: 'changed', member: describeMember(record), reason: 'joined' })
  return true
}

function replaceIncarnation (context: DecisionContext, record: MemberRecord, update: MemberUpdate): void {
  const { state } = context
  const previousState = readMemberState(record)
  record.host = update.host
  record.peerPort = update.peerPort
  record.failureDomain = update.failureDomain
  record.region = update.region
  record.incarnation = update.incarnation
  record.processIncarnation = update.processIncarnation
  record.isLeaving = update.isLeaving
  record.accusers = []
  record.reportedAccusers = []
  record.unlistedSinceMs = null
  state.suspected.delete(record.vm)
  if (record.isDead) {
    record.isDead = false
    state.dead.delete(record.vm)
    state.ring = null
  }
  scheduleGossip(state, record.vm)
  addAccusers(context, record, update.accusers)
  context.effects.push({ type: 'changed', member: describeMember(record), reason: `new incarnation, previously ${previousState}` })
}

/**
 * Adds accusations against the record's current incarnation, up to `MAX_ACCUSERS`.
 *
 * @returns whether any accuser was new
 */
export function addAccusers (context: DecisionContext, record: MemberRecord, accusers: readonly string[]): boolean {
  const { state, nowMs } = context
  const newAccusers = accusers.filter(a => !record.accusers.includes(a)).slice(0, MAX_ACCUSERS - record.accusers.length)
  if (newAccusers.length === 0) return false
  const wasSuspected = record.accusers.length > 0
  record.accusers = [...record.accusers, ...newAccusers]
  scheduleGossip(state, record.vm)
  if (wasSuspected) return true
  record.suspectedAtMs = nowMs
  state.suspected.add(record.vm)
  context.effects.push({ type: 'changed', member: describeMember(record), reason: `suspected by ${newAccusers[0]}` })
  return true
}

/** Ends a suspicion that the member has not refuted by a higher incarnation. */
export function dropSuspicion (context: DecisionContext, record: MemberRecord, reason: string): void {
  record.accusers = []
  context.state.suspected.delete(record.vm)
  context.effects.push({ type: 'changed', member: describeMember(record), reason })
}

export function setLeaving (context: DecisionContext, record: MemberRecord, reason: string): void {
  record.isLeaving = true
  scheduleGossip(context.state, record.vm)
  context.effects.push({ type: 'changed', member: describeMember(record), reason })
}

export function confirmDeath (context: DecisionContext, record: MemberRecord): void {
  const { state } = context
  record.isDead = true
  state.suspected.delete(record.vm)
  state.dead.add(record.vm)
  state.ring = null
  state.probes.delete(record.vm)
  scheduleGossip(state, record.vm)
  context.effects.push({ type: 'changed', member: describeMember(record), reason: `death confirmed by ${record.accusers.join(', ')}` })
}

/** Queues what this VM knows of `vm` for gossip. The number of sends grows with the logarithm of the fleet's size. */
export function scheduleGossip (state: MembershipState, vm: string): void {
  const doublings = Math.ceil(Math.log2(state.members.size + 2))
  state.gossip.set(vm, GOSSIP_SENDS_PER_DOUBLING * doublings)
}

export function createUpdate (record: MemberRecord): MemberUpdate {
  const { vm, host, peerPort, failureDomain, region, incarnation, processIncarnation, isLeaving, accusers, isDead } = record
  return { vm, host, peerPort, failureDomain, region, incarnation, processIncarnation, isLeaving, accusers, isDead }
}

/**
 * Selects the updates for one message and counts them as sent: those with the most remaining sends,
 * after an update about the receiver itself if it is suspected, dead or leaving, so that it can refute it.
 */
export function selectUpdatesFor (state: MembershipState, receiver: string): MemberUpdate[] {
  const updates = state.gossip.size > 0 ? selectPendingUpdates(state, receiver) : []
  const receiverRecord = state.members.get(receiver)
  if (receiverRecord === undefined || (receiverRecord.accusers.length === 0 && !receiverRecord.isLeaving)) return updates
  return [createUpdate(receiverRecord), ...updates]
}

function selectPendingUpdates (state: MembershipState, receiver: string): MemberUpdate[] {
  const vms = [...state.gossip]
    .sort((a, b) => b[1] - a[1])
    .map(([vm]) => vm)
    .filter(vm => vm !== receiver)
    .slice(0, MAX_UPDATES - 1)
  for (const vm of vms) recordGossipSend(state, vm)
  return vms.flatMap(vm => findRecord(state, vm) ?? []).map(createUpdate)
}

function recordGossipSend (state: MembershipState, vm: string): void {
  const remainingSends = (state.gossip.get(vm) ?? 0) - 1
  if (remainingSends > 0) state.gossip.set(vm, remainingSends)
  else state.gossip.delete(vm)
}

function findRecord (state: MembershipState, vm: string): MemberRecord | undefined {
  return vm === state.self.vm ? state.self : state.members.get(vm)
}
