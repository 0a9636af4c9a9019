import type { Clock, Logger } from '@camphorpitch/wire'
import { z } from 'zod'
import { RevisionConflictError, type MetadataStore, type StoredObject } from '../metadata/metadata-store.ts'

/** A claim may be taken over once it has been seen unchanged for this long, in milliseconds. */
export const CLAIM_TAKEOVER_MS = 4_000
/** Its holder acts on it for this long at most, in milliseconds: well before it may be taken over. */
export const CLAIM_VALID_MS = 2_800

const claimSchema = z.object({ holder: z.string().nullable(), incarnation: z.number() })

/** The right of one VM to change the primary of a service. */
export interface Claim {
  service: string
  /** Grows with each claim of the service. */
  fencingToken: number
  /** When the claim was sent to the store. */
  claimedAtMs: number
}

export interface DutyClaimsOptions {
  store: MetadataStore
  clock: Clock
  logger: Logger
  vm: string
  incarnation: number
}

interface ObservedClaim { revision: number, sinceMs: number }

/**
 * Claims on the failover duty, one object of the store for each service, changed by conditional updates only.
 *
 * The fencing token is the object's revision, so it grows with each claim, whoever makes it.
 */
export class DutyClaims {
  readonly #options: DutyClaimsOptions
  readonly #observed = new Map<string, ObservedClaim>()

  constructor (options: DutyClaimsOptions) {
    this.#options = options
  }

  /** @returns `null` when another VM holds the claim; rejects when the store does not answer */
  async claim (service: string): Promise<Claim | null> {
    const { store, clock, vm, incarnation } = this.#options
    const name = formatObjectName(service)
    const current = await store.find('duties', name)
    if (current !== undefined && !this.#isFree(service, current)) return null
    const claimedAtMs = clock.readNow()
    try {
      const fencingToken = await store.write('duties', name, { holder: vm, incarnation }, current?.revision ?? null)
      this.#observed.delete(service)
      return { service, fencingToken, claimedAtMs }
    } catch (error) {
      if (error instanceof RevisionConflictError) return null
      throw error
    }
  }

  isUsable (claim: Claim): boolean {
    return this.#options.clock.readNow() - claim.claimedAtMs < CLAIM_VALID_MS
  }

  /** Lets others claim at once. */
  async release (claim: Claim): Promise<void> {
    const { store, logger, incarnation } = this.#options
    try {
      await store.write('duties', formatObjectName(claim.service), { holder: null, incarnation }, claim.fencingToken)
    } catch (error) {
      logger.info('claim not released', { service: claim.service, reason: String(error) })
    }
  }

  #isFree (service: string, { revision, value }: StoredObject<unknown>): boolean {
    const { clock, vm } = this.#options
    const claim = claimSchema.safeParse(value)
    if (!claim.success || claim.data.holder === null || claim.data.holder === vm) return true
    const nowMs = clock.readNow()
    const observed = this.#observed.get(service)
    if (observed?.revision === revision) return nowMs - observed.sinceMs >= CLAIM_TAKEOVER_MS
    this.#observed.set(service, { revision, sinceMs: nowMs })
    return false
  }
}

function formatObjectName (service: string): string {
  return `failover-${service}`
}
