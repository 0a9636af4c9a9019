import { pickLaterPosition, type LogPosition } from '@camphorpitch/wire'
import type { Revocation } from '../failover/promotion-attempt.ts'
import type { KnownOrder, KnownPrimary } from '../freshness/group-state.ts'
import type { EndpointStart, ReportedDeparture } from '../groups/departures.ts'

/** What a VM knows of a group when it confirms a revocation. */
export interface Confirmation {
  /** Latest position that the VM knows to be acknowledged. */
  acknowledged: LogPosition | null
  primary: KnownPrimary | null
  /** The latest primary that the VM has seen to be a replica since. */
  formerPrimary: KnownPrimary | null
  /** An order that the VM knows and that may still take effect. */
  openOrder: KnownOrder | null
  /** The group's endpoints that the VM knows. */
  endpoints: readonly EndpointStart[]
  departures: readonly ReportedDeparture[]
  /** Age of the VM's latest acknowledged commit; `Infinity` if it has none. */
  lastCommitAgeMs: number
  /** Time since the VM's start; 0 if it is not known. */
  uptimeMs: number
  /** Whether the VM knows VMs that were removed from the fleet and may still run. */
  hasMissingVms: boolean
}

/** What the VMs have confirmed a revocation with. */
export interface Confirmations extends Omit<Revocation, 'hasEveryAcknowledgement' | 'hasEveryVm' | 'lastLossAtMs'> {
  /** Age of the latest acknowledged commit of any VM. */
  lastCommitAgeMs: number
  /** Time since the latest start of any VM. */
  uptimeMs: number
  /** Whether any VM knows VMs that were removed from the fleet and may still run. */
  hasMissingVms: boolean
}

interface PendingRevocation extends Omit<Confirmations, 'hasEveryVmConfirmed'> {
  unconfirmedVms: Set<string>
  finish: () => void
}

/** Adds what a VM knows to what the others have confirmed with. */
export function addConfirmation<T extends Omit<Confirmations, 'hasEveryVmConfirmed'>> (
  revocation: T,
  { acknowledged, primary, formerPrimary, openOrder, endpoints, departures, lastCommitAgeMs, uptimeMs, hasMissingVms }: Confirmation
): T {
  return {
    ...revocation,
    acknowledged: acknowledged === null ? revocation.acknowledged : pickLaterPosition(revocation.acknowledged, acknowledged),
    latestPrimary: pickLaterPrimary(revocation.latestPrimary, primary),
    formerPrimary: pickLaterPrimary(revocation.formerPrimary, formerPrimary),
    openOrder: (openOrder?.replacedTerm ?? -1) > (revocation.openOrder?.replacedTerm ?? -1) ? openOrder : revocation.openOrder,
    endpoints: [...revocation.endpoints, ...endpoints],
    departures: [...revocation.departures, ...departures],
    lastCommitAgeMs: Math.min(revocation.lastCommitAgeMs, lastCommitAgeMs),
    uptimeMs: Math.min(revocation.uptimeMs, uptimeMs),
    hasMissingVms: revocation.hasMissingVms || hasMissingVms
  }
}

function pickLaterPrimary (known: KnownPrimary | null, reported: KnownPrimary | null): KnownPrimary | null {
  return reported !== null && reported.term > (known?.term ?? -1) ? reported : known
}

/** Collects the confirmations of other VMs that they have revoked a primary's verified leadership. */
export class RevocationCollector {
  readonly #pending = new Map<string, PendingRevocation>()

  /** Waits until all VMs have confirmed an attempt, at most for `waitMs` milliseconds. */
  async collect (attempt: string, vms: readonly string[], waitMs: number): Promise<Confirmations> {
    const revocation: PendingRevocation = {
      unconfirmedVms: new Set(vms),
      acknowledged: null,
      latestPrimary: null,
      formerPrimary: null,
      openOrder: null,
      endpoints: [],
      departures: [],
      lastCommitAgeMs: Infinity,
      uptimeMs: Infinity,
      hasMissingVms: false,
      finish: () => {}
    }
    this.#pending.set(attempt, revocation)
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, waitMs)
      revocation.finish = () => {
        clearTimeout(timer)
        resolve()
      }
      if (vms.length === 0) revocation.finish()
    })
    this.#pending.delete(attempt)
    const { unconfirmedVms, finish, ...confirmations } = revocation
    return { ...confirmations, hasEveryVmConfirmed: unconfirmedVms.size === 0 }
  }

  /** Records a VM's confirmation; one for an attempt that is not being collected is ignored. */
  confirm (attempt: string, vm: string, confirmation: Confirmation): void {
    const revocation = this.#pending.get(attempt)
    if (revocation === undefined) return
    revocation.unconfirmedVms.delete(vm)
    Object.assign(revocation, addConfirmation(revocation, confirmation))
    if (revocation.unconfirmedVms.size === 0) revocation.finish()
  }
}
