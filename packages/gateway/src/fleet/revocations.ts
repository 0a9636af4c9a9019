import { pickLaterPosition, type LogPosition } from '@camphorpitch/wire'
import type { Revocation } from '../failover/run-promotion.ts'
import type { KnownPrimary } from '../freshness/group-state.ts'

/** What a VM knows of a group when it confirms a revocation. */
export interface Confirmation {
  /** Latest position that the VM knows to be acknowledged. */
  acknowledged: LogPosition | null
  primary: KnownPrimary | null
}

interface PendingRevocation extends Omit<Revocation, 'hasEveryVmConfirmed'> {
  unconfirmedVms: Set<string>
  finish: () => void
}

/** Adds what a VM knows to what the others have confirmed with. */
export function addConfirmation<T extends Omit<Revocation, 'hasEveryVmConfirmed'>> (revocation: T, { acknowledged, primary }: Confirmation): T {
  const isLater = primary !== null && primary.term > (revocation.latestPrimary?.term ?? -1)
  return {
    ...revocation,
    acknowledged: acknowledged === null ? revocation.acknowledged : pickLaterPosition(revocation.acknowledged, acknowledged),
    latestPrimary: isLater ? primary : revocation.latestPrimary
  }
}

/** Collects the confirmations of other VMs that they have revoked a primary's verified leadership. */
export class RevocationCollector {
  readonly #pending = new Map<string, PendingRevocation>()

  /** Waits until all VMs have confirmed an attempt, at most for `waitMs` milliseconds. */
  async collect (attempt: string, vms: readonly string[], waitMs: number): Promise<Revocation> {
    const revocation: PendingRevocation = { unconfirmedVms: new Set(vms), acknowledged: null, latestPrimary: null, finish: () => {} }
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
    const { acknowledged, latestPrimary } = revocation
    return { hasEveryVmConfirmed: revocation.unconfirmedVms.size === 0, acknowledged, latestPrimary }
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
