import type { StoredObject } from '@camphorpitch/wire'

interface Waiter {
  kinds: ReadonlySet<string>
  resolve: () => void
}

/** Result of a write whose expected version is not the object's version. */
export const versionConflict = Symbol('version conflict')

/** Stores versioned objects in memory, with a bounded history of changes for watches. */
export class ObjectStore {
  /** Deleted objects stay with the value `null`, so that the versions of a name never decrease. */
  readonly #objects = new Map<string, StoredObject>()
  readonly #waiters = new Set<Waiter>()
  readonly #historyLength: number
  #history: StoredObject[] = []
  #lastDroppedRevision = 0
  #revision = 0

  constructor (historyLength: number) {
    this.#historyLength = historyLength
  }

  get revision (): number {
    return this.#revision
  }

  get waiterCount (): number {
    return this.#waiters.size
  }

  listObjects (kind: string): StoredObject[] {
    return [...this.#objects.values()].filter(o => o.kind === kind && o.value !== null)
  }

  findObject (kind: string, name: string): StoredObject | undefined {
    const object = this.#objects.get(formatKey(kind, name))
    return object?.value === null ? undefined : object
  }

  /**
   * Replaces an object if it has `version`; 0 if there must be none. The value `null` deletes it.
   *
   * @returns the object with its new version, or `versionConflict`
   */
  replaceObject (kind: string, name: string, version: number, value: unknown): StoredObject | typeof versionConflict {
    const current = this.#objects.get(formatKey(kind, name))
    const currentVersion = current === undefined || current.value === null ? 0 : current.version
    if (currentVersion !== version) return versionConflict
    this.#revision += 1
    const object = { kind, name, version: (current?.version ?? 0) + 1, revision: this.#revision, value }
    this.#objects.set(formatKey(kind, name), object)
    this.#recordChange(object)
    return object
  }

  /**
   * Lists the latest change of each object that changed after the revision `since`.
   *
   * @returns `undefined` when the history does not reach back to `since`, or `since` is in the future
   */
  listChanges (kinds: ReadonlySet<string>, since: number): StoredObject[] | undefined {
    if (since < this.#lastDroppedRevision || since > this.#revision) return undefined
    const changes = this.#history.filter(o => o.revision > since && kinds.has(o.kind))
    return changes.filter(o => this.#objects.get(formatKey(o.kind, o.name)) === o)
  }

  /** Resolves at the next change of an object of one of the kinds, or after `waitMs`. */
  async waitForChange (kinds: ReadonlySet<string>, waitMs: number): Promise<void> {
    await new Promise<void>(resolve => {
      const finish = () => {
        clearTimeout(timer)
        this.#waiters.delete(waiter)
        resolve()
      }
      const waiter = { kinds, resolve: finish }
      const timer = setTimeout(finish, waitMs)
      this.#waiters.add(waiter)
    })
  }

  /** Resolves every pending `waitForChange` at once, for an outage or the shutdown. */
  cancelWaits (): void {
    for (const w of [...this.#waiters]) w.resolve()
  }

  #recordChange (object: StoredObject): void {
    this.#history.push(object)
    if (this.#history.length > this.#historyLength * 2) this.#dropOldChanges()
    for (const w of [...this.#waiters]) {
      if (w.kinds.has(object.kind)) w.resolve()
    }
  }

  #dropOldChanges (): void {
    const dropped = this.#history.length - this.#historyLength
    this.#lastDroppedRevision = this.#history[dropped - 1]?.revision ?? this.#lastDroppedRevision
    this.#history = this.#history.slice(dropped)
  }
}

function formatKey (kind: string, name: string): string {
  return `${kind}/${name}`
}
