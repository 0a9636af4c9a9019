import type { Clock } from '@camphorpitch/wire'
import { listPossiblyRunning, type MemberState } from '../fleet/members.ts'
import type { ClaimsReported, ClaimsWanted } from '../fleet/message-schemas.ts'
import type { MetadataStore } from '../metadata/metadata-store.ts'

const RESPONSE_TIMEOUT_MS = 250

export interface ClaimInquiriesOptions {
  store: MetadataStore
  clock: Clock
  members: MemberState
  /** Whether this VM may be acting on a claim. */
  isClaimHeld: (service: string) => boolean
  send: (vm: string, message: ClaimsWanted | ClaimsReported) => void
}

interface PendingInquiry { unansweredVms: Set<string>, finish: (isConfirmed: boolean) => void }

/**
 * Asks the other VMs whether they act on a claim that the store may have lost. An inquiry tells the epoch, so a VM that
 * answers acts on no claim of an earlier one any more.
 */
export class ClaimInquiries {
  readonly #options: ClaimInquiriesOptions
  readonly #pending = new Map<number, PendingInquiry>()
  #lastInquiry = 0

  constructor (options: ClaimInquiriesOptions) {
    this.#options = options
  }

  /** Asks all VMs that may be running. Resolves to whether each of them answered in time that it acts on no claim and knows the epoch. */
  async confirmNoClaims (service: string, epoch: number): Promise<boolean> {
    const { members, clock, send } = this.#options
    const vms = listPossiblyRunning(members, clock.readNow()).map(m => m.entry.vm)
    if (!members.hasMemberList) return false
    if (vms.length === 0) return true
    const inquiry = ++this.#lastInquiry
    const result = await new Promise<boolean>(resolve => {
      const timer = setTimeout(() => resolve(false), RESPONSE_TIMEOUT_MS)
      const finish = (isConfirmed: boolean): void => {
        clearTimeout(timer)
        resolve(isConfirmed)
      }
      this.#pending.set(inquiry, { unansweredVms: new Set(vms), finish })
      for (const vm of vms) send(vm, { type: 'claimsWanted', inquiry, service, epoch })
    })
    this.#pending.delete(inquiry)
    return result
  }

  /** Answers another VM's inquiry, or records the answer to one of this VM. */
  handleMessage (vm: string, message: ClaimsWanted | ClaimsReported): void {
    if (message.type === 'claimsWanted') this.#respond(vm, message)
    else this.#recordAnswer(vm, message)
  }

  #respond (vm: string, { inquiry, service, epoch }: ClaimsWanted): void {
    const { store, isClaimHeld, send } = this.#options
    if (epoch > store.epochs.current) store.epochs.accept(epoch)
    send(vm, { type: 'claimsReported', inquiry, isHeld: epoch !== store.epochs.current || isClaimHeld(service) })
  }

  #recordAnswer (vm: string, { inquiry, isHeld }: ClaimsReported): void {
    const pending = this.#pending.get(inquiry)
    if (pending === undefined) return // The inquiry is over.
    if (isHeld) pending.finish(false)
    pending.unansweredVms.delete(vm)
    if (pending.unansweredVms.size === 0) pending.finish(true)
  }
}
