import type { Database, Logger } from '@camphorpitch/wire'
import type { ConfigurationView } from '../configuration/configuration-view.ts'
import type { PlacementView } from '../membership/placement-view.ts'
import type { DatabaseService } from './database-service.ts'

export interface ServedDatabasesOptions {
  configuration: ConfigurationView
  placement: PlacementView
  logger: Logger
  /** Starts a service, which probes the database's group and runs statements on it. */
  startService: (database: Database) => DatabaseService
}

interface ServedDatabase {
  service: DatabaseService
  /** The database's configuration with which the service was started, as JSON. */
  serializedConfiguration: string
}

/**
 * Keeps a service running for each database that placement assigns to this VM.
 *
 * A service that is no longer needed drains: `findService` does not return it for new statements, which
 * therefore run on another VM or on a newer service.
 */
export class ServedDatabases {
  readonly #options: ServedDatabasesOptions
  readonly #served = new Map<string, ServedDatabase>()
  readonly #draining = new Map<DatabaseService, Promise<void>>()
  #isStopped = false

  constructor (options: ServedDatabasesOptions) {
    this.#options = options
    options.placement.subscribe(() => this.updateServices())
    options.configuration.subscribe(kind => {
      if (kind === 'database') this.updateServices()
    })
  }

  /** Finds the current service, or the one that holds the transaction, which may be draining. */
  findService (database: string, transactionId: string | null): DatabaseService | undefined {
    const current = this.#served.get(database)?.service
    if (transactionId === null || current?.hasTransaction(transactionId) === true) return current
    const draining = [...this.#draining.keys()].find(s => s.hasTransaction(transactionId))
    return draining ?? current
  }

  /** Starts and drains services so that they match placement and configuration. */
  updateServices (): void {
    if (this.#isStopped) return
    const wanted = new Set(this.#options.placement.listServedDatabases())
    for (const name of [...this.#served.keys()]) {
      if (!wanted.has(name)) this.#endService(name, 'placement')
    }
    for (const name of wanted) this.#updateService(name)
  }

  /** Drains every service, starts no others, and resolves when all accepted statements have ended. */
  async drain (): Promise<void> {
    this.#isStopped = true
    for (const name of [...this.#served.keys()]) this.#endService(name, 'planned stop')
    await Promise.all(this.#draining.values())
  }

  #updateService (name: string): void {
    const database = this.#options.configuration.findDatabase(name)
    if (database === undefined) return
    const serializedConfiguration = JSON.stringify(database)
    const current = this.#served.get(name)
    if (current?.serializedConfiguration === serializedConfiguration) return
    if (current !== undefined) this.#endService(name, 'database configuration changed')
    this.#served.set(name, { service: this.#options.startService(database), serializedConfiguration })
    this.#options.logger.info('database service started', { database: name, reason: 'placement' })
  }

  #endService (name: string, reason: string): void {
    const current = this.#served.get(name)
    if (current === undefined) return
    this.#served.delete(name)
    this.#options.logger.info('database service draining', { database: name, reason })
    const { service } = current
    const drainCompletion = service.drain().catch(() => {}).finally(() => {
      service.stop()
      this.#draining.delete(service)
    })
    this.#draining.set(service, drainCompletion)
  }
}
