import { pickLaterPosition, type LogPosition } from '@camphorpitch/wire'
import type { Revocation } from '../failover/run-promotion.ts'

interface PendingRevocation {
  unconfirmedVms: Set<string>
  acknowledged: LogPosition | null
  finish: () => void
}

/** Adds the position that this VM knows to be acknowledged to the positions that the others have confirmed with. */
export function addLocalPosition (revocation: Revocation, acknowledged: LogPosition | null): Revocation {
  if (acknowledged === null) return revocation
  return { ...revocation, acknowledged: pickLaterPosition(revocation.acknowledged, acknowledged) }
}

/** Collects the confirmations of other VMs that they have revoked a primary's verified leadership. */
export class RevocationCollector {
  readonly #pending = new Map<string, PendingRevocation>()

  /** Waits until all VMs have confirmed an attempt, at most for `waitMs` milliseconds. */
  async collect (attempt: string, vms: readonly string[], waitMs: number): Promise<Revocation> {
    const revocation: PendingRevocation = { unconfirmedVms: new Set(vms), acknowledged: null, finish: () => {} }
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
    return { hasEveryVmConfirmed: revocation.unconfirmedVms.size === 0, acknowledged: revocation.acknowledged }
  }

  /** Records a VM's confirmation; one for an attempt that is not being collected is ignored. */
  confirm (attempt: string, vm: string, acknowledged: LogPosition | undefined): void {
    const revocation = this.#pending.get(attempt)
    if (revocation === undefined) return
    revocation.unconfirmedVms.delete(vm)
    if (acknowledged !== undefined) revocation.acknowledged = pickLaterPosition(revocation.acknowledged, acknowledged)
    if (revocation.unconfirmedVms.size === 0) revocation.finish()
  }
}
