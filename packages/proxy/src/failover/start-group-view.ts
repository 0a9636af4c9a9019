import { randomBytes } from 'node:crypto'
import { type Clock, comparePositions, type Database, formatFenceStatement, formatFollowStatement, formatPromoteStatement, formatStatusQuery, type InstanceStatus, type Logger, type LogPosition, parseInstanceStatus, spawnSlice } from '@camphorpitch/wire'
import type { ActorSystemRef } from 'nact'
import type { Metrics } from '../telemetry/metrics.ts'
import { createControlConnection, type ControlConnection } from './control-connection.ts'
import { decideFailover } from './decide-failover.ts'
import { startDurabilityWatch, type DurabilityWatch } from './durability-watch.ts'
import { InstanceRefusalError, InstanceUnreachableError, NoQuorumError } from './errors.ts'
import { GroupView, type InstanceView } from './group-view.ts'
import { estimateRecoveryMs, findReachablePrimary, isPrimarySuspected, isReachable, listInstancesToProbe, listProbedInstances } from './health.ts'
import type { FailoverEffect, FailoverMessage, FailoverStage } from './messages.ts'
import { createSharedProbe } from './shared-probe.ts'
import { createFailoverState, type FailoverState } from './state.ts'
import type { FailoverTimings } from './timings.ts'

const TICK_INTERVAL_MS = 50
/** A control connection without a response to a probe for this long is closed; the next probe opens a new one. */
const PROBE_TIMEOUT_MS = 2_000
const COMMAND_TIMEOUT_MS = 1_000
const PROMOTER_ID_RANDOM_BYTES = 6
/** Rank of a VM that is not among those that serve the database; it promotes after those with a lower rank. */
const NON_SERVING_VM_RANK = 5

export interface GroupViewOptions {
  system: ActorSystemRef
  clock: Clock
  logger: Logger
  database: Database
  /** Name of this VM and number of its current run, for logs; safety does not depend on them. */
  vm: string
  incarnation: number
  /** This VM's place among those that serve the database; 0 promotes first, a negative number means that it does not serve it. */
  readRank?: () => number
  /** Seed of the backoff between elections. */
  seed?: number
  timings?: Partial<FailoverTimings>
  metrics?: Pick<Metrics, 'promotions' | 'outage'>
}

interface InstanceConnections {
  /** Carries probes and the statements that fence, promote and follow. */
  commandConnection: ControlConnection
  /** Carries `GROUP WAIT`, which may take long and must not delay probes. */
  durabilityConnection: ControlConnection
  probe: () => Promise<InstanceStatus>
}

/**
 * Starts to probe a database group, to replace its primary when it is lost, and to report what this
 * VM knows of the group. Holds at most two control connections to each instance until it is stopped.
 *
 * @example const view = startGroupView({ system, clock, logger, database, vm: 'vm-1', incarnation: 7 })
 */
export function startGroupView (options: GroupViewOptions): GroupView {
  return new ProbedGroupView(options)
}

/** Creates an id unique to this view, since a grant to an earlier run of the same VM must not count for this one. */
function createPromoterId (vm: string, incarnation: number): string {
  return `${vm}.${incarnation}.${randomBytes(PROMOTER_ID_RANDOM_BYTES).toString('hex')}`
}

class ProbedGroupView extends GroupView {
  readonly #options: GroupViewOptions
  readonly #connections: Map<string, InstanceConnections>
  readonly #listeners = new Set<() => void>()
  readonly #durabilityWatch: DurabilityWatch
  readonly #primaryByTerm = new Map<number, string>()
  readonly #tell: (message: FailoverMessage) => void
  readonly #readState: () => FailoverState
  readonly #stopActor: () => void
  readonly #timers: NodeJS.Timeout[]
  #probeRound = 0
  #isStopped = false

  constructor (options: GroupViewOptions) {
    super()
    this.#options = options
    const { system, clock, logger, database, vm, incarnation, seed = incarnation, timings } = options
    const { endpoints } = database
    this.#connections = new Map(endpoints.map(e => [e.endpoint, this.#createConnections(e.endpoint)]))
    const initialState = createFailoverState({ database: database.database, endpoints, promoterId: createPromoterId(vm, incarnation), seed, nowMs: clock.readNow(), timings })
    this.#durabilityWatch = startDurabilityWatch({ connections: new Map([...this.#connections].map(([name, connections]) => [name, connections.durabilityConnection])), quorumSize: initialState.quorumSize })
    const actor = spawnSlice<FailoverState, FailoverMessage, FailoverEffect>({
      system, name: `failover-${database.database}`, clock, logger, initialState, decide: decideFailover, runEffect: e => { this.#runEffect(e) }
    })
    this.#tell = actor.tell
    this.#readState = actor.readState
    this.#stopActor = actor.stop
    const { probeIntervalMs } = initialState.timings
    this.#timers = [setInterval(() => { this.#tick() }, TICK_INTERVAL_MS), setInterval(() => { this.#probeNextRound() }, probeIntervalMs)]
    this.#probeAll()
  }

  override listInstances (): readonly InstanceView[] {
    const state = this.#readState()
    const nowMs = this.#options.clock.readNow()
    return listProbedInstances(state).map(i => ({
      endpoint: i.endpoint, status: i.status, probedAtMs: i.probedAtMs, isReachable: isReachable(state, i, nowMs)
    }))
  }

  override findPrimary () {
    const primary = findReachablePrimary(this.#readState(), this.#options.clock.readNow())
    return primary === undefined ? undefined : { endpoint: primary.endpoint, term: primary.status!.term }
  }

  override async probeInstance (endpoint: string): Promise<InstanceStatus> {
    const connections = this.#connections.get(endpoint)
    if (connections === undefined) throw new InstanceUnreachableError(`${endpoint}: not an instance of this group`)
    return await connections.probe()
  }

  override async readBaseline (timeoutMs: number): Promise<LogPosition> {
    const { quorumSize } = this.#readState()
    const positions: LogPosition[] = []
    return await new Promise((resolve, reject) => {
      const rejectWithoutQuorum = (): void => { reject(new NoQuorumError(`${this.#options.database.database}: fewer than ${quorumSize} instances responded in time`)) }
      const timer = setTimeout(rejectWithoutQuorum, timeoutMs)
      let pendingProbeCount = this.#connections.size
      const handleProbeResult = (status: InstanceStatus | null): void => {
        pendingProbeCount--
        if (status !== null) positions.push(status.logged)
        if (positions.length === quorumSize) resolve(positions.sort(comparePositions).at(-1)!)
        else if (pendingProbeCount + positions.length < quorumSize) rejectWithoutQuorum()
        if (positions.length >= quorumSize || pendingProbeCount === 0) clearTimeout(timer)
      }
      for (const connections of this.#connections.values()) connections.probe().then(handleProbeResult, () => { handleProbeResult(null) })
    })
  }

  override async waitDurable (position: LogPosition, timeoutMs: number): Promise<boolean> {
    return await this.#durabilityWatch.wait(position, this.#primaryByTerm.get(position.term) ?? null, timeoutMs)
  }

  override estimateRecoveryMs (): number {
    return estimateRecoveryMs(this.#readState(), this.#options.clock.readNow())
  }

  override subscribe (listener: () => void): void {
    this.#listeners.add(listener)
  }

  override stop (): void {
    this.#isStopped = true
    for (const t of this.#timers) clearInterval(t)
    this.#stopActor()
    this.#options.metrics?.outage.remove({ database: this.#options.database.database })
    this.#durabilityWatch.stop()
    for (const { commandConnection, durabilityConnection } of this.#connections.values()) {
      commandConnection.stop()
      durabilityConnection.stop()
    }
    this.#listeners.clear()
  }

  #createConnections (name: string): InstanceConnections {
    const { endpoints, user, password } = this.#options.database
    const endpoint = endpoints.find(e => e.endpoint === name)!
    const commandConnection = createControlConnection({ endpoint, user, password })
    const durabilityConnection = createControlConnection({ endpoint, user, password })
    return { commandConnection, durabilityConnection, probe: createSharedProbe(() => this.#probe(name)) }
  }

  #tick (): void {
    const rank = this.#options.readRank?.() ?? 0
    this.#tell({ type: 'tick', rank: rank < 0 ? NON_SERVING_VM_RANK : rank })
    if (isPrimarySuspected(this.#readState(), this.#options.clock.readNow())) this.#probeAll()
  }

  #probeNextRound (): void {
    this.#probeRound++
    for (const { endpoint } of listInstancesToProbe(this.#readState(), this.#probeRound)) this.#connections.get(endpoint.endpoint)!.probe().catch(() => {})
  }

  #probeAll (): void {
    for (const connections of this.#connections.values()) connections.probe().catch(() => {})
  }

  async #probe (endpoint: string): Promise<InstanceStatus> {
    if (this.#isStopped) throw new InstanceUnreachableError(`${endpoint}: the group view has been stopped`)
    const sentAtMs = this.#options.clock.readNow()
    this.#tell({ type: 'probeSent', endpoint })
    try {
      const status = parseInstanceStatus(await this.#connections.get(endpoint)!.commandConnection.query(formatStatusQuery(), PROBE_TIMEOUT_MS))
      this.#recordStatus(endpoint, status, sentAtMs)
      return status
    } catch (error) {
      const refused = error instanceof InstanceUnreachableError && error.refused === true
      this.#tell({ type: 'probeFailed', endpoint, sentAtMs, refused })
      throw error
    }
  }

  #recordStatus (endpoint: string, status: InstanceStatus, sentAtMs: number): void {
    if (status.role === 'primary') this.#primaryByTerm.set(status.term, endpoint)
    this.#durabilityWatch.recordReport(endpoint, status)
    this.#tell({ type: 'probeAnswered', endpoint, sentAtMs, status })
  }

  #runEffect (effect: FailoverEffect): void {
    if (this.#isStopped) return
    if (effect.type === 'changed') {
      for (const listener of this.#listeners) listener()
      return
    }
    if (effect.type === 'log') {
      this.#logStage(effect.stage, effect.fields)
      return
    }
    this.#runCommand(effect).catch(() => {})
  }

  #logStage (stage: FailoverStage, fields: Record<string, unknown>): void {
    const { logger, metrics, database: { database } } = this.#options
    logger.info('failover stage reached', { database, stage, ...fields })
    if (stage === 'promoted') metrics?.promotions.inc({ database })
    if (stage === 'primaryLost') metrics?.outage.set({ database }, 1)
    if (stage === 'recovered') metrics?.outage.set({ database }, 0)
  }

  async #runCommand (effect: Exclude<FailoverEffect, { type: 'log' | 'changed' }>): Promise<void> {
    const { endpoint } = effect
    const sentAtMs = this.#options.clock.readNow()
    if (effect.type === 'follow') {
      const { term, primary } = effect
      this.#recordStatus(endpoint, await this.#sendCommand(endpoint, formatFollowStatement(term, primary.endpoint, primary.host, primary.port)), sentAtMs)
      return
    }
    const { term, promoter } = effect
    if (effect.type === 'fence') {
      const status = await this.#sendElectionCommand(endpoint, formatFenceStatement(term, promoter), () => { this.#tell({ type: 'fenceRefused', endpoint, promoter }) })
      if (status !== null) this.#tell({ type: 'fenceGranted', endpoint, promoter, sentAtMs, status })
      return
    }
    const status = await this.#sendElectionCommand(endpoint, formatPromoteStatement(term, promoter), () => { this.#tell({ type: 'promoteFailed', endpoint, promoter }) })
    if (status === null) return
    this.#primaryByTerm.set(status.term, endpoint)
    this.#tell({ type: 'promoteAnswered', endpoint, promoter, sentAtMs, status })
  }

  async #sendElectionCommand (endpoint: string, sql: string, onRefused: () => void): Promise<InstanceStatus | null> {
    try {
      return await this.#sendCommand(endpoint, sql)
    } catch (error) {
      if (error instanceof InstanceRefusalError) onRefused()
      return null
    }
  }

  async #sendCommand (endpoint: string, sql: string): Promise<InstanceStatus> {
    return parseInstanceStatus(await this.#connections.get(endpoint)!.commandConnection.query(sql, COMMAND_TIMEOUT_MS))
  }
}
