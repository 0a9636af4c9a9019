import { isDeepStrictEqual } from 'node:util'
import type { Logger } from '@camphorpitch/wire'
import type { Configuration } from './configuration.ts'

const NO_EPOCH = -1

/** Holds the configuration in use, which is only ever replaced by a later version. */
export class ConfigurationHolder {
  #current: Configuration | null = null
  /** Latest epoch of the metadata store in which the current configuration was seen; `NO_EPOCH` while only another VM has sent it. */
  #epoch = NO_EPOCH
  readonly #logger: Logger
  readonly #listeners: Array<(configuration: Configuration) => void> = []

  constructor (logger: Logger) {
    this.#logger = logger
  }

  get current (): Configuration | null {
    return this.#current
  }

  /** Version of the configuration in use; 0 before the first. */
  get version (): number {
    return this.#current?.version ?? 0
  }

  /**
   * Applies a configuration unless its version is earlier than the current one, or the same. If the store has returned from
   * an older copy since, the same version may have been written again with other content, which replaces the current one.
   *
   * @param source only logged
   * @param epoch the store's epoch in which the configuration was read; absent if another VM sent it
   */
  apply (configuration: Configuration, source: string, epoch?: number): void {
    if (this.#current !== null && !this.#isLater(configuration, this.#current, source, epoch)) return
    this.#logger.info('configuration applied', { version: configuration.version, previousVersion: this.#current?.version, source, routes: configuration.routes.length, workspaces: configuration.workspaces.length })
    this.#current = configuration
    this.#epoch = epoch ?? NO_EPOCH
    for (const listener of [...this.#listeners]) listener(configuration)
  }

  #isLater (configuration: Configuration, current: Configuration, source: string, epoch: number | undefined): boolean {
    if (configuration.version !== current.version) {
      if (configuration.version < current.version) this.#logger.info('configuration not applied, a later version is in use', { version: configuration.version, currentVersion: current.version, source })
      return configuration.version > current.version
    }
    if (epoch === undefined || epoch <= this.#epoch) return false
    this.#epoch = epoch
    return !hasSameContent(configuration, current)
  }

  /** Adds a listener that is called with each configuration applied from now on. */
  subscribe (listener: (configuration: Configuration) => void): void {
    this.#listeners.push(listener)
  }

  /** Waits for the first configuration. @returns `null` if there is none after `waitMs` milliseconds */
  async waitForFirst (waitMs: number): Promise<Configuration | null> {
    if (this.#current !== null) return this.#current
    return await new Promise(resolve => {
      const timer = setTimeout(() => resolve(this.#current), waitMs)
      this.subscribe(configuration => {
        clearTimeout(timer)
        resolve(configuration)
      })
    })
  }
}

/** Compares as JSON, since fields that are `undefined` are absent in a configuration that another VM sent. */
function hasSameContent (a: Configuration, b: Configuration): boolean {
  return isDeepStrictEqual(JSON.parse(JSON.stringify(a)), JSON.parse(JSON.stringify(b)))
}
