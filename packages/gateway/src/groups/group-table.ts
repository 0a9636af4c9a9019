import type { Clock, Logger } from '@camphorpitch/wire'
import type { EndpointConnector } from '../backend/endpoint-connector.ts'
import type { ConfigurationHolder } from '../configuration/configuration-holder.ts'
import type { DirectoryChange } from '../directory/directory.ts'
import type { EndpointEntry } from '../directory/endpoint-entry.ts'
import type { Evacuations } from '../evacuation/evacuations.ts'
import { listPresent, type MemberState } from '../fleet/members.ts'
import type { ConnectionLimits } from '../pool/connection-plan.ts'
import { computeConnectionShare, computeServingShare } from '../pool/connection-share.ts'
import type { SchedulingOptions } from '../pool/endpoint-scheduler.ts'
import type { PoolRefusal } from '../pool/errors.ts'
import type { ServingVms } from '../serving/serving-vms.ts'
import type { WarmupLimits } from '../warmup/warmup-limits.ts'
import { ServiceGroup } from './service-group.ts'

/** Connection limit of a service that the configuration does not name. */
const DEFAULT_MAX_CONNECTIONS = 10

/** Limits at an endpoint to which nothing may be sent any more. */
const NO_CONNECTIONS: ConnectionLimits = { retainedConnections: 0, maxOpenConnections: 0 }

export interface GroupTableOptions {
  connector: EndpointConnector
  clock: Clock
  logger: Logger
  configuration: ConfigurationHolder
  members: MemberState
  /** Tells which VMs serve a service in a large fleet; absent if none ever does. */
  servingVms?: ServingVms
  /** Called for each connection that is opened to an endpoint of the service. */
  recordOpened: (service: string) => void
  /** Called for each request that got no connection to an endpoint of the service. */
  recordRefused?: (service: string, refusal: PoolRefusal) => void
  /** Decisions on requests that wait for an endpoint; absent if they do not apply. */
  scheduling?: SchedulingOptions
  /** Called if an endpoint that is not the known primary is registered as primary. */
  checkRole: (group: ServiceGroup, entry: EndpointEntry) => void
  /** Limits the requests to cold endpoints; absent without such limits. */
  warmup?: WarmupLimits
  /** As in `ServiceGroupOptions`. */
  handleStart?: (group: ServiceGroup) => void
  /** Called if an endpoint has left its group, or if the log ends of departures have become unknown. */
  handleDeparture: (group: ServiceGroup) => void
  /** As in `ServiceGroupOptions`. */
  handlePrimaryDoubt?: (group: ServiceGroup) => void
  evacuations?: Evacuations
}

/** The groups of all services for which endpoints have been registered. */
export class GroupTable {
  readonly #options: GroupTableOptions
  readonly #groups = new Map<string, ServiceGroup>()

  constructor (options: GroupTableOptions) {
    this.#options = options
  }

  find (service: string): ServiceGroup | undefined {
    return this.#groups.get(service)
  }

  list (): ServiceGroup[] {
    return [...this.#groups.values()]
  }

  /** Applies changes of the directory to the groups. An endpoint whose registration has lapsed stays until it is removed. */
  applyChanges (changes: readonly DirectoryChange[]): void {
    for (const { event, entry } of changes) {
      if (event === 'lapsed') continue
      this.#options.logger.info(`endpoint ${event}`, { ...entry })
      const group = this.#findOrCreateGroup(entry.service)
      if (event === 'removed') group.removeEntry(entry.endpoint)
      else this.#updateEntry(group, entry)
    }
  }

  #updateEntry (group: ServiceGroup, entry: EndpointEntry): void {
    group.updateEntry(entry)
    if (entry.role === 'primary' && group.state.primary?.endpoint !== entry.endpoint) this.#options.checkRole(group, entry)
  }

  #findOrCreateGroup (service: string): ServiceGroup {
    const existing = this.#groups.get(service)
    if (existing !== undefined) return existing
    const { connector, clock, logger, recordOpened, handleStart, handleDeparture, handlePrimaryDoubt, evacuations, warmup, servingVms, recordRefused } = this.#options
    // In a small fleet each VM has enough connections of its own, and a queue seldom forms.
    const scheduling = this.#options.scheduling === undefined ? undefined : { ...this.#options.scheduling, isApplied: () => servingVms?.isServed(service) === true }
    const group = new ServiceGroup({ service, handleStart, handleDeparture, handlePrimaryDoubt, warmup, scheduling, listEvacuations: evacuations === undefined ? undefined : () => evacuations.list(), connector, clock, logger, readLimits: (g, e) => this.#readLimits(g, e), recordOpened: () => recordOpened(service), recordRefused: refusal => recordRefused?.(service, refusal) })
    this.#groups.set(service, group)
    return group
  }

  /** Computes this VM's share of the connections that the service may open to the endpoint. */
  #readLimits (group: ServiceGroup, entry: EndpointEntry): ConnectionLimits {
    if (group.isClosed(entry)) return NO_CONNECTIONS
    const { configuration, members, servingVms, clock } = this.#options
    const service = configuration.current?.services.find(s => s.name === group.service)
    const isPrimary = group.state.primary?.endpoint === entry.endpoint
    if (service !== undefined && servingVms?.isServed(group.service) === true) {
      return computeServingShare({ maxConnections: service.maxConnections, isPrimary, ...servingVms.describePlaces(group.service, entry.failureDomain, group.primaryPool?.entry.failureDomain) })
    }
    const { self } = members
    const present = listPresent(members, clock.readNow())
    const isInSameDomain = self.failureDomain === entry.failureDomain
    const vmsInSameDomain = present.filter(m => m.entry.failureDomain === entry.failureDomain).length + (isInSameDomain ? 1 : 0)
    return computeConnectionShare({ maxConnections: service?.maxConnections ?? DEFAULT_MAX_CONNECTIONS, vms: present.length + 1, vmsInSameDomain, isInSameDomain, isPrimary })
  }
}
