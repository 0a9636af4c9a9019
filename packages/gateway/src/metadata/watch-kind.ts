import { describeError, MonotonicClock, type Logger } from '@camphorpitch/wire'
import { waitFor } from '../runtime/wait-at-most.ts'
import { EpochChangedError, HistoryGoneError } from './errors.ts'
import type { Change, Changes, Listing, MetadataStore, ObjectKind, ObjectKinds } from './metadata-store.ts'
import { compareRevisions, type Revision } from './revision.ts'

/** How long one watch waits for changes; a connection that no longer responds is noticed after this time. */
const WATCH_TIMEOUT_MS = 5_000
const INITIAL_BACKOFF_MS = 150
const MAX_BACKOFF_MS = 1_000
const MAX_BACKOFF_DOUBLINGS = 4

export interface WatchKindOptions<K extends ObjectKind> {
  store: MetadataStore
  logger: Logger
  kind: K
  /** How long one watch waits for changes, in milliseconds. */
  waitMs?: number
  /** Pause after each watch, in milliseconds, so that changes made at about the same time are returned together. */
  pauseMs?: number
  /** Pause after a watch whose changes follow others within twice this time, in milliseconds: `pauseMs` by default. */
  rapidPauseMs?: number
  /**
   * When changes follow each other within twice this time, in milliseconds, the objects are listed again after this
   * time instead of being watched: a listing transfers an object once, a watch transfers each of its versions.
   */
  coalesceMs?: number
  applyListing: (listing: Listing<ObjectKinds[K]>) => void
  applyChanges: (changes: Array<Change<ObjectKinds[K]>>, asOf: Revision) => void
  /** Called when the store responds again after a failure, before its response is applied. */
  handleStoreRecovery?: () => void
}

/** Follows all objects of a kind: lists them, then watches their changes. After a failure or a change of the store's epoch it lists them again. */
export class KindWatch<K extends ObjectKind = ObjectKind> {
  readonly #options: WatchKindOptions<K>
  /** Revision up to which changes have been applied; `null` if the objects must be listed next. */
  #knownRevision: Revision | null = null
  #isStoreUnreachable = false
  #isStopped = false
  #consecutiveFailures = 0
  readonly #clock = new MonotonicClock()
  #lastChangeAtMs = -Infinity
  /** Stops waiting for the running watch; `undefined` while none is running. */
  #abandonWatch: (() => void) | undefined
  #unsubscribeEpochs: (() => void) | undefined

  constructor (options: WatchKindOptions<K>) {
    this.#options = options
  }

  start (): void {
    const { store, logger, kind } = this.#options
    this.#unsubscribeEpochs = store.epochs.subscribe(() => {
      this.#knownRevision = null
      this.#abandonWatch?.()
    })
    this.#run().catch((error: unknown) => logger.error('metadata watch failed unexpectedly', { kind, error: String(error) }))
  }

  stop (): void {
    this.#isStopped = true
    this.#unsubscribeEpochs?.()
    this.#abandonWatch?.()
  }

  /**
   * Lists the objects now, instead of when the running watch ends or its pause is over.
   *
   * @example await endpointsWatch.fetchObjects() // what the store told after this call, or later changes, has been applied
   * @throws MetadataError if the store does not respond
   * @throws EpochChangedError if its response is of an earlier epoch
   */
  async fetchObjects (): Promise<void> {
    const listing = await this.#options.store.list(this.#options.kind)
    if (!this.#applyListing(listing)) throw new EpochChangedError('the listing is of an earlier epoch of the metadata store')
    // The watch goes on from the listing; the changes before it would undo a part of it for a moment.
    this.#abandonWatch?.()
  }

  async #run (): Promise<void> {
    while (!this.#isStopped) {
      try {
        if (this.#knownRevision === null) await this.#list()
        else await this.#watch(this.#knownRevision)
      } catch (error) {
        this.#recordFailure(error)
        await waitFor(Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** Math.min(this.#consecutiveFailures - 1, MAX_BACKOFF_DOUBLINGS)))
      }
    }
  }

  async #list (): Promise<void> {
    const { store, kind } = this.#options
    this.#applyListing(await store.list(kind))
  }

  /** Applies a listing, unless a later one has been applied meanwhile. @returns whether it is of the current epoch */
  #applyListing (listing: Listing<ObjectKinds[K]>): boolean {
    if (!this.#isOfCurrentEpoch(listing.asOf)) return false
    this.#recordSuccess()
    if (this.#knownRevision !== null && compareRevisions(listing.asOf, this.#knownRevision) < 0) return true
    this.#options.applyListing(listing)
    this.#knownRevision = listing.asOf
    return true
  }

  async #watch (revision: Revision): Promise<void> {
    const { store, kind, logger, waitMs = WATCH_TIMEOUT_MS, applyChanges } = this.#options
    const abandonment = new Promise<null>(resolve => { this.#abandonWatch = () => resolve(null) })
    const watchRequest: Promise<Changes<ObjectKinds[K]>> = store.watch(kind, revision, waitMs)
    const result = await Promise.race([watchRequest, abandonment])
    this.#abandonWatch = undefined
    if (result === null) {
      watchRequest.catch((error: unknown) => logger.debug('abandoned metadata watch failed', { kind, reason: String(error) }))
      return
    }
    if (!this.#isOfCurrentEpoch(result.asOf) || this.#knownRevision !== revision) return
    this.#recordSuccess()
    applyChanges(result.changes, result.asOf)
    this.#knownRevision = result.asOf
    await this.#pauseAfterWatch(result.changes.length > 0)
  }

  #isOfCurrentEpoch ({ epoch }: Revision): boolean {
    return epoch === this.#options.store.epochs.current
  }

  async #pauseAfterWatch (hasChanges: boolean): Promise<void> {
    const { pauseMs = 0, rapidPauseMs = pauseMs, coalesceMs = 0 } = this.#options
    const sinceChangeMs = this.#clock.readNow() - this.#lastChangeAtMs
    const currentPauseMs = hasChanges && sinceChangeMs < 2 * rapidPauseMs ? rapidPauseMs : pauseMs
    if (currentPauseMs > 0) await waitFor(currentPauseMs)
    if (!hasChanges) return
    const nowMs = this.#clock.readNow()
    const isRapidChange = nowMs - this.#lastChangeAtMs < 2 * coalesceMs
    this.#lastChangeAtMs = nowMs
    if (!isRapidChange) return
    await waitFor(coalesceMs)
    this.#lastChangeAtMs = this.#clock.readNow()
    this.#knownRevision = null
  }

  #recordSuccess (): void {
    this.#consecutiveFailures = 0
    if (!this.#isStoreUnreachable) return
    this.#isStoreUnreachable = false
    this.#options.logger.info('metadata store reachable again', { kind: this.#options.kind })
    this.#options.handleStoreRecovery?.()
  }

  #recordFailure (error: unknown): void {
    const { logger, kind } = this.#options
    this.#consecutiveFailures++
    this.#knownRevision = null
    if (error instanceof EpochChangedError) return
    if (error instanceof HistoryGoneError) {
      logger.info('metadata store has dropped the change history; listing again', { kind })
      return
    }
    if (this.#isStoreUnreachable) return
    this.#isStoreUnreachable = true
    logger.warn('metadata store unreachable', { kind, reason: describeError(error) })
  }
}

/**
 * Starts following all objects of a kind.
 *
 * @example watchKind({ store, logger, kind: 'vms', applyListing, applyChanges }).stop()
 */
export function watchKind<K extends ObjectKind> (options: WatchKindOptions<K>): KindWatch<K> {
  const watch = new KindWatch(options)
  watch.start()
  return watch
}
