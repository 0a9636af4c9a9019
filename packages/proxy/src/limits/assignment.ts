import { hashName, type LimitOwners } from '@camphorpitch/wire'
import { listPlaceableMembers, type Member } from '../membership/membership-view.ts'
import type { LimitEffect } from './effects.ts'
import type { VersionedOwners } from './messages.ts'
import { stopCounting } from './ownership.ts'
import { emptyOwners, type OwnershipState } from './ownership-state.ts'
import { computeTargetOwners, listByRendezvous, MAX_WITNESSES, parseShareIndex, pickWitnesses } from './shares.ts'

/** A VM that has been missing from the members this long loses its shares and its place as a witness. */
const MISSING_TIMEOUT_MS = 2_000
/** A VM that has just started does not yet know its peers. It waits until it is likely to know all of them before it assigns shares. */
const STARTUP_SETTLE_MS = 1_000
/**
 * How long the first assignment waits for VMs on the platform's list that have not joined. Without the wait, a VM that starts
 * early could become the only witness, and a single witness may be lost permanently.
 */
const INITIAL_JOIN_TIMEOUT_MS = 5_000
/** The same wait on a VM that knows no other VM when the list names none either, as the list may lag behind. */
const LONE_VM_JOIN_WAIT_MS = 3_000
/** Delay between one VM's turn to write and the next VM's, so that usually only one of them writes. */
const WRITE_RANK_DELAY_MS = 400
/** Shares move to new members only after no member has joined or left for this long. */
const REBALANCE_DELAY_MS = 15_000
/** While members change this soon after its start, a VM waits less: the whole fleet may be new, with one VM that owns every share. */
const RECENT_START_MS = 60_000
const RECENT_START_REBALANCE_DELAY_MS = 2_000
/** Time between two batches of shares that a VM hands over while it is not stopping. */
const HANDOVER_INTERVAL_MS = 2_000
const WRITE_RETRY_MS = 1_000
/** Upper bound of the delay before the owners object is read again after a write conflicted or had an unknown outcome. */
const CONFLICT_JITTER_MS = 200

/** Outcome of a write of the owners object; `failed` means that the object is unchanged, `unknown` that it may have changed. */
export type WriteResult = { outcome: 'written', owners: VersionedOwners } | { outcome: 'conflict' | 'unknown' | 'failed' }

/** The changes that the owners object needs. */
interface AssignmentWork {
  /** True when the owners object does not exist yet. */
  isInitial: boolean
  /** Shares that this VM has stopped counting and whose granted tokens have expired. */
  releasableShares: string[]
  /** Shares of VMs that have been missing too long. */
  lostShares: string[]
  hasWitnessChange: boolean
}

/** Updates the members, the candidates for shares and the missing VMs. */
export function handleMembers (state: OwnershipState, members: Member[], nowMs: number): void {
  const placeableBefore = formatPlaceable(state.members)
  state.members = members
  if (formatPlaceable(members) !== placeableBefore) {
    state.membersChangedAtMs = nowMs
    state.isBalanced = false
  }
  recordCandidates(state)
  recordMissingVms(state, nowMs)
}

function recordCandidates (state: OwnershipState): void {
  state.candidates = listPlaceableMembers(state.members).filter(m => !(state.isStopping && m.vm === state.self.vm))
}

function formatPlaceable (members: readonly Member[]): string {
  return listPlaceableMembers(members).map(m => m.vm).sort().join()
}

/** Records since when each owner and witness has been missing from the members. */
export function recordMissingVms (state: OwnershipState, nowMs: number): void {
  const requiredVms = new Set([...state.ownerVms, ...state.owners?.value.witnesses ?? []])
  const presentVms = new Set(state.members.filter(m => m.state !== 'dead').map(m => m.vm))
  presentVms.add(state.self.vm)
  for (const vm of state.missingSinceMs.keys()) if (!requiredVms.has(vm) || presentVms.has(vm)) state.missingSinceMs.delete(vm)
  for (const vm of requiredVms) if (!presentVms.has(vm) && !state.missingSinceMs.has(vm)) state.missingSinceMs.set(vm, nowMs)
}

/**
 * Returns the write of a new version of the owners object when one is needed and it is this VM's turn.
 *
 * The known version must be confirmed first, see `confirmedVersion`.
 */
export function planAssignment (state: OwnershipState, nowMs: number): LimitEffect[] {
  const { owners } = state
  if (owners === null || state.needsRead || state.isWriting || state.candidates.length === 0) return []
  if (state.isStopping) for (const localShare of state.localShares.values()) stopCounting(localShare, nowMs)
  else stopCountingMisplacedShares(state, nowMs)
  const work = findAssignmentWork(state, nowMs)
  if (work === null) {
    state.writeNeededSinceMs = null
    state.isWriteDue = false
    return []
  }
  state.writeNeededSinceMs ??= nowMs
  state.isWriteDue = nowMs >= computeNextWriteMs(state, work)
  if (!state.isWriteDue || (owners.version > 0 && state.confirmedVersion < owners.version)) return []
  state.isWriting = true
  const value = createAssignment(state, owners.value, work)
  const fields = { baseVersion: owners.version, released: work.releasableShares.length, lost: work.lostShares.length, witnesses: value.witnesses }
  return [{ type: 'log', message: 'writing limit owners', fields }, { type: 'write-owners', version: owners.version, value }]
}

function findAssignmentWork (state: OwnershipState, nowMs: number): AssignmentWork | null {
  const value = state.owners?.value ?? emptyOwners
  const isInitial = state.owners?.version === 0
  const releasableShares = listReleasableShares(state, nowMs)
  const lostVms = [...state.missingSinceMs.keys()].filter(vm => isLost(state, vm, nowMs))
  const lostShares = lostVms.length === 0 ? [] : Object.keys(value.shares).filter(name => lostVms.includes(value.shares[name]!.vm))
  const hasWitnessChange = value.witnesses.some(vm => lostVms.includes(vm)) || nowMs >= computeWitnessChangeMs(state)
  return isInitial || releasableShares.length > 0 || lostShares.length > 0 || hasWitnessChange ? { isInitial, releasableShares, lostShares, hasWitnessChange } : null
}

/** Shares that this VM has stopped counting and whose granted tokens have all expired. */
function listReleasableShares (state: OwnershipState, nowMs: number): string[] {
  const releasable: string[] = []
  for (const [name, { handover }] of state.localShares) if (handover !== null && handover.grantsExpireAtMs <= nowMs) releasable.push(name)
  return releasable
}

function isLost (state: OwnershipState, vm: string, nowMs: number): boolean {
  return nowMs - (state.missingSinceMs.get(vm) ?? Infinity) >= MISSING_TIMEOUT_MS
}

/** When witnesses are to be added, or this VM is to be replaced as a witness because it stops; infinite when neither is needed. */
function computeWitnessChangeMs (state: OwnershipState): number {
  const { witnesses } = state.owners?.value ?? emptyOwners
  if (state.isStopping && witnesses.includes(state.self.vm)) return -Infinity
  const wantedCount = Math.min(MAX_WITNESSES, state.candidates.length)
  return witnesses.length < wantedCount ? state.membersChangedAtMs + computeMembershipSettleMs(state) : Infinity
}

/** When this VM may write. It releases its own shares without waiting for a turn; for other changes, VMs take turns in rendezvous order. */
function computeNextWriteMs (state: OwnershipState, work: AssignmentWork): number {
  if (work.releasableShares.length > 0) return state.retryAtMs
  const writerOrder = listByRendezvous('assigner', state.candidates)
  const rank = writerOrder.findIndex(m => m.vm === state.self.vm)
  const turnDelayMs = (rank < 0 ? writerOrder.length : rank) * WRITE_RANK_DELAY_MS
  const settledAtMs = (work.isInitial ? state.membersChangedAtMs : state.startedAtMs) + STARTUP_SETTLE_MS
  const joinWaitEndsAtMs = work.isInitial ? state.startedAtMs + computeJoinWaitMs(state) : -Infinity
  return Math.max(state.retryAtMs, settledAtMs, joinWaitEndsAtMs, (state.writeNeededSinceMs ?? 0) + turnDelayMs)
}

/** How long after its start a VM waits for others before it makes the first assignment. */
function computeJoinWaitMs ({ listed, members }: OwnershipState): number {
  const joinedVms = new Set(members.map(m => m.vm))
  const hasMissingVm = listed === null || [...listed].some(vm => !joinedVms.has(vm))
  if (hasMissingVm) return INITIAL_JOIN_TIMEOUT_MS
  return joinedVms.size <= 1 ? LONE_VM_JOIN_WAIT_MS : 0
}

function createAssignment (state: OwnershipState, previousOwners: LimitOwners, work: AssignmentWork): LimitOwners {
  const { candidates } = state
  const targets = computeTargetOwners(candidates)
  const shares = { ...previousOwners.shares }
  for (const name of work.isInitial ? targets.keys() : [...work.releasableShares, ...work.lostShares]) {
    const { vm, incarnation } = targets.get(name)!
    const released = work.isInitial || state.localShares.get(name)?.handover?.wasReady === true
    shares[name] = { vm, incarnation, epoch: (previousOwners.shares[name]?.epoch ?? 0) + 1, released }
  }
  const witnesses = work.isInitial || work.hasWitnessChange ? pickWitnesses(previousOwners.witnesses, candidates) : previousOwners.witnesses
  return { shares, witnesses, previousWitnesses: previousOwners.witnesses }
}

/** Stops counting shares that another member should own, at most one share of each workspace at a time. */
function stopCountingMisplacedShares (state: OwnershipState, nowMs: number): void {
  if (nowMs < computeNextRebalanceMs(state)) return
  state.lastRebalanceAtMs = nowMs
  const targets = computeTargetOwners(state.candidates)
  const misplaced = [...state.localShares].filter(([name]) => targets.get(name)?.vm !== state.self.vm)
  state.isBalanced = misplaced.length === 0
  const index = Math.min(...misplaced.map(([name]) => parseShareIndex(name)))
  for (const [name, localShare] of misplaced) {
    if (parseShareIndex(name) === index) stopCounting(localShare, nowMs)
  }
}

/** When misplaced shares may next be handed over; infinite when this VM has nothing to hand over or nobody to hand it to. */
function computeNextRebalanceMs (state: OwnershipState): number {
  if (state.localShares.size === 0 || state.isBalanced || state.candidates.length < 2) return Infinity
  return Math.max(state.membersChangedAtMs + computeMembershipSettleMs(state), state.lastRebalanceAtMs + HANDOVER_INTERVAL_MS)
}

/** How long the members must stay the same before shares or witnesses follow a change of members. */
function computeMembershipSettleMs (state: OwnershipState): number {
  return state.membersChangedAtMs - state.startedAtMs < RECENT_START_MS ? RECENT_START_REBALANCE_DELAY_MS : REBALANCE_DELAY_MS
}

/** Begins a planned stop: this VM stops counting all its shares, so that other VMs can take them over. */
export function startStopping (state: OwnershipState, nowMs: number): void {
  state.isStopping = true
  recordCandidates(state)
  for (const localShare of state.localShares.values()) stopCounting(localShare, nowMs)
}

/** True when this VM is stopping and has no shares left, or there is no VM to take them over. */
export function isStopped (state: OwnershipState): boolean {
  return state.isStopping && (state.localShares.size === 0 || state.candidates.length === 0)
}

/**
 * Processes the outcome of a write.
 *
 * After a failed write, this VM counts the shares again that it was to release. After a conflict or an unknown outcome, it
 * reads the object to learn what was written; until it knows, it does not count them.
 */
export function handleWriteResult (state: OwnershipState, outcome: WriteResult['outcome'], nowMs: number): void {
  state.isWriting = false
  if (outcome === 'written') return
  if (outcome === 'failed') {
    state.retryAtMs = nowMs + WRITE_RETRY_MS
    for (const localShare of state.localShares.values()) if (localShare.handover?.uncertainBaseVersion === null) localShare.handover = null
    return
  }
  state.needsRead = true
  state.retryAtMs = nowMs + hashName(`${state.self.vm}/${nowMs}`) % CONFLICT_JITTER_MS
  for (const localShare of state.localShares.values()) if (localShare.handover !== null) localShare.handover.uncertainBaseVersion = state.owners?.version ?? 0
}

/** When `planAssignment` may next have something to do; infinite while nothing needs to change. */
export function computeAssignmentWakeMs (state: OwnershipState, nowMs: number): number {
  if (state.owners === null || state.needsRead || state.isWriting) return Infinity
  const times = [computeNextRebalanceMs(state), computeWitnessChangeMs(state)]
  for (const ms of state.missingSinceMs.values()) times.push(ms + MISSING_TIMEOUT_MS)
  for (const localShare of state.localShares.values()) if (localShare.handover !== null) times.push(localShare.handover.grantsExpireAtMs)
  const work = findAssignmentWork(state, nowMs)
  if (work !== null) times.push(computeNextWriteMs(state, work))
  return Math.min(...times.map(ms => ms > nowMs ? ms : Infinity), work !== null && state.isWriteDue ? nowMs + WRITE_RETRY_MS : Infinity)
}
