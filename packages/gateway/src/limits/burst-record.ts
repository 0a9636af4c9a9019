import type { Clock, Logger } from '@camphorpitch/wire'
import { z } from 'zod'
import { RevisionConflictError } from '../metadata/errors.ts'
import type { MetadataStore } from '../metadata/metadata-store.ts'
import type { Revision } from '../metadata/revision.ts'
import type { QuotaCounter } from './quota-counter.ts'

const READ_RETRY_DELAY_MS = 300
const MAX_READ_ATTEMPTS = 10
/** Time between two attempts to write after one has failed. */
const WRITE_RETRY_DELAY_MS = 1_000
/** Workspaces are taken off the record only this long after its last change, so that short bursts do not cost two writes each. */
const REMOVAL_DELAY_MS = 2_000

const recordSchema = z.object({
  /** Whether the VM has started within the last window, and may use the unrecorded part of every burst once more. */
  isStarting: z.boolean(),
  /** Workspaces whose whole burst the VM may use, or may have used before its last start. */
  bursts: z.array(z.string())
})
type RecordValue = z.infer<typeof recordSchema>

export interface BurstRecordOptions {
  store: MetadataStore
  clock: Clock
  logger: Logger
  quotas: QuotaCounter
}

/**
 * Keeps a record in the store of the workspaces whose whole burst this VM may use. It is written before more than a part of a burst is used, so
 * that VMs which all restart know how much can have been used before, however short before. While the store can't be written, only that part can be
 * used.
 *
 * An older copy of the store may lack the latest record, so once the store has returned from one, what was used before a start is not known.
 */
export class BurstRecord {
  readonly #options: BurstRecordOptions
  #revision: Revision | null = null
  /** The record that the store has; `null` before the first write. */
  #written: RecordValue | null = null
  #bursts: ReadonlySet<string> = new Set()
  /** Workspaces that were on this VM's record before it started; others that start as well must still find them there. */
  #burstsBeforeStart: readonly string[] = []
  #nextWriteAtMs = -Infinity
  #changedAtMs = -Infinity
  #isBusy = true

  constructor (options: BurstRecordOptions) {
    this.#options = options
  }

  /** Starts to read the record from before this process started; retries if that fails. */
  start (): void {
    this.#applyBeforeStart(MAX_READ_ATTEMPTS).catch((error: unknown) => this.#options.logger.info('reading the record of bursts failed', { reason: String(error) }))
      .finally(() => { this.#isBusy = false })
  }

  /** Writes the record if it has to change. Called whenever an operation was counted, and in each round of polls. */
  update (): void {
    const { clock, quotas, logger } = this.#options
    const nowMs = clock.readNow()
    if (this.#isBusy || nowMs < this.#nextWriteAtMs) return
    const { toAdd, toRemove } = quotas.listRecordChanges()
    const removed = nowMs - this.#changedAtMs >= REMOVAL_DELAY_MS ? toRemove : []
    const isStartOver = this.#written?.isStarting === true && quotas.isSettled
    if (toAdd.length === 0 && removed.length === 0 && !isStartOver) return
    const kept = [...this.#bursts].filter(b => !removed.includes(b))
    this.#isBusy = true
    this.#updateRecord(kept, toAdd).catch((error: unknown) => {
      this.#nextWriteAtMs = clock.readNow() + WRITE_RETRY_DELAY_MS
      logger.info('writing the record of bursts failed', { reason: String(error) })
    }).finally(() => { this.#isBusy = false })
  }

  /** What is taken off the record may not be used any more before the record is written; what is added may only be used after it. */
  async #updateRecord (kept: readonly string[], toAdd: readonly string[]): Promise<void> {
    const { quotas, clock, logger } = this.#options
    this.#apply(new Set(kept))
    await this.#write({ isStarting: !quotas.isSettled, bursts: [...new Set([...kept, ...toAdd, ...quotas.isSettled ? [] : this.#burstsBeforeStart])] })
    this.#changedAtMs = clock.readNow()
    this.#apply(new Set([...kept, ...toAdd]))
    logger.info('record of bursts written', { ...this.#written })
  }

  #apply (bursts: ReadonlySet<string>): void {
    this.#bursts = bursts
    this.#options.quotas.applyRecorded(bursts)
  }

  async #applyBeforeStart (attemptsLeft: number): Promise<void> {
    const { quotas, logger } = this.#options
    try {
      const recorded = await this.#readAndMarkStart()
      logger.info('record of bursts read', { recorded: recorded === null ? null : [...recorded] })
      if (recorded !== null) quotas.applyRecordBeforeStart(recorded)
    } catch (error) {
      if (attemptsLeft <= 1) throw error
      await new Promise(resolve => setTimeout(resolve, READ_RETRY_DELAY_MS))
      await this.#applyBeforeStart(attemptsLeft - 1)
    }
  }

  /** Reads the records of all VMs and writes that this one starts. @returns the workspaces on record; `null` if they are not known */
  async #readAndMarkStart (): Promise<ReadonlySet<string> | null> {
    const { store, quotas } = this.#options
    const { items, asOf } = await store.list('quotas')
    const records = new Map(items.map(({ name, value }) => [name, recordSchema.safeParse(value).data]))
    const own = records.get(quotas.vm)
    this.#revision = items.find(i => i.name === quotas.vm)?.revision ?? null
    this.#burstsBeforeStart = own?.bursts ?? []
    await this.#write({ isStarting: true, bursts: [...this.#burstsBeforeStart] })
    const isKnown = asOf.epoch === 0 && own?.isStarting === false
    return isKnown ? new Set([...records.values()].flatMap(r => r?.bursts ?? [])) : null
  }

  async #write (record: RecordValue): Promise<void> {
    const { store, quotas } = this.#options
    try {
      this.#revision = await store.write('quotas', quotas.vm, record, this.#revision)
      this.#written = record
    } catch (error) {
      if (error instanceof RevisionConflictError) this.#revision = (await store.find('quotas', quotas.vm))?.revision ?? null
      throw error
    }
  }
}
