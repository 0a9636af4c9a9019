import { createSeededRandom, type Logger } from '@camphorpitch/wire'
import { EndpointConnector, type EndpointConnection, type EndpointResponse } from '../backend/endpoint-connector.ts'
import { ConnectionLostError } from '../backend/errors.ts'
import { Promoter, type PromotionOrder, type PromotionResponse, type PromotionResult } from '../backend/promoter.ts'
import { ConfigurationHolder } from '../configuration/configuration-holder.ts'
import type { Route } from '../configuration/configuration.ts'
import type { EndpointEntry } from '../directory/endpoint-entry.ts'
import type { PromotionReason } from '../failover/decide-promotion.ts'
import type { ActiveEvacuation } from '../evacuation/evacuations.ts'
import { ClaimInquiries } from '../failover/claim-inquiries.ts'
import { ControlConnections } from '../failover/control-connections.ts'
import { DepartureInquiries } from '../failover/departure-inquiries.ts'
import { DutyClaims } from '../failover/duty-claim.ts'
import { FailoverWatch, type FailoverWatchOptions } from '../failover/failover-watch.ts'
import type { PromotionHost } from '../failover/promotion-attempt.ts'
import { runPromotion } from '../failover/run-promotion.ts'
import { StartRecord } from '../failover/start-record.ts'
import { LeadershipVerifier } from '../failover/verify-leadership.ts'
import { FleetMessageHandler, type FleetMessageHandlerOptions } from '../fleet/fleet-message-handler.ts'
import { addMember, createMemberState, recordLeft, recordPoll, recordReport, type MemberState } from '../fleet/members.ts'
import type { FleetMessage } from '../fleet/message-schemas.ts'
import { ServiceGroup } from '../groups/service-group.ts'
import { MetadataError } from '../metadata/errors.ts'
import type { ObjectKind, StoredObject, WritableKind } from '../metadata/metadata-store.ts'
import type { Revision } from '../metadata/revision.ts'
import { waitAtMost } from '../runtime/wait-at-most.ts'
import type { Operation, Outcome } from '../statements/operation.ts'
import { runWrite } from '../statements/run-write.ts'
import type { StatementContext } from '../statements/statement-context.ts'
import { createTraceLogger, printEvent } from './event-trace.ts'
import { MemoryStore, type MemoryStoreState } from './memory-store.ts'
import { SimulatedConnector, SimulatedGroup } from './simulated-group.ts'
import type { SimulatedPlatform } from './simulated-platform.ts'
import { VirtualTime, type SimulatedProcess } from './virtual-time.ts'

const MESSAGE_DELAY_MS = 3
const MAX_OPEN_CONNECTIONS = 1_000
const RECORD_CALL_MS: StoreDelays = [2, 2]
const STATEMENT_TIMEOUT_MS = 2_000
const ROUTE: Route = { name: 'r', database: 'd', service: 's', consistency: 'primary', statementTimeoutMs: STATEMENT_TIMEOUT_MS, objectiveMs: 400, priority: 1, maxStalenessMs: 0, isPublic: false }
const STORE_TIMEOUT_MS = 1_000

/** VMs with their own views of a simulated group, which run the product's promotions. */
export class SimulatedFleet {
  readonly time = new VirtualTime()
  readonly store = new MemoryStore()
  readonly group: SimulatedGroup
  readonly vms = new Map<string, SimulatedVm>()
  /** Descriptions of promotion orders whose fencing token is lower than an earlier one, or that of another VM. */
  readonly brokenOrders: string[] = []
  #latestOrder: PromotionOrder | undefined
  #platform: SimulatedPlatform | undefined
  readonly random: () => number
  readonly logger: Logger

  constructor (endpoints: readonly string[], seed = 1) {
    this.time.start()
    this.group = new SimulatedGroup(endpoints, this.time)
    this.group.print = event => printEvent(this.time, 'group', event)
    this.random = createSeededRandom(seed)
    this.logger = createTraceLogger(this.time)
  }

  /** Executes the orders, if set; otherwise each takes effect after its VM's `promotionDelayMs`. */
  get platform (): SimulatedPlatform | undefined {
    return this.#platform
  }

  set platform (platform: SimulatedPlatform | undefined) {
    this.#platform = platform
    if (platform !== undefined) platform.onRead = order => this.recordOrder(order)
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

  /** Records an order that the platform reads. */
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
  /** The evacuated failure domains, as this VM knows them. */
  evacuations: ReadonlyMap<string, ActiveEvacuation> = new Map()
  isRunning = true
  /** Time at which this VM last learned of another primary from the VM that promoted it. */
  primaryChangedAtMs = -Infinity
  /** Whether promotion orders of this VM are dropped on the way. */
  losesOrders = false
  /** Whether the answers to promotion orders of this VM are dropped on the way. */
  losesAnswers = false
  isStoreReachable = true
  /** Whether the store has the entries of all endpoints that run, as far as this VM knows. */
  hasEveryEntry = true
  readonly process: SimulatedProcess
  /** Called for each object that this VM reads in the store. */
  handleStoreRead: (name: string) => void = () => {}
  /** Times of a store call of this VM. */
  drawStoreDelays: () => StoreDelays = () => [0, 0]
  /** Time until a connection to the platform is open. */
  connectMs = 0
  /** Time from an order of this VM to its effect. */
  promotionDelayMs = 400
  /** What the product's code for statements needs of this VM. */
  readonly context: StatementContext
  #writeCount = 0
  readonly #fleet: SimulatedFleet
  readonly #host: PromotionHost
  readonly #handler: FleetMessageHandler
  readonly #store: SimulatedStore
  readonly #verifier: LeadershipVerifier
  #watch: FailoverWatch | undefined

  constructor (fleet: SimulatedFleet, name: string) {
    const { time, logger } = fleet
    this.name = name
    this.process = { name, frozenUntilMs: -Infinity }
    this.#fleet = fleet
    this.members = createMemberState({ vm: name, host: '127.0.0.1', port: 1, failureDomain: 'north', region: 'r', incarnation: Date.now() })
    this.members.hasMemberList = true
    this.connector = new SimulatedConnector(fleet.group, time, this.process)
    const control = new ControlConnections(this.connector)
    const departureInquiries = new DepartureInquiries({ clock: time, logger: logger.child({ vm: name }), control, members: this.members })
    const handleStart = (group: ServiceGroup): void => startRecord.schedule(group)
    const handleDeparture = (group: ServiceGroup): void => [departureInquiries, startRecord].forEach(keeper => keeper.schedule(group))
    this.group = new ServiceGroup({ service: 's', listEvacuations: () => this.evacuations, handleStart, handleDeparture, handlePrimaryDoubt: () => this.findPrimary(), connector: new SimulatedStatementConnector(fleet.group, this), clock: time, logger: logger.child({ vm: name }), readLimits: () => ({ retainedConnections: 0, maxOpenConnections: MAX_OPEN_CONNECTIONS }), recordOpened: () => {} })
    this.#store = new SimulatedStore(fleet.store.state, {
      canReach: () => this.isRunning && this.isStoreReachable,
      drawDelays: () => this.drawStoreDelays(),
      handleRead: name => this.handleStoreRead(name),
      listRegistered: () => fleet.group.listRegistered(),
      time,
      process: this.process
    })
    const vmLogger = logger.child({ vm: name })
    const startRecord = new StartRecord({ store: this.#store, control, members: this.members, clock: time, logger: vmLogger })
    const inquiries: ClaimInquiries = new ClaimInquiries({ store: this.#store, clock: time, members: this.members, isClaimHeld: service => claims.isHeld(service), send: (vm, message) => this.#send(vm, message) })
    const claims: DutyClaims = new DutyClaims({ store: this.#store, clock: time, logger, vm: name, incarnation: this.members.self.incarnation, confirmNoClaims: async (service, epoch) => await inquiries.confirmNoClaims(service, epoch) })
    this.#handler = this.#createHandler(inquiries)
    const promoter = new SimulatedPromoter(fleet, this)
    this.#verifier = new LeadershipVerifier({ clock: time, logger: logger.child({ vm: name }), control })
    this.context = this.#createContext(this.#verifier)
    const callbacks = this.#handler.createPromotionCallbacks()
    const reads = { fetchEndpoints: async () => await this.#fetchEndpoints(), readStarts: async (group: ServiceGroup) => await startRecord.read(group) }
    this.#host = { clock: time, waitClock: time, logger: vmLogger, vm: name, control, claims, promoter, ...reads, ...callbacks }
  }

  /** Registers endpoints in this VM's view; all of the group by default. */
  addEndpoints (...endpoints: string[]): void {
    const names = endpoints.length > 0 ? endpoints : [...this.#fleet.group.endpoints.keys()]
    for (const name of names) this.group.updateEntry(this.#fleet.group.find(name).entry)
  }

  /** Lists the registered endpoints in the store. */
  async #fetchEndpoints (): Promise<boolean> {
    const registered = await this.#store.readRegistered()
    for (const entry of registered) this.group.updateEntry(entry)
    const names = new Set(registered.map(e => e.endpoint))
    for (const endpoint of [...this.group.pools.keys()]) if (!names.has(endpoint)) this.group.removeEntry(endpoint)
    return this.hasEveryEntry
  }

  async promote (reason: PromotionReason, isStillRequired?: () => boolean): Promise<string | null> {
    return await runPromotion(this.#host, this.group, reason, isStillRequired)
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

  /** Whether the VM runs and does not stand still. */
  get isAwake (): boolean {
    return this.isRunning && this.process.frozenUntilMs <= this.#fleet.time.readNow()
  }

  /** Has the VM stand still for `ms` milliseconds. */
  freeze (ms: number): void {
    this.process.frozenUntilMs = this.#fleet.time.readNow() + ms
  }

  /** Runs a function as part of this VM's process, once that does not stand still; not if it has ended. */
  runAsVm (run: () => void): void {
    const { time } = this.#fleet
    const runIfRunning = (): void => { if (this.isRunning) time.runAs(this.process, run) }
    if (this.process.frozenUntilMs <= time.readNow()) runIfRunning()
    else time.waitWhileFrozen(this.process).then(runIfRunning, () => {})
  }

  /** Asks the endpoints which of them leads, as after a statement that the known primary refused. */
  findPrimary (): void {
    this.#verifier.findPrimary(this.group).catch(() => {}) // An endpoint that does not respond is no fault.
  }

  /** Has the VM replace the primary when there is a reason to. */
  startWatch (): void {
    const { time, logger } = this.#fleet
    const options: FailoverWatchOptions = {
      clock: time,
      logger: logger.child({ vm: this.name }),
      members: this.members,
      host: this.#host,
      measurePausedMs: () => this.#verifier.measurePausedMs(this.group),
      probePrimary: async group => await this.#verifier.probePrimary(group),
      listGroups: () => this.isRunning ? [this.group] : [],
      poll: () => this.pollOthers(),
      recordResult: () => {}
    }
    this.#watch = new FailoverWatch(options)
    this.#watch.start()
  }

  #handlePrimaryChange (service: string): void {
    this.primaryChangedAtMs = this.#fleet.time.readNow()
    this.#watch?.recordPrimaryChange(service)
  }

  pollOthers (): void {
    const nowMs = this.#fleet.time.readNow()
    for (const member of this.members.members.values()) {
      const other = this.#fleet.vms.get(member.entry.vm)
      recordPoll(member, nowMs)
      if (other?.isAwake !== true || !this.canReach(other)) continue
      recordReport(this.members, other.name, nowMs)
      const { createReport } = other.#handler.createHandlers()
      this.#handler.createHandlers().applyReport(other.name, createReport(this.name, { type: 'poll', sequence: 1, vmsKnown: this.members.members.size + 1 }), nowMs)
    }
  }

  /** Handles a message of another VM, as one that was on its way for long. */
  receive (from: string, message: FleetMessage): void {
    this.runAsVm(() => this.#handler.createHandlers().handleMessage(from, message))
  }

  #send (name: string, message: FleetMessage): void {
    this.#fleet.time.runAs(undefined, () => setTimeout(() => {
      const other = this.#fleet.vms.get(name)
      if (other !== undefined && this.canReach(other)) other.runAsVm(() => other.#handler.createHandlers().handleMessage(this.name, message))
    }, MESSAGE_DELAY_MS))
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
      recordRestoreRefusal: () => {},
      logNoResponse: () => {}
    }
  }

  #createHandler (inquiries: ClaimInquiries): FleetMessageHandler {
    const { time, logger } = this.#fleet
    const quotas = { createDemandReport: () => [], recordVmDemand: () => {}, removeVm: () => {} }
    const options = { clock: time, logger, self: this.members.self, configuration: new ConfigurationHolder(logger), groups: { find: () => this.group, list: () => [this.group] }, quotas, members: this.members }
    const handler = new FleetMessageHandler(options as unknown as FleetMessageHandlerOptions)
    const [fleet, failover, permits] = [{ send: (vm: string, message: FleetMessage) => this.#send(vm, message), poll: () => {} }, { recordPrimaryChange: (service: string) => this.#handlePrimaryChange(service) }, {}]
    handler.connect(fleet as never, failover as never, permits as never, inquiries)
    return handler
  }

  /** Has the VM learn the store's epoch, as its watches do. */
  readStore (): void {
    this.#store.list('vms').catch(() => {}) // A VM that has stopped learns nothing.
  }
}

/** Times of a call's way to the store and back; `null` if its answer is lost. */
export type StoreDelays = [toStoreMs: number, toVmMs: number | null]

interface SimulatedStoreOptions {
  canReach: () => boolean
  drawDelays: () => StoreDelays
  handleRead: (name: string) => void
  /** Lists the endpoints' entries that the store has. */
  listRegistered: () => EndpointEntry[]
  time: VirtualTime
  process: SimulatedProcess
}

/** A VM's access to the fleet's store, while it runs and reaches the store. */
class SimulatedStore extends MemoryStore {
  readonly #options: SimulatedStoreOptions

  constructor (state: MemoryStoreState, options: SimulatedStoreOptions) {
    super(state)
    this.#options = options
  }

  override async find (kind: WritableKind, name: string): Promise<StoredObject<unknown> | undefined> {
    this.#options.handleRead(`${kind}/${name}`)
    return await this.#exchange(kind, async () => await super.find(kind, name))
  }

  /** Reads the entries of the group's endpoints, as a listing does. */
  async readRegistered (): Promise<EndpointEntry[]> {
    return await this.#exchange('endpoints', async () => {
      this.beginCall()
      return this.#options.listRegistered()
    })
  }

  protected override async sendWrite (kind: WritableKind, name: string, value: unknown, number: number | null): Promise<Revision> {
    return await this.#exchange(kind, async () => await super.sendWrite(kind, name, value, number))
  }

  protected override beginCall (): Revision {
    if (!this.#options.canReach()) throw new MetadataError('the VM does not reach the store')
    return super.beginCall()
  }

  /** Makes a call. One whose answer does not come in time may be executed later. */
  async #exchange<T> (kind: ObjectKind, call: () => Promise<T>): Promise<T> {
    const { drawDelays, time, process } = this.#options
    // Drawn times would change the course of a seed's events with each comparison of the record.
    const [toStoreMs, toVmMs] = kind === 'groups' ? RECORD_CALL_MS : drawDelays()
    if (toStoreMs === 0 && toVmMs === 0) return await call()
    const exchange = async (): Promise<T> => {
      await time.waitOutside(toStoreMs)
      const result = await call()
      await time.waitOutside(toVmMs ?? Infinity)
      await time.waitWhileFrozen(process)
      return result
    }
    return await waitAtMost(exchange(), STORE_TIMEOUT_MS, () => new MetadataError('no response from the store in time'))
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

  override async promote (order: PromotionOrder, timeoutMs: number, canSend: () => boolean): Promise<PromotionResponse> {
    const { connectMs, process } = this.#vm
    const { time } = this.#fleet
    if (connectMs > 0) {
      await time.waitOutside(connectMs)
      await time.waitWhileFrozen(process)
    }
    if (!canSend()) return { result: 'busy', sentAfterMs: null, endedAfterMs: connectMs }
    return { result: await this.#attempt(order, timeoutMs), sentAfterMs: 0, endedAfterMs: 0 }
  }

  async #attempt (order: PromotionOrder, timeoutMs: number): Promise<PromotionResult> {
    this.#vm.orders.push(order)
    const { platform } = this.#fleet
    if (platform !== undefined) return await this.#sendOrder(platform, order, timeoutMs)
    if (!this.#vm.isRunning || this.#vm.losesOrders) {
      await new Promise(resolve => setTimeout(resolve, timeoutMs))
      return 'unknown'
    }
    this.#fleet.recordOrder(order)
    const orderedAtMs = Date.now()
    this.#fleet.time.runAs(undefined, () => setTimeout(() => this.#fleet.group.promote(order.endpoint, orderedAtMs), this.#vm.promotionDelayMs))
    if (!this.#vm.losesAnswers) return 'accepted'
    await new Promise(resolve => setTimeout(resolve, timeoutMs))
    return 'unknown'
  }

  async #sendOrder (platform: SimulatedPlatform, order: PromotionOrder, timeoutMs: number): Promise<PromotionResult> {
    const { time } = this.#fleet
    const expired = new Promise<PromotionResult>(resolve => setTimeout(() => resolve('unknown'), timeoutMs))
    if (!this.#vm.isRunning || this.#vm.losesOrders) return await expired
    const answered = platform.receive(order).then(async result => {
      await time.waitWhileFrozen(this.#vm.process)
      return result
    })
    return await Promise.race([answered, expired])
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
