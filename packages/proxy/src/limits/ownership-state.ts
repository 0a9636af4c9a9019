import type { LimitOwners } from '@camphorpitch/wire'
import type { Member } from '../membership/membership-view.ts'
import type { VmProcess } from './effects.ts'
import type { VersionedOwners } from './messages.ts'

/** A share that the owners object assigns to this VM. */
export interface LocalShare {
  /** Epoch of the share in the owners object; each assignment increases it. */
  epoch: number
  /** When this VM may begin to count the share; infinite until a majority of the previous witnesses is known to know of the change. */
  readyAtMs: number
  /** Set while the share is being handed over; this VM then grants none of its tokens. */
  handover: Handover | null
}

/** The state of giving up one share. */
export interface Handover {
  /** When the last token that this VM granted from the share expires. */
  grantsExpireAtMs: number
  /** False when earlier owners may still count the share, so that the next owner must wait until they cannot. */
  wasReady: boolean
  /** Version on which a write of the owners object with unknown outcome was based; `null` when there is none. */
  uncertainBaseVersion: number | null
}

/** One proof request sent to all witnesses, and the versions in their replies. */
export interface ProofRound {
  nonce: number
  sentAtMs: number
  /** Version of the owners object that this VM knew when it sent the request. */
  version: number
  /** Versions by witness VM. */
  replies: Map<string, number>
}

export interface OwnershipState {
  self: VmProcess
  startedAtMs: number
  /** Newest known version of the owners object. `null` before this process learns of one; version 0 when the object does not exist. */
  owners: VersionedOwners | null
  /** VMs that own at least one share. */
  ownerVms: Set<string>
  /** True once this process has read the owners object from the object service; until then it does not act as a witness. */
  hasReadOwners: boolean
  /** Keyed by share name. */
  localShares: Map<string, LocalShare>
  /** End of the lease within which a majority of witnesses has confirmed that no other VM has taken over. */
  leaseUntilMs: number
  proofRound: ProofRound | null
  nextNonce: number
  /** Newest version that a majority of the previous witnesses is known to know. */
  confirmedVersion: number
  members: Member[]
  /** Members that may be assigned shares; includes this VM only while it is not stopping. */
  candidates: Member[]
  /** When each VM that owns shares or is a witness was first found missing from the members. */
  missingSinceMs: Map<string, number>
  /** VMs on the platform's list; `null` when this VM has no list that is still of use. */
  listed: Set<string> | null
  /** Earliest time of the next request for the platform's list of VMs. */
  nextVmListAtMs: number
  /** True when the owners object must be read before it may be written. */
  needsRead: boolean
  isReading: boolean
  isWriting: boolean
  /** Earliest time of the next read or write of the owners object. */
  retryAtMs: number
  /** Since when a new version of the owners object has been needed, whichever VM writes it; `null` when none is needed. */
  writeNeededSinceMs: number | null
  /** True when a new version is needed and it is this VM's turn to write it. */
  isWriteDue: boolean
  isStopping: boolean
  membersChangedAtMs: number
  lastRebalanceAtMs: number
  /** True when no share of this VM should move to another VM; holds until members or owners change. */
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

/** Value used while the owners object does not exist. */
export const emptyOwners: LimitOwners = { shares: {}, witnesses: [], previousWitnesses: [] }
