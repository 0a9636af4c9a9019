import { createSeededRandom, type Logger } from '@camphorpitch/wire'
import { EndpointConnector, type EndpointConnection, type EndpointResponse } from '../backend/endpoint-connector.ts'
import { ConnectionLostError } from '../backend/errors.ts'
import { Promoter, type PromotionOrder, type PromotionResult } from '../backend/promoter.ts'
import type { Route } from '../configuration/configuration.ts'
import type { PromotionReason } from '../failover/decide-promotion.ts'
import { ClaimInquiries } from '../failover/claim-inquiries.ts'
import { ControlConnections } from '../failover/control-connections.ts'
import { DutyClaims } from '../failover/duty-claim.ts'
import type { PromotionHost } from '../failover/promotion-attempt.ts'
import { runPromotion } from '../failover/run-promotion.ts'
import { LeadershipVerifier } from '../failover/verify-leadership.ts'
import { FleetMessageHandler, type FleetMessageHandlerOptions } from '../fleet/fleet-message-handler.ts'
import { addMember, createMemberState, recordLeft, recordPoll, recordReport, type MemberState } from '../fleet/members.ts'
import type { FleetMessage } from '../fleet/message-schemas.ts'
import { ServiceGroup } from '../groups/service-group.ts'
import { MetadataError } from '../metadata/errors.ts'
import type { Revision } from '../metadata/revision.ts'
import type { Operation, Outcome } from '../statements/operation.ts'
import { runWrite } from '../statements/run-write.ts'
import type { StatementContext } from '../statements/statement-context.ts'
import { createTraceLogger } from './event-trace.ts'
import { MemoryStore, type MemoryStoreState } from './memory-store.ts'
import { SimulatedConnector, SimulatedGroup } from './simulated-group.ts'
import { VirtualTime } from './virtual-time.ts'

const MESSAGE_DELAY_MS = 3
const MAX_OPEN_CONNECTIONS = 1_000
const STATEMENT_TIMEOUT_MS = 2_000
const ROUTE: Route = { name: 'r', database: 'd', service: 's', consistency: 'primary', statementTimeoutMs: STATEMENT_TIMEOUT_MS, objectiveMs: 400, priority: 1, maxStalenessMs: 0, isPublic: false }

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
  /** What the product's code for statements needs of this VM. */
  readonly context: StatementContext
  #writeCount = 0
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
    this.group = new ServiceGroup({ service: 's', connector: new SimulatedStatementConnector(fleet.group, this), clock: time, logger: logger.child({ vm: name }), readLimits: () => ({ retainedConnections: 0, maxOpenConnections: MAX_OPEN_CONNECTIONS }), recordOpened: () => {} })
    this.#store = new SimulatedStore(fleet.store.state, () => this.isRunning && this.isStoreReachable)
    const inquiries: ClaimInquiries = new ClaimInquiries({ store: this.#store, clock: time, members: this.members, isClaimHeld: service => claims.isHeld(service), send: (vm, message) => this.#send(vm, message) })
    const claims: DutyClaims = new DutyClaims({ store: this.#store, clock: time, logger, vm: name, incarnation: this.members.self.incarnation, confirmNoClaims: async (service, epoch) => await inquiries.confirmNoClaims(service, epoch) })
    this.#handler = this.#createHandler(inquiries)
    const promoter = new SimulatedPromoter(fleet, this)
    const control = new ControlConnections(this.connector)
    this.context = this.#createContext(new LeadershipVerifier({ clock: time, logger, control }))
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
    for (const other of this.#fleet.vms.values()) {
      if (other === this) continue
      recordLeft(other.members, this.name, this.members.self.incarnation)
      other.#handler.createHandlers().removeVm(this.name)
    }
    this.#fleet.vms.delete(this.name)
    this.kill()
  }

  /** Has a client write at the primary that this VM knows. */
  commit (): void {
    this.write().catch((error: unknown) => { this.#fleet.group.lost.push(`write failed: ${String(error)}`) })
  }

  /** Has a client write, by the product's code for writes. Records what is passed on to the client. */
  async write (): Promise<Outcome | null> {
    if (!this.isRunning) return null
    const id = `${this.name}-${++this.#writeCount}`
    const statement = { id, text: `WRITE ${id}`, type: 'write' as const }
    const requiredState = { session: this.name, sessionValues: new Map(), preparedStatements: new Map() }
    const operation: Operation = { statement, requiredState, preparedName: null, workspace: 'w', route: ROUTE, sessionPosition: null, receivedAtMs: this.#fleet.time.readNow() }
    const outcome = await runWrite(this.context, this.group, operation)
    const position = 'response' in outcome && outcome.response.error === null ? outcome.response.position : null
    if (position !== null && this.isRunning) this.#fleet.group.recordPassedOn(position)
    return outcome
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

  #createContext (verifier: LeadershipVerifier): StatementContext {
    return {
      clock: this.#fleet.time,
      location: { failureDomain: 'north', regions: {} },
      verifyLeadership: async (group, waitMs) => await verifier.verifyLeadership(group, waitMs),
      refreshPrimary: () => {},
      estimateRecoveryMs: () => 0,
      rollbackTimeoutMs: STATEMENT_TIMEOUT_MS,
      logResponse: () => {},
      recordUnleasedResponse: () => {},
      logNoResponse: () => {}
    }
  }

  #createHandler (inquiries: ClaimInquiries): FleetMessageHandler {
    const { time, logger } = this.#fleet
    const quotas = { createDemandReport: () => [], recordVmDemand: () => {}, removeVm: () => {} }
    const options = { clock: time, logger, self: this.members.self, configuration: { subscribe: () => {}, version: 0, current: null }, groups: { find: () => this.group, list: () => [this.group] }, quotas, members: this.members, quotaRecord: {} }
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

/** Connects one VM to the endpoints of a simulated group, for the writes of its clients. */
class SimulatedStatementConnector extends EndpointConnector {
  readonly #group: SimulatedGroup
  readonly #vm: SimulatedVm

  constructor (group: SimulatedGroup, vm: SimulatedVm) {
    super()
    this.#group = group
    this.#vm = vm
  }

  override async connect ({ endpoint }: { endpoint: string }): Promise<EndpointConnection> {
    const canSend = (): boolean => this.#vm.isRunning && !this.#vm.connector.unreachable.has(endpoint)
    if (!canSend() || !this.#group.endpoints.has(endpoint)) throw new ConnectionLostError('endpoint does not respond')
    const connection = {
      isOpen: true,
      // A write that does not reach the endpoint, or whose acknowledgement does not reach an open connection of the VM, has no response.
      run: async () => await new Promise<EndpointResponse>(resolve => {
        const found = this.#group.endpoints.get(endpoint)
        if (!canSend() || found === undefined) return
        this.#group.commit(found, position => {
          const isReceived = this.#vm.isRunning && connection.isOpen
          if (isReceived) resolve({ rows: [], signature: 'signature', error: null, state: 'idle', position })
          return isReceived
        })
      }),
      subscribeClose: () => {},
      close: () => { connection.isOpen = false }
    }
    return connection as unknown as EndpointConnection
  }
}
