import type { LimitEffect, Self } from './effects.ts'
import { CLOCK_DRIFT, computeGrantsEndMs, TOKEN_LIFETIME_MS } from './ledger.ts'
import type { VersionedOwners } from './messages.ts'
import { noOwners, type HeldShare, type OwnershipState } from './ownership-state.ts'

/** How long a majority's word lets an owner count, from the moment it asked. */
export const LEASE_MS = 5_000
const RENEW_INTERVAL_MS = 2_500
/** Rounds repeat faster while something waits for one. */
const URGENT_ROUND_INTERVAL_MS = 250
/** After this long without a majority, the platform's list of VMs is asked for. */
const LIST_INTERVAL_MS = 2_000
/** The same before there are owners. */
const FIRST_LIST_INTERVAL_MS = 500
const READ_RETRY_MS = 500
/** VMs that are told of a new version directly; the rest learn it from the configuration. */
const MAX_ANNOUNCED = 32
/** After the change is known, every earlier lease and token has ended within this time. */
export const TAKEOVER_WAIT_MS = (LEASE_MS + TOKEN_LIFETIME_MS) * (1 + 2 * CLOCK_DRIFT)

/** When this VM began to count a share; `undefined` while it may not. */
export function findCountingSince (state: OwnershipState, share: string, nowMs: number): number | undefined {
  const held = state.held.get(share)
  if (held === undefined || held.handover !== null) return undefined
  if (nowMs < held.readyAtMs || nowMs >= state.leaseUntilMs) return undefined
  return held.readyAtMs
}

/** Takes in a version of the owners object; older ones change nothing. */
export function applyOwners (state: OwnershipState, owners: VersionedOwners, nowMs: number): { lost: string[], effects: LimitEffect[] } {
  if (state.owners !== null && owners.version <= state.owners.version) return { lost: [], effects: [] }
  state.owners = owners
  state.ownerVms = new Set(Object.values(owners.value.shares).map(e => e.vm))
  state.round = null
  state.wantedSinceMs = null
  state.wantsWrite = false
  const lost = dropLost(state, owners)
  const gained = addGained(state, owners, nowMs)
  if (owners.value.previousWitnesses.length === 0) recordSealed(state, nowMs)
  const effects: LimitEffect[] = []
  if (lost.length + gained > 0) {
    state.isBalanced = false
    effects.push({ type: 'log', message: 'limit shares changed', fields: { version: owners.version, gained, lost: lost.length, held: state.held.size } })
  }
  if (state.held.size > 0) effects.push(...startRound(state, nowMs))
  return { lost, effects }
}

function dropLost (state: OwnershipState, { value }: VersionedOwners): string[] {
  const lost: string[] = []
  for (const [name, held] of state.held) {
    const entry = value.shares[name]
    if (entry?.vm === state.self.vm && entry.epoch === held.epoch) continue
    state.held.delete(name)
    lost.push(name)
  }
  return lost
}

function addGained (state: OwnershipState, { version, value }: VersionedOwners, nowMs: number): number {
  let gained = 0
  for (const [name, entry] of Object.entries(value.shares)) {
    if (entry.vm !== state.self.vm) continue
    const held = state.held.get(name)
    if (held === undefined) {
      const isReleased = entry.released && entry.incarnation === state.self.incarnation
      state.held.set(name, { epoch: entry.epoch, readyAtMs: isReleased ? nowMs : Infinity, handover: null })
      gained += 1
    } else if (held.handover?.uncertainSince != null && version > held.handover.uncertainSince) {
      held.handover = null
    }
  }
  return gained
}

/** Brings what this VM has just written to the witnesses and to those that gain shares, ahead of the configuration's watch. */
export function publishOwners (state: OwnershipState, owners: VersionedOwners): LimitEffect[] {
  const concerned = new Set(owners.value.witnesses)
  for (const [name, { vm, epoch }] of Object.entries(owners.value.shares)) {
    if (state.owners?.value.shares[name]?.epoch !== epoch) concerned.add(vm)
  }
  concerned.delete(state.self.vm)
  const told = [...concerned].slice(0, MAX_ANNOUNCED)
  return told.map(vm => ({ type: 'send', vm, body: { type: 'owners-update', owners } }))
}

/** Stops counting a share for good, so that it can be given to another VM once its tokens have ended. */
export function stopCounting (held: HeldShare, nowMs: number): void {
  held.handover ??= { untilMs: computeGrantsEndMs(nowMs), wasReady: held.readyAtMs <= nowMs, uncertainSince: null }
}

function isSealNeeded (state: OwnershipState): boolean {
  if (state.owners === null || state.sealedVersion >= state.owners.version) return false
  return state.wantsWrite || [...state.held.values()].some(h => h.readyAtMs === Infinity)
}

/** Asks every witness, this VM included, which version it knows. */
function startRound (state: OwnershipState, nowMs: number): LimitEffect[] {
  const { owners, self } = state
  if (owners === null || owners.version === 0) return []
  const nonce = state.nextNonce++
  state.round = { nonce, sentAtMs: nowMs, version: owners.version, replies: new Map() }
  if (state.isSynced) state.round.replies.set(self.vm, owners.version)
  const witnesses = new Set([...owners.value.witnesses, ...(isSealNeeded(state) ? owners.value.previousWitnesses : [])])
  witnesses.delete(self.vm)
  checkRound(state, nowMs)
  return [...witnesses].map(vm => ({ type: 'send', vm, body: { type: 'proof-request', nonce, version: owners.version } }))
}

/** Answers as a witness. A process that has not yet read the object service itself stays silent. */
export function handleProofRequest (state: OwnershipState, from: Self, request: { nonce: number, version: number }): LimitEffect[] {
  const { owners } = state
  if (!state.isSynced || owners === null) return []
  const newer = owners.version > request.version ? owners : undefined
  const reply = { type: 'proof-reply' as const, nonce: request.nonce, incarnation: from.incarnation, version: owners.version }
  return [{ type: 'send', vm: from.vm, body: newer === undefined ? reply : { ...reply, newer } }]
}

/** Counts a witness's answer to the current round. */
export function handleProofReply (state: OwnershipState, vm: string, reply: { nonce: number, version: number }, nowMs: number): LimitEffect[] {
  const { round, owners } = state
  if (round === null || owners === null || round.nonce !== reply.nonce) return []
  round.replies.set(vm, reply.version)
  checkRound(state, nowMs)
  return reply.version < owners.version ? [{ type: 'send', vm, body: { type: 'owners-update', owners } }] : []
}

function checkRound (state: OwnershipState, nowMs: number): void {
  const { round, owners } = state
  if (round === null || owners === null || round.version !== owners.version) return
  const { witnesses } = owners.value
  const vouching = witnesses.filter(vm => (round.replies.get(vm) ?? Infinity) <= round.version)
  if (vouching.length >= countMajority(witnesses)) state.leaseUntilMs = Math.max(state.leaseUntilMs, round.sentAtMs + LEASE_MS)
  if (isSealed(state)) recordSealed(state, nowMs)
}

function countMajority (vms: readonly string[]): number {
  return Math.floor(vms.length / 2) + 1
}

/**
 * True when no VM that knows only older versions can find a majority any more.
 *
 * Where a majority of the previous witnesses has left the platform's list, all those still on it must know the version.
 */
function isSealed ({ round, owners, listed }: OwnershipState): boolean {
  if (round === null || owners === null) return false
  const previous = owners.value.previousWitnesses
  const hasVersion = (vm: string): boolean => (round.replies.get(vm) ?? -1) >= owners.version
  if (previous.filter(hasVersion).length >= countMajority(previous)) return true
  if (listed === null) return false
  const left = previous.filter(vm => listed.has(vm))
  return left.length < countMajority(previous) && left.every(hasVersion)
}

function recordSealed (state: OwnershipState, nowMs: number): void {
  if (state.owners === null || state.sealedVersion >= state.owners.version) return
  state.sealedVersion = state.owners.version
  state.listed = null
  for (const held of state.held.values()) {
    if (held.readyAtMs === Infinity) held.readyAtMs = nowMs + TAKEOVER_WAIT_MS
  }
}

/** Begins the rounds and reads that are due. */
export function tickOwnership (state: OwnershipState, nowMs: number): LimitEffect[] {
  const effects: LimitEffect[] = []
  if (state.needsRead && !state.isReading && nowMs >= state.retryAtMs) {
    state.isReading = true
    effects.push({ type: 'read-owners' })
  }
  if (nowMs >= computeFirstListMs(state)) {
    state.listAtMs = nowMs + FIRST_LIST_INTERVAL_MS
    effects.push({ type: 'list-vms' })
  }
  if (nowMs < computeRoundMs(state)) return effects
  const isStuck = state.round !== null && isSealNeeded(state) && nowMs - state.round.sentAtMs >= URGENT_ROUND_INTERVAL_MS
  if (isStuck && nowMs >= state.listAtMs) {
    state.listAtMs = nowMs + LIST_INTERVAL_MS
    effects.push({ type: 'list-vms' })
  }
  effects.push(...startRound(state, nowMs))
  return effects
}

/** Before there are owners, the platform's list says which VMs are still to join; infinite afterwards. */
function computeFirstListMs ({ owners, listAtMs }: OwnershipState): number {
  return owners?.version === 0 ? listAtMs : Infinity
}

/** When the next round is due; infinite for a VM that neither owns nor wants anything. */
function computeRoundMs (state: OwnershipState): number {
  const isUrgent = isSealNeeded(state) || isLeaseMissing(state)
  if (!isUrgent && state.held.size === 0) return Infinity
  if (state.owners === null || state.owners.version === 0) return Infinity
  if (state.round === null) return -Infinity
  return state.round.sentAtMs + (isUrgent ? URGENT_ROUND_INTERVAL_MS : RENEW_INTERVAL_MS)
}

/** True when the last round did not renew the lease. */
function isLeaseMissing (state: OwnershipState): boolean {
  return state.held.size > 0 && state.round !== null && state.leaseUntilMs < state.round.sentAtMs + LEASE_MS
}

export function computeOwnershipWakeMs (state: OwnershipState): number {
  const readMs = state.needsRead && !state.isReading ? state.retryAtMs : Infinity
  return Math.min(readMs, computeFirstListMs(state), computeRoundMs(state))
}

/** Takes in the object as this process itself read it; `null` while it does not exist. */
export function handleOwnersRead (state: OwnershipState, owners: VersionedOwners | null, nowMs: number): { lost: string[], effects: LimitEffect[] } {
  state.isReading = false
  state.needsRead = false
  state.isSynced = true
  return applyOwners(state, owners ?? { version: 0, value: noOwners }, nowMs)
}

export function handleReadFailed (state: OwnershipState, nowMs: number): void {
  state.isReading = false
  state.retryAtMs = nowMs + READ_RETRY_MS
}
