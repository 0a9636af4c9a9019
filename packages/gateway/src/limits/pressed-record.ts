import type { Clock, Logger } from '@camphorpitch/wire'
import { z } from 'zod'
import { computeRank, type MemberState } from '../fleet/members.ts'
import { RevisionConflictError, type MetadataStore } from '../metadata/metadata-store.ts'
import type { QuotaKeeper } from './quota-keeper.ts'

const OBJECT_NAME = 'pressed'
const READ_RETRY_MS = 300
const MOST_READS = 10

const recordSchema = z.object({ pressed: z.array(z.string()) })

export interface PressedRecordOptions {
  store: MetadataStore
  clock: Clock
  logger: Logger
  members: MemberState
  quotas: QuotaKeeper
}

/**
 * Keeps in the store which workspaces are near their limits, so that VMs that all start again know which
 * others may use their burst at once. One VM writes, and only when the set changes.
 */
export class PressedRecord {
  readonly #options: PressedRecordOptions
  #revision: number | null = null
  #written: string | undefined
  #isWriting = false

  constructor (options: PressedRecordOptions) {
    this.#options = options
  }

  /** Reads what was recorded before this start. */
  start (): void {
    this.#read(MOST_READS).catch((error: unknown) => this.#options.logger.error('record of pressed workspaces not read', { error: String(error) }))
  }

  /** Records the set if it has changed and this VM is the one to write. */
  update (): void {
    const { clock, members, quotas, logger } = this.#options
    if (!quotas.isSettled) return
    const pressed = quotas.listPressed()
    const isWriter = computeRank(members, OBJECT_NAME, clock.readNow()) === 0
    if (!isWriter || this.#isWriting || this.#written === pressed.join()) return
    this.#isWriting = true
    this.#write(pressed).catch((error: unknown) => logger.info('pressed workspaces not recorded', { reason: String(error) }))
      .finally(() => { this.#isWriting = false })
  }

  async #read (tries: number): Promise<void> {
    const { store, logger, quotas } = this.#options
    try {
      const found = await store.find('quotas', OBJECT_NAME)
      const record = recordSchema.safeParse(found?.value)
      this.#revision = found?.revision ?? null
      if (!record.success) return
      logger.info('workspaces pressed before', { ...record.data })
      quotas.applyPressedBefore(record.data.pressed)
    } catch (error) {
      if (tries <= 1) throw error
      await new Promise(resolve => setTimeout(resolve, READ_RETRY_MS))
      await this.#read(tries - 1)
    }
  }

  async #write (pressed: string[]): Promise<void> {
    const { store, logger } = this.#options
    try {
      this.#revision = await store.write('quotas', OBJECT_NAME, { pressed }, this.#revision)
      this.#written = pressed.join()
      logger.info('pressed workspaces recorded', { pressed })
    } catch (error) {
      if (!(error instanceof RevisionConflictError)) throw error
      this.#revision = (await store.find('quotas', OBJECT_NAME))?.revision ?? null
    }
  }
}
