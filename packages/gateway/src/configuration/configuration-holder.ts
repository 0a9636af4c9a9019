import { isDeepStrictEqual } from 'node:util'
import type { Logger } from '@camphorpitch/wire'
import type { Configuration } from './configuration.ts'

const NO_EPOCH = -1

export interface ConfigurationHolderOptions {
  /** How long a first configuration from a later epoch is held back if no other VM reports a version, in milliseconds. */
  holdMs?: number
  /** The same if another VM has reported a later version, which is then requested from it, in milliseconds. */
  holdForLaterMs?: number
}

/** Time in which what an older copy lacks is written again. */
const DEFAULT_HOLD_MS = 2_000
/** A large configuration takes a second from another VM over a slow link. */
const DEFAULT_HOLD_FOR_LATER_MS = 5_000

/**
 * Holds the configuration in use, which is only ever replaced by a later version.
 *
 * A VM that starts after the store has returned from an older copy doesn't know whether the copy lacks a later version. It
 * holds its first configuration back until another VM has reported its version, or for a short time.
 */
export class ConfigurationHolder {
  #current: Configuration | null = null
  /** Latest epoch of the metadata store in which the current configuration was seen; `NO_EPOCH` while only another VM has sent it. */
  #epoch = NO_EPOCH
  readonly #logger: Logger
  readonly #options: Required<ConfigurationHolderOptions>
  readonly #listeners: Array<(configuration: Configuration) => void> = []
  /** The latest version that another VM has reported; 0 before the first. */
  #reportedVersion = 0
  /** The first configuration while it is held back. */
  #held: { configuration: Configuration, source: string, epoch: number } | undefined

  constructor (logger: Logger, { holdMs = DEFAULT_HOLD_MS, holdForLaterMs = DEFAULT_HOLD_FOR_LATER_MS }: ConfigurationHolderOptions = {}) {
    this.#logger = logger
    this.#options = { holdMs, holdForLaterMs }
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
    const mayBeOutdated = this.#current === null && epoch !== undefined && epoch > 0
    if (mayBeOutdated && !this.#isReported(configuration)) this.#setHeld(configuration, source, epoch)
    else this.#apply(configuration, source, epoch)
  }

  /** Records which version another VM has in use; 0 if it has none. */
  recordReportedVersion (version: number): void {
    this.#reportedVersion = Math.max(this.#reportedVersion, version)
    if (this.#held !== undefined && this.#isReported(this.#held.configuration)) this.#applyHeld()
  }

  /** Whether another VM has reported a version, and none a later one than this. */
  #isReported ({ version }: Configuration): boolean {
    return this.#reportedVersion > 0 && this.#reportedVersion <= version
  }

  #setHeld (configuration: Configuration, source: string, epoch: number): void {
    const isFirst = this.#held === undefined
    if (this.#held === undefined || configuration.version >= this.#held.configuration.version) this.#held = { configuration, source, epoch }
    if (!isFirst) return
    this.#logger.info('configuration held back until another vm reports its version, the metadata store has returned from an older copy', { version: configuration.version, epoch })
    const { holdMs, holdForLaterMs } = this.#options
    setTimeout(() => { if (this.#reportedVersion === 0) this.#applyHeld() }, holdMs).unref()
    setTimeout(() => this.#applyHeld(), holdForLaterMs).unref()
  }

  #applyHeld (): void {
    if (this.#held === undefined || this.#current !== null) return
    const { configuration, source, epoch } = this.#held
    this.#apply(configuration, source, epoch)
  }

  #apply (configuration: Configuration, source: string, epoch?: number): void {
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
