import type { Logger } from '@camphorpitch/wire'
import type { Configuration } from './configuration.ts'

/** Holds the configuration in use, which is only ever replaced by a later version. */
export class ConfigurationHolder {
  #current: Configuration | null = null
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

  /** Applies a configuration unless its version is not later than the current one. `source` is only logged. */
  apply (configuration: Configuration, source: string): void {
    if (this.#current !== null && configuration.version <= this.#current.version) return
    this.#logger.info('configuration applied', { version: configuration.version, previousVersion: this.#current?.version, source, routes: configuration.routes.length, workspaces: configuration.workspaces.length })
    this.#current = configuration
    for (const listener of [...this.#listeners]) listener(configuration)
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
