import type { Logger } from '@camphorpitch/wire'
import type { StoredObject } from '../metadata/metadata-store.ts'
import { isSameRevision, type Revision } from '../metadata/revision.ts'
import type { EndpointEntry } from './endpoint-entry.ts'

/** Names that are remembered; beyond that an entry may be logged again. */
const MAX_NAMES = 1_000

/**
 * Logs each revision of an entry that is not one of an endpoint, once.
 *
 * @example invalidEntries.report(listing.items)
 */
export class InvalidEntries {
  readonly #logger: Pick<Logger, 'warn'>
  readonly #reported = new Map<string, Revision>()

  constructor (logger: Pick<Logger, 'warn'>) {
    this.#logger = logger
  }

  report (objects: ReadonlyArray<StoredObject<EndpointEntry>>): void {
    for (const { name, revision, value } of objects) {
      const reported = this.#reported.get(name)
      if (value !== null || (reported !== undefined && isSameRevision(reported, revision))) continue
      if (this.#reported.size >= MAX_NAMES) this.#reported.clear()
      this.#reported.set(name, revision)
      this.#logger.warn('endpoint entry ignored, it is not valid', { endpoint: name, revision })
    }
  }
}
