import type { LimitEffect, VmProcess } from './effects.ts'
import { MAX_CLOCK_DRIFT_FRACTION, computeGrantExpiryMs, TOKEN_LIFETIME_MS } from './ledger.ts'
import type { VersionedOwners } from './messages.ts'
import { emptyOwners, type LocalShare, type OwnershipState } from './ownership-state.ts'

/** How long the confirmation of a majority of witnesses lets an owner count, from the time at which it sent the request. */
export const LEASE_MS = 5_000
const LEASE_RENEWAL_INTERVAL_MS = 2_500
/** Interval between proof rounds while the renewal of the lease or the confirmation of a version is outstanding. */
const URGENT_ROUND_INTERVAL_MS = 250
/** Shortest time between two requests for the platform's list of VMs while a majority of the previous witnesses does not respond. */
const VM_LIST_INTERVAL_MS = 2_000
/** Interval between requests for the platform's list of VMs before the owners object exists. */
const INITIAL_VM_LIST_INTERVAL_MS = 500
const READ_RETRY_MS = 500
/** Number of VMs that a new version is sent to directly; the others learn of it from the configuration. */
const MAX_ANNOUNCED_VMS = 32
/** Time after the confirmation of a new version within which every earlier lease and token expires. */
export const TAKEOVER_WAIT_MS = (LEASE_MS + TOKEN_LIFETIME_MS) * (1 + 2 * MAX_CLOCK_DRIFT_FRACTION)

/** When this VM began to count the share; `undefined` while it may not count it. */
export function findCountingStartMs (state: OwnershipState, share: string, nowMs: number): number | undefined {
  const localShare = state.localShares.get(share)
  if (localShare === undefined || localShare.handover !== null) return undefined
  if (nowMs < localShare.readyAtMs || nowMs >= state.leaseUntilMs) return undefined
  return localShare.readyAtMs
}

/**
 * Adopts a version of the owners object if it is newer than the known one.
 *
 * @returns the names of the shares that this VM lost, and the effects to run
 */
export function applyOwners (state: OwnershipState, owners: VersionedOwners, nowMs: number): { lost: string[], effects: LimitEffect[] } {
  if (state.owners !== null && owners.version <= state.owners.version) return { lost: [], effects: [] }
  state.owners = owners
  state.ownerVms = new Set(Object.values(owners.value.shares).map(e => e.vm))
  state.proofRound = null
  state.writeNeededSinceMs = null
  state.isWriteDue = false
  const lost = dropLostShares(state, owners)
  const gainedCount = addGainedShares(state, owners, nowMs)
  if (owners.value.previousWitnesses.length === 0) recordConfirmed(state, nowMs)
  const effects: LimitEffect[] = []
  if (lost.length + gainedCount > 0) {
    state.isBalanced = false
    effects.push({ type: 'log', message: 'limit shares of this VM changed', fields: { version: owners.version, gained: gainedCount, lost: lost.length, held: state.localShares.size } })
  }
  if (state.localShares.size > 0) effects.push(...startProofRound(state, nowMs))
  return { lost, effects }
}

function dropLostShares (state: OwnershipState, { value }: VersionedOwners): string[] {
  const lost: string[] = []
  for (const [name, localShare] of state.localShares) {
    const entry = value.shares[name]
    if (entry?.vm === state.self.vm && entry.epoch === localShare.epoch) continue
    state.localShares.delete(name)
    lost.push(name)
  }
  return lost
}

function addGainedShares (state: OwnershipState, { version, value }: VersionedOwners, nowMs: number): number {
  let gainedCount = 0
  for (const [name, entry] of Object.entries(value.shares)) {
    if (entry.vm !== state.self.vm) continue
    const localShare = state.localShares.get(name)
    if (localShare === undefined) {
      const isReleased = entry.released && entry.incarnation === state.self.incarnation
      state.localShares.set(name, { epoch: entry.epoch, readyAtMs: isReleased ? nowMs : Infinity, handover: null })
      gainedCount += 1
    } else if (localShare.handover?.uncertainBaseVersion != null && version > localShare.handover.uncertainBaseVersion) {
      localShare.handover = null
    }
  }
  return gainedCount
}

/**
 * Sends the version that this VM has just written to the witnesses and to the VMs that gain shares, which would learn of it
 * later from the configuration's watch. Call it before `applyOwners` with that version.
 */
export function publishOwners (state: OwnershipState, owners: VersionedOwners): LimitEffect[] {
  const affectedVms = new Set(owners.value.witnesses)
  for (const [name, { vm, epoch }] of Object.entries(owners.value.shares)) {
    if (state.owners?.value.shares[name]?.epoch !== epoch) affectedVms.add(vm)
  }
  affectedVms.delete(state.self.vm)
  const recipients = [...affectedVms].slice(0, MAX_ANNOUNCED_VMS)
  return recipients.map(vm => ({ type: 'send', vm, body: { type: 'owners-update', owners } }))
}

/** Stops counting a share, so that it can be assigned to another VM once its granted tokens have expired. */
export function stopCounting (localShare: LocalShare, nowMs: number): void {
  localShare.handover ??= { grantsExpireAtMs: computeGrantExpiryMs(nowMs), wasReady: localShare.readyAtMs <= nowMs, uncertainBaseVersion: null }
}

/** True when this VM needs a majority of the previous witnesses to know the current version: to count new shares or to write. */
function isConfirmationNeeded (state: OwnershipState): boolean {
  if (state.owners === null || state.confirmedVersion >= state.owners.version) return false
  return state.isWriteDue || [...state.localShares.values()].some(localShare => localShare.readyAtMs === Infinity)
}

/**
 * Sends a proof request to every witness, and to the previous witnesses while the version needs their confirmation.
 *
 * This VM's version is recorded without a message once it may act as a witness.
 */
function startProofRound (state: OwnershipState, nowMs: number): LimitEffect[] {
  const { owners, self } = state
  if (owners === null || owners.version === 0) return []
  const nonce = state.nextNonce++
  state.proofRound = { nonce, sentAtMs: nowMs, version: owners.version, replies: new Map() }
  if (state.hasReadOwners) state.proofRound.replies.set(self.vm, owners.version)
  const witnesses = new Set([...owners.value.witnesses, ...(isConfirmationNeeded(state) ? owners.value.previousWitnesses : [])])
  witnesses.delete(self.vm)
  checkProofRound(state, nowMs)
  return [...witnesses].map(vm => ({ type: 'send', vm, body: { type: 'proof-request', nonce, version: owners.version } }))
}

/** Responds as a witness. A process that has not yet read the owners object from the object service does not respond. */
export function handleProofRequest (state: OwnershipState, from: VmProcess, request: { nonce: number, version: number }): LimitEffect[] {
  const { owners } = state
  if (!state.hasReadOwners || owners === null) return []
  const newer = owners.version > request.version ? owners : undefined
  const reply = { type: 'proof-reply' as const, nonce: request.nonce, incarnation: from.incarnation, version: owners.version }
  return [{ type: 'send', vm: from.vm, body: newer === undefined ? reply : { ...reply, newer } }]
}

/** Records a witness's reply to the current proof round; sends the owners object to a witness that knows an older version. */
export function handleProofReply (state: OwnershipState, vm: string, reply: { nonce: number, version: number }, nowMs: number): LimitEffect[] {
  const { proofRound, owners } = state
  if (proofRound === null || owners === null || proofRound.nonce !== reply.nonce) return []
  proofRound.replies.set(vm, reply.version)
  checkProofRound(state, nowMs)
  return reply.version < owners.version ? [{ type: 'send', vm, body: { type: 'owners-update', owners } }] : []
}

/** Renews the lease when a majority of the witnesses knows no newer version, and records the version once it is confirmed. */
function checkProofRound (state: OwnershipState, nowMs: number): void {
  const { proofRound, owners } = state
  if (proofRound === null || owners === null || proofRound.version !== owners.version) return
  const { witnesses } = owners.value
  const supporters = witnesses.filter(vm => (proofRound.replies.get(vm) ?? Infinity) <= proofRound.version)
  if (supporters.length >= countMajority(witnesses)) state.leaseUntilMs = Math.max(state.leaseUntilMs, proofRound.sentAtMs + LEASE_MS)
  if (isConfirmed(state)) recordConfirmed(state, nowMs)
}

function countMajority (vms: readonly string[]): number {
  return Math.floor(vms.length / 2) + 1
}

/**
 * True when a VM that knows only older versions can no longer get the confirmation of a majority of witnesses.
 *
 * A majority of the previous witnesses must know the version. If so many of them have left the platform's list that the rest
 * is no majority, all those still on the list must know it.
 */
function isConfirmed ({ proofRound, owners, listed }: OwnershipState): boolean {
  if (proofRound === null || owners === null) return false
  const previousWitnesses = owners.value.previousWitnesses
  const hasVersion = (vm: string): boolean => (proofRound.replies.get(vm) ?? -1) >= owners.version
  if (previousWitnesses.filter(hasVersion).length >= countMajority(previousWitnesses)) return true
  if (listed === null) return false
  const listedWitnesses = previousWitnesses.filter(vm => listed.has(vm))
  return listedWitnesses.length < countMajority(previousWitnesses) && listedWitnesses.every(hasVersion)
}

/** Records the known version as confirmed. Shares gained by it may be counted after `TAKEOVER_WAIT_MS`. */
function recordConfirmed (state: OwnershipState, nowMs: number): void {
  if (state.owners === null || state.confirmedVersion >= state.owners.version) return
  state.confirmedVersion = state.owners.version
  state.listed = null
  for (const localShare of state.localShares.values()) {
    if (localShare.readyAtMs === Infinity) localShare.readyAtMs = nowMs + TAKEOVER_WAIT_MS
  }
}

/** Starts the reads, requests for the list of VMs and proof rounds that are due. */
export function tickOwnership (state: OwnershipState, nowMs: number): LimitEffect[] {
  const effects: LimitEffect[] = []
  if (state.needsRead && !state.isReading && nowMs >= state.retryAtMs) {
    state.isReading = true
    effects.push({ type: 'read-owners' })
  }
  if (nowMs >= computeInitialVmListMs(state)) {
    state.nextVmListAtMs = nowMs + INITIAL_VM_LIST_INTERVAL_MS
    effects.push({ type: 'list-vms' })
  }
  if (nowMs < computeNextRoundMs(state)) return effects
  const isConfirmationLate = state.proofRound !== null && isConfirmationNeeded(state) && nowMs - state.proofRound.sentAtMs >= URGENT_ROUND_INTERVAL_MS
  if (isConfirmationLate && nowMs >= state.nextVmListAtMs) {
    state.nextVmListAtMs = nowMs + VM_LIST_INTERVAL_MS
    effects.push({ type: 'list-vms' })
  }
  effects.push(...startProofRound(state, nowMs))
  return effects
}

/** When the list of VMs is due that says which VMs have yet to join before the first assignment; infinite once the owners object exists. */
function computeInitialVmListMs ({ owners, nextVmListAtMs }: OwnershipState): number {
  return owners?.version === 0 ? nextVmListAtMs : Infinity
}

/** When the next proof round is due; infinite for a VM that owns no share and has nothing to write. */
function computeNextRoundMs (state: OwnershipState): number {
  const isUrgent = isConfirmationNeeded(state) || isLeaseRenewalMissing(state)
  if (!isUrgent && state.localShares.size === 0) return Infinity
  if (state.owners === null || state.owners.version === 0) return Infinity
  if (state.proofRound === null) return -Infinity
  return state.proofRound.sentAtMs + (isUrgent ? URGENT_ROUND_INTERVAL_MS : LEASE_RENEWAL_INTERVAL_MS)
}

/** True when the last proof round has not renewed the lease. */
function isLeaseRenewalMissing (state: OwnershipState): boolean {
  return state.localShares.size > 0 && state.proofRound !== null && state.leaseUntilMs < state.proofRound.sentAtMs + LEASE_MS
}

/** When `tickOwnership` next has something to do; infinite when nothing is scheduled. */
export function computeOwnershipWakeMs (state: OwnershipState): number {
  const readMs = state.needsRead && !state.isReading ? state.retryAtMs : Infinity
  return Math.min(readMs, computeInitialVmListMs(state), computeNextRoundMs(state))
}

/** Adopts the owners object that this process read from the object service; `null` when it does not exist. */
export function handleOwnersRead (state: OwnershipState, owners: VersionedOwners | null, nowMs: number): { lost: string[], effects: LimitEffect[] } {
  state.isReading = false
  state.needsRead = false
  state.hasReadOwners = true
  return applyOwners(state, owners ?? { version: 0, value: emptyOwners }, nowMs)
}

export function handleOwnersReadFailed (state: OwnershipState, nowMs: number): void {
  state.isReading = false
  state.retryAtMs = nowMs + READ_RETRY_MS
}
