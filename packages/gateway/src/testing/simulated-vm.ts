import { createSeededRandom, type Logger } from '@camphorpitch/wire'
import { EndpointConnector } from '../backend/endpoint-connector.ts'
import { Promoter, type PromotionOrder, type PromotionResult } from '../backend/promoter.ts'
import type { PromotionReason } from '../failover/decide-promotion.ts'
import { ClaimInquiries } from '../failover/claim-inquiries.ts'
import { ControlConnections } from '../failover/control-connections.ts'
import { DepartureInquiries } from '../failover/departure-inquiries.ts'
import { DutyClaims } from '../failover/duty-claim.ts'
import type { PromotionHost } from '../failover/promotion-attempt.ts'
import { runPromotion } from '../failover/run-promotion.ts'
import { FleetMessageHandler, type FleetMessageHandlerOptions } from '../fleet/fleet-message-handler.ts'
import { addMember, createMemberState, recordLeft, recordPoll, recordReport, type MemberState } from '../fleet/members.ts'
import type { FleetMessage } from '../fleet/message-schemas.ts'
import { isLeadershipRevoked } from '../freshness/group-state.ts'
import { ServiceGroup } from '../groups/service-group.ts'
import { MetadataError } from '../metadata/errors.ts'
import type { Revision } from '../metadata/revision.ts'
import { createTraceLogger } from './event-trace.ts'
import { MemoryStore, type MemoryStoreState } from './memory-store.ts'
import { SimulatedConnector, SimulatedGroup } from './simulated-group.ts'
import { VirtualTime } from './virtual-time.ts'

const MESSAGE_DELAY_MS = 3
const STATEMENT_TIMEOUT_MS = 2_000

/** VMs with their own views of a simulated group, which run the product's promotions. */
export class SimulatedFleet {
  readonly time = new VirtualTime()
  readonly store = new MemoryStore()
  readonly group: SimulatedGroup
  readonly vms = new Map<string, SimulatedVm>()
  /** Descriptions of promotion orders whose fencing token is lower than an earlier one, or that of another VM. */
  readonly brokenOrders: string[] = []
  #latestOrder: PromotionOrder | undefined
  readonly random: () => number
  readonly logger: Logger

  constructor (endpoints: readonly string[], seed = 1) {
    this.time.start()
    this.group = new SimulatedGroup(endpoints)
    this.random = createSeededRandom(seed)
    this.logger = createTraceLogger(this.time)
  }

  /** Starts a VM, or starts one again without what it knew, and introduces it to the others. */
  startVm (name: string): SimulatedVm {
    const vm = new SimulatedVm(this, name)
    this.vms.set(name, vm)
    for (const other of this.vms.values()) {
      addMember(other.members, vm.members.self)
      addMember(vm.members, other.members.self)
    }
    return vm
  }

  /** Replicates and lets `ms` milliseconds pass in steps of 10. */
  async advance (ms: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 10) {
      this.group.runReplication()
      await this.time.advance(10)
    }
  }

  /** Records an order that reaches the platform. */
  recordOrder (order: PromotionOrder): void {
    const latest = this.#latestOrder
    const isBroken = latest !== undefined && (order.fencingToken < latest.fencingToken || (order.fencingToken === latest.fencingToken && order.holder !== latest.holder))
    if (isBroken) this.brokenOrders.push(`${order.holder} sent token ${order.fencingToken} after ${latest.holder} had sent ${latest.fencingToken}`)
    else this.#latestOrder = order
  }

  /** Has every VM receive the reports of the others. */
  exchangeReports (): void {
    for (const vm of this.vms.values()) vm.pollOthers()
  }
}

export class SimulatedVm {
  readonly name: string
  readonly group: ServiceGroup
  readonly members: MemberState
  readonly connector: SimulatedConnector
  /** VMs that this VM does not reach. */
  readonly unreachableVms = new Set<string>()
  readonly orders: PromotionOrder[] = []
  isRunning = true
  /** Whether promotion orders of this VM are dropped on the way. */
  losesOrders = false
  /** Whether the answers to promotion orders of this VM are dropped on the way. */
  losesAnswers = false
  isStoreReachable = true
  /** Time from an order of this VM to its effect. */
  promotionDelayMs = 400
  readonly #fleet: SimulatedFleet
  readonly #host: PromotionHost
  readonly #handler: FleetMessageHandler
  readonly #store: MemoryStore

  constructor (fleet: SimulatedFleet, name: string) {
    const { time, logger } = fleet
    this.name = name
    this.#fleet = fleet
    this.members = createMemberState({ vm: name, host: '127.0.0.1', port: 1, failureDomain: 'north', region: 'r', incarnation: Date.now() })
    this.members.hasMemberList = true
    this.connector = new SimulatedConnector(fleet.group)
    const control = new ControlConnections(this.connector)
    const departureInquiries = new DepartureInquiries({ clock: time, logger: logger.child({ vm: name }), control, members: this.members })
    this.group = new ServiceGroup({ service: 's', handleDeparture: group => departureInquiries.schedule(group), connector: new IdleConnector(), clock: time, logger: logger.child({ vm: name }), readLimits: () => ({ retainedConnections: 0, maxOpenConnections: 0 }), recordOpened: () => {} })
    this.#store = new SimulatedStore(fleet.store.state, () => this.isRunning && this.isStoreReachable)
    const inquiries: ClaimInquiries = new ClaimInquiries({ store: this.#store, clock: time, members: this.members, isClaimHeld: service => claims.isHeld(service), send: (vm, message) => this.#send(vm, message) })
    const claims: DutyClaims = new DutyClaims({ store: this.#store, clock: time, logger, vm: name, incarnation: this.members.self.incarnation, confirmNoClaims: async (service, epoch) => await inquiries.confirmNoClaims(service, epoch) })
    this.#handler = this.#createHandler(inquiries)
    const promoter = new SimulatedPromoter(fleet, this)
    this.#host = { clock: time, logger: logger.child({ vm: name }), vm: name, control, claims, promoter, ...this.#handler.createPromotionCallbacks() }
  }

  /** Registers endpoints in this VM's view; all of the group by default. */
  addEndpoints (...endpoints: string[]): void {
    const names = endpoints.length > 0 ? endpoints : [...this.#fleet.group.endpoints.keys()]
    for (const name of names) this.group.updateEntry(this.#fleet.group.find(name).entry)
  }

  async promote (reason: PromotionReason): Promise<string | null> {
    return await runPromotion(this.#host, this.group, reason)
  }

  /** Ends this VM with all that it knows. */
  kill (): void {
    this.isRunning = false
    this.connector.isStopped = true
  }

  /** Ends this VM after it has announced that it leaves the fleet. */
  leave (): void {
    for (const other of this.#fleet.vms.values()) if (other !== this) recordLeft(other.members, this.name, this.members.self.incarnation)
    this.#fleet.vms.delete(this.name)
    this.kill()
  }

  /** Commits a write at the primary that this VM knows. */
  commit (): void {
    const { group } = this
    const pool = group.primaryPool
    if (pool === undefined || !this.isRunning || isLeadershipRevoked(group.state, this.#fleet.time.readNow()) || this.connector.unreachable.has(pool.entry.endpoint)) return
    const send = async (): ReturnType<Parameters<ServiceGroup['runStatement']>[3]> => await new Promise(resolve => {
      this.#fleet.group.commit(this.#fleet.group.find(pool.entry.endpoint), position => {
        if (this.isRunning) resolve({ rows: [], signature: 'signature', error: null, state: 'idle', position })
        return this.isRunning
      })
    })
    group.runStatement(pool, true, STATEMENT_TIMEOUT_MS, send).catch(() => {}) // No response in time: the client's outcome is unknown.
  }

  /** Reads at an endpoint, which responds with its position. */
  async read (endpoint: string): Promise<void> {
    const pool = this.group.pools.get(endpoint)
    const { received } = this.#fleet.group.find(endpoint)
    if (pool !== undefined) await this.group.runStatement(pool, false, STATEMENT_TIMEOUT_MS, async () => ({ rows: [], signature: 'signature', error: null, state: 'idle', position: received }))
  }

  canReach (other: SimulatedVm): boolean {
    return this.isRunning && other.isRunning && !this.unreachableVms.has(other.name) && !other.unreachableVms.has(this.name)
  }

  pollOthers (): void {
    const nowMs = this.#fleet.time.readNow()
    for (const member of this.members.members.values()) {
      const other = this.#fleet.vms.get(member.entry.vm)
      recordPoll(member, nowMs)
      if (other === undefined || !this.canReach(other)) continue
      recordReport(this.members, other.name, nowMs)
      const { createReport } = other.#handler.createHandlers()
      this.#handler.createHandlers().applyReport(other.name, createReport(this.name, { type: 'poll', sequence: 1, vmsKnown: this.members.members.size + 1 }), nowMs)
    }
  }

  #send (name: string, message: FleetMessage): void {
    setTimeout(() => {
      const other = this.#fleet.vms.get(name)
      if (other !== undefined && this.canReach(other)) other.#handler.createHandlers().handleMessage(this.name, message)
    }, MESSAGE_DELAY_MS)
  }

  #createHandler (inquiries: ClaimInquiries): FleetMessageHandler {
    const { time, logger } = this.#fleet
    const quotas = { createDemandReport: () => [], recordVmDemand: () => {} }
    const options = { clock: time, logger, self: this.members.self, configuration: { subscribe: () => {}, recordReportedVersion: () => {}, version: 0, current: null }, groups: { find: () => this.group, list: () => [this.group] }, quotas, members: this.members, quotaRecord: {} }
    const handler = new FleetMessageHandler(options as unknown as FleetMessageHandlerOptions)
    const [fleet, failover, permits] = [{ send: (vm: string, message: FleetMessage) => this.#send(vm, message), poll: () => {} }, { recordPrimaryChange: () => {} }, {}]
    handler.connect(fleet as never, failover as never, permits as never, inquiries)
    return handler
  }

  /** Has the VM learn the store's epoch, as its watches do. */
  readStore (): void {
    this.#store.list('vms').catch(() => {}) // A VM that has stopped learns nothing.
  }
}

/** A VM's access to the fleet's store, while it runs and reaches the store. */
class SimulatedStore extends MemoryStore {
  readonly #canReach: () => boolean

  constructor (state: MemoryStoreState, canReach: () => boolean) {
    super(state)
    this.#canReach = canReach
  }

  protected override beginCall (): Revision {
    if (!this.#canReach()) throw new MetadataError('the VM does not reach the store')
    return super.beginCall()
  }
}

class SimulatedPromoter extends Promoter {
  readonly #fleet: SimulatedFleet
  readonly #vm: SimulatedVm

  constructor (fleet: SimulatedFleet, vm: SimulatedVm) {
    super()
    this.#fleet = fleet
    this.#vm = vm
  }

  override async promote (order: PromotionOrder, timeoutMs: number): Promise<PromotionResult> {
    this.#vm.orders.push(order)
    if (!this.#vm.isRunning || this.#vm.losesOrders) {
      await new Promise(resolve => setTimeout(resolve, timeoutMs))
      return 'unknown'
    }
    this.#fleet.recordOrder(order)
    const orderedAtMs = Date.now()
    setTimeout(() => this.#fleet.group.promote(order.endpoint, orderedAtMs), this.#vm.promotionDelayMs)
    if (!this.#vm.losesAnswers) return 'accepted'
    await new Promise(resolve => setTimeout(resolve, timeoutMs))
    return 'unknown'
  }
}

/** Opens no connection: statements of the simulation do not use the pool. */
class IdleConnector extends EndpointConnector {
  override async connect (): Promise<never> { return await new Promise(() => {}) }
}
