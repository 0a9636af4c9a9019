import { BaseError } from '@camphorpitch/wire'
import type { Configuration } from '../configuration/configuration.ts'
import type { EndpointEntry } from '../directory/endpoint-entry.ts'

export const MetadataError = BaseError.subclass('MetadataError')
/** The changes since the named revision are no longer known: list again. */
export const HistoryGoneError = MetadataError.subclass('HistoryGoneError')
/** The object is not at the revision that the caller named. */
export const RevisionConflictError = MetadataError.subclass('RevisionConflictError')

/** A stored object; `value` is `null` where its content cannot be read. */
export interface StoredObject<T> {
  name: string
  /** Revision of its last change; grows over all objects of the store. */
  revision: number
  value: T | null
}

export interface Listing<T> { items: Array<StoredObject<T>>, asOf: number }
export interface Change<T> { object: StoredObject<T>, isRemoved: boolean }
export interface Changes<T> { changes: Array<Change<T>>, asOf: number }

/** Kinds of objects, and what each holds. */
export interface ObjectKinds {
  configuration: Configuration
  endpoints: EndpointEntry
  /** VMs of this system; written by themselves. */
  vms: unknown
  /** Holders of duties that one VM has at a time. */
  duties: unknown
  /** What restarted VMs need to know of the use of limits. */
  quotas: unknown
}
export type ObjectKind = keyof ObjectKinds
/** Kinds that are written by this system. */
export type OwnKind = 'vms' | 'duties' | 'quotas'

/** The platform's store of versioned objects. Calls reject with `MetadataError` when no answer came. */
export abstract class MetadataStore {
  abstract list<K extends ObjectKind> (kind: K): Promise<Listing<ObjectKinds[K]>>
  /**
   * Waits up to `waitMs` for changes after `since`.
   *
   * @throws HistoryGoneError when that history is gone
   */
  abstract watch<K extends ObjectKind> (kind: K, since: number, waitMs: number): Promise<Changes<ObjectKinds[K]>>
  /** Creates the object, or replaces it where `revision` is given and still its revision.
   *
   * @returns the revision of the change
   * @throws RevisionConflictError
   */
  abstract write (kind: OwnKind, name: string, value: unknown, revision: number | null): Promise<number>
  abstract find (kind: OwnKind, name: string): Promise<StoredObject<unknown> | undefined>
  abstract delete (kind: OwnKind, name: string, revision: number): Promise<void>
}
