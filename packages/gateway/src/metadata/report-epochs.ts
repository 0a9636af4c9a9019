import type { Logger } from '@camphorpitch/wire'
import type { MetadataStore } from './metadata-store.ts'

/** Time after a return of the store in which a VM has written again what the copy lacks. */
const REWRITE_TIME_MS = 2_000

export interface ReportEpochsOptions {
  store: MetadataStore
  logger: Logger
  /** Returns more fields for the log line of a new epoch. */
  describeState: () => Record<string, unknown>
  rewriteTimeMs?: number
}

/** Logs each new epoch of the store at once, and a little later what this VM has written in it. */
export function reportEpochs ({ store, logger, describeState, rewriteTimeMs = REWRITE_TIME_MS }: ReportEpochsOptions): void {
  store.epochs.subscribe(change => {
    logger.warn('metadata store returned from an older copy', { ...change, ...describeState() })
    setTimeout(() => {
      if (store.epochs.current === change.epoch) logger.info('objects written since the metadata store returned', { epoch: change.epoch, objects: store.listWritten(), withinMs: rewriteTimeMs })
    }, rewriteTimeMs).unref()
  })
}
