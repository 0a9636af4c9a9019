import type { Clock, Logger } from '@camphorpitch/wire'
import { z } from 'zod'
import { MetadataError, RevisionConflictError } from '../metadata/errors.ts'
import type { MetadataStore, StoredObject } from '../metadata/metadata-store.ts'
import { isSameRevision, type Revision } from '../metadata/revision.ts'
import { CLAIM_TAKEOVER_MS, CLAIM_VALID_MS } from './claim-times.ts'
import { pendingCallSchema, PendingCalls, type PendingCall } from './pending-calls.ts'

const OBJECT_NAME_PREFIX = 'failover-'
/** Number of fencing tokens per epoch of the store; larger than any revision number. */
const TOKENS_PER_EPOCH = 10_000_000_000

const orderSchema = z.object({
  endpoint: z.string(),
  /** Start of the endpoint; once it has started again, the order no longer takes effect. */
  startedAtMs: z.number(),
  /** Term of the primary that it replaces; the order has taken effect once an endpoint leads at a later term. */
  replacedTerm: z.number(),
  /** End of the endpoint's log then; a shorter log shows that it has started again. */
  received: z.object({ term: z.number(), index: z.number() }),
  /** Whether the choice of the endpoint still stands: the record was not read from an older copy of the store, after which it may have been cleared. */
  isProven: z.boolean().default(true),
  /** Whether the platform has accepted it. Another call could take effect on its own, after the endpoint was replaced again. */
  isAccepted: z.boolean().default(false),
  /** Number of times that a VM has waited in vain for the effect of the latest call. */
  waits: z.number().default(0),
  /** Number of calls of the platform that may have been sent and were not refused. */
  calls: z.number().default(1),
  /** Time before the latest call, on the wall clock of its VM. */
  calledAtMs: z.number().default(0)
})

const strayCallSchema = z.object({
  endpoint: z.string(),
  /** Time on the wall clock from which on it is not executed any more. */
  untilMs: z.number()
})

const formerPrimarySchema = z.object({
  endpoint: z.string(),
  startedAtMs: z.number(),
  /** Term that it led. */
  term: z.number(),
  /** End of its log when it had stepped down. */
  received: z.object({ term: z.number(), index: z.number() })
})

const claimSchema = z.object({
  holder: z.string().nullable(),
  incarnation: z.number(),
  /** Epoch of the store in which the claim was written, as far as its holder knew. */
  epoch: z.number().default(0),
  order: orderSchema.nullable().default(null).catch(null),
  formerPrimary: formerPrimarySchema.nullable().default(null).catch(null),
  /** Latest term that an order is known to have begun; 0 if none has, `null` if a later one may have been recorded and lost. */
  promotedTerm: z.number().nullable().default(null).catch(null),
  stray: strayCallSchema.nullable().default(null).catch(null),
  /** Time on the wall clock until which an unanswered command to resume a replica may still be executed; 0 if there is none. */
  resumedUntilMs: z.number().default(0),
  /** A call that may still arrive at the platform. */
  pendingCall: pendingCallSchema.nullable().default(null).catch(null)
})

/** A promotion order that may have been sent and may still take effect. */
export type OpenOrder = z.infer<typeof orderSchema>

/** A primary that has stepped down in an attempt that promoted nothing. Its log is complete unless an order has begun a later term. */
export type FormerPrimary = z.infer<typeof formerPrimarySchema>

/** A call of the platform for an order that is closed, which may still be executed. */
export type StrayCall = z.infer<typeof strayCallSchema>

/** The right of one VM to change the primary of a service. Lapses after `CLAIM_VALID_MS`, or when the store's epoch changes. */
export interface Claim {
  service: string
  /** Grows with each claim of the service. */
  fencingToken: number
  revision: Revision
  /** Time at which the claim was sent to the store, on this VM's clock. */
  claimedAtMs: number
  /** The order that this or an earlier holder recorded before sending it and has not cleared since. */
  order: OpenOrder | null
  formerPrimary: FormerPrimary | null
  /** Latest term that an order is known to have begun; 0 if none has, `null` if a later one may have been recorded and lost. */
  promotedTerm: number | null
  stray: StrayCall | null
  /** Time on the wall clock until which an unanswered command to resume a replica may still be executed; 0 if there is none. */
  resumedUntilMs: number
  /** A call of this or another VM that may still arrive at the platform. */
  pendingCall: PendingCall | null
}

/** What the holders of a claim record in its object. */
type ClaimRecords = Pick<Claim, 'order' | 'formerPrimary' | 'promotedTerm' | 'stray' | 'resumedUntilMs' | 'pendingCall'>

const NO_RECORDS: ClaimRecords = { order: null, formerPrimary: null, promotedTerm: null, stray: null, resumedUntilMs: 0, pendingCall: null }

function pickRecords ({ order, formerPrimary, promotedTerm, stray, resumedUntilMs, pendingCall }: ClaimRecords): ClaimRecords {
  return { order, formerPrimary, promotedTerm, stray, resumedUntilMs, pendingCall }
}

export interface DutyClaimsOptions {
  store: MetadataStore
  /** Advances at least as fast as time passes: what this VM holds ends in time. */
  clock: Clock
  /** Advances at most as fast as time passes: what another VM may hold is waited for in full. `clock` by default. */
  waitClock?: Clock
  logger: Logger
  vm: string
  incarnation: number
  /**
   * Asks all VMs that may be running whether they act on a claim of the service. Resolves to whether each of them has answered
   * that it doesn't, and that it knows the store's epoch. By default claims that the store may have lost are waited for.
   */
  confirmNoClaims?: (service: string, epoch: number) => Promise<boolean>
}

/** A revision of a claim's object, with the time since when this VM has seen it unchanged. */
interface ObservedClaim { revision: Revision, sinceMs: number }

/**
 * Claims on the failover duty. Each service has one object in the store, which is changed by conditional updates only.
 *
 * The fencing token consists of the epoch and the number of the object's revision, so it grows with each claim of any VM,
 * even if the store returns from an older copy and assigns revision numbers again.
 *
 * After such a return the object may be older than the last claim, or overwritten by a call of the epoch before that was
 * executed late. So an object that was not written in the store's epoch is treated like the claim of a VM that may still
 * act on it, unless every VM that may be running denies that.
 */
export class DutyClaims {
  readonly #options: DutyClaimsOptions
  readonly #observed = new Map<string, ObservedClaim>()
  /** When this VM sent the latest claim of each service that it has not released, on `waitClock`. */
  readonly #held = new Map<string, number>()
  readonly #waitClock: Clock
  /** Calls of the platform that may still arrive there. */
  readonly #calls: PendingCalls
  /** When the store's epoch last changed; earlier claims of objects that its copy lacks were made before. */
  #epochChange: { epoch: number, atMs: number } | undefined

  readonly #startedAtMs: number

  constructor (options: DutyClaimsOptions) {
    const { clock, waitClock = clock, vm, incarnation } = options
    this.#options = options
    this.#waitClock = waitClock
    this.#calls = new PendingCalls({ vm, incarnation, waitClock })
    this.#startedAtMs = waitClock.readNow()
    options.store.epochs.subscribe(({ epoch }) => {
      this.#epochChange = { epoch, atMs: waitClock.readNow() }
      this.#recordClaims().catch((error: unknown) => options.logger.info('listing the failover claims failed', { reason: String(error) }))
    })
  }

  /**
   * Claims the failover duty for a service.
   *
   * @returns `null` if another VM holds the claim, or may hold it, or if no order is open and a call of another VM may still arrive
   * @throws MetadataError if the store did not respond
   */
  async claim (service: string): Promise<Claim | null> {
    const { store, logger } = this.#options
    const current = await store.find('duties', formatObjectName(service))
    const records = this.#readRecords(current)
    const callDelayMs = this.#calls.measureDelayMs(service, records.pendingCall)
    if (!this.#isFree(service, current) && !await this.#confirmUnclaimed(service, current)) return null
    if (callDelayMs > 0 && records.order === null) {
      const inputs = { service, callDelayMs, pendingCall: records.pendingCall }
      logger.info('failover claim not taken, a call of another vm may still arrive at the platform', inputs)
      return null
    }
    const observedMs = this.#measureObserved(service, current)
    this.#calls.adopt(service, records.pendingCall)
    const claim = await this.#write(service, current, records)
    if (claim === null) return null
    const { fencingToken, order } = claim
    logger.info('failover claim taken', { service, fencingToken, previous: describeHolder(current), observedMs, order })
    return claim
  }

  /** Measures how long no call may be made with the claim, as one of another VM may still arrive after it, in milliseconds. */
  measureCallDelayMs ({ service, pendingCall }: Claim): number {
    return this.#calls.measureDelayMs(service, pendingCall)
  }

  /**
   * Begins the call whose order was recorded.
   *
   * @returns the fencing token to call with: that of an earlier call of this VM while it may still arrive, otherwise that of the claim
   */
  beginCall ({ service, fencingToken }: Claim): number {
    return this.#calls.begin(service, fencingToken)
  }

  /** Ends the call whose order was recorded; `isUnanswered` if it was sent and may still arrive. */
  endCall ({ service }: Claim, isUnanswered: boolean): void {
    this.#calls.end(service, isUnanswered)
  }

  /**
   * Records an order and the call to come in the claim's object, so that a VM that claims later knows of them.
   *
   * @returns the claim to use, with a new fencing token; `null` if the claim is no longer usable
   * @throws MetadataError if the store did not respond; the order may have been recorded
   * @example claim = await claims.recordOrder(claim, { endpoint: 'orders-2', startedAtMs: 1700000000000, replacedTerm: 6, isProven: true, isAccepted: false, waits: 0, calls: 1, calledAtMs: Date.now(), received: { term: 6, index: 120 } })
   */
  async recordOrder (claim: Claim, order: OpenOrder): Promise<Claim | null> {
    if (!this.isUsable(claim)) return null
    this.#calls.plan(claim.service)
    return await this.#write(claim.service, claim, { ...claim, order, formerPrimary: null })
  }

  /**
   * Records in the claim's object what has become of the order after its call.
   *
   * @returns the claim to use; `null` if it is no longer usable
   * @throws MetadataError if the store did not respond
   */
  async updateOrder (claim: Claim, order: OpenOrder): Promise<Claim | null> {
    return this.isUsable(claim) ? await this.#write(claim.service, claim, { ...claim, order, formerPrimary: null }) : null
  }

  /**
   * Clears the order of a claim that this VM holds, also one whose record the store did not confirm.
   *
   * @returns the claim to use; `null` if another VM has claimed the duty since
   * @throws MetadataError if the store did not respond
   */
  async removeOrder (claim: Claim): Promise<Claim | null> {
    const { store, vm, incarnation } = this.#options
    const current = await store.find('duties', formatObjectName(claim.service))
    const value = claimSchema.safeParse(current?.value)
    const isHolder = value.success && value.data.holder === vm && value.data.incarnation === incarnation
    return isHolder && this.#isOfCurrentEpoch(current!) ? await this.#write(claim.service, current, { ...claim, order: null }) : null
  }

  /** Whether this VM may be acting on a claim of the service, or an order sent on the strength of one may still be on its way, also from before its start. */
  isHeld (service: string): boolean {
    const heldSinceMs = this.#held.get(service) ?? this.#startedAtMs
    return this.#waitClock.readNow() - heldSinceMs < CLAIM_TAKEOVER_MS || this.#calls.hasOwn(service)
  }

  /** Asks the other VMs about a claim that the store may have lost. Only if this VM saw the epoch change: one that started later may not know all VMs. */
  async #confirmUnclaimed (service: string, current: StoredObject<unknown> | undefined): Promise<boolean> {
    const { store, confirmNoClaims } = this.#options
    const epoch = store.epochs.current
    const mayBeLost = current === undefined || !this.#isOfCurrentEpoch(current)
    if (!mayBeLost || confirmNoClaims === undefined || this.#epochChange?.epoch !== epoch || this.isHeld(service)) return false
    return await confirmNoClaims(service, epoch) && store.epochs.current === epoch
  }

  /** Whether this VM may still act on the claim. */
  isUsable (claim: Claim): boolean {
    return this.#isInTime(claim) && claim.revision.epoch === this.#options.store.epochs.current
  }

  /**
   * Ensures that this VM may act on the claim. If the store has returned from an older copy since, the claim is written again:
   * while it is valid, no VM can have made another one, neither before the return nor after it.
   *
   * @returns the claim to use, with another fencing token if it was written again; `null` if it is no longer usable
   * @throws MetadataError if the store did not respond
   */
  async ensureUsable (claim: Claim): Promise<Claim | null> {
    if (this.isUsable(claim)) return claim
    if (!this.#isInTime(claim)) return null
    const { store, logger } = this.#options
    const current = await store.find('duties', formatObjectName(claim.service))
    const isClaimedAgain = current !== undefined && this.#isOfCurrentEpoch(current)
    if (!this.#isInTime(claim) || isClaimedAgain) return null
    const claimedAgain = await this.#write(claim.service, current, claim)
    if (claimedAgain !== null) logger.warn('failover claim written again, the metadata store has returned from an older copy', { service: claim.service, previousToken: claim.fencingToken, fencingToken: claimedAgain.fencingToken })
    return claimedAgain
  }

  /** Releases the claim, with its order if it has one, so that other VMs need not wait until they may take it over. Failures are only logged. */
  async release (claim: Claim): Promise<void> {
    const { store, clock, logger, incarnation } = this.#options
    this.#held.delete(claim.service)
    const { service, fencingToken, order } = claim
    logger.info('failover claim released', { service, fencingToken, claimAgeMs: Math.round(clock.readNow() - claim.claimedAtMs), order })
    try {
      const released = { holder: null, incarnation, epoch: claim.revision.epoch, ...this.#describeRecords(claim.service, claim) }
      await store.write('duties', formatObjectName(claim.service), released, claim.revision)
    } catch (error) {
      logger.info('releasing the failover claim failed', { service: claim.service, reason: String(error) })
    }
  }

  /** Describes the claim's records for its object, with the present age of a call. */
  #describeRecords (service: string, records: ClaimRecords): ClaimRecords {
    return { ...pickRecords(records), pendingCall: this.#calls.describe(service, records.pendingCall) }
  }

  #isInTime ({ claimedAtMs }: Claim): boolean {
    return this.#options.clock.readNow() - claimedAtMs < CLAIM_VALID_MS
  }

  /** Writes a claim in place of what was found. @returns `null` if the object has changed since */
  async #write (
    service: string,
    current: Pick<StoredObject<unknown>, 'revision'> | undefined,
    records: ClaimRecords
  ): Promise<Claim | null> {
    const { store, clock, vm, incarnation } = this.#options
    const claimedAtMs = clock.readNow()
    const heldSinceMs = this.#waitClock.readNow()
    const described = this.#describeRecords(service, records)
    try {
      const value = { holder: vm, incarnation, epoch: store.epochs.current, ...described }
      const revision = await store.write('duties', formatObjectName(service), value, current?.revision ?? null)
      this.#observed.delete(service)
      const claim = { service, fencingToken: computeFencingToken(revision), revision, claimedAtMs, ...described }
      this.#held.set(service, heldSinceMs)
      return claim
    } catch (error) {
      if (error instanceof RevisionConflictError) return null
      throw error
    }
  }

  #isFree (service: string, current: StoredObject<unknown> | undefined): boolean {
    const { vm, store } = this.#options
    const epoch = store.epochs.current
    if (current === undefined && epoch === 0) return true
    const claim = claimSchema.safeParse(current?.value)
    if (current !== undefined && this.#isOfCurrentEpoch(current) && (!claim.success || claim.data.holder === null || claim.data.holder === vm)) return true
    const nowMs = this.#waitClock.readNow()
    const sinceMs = this.#recordObserved(service, current?.revision ?? { epoch, number: 0 }, nowMs)
    return nowMs - sinceMs >= CLAIM_TAKEOVER_MS
  }

  /** Reads what earlier holders have recorded. In an older copy of the store an order may have been cleared since, and another one recorded. */
  #readRecords (current: StoredObject<unknown> | undefined): ClaimRecords {
    const claim = claimSchema.safeParse(current?.value)
    // In the first epoch no object has been lost.
    if (current === undefined) return { ...NO_RECORDS, promotedTerm: this.#options.store.epochs.current === 0 ? 0 : null }
    if (!claim.success) return NO_RECORDS
    const { order, formerPrimary, promotedTerm, stray, resumedUntilMs, pendingCall } = claim.data
    const hasUnreadableOrder = order === null && (current.value as { order?: unknown }).order != null
    if (hasUnreadableOrder) this.#options.logger.warn('promotion order recorded in the failover claim is not readable, it is not waited for', { name: current.name })
    if (this.#isOfCurrentEpoch(current)) {
      return { order, formerPrimary, promotedTerm, stray, resumedUntilMs, pendingCall: readToken(pendingCall, current.revision) }
    }
    // Later claims may be lost, so the token of the call may not be the latest one.
    const unprovenOrder = order === null ? null : { ...order, isProven: false }
    const callOfUnknownToken = pendingCall === null ? null : { ...pendingCall, fencingToken: undefined }
    return { order: unprovenOrder, formerPrimary: null, promotedTerm: null, stray, resumedUntilMs, pendingCall: callOfUnknownToken }
  }

  /** Whether the object was written in the store's epoch, by a VM that knew the epoch. */
  #isOfCurrentEpoch ({ revision, value }: StoredObject<unknown>): boolean {
    const { current } = this.#options.store.epochs
    const claim = claimSchema.safeParse(value)
    return revision.epoch === current && (claim.success ? claim.data.epoch : 0) === current
  }

  /** Reads since when this VM has seen a revision of a claim's object, and records it if it is new. The number 0 stands for no object. */
  #recordObserved (service: string, revision: Revision, nowMs: number): number {
    const observed = this.#observed.get(service)
    if (observed !== undefined && isSameRevision(observed.revision, revision)) return observed.sinceMs
    const isMissingSinceChange = revision.number === 0 && this.#epochChange?.epoch === revision.epoch
    const sinceMs = isMissingSinceChange ? this.#epochChange!.atMs : nowMs
    this.#observed.set(service, { revision, sinceMs })
    return sinceMs
  }

  /** Measures for how long this VM has seen an object unchanged; `null` if it sees it for the first time, or did not need to wait. */
  #measureObserved (service: string, current: StoredObject<unknown> | undefined): number | null {
    const observed = this.#observed.get(service)
    const isSame = observed !== undefined && current !== undefined && isSameRevision(observed.revision, current.revision)
    return isSame ? Math.round(this.#waitClock.readNow() - observed.sinceMs) : null
  }

  /** Observes all claims, so that the wait until they may be taken over begins now. */
  async #recordClaims (): Promise<void> {
    const { items } = await this.#options.store.list('duties')
    for (const { name, revision } of items) this.#recordObserved(parseObjectName(name), revision, this.#waitClock.readNow())
  }
}

/** Reads the token of a call whose record was written before the token was known: that of the record's revision. */
function readToken (pendingCall: PendingCall | null, revision: Revision): PendingCall | null {
  return pendingCall?.fencingToken === null ? { ...pendingCall, fencingToken: computeFencingToken(revision) } : pendingCall
}

/** Describes for the log who held a claim before, and with which revision. */
function describeHolder (current: StoredObject<unknown> | undefined): object | null {
  const parsed = claimSchema.safeParse(current?.value)
  if (current === undefined || !parsed.success) return null
  const { holder, incarnation } = parsed.data
  return { holder, incarnation, revision: current.revision }
}

function computeFencingToken ({ epoch, number }: Revision): number {
  const token = epoch * TOKENS_PER_EPOCH + number
  if (number >= TOKENS_PER_EPOCH || !Number.isSafeInteger(token)) throw new MetadataError(`no fencing token can be computed from epoch ${epoch}, revision ${number} of the metadata store`)
  return token
}

function formatObjectName (service: string): string {
  return `${OBJECT_NAME_PREFIX}${service}`
}

function parseObjectName (name: string): string {
  return name.slice(OBJECT_NAME_PREFIX.length)
}
