import { hashName, type LimitOwners } from '@camphorpitch/wire'
import { listPlaceable, type Member } from '../membership/membership-view.ts'
import type { LimitEffect } from './effects.ts'
import type { VersionedOwners } from './messages.ts'
import { stopCounting } from './ownership.ts'
import { noOwners, type OwnershipState } from './ownership-state.ts'
import { computeTargets, listByRendezvous, MAX_WITNESSES, parseShareIndex, pickWitnesses } from './shares.ts'

/** A VM that has been missed this long loses its shares. */
const MISSED_MS = 2_000
/** A VM that has just started does not yet know its peers; the first owners are not chosen before all are likely to be known. */
const SETTLE_MS = 1_000
/** The first owners wait for so long for VMs on the platform's list that have not joined: a single witness may be lost for good. */
const FIRST_WAIT_MS = 5_000
/** The same for a VM that knows no other, as the list lags. */
const LONE_WAIT_MS = 3_000
/** The next VM in line writes this much later, so that mostly one does. */
const RANK_DELAY_MS = 400
/** Shares move to new members only after no member has come or gone for this long. */
const REBALANCE_DELAY_MS = 15_000
/** A VM that has itself just started waits less: the whole fleet may be new, with one owner of everything. */
const YOUNG_MS = 60_000
const YOUNG_REBALANCE_DELAY_MS = 2_000
/** Time between two batches of shares that one VM hands over while it goes on running. */
const HANDOVER_INTERVAL_MS = 2_000
const WRITE_RETRY_MS = 1_000
const CONFLICT_SPREAD_MS = 200

export type WriteResult = { outcome: 'written', owners: VersionedOwners } | { outcome: 'conflict' | 'unknown' | 'failed' }

/** What the owners object lacks. */
interface Work {
  /** The object does not exist. */
  isFirst: boolean
  /** Shares that this VM has stopped counting for good. */
  releasable: string[]
  /** Shares of VMs that are gone. */
  lost: string[]
  hasWitnessChange: boolean
}

/** Takes in the members and notes who is missed. */
export function handleMembers (state: OwnershipState, members: Member[], nowMs: number): void {
  const before = formatPlaceable(state.members)
  state.members = members
  if (formatPlaceable(members) !== before) {
    state.membersChangedAtMs = nowMs
    state.isBalanced = false
  }
  recordCandidates(state)
  recordMissed(state, nowMs)
}

function recordCandidates (state: OwnershipState): void {
  state.candidates = listPlaceable(state.members).filter(m => !(state.isStopping && m.vm === state.self.vm))
}

function formatPlaceable (members: readonly Member[]): string {
  return listPlaceable(members).map(m => m.vm).sort().join()
}

/** Notes since when VMs that own or witness something have been missed. */
export function recordMissed (state: OwnershipState, nowMs: number): void {
  const needed = new Set([...state.ownerVms, ...state.owners?.value.witnesses ?? []])
  const present = new Set(state.members.filter(m => m.state !== 'dead').map(m => m.vm))
  present.add(state.self.vm)
  for (const vm of state.missedSince.keys()) if (!needed.has(vm) || present.has(vm)) state.missedSince.delete(vm)
  for (const vm of needed) if (!present.has(vm) && !state.missedSince.has(vm)) state.missedSince.set(vm, nowMs)
}

/** Writes a new version of the owners object when one is wanted, allowed and this VM's turn. */
export function planAssignment (state: OwnershipState, nowMs: number): LimitEffect[] {
  const { owners } = state
  if (owners === null || state.needsRead || state.isWriting || state.candidates.length === 0) return []
  if (state.isStopping) for (const h of state.held.values()) stopCounting(h, nowMs)
  else startRebalancing(state, nowMs)
  const work = findWork(state, nowMs)
  if (work === null) {
    state.wantedSinceMs = null
    state.wantsWrite = false
    return []
  }
  state.wantedSinceMs ??= nowMs
  state.wantsWrite = nowMs >= computeWriteMs(state, work)
  if (!state.wantsWrite || (owners.version > 0 && state.sealedVersion < owners.version)) return []
  state.isWriting = true
  const value = createAssignment(state, owners.value, work)
  const fields = { baseVersion: owners.version, released: work.releasable.length, lost: work.lost.length, witnesses: value.witnesses }
  return [{ type: 'log', message: 'limit owners reassigned', fields }, { type: 'write-owners', version: owners.version, value }]
}

function findWork (state: OwnershipState, nowMs: number): Work | null {
  const value = state.owners?.value ?? noOwners
  const isFirst = state.owners?.version === 0
  const releasable = listReleasable(state, nowMs)
  const lostVms = [...state.missedSince.keys()].filter(vm => isLost(state, vm, nowMs))
  const lost = lostVms.length === 0 ? [] : Object.keys(value.shares).filter(name => lostVms.includes(value.shares[name]!.vm))
  const hasWitnessChange = value.witnesses.some(vm => lostVms.includes(vm)) || nowMs >= computeWitnessMs(state)
  return isFirst || releasable.length > 0 || lost.length > 0 || hasWitnessChange ? { isFirst, releasable, lost, hasWitnessChange } : null
}

/** Shares that this VM has stopped counting and whose tokens have all ended. */
function listReleasable (state: OwnershipState, nowMs: number): string[] {
  const names: string[] = []
  for (const [name, { handover }] of state.held) if (handover !== null && handover.untilMs <= nowMs) names.push(name)
  return names
}

function isLost (state: OwnershipState, vm: string, nowMs: number): boolean {
  return nowMs - (state.missedSince.get(vm) ?? Infinity) >= MISSED_MS
}

/** When there are witnesses to add, or this VM must leave them; infinite while there are enough. */
function computeWitnessMs (state: OwnershipState): number {
  const { witnesses } = state.owners?.value ?? noOwners
  if (state.isStopping && witnesses.includes(state.self.vm)) return -Infinity
  const wanted = Math.min(MAX_WITNESSES, state.candidates.length)
  return witnesses.length < wanted ? state.membersChangedAtMs + computeSettleMs(state) : Infinity
}

/** Handing over needs no turn; the rest is done by the first VM in line, then by the next. */
function computeWriteMs (state: OwnershipState, work: Work): number {
  if (work.releasable.length > 0) return state.retryAtMs
  const line = listByRendezvous('assigner', state.candidates)
  const rank = line.findIndex(m => m.vm === state.self.vm)
  const turnMs = (rank < 0 ? line.length : rank) * RANK_DELAY_MS
  const settledMs = (work.isFirst ? state.membersChangedAtMs : state.startedAtMs) + SETTLE_MS
  const joinedMs = work.isFirst ? state.startedAtMs + computeJoinWaitMs(state) : -Infinity
  return Math.max(state.retryAtMs, settledMs, joinedMs, (state.wantedSinceMs ?? 0) + turnMs)
}

/** How long after its start a VM waits for others before it chooses the first owners. */
function computeJoinWaitMs ({ listed, members }: OwnershipState): number {
  const joined = new Set(members.map(m => m.vm))
  const isMissing = listed === null || [...listed].some(vm => !joined.has(vm))
  if (isMissing) return FIRST_WAIT_MS
  return joined.size <= 1 ? LONE_WAIT_MS : 0
}

function createAssignment (state: OwnershipState, before: LimitOwners, work: Work): LimitOwners {
  const { candidates } = state
  const targets = computeTargets(candidates)
  const shares = { ...before.shares }
  for (const name of work.isFirst ? targets.keys() : [...work.releasable, ...work.lost]) {
    const { vm, incarnation } = targets.get(name)!
    const released = work.isFirst || state.held.get(name)?.handover?.wasReady === true
    shares[name] = { vm, incarnation, epoch: (before.shares[name]?.epoch ?? 0) + 1, released }
  }
  const witnesses = work.isFirst || work.hasWitnessChange ? pickWitnesses(before.witnesses, candidates) : before.witnesses
  return { shares, witnesses, previousWitnesses: before.witnesses }
}

/** Stops counting shares that another member should own; of each workspace at most one at a time. */
function startRebalancing (state: OwnershipState, nowMs: number): void {
  if (nowMs < computeRebalanceMs(state)) return
  state.rebalancedAtMs = nowMs
  const targets = computeTargets(state.candidates)
  const misplaced = [...state.held].filter(([name]) => targets.get(name)?.vm !== state.self.vm)
  state.isBalanced = misplaced.length === 0
  const index = Math.min(...misplaced.map(([name]) => parseShareIndex(name)))
  for (const [name, held] of misplaced) {
    if (parseShareIndex(name) === index) stopCounting(held, nowMs)
  }
}

function computeRebalanceMs (state: OwnershipState): number {
  if (state.held.size === 0 || state.isBalanced || state.candidates.length < 2) return Infinity
  return Math.max(state.membersChangedAtMs + computeSettleMs(state), state.rebalancedAtMs + HANDOVER_INTERVAL_MS)
}

/** How long the members must stay the same before shares or witnesses are changed for them. */
function computeSettleMs (state: OwnershipState): number {
  return state.membersChangedAtMs - state.startedAtMs < YOUNG_MS ? YOUNG_REBALANCE_DELAY_MS : REBALANCE_DELAY_MS
}

/** Begins a planned stop: every share is handed over. */
export function startStopping (state: OwnershipState, nowMs: number): void {
  state.isStopping = true
  recordCandidates(state)
  for (const held of state.held.values()) stopCounting(held, nowMs)
}

/** True when a stop need not wait any longer. */
export function isStopped (state: OwnershipState): boolean {
  return state.isStopping && (state.held.size === 0 || state.candidates.length === 0)
}

/** Takes in what became of a write. A lost answer is looked up; until then the shares concerned stay stopped. */
export function handleWriteResult (state: OwnershipState, outcome: WriteResult['outcome'], nowMs: number): void {
  state.isWriting = false
  if (outcome === 'written') return
  if (outcome === 'failed') {
    state.retryAtMs = nowMs + WRITE_RETRY_MS
    for (const h of state.held.values()) if (h.handover?.uncertainSince === null) h.handover = null
    return
  }
  state.needsRead = true
  state.retryAtMs = nowMs + hashName(`${state.self.vm}/${nowMs}`) % CONFLICT_SPREAD_MS
  for (const h of state.held.values()) if (h.handover !== null) h.handover.uncertainSince = state.owners?.version ?? 0
}

/** When something may have to be written; infinite while all is in place. */
export function computeAssignmentWakeMs (state: OwnershipState, nowMs: number): number {
  if (state.owners === null || state.needsRead || state.isWriting) return Infinity
  const times = [computeRebalanceMs(state), computeWitnessMs(state)]
  for (const ms of state.missedSince.values()) times.push(ms + MISSED_MS)
  for (const h of state.held.values()) if (h.handover !== null) times.push(h.handover.untilMs)
  const work = findWork(state, nowMs)
  if (work !== null) times.push(computeWriteMs(state, work))
  return Math.min(...times.map(ms => ms > nowMs ? ms : Infinity), work !== null && state.wantsWrite ? nowMs + WRITE_RETRY_MS : Infinity)
}
