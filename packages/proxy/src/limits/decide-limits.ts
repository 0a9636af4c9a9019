import type { Rate, Step } from '@camphorpitch/wire'
import type { Member } from '../membership/membership-view.ts'
import {
  computeAssignmentWakeMs, handleMembers, handleWriteResult, isStopped, planAssignment, recordMissingVms, startStopping, type WriteResult
} from './assignment.ts'
import type { LimitEffect, VmProcess } from './effects.ts'
import { createLedger, dropShare, handleDemand, type LedgerContext, type LedgerState } from './ledger.ts'
import type { LimitMessage, VersionedOwners } from './messages.ts'
import {
  publishOwners, applyOwners, computeOwnershipWakeMs, findCountingStartMs, handleOwnersRead, handleProofReply, handleProofRequest, handleOwnersReadFailed, tickOwnership
} from './ownership.ts'
import { createOwnership, type OwnershipState } from './ownership-state.ts'
import { createWorkspaceLimit, type WorkspaceLimit } from './shares.ts'
import { flushSpender, handleAdmit, handleGrants, tickSpender, type SpenderContext } from './spender.ts'
import { createSpenderState, type SpenderState } from './spender-state.ts'

/** Shortest delay of a scheduled tick. */
const MIN_TICK_INTERVAL_MS = 4

/** All state of the limits slice in one process. */
export interface LimitState {
  self: VmProcess
  /** Keyed by workspace. */
  limits: Map<string, WorkspaceLimit>
  context: LedgerContext & SpenderContext
  spender: SpenderState
  ledger: LedgerState
  ownership: OwnershipState
  /** When the next tick is scheduled; infinite when none is. */
  wakeAtMs: number
  /** When the ownership state next has work that a tick must do. */
  ownershipWakeAtMs: number
}

export type LimitInput =
  | { type: 'admit', requestId: number, workspace: string, timeoutMs: number }
  | { type: 'peer', from: VmProcess, body: LimitMessage }
  /** A workspace's new rate; `null` removes the workspace. */
  | { type: 'rate', workspace: string, rate: Rate | null }
  /** A version of the owners object that the configuration learned of. */
  | { type: 'owners', owners: VersionedOwners }
  /** The owners object that this process read from the object service; `null` when it does not exist. */
  | { type: 'owners-read', owners: VersionedOwners | null }
  | { type: 'read-failed' }
  | { type: 'write-result', result: WriteResult }
  | { type: 'members', members: Member[] }
  /** The platform's list of VMs. */
  | { type: 'listed', vms: string[] }
  | { type: 'tick' }
  | { type: 'stop' }

export function createLimitState (self: VmProcess, nowMs: number): LimitState {
  const limits = new Map<string, WorkspaceLimit>()
  const ownership = createOwnership(self, nowMs)
  return {
    self,
    limits,
    context: createContext(limits, ownership),
    spender: createSpenderState(self.incarnation),
    ledger: createLedger(),
    ownership,
    wakeAtMs: Infinity,
    ownershipWakeAtMs: nowMs
  }
}

/** Look-ups by which the spender and the ledger read other parts of the state. */
function createContext (limits: LimitState['limits'], ownership: OwnershipState): LedgerContext & SpenderContext {
  return {
    findLimit: workspace => limits.get(workspace),
    findCountingStartMs: (share, nowMs) => findCountingStartMs(ownership, share, nowMs),
    findOwner: share => ownership.owners?.value.shares[share]?.vm
  }
}

/**
 * Decides what this VM does about limits: as an entry VM, as an owner and as a witness.
 *
 * Changes `state` in place and returns it with the effects to run.
 */
export function decideLimits (state: LimitState, input: LimitInput, nowMs: number): Step<LimitState, LimitEffect> {
  const effects = applyInput(state, input, nowMs)
  if (hasOwnershipWork(state, input, nowMs)) effects.push(...decideOwnership(state, nowMs))
  effects.push(...flushSpender(state.spender, nowMs))
  const dueAtMs = Math.min(state.ownershipWakeAtMs, state.spender.wakeAtMs)
  const atMs = Math.max(dueAtMs, nowMs + MIN_TICK_INTERVAL_MS)
  if (input.type === 'tick') state.wakeAtMs = Infinity
  if (atMs < state.wakeAtMs) {
    state.wakeAtMs = atMs
    effects.push({ type: 'wake', atMs })
  }
  return { state, effects }
}

function hasOwnershipWork (state: LimitState, input: LimitInput, nowMs: number): boolean {
  switch (input.type) {
    case 'admit': case 'rate': return false
    case 'tick': return nowMs >= state.ownershipWakeAtMs
    case 'peer': return input.body.type === 'proof-reply' || input.body.type === 'owners-update'
    default: return true
  }
}

function decideOwnership (state: LimitState, nowMs: number): LimitEffect[] {
  const { ownership } = state
  const effects = [...tickOwnership(ownership, nowMs), ...planAssignment(ownership, nowMs)]
  if (isStopped(ownership)) effects.push({ type: 'stopped' })
  state.ownershipWakeAtMs = Math.min(computeOwnershipWakeMs(ownership), computeAssignmentWakeMs(ownership, nowMs))
  return effects
}

function applyInput (state: LimitState, input: LimitInput, nowMs: number): LimitEffect[] {
  const { ownership } = state
  switch (input.type) {
    case 'admit': return handleAdmit(state.spender, state.context, input, nowMs)
    case 'peer': return handlePeer(state, input.from, input.body, nowMs)
    case 'rate': return handleRate(state, input.workspace, input.rate, nowMs)
    case 'owners': return applyOwnersChange(state, applyOwners(ownership, input.owners, nowMs), nowMs)
    case 'owners-read': return applyOwnersChange(state, handleOwnersRead(ownership, input.owners, nowMs), nowMs)
    case 'write-result': return handleWriteInput(state, input.result, nowMs)
    case 'tick': return tickSpender(state.spender, state.context, nowMs)
    default: return handleOwnershipInput(ownership, input, nowMs)
  }
}

function handleOwnershipInput (ownership: OwnershipState, input: LimitInput, nowMs: number): LimitEffect[] {
  if (input.type === 'members') handleMembers(ownership, input.members, nowMs)
  if (input.type === 'read-failed') handleOwnersReadFailed(ownership, nowMs)
  if (input.type === 'listed') ownership.listed = new Set(input.vms)
  if (input.type === 'stop') startStopping(ownership, nowMs)
  return []
}

function handlePeer (state: LimitState, from: VmProcess, body: LimitMessage, nowMs: number): LimitEffect[] {
  const { ownership } = state
  switch (body.type) {
    case 'demand': {
      const grants = handleDemand(state.ledger, state.context, from, state.self.incarnation, body, nowMs)
      return grants === undefined ? [] : [{ type: 'send', vm: from.vm, body: grants }]
    }
    case 'grants': return handleGrants(state.spender, state.context, from, body, nowMs)
    case 'proof-request': return handleProofRequest(ownership, from, body)
    case 'owners-update': return applyOwnersChange(state, applyOwners(ownership, body.owners, nowMs), nowMs)
    case 'proof-reply': {
      if (body.incarnation !== state.self.incarnation) return []
      const effects = handleProofReply(ownership, from.vm, body, nowMs)
      if (body.newer === undefined) return effects
      return [...effects, ...applyOwnersChange(state, applyOwners(ownership, body.newer, nowMs), nowMs)]
    }
  }
}

function handleRate (state: LimitState, workspace: string, rate: Rate | null, nowMs: number): LimitEffect[] {
  if (rate === null) state.limits.delete(workspace)
  else state.limits.set(workspace, createWorkspaceLimit(workspace, rate, state.limits.get(workspace), nowMs))
  return []
}

function handleWriteInput (state: LimitState, result: WriteResult, nowMs: number): LimitEffect[] {
  handleWriteResult(state.ownership, result.outcome, nowMs)
  if (result.outcome !== 'written') return []
  const announcements = publishOwners(state.ownership, result.owners)
  return [...announcements, ...applyOwnersChange(state, applyOwners(state.ownership, result.owners, nowMs), nowMs)]
}

function applyOwnersChange (state: LimitState, change: { lost: string[], effects: LimitEffect[] }, nowMs: number): LimitEffect[] {
  for (const share of change.lost) dropShare(state.ledger, share)
  recordMissingVms(state.ownership, nowMs)
  return change.effects
}
