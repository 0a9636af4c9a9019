import type { Clock, Logger } from '@camphorpitch/wire'
import { z } from 'zod'
import { computeRank, type MemberState } from '../fleet/members.ts'
import { RevisionConflictError } from '../metadata/errors.ts'
import type { MetadataStore } from '../metadata/metadata-store.ts'
import type { Revision } from '../metadata/revision.ts'
import type { QuotaCounter } from './quota-counter.ts'

const OBJECT_NAME = 'pressed'
const READ_RETRY_DELAY_MS = 300
const MAX_READ_ATTEMPTS = 10

/** Demand changes slowly, so it is written only at this interval, or whenever the set of workspaces near their limit changes. */
const DEMAND_INTERVAL_MS = 10_000

const recordSchema = z.object({
  /** Epoch of the store in which the record was written. */
  epoch: z.number().default(0),
  /** Workspaces near their limit. */
  pressed: z.array(z.string()),
  /** For each VM, the operations requested from it in a window, as pairs of workspace and count. */
  demand: z.record(z.string(), z.array(z.tuple([z.string(), z.number()]))).default({})
})

export interface QuotaRecordOptions {
  store: MetadataStore
  clock: Clock
  logger: Logger
  members: MemberState
  quotas: QuotaCounter
}

/**
 * Keeps a record in the store of the workspaces near their limit and of the demand on each VM. When all VMs restart, they
 * read from it which workspaces may use their burst at once, and compute their shares from the recorded demand.
 * One VM, the first in rank, writes the record. After the store has returned from an older copy it is written again; one
 * from before is not used.
 */
export class QuotaRecord {
  readonly #options: QuotaRecordOptions
  #revision: Revision | null = null
  #writtenNearLimit: string | undefined
  #writtenAtMs = -Infinity
  #isWriting = false

  constructor (options: QuotaRecordOptions) {
    this.#options = options
    options.store.epochs.subscribe(() => { this.#writtenAtMs = -Infinity })
  }

  /** Starts to read the record that was written before this process started; retries if that fails. */
  start (): void {
    this.#read(MAX_READ_ATTEMPTS).catch((error: unknown) => this.#options.logger.error('reading the quota record failed', { error: String(error) }))
  }

  /** Writes the record if it is due, this VM is the one to write it, and it has counted for a whole window. */
  update (): void {
    const { clock, members, quotas, logger } = this.#options
    if (!quotas.isSettled) return
    const nearLimit = quotas.listNearLimit()
    const isWriter = computeRank(members, OBJECT_NAME, clock.readNow()) === 0
    const isDue = this.#writtenNearLimit !== nearLimit.join() || clock.readNow() - this.#writtenAtMs >= DEMAND_INTERVAL_MS
    if (!isWriter || this.#isWriting || !isDue) return
    this.#isWriting = true
    this.#write(nearLimit).catch((error: unknown) => logger.info('writing the quota record failed', { reason: String(error) }))
      .finally(() => { this.#isWriting = false })
  }

  async #read (attemptsLeft: number): Promise<void> {
    const { store, logger, quotas } = this.#options
    try {
      const storedObject = await store.find('quotas', OBJECT_NAME)
      const record = recordSchema.safeParse(storedObject?.value)
      this.#revision = storedObject?.revision ?? null
      if (!record.success) return
      const { pressed, demand, epoch } = record.data
      if (epoch !== this.#revision?.epoch) {
        logger.info('quota record not used, the metadata store has returned from an older copy', { epoch, storeEpoch: this.#revision?.epoch })
        return
      }
      logger.info('quota record read', { pressed })
      quotas.applyRecord(pressed, demand)
    } catch (error) {
      if (attemptsLeft <= 1) throw error
      await new Promise(resolve => setTimeout(resolve, READ_RETRY_DELAY_MS))
      await this.#read(attemptsLeft - 1)
    }
  }

  async #write (pressed: string[]): Promise<void> {
    const { store, logger, clock, quotas } = this.#options
    try {
      this.#revision = await store.write('quotas', OBJECT_NAME, { epoch: store.epochs.current, pressed, demand: quotas.listAllDemand() }, this.#revision)
      this.#writtenNearLimit = pressed.join()
      this.#writtenAtMs = clock.readNow()
      logger.info('quota record written', { pressed })
    } catch (error) {
      if (!(error instanceof RevisionConflictError)) throw error
      this.#revision = (await store.find('quotas', OBJECT_NAME))?.revision ?? null
    }
  }
}
