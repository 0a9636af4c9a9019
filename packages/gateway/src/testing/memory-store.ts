import { HistoryGoneError, MetadataError, MetadataStore, RevisionConflictError, type Change, type Changes, type Listing, type ObjectKind, type ObjectKinds, type WritableKind, type StoredObject } from '../metadata/metadata-store.ts'

type StoredValue = StoredObject<unknown>

/** An in-memory metadata store for tests, which can simulate the failures of a real one. */
export class MemoryStore extends MetadataStore {
  revision = 0
  /** While set, every call rejects. */
  isDown = false
  /** While set, writes take effect, but reject as if their response had been lost. */
  losesResponses = false
  readonly #objects = new Map<string, StoredValue>()
  #history: Array<{ kind: ObjectKind, change: Change<unknown>, revision: number }> = []
  #oldestWatchableRevision = 0
  #pendingWatches: Array<() => void> = []

  /** Creates or replaces an object, as another program would. @returns the object's new revision */
  replace (kind: ObjectKind, name: string, value: unknown): number {
    const object = { name, revision: ++this.revision, value }
    this.#objects.set(`${kind}/${name}`, object)
    this.#publishChange(kind, { object, isRemoved: false })
    return object.revision
  }

  /** Removes an object, as another program would; nothing happens if there is none. */
  remove (kind: ObjectKind, name: string): void {
    const object = this.#objects.get(`${kind}/${name}`)
    if (object === undefined) return
    this.#objects.delete(`${kind}/${name}`)
    this.revision++
    this.#publishChange(kind, { object, isRemoved: true })
  }

  /** Discards the change history and ends the pending watches. */
  trimHistory (): void {
    this.#history = []
    this.#oldestWatchableRevision = this.revision
    this.#finishPendingWatches()
  }

  override async list<K extends ObjectKind> (kind: K): Promise<Listing<ObjectKinds[K]>> {
    this.#ensureAvailable()
    const items = [...this.#objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, o]) => o)
    return { items: items as Array<StoredObject<ObjectKinds[K]>>, asOf: this.revision }
  }

  override async watch<K extends ObjectKind> (kind: K, since: number, waitMs: number): Promise<Changes<ObjectKinds[K]>> {
    this.#ensureAvailable()
    if (since < this.#oldestWatchableRevision) throw new HistoryGoneError('the store no longer has the changes since that revision')
    const listChanges = (): Change<unknown>[] => this.#history.filter(h => h.kind === kind && h.revision > since).map(h => h.change)
    if (listChanges().length === 0) {
      await new Promise<void>(resolve => {
        this.#pendingWatches.push(resolve)
        setTimeout(resolve, waitMs).unref()
      })
    }
    this.#ensureAvailable()
    if (since < this.#oldestWatchableRevision) throw new HistoryGoneError('the store no longer has the changes since that revision')
    return { changes: listChanges() as Array<Change<ObjectKinds[K]>>, asOf: this.revision }
  }

  override async find (kind: WritableKind, name: string): Promise<StoredObject<unknown> | undefined> {
    this.#ensureAvailable()
    return this.#objects.get(`${kind}/${name}`)
  }

  override async write (kind: WritableKind, name: string, value: unknown, revision: number | null): Promise<number> {
    this.#ensureAvailable()
    if ((this.#objects.get(`${kind}/${name}`)?.revision ?? null) !== revision) throw new RevisionConflictError('the object has another revision')
    const written = this.replace(kind, name, value)
    if (this.losesResponses) throw new MetadataError('the response to the write was lost')
    return written
  }

  override async delete (kind: WritableKind, name: string, revision: number): Promise<void> {
    this.#ensureAvailable()
    if (this.#objects.get(`${kind}/${name}`)?.revision !== revision) throw new RevisionConflictError('the object has another revision')
    this.remove(kind, name)
  }

  #ensureAvailable (): void {
    if (this.isDown) throw new MetadataError('the metadata store is down')
  }

  #publishChange (kind: ObjectKind, change: Change<unknown>): void {
    this.#history.push({ kind, change, revision: this.revision })
    this.#finishPendingWatches()
  }

  #finishPendingWatches (): void {
    for (const resolve of this.#pendingWatches.splice(0)) resolve()
  }
}
