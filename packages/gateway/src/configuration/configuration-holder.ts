import type { Logger } from '@camphorpitch/wire'
import type { Configuration } from './configuration.ts'

/** The configuration in force; it only moves to later versions. */
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

  get version (): number {
    return this.#current?.version ?? 0
  }

  /** Takes in a version; one that is not later than the present one is ignored. */
  apply (configuration: Configuration, source: string): void {
    if (this.#current !== null && configuration.version <= this.#current.version) return
    this.#logger.info('configuration in force', { version: configuration.version, previousVersion: this.#current?.version, source, routes: configuration.routes.length, workspaces: configuration.workspaces.length })
    this.#current = configuration
    for (const listener of [...this.#listeners]) listener(configuration)
  }

  subscribe (listener: (configuration: Configuration) => void): void {
    this.#listeners.push(listener)
  }

  /** Waits for the first version. @returns `null` when none came within `waitMs` */
  async waitFirst (waitMs: number): Promise<Configuration | null> {
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
