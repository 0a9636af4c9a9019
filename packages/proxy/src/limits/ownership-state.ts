import type { LimitOwners } from '@camphorpitch/wire'
import type { Member } from '../membership/membership-view.ts'
import type { VmProcess } from './effects.ts'
import type { VersionedOwners } from './messages.ts'

/** A share that the owners object gives to this VM. */
export interface LocalShare {
  epoch: number
  /** When this VM may begin to count it; infinite until a majority of witnesses knows of the change. */
  readyAtMs: number
  /** Set while the share is being handed over: nothing is granted any more. */
  handover: Handover | null
}

export interface Handover {
  /** When the last token granted has ended. */
  grantsExpireAtMs: number
  /** False when earlier owners may still count, so that the next owner must wait for them. */
  wasReady: boolean
  /** Version that an attempt to write was based on whose outcome is unknown. */
  uncertainBaseVersion: number | null
}

/** One question to all witnesses, and the versions that they answered. */
export interface ProofRound {
  nonce: number
  sentAtMs: number
  version: number
  replies: Map<string, number>
}

export interface OwnershipState {
  self: VmProcess
  startedAtMs: number
  /** Newest version of the owners object known; version 0 while it does not exist. */
  owners: VersionedOwners | null
  /** VMs that own at least one share. */
  ownerVms: Set<string>
  /** True once this process has read the object service itself; before, it is no witness. */
  hasReadOwners: boolean
  localShares: Map<string, LocalShare>
  /** Until then a majority of witnesses vouched that nobody has taken over. */
  leaseUntilMs: number
  proofRound: ProofRound | null
  nextNonce: number
  /** Newest version that a majority of the previous witnesses is known to know. */
  confirmedVersion: number
  members: Member[]
  /** Members that may be given shares; this VM only while it is not stopping. */
  candidates: Member[]
  /** When a VM that owns or witnesses something was first missed. */
  missingSinceMs: Map<string, number>
  /** VMs on the platform's list; `null` while that was not asked for. */
  listed: Set<string> | null
  /** The list is not asked for again before this. */
  nextVmListAtMs: number
  /** The object must be read before anything is written. */
  needsRead: boolean
  isReading: boolean
  isWriting: boolean
  retryAtMs: number
  /** Since when something has had to be written, by whichever VM. */
  writeNeededSinceMs: number | null
  /** True when it is this VM's turn to write. */
  isWriteDue: boolean
  isStopping: boolean
  membersChangedAtMs: number
  lastRebalanceAtMs: number
  /** No share of this VM should be elsewhere, as long as members and owners stay. */
  isBalanced: boolean
}

export function createOwnership (self: VmProcess, nowMs: number): OwnershipState {
  return {
    self,
    startedAtMs: nowMs,
    owners: null,
    ownerVms: new Set(),
    hasReadOwners: false,
    localShares: new Map(),
    leaseUntilMs: -Infinity,
    proofRound: null,
    nextNonce: 1,
    confirmedVersion: -1,
    members: [],
    candidates: [],
    missingSinceMs: new Map(),
    listed: null,
    nextVmListAtMs: -Infinity,
    needsRead: true,
    isReading: false,
    isWriting: false,
    retryAtMs: -Infinity,
    writeNeededSinceMs: null,
    isWriteDue: false,
    isStopping: false,
    membersChangedAtMs: nowMs,
    lastRebalanceAtMs: -Infinity,
    isBalanced: false
  }
}

export const emptyOwners: LimitOwners = { shares: {}, witnesses: [], previousWitnesses: [] }
