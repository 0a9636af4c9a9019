import { HistoryGoneError, MetadataError, MetadataStore, RevisionConflictError, type Change, type Changes, type Listing, type ObjectKind, type ObjectKinds, type OwnKind, type StoredObject } from '../metadata/metadata-store.ts'

type AnyObject = StoredObject<unknown>

/** A metadata store in memory with the faults of a real one, for tests. */
export class MemoryStore extends MetadataStore {
  revision = 0
  /** While set, every call fails. */
  isDown = false
  /** Writes take effect and their answers are lost. */
  losesAnswers = false
  readonly #objects = new Map<string, AnyObject>()
  #history: Array<{ kind: ObjectKind, change: Change<unknown>, revision: number }> = []
  #oldest = 0
  #waiting: Array<() => void> = []

  replace (kind: ObjectKind, name: string, value: unknown): number {
    const object = { name, revision: ++this.revision, value }
    this.#objects.set(`${kind}/${name}`, object)
    this.#publish(kind, { object, isRemoved: false })
    return object.revision
  }

  drop (kind: ObjectKind, name: string): void {
    const object = this.#objects.get(`${kind}/${name}`)
    if (object === undefined) return
    this.#objects.delete(`${kind}/${name}`)
    this.revision++
    this.#publish(kind, { object, isRemoved: true })
  }

  /** Forgets all changes and cuts the watches. */
  dropHistory (): void {
    this.#history = []
    this.#oldest = this.revision
    this.#finishWaits()
  }

  override async list<K extends ObjectKind> (kind: K): Promise<Listing<ObjectKinds[K]>> {
    this.#check()
    const items = [...this.#objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, o]) => o)
    return { items: items as Array<StoredObject<ObjectKinds[K]>>, asOf: this.revision }
  }

  override async watch<K extends ObjectKind> (kind: K, since: number, waitMs: number): Promise<Changes<ObjectKinds[K]>> {
    this.#check()
    if (since < this.#oldest) throw new HistoryGoneError('compacted')
    const read = (): Change<unknown>[] => this.#history.filter(h => h.kind === kind && h.revision > since).map(h => h.change)
    if (read().length === 0) {
      await new Promise<void>(resolve => {
        this.#waiting.push(resolve)
        setTimeout(resolve, waitMs).unref()
      })
    }
    this.#check()
    if (since < this.#oldest) throw new HistoryGoneError('compacted')
    return { changes: read() as Array<Change<ObjectKinds[K]>>, asOf: this.revision }
  }

  override async find (kind: OwnKind, name: string): Promise<StoredObject<unknown> | undefined> {
    this.#check()
    return this.#objects.get(`${kind}/${name}`)
  }

  override async write (kind: OwnKind, name: string, value: unknown, revision: number | null): Promise<number> {
    this.#check()
    if ((this.#objects.get(`${kind}/${name}`)?.revision ?? null) !== revision) throw new RevisionConflictError('changed')
    const written = this.replace(kind, name, value)
    if (this.losesAnswers) throw new MetadataError('no answer')
    return written
  }

  override async delete (kind: OwnKind, name: string, revision: number): Promise<void> {
    this.#check()
    if (this.#objects.get(`${kind}/${name}`)?.revision !== revision) throw new RevisionConflictError('changed')
    this.drop(kind, name)
  }

  #check (): void {
    if (this.isDown) throw new MetadataError('down')
  }

  #publish (kind: ObjectKind, change: Change<unknown>): void {
    this.#history.push({ kind, change, revision: this.revision })
    this.#finishWaits()
  }

  #finishWaits (): void {
    for (const resolve of this.#waiting.splice(0)) resolve()
  }
}
