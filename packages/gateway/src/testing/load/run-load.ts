import { createSeededRandom, type Logger } from '@camphorpitch/wire'
import type { Route } from '../../configuration/configuration.ts'
import type { EndpointEntry } from '../../directory/endpoint-entry.ts'
import { addSample, recordVerification } from '../../freshness/group-state.ts'
import { ServiceGroup } from '../../groups/service-group.ts'
import type { PressureOptions } from '../../pool/connection-pressure.ts'
import type { ConnectionLimits } from '../../pool/connection-plan.ts'
import { computeConnectionShare, type ServingFractions } from '../../pool/connection-share.ts'
import type { SchedulingOptions } from '../../pool/endpoint-scheduler.ts'
import type { Operation, Outcome } from '../../statements/operation.ts'
import { openTransaction } from '../../statements/pinned-transaction.ts'
import { runRead } from '../../statements/run-read.ts'
import { runWrite } from '../../statements/run-write.ts'
import type { StatementContext } from '../../statements/statement-context.ts'
import { VirtualTime } from '../virtual-time.ts'
import { LoadForwarding, type LoadForwarder } from './load-forwarding.ts'
import type { LoadPattern, RequestKind } from './load-pattern.ts'
import { describeRecords, type LoadResult, type RequestRecord } from './load-result.ts'
import { ServerConnector, SimulatedServer } from './simulated-server.ts'

const ROLLBACK_TIMEOUT_MS = 800
const IN_DOMAIN_DELAY_MS = 0.2
const IN_REGION_DELAY_MS = 0.9
const OTHER_REGION_DELAY_MS = 8
const CLIENT_DELAY_MS = 3
const LEASE_RENEWAL_MS = 100
/** Times that a client comes back. */
const MAX_RETURNS = 2
/** Time after which a client comes back that reached no VM. */
const UNREACHED_RETURN_MS = 200
const IN_FLIGHT_MS = 5_000
const MAINTENANCE_INTERVAL_MS = 500
/** Time for which an endpoint must have had a free slot so that a refusal counts as one that had room. */
const FREE_FOR_MS = 50
/** Fraction of an objective that a refused request may have waited, and the tolerance of the measurement in milliseconds. */
const MAX_REFUSAL_WAIT_FRACTION = 0.25
const WAIT_TOLERANCE_MS = 2
/** Time that an endpoint works on the begin and the commit of a transaction, in milliseconds. */
const TRANSACTION_STEP_MS = 1
/** Connections that a VM which is not a serving one may open to an endpoint. */
const MAX_OTHER_CONNECTIONS = 2

interface LoadRequest { workspace: string, service: string, isWrite: boolean, isTransaction: boolean, workMs: number }

interface LoadVm { name: string, failureDomain: string, connector: ServerConnector, groups: Map<string, ServiceGroup>, forwarder: LoadForwarder['forwarder'] | undefined, isUp: boolean }

/** Decisions to play a pattern with; by default those of the product. */
export interface LoadOptions {
  pressure?: PressureOptions
  scheduling?: SchedulingOptions
  /** Whether the VMs of a large fleet forward statements to serving VMs; otherwise each runs its own. */
  hasServingVms?: boolean
  /** Parts of the endpoints' connections that serving VMs keep; those of the product by default. */
  servingFractions?: ServingFractions
}

/** Plays a load pattern against the code that runs statements, under a virtual clock. @example await runLoad(loadPatterns[0]!) */
export async function runLoad (pattern: LoadPattern, options: LoadOptions = {}): Promise<LoadResult> {
  const time = new VirtualTime()
  time.start()
  try {
    const run = new LoadRun(pattern, time, options)
    run.start()
    await time.advance(pattern.durationMs + IN_FLIGHT_MS)
    return run.describeResult()
  } finally {
    time.stop()
  }
}

class LoadRun {
  readonly #pattern: LoadPattern
  readonly #options: LoadOptions
  readonly #time: VirtualTime
  readonly #random: () => number
  /** Apart from that of the arrivals, so that these are the same with all decisions; patterns without regions share it, as their tests' figures do. */
  readonly #drawVm: () => number
  /** Apart from the generator of the arrivals, so that these are the same with all decisions. */
  readonly #drawReturn: () => number
  readonly #servers = new Map<string, SimulatedServer>()
  readonly #vms: LoadVm[] = []
  readonly #records: RequestRecord[] = []
  readonly #workMs = new Map<string, number>()
  /** How often each statement was sent to an endpoint. */
  readonly #sentCounts = new Map<string, number>()
  readonly #counts = { refusedWhileFree: 0, refusedAfterQuarter: 0, writesSentTwice: 0 }
  /** Primary of each service. */
  readonly #primaries = new Map<string, string>()
  /** Services whose primary is being replaced. */
  readonly #promoting = new Set<string>()
  #lastId = 0
  #lingerMs = 0
  readonly #forwarding: LoadForwarding | undefined

  constructor (pattern: LoadPattern, time: VirtualTime, options: LoadOptions) {
    this.#options = options
    this.#pattern = pattern
    if (options.hasServingVms === true) this.#forwarding = new LoadForwarding(pattern, time, options.servingFractions)
    this.#time = time
    this.#random = createSeededRandom(pattern.seed)
    this.#drawReturn = createSeededRandom(pattern.seed + 1)
    this.#drawVm = pattern.domainsPerRegion === 1 ? this.#random : createSeededRandom(pattern.seed + 2)
    for (let s = 0; s < pattern.services; s++) {
      this.#primaries.set(`s${s}`, `s${s}-e0`)
      for (let e = 0; e < pattern.endpoint.copies; e++) this.#servers.set(`s${s}-e${e}`, new SimulatedServer(`s${s}-e${e}`, this.#computeDomain(s, e), pattern.endpoint, () => time.readNow()))
    }
  }

  #computeDomain (service: number, endpoint: number): string {
    const { failureDomains, domainsPerRegion, arePrimariesTogether } = this.#pattern
    if (domainsPerRegion === 1) return `d${(service + endpoint) % failureDomains}`
    return `d${arePrimariesTogether && endpoint === 0 ? 0 : (endpoint * domainsPerRegion + service % domainsPerRegion) % failureDomains}`
  }

  #computeRegion (failureDomain: string): number {
    return Math.floor(Number(failureDomain.slice(1)) / this.#pattern.domainsPerRegion)
  }

  start (): void {
    for (let i = 0; i < this.#pattern.vms; i++) this.#vms.push(this.#createVm(`vm${i}`, `d${i % this.#pattern.failureDomains}`))
    setInterval(() => this.#recordLeaderships(), LEASE_RENEWAL_MS)
    setInterval(() => { for (const vm of this.#vms) for (const group of vm.groups.values()) for (const pool of group.pools.values()) pool.runPlan() }, MAINTENANCE_INTERVAL_MS)
    for (const event of this.#pattern.events) this.#scheduleEvent(event)
    for (const kind of this.#pattern.kinds) this.#scheduleArrival(kind)
  }

  #scheduleEvent (event: LoadPattern['events'][number]): void {
    if (event.type === 'wave') return
    const schedulePhase = (begin: () => void, end: () => void, forMs: number): void => {
      setTimeout(begin, event.atMs)
      setTimeout(end, event.atMs + forMs)
    }
    if (event.type === 'slowEndpoint') schedulePhase(() => { this.#find(event.endpoint).slowdown = event.factor }, () => { this.#find(event.endpoint).slowdown = 1 }, event.forMs)
    else if (event.type === 'darkEndpoint') schedulePhase(() => { this.#find(event.endpoint).isDark = true }, () => { this.#find(event.endpoint).isDark = false }, event.forMs)
    else if (event.type === 'powerOff') schedulePhase(() => this.#cutPower(event.lingerMs), () => this.#restoreVms(), event.downMs)
    else if (event.type === 'promotion') schedulePhase(() => this.#beginPromotion(event.service), () => this.#endPromotion(event.service), event.tookMs)
    else if (event.type === 'idleTransactions') setTimeout(() => { for (let i = 0; i < event.count * this.#pattern.services; i++) this.#runIdleTransactions(event, `s${i % this.#pattern.services}`).catch((error: unknown) => { throw error }) }, event.atMs)
  }

  #beginPromotion (service: string): void {
    this.#promoting.add(service)
    for (const vm of this.#vms) vm.groups.get(service)!.revokeLeadership(this.#primaries.get(service)!, 2, true)
  }

  #endPromotion (service: string): void {
    this.#promoting.delete(service)
    this.#primaries.set(service, `${service}-e1`)
    for (const vm of this.#vms) {
      vm.groups.get(service)!.adoptPrimary(`${service}-e1`, 2, 'promotion')
      this.#recordLeadership(vm)
    }
  }

  /** Opens one transaction after another on a service for the first workspace, and leaves each idle. */
  async #runIdleTransactions (event: Extract<LoadPattern['events'][number], { type: 'idleTransactions' }>, service: string): Promise<void> {
    const kind = this.#pattern.kinds[0]!
    while (this.#time.readNow() < event.atMs + event.forMs) {
      const vm = this.#pickVm()
      const operation = this.#createOperation(kind, { workspace: 'w0', service, isWrite: true, workMs: TRANSACTION_STEP_MS })
      const opened = await openTransaction(this.#createContext(vm), vm.groups.get(service)!, operation, false)
      await this.#wait('transaction' in opened ? event.holdMs : UNREACHED_RETURN_MS)
      if ('transaction' in opened) opened.transaction.rollback()
    }
  }

  #cutPower (lingerMs: number): void {
    this.#lingerMs = lingerMs
    for (const vm of this.#vms) {
      vm.isUp = false
      vm.connector.cutPower()
    }
  }

  #restoreVms (): void {
    for (const [i, { name, failureDomain }] of this.#vms.entries()) this.#vms[i] = this.#createVm(name, failureDomain)
  }

  #find (name: string): SimulatedServer {
    return this.#servers.get(name)!
  }

  #createVm (name: string, failureDomain: string): LoadVm {
    const { endpoint, services } = this.#pattern
    const computeDelayMs = (server: SimulatedServer): number => {
      if (server.failureDomain === failureDomain) return IN_DOMAIN_DELAY_MS
      return this.#computeRegion(server.failureDomain) === this.#computeRegion(failureDomain) ? IN_REGION_DELAY_MS : OTHER_REGION_DELAY_MS
    }
    const connector = new ServerConnector({ servers: this.#servers, handshakeMs: endpoint.handshakeMs, computeDelayMs, readWorkMs: id => this.#workMs.get(id)!, lingerMs: () => this.#lingerMs, recordSent: id => this.#sentCounts.set(id, (this.#sentCounts.get(id) ?? 0) + 1) })
    const logger = { info: () => {}, warn: () => {}, error: () => {}, debug: () => {}, child: () => logger } as unknown as Logger
    const groups = new Map<string, ServiceGroup>()
    const forwarding = this.#forwarding?.addVm(name, service => groups.get(service))
    for (let s = 0; s < services; s++) {
      const service = `s${s}`
      const readLimits = (group: ServiceGroup, entry: EndpointEntry): ConnectionLimits => forwarding?.computeLimits(group, entry) ?? this.#readLimits(name, failureDomain, group, entry)
      const group = new ServiceGroup({ service, connector, clock: this.#time, logger, readLimits, recordOpened: () => {}, random: this.#drawReturn, ...this.#options })
      groups.set(service, group)
      for (let e = 0; e < endpoint.copies; e++) {
        const server = this.#find(`${service}-e${e}`)
        group.updateEntry({ endpoint: server.name, service, address: '127.0.0.1:1', failureDomain: server.failureDomain, role: this.#primaries.get(service) === server.name ? 'primary' : 'replica', isDraining: false, slots: endpoint.slots, warmupLeftMs: 0, startedAtMs: 1 })
      }
    }
    const vm: LoadVm = { name, failureDomain, connector, groups, forwarder: forwarding?.forwarder, isUp: true }
    vm.forwarder?.connect(async (operation, isWrite) => await this.#runHere(vm, operation, isWrite))
    this.#recordLeadership(vm)
    return vm
  }

  /** Computes the VM's share of an endpoint's connections. Serving VMs share those that the others may not open, and the others keep none. */
  #readLimits (vm: string, failureDomain: string, group: ServiceGroup, entry: EndpointEntry): ConnectionLimits {
    const { endpoint: { maxConnections }, vms, failureDomains } = this.#pattern
    const isPrimary = group.state.primary?.endpoint === entry.endpoint
    const serving = this.#listServing(group.service)
    if (serving.length === 0) return computeConnectionShare({ maxConnections, vms, vmsInSameDomain: Math.round(vms / failureDomains), isInSameDomain: entry.failureDomain === failureDomain, isPrimary })
    if (!serving.some(v => v.name === vm)) return { retainedConnections: 0, maxOpenConnections: MAX_OTHER_CONNECTIONS }
    const region = this.#computeRegion(entry.failureDomain)
    return computeConnectionShare({ maxConnections: maxConnections - vms, vms: serving.length, vmsInSameDomain: serving.filter(v => this.#computeRegion(v.failureDomain) === region).length, isInSameDomain: this.#computeRegion(failureDomain) === region, isPrimary })
  }

  /** Lists the VMs that run the single statements of a service, if the pattern has such VMs. */
  #listServing (service: string): LoadVm[] {
    const { servingVms, services } = this.#pattern
    if (servingVms === 0) return []
    const first = Number(service.slice(1)) % services * servingVms
    const regions = new Map<number, LoadVm[]>()
    for (const vm of this.#vms) regions.set(this.#computeRegion(vm.failureDomain), [...regions.get(this.#computeRegion(vm.failureDomain)) ?? [], vm])
    return [...regions.values()].flatMap(vms => Array.from({ length: servingVms }, (_, i) => vms[(first + i) % vms.length]!))
  }

  #recordLeaderships (): void {
    for (const vm of this.#vms) this.#recordLeadership(vm)
  }

  /** Stands for the proofs of leadership, which a pattern does not play. */
  #recordLeadership ({ groups }: LoadVm): void {
    const nowMs = this.#time.readNow()
    for (const { service, state } of groups.values()) {
      if (this.#promoting.has(service)) continue
      const server = this.#find(state.primary!.endpoint)
      if (server.isDark) continue
      recordVerification(state, server.name, nowMs)
      addSample(state, { atMs: nowMs, position: server.position })
    }
  }

  #computeRate (kind: RequestKind, workspace: number): number {
    const nowMs = this.#time.readNow()
    let factor = 1
    for (const event of this.#pattern.events) {
      if (event.type === 'wave') factor *= 1 + this.#computeSwing(event) / this.#pattern.failureDomains
      if ((event.type !== 'burst' && event.type !== 'hotWorkspace') || nowMs < event.atMs || nowMs >= event.atMs + event.forMs) continue
      if (event.type === 'burst' ? event.kind === undefined || event.kind === kind.name : workspace === 0) factor *= event.factor
    }
    return kind.ratePerSecond * factor * this.#computeWeight(workspace)
  }

  /** Computes by how much the demand of a wave's domain is above its usual, as a fraction. */
  #computeSwing ({ amplitude, periodMs }: Extract<LoadPattern['events'][number], { type: 'wave' }>): number {
    return amplitude * Math.sin(2 * Math.PI * this.#time.readNow() / periodMs)
  }

  /** Draws the VM of a client; domains with more demand have more. */
  #pickVm (): LoadVm {
    let vm = this.#vms[Math.floor(this.#drawVm() * this.#vms.length)]!
    for (const event of this.#pattern.events) {
      if (event.type === 'wave') {
        const swing = this.#computeSwing(event)
        const isKept = vm.failureDomain === event.domain ? this.#drawVm() < 1 + swing : this.#drawVm() >= swing / this.#pattern.failureDomains
        if (!isKept) vm = this.#pickVmOf(d => (d === event.domain) === (swing > 0))
      } else if (event.type === 'moveClients' && this.#time.readNow() >= event.atMs && vm.failureDomain === event.from && this.#drawVm() < 0.5) vm = this.#pickVmOf(d => d === event.to)
    }
    return vm
  }

  #pickVmOf (hasDomain: (failureDomain: string) => boolean): LoadVm {
    const vms = this.#vms.filter(v => hasDomain(v.failureDomain))
    return vms[Math.floor(this.#drawVm() * vms.length)]!
  }

  /** A few workspaces send most of the requests. */
  #computeWeight (workspace: number): number {
    const { workspaces } = this.#pattern
    const total = Array.from({ length: workspaces }, (_, i) => 1 / (i + 2)).reduce((sum, w) => sum + w, 0)
    return 1 / (workspace + 2) / total
  }

  #scheduleArrival (kind: RequestKind): void {
    for (let workspace = 0; workspace < this.#pattern.workspaces; workspace++) this.#scheduleNext(kind, workspace)
  }

  #scheduleNext (kind: RequestKind, workspace: number): void {
    setTimeout(() => {
      if (this.#time.readNow() >= this.#pattern.durationMs) return
      this.#scheduleNext(kind, workspace)
      this.#sendRequest(kind, `w${workspace}`).catch((error: unknown) => { throw error })
    }, -Math.log(1 - this.#random()) * 1_000 / this.#computeRate(kind, workspace))
  }

  async #sendRequest (kind: RequestKind, workspace: string): Promise<void> {
    const sentAtMs = this.#time.readNow()
    const service = `s${this.#drawService()}`
    const isTransaction = kind.transactionFraction > 0 && this.#random() < kind.transactionFraction
    const isWrite = isTransaction || this.#random() < kind.writeFraction / (1 - kind.transactionFraction)
    const workMs = kind.workMs * Math.exp(0.6 * (this.#random() + this.#random() + this.#random() - 1.5))
    const record: RequestRecord = { kind, workspace, sentAtMs, result: 'lost', refusals: 0, waitedMs: 0 }
    this.#records.push(record)
    for (let attempt = 0; attempt <= MAX_RETURNS; attempt++) {
      const timeLeftMs = sentAtMs + kind.deadlineMs - this.#time.readNow()
      const answer = await Promise.race([this.#attempt(kind, { workspace, service, isWrite, isTransaction, workMs }), this.#wait(timeLeftMs)])
      const elapsedMs = this.#time.readNow() - sentAtMs
      if (answer === 'served') {
        record.result = elapsedMs <= kind.objectiveMs ? 'in time' : 'late'
        return
      }
      if (answer === undefined || answer.isFinal) return
      record.refusals++
      record.waitedMs = Math.max(record.waitedMs, answer.waitedMs)
      await this.#wait(answer.returnMs)
      if (this.#time.readNow() - sentAtMs >= kind.deadlineMs) return
    }
  }

  #drawService (): number {
    const { services, serviceSkew } = this.#pattern
    const weights = Array.from({ length: services }, (_, i) => (i + 1) ** -serviceSkew)
    let draw = this.#random() * weights.reduce((sum, w) => sum + w, 0)
    const service = weights.findIndex(w => (draw -= w) < 0)
    return service === -1 ? services - 1 : service
  }

  async #wait (ms: number): Promise<undefined> {
    await new Promise<void>(resolve => setTimeout(resolve, Math.max(0, ms)))
    return undefined
  }

  /** Picks the VM that runs a client's statement: a serving one of the primary's region or of the client's, if the pattern has such VMs. */
  #pickServingVm (clientVm: LoadVm, kind: RequestKind, { service, isWrite, isTransaction }: LoadRequest): LoadVm {
    if (isTransaction || this.#pattern.servingVms === 0) return clientVm
    const region = this.#computeRegion(isWrite || kind.consistency === 'primary' ? this.#find(this.#primaries.get(service)!).failureDomain : clientVm.failureDomain)
    const serving = this.#listServing(service).filter(v => this.#computeRegion(v.failureDomain) === region)
    return serving[Math.floor(this.#drawVm() * serving.length)]!
  }

  async #attempt (kind: RequestKind, request: LoadRequest): Promise<'served' | { isFinal: boolean, returnMs: number, waitedMs: number }> {
    const { isWrite, isTransaction } = request
    const vm = this.#pickServingVm(this.#pickVm(), kind, request)
    await this.#wait(CLIENT_DELAY_MS)
    if (!vm.isUp) {
      await this.#wait(CLIENT_DELAY_MS)
      return { isFinal: false, returnMs: UNREACHED_RETURN_MS, waitedMs: 0 }
    }
    const receivedAtMs = this.#time.readNow()
    const operation = this.#createOperation(kind, request)
    const outcome = isTransaction ? await this.#runTransaction(vm, kind, request, operation) : await this.#runStatement(vm, operation, isWrite)
    const waitedMs = this.#time.readNow() - receivedAtMs
    if (!vm.isUp) return { isFinal: isWrite, returnMs: UNREACHED_RETURN_MS, waitedMs: 0 }
    await this.#wait(CLIENT_DELAY_MS)
    const error = 'refusal' in outcome ? outcome.refusal : outcome.response.error
    if (isWrite && this.#countSent(operation) > 1) this.#counts.writesSentTwice++
    if (error === null) return 'served'
    if (error.code === 'busy' || error.code === 'lagging') this.#recordRefusal(operation, isWrite, waitedMs)
    const hasRun = error.code === 'inDoubt' || error.code === 'timeout'
    return { isFinal: hasRun && isWrite, returnMs: Number(/retry after (\d+) ms/.exec(error.text)?.[1] ?? UNREACHED_RETURN_MS), waitedMs }
  }

  #countSent (operation: Operation): number {
    return this.#sentCounts.get(operation.statement.id) ?? 0
  }

  #recordRefusal (operation: Operation, isWrite: boolean, waitedMs: number): void {
    const { service, objectiveMs, consistency } = operation.route
    const nowMs = this.#time.readNow()
    const isForPrimary = isWrite || consistency === 'primary'
    const servers = [...this.#servers.values()].filter(s => isForPrimary ? s.name === this.#primaries.get(service) : s.name.startsWith(`${service}-`))
    if (!this.#promoting.has(service) && servers.some(s => !s.isDark && s.freeSinceMs !== null && nowMs - s.freeSinceMs > FREE_FOR_MS)) this.#counts.refusedWhileFree++
    if (this.#countSent(operation) === 0 && waitedMs > objectiveMs * MAX_REFUSAL_WAIT_FRACTION + WAIT_TOLERANCE_MS) this.#counts.refusedAfterQuarter++
  }

  #createOperation (kind: RequestKind, { workspace, service, isWrite, workMs }: Omit<LoadRequest, 'isTransaction'>, text?: string): Operation {
    const id = `${++this.#lastId}`
    this.#workMs.set(id, workMs)
    const { name, consistency, objectiveMs, priority, maxStalenessMs, statementTimeoutMs } = kind
    const route: Route = { name, database: service, service, consistency, statementTimeoutMs, objectiveMs, priority, maxStalenessMs, isPublic: false }
    const statement = { id, text: text ?? id, type: isWrite ? 'write' as const : 'read' as const }
    return { statement, requiredState: { session: id, sessionValues: new Map(), preparedStatements: new Map() }, preparedName: null, workspace, route, sessionPosition: null, receivedAtMs: this.#time.readNow() }
  }

  async #runStatement (vm: LoadVm, operation: Operation, isWrite: boolean): Promise<Outcome> {
    return await vm.forwarder?.run(operation, isWrite) ?? await this.#runHere(vm, operation, isWrite)
  }

  async #runHere (vm: LoadVm, operation: Operation, isWrite: boolean): Promise<Outcome> {
    const group = vm.groups.get(operation.route.service)!
    const context = this.#createContext(vm)
    return isWrite ? await runWrite(context, group, operation) : await runRead(context, group, operation)
  }

  /** Runs a transaction of a read, a write and a commit, with the client's round trips between them. */
  async #runTransaction (vm: LoadVm, kind: RequestKind, request: LoadRequest, begin: Operation): Promise<Outcome> {
    this.#workMs.set(begin.statement.id, TRANSACTION_STEP_MS)
    const opened = await openTransaction(this.#createContext(vm), vm.groups.get(request.service)!, begin, false)
    if ('refusal' in opened) return opened
    const { transaction } = opened
    for (const isWrite of [false, true]) {
      await this.#wait(2 * CLIENT_DELAY_MS)
      const outcome = await transaction.run(this.#createOperation(kind, request), isWrite)
      if ('refusal' in outcome || outcome.response.error !== null) return outcome
    }
    await this.#wait(2 * CLIENT_DELAY_MS)
    return await transaction.commit(this.#createOperation(kind, { ...request, workMs: TRANSACTION_STEP_MS }, 'commit'))
  }

  #createContext ({ failureDomain }: LoadVm): StatementContext {
    return {
      clock: this.#time,
      location: { failureDomain, regions: this.#describeRegions() },
      verifyLeadership: async (_, waitMs) => { await this.#wait(Math.min(waitMs, LEASE_RENEWAL_MS)) },
      refreshPrimary: () => {},
      estimateRecoveryMs: () => 0,
      rollbackTimeoutMs: ROLLBACK_TIMEOUT_MS,
      logResponse: () => {},
      recordUnleasedResponse: () => {},
      recordRestoreRefusal: () => {},
      logNoResponse: () => {}
    }
  }

  #describeRegions (): Record<string, string> {
    const { failureDomains, domainsPerRegion } = this.#pattern
    if (domainsPerRegion === 1) return {}
    return Object.fromEntries(Array.from({ length: failureDomains }, (_, i) => [`d${i}`, `r${this.#computeRegion(`d${i}`)}`]))
  }

  describeResult (): LoadResult {
    const servers = [...this.#servers.values()]
    return {
      ...describeRecords(this.#pattern.name, this.#records),
      ...this.#counts,
      opened: servers.reduce((sum, s) => sum + s.opened, 0),
      overLimit: servers.reduce((sum, s) => sum + s.overLimit, 0),
      messages: this.#forwarding?.messages ?? 0
    }
  }
}
