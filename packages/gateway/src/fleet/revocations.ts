import { pickLaterPosition, type LogPosition } from '@camphorpitch/wire'
import type { Revocation } from '../failover/run-promotion.ts'

interface OpenRevocation {
  missing: Set<string>
  acknowledged: LogPosition | null
  finish: () => void
}

/** Adds what this VM itself knows to be acknowledged to what the others have told. */
export function addOwnPosition (revocation: Revocation, acknowledged: LogPosition | null): Revocation {
  if (acknowledged === null) return revocation
  return { ...revocation, acknowledged: pickLaterPosition(revocation.acknowledged, acknowledged) }
}

/** Collects the confirmations of other VMs that they no longer trust a primary. */
export class RevocationCollector {
  readonly #open = new Map<string, OpenRevocation>()

  /** Waits for the VMs' confirmations of an attempt. */
  async collect (attempt: string, vms: readonly string[], waitMs: number): Promise<Revocation> {
    const revocation: OpenRevocation = { missing: new Set(vms), acknowledged: null, finish: () => {} }
    this.#open.set(attempt, revocation)
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, waitMs)
      revocation.finish = () => {
        clearTimeout(timer)
        resolve()
      }
      if (vms.length === 0) revocation.finish()
    })
    this.#open.delete(attempt)
    return { isEveryVmHeard: revocation.missing.size === 0, acknowledged: revocation.acknowledged }
  }

  confirm (attempt: string, vm: string, acknowledged: LogPosition | undefined): void {
    const revocation = this.#open.get(attempt)
    if (revocation === undefined) return
    revocation.missing.delete(vm)
    if (acknowledged !== undefined) revocation.acknowledged = pickLaterPosition(revocation.acknowledged, acknowledged)
    if (revocation.missing.size === 0) revocation.finish()
  }
}
