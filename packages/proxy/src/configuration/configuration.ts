import type { Contract, Database, FleetSecret, KeyRing, LimitOwners, StoredObject } from '@camphorpitch/wire'
import { ConfigurationView } from './configuration-view.ts'
import { applyValue, createObjectValues } from './object-values.ts'

/** For metrics and status. */
export interface ConfigurationReport {
  revision: number
  isReady: boolean
  isWatcher: boolean
  /** Milliseconds since this VM surely had all that was accepted. */
  ageMs: number
  /** Objects whose stored value is invalid, so that an older one is in force. */
  invalidObjects: readonly string[]
}

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

  /** Puts an object in force; answers what is wrong with an invalid one, `null` otherwise. */
  applyObject (object: StoredObject): string | null {
    const key = `${object.kind}/${object.name}`
    const problem = applyValue(this.#values, object)
    if (problem !== null) {
      this.#invalidKeys.add(key)
      return problem
    }
    this.#invalidKeys.delete(key)
    for (const l of this.#listeners) l(object.kind, object.name)
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

  /** False until the whole configuration is known; callers are not to be served before. */
  isReady (): boolean {
    return this.#host.readReport().isReady
  }

  /** Resolves once ready. */
  async waitUntilReady (): Promise<void> {
    if (this.isReady()) return
    await new Promise<void>(resolve => { this.#readyResolvers.push(resolve) })
  }

  /** Called by the host after each message. */
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
