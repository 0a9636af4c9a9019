import type { MemberUpdate } from './messages.ts'
import { isPredecessor, listSuccessors } from './ring.ts'
import { pickMembers, readRing, type MemberRecord, type Probe } from './state.ts'
import { computeDigest } from './sync.ts'
import { addAccusers, confirmDeath, dropSuspicion, selectUpdatesFor, scheduleGossip, type DecisionContext } from './updates.ts'

/** Time between the starts of probe rounds. */
export const ROUND_INTERVAL_MS = 1_000
/** A probe without an ack has failed after this time. */
export const PROBE_TIMEOUT_MS = 1_250
/** Time between attempts of one probe. */
const ATTEMPT_INTERVAL_MS = 250
/** Attempts of a probe before other members are requested to relay it. */
const DIRECT_ATTEMPTS = 2
/** Members that are requested to relay each later attempt. */
const RELAY_COUNT = 3
/** Number of successors on the ring that a VM probes in each round. */
export const PROBED_SUCCESSORS = 2
/** Number of predecessors of a suspected member on the ring that probe it when they learn of the suspicion. */
const CONFIRMER_COUNT = 4
/** Accusers required to confirm a death, if that many members are not suspected themselves. */
export const REQUIRED_CONFIRMATIONS = 3
/** Minimum duration of a suspicion for each power of ten of the fleet's size, so that the member has time to refute it. */
const MIN_SUSPICION_PER_DECADE_MS = 1_500
/** A suspicion that is not confirmed within this time ends, or continues with only this VM's accusation. */
const MAX_UNCONFIRMED_SUSPICION_MS = 20_000
/** Number of rounds between probes of a random member with a digest. */
const RANDOM_PROBE_INTERVAL_ROUNDS = 5
/** Probes beyond this limit are not started. */
const MAX_PROBES_IN_FLIGHT = 16

/**
 * Starts the probes of one round, and pings one dead member: if it is running, the ping tells it of its
 * reported death, which it refutes.
 */
export function startRound (context: DecisionContext): void {
  const { state } = context
  state.roundCount += 1
  for (const m of listRegularTargets(context)) startProbe(context, m, false)
  probeReportedDead(context)
  for (const vm of state.suspected) probeSuspect(context, state.members.get(vm)!)
  const deadMembers = [...state.dead].map(vm => state.members.get(vm)!)
  const [deadMember] = pickMembers(state, deadMembers, 1, () => true)
  if (deadMember !== undefined) sendPing(context, deadMember, state.sequence += 1, true)
  if (state.roundCount % RANDOM_PROBE_INTERVAL_ROUNDS !== 0) return
  const [randomMember] = pickMembers(state, readRing(state), 1, () => true)
  if (randomMember !== undefined) startProbe(context, randomMember, true)
}

/** Probes members that others report dead, as many as `MAX_PROBES_IN_FLIGHT` allows. */
function probeReportedDead (context: DecisionContext): void {
  const { state } = context
  for (const vm of state.reportedDead) {
    const record = state.members.get(vm)
    if (record === undefined || record.reportedAccusers.length === 0) state.reportedDead.delete(vm)
    else startProbe(context, record, false)
  }
}

/** Lists the next members on the ring that are not suspected, and the members that this VM accuses itself. */
export function listRegularTargets ({ state }: DecisionContext): MemberRecord[] {
  const successors = listSuccessors(readRing(state), state.self.hash, PROBED_SUCCESSORS, m => m.accusers.length === 0)
  const suspectedHere = [...state.suspected]
    .map(vm => state.members.get(vm)!)
    .filter(m => m.accusers.includes(state.self.vm))
  return [...successors, ...suspectedHere]
}

/** Starts a probe of `target`, unless one is in flight or there are `MAX_PROBES_IN_FLIGHT`. */
export function startProbe (context: DecisionContext, target: MemberRecord, hasDigest: boolean): void {
  const { state, nowMs } = context
  if (state.probes.has(target.vm) || state.probes.size >= MAX_PROBES_IN_FLIGHT) return
  const probe: Probe = { vm: target.vm, sequence: state.sequence += 1, startedAtMs: nowMs, attempts: 0, hasDigest }
  state.probes.set(target.vm, probe)
  sendProbeAttempt(context, probe, target)
}

function sendProbeAttempt (context: DecisionContext, probe: Probe, target: MemberRecord): void {
  const { state } = context
  probe.attempts += 1
  sendPing(context, target, probe.sequence, probe.hasDigest)
  if (probe.attempts <= DIRECT_ATTEMPTS) return
  const relayMembers = pickMembers(state, readRing(state), RELAY_COUNT, m => m !== target && m.accusers.length === 0)
  for (const to of relayMembers) {
    context.effects.push({ type: 'send', to, body: { type: 'relay', sequence: probe.sequence, vm: target.vm, updates: selectUpdatesFor(state, to.vm) } })
  }
}

function sendPing (context: DecisionContext, to: MemberRecord, sequence: number, hasDigest: boolean): void {
  const { state, effects } = context
  const digest = hasDigest ? { digest: computeDigest(state) } : {}
  effects.push({ type: 'send', to, body: { type: 'ping', sequence, updates: selectUpdatesFor(state, to.vm), ...digest } })
}

/** Retries the probes in flight that are due, ends those that timed out, and removes expired relays. */
export function advanceProbes (context: DecisionContext): void {
  const { state, nowMs } = context
  for (const probe of [...state.probes.values()]) {
    const target = state.members.get(probe.vm)
    const ageMs = nowMs - probe.startedAtMs
    if (target === undefined) state.probes.delete(probe.vm)
    else if (ageMs >= PROBE_TIMEOUT_MS) handleProbeFailure(context, target)
    else if (ageMs >= probe.attempts * ATTEMPT_INTERVAL_MS) sendProbeAttempt(context, probe, target)
  }
  for (const [sequence, relay] of state.relays) {
    if (nowMs - relay.sentAtMs > PROBE_TIMEOUT_MS) state.relays.delete(sequence)
  }
}

/** Accuses the member, and notifies it and the members that can confirm the failure at once. */
function handleProbeFailure (context: DecisionContext, target: MemberRecord): void {
  const { state, nowMs, effects } = context
  state.probes.delete(target.vm)
  if (nowMs < state.pauseRecoveryEndsAtMs) return
  const { reportedAccusers } = target
  target.reportedAccusers = []
  if (!addAccusers(context, target, [state.self.vm, ...reportedAccusers])) return
  const confirmers = readRing(state).filter(m => isConfirmer(context, m, target))
  for (const to of [target, ...confirmers]) {
    effects.push({ type: 'send', to, body: { type: 'gossip', updates: selectUpdatesFor(state, to.vm) } })
  }
  scheduleGossip(state, target.vm)
}

/** Whether `member` is one of the unsuspected predecessors of `target` that probe it to confirm a suspicion. */
function isConfirmer ({ state }: DecisionContext, member: MemberRecord, target: MemberRecord): boolean {
  if (member === target || member.accusers.length > 0) return false
  return isPredecessor(readRing(state), member.hash, target, CONFIRMER_COUNT, m => m.accusers.length === 0)
}

/** Probes a member that others suspect, if this VM is one of its confirmers. */
export function probeSuspect (context: DecisionContext, target: MemberRecord): void {
  if (target.isDead || target.accusers.includes(context.state.self.vm)) return
  if (isConfirmer(context, context.state.self, target)) startProbe(context, target, false)
}

/** Probes a member that others report dead, and sends it the report, which it refutes if it is running. */
export function verifyReportedDeath (context: DecisionContext, target: MemberRecord, deathReport: MemberUpdate): void {
  const { state, effects } = context
  if (!deathReport.isDead || state.probes.has(target.vm) || state.probes.size >= MAX_PROBES_IN_FLIGHT) return
  effects.push({ type: 'send', to: target, body: { type: 'gossip', updates: [deathReport] } })
  startProbe(context, target, false)
}

/**
 * Ends suspicions whose time is over. A member is confirmed dead when it has enough accusers and has not
 * contacted this VM during the minimum suspicion.
 */
export function checkSuspicions (context: DecisionContext): void {
  const { state, nowMs } = context
  if (state.suspected.size === 0 || nowMs < state.pauseRecoveryEndsAtMs) return
  const minSuspicionMs = computeMinSuspicionMs(state.members.size + 1)
  const requiredConfirmations = countRequiredConfirmations(context)
  for (const vm of [...state.suspected]) {
    const member = state.members.get(vm)!
    const ageMs = nowMs - member.suspectedAtMs
    if (ageMs < minSuspicionMs) continue
    if (member.accusers.length >= requiredConfirmations && nowMs - member.lastContactAtMs >= minSuspicionMs) confirmDeath(context, member)
    else if (ageMs >= MAX_UNCONFIRMED_SUSPICION_MS) resetSuspicion(context, member)
  }
}

/**
 * Ends a suspicion that is not confirmed in time. If this VM accuses the member itself, the suspicion continues
 * with only that accusation, until the next ack.
 */
function resetSuspicion (context: DecisionContext, record: MemberRecord): void {
  const { state, nowMs } = context
  if (!record.accusers.includes(state.self.vm)) {
    dropSuspicion(context, record, 'suspicion not confirmed')
    return
  }
  record.accusers = [state.self.vm]
  record.suspectedAtMs = nowMs
}

/**
 * Shortest time from suspicion to confirmed death. It grows with the logarithm of the fleet's size.
 *
 * @example computeMinSuspicionMs(100) // 3000
 */
export function computeMinSuspicionMs (fleetSize: number): number {
  return MIN_SUSPICION_PER_DECADE_MS * Math.max(1, Math.log10(fleetSize))
}

/** Counts `REQUIRED_CONFIRMATIONS`, or all unsuspected members including this VM if there are fewer. */
function countRequiredConfirmations ({ state }: DecisionContext): number {
  const unsuspectedCount = 1 + readRing(state).length - state.suspected.size
  return Math.min(REQUIRED_CONFIRMATIONS, unsuspectedCount)
}
