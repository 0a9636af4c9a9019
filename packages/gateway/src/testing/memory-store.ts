import { HistoryGoneError, MetadataError, RevisionConflictError } from '../metadata/errors.ts'
import { MetadataStore, type Change, type Changes, type Listing, type ObjectKind, type ObjectKinds, type WritableKind, type StoredObject } from '../metadata/metadata-store.ts'
import type { Revision } from '../metadata/revision.ts'

interface StoredValue { name: string, number: number, value: unknown }
interface StoredChange { kind: ObjectKind, object: StoredValue, isRemoved: boolean, number: number }
interface Condition { kind: WritableKind, name: string, number: number | null }

/** State to which a store can return. */
export interface StoreCopy { objects: ReadonlyMap<string, StoredValue>, revision: number }

/** The state of an in-memory metadata store, which several VMs of a test can access. */
export class MemoryStoreState {
  revision = 0
  epoch = 0
  objects = new Map<string, StoredValue>()
  history: StoredChange[] = []
  oldestWatchableRevision = 0
  readonly #pendingWatches = new Set<() => void>()

  replace (kind: ObjectKind, name: string, value: unknown): Revision {
    const object = { name, number: ++this.revision, value }
    this.objects.set(`${kind}/${name}`, object)
    this.#publishChange({ kind, object, isRemoved: false, number: this.revision })
    return { epoch: this.epoch, number: object.number }
  }

  remove (kind: ObjectKind, name: string): void {
    const object = this.objects.get(`${kind}/${name}`)
    if (object === undefined) return
    this.objects.delete(`${kind}/${name}`)
    this.revision++
    this.#publishChange({ kind, object, isRemoved: true, number: this.revision })
  }

  createCopy (): StoreCopy {
    return { objects: new Map(this.objects), revision: this.revision }
  }

  /** Returns to an older copy, which begins a new epoch. */
  restore ({ objects, revision }: StoreCopy): void {
    this.epoch++
    this.objects = new Map(objects)
    this.revision = revision
    this.history = this.history.filter(h => h.number <= revision)
    this.oldestWatchableRevision = Math.min(this.oldestWatchableRevision, revision)
    this.finishPendingWatches()
  }

  /** Whether an object has the revision number that a write or deletion requires; `null` requires that there is none. */
  isConditionMet ({ kind, name, number }: Condition): boolean {
    return (this.objects.get(`${kind}/${name}`)?.number ?? null) === number
  }

  async waitForChange (waitMs: number): Promise<void> {
    await new Promise<void>(resolve => {
      const finish = (): void => {
        clearTimeout(timer)
        this.#pendingWatches.delete(finish)
        resolve()
      }
      const timer = setTimeout(finish, waitMs)
      timer.unref()
      this.#pendingWatches.add(finish)
    })
  }

  finishPendingWatches (): void {
    for (const finish of [...this.#pendingWatches]) finish()
  }

  #publishChange (change: StoredChange): void {
    this.history.push(change)
    this.finishPendingWatches()
  }
}

/** An in-memory metadata store for tests, which can simulate the failures of a real one. */
export class MemoryStore extends MetadataStore {
  /** While set, every call rejects. */
  isDown = false
  /** While set, writes take effect, but reject as if their response had been lost. */
  losesResponses = false
  /** While set, writes reject as if their response had been lost, and are executed by `executeDelayedWrites` if their condition holds then. */
  delaysWrites = false
  /** While set, answers are held back until `releaseAnswers`, and tell what was true when they were created. */
  holdsAnswers = false
  callCount = 0
  readonly state: MemoryStoreState
  #delayedWrites: Array<() => void> = []
  #heldAnswers: Array<() => void> = []

  constructor (state = new MemoryStoreState()) {
    super()
    this.state = state
  }

  get revision (): number {
    return this.state.revision
  }

  /** Creates or replaces an object, as another program would. @returns the object's new revision */
  replace (kind: ObjectKind, name: string, value: unknown): Revision {
    return this.state.replace(kind, name, value)
  }

  /** Removes an object, as another program would; nothing happens if there is none. */
  remove (kind: ObjectKind, name: string): void {
    this.state.remove(kind, name)
  }

  createCopy (): StoreCopy {
    return this.state.createCopy()
  }

  /** Returns to an older copy, which begins a new epoch. */
  restore (copy: StoreCopy): void {
    this.state.restore(copy)
  }

  /** Discards the change history and ends the pending watches. */
  trimHistory (): void {
    this.state.history = []
    this.state.oldestWatchableRevision = this.state.revision
    this.state.finishPendingWatches()
  }

  /** Executes the writes that were delayed, unless their condition no longer holds. */
  executeDelayedWrites (): void {
    for (const execute of this.#delayedWrites.splice(0)) execute()
  }

  releaseAnswers (): void {
    this.holdsAnswers = false
    for (const release of this.#heldAnswers.splice(0)) release()
  }

  override async list<K extends ObjectKind> (kind: K): Promise<Listing<ObjectKinds[K]>> {
    const asOf = this.beginCall()
    const objects = [...this.state.objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, o]) => o)
    await this.#deliver(asOf)
    return { items: objects.map(o => describeObject(o, asOf.epoch)) as Array<StoredObject<ObjectKinds[K]>>, asOf }
  }

  override async watch<K extends ObjectKind> (kind: K, since: Revision, waitMs: number): Promise<Changes<ObjectKinds[K]>> {
    const { epoch } = this.beginCall()
    const isGone = (): boolean => since.number < this.state.oldestWatchableRevision || since.number > this.state.revision
    const listChanges = (): StoredChange[] => this.state.history.filter(h => h.kind === kind && h.number > since.number)
    if (!isGone() && listChanges().length === 0) await this.state.waitForChange(waitMs)
    if (this.state.epoch !== epoch) throw new MetadataError('the metadata store closed the connection')
    const asOf = this.beginCall()
    const isHistoryGone = isGone()
    const changes: Array<Change<unknown>> = listChanges().map(({ object, isRemoved }) => ({ object: describeObject(object, asOf.epoch), isRemoved }))
    await this.#deliver(asOf)
    if (isHistoryGone) throw new HistoryGoneError('the store no longer has the changes since that revision')
    return { changes: changes as Array<Change<ObjectKinds[K]>>, asOf }
  }

  override async find (kind: WritableKind, name: string): Promise<StoredObject<unknown> | undefined> {
    const asOf = this.beginCall()
    const object = this.state.objects.get(`${kind}/${name}`)
    await this.#deliver(asOf)
    return object === undefined ? undefined : describeObject(object, asOf.epoch)
  }

  protected override async sendWrite (kind: WritableKind, name: string, value: unknown, number: number | null): Promise<Revision> {
    this.beginCall()
    if (this.delaysWrites) {
      this.#delayedWrites.push(() => { if (this.state.isConditionMet({ kind, name, number })) this.replace(kind, name, value) })
      throw new MetadataError('the response to the write was lost')
    }
    const isMet = this.state.isConditionMet({ kind, name, number })
    const asOf = isMet ? this.replace(kind, name, value) : this.#readRevision()
    if (this.losesResponses) throw new MetadataError('the response to the write was lost')
    await this.#deliver(asOf)
    if (!isMet) throw new RevisionConflictError('the object has another revision')
    return asOf
  }

  protected override async sendDelete (kind: WritableKind, name: string, number: number): Promise<void> {
    this.beginCall()
    const isMet = this.state.isConditionMet({ kind, name, number })
    if (isMet) this.remove(kind, name)
    await this.#deliver(this.#readRevision())
    if (!isMet) throw new RevisionConflictError('the object has another revision')
  }

  /** Counts a call, and rejects it if the store is down. @returns the store's revision */
  protected beginCall (): Revision {
    this.callCount++
    if (this.isDown) throw new MetadataError('the metadata store is down')
    return this.#readRevision()
  }

  #readRevision (): Revision {
    return { epoch: this.state.epoch, number: this.state.revision }
  }

  /** Delivers an answer that was created at a revision. */
  async #deliver (asOf: Revision): Promise<void> {
    if (this.holdsAnswers) await new Promise<void>(resolve => this.#heldAnswers.push(resolve))
    this.epochs.accept(asOf.epoch, asOf.number)
  }
}

function describeObject ({ name, number, value }: StoredValue, epoch: number): StoredObject<unknown> {
  return { name, revision: { epoch, number }, value }
}
