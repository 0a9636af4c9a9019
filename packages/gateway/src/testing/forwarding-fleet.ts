import { createLogger, PeerNetwork, PEER_PROTOCOL_VERSION, type Hello, type LinkLoss, type LinkLossListener, type PeerHandler } from '@camphorpitch/wire'
import { EndpointConnector, type EndpointConnection, type EndpointResponse } from '../backend/endpoint-connector.ts'
import { ConfigurationHolder } from '../configuration/configuration-holder.ts'
import type { Route } from '../configuration/configuration.ts'
import { addMember, createMemberState, type MemberState } from '../fleet/members.ts'
import type { VmEntry } from '../fleet/message-schemas.ts'
import { addSample, recordVerification } from '../freshness/group-state.ts'
import { GroupTable } from '../groups/group-table.ts'
import type { ServingMessage } from '../serving/forwarding-messages.ts'
import { ServingVms } from '../serving/serving-vms.ts'
import { StatementForwarder } from '../serving/statement-forwarder.ts'
import { GatewaySessionHost, type GatewaySessionHostOptions } from '../sessions/gateway-session-host.ts'
import { gatewaySettingsSchema } from '../settings.ts'
import type { Operation } from '../statements/operation.ts'
import type { SessionAttempts } from '../statements/session-attempts.ts'
import { createGatewayMetrics } from '../telemetry/gateway-metrics.ts'
import type { SimulatedProcess, VirtualTime } from './virtual-time.ts'

export const SERVICE = 's'
const LINK_DELAY_MS = 1
const NEWS_DELAY_MS = 100
const LEASE_RENEWAL_MS = 50
const position = { term: 1, index: 1 }
const logger = createLogger({ process: 'test', level: 'silent' })
export const route: Route = { name: 'r', database: 'd', service: SERVICE, consistency: 'boundedStaleness', statementTimeoutMs: 2_000, objectiveMs: 800, priority: 1, maxStalenessMs: 1_000, isPublic: false }

/** What happens to a message on its way; `delayMs` in addition to the usual. */
type Fate = 'drop' | { delayMs: number } | 'repeat' | undefined

/** The endpoint of the service, which records what it is told. */
export class RecordingEndpoint extends EndpointConnector {
  /** Commands on all connections: `CONNECTION ID`, with the values that the connection holds. */
  readonly runs: Array<{ id: string, connection: number, values: Record<string, string> }> = []
  opened = 0
  workMs = 5
  /** Size of each of the rows that a statement returns, and how many there are. */
  rowBytes = 0
  rowCount = 1

  override async connect (): Promise<EndpointConnection> {
    const connection = ++this.opened
    let values: Record<string, string> = {}
    const respond = async (rows: string[] = [], workMs = 0): Promise<EndpointResponse> => {
      await new Promise<void>(resolve => setTimeout(resolve, workMs))
      return { rows, signature: 'signed', error: null, state: 'idle', position }
    }
    return {
      isOpen: true,
      startPosition: null,
      run: async (id: string) => {
        this.runs.push({ id, connection, values: { ...values } })
        return await respond(Array.from({ length: this.rowCount }, () => `row of ${id}${'x'.repeat(this.rowBytes)}`), this.workMs)
      },
      setValue: async (name: string, value: string) => {
        values[name] = value
        return await respond()
      },
      discard: async () => {
        values = {}
        return await respond()
      },
      subscribeClose: () => {},
      close: () => {}
    } as unknown as EndpointConnection
  }
}

class FakeNetwork extends PeerNetwork {
  override readonly self: Hello
  readonly #fleet: ForwardingFleet
  readonly handlers = new Map<string, PeerHandler>()
  readonly lossListeners: LinkLossListener[] = []

  constructor (fleet: ForwardingFleet, { vm, incarnation, failureDomain }: VmEntry) {
    super()
    this.#fleet = fleet
    this.self = { version: PEER_PROTOCOL_VERSION, vm, incarnation, failureDomain }
  }

  override send (vm: string, slice: string, body: unknown): void { this.#fleet.deliver(this.self, vm, slice, body as ServingMessage) }
  override sendTo (): void {}
  override subscribe (slice: string, handler: PeerHandler): void { this.handlers.set(slice, handler) }
  override subscribeLinkLoss (listener: LinkLossListener): void { this.lossListeners.push(listener) }
}

export interface ForwardingVm { host: GatewaySessionHost, forwarder: StatementForwarder, network: FakeNetwork, members: MemberState, servingVms: ServingVms, configuration: ConfigurationHolder, groups: GroupTable, process: SimulatedProcess, decisions: string[], served: string[] }

export interface RunOptions {
  isWrite?: boolean
  session?: string
  values?: Record<string, string>
  routeChanges?: Partial<Route>
  allowedRegions?: string[]
  attempts?: SessionAttempts
}

/** Three VMs of a fleet of 24 with real session hosts, two of which serve the service, before one endpoint. */
export class ForwardingFleet {
  readonly time: VirtualTime
  readonly endpoint = new RecordingEndpoint()
  readonly vms = new Map<string, ForwardingVm>()
  /** Decides what becomes of each message. */
  drawFate: (to: string, message: ServingMessage) => Fate = () => undefined
  readonly sent: ServingMessage[] = []
  readonly #entries: VmEntry[] = []

  constructor (time: VirtualTime, fleetSize = 24) {
    this.time = time
    for (let i = 0; i < fleetSize; i++) this.#entries.push(createEntry(i, 1))
    for (let i = 0; i < 3; i++) this.startVm(i)
    setInterval(() => this.#recordLeaderships(), LEASE_RENEWAL_MS)
  }

  /** Starts a VM, or starts it again under its name without what it knew. The others lose their links to it, and learn of its new start later. */
  startVm (index: number, incarnation = 1): ForwardingVm {
    const self = createEntry(index, incarnation)
    this.#entries[index] = self
    for (const [name, { members }] of this.vms) {
      this.cutLink(name, self.vm, 'closed')
      setTimeout(() => addMember(members, self), NEWS_DELAY_MS)
    }
    const process = { name: self.vm, frozenUntilMs: -Infinity }
    const vm = this.time.runAs(process, () => this.#createVm(self, process))
    this.vms.set(self.vm, vm)
    this.#recordLeaderships()
    return vm
  }

  #createVm (self: VmEntry, process: SimulatedProcess): ForwardingVm {
    const { time: clock } = this
    const members = createMemberState(self)
    for (const entry of this.#entries) addMember(members, entry)
    const configuration = new ConfigurationHolder(logger)
    const services = [SERVICE, 't'].map(name => ({ name, maxConnections: 30, syncReplicas: 0 }))
    configuration.apply({ version: 1, routes: [], services, workspaces: [{ name: 'w', keys: ['k'] }], transactionIdleMs: 3_000 }, 'test')
    const network = new FakeNetwork(this, self)
    const servingVms = new ServingVms({ clock, members, configuration, regions: { north: 'r' } })
    const groups = new GroupTable({ connector: this.endpoint, clock, logger, configuration, members, servingVms, recordOpened: () => {}, checkRole: () => {}, handleDeparture: () => {} })
    groups.applyChanges([{ event: 'added', entry: { endpoint: 'e', service: SERVICE, address: '127.0.0.1:1', failureDomain: 'north', role: 'primary', isDraining: false, slots: 4, warmupLeftMs: 0, startedAtMs: 1 } }])
    const [decisions, served]: [string[], string[]] = [[], []]
    const forwarder = new StatementForwarder({ clock, logger, network, members, servingVms, findPrimaryDomain: () => 'north', recordDecision: (_, place, reason) => decisions.push(`${place} ${reason}`), recordServed: (_, result) => served.push(result) })
    const settings = gatewaySettingsSchema.parse({ vm: self.vm, failureDomain: 'north', host: '10.0.0.1', clients: '10.0.0.1:1', readiness: '10.0.0.1:2', internalPorts: [1, 2], store: '10.0.0.1:3', promoter: '10.0.0.1:4' })
    const others = { quotas: {}, permits: {}, leadershipVerifier: { verifyLeadership: async () => {} }, failover: { estimateRecoveryMs: () => 0 }, removeSession: () => {} }
    const host = new GatewaySessionHost({ settings, clock, logger, metrics: createGatewayMetrics(), configuration, groups, forwarder, ...others } as unknown as GatewaySessionHostOptions)
    return { host, forwarder, network, members, servingVms, configuration, groups, process, decisions, served }
  }

  /** Lists the names of the VMs: one that does not serve the service, then those that do, in the order in which the workspace uses them. */
  listNames (): string[] {
    const names = [...this.vms.keys()]
    const serving = [...this.vms.values()][0]!.servingVms.listFor(SERVICE, 'r', 'w').map(e => e.vm)
    return [...names.filter(n => !serving.includes(n)), ...serving]
  }

  /** Has a client of a VM run a statement, and returns `ROWS SIGNATURE`, or the code of its error. */
  async run (vm: string, id: string, { isWrite = false, session = 'session-1', values = {}, routeChanges = {}, allowedRegions, attempts }: RunOptions = {}): Promise<string> {
    const { host, process } = this.vms.get(vm)!
    const operation: Operation = {
      statement: { id, text: id, type: isWrite ? 'write' : 'read' },
      requiredState: { session, sessionValues: new Map(Object.entries(values)), preparedStatements: new Map() },
      preparedName: null,
      workspace: 'w',
      route: { ...route, ...routeChanges },
      allowedRegions,
      sessionPosition: null,
      attempts,
      receivedAtMs: this.time.readNow()
    }
    const outcome = await this.time.runAs(process, async () => isWrite ? await host.runWrite(operation) : await host.runRead(operation))
    if ('refusal' in outcome) return outcome.refusal.code
    return outcome.response.error?.code ?? `${outcome.response.rows.join()} ${outcome.response.signature}`
  }

  countRuns (id: string): number {
    return this.endpoint.runs.filter(r => r.id === id).length
  }

  deliver (from: Hello, to: string, slice: string, body: ServingMessage): void {
    if (this.vms.get(from.vm)?.members.self.incarnation !== from.incarnation) return // Its process has ended.
    this.sent.push(body)
    const fate = this.drawFate(to, body)
    if (fate === 'drop') return
    const delayMs = LINK_DELAY_MS + (typeof fate === 'object' ? fate.delayMs : 0)
    for (let i = 0; i < (fate === 'repeat' ? 2 : 1); i++) this.#scheduleDelivery(from, to, slice, structuredClone(body), delayMs)
  }

  #scheduleDelivery (from: Hello, to: string, slice: string, body: unknown, delayMs: number): void {
    this.time.waitOutside(delayMs).then(async () => {
      const vm = this.vms.get(to)
      if (vm === undefined) return this.cutLink(from.vm, to, 'unreachable')
      await this.time.waitWhileFrozen(vm.process)
      this.time.runAs(vm.process, () => vm.network.handlers.get(slice)?.(from, body))
    }, () => {})
  }

  /** Has a VM notice that its link to another one is lost. */
  cutLink (vm: string, to: string, loss: LinkLoss): void {
    const lost = this.vms.get(vm)!
    this.time.runAs(lost.process, () => { for (const listener of lost.network.lossListeners) listener(to, loss) })
  }

  #recordLeaderships (): void {
    for (const { groups } of this.vms.values()) {
      const { state } = groups.find(SERVICE)!
      recordVerification(state, 'e', this.time.readNow())
      addSample(state, { atMs: this.time.readNow(), position })
    }
  }
}

/** Entry of one of the VMs; only the first three state their capacity, so that the others serve nothing. */
function createEntry (index: number, incarnation: number): VmEntry {
  return { vm: `vm${index}`, host: '127.0.0.1', port: 1, failureDomain: 'north', region: 'r', incarnation, ...(index < 3 && { capacity: 1 }) }
}
