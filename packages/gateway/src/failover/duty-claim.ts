import type { Clock, Logger } from '@camphorpitch/wire'
import { z } from 'zod'
import { RevisionConflictError } from '../metadata/errors.ts'
import type { MetadataStore, StoredObject } from '../metadata/metadata-store.ts'
import { isSameRevision, type Revision } from '../metadata/revision.ts'

/** Another VM may take over a claim that it has seen unchanged for this long. */
export const CLAIM_TAKEOVER_MS = 4_000
/** The holder of a claim acts on it for at most this long, so that it stops well before another VM may take the claim over. */
export const CLAIM_VALID_MS = 2_800

const claimSchema = z.object({ holder: z.string().nullable(), incarnation: z.number() })

/** The right of one VM to change the primary of a service. Lapses after `CLAIM_VALID_MS`. */
export interface Claim {
  service: string
  /** Grows with each claim of the service. */
  fencingToken: number
  revision: Revision
  /** Time at which the claim was sent to the store, on this VM's clock. */
  claimedAtMs: number
}

export interface DutyClaimsOptions {
  store: MetadataStore
  clock: Clock
  logger: Logger
  vm: string
  incarnation: number
}

/** Another VM's claim, with the time since when this VM has seen it unchanged. */
interface ObservedClaim { revision: Revision, sinceMs: number }

/**
 * Claims on the failover duty. Each service has one object in the store, which is changed by conditional updates only.
 *
 * The fencing token is the object's revision, so it grows with each claim of any VM.
 */
export class DutyClaims {
  readonly #options: DutyClaimsOptions
  readonly #observed = new Map<string, ObservedClaim>()

  constructor (options: DutyClaimsOptions) {
    this.#options = options
  }

  /**
   * Claims the failover duty for a service.
   *
   * @returns `null` if another VM holds the claim
   * @throws MetadataError if the store did not respond
   */
  async claim (service: string): Promise<Claim | null> {
    const { store, clock, vm, incarnation } = this.#options
    const name = formatObjectName(service)
    const current = await store.find('duties', name)
    if (current !== undefined && !this.#isFree(service, current)) return null
    const claimedAtMs = clock.readNow()
    try {
      const revision = await store.write('duties', name, { holder: vm, incarnation }, current?.revision ?? null)
      this.#observed.delete(service)
      return { service, fencingToken: revision.number, revision, claimedAtMs }
    } catch (error) {
      if (error instanceof RevisionConflictError) return null
      throw error
    }
  }

  /** Whether this VM may still act on the claim. */
  isUsable (claim: Claim): boolean {
    return this.#options.clock.readNow() - claim.claimedAtMs < CLAIM_VALID_MS
  }

  /** Releases the claim, so that other VMs need not wait until they may take it over. Failures are only logged. */
  async release (claim: Claim): Promise<void> {
    const { store, logger, incarnation } = this.#options
    try {
      await store.write('duties', formatObjectName(claim.service), { holder: null, incarnation }, claim.revision)
    } catch (error) {
      logger.info('releasing the failover claim failed', { service: claim.service, reason: String(error) })
    }
  }

  #isFree (service: string, { revision, value }: StoredObject<unknown>): boolean {
    const { clock, vm } = this.#options
    const claim = claimSchema.safeParse(value)
    if (!claim.success || claim.data.holder === null || claim.data.holder === vm) return true
    const nowMs = clock.readNow()
    const observed = this.#observed.get(service)
    if (observed !== undefined && isSameRevision(observed.revision, revision)) return nowMs - observed.sinceMs >= CLAIM_TAKEOVER_MS
    this.#observed.set(service, { revision, sinceMs: nowMs })
    return false
  }
}

function formatObjectName (service: string): string {
  return `failover-${service}`
}
