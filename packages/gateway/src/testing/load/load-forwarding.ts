import { createLogger, PeerNetwork, PEER_PROTOCOL_VERSION, type Hello, type PeerHandler } from '@camphorpitch/wire'
import { ConfigurationHolder } from '../../configuration/configuration-holder.ts'
import type { EndpointEntry } from '../../directory/endpoint-entry.ts'
import { addMember, createMemberState } from '../../fleet/members.ts'
import type { VmEntry } from '../../fleet/message-schemas.ts'
import type { ServiceGroup } from '../../groups/service-group.ts'
import type { ConnectionLimits } from '../../pool/connection-plan.ts'
import { computeServingShare, type ServingFractions } from '../../pool/connection-share.ts'
import { ServingVms } from '../../serving/serving-vms.ts'
import { StatementForwarder } from '../../serving/statement-forwarder.ts'
import type { VirtualTime } from '../virtual-time.ts'
import type { LoadPattern } from './load-pattern.ts'

/** Time between two VMs of a failure domain, and of different ones, which are regions here. */
const IN_DOMAIN_DELAY_MS = 0.9
const OTHER_DOMAIN_DELAY_MS = 8
const logger = createLogger({ process: 'load', level: 'silent' })

/** How one VM of a load pattern forwards statements. */
export interface LoadForwarder {
  forwarder: StatementForwarder
  /** Computes the VM's share of an endpoint's connections; `undefined` while no few VMs serve its service. */
  computeLimits: (group: ServiceGroup, entry: EndpointEntry) => ConnectionLimits | undefined
}

/** Connects the forwarders of a load pattern's VMs. */
export class LoadForwarding {
  readonly #pattern: LoadPattern
  readonly #time: VirtualTime
  readonly #networks = new Map<string, LoadNetwork>()
  readonly #entries: VmEntry[]
  readonly #fractions: ServingFractions | undefined
  messages = 0

  /** @param fractions parts of the endpoints' connections that serving VMs keep; those of the product by default */
  constructor (pattern: LoadPattern, time: VirtualTime, fractions?: ServingFractions) {
    this.#pattern = pattern
    this.#time = time
    this.#fractions = fractions
    this.#entries = Array.from({ length: pattern.vms }, (_, i) => {
      const failureDomain = `d${i % pattern.failureDomains}`
      return { vm: `vm${i}`, host: '127.0.0.1', port: 1, failureDomain, region: failureDomain, incarnation: 1, capacity: 1 }
    })
  }

  addVm (name: string, findGroup: (service: string) => ServiceGroup | undefined): LoadForwarder {
    const self = this.#entries.find(e => e.vm === name)!
    const members = createMemberState(self)
    for (const entry of this.#entries) addMember(members, entry)
    const { services, endpoint: { maxConnections } } = this.#pattern
    const configuration = new ConfigurationHolder(logger)
    configuration.apply({ version: 1, routes: [], services: Array.from({ length: services }, (_, s) => ({ name: `s${s}`, maxConnections, syncReplicas: 1 })), workspaces: [], transactionIdleMs: 3_000 }, 'load')
    const clock = this.#time
    const servingVms = new ServingVms({ clock, members, configuration, regions: Object.fromEntries(this.#entries.map(e => [e.failureDomain, e.region])) })
    const network = new LoadNetwork(self, (to, slice, body) => this.#deliver(self, to, slice, body))
    this.#networks.set(name, network)
    const forwarder = new StatementForwarder({ clock, logger, network, members, servingVms, findPrimaryDomain: service => findGroup(service)?.primaryPool?.entry.failureDomain, recordDecision: () => {}, recordServed: () => {} })
    const computeLimits: LoadForwarder['computeLimits'] = (group, entry) => {
      if (!servingVms.isServed(group.service)) return undefined
      const places = servingVms.describePlaces(group.service, entry.failureDomain, group.primaryPool?.entry.failureDomain)
      return computeServingShare({ maxConnections, isPrimary: group.state.primary?.endpoint === entry.endpoint, fractions: this.#fractions, ...places })
    }
    return { forwarder, computeLimits }
  }

  #deliver (from: VmEntry, to: string, slice: string, body: unknown): void {
    this.messages++
    const isInDomain = this.#entries.find(e => e.vm === to)?.failureDomain === from.failureDomain
    setTimeout(() => this.#networks.get(to)?.handlers.get(slice)?.(this.#networks.get(from.vm)!.self, body), isInDomain ? IN_DOMAIN_DELAY_MS : OTHER_DOMAIN_DELAY_MS)
  }
}

class LoadNetwork extends PeerNetwork {
  override readonly self: Hello
  readonly handlers = new Map<string, PeerHandler>()
  override readonly send: (vm: string, slice: string, body: unknown) => void

  constructor ({ vm, incarnation, failureDomain }: VmEntry, send: (vm: string, slice: string, body: unknown) => void) {
    super()
    this.self = { version: PEER_PROTOCOL_VERSION, vm, incarnation, failureDomain }
    this.send = send
  }

  override sendTo (): void {}
  override subscribe (slice: string, handler: PeerHandler): void { this.handlers.set(slice, handler) }
  override subscribeLinkLoss (): void {}
}
