import type { Clock } from '@camphorpitch/wire'
import type { ConfigurationHolder } from '../configuration/configuration-holder.ts'
import type { Configuration } from '../configuration/configuration.ts'
import { listPossiblyRunning, type MemberState } from '../fleet/members.ts'
import type { VmEntry } from '../fleet/message-schemas.ts'
import type { ServingShareOptions } from '../pool/connection-share.ts'
import { isServedByFewVms } from './decide-forwarding.ts'
import { computePlacement, listForWorkspace, type Placement } from './placement.ts'

/** Interval at which the members are compared with those of the placement; a member that stopped counts for 20 s more. */
const MEMBERS_CHECK_INTERVAL_MS = 500

export interface ServingVmsOptions {
  clock: Clock
  members: MemberState
  configuration: ConfigurationHolder
  /** Region of each failure domain. */
  regions: Readonly<Record<string, string>>
}

/** Tells which VMs serve which services, by the members and the configuration that this VM knows. Caches the placement until either changes. */
export class ServingVms {
  readonly #options: ServingVmsOptions
  readonly #servedServices = new Set<string>()
  #placement: Placement = new Map()
  #checkedAtMs = -Infinity
  #checkedChanges = -1
  #membersKey = ''
  #configuration: Configuration | null = null

  constructor (options: ServingVmsOptions) {
    this.#options = options
  }

  /** Whether statements of the service are forwarded to its serving VMs. Never on a VM that does not state its own capacity. */
  isServed (service: string): boolean {
    this.#update()
    return this.#servedServices.has(service)
  }

  /** Lists the serving VMs of a region for a workspace's statements, the one to be tried first at the start. */
  listFor (service: string, region: string, workspace: string): VmEntry[] {
    this.#update()
    return listForWorkspace(this.#placement.get(service)?.get(region) ?? [], service, workspace)
  }

  /** Describes for a connection share which VMs serve the service, as seen from an endpoint; `primaryDomain` is the primary's failure domain. */
  describePlaces (service: string, endpointDomain: string, primaryDomain: string | undefined): Pick<ServingShareOptions, 'serving' | 'place'> {
    this.#update()
    const { self } = this.#options.members
    const region = this.findRegion(endpointDomain)
    const primaryRegion = primaryDomain === undefined ? undefined : this.findRegion(primaryDomain)
    const serving = { inRegion: 0, inPrimaryRegion: 0, elsewhere: 0 }
    let place: ServingShareOptions['place'] = null
    for (const [servingRegion, vms] of this.#placement.get(service) ?? []) {
      const kind = servingRegion === region ? 'inRegion' : servingRegion === primaryRegion ? 'inPrimaryRegion' : 'elsewhere'
      serving[kind] += vms.length
      if (vms.some(e => e.vm === self.vm)) place = kind
    }
    return { serving, place }
  }

  /** Finds the region of a failure domain, by the settings or by a VM there. */
  findRegion (failureDomain: string): string | undefined {
    const { regions, members } = this.#options
    if (regions[failureDomain] !== undefined) return regions[failureDomain]
    return [members.self, ...[...members.members.values()].map(m => m.entry)].find(e => e.failureDomain === failureDomain)?.region
  }

  #update (): void {
    const { clock, members, configuration: { current } } = this.#options
    const nowMs = clock.readNow()
    const isCurrent = this.#configuration === current && this.#checkedChanges === members.changes && nowMs - this.#checkedAtMs < MEMBERS_CHECK_INTERVAL_MS
    if (isCurrent) return
    this.#checkedAtMs = nowMs
    this.#checkedChanges = members.changes
    const vms = [members.self, ...listPossiblyRunning(members, nowMs).map(m => m.entry)]
    const membersKey = vms.map(e => `${e.vm}@${e.incarnation}:${e.capacity}`).sort().join()
    if (this.#configuration === current && this.#membersKey === membersKey) return
    this.#configuration = current
    this.#membersKey = membersKey
    this.#replacePlacement(vms, current)
  }

  #replacePlacement (vms: readonly VmEntry[], configuration: Configuration | null): void {
    const isServing = this.#options.members.self.capacity !== undefined
    const services = isServing ? (configuration?.services ?? []).filter(s => isServedByFewVms(vms.length, s.maxConnections)).map(s => s.name) : []
    this.#servedServices.clear()
    for (const service of services) this.#servedServices.add(service)
    this.#placement = computePlacement(vms, services)
  }
}
