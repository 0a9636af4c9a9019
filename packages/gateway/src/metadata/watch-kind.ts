import { describeError, MonotonicClock, type Logger } from '@camphorpitch/wire'
import { waitFor } from '../runtime/wait-at-most.ts'
import { HistoryGoneError, type Change, type Changes, type Listing, type MetadataStore, type ObjectKind, type ObjectKinds } from './metadata-store.ts'

/** How long one watch waits, in milliseconds: a connection that has gone silent is noticed after it. */
const WATCH_TIMEOUT_MS = 5_000
const INITIAL_BACKOFF_MS = 150
const MAX_BACKOFF_MS = 1_000
/** Doublings of the pause. */
const MAX_BACKOFF_DOUBLINGS = 4

export interface WatchKindOptions<K extends ObjectKind> {
  store: MetadataStore
  logger: Logger
  kind: K
  waitMs?: number
  /** Pause after each watch, for changes that may come together, in milliseconds. */
  pauseMs?: number
  /**
   * Changes that follow each other within twice this time, in milliseconds, are not watched one by one: the objects
   * are listed again after it. A list carries an object once, a watch each of its versions.
   */
  coalesceMs?: number
  applyListing: (listing: Listing<ObjectKinds[K]>) => void
  applyChanges: (changes: Array<Change<ObjectKinds[K]>>, asOf: number) => void
  /** The store answers again; called before what it answered is applied. */
  handleStoreRecovery?: () => void
}

/** Keeps up with all objects of a kind: lists them, then watches what changes. */
export class KindWatch<K extends ObjectKind = ObjectKind> {
  readonly #options: WatchKindOptions<K>
  /** Revision up to which changes are known; `null` before the first list and after a failure. */
  #knownRevision: number | null = null
  #isStoreUnreachable = false
  #isStopped = false
  #consecutiveFailures = 0
  readonly #clock = new MonotonicClock()
  #lastChangeAtMs = -Infinity
  /** Ends the wait for a watch that is no longer wanted. */
  #abandonWatch: (() => void) | undefined

  constructor (options: WatchKindOptions<K>) {
    this.#options = options
  }

  start (): void {
    const { logger, kind } = this.#options
    this.#run().catch((error: unknown) => logger.error('watch ended', { kind, error: String(error) }))
  }

  stop (): void {
    this.#isStopped = true
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
    const { store, kind, applyListing } = this.#options
    const listing = await store.list(kind)
    this.#recordSuccess()
    applyListing(listing)
    this.#knownRevision = listing.asOf
  }

  async #watch (revision: number): Promise<void> {
    const { store, kind, logger, waitMs = WATCH_TIMEOUT_MS, applyChanges } = this.#options
    const abandonment = new Promise<null>(resolve => { this.#abandonWatch = () => resolve(null) })
    const watchRequest: Promise<Changes<ObjectKinds[K]>> = store.watch(kind, revision, waitMs)
    const result = await Promise.race([watchRequest, abandonment])
    this.#abandonWatch = undefined
    if (result === null) {
      watchRequest.catch((error: unknown) => logger.debug('watch abandoned', { kind, reason: String(error) }))
      return
    }
    this.#recordSuccess()
    applyChanges(result.changes, result.asOf)
    this.#knownRevision = result.asOf
    await this.#pauseAfterWatch(result.changes.length > 0)
  }

  async #pauseAfterWatch (hasChanges: boolean): Promise<void> {
    const { pauseMs, coalesceMs = 0 } = this.#options
    if (pauseMs !== undefined) await waitFor(pauseMs)
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
    this.#options.logger.info('store regained', { kind: this.#options.kind })
    this.#options.handleStoreRecovery?.()
  }

  #recordFailure (error: unknown): void {
    const { logger, kind } = this.#options
    this.#consecutiveFailures++
    this.#knownRevision = null
    if (error instanceof HistoryGoneError) {
      logger.info('history of the store is gone, listing again', { kind })
      return
    }
    if (this.#isStoreUnreachable) return
    this.#isStoreUnreachable = true
    logger.warn('store lost', { kind, reason: describeError(error) })
  }
}

/** @example watchKind({ store, logger, kind: 'vms', applyListing, applyChanges }).stop() */
export function watchKind<K extends ObjectKind> (options: WatchKindOptions<K>): KindWatch<K> {
  const watch = new KindWatch(options)
  watch.start()
  return watch
}
