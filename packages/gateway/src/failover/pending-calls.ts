import type { Clock } from '@camphorpitch/wire'
import { z } from 'zod'
import { CALL_ARRIVAL_MS } from './claim-times.ts'

/** Longest difference between the wall clocks of two VMs, and of one before and after it was set. */
const MAX_WALL_DIFFERENCE_MS = 20_000

export const pendingCallSchema = z.object({
  vm: z.string(),
  incarnation: z.number(),
  /** Counts the calls of that start of the VM. */
  number: z.number(),
  /** Time that had passed since the record of the call at least, when this was written, in milliseconds. */
  ageMs: z.number().nonnegative(),
  /** Token of the call; `null` if it is that of the revision of the claim's object; absent if it is not known. */
  fencingToken: z.number().nullable().optional(),
  /** Wall clock of the VM that wrote this. */
  writtenAtMs: z.number()
})

/** A call of the platform that may still arrive there, as the claim's object tells it. */
export type PendingCall = z.infer<typeof pendingCallSchema>

/** A call of this VM. */
interface OwnCall {
  number: number
  /** Token of the first call that may still arrive; later ones use the same. `null` before the first is made. */
  fencingToken: number | null
  /** Time at which the latest call that was not answered was recorded; `null` if there is none. */
  unansweredSinceMs: number | null
  /** Time at which the call that is being made was recorded; `null` if none is. */
  recordedAtMs: number | null
}

export interface PendingCallsOptions {
  vm: string
  incarnation: number
  /** Does not advance faster than time passes. */
  waitClock: Clock
}

/**
 * The calls of the platform that may still arrive there. To end a request takes back nothing that was written: the call may be with a
 * kernel, or unread. So no call with another token is made before an earlier one was answered, or can't arrive any more.
 *
 * A VM that calls again while a call of its own may arrive uses the same token, also after it has started again. Other VMs learn of the call
 * from the claim's object, which tells how old it is at least, and wait for the rest.
 */
export class PendingCalls {
  readonly #options: PendingCallsOptions
  readonly #own = new Map<string, OwnCall>()
  #lastNumber = 0
  /** Calls of others, with the age at which this VM saw them first. */
  readonly #seen = new Map<string, { call: PendingCall, ageMs: number, sinceMs: number }>()

  constructor (options: PendingCallsOptions) {
    this.#options = options
  }

  /**
   * Takes over what the claim's object tells when the claim is taken. A call that another VM has recorded ends what this VM may repeat; one of
   * an earlier start of this VM becomes its own.
   */
  adopt (service: string, recorded: PendingCall | null): void {
    if (recorded === null || !this.#isOwn(service, recorded)) this.#own.delete(service)
    if (recorded === null) return
    const ageMs = this.#measureAgeMs(service, recorded)
    if (!this.#isOfEarlierStart(recorded)) return
    const unansweredSinceMs = this.#options.waitClock.readNow() - ageMs
    this.#own.set(service, { number: ++this.#lastNumber, fencingToken: recorded.fencingToken, unansweredSinceMs, recordedAtMs: null })
  }

  /** Plans a call, before it is recorded. */
  plan (service: string): void {
    const earlier = this.#findOwn(service) === null ? undefined : this.#own.get(service)
    const { fencingToken = null, unansweredSinceMs = null } = earlier ?? {}
    this.#own.set(service, { number: ++this.#lastNumber, fencingToken, unansweredSinceMs, recordedAtMs: this.#options.waitClock.readNow() })
  }

  /** Begins the planned call. @returns the token to call with: that of an earlier call which may still arrive, or that of the claim */
  begin (service: string, claimToken: number): number {
    const own = this.#own.get(service)
    const fencingToken = own?.fencingToken ?? claimToken
    if (own !== undefined) this.#own.set(service, { ...own, fencingToken })
    return fencingToken
  }

  /** Ends the planned call; `isUnanswered` if it was sent and may still arrive. */
  end (service: string, isUnanswered: boolean): void {
    const own = this.#own.get(service)
    if (own === undefined) return
    const unansweredSinceMs = isUnanswered ? own.recordedAtMs : own.unansweredSinceMs
    if (unansweredSinceMs === null) this.#own.delete(service)
    else this.#own.set(service, { ...own, unansweredSinceMs, recordedAtMs: null })
  }

  /** Whether a call of this VM may still arrive. */
  hasOwn (service: string): boolean {
    return this.#findOwn(service) !== null
  }

  /** Describes for the claim's object the call that may still arrive; `null` if there is none. */
  describe (service: string, recorded: PendingCall | null): PendingCall | null {
    const { vm, incarnation, waitClock } = this.#options
    const own = this.#findOwn(service)
    if (own !== null) {
      const { number, fencingToken, sinceMs } = own
      return { vm, incarnation, number, fencingToken, ageMs: waitClock.readNow() - sinceMs, writtenAtMs: Date.now() }
    }
    if (recorded === null || this.measureDelayMs(service, recorded) === 0) return null
    return { ...recorded, ageMs: this.#measureAgeMs(service, recorded), writtenAtMs: Date.now() }
  }

  /** Measures how long this VM must not call because of a call that it has not made itself, in milliseconds. */
  measureDelayMs (service: string, recorded: PendingCall | null): number {
    if (recorded === null || this.#isOwn(service, recorded) || this.#isOfEarlierStart(recorded)) return 0
    const isLongAgo = Date.now() - recorded.writtenAtMs + recorded.ageMs >= CALL_ARRIVAL_MS + MAX_WALL_DIFFERENCE_MS
    return isLongAgo ? 0 : Math.max(0, CALL_ARRIVAL_MS - this.#measureAgeMs(service, recorded))
  }

  #isOwn (service: string, { vm, incarnation, number }: PendingCall): boolean {
    const isOfThisStart = vm === this.#options.vm && incarnation === this.#options.incarnation
    const own = this.#own.get(service)
    return isOfThisStart && (own === undefined || own.number >= number)
  }

  /** Whether a call is of an earlier start of this VM, and its token is known, so that this VM can repeat it. */
  #isOfEarlierStart (recorded: PendingCall): recorded is PendingCall & { fencingToken: number } {
    return recorded.vm === this.#options.vm && recorded.incarnation < this.#options.incarnation && typeof recorded.fencingToken === 'number'
  }

  #findOwn (service: string): { number: number, sinceMs: number, fencingToken: number | null } | null {
    const own = this.#own.get(service)
    if (own === undefined) return null
    const sinceMs = Math.max(own.recordedAtMs ?? -Infinity, own.unansweredSinceMs ?? -Infinity)
    const mayArrive = own.recordedAtMs !== null || this.#options.waitClock.readNow() - sinceMs < CALL_ARRIVAL_MS
    if (!mayArrive) this.#own.delete(service)
    return mayArrive ? { number: own.number, sinceMs, fencingToken: own.fencingToken } : null
  }

  /** Measures the least age of a recorded call: what its record tells, and the time since this VM saw it first. */
  #measureAgeMs (service: string, recorded: PendingCall): number {
    const nowMs = this.#options.waitClock.readNow()
    const seen = this.#seen.get(service)
    const isSame = seen?.call.vm === recorded.vm && seen.call.incarnation === recorded.incarnation && seen.call.number === recorded.number
    const ageMs = Math.max(recorded.ageMs, isSame ? seen.ageMs + nowMs - seen.sinceMs : 0)
    this.#seen.set(service, { call: recorded, ageMs, sinceMs: nowMs })
    return ageMs
  }
}
