import type { Contract, Database, FleetSecret, KeyRing, LimitOwners, StoredObject } from '@camphorpitch/wire'
import { ConfigurationView } from './configuration-view.ts'
import { applyValue, createObjectValues } from './object-values.ts'

/** State of the configuration, for metrics and status. */
export interface ConfigurationReport {
  revision: number
  isReady: boolean
  isWatcher: boolean
  /** Milliseconds since the last time at which this VM is known to have had every accepted change; `Infinity` if there was none. */
  ageMs: number
  /** Keys (`kind/name`) of objects whose stored value is invalid, so that an older valid value, if any, stays in effect. */
  invalidObjects: readonly string[]
}

/** What `Configuration` needs from the actor that keeps it up to date. */
export interface ConfigurationHost {
  readReport: () => Omit<ConfigurationReport, 'invalidObjects'>
  isCurrent: () => boolean
  stop: () => void
}

/** The configuration of a running VM. */
export class Configuration extends ConfigurationView {
  readonly #host: ConfigurationHost
  readonly #values = createObjectValues()
  readonly #invalidKeys = new Set<string>()
  readonly #listeners: Array<(kind: string, name: string) => void> = []
  readonly #readyResolvers: Array<() => void> = []

  constructor (host: ConfigurationHost) {
    super()
    this.#host = host
  }

  /**
   * Applies an object's value, or removes it when the object was deleted, and notifies the subscribers.
   *
   * @returns why the value is invalid and was not applied; `null` if it was applied
   */
  applyObject (object: StoredObject): string | null {
    const key = `${object.kind}/${object.name}`
    const problem = applyValue(this.#values, object)
    if (problem !== null) {
      this.#invalidKeys.add(key)
      return problem
    }
    this.#invalidKeys.delete(key)
    for (const listener of this.#listeners) listener(object.kind, object.name)
    return null
  }

  findContract (workspace: string): Contract | undefined {
    return this.#values.contract.get(workspace)?.value
  }

  findKeyRing (workspace: string): KeyRing | undefined {
    return this.#values['key-ring'].get(workspace)?.value
  }

  findDatabase (database: string): Database | undefined {
    return this.#values.database.get(database)?.value
  }

  findFleetSecret (): FleetSecret | undefined {
    return this.#values['fleet-secret'].get('session')?.value
  }

  findLimitOwners (): { version: number, value: LimitOwners } | undefined {
    return this.#values['limit-owners'].get('owners')
  }

  listContracts (): readonly Contract[] {
    return [...this.#values.contract.values()].map(v => v.value)
  }

  listDatabases (): readonly Database[] {
    return [...this.#values.database.values()].map(v => v.value)
  }

  readRevision (): number {
    return this.#host.readReport().revision
  }

  override isCurrent (): boolean {
    return this.#host.isCurrent()
  }

  /** False until this VM has a complete configuration; clients must not be served before. */
  isReady (): boolean {
    return this.#host.readReport().isReady
  }

  /** Resolves once `isReady` is true; never if the configuration is stopped before. */
  async waitUntilReady (): Promise<void> {
    if (this.isReady()) return
    await new Promise<void>(resolve => { this.#readyResolvers.push(resolve) })
  }

  /** Resolves pending `waitUntilReady` calls once ready; the host calls it on each tick. */
  resolveReadyWaiters (): void {
    if (this.#readyResolvers.length === 0 || !this.isReady()) return
    for (const resolve of this.#readyResolvers.splice(0)) resolve()
  }

  readReport (): ConfigurationReport {
    return { ...this.#host.readReport(), invalidObjects: [...this.#invalidKeys] }
  }

  subscribe (listener: (kind: string, name: string) => void): void {
    this.#listeners.push(listener)
  }

  stop (): void {
    this.#host.stop()
  }
}
