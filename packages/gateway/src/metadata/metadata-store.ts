import type { Configuration } from '../configuration/configuration.ts'
import type { EndpointEntry } from '../directory/endpoint-entry.ts'
import { EpochTracker } from './epoch-tracker.ts'
import { EpochChangedError } from './errors.ts'
import type { Revision } from './revision.ts'

/** A stored object; `value` is `null` if its content cannot be read. */
export interface StoredObject<T> {
  name: string
  /** Revision of its last change, with the epoch in which it was read. */
  revision: Revision
  value: T | null
}

/** All objects of a kind, as of the store's revision `asOf`. */
export interface Listing<T> { items: Array<StoredObject<T>>, asOf: Revision }
export interface Change<T> { object: StoredObject<T>, isRemoved: boolean }
/** Changes up to the store's revision `asOf`. */
export interface Changes<T> { changes: Array<Change<T>>, asOf: Revision }

/** Kinds of objects, and the type of their values. */
export interface ObjectKinds {
  configuration: Configuration
  endpoints: EndpointEntry
  /** VMs of the fleet; each VM writes its own entry. */
  vms: unknown
  /** Holders of the duties that only one VM has at a time. */
  duties: unknown
  /** Evacuated failure domains; the operator writes them, named after the domain. */
  evacuations: unknown
  /** Use of the workspaces' limits, for VMs that restart. */
  quotas: unknown
  /** Shares of the limits of cold endpoints, by endpoint. */
  warmups: unknown
  /** Starts of endpoints whose logs may be needed, by service. */
  groups: unknown
}
export type ObjectKind = keyof ObjectKinds
/** Kinds whose objects the VMs write themselves. */
export type WritableKind = 'vms' | 'duties' | 'quotas' | 'warmups' | 'groups'

/**
 * The platform's store of versioned objects.
 *
 * The store may return from an older copy, which begins a new epoch. Implementations pass the epoch of each answer to
 * `epochs.accept` before they use the answer.
 *
 * Every call rejects with `MetadataError` if no valid response arrives. A write or deletion may have taken effect then.
 * It rejects with `EpochChangedError`, a kind of `RevisionConflictError`, if the answer is of an earlier epoch than the latest.
 */
export abstract class MetadataStore {
  readonly epochs = new EpochTracker()
  /** Objects that this VM has written in the latest epoch. */
  readonly #written = new Set<string>()

  constructor () {
    this.epochs.subscribe(() => this.#written.clear())
  }

  /** Lists the objects that this VM has written in the latest epoch, as `kind/name`. */
  listWritten (): string[] {
    return [...this.#written]
  }

  /** Lists all objects of a kind. */
  abstract list<K extends ObjectKind> (kind: K): Promise<Listing<ObjectKinds[K]>>
  /**
   * Waits up to `waitMs` milliseconds for changes after the revision `since`.
   *
   * @throws HistoryGoneError if the store no longer has all changes since that revision
   */
  abstract watch<K extends ObjectKind> (kind: K, since: Revision, waitMs: number): Promise<Changes<ObjectKinds[K]>>
  /** Reads an object; `undefined` if there is none of that name. */
  abstract find (kind: WritableKind, name: string): Promise<StoredObject<unknown> | undefined>

  /**
   * Creates the object if `revision` is `null`, or replaces it if `revision` is still its revision.
   *
   * @returns the object's new revision
   * @throws RevisionConflictError if the object exists already, has another revision or does not exist
   * @throws EpochChangedError if the epoch has changed since `revision`, or since the call if that is `null`; the object may
   *   have been written, even if its revision was another one with the same number
   */
  async write (kind: WritableKind, name: string, value: unknown, revision: Revision | null): Promise<Revision> {
    const epoch = revision?.epoch ?? this.epochs.latest
    this.#checkEpoch(epoch)
    const written = await this.sendWrite(kind, name, value, revision?.number ?? null)
    this.#checkEpoch(epoch)
    this.#written.add(`${kind}/${name}`)
    return written
  }

  /**
   * Deletes the object if `revision` is still its revision.
   *
   * @throws RevisionConflictError if it has another revision or does not exist
   * @throws EpochChangedError if the epoch has changed since `revision`
   */
  async delete (kind: WritableKind, name: string, revision: Revision): Promise<void> {
    this.#checkEpoch(revision.epoch)
    await this.sendDelete(kind, name, revision.number)
    this.#checkEpoch(revision.epoch)
  }

  /** Sends a write; the condition is a revision number of the latest known epoch, or `null` for a creation. */
  protected abstract sendWrite (kind: WritableKind, name: string, value: unknown, revisionNumber: number | null): Promise<Revision>
  /** Sends a deletion; the condition is a revision number of the latest known epoch. */
  protected abstract sendDelete (kind: WritableKind, name: string, revisionNumber: number): Promise<void>

  /** @param epoch `undefined` if no answer had come before the call */
  #checkEpoch (epoch: number | undefined): void {
    if (epoch !== undefined && this.epochs.current !== epoch) throw new EpochChangedError(`the condition is of epoch ${epoch} of the metadata store, which is now in epoch ${this.epochs.current}`)
  }
}
