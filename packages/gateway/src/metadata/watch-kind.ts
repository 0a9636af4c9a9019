import { describeError, MonotonicClock, type Logger } from '@camphorpitch/wire'
import { waitFor } from '../runtime/wait-at-most.ts'
import { HistoryGoneError, type Change, type Changes, type Listing, type MetadataStore, type ObjectKind, type ObjectKinds } from './metadata-store.ts'

/** How long one watch waits, in milliseconds: a connection that has gone silent is noticed after it. */
const WATCH_WAIT_MS = 5_000
const FIRST_PAUSE_MS = 150
const LONGEST_PAUSE_MS = 1_000
/** Doublings of the pause. */
const MOST_DOUBLINGS = 4

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
  handleRegained?: () => void
}

/** Keeps up with all objects of a kind: lists them, then watches what changes. */
export class KindWatch<K extends ObjectKind = ObjectKind> {
  readonly #options: WatchKindOptions<K>
  /** Revision up to which changes are known; `null` before the first list and after a failure. */
  #since: number | null = null
  #isLost = false
  #isStopped = false
  #failures = 0
  readonly #clock = new MonotonicClock()
  #changedAtMs = -Infinity
  /** Ends the wait for a watch that is no longer wanted. */
  #abandon: (() => void) | undefined

  constructor (options: WatchKindOptions<K>) {
    this.#options = options
  }

  start (): void {
    const { logger, kind } = this.#options
    this.#run().catch((error: unknown) => logger.error('watch ended', { kind, error: String(error) }))
  }

  stop (): void {
    this.#isStopped = true
    this.#abandon?.()
  }

  async #run (): Promise<void> {
    while (!this.#isStopped) {
      try {
        if (this.#since === null) await this.#list()
        else await this.#watch(this.#since)
      } catch (error) {
        this.#recordFailure(error)
        await waitFor(Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** Math.min(this.#failures - 1, MOST_DOUBLINGS)))
      }
    }
  }

  async #list (): Promise<void> {
    const { store, kind, applyListing } = this.#options
    const listing = await store.list(kind)
    this.#recordSuccess()
    applyListing(listing)
    this.#since = listing.asOf
  }

  async #watch (since: number): Promise<void> {
    const { store, kind, logger, waitMs = WATCH_WAIT_MS, applyChanges } = this.#options
    const abandoned = new Promise<null>(resolve => { this.#abandon = () => resolve(null) })
    const watching: Promise<Changes<ObjectKinds[K]>> = store.watch(kind, since, waitMs)
    const answer = await Promise.race([watching, abandoned])
    this.#abandon = undefined
    if (answer === null) {
      watching.catch((error: unknown) => logger.debug('watch abandoned', { kind, reason: String(error) }))
      return
    }
    this.#recordSuccess()
    applyChanges(answer.changes, answer.asOf)
    this.#since = answer.asOf
    await this.#waitAfter(answer.changes.length > 0)
  }

  async #waitAfter (hasChanges: boolean): Promise<void> {
    const { pauseMs, coalesceMs = 0 } = this.#options
    if (pauseMs !== undefined) await waitFor(pauseMs)
    if (!hasChanges) return
    const nowMs = this.#clock.readNow()
    const isStorm = nowMs - this.#changedAtMs < 2 * coalesceMs
    this.#changedAtMs = nowMs
    if (!isStorm) return
    await waitFor(coalesceMs)
    this.#changedAtMs = this.#clock.readNow()
    this.#since = null
  }

  #recordSuccess (): void {
    this.#failures = 0
    if (!this.#isLost) return
    this.#isLost = false
    this.#options.logger.info('store regained', { kind: this.#options.kind })
    this.#options.handleRegained?.()
  }

  #recordFailure (error: unknown): void {
    const { logger, kind } = this.#options
    this.#failures++
    this.#since = null
    if (error instanceof HistoryGoneError) {
      logger.info('history of the store is gone, listing again', { kind })
      return
    }
    if (this.#isLost) return
    this.#isLost = true
    logger.warn('store lost', { kind, reason: describeError(error) })
  }
}

/** @example watchKind({ store, logger, kind: 'vms', applyListing, applyChanges }).stop() */
export function watchKind<K extends ObjectKind> (options: WatchKindOptions<K>): KindWatch<K> {
  const watch = new KindWatch(options)
  watch.start()
  return watch
}
