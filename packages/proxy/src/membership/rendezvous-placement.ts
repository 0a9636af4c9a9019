import type { Logger } from '@camphorpitch/wire'
import type { ConfigurationView } from '../configuration/configuration-view.ts'
import { listPlaceableMembers, type MembershipView } from './membership-view.ts'
import { PlacementView } from './placement-view.ts'
import { PlacementTable } from './placement-table.ts'
import { createNearnessComparator, computeStatementConnections, type Candidate } from './placement.ts'

export interface PlacementOptions {
  membership: MembershipView
  configuration: ConfigurationView
  /** This VM. */
  self: Candidate
  logger: Logger
}

/**
 * Assigns databases to members by rendezvous hashing, and updates this when members or databases change.
 *
 * @example const placement = createPlacement({ membership, configuration, self, logger })
 */
export function createPlacement (options: PlacementOptions): PlacementView {
  return new RendezvousPlacement(options)
}

class RendezvousPlacement extends PlacementView {
  readonly #options: PlacementOptions
  readonly #listeners: Array<() => void> = []
  readonly #table = new PlacementTable()
  /** Serving VMs by database, nearest first. */
  readonly #servingVmsByNearness = new Map<string, readonly string[]>()
  /** Serving VMs by database, in the order on which all VMs with the same members agree. */
  readonly #servingVmsByRank = new Map<string, readonly string[]>()
  #servedDatabases: readonly string[] = []

  constructor (options: PlacementOptions) {
    super()
    this.#options = options
    options.membership.subscribe(() => this.#updateMembers())
    options.configuration.subscribe(kind => {
      if (kind === 'database') this.#updateDatabases()
    })
    this.#updateMembers()
    this.#updateDatabases()
  }

  override listRankedServingVms (database: string): readonly string[] {
    return this.#servingVmsByRank.get(database) ?? []
  }

  override listServingVms (database: string): readonly string[] {
    return this.#servingVmsByNearness.get(database) ?? []
  }

  override isServing (database: string): boolean {
    return this.listServingVms(database).includes(this.#options.self.vm)
  }

  override listServedDatabases (): readonly string[] {
    return this.#servedDatabases
  }

  override computeConnectionShare (_database: string, maxConnections: number): number {
    return computeStatementConnections(maxConnections)
  }

  override subscribe (listener: () => void): void {
    this.#listeners.push(listener)
  }

  #updateMembers (): void {
    const members = listPlaceableMembers(this.#options.membership.listMembers())
    this.#publish(this.#table.replaceMembers(members), 'members changed')
  }

  #updateDatabases (): void {
    const databases = this.#options.configuration.listDatabases().map(d => ({ database: d.database, regions: d.endpoints.map(e => e.region) }))
    this.#publish(this.#table.replaceDatabases(databases), 'databases changed')
  }

  #publish (changed: readonly string[], reason: string): void {
    if (changed.length === 0) return
    for (const database of changed) this.#updateServingVms(database, reason)
    this.#servedDatabases = this.#table.listDatabases().filter(d => this.isServing(d))
    for (const listener of this.#listeners) listener()
  }

  /** Logs at info level if this VM starts or stops serving the database, and otherwise at debug level. */
  #updateServingVms (database: string, reason: string): void {
    const { logger, self } = this.#options
    const wasServing = this.isServing(database)
    const selected = this.#table.listSelected(database)
    const servingVms = [...selected].sort(createNearnessComparator(self, database)).map(c => c.vm)
    this.#servingVmsByRank.set(database, selected.map(c => c.vm))
    this.#servingVmsByNearness.set(database, servingVms)
    const isServing = this.isServing(database)
    logger.log(isServing === wasServing ? 'debug' : 'info', 'serving VMs of database changed', { database, servingVms, isServing, reason })
  }
}
