import type { Clock, Logger } from '@camphorpitch/wire'
import { z } from 'zod'
import { computeRank, type MemberState } from '../fleet/members.ts'
import { RevisionConflictError, type MetadataStore } from '../metadata/metadata-store.ts'
import type { QuotaKeeper } from './quota-keeper.ts'

const OBJECT_NAME = 'pressed'
const READ_RETRY_DELAY_MS = 300
const MAX_READ_ATTEMPTS = 10

/** Demand moves slowly; it is written with a change of the pressed workspaces, and else this often, in milliseconds. */
const DEMAND_INTERVAL_MS = 10_000

const recordSchema = z.object({
  pressed: z.array(z.string()),
  /** Operations that each VM was asked for in a window, by workspace. */
  demand: z.record(z.string(), z.array(z.tuple([z.string(), z.number()]))).default({})
})

export interface QuotaRecordOptions {
  store: MetadataStore
  clock: Clock
  logger: Logger
  members: MemberState
  quotas: QuotaKeeper
}

/**
 * Keeps in the store which workspaces are near their limits, so that VMs that all start again know which
 * others may use their burst at once. One VM writes, when the set changes, and from time to time what each VM is asked for, which gives them their parts.
 */
export class QuotaRecord {
  readonly #options: QuotaRecordOptions
  #revision: number | null = null
  #writtenNearLimit: string | undefined
  #writtenAtMs = -Infinity
  #isWriting = false

  constructor (options: QuotaRecordOptions) {
    this.#options = options
  }

  /** Reads what was recorded before this start. */
  start (): void {
    this.#read(MAX_READ_ATTEMPTS).catch((error: unknown) => this.#options.logger.error('record of pressed workspaces not read', { error: String(error) }))
  }

  /** Records what has changed, if this VM is the one to write. */
  update (): void {
    const { clock, members, quotas, logger } = this.#options
    if (!quotas.isSettled) return
    const nearLimit = quotas.listNearLimit()
    const isWriter = computeRank(members, OBJECT_NAME, clock.readNow()) === 0
    const isDue = this.#writtenNearLimit !== nearLimit.join() || clock.readNow() - this.#writtenAtMs >= DEMAND_INTERVAL_MS
    if (!isWriter || this.#isWriting || !isDue) return
    this.#isWriting = true
    this.#write(nearLimit).catch((error: unknown) => logger.info('pressed workspaces not recorded', { reason: String(error) }))
      .finally(() => { this.#isWriting = false })
  }

  async #read (attemptsLeft: number): Promise<void> {
    const { store, logger, quotas, members } = this.#options
    try {
      const storedObject = await store.find('quotas', OBJECT_NAME)
      const record = recordSchema.safeParse(storedObject?.value)
      this.#revision = storedObject?.revision ?? null
      if (!record.success) return
      const { pressed, demand } = record.data
      logger.info('workspaces pressed before', { pressed })
      quotas.applyRecord(pressed, demand[members.self.vm])
    } catch (error) {
      if (attemptsLeft <= 1) throw error
      await new Promise(resolve => setTimeout(resolve, READ_RETRY_DELAY_MS))
      await this.#read(attemptsLeft - 1)
    }
  }

  async #write (pressed: string[]): Promise<void> {
    const { store, logger, clock, quotas } = this.#options
    try {
      this.#revision = await store.write('quotas', OBJECT_NAME, { pressed, demand: quotas.listAllDemand() }, this.#revision)
      this.#writtenNearLimit = pressed.join()
      this.#writtenAtMs = clock.readNow()
      logger.info('pressed workspaces recorded', { pressed })
    } catch (error) {
      if (!(error instanceof RevisionConflictError)) throw error
      this.#revision = (await store.find('quotas', OBJECT_NAME))?.revision ?? null
    }
  }
}
