import type { Logger } from '@camphorpitch/wire'
import { HistoryGoneError, type Change, type Listing, type MetadataStore, type ObjectKind, type ObjectKinds } from './metadata-store.ts'

/** How long one watch waits, in milliseconds: a connection that has gone silent is noticed after it. */
const WATCH_WAIT_MS = 5_000
const FIRST_PAUSE_MS = 150
const LONGEST_PAUSE_MS = 1_000

export interface WatchKindOptions<K extends ObjectKind> {
  store: MetadataStore
  logger: Logger
  kind: K
  waitMs?: number
  applyListing: (listing: Listing<ObjectKinds[K]>) => void
  applyChanges: (changes: Array<Change<ObjectKinds[K]>>, asOf: number) => void
  /** The store does not answer. */
  handleLost?: () => void
  /** The store answers again; called before what it answered is applied. */
  handleRegained?: () => void
}

export interface KindWatch {
  /** Lists again now, as somebody has seen a later revision. */
  refresh: () => void
  stop: () => void
}

/** Keeps up with all objects of a kind: lists them, then watches what changes. */
export function watchKind<K extends ObjectKind> (options: WatchKindOptions<K>): KindWatch {
  const { store, logger, kind, waitMs = WATCH_WAIT_MS, applyListing, applyChanges, handleLost, handleRegained } = options
  let isStopped = false
  let isLost = false
  let failures = 0
  let since: number | null = null
  let refreshes = 0
  let wake: (() => void) | undefined

  const recordSuccess = (): void => {
    failures = 0
    if (!isLost) return
    isLost = false
    logger.info('store regained', { kind })
    handleRegained?.()
  }
  const recordFailure = (error: unknown): void => {
    failures++
    since = null
    if (error instanceof HistoryGoneError) {
      logger.info('history of the store is gone, listing again', { kind })
      return
    }
    if (isLost) return
    isLost = true
    logger.warn('store lost', { kind, reason: error instanceof Error ? error.message : String(error) })
    handleLost?.()
  }
  const runOnce = async (): Promise<void> => {
    if (since === null) {
      const listing = await store.list(kind)
      recordSuccess()
      applyListing(listing)
      since = listing.asOf
      return
    }
    const seen = refreshes
    const watching = store.watch(kind, since, waitMs)
    const woken = new Promise<null>(resolve => { wake = () => resolve(null) })
    const answer = await Promise.race([watching, woken])
    wake = undefined
    if (answer === null || seen !== refreshes) {
      watching.catch(error => logger.debug('watch abandoned', { kind, reason: String(error) }))
      since = null
      return
    }
    recordSuccess()
    applyChanges(answer.changes, answer.asOf)
    since = answer.asOf
  }
  const run = async (): Promise<void> => {
    while (!isStopped) {
      try {
        await runOnce()
      } catch (error) {
        recordFailure(error)
        const pauseMs = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** Math.min(failures - 1, 4))
        await new Promise(resolve => setTimeout(resolve, pauseMs))
      }
    }
  }
  run().catch(error => logger.error('watch ended', { kind, error: String(error) }))
  return {
    refresh: () => {
      refreshes++
      wake?.()
    },
    stop: () => {
      isStopped = true
      wake?.()
    }
  }
}
