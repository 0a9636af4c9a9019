import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { PromoterStandin } from '../../platform/src/soak/promoter-standin.ts'
import type { OrderRecord } from '../../platform/src/soak/history.ts'
import type { GroupStandin } from '../../platform/src/standins/instance-standin.ts'
import { StoreStandin } from '../../platform/src/standins/store-standin.ts'
import { startGateway, waitFor, type GatewayProcess } from './gateway-process.ts'
import { VmLinks, type LinkTarget } from './links.ts'

export const SERVICE = 'lakkbase-1'
/** One failure domain in each region, as the small deployments have them. */
export const REGIONS: Record<string, string> = { 'zone-1': 'region-1', 'zone-2': 'region-2', 'zone-3': 'region-3' }
const DOMAINS = Object.keys(REGIONS)
const START_INTERVAL_MS = 500
/** Three ping intervals of the small deployments (`heartbeat-ms` 1,200). */
const ENTRY_EXPIRY_MS = 3_600
/**
 * A VM introduces itself to the others with its own address in its first polls. They learn it from the store instead, with the address of their
 * links, as the links of a VM that starts to the others carry nothing for this long.
 */
const INTRODUCTION_MS = 9_000

export interface DeploymentOptions {
  /** Failure domain of each VM, by its name. */
  vms: Record<string, string>
  /** Time from a promotion order to its effect, in milliseconds. */
  promoteMs: number
  tenant: { rate: number, burst: number }
}

/** An instance stand-in of either kind. */
interface Instance { options: { id: string }, role: 'primary' | 'replica', start: () => Promise<string>, stop: () => Promise<void> }

/** What a deployment needs of a group of instances. */
interface Group { instances: Instance[], promoteInstance: (id: string) => boolean }

/** A VM, with its links to the other VMs and to the instances. */
export interface DeployedVm { name: string, domain: string, links: VmLinks, startedAtMs: number, gateway: GatewayProcess, startAgain: () => Promise<GatewayProcess> }

/** Gateways before one service of three instances, all on loopback. */
export class Deployment<G extends Group> {
  readonly store = new StoreStandin()
  readonly group: G
  readonly orders: OrderRecord[] = []
  readonly vms: DeployedVm[] = []
  /** Address of each instance, by id. */
  readonly addresses = new Map<string, string>()
  readonly #zones = new Map<string, string>()
  readonly #options: DeploymentOptions
  readonly #promoter: PromoterStandin
  #directory = ''
  /** Pairs of failure domains that are separated. */
  #separated: Array<[string, string]> = []

  /** @param group its three instances, the first one of which is the primary */
  constructor (group: G, options: DeploymentOptions) {
    this.group = group
    this.#options = options
    this.#promoter = new PromoterStandin({ groups: new Map([[SERVICE, group as unknown as GroupStandin]]), effectMs: options.promoteMs, onPromotion: () => this.#updateRoles(), onOrder: () => {}, orders: this.orders })
  }

  async start (): Promise<void> {
    const { vms } = this.#options
    this.#directory = await mkdtemp(join(tmpdir(), 'review-3-'))
    await this.store.start()
    const promoter = await this.#promoter.start()
    for (const [i, domain] of DOMAINS.entries()) await this.#registerInstance(this.group.instances[i]!, domain)
    this.store.replaceObject('config', 'main', this.#createManifest())
    for (const [name, domain] of Object.entries(vms)) {
      const startedAtMs = performance.now()
      const links = new VmLinks(name, target => this.#isCut(domain, startedAtMs, target))
      const store = await links.openStore(await this.store.openView(links.view))
      const settings = { vm: name, failureDomain: domain, region: REGIONS[domain]!, regions: REGIONS, store, promoter, directory: this.#directory }
      const startAgain = async (): Promise<GatewayProcess> => await startGateway({ ...settings, isFirstStart: false })
      this.vms.push({ name, domain, links, startedAtMs, gateway: await startGateway(settings), startAgain })
      await waitFor(START_INTERVAL_MS)
    }
    await waitFor(INTRODUCTION_MS)
    for (const { links } of this.vms) await links.resetBroken()
  }

  async stop (): Promise<void> {
    await Promise.all(this.vms.map(async ({ gateway }) => await gateway.stop()))
    for (const { links } of this.vms) await links.stop()
    this.#promoter.stop()
    await this.store.stop()
    for (const i of this.group.instances) await i.stop()
    if (process.env.KEEP === undefined) await rm(this.#directory, { recursive: true, force: true })
  }

  /** Separates failure domains, which are regions here, from each other: VMs and instances. Each VM reaches the platform all the while. */
  separate (...pairs: Array<[string, string]>): void {
    this.#separated = pairs
  }

  async endSeparation (): Promise<void> {
    this.#separated = []
    for (const { links } of this.vms) await links.resetBroken()
  }

  /**
   * Separates two failure domains, the second of which has the platform's store, by refusing connections between them. The entries of the
   * first one's instances expire after three ping intervals.
   */
  async refuseBetween (domain: string, storeDomain: string): Promise<void> {
    for (const vm of this.vms) {
      if (vm.domain === domain) await vm.links.refuse(target => target.kind === 'store' || this.#findDomain(target) === storeDomain)
      if (vm.domain === storeDomain) await vm.links.refuse(target => target.kind !== 'store' && this.#findDomain(target) === domain)
    }
    await waitFor(ENTRY_EXPIRY_MS)
    for (const { options: { id } } of this.group.instances) if (this.#zones.get(id) === domain) this.store.removeObject('servers', id)
  }

  #findDomain ({ kind, name }: LinkTarget): unknown {
    return kind === 'vm' ? this.vms.find(vm => vm.name === name)?.domain : this.#findInstanceDomain(name)
  }

  #isCut (domain: string, startedAtMs: number, { kind, name }: LinkTarget): boolean {
    if (kind === 'vm' && performance.now() - startedAtMs < INTRODUCTION_MS) return true
    if (this.#separated.length === 0) return false
    if (kind === 'store') return false
    const targetDomain = this.#findDomain({ kind, name, address: name })
    return this.#separated.some(([a, b]) => (domain === a && targetDomain === b) || (domain === b && targetDomain === a))
  }

  #findInstanceDomain (address: string): unknown {
    const id = [...this.addresses].find(([, a]) => a === address)?.[0]
    return id === undefined ? undefined : this.#zones.get(id)
  }

  /** Starts the process of a VM again, with the settings of its start but for `isFirstStart`. */
  async restart (vm: DeployedVm): Promise<void> {
    vm.gateway = await vm.startAgain()
  }

  /** Has an instance report that it is to be shut down. */
  drainInstance (id: string): void {
    this.store.replaceObject('servers', id, { ...this.#readEntry(id), state: 'draining' })
  }

  #readEntry (id: string): Record<string, unknown> {
    return this.store.readSpec('servers', id)
  }

  async #registerInstance (instance: Instance, zone: string): Promise<void> {
    const { id } = instance.options
    const address = await instance.start()
    this.addresses.set(id, address)
    this.#zones.set(id, zone)
    this.store.replaceObject('servers', id, { service: SERVICE, address, zone, capacity: 3, state: 'ready', 'warmup-left-ms': 0, version: '1', 'db-role': instance.role, born: Date.now() - 3_600_000 })
  }

  #updateRoles (): void {
    for (const { options: { id }, role } of this.group.instances) {
      const entry = this.store.readWrittenSpec('servers', id)
      if (entry !== undefined && entry['db-role'] !== role) this.store.replaceObject('servers', id, { ...entry, 'db-role': role })
    }
  }

  #createManifest (): unknown {
    const { tenant: { rate, burst } } = this.#options
    const createRoute = (name: string, type: string, maxStalenessMs: number | null): unknown => ({ name, host: name, service: SERVICE, 'route-type': type, 'timeout-ms': 1_000, 'target-latency-ms': 400, priority: 1, 'max-staleness-ms': maxStalenessMs, public: false })
    return {
      version: 3,
      routes: [createRoute('order-desk', 'primary', null), createRoute('shade-lookup', 'bounded_staleness', 1_500), createRoute('batch-log', 'read_your_writes', 2_500)],
      services: [{ name: SERVICE, 'max-conns': 21, 'sync-replicas': 1 }],
      tenants: [{ name: 'workshop', 'api-keys': ['key-workshop'], 'rate-per-s': rate, burst }],
      limits: { 'tx-idle-ms': 3_000 }
    }
  }
}
