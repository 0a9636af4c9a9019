import type { Database, Logger } from '@camphorpitch/wire'
import type { ConfigurationView } from '../configuration/configuration-view.ts'
import type { PlacementView } from '../membership/placement-view.ts'
import type { DatabaseService } from './database-service.ts'

export interface ServedDatabasesOptions {
  configuration: ConfigurationView
  placement: PlacementView
  logger: Logger
  /** Starts probing a group and running statements on it. */
  startService: (database: Database) => DatabaseService
}

interface ServedDatabase {
  service: DatabaseService
  /** The description that it was started with. */
  serializedConfiguration: string
}

/**
 * Keeps a service running for each database that placement gives to this VM.
 *
 * A service that is given up drains: new statements find no service here and go to another VM.
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

  /** The service for new work, or the one that holds the transaction, which may be draining. */
  findService (database: string, transactionId: string | null): DatabaseService | undefined {
    const current = this.#served.get(database)?.service
    if (transactionId === null || current?.hasTransaction(transactionId) === true) return current
    const draining = [...this.#draining.keys()].find(s => s.hasTransaction(transactionId))
    return draining ?? current
  }

  /** Starts and ends services until they match placement and configuration. */
  updateServices (): void {
    if (this.#isStopped) return
    const wanted = new Set(this.#options.placement.listServedDatabases())
    for (const name of [...this.#served.keys()]) {
      if (!wanted.has(name)) this.#endService(name, 'placement')
    }
    for (const name of wanted) this.#updateService(name)
  }

  /** Gives up every service and resolves when all accepted statements have ended. */
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
    if (current !== undefined) this.#endService(name, 'description changed')
    this.#served.set(name, { service: this.#options.startService(database), serializedConfiguration })
    this.#options.logger.info('database served', { database: name, reason: 'placement' })
  }

  #endService (name: string, reason: string): void {
    const current = this.#served.get(name)
    if (current === undefined) return
    this.#served.delete(name)
    this.#options.logger.info('database given up', { database: name, reason })
    const { service } = current
    const drainCompletion = service.drain().catch(() => {}).finally(() => {
      service.stop()
      this.#draining.delete(service)
    })
    this.#draining.set(service, drainCompletion)
  }
}
