import { pickLaterPosition, type Clock, type Logger, type LogPosition } from '@camphorpitch/wire'
import type { EndpointResponse, EndpointConnector, EndpointStatus } from '../backend/endpoint-connector.ts'
import { ConnectionLostError, LeadershipLostError } from '../backend/errors.ts'
import type { EndpointEntry } from '../directory/endpoint-entry.ts'
import type { ActiveEvacuation } from '../evacuation/evacuations.ts'
import {
  createGroupState,
  hasLeadershipLease,
  isLeadershipRevoked,
  readCommitLeaseEndMs,
  recordCommit,
  recordConfirmation,
  recordPrimaryResponse,
  revokeLeadership,
  updatePrimary,
  type GroupState,
  type KnownPrimary
} from '../freshness/group-state.ts'
import type { ConnectionLimits } from '../pool/connection-plan.ts'
import type { PressureOptions } from '../pool/connection-pressure.ts'
import { recordAbandoned, recordResponse, recordSent, recordNoResponse } from '../pool/endpoint-health.ts'
import { EndpointPool } from '../pool/endpoint-pool.ts'
import type { SchedulingOptions } from '../pool/endpoint-scheduler.ts'
import type { PoolRefusal } from '../pool/errors.ts'
import { listUsableEndpoints, type EndpointCandidate } from '../routing/usable-endpoints.ts'
import { waitAtMost } from '../runtime/wait-at-most.ts'
import type { WarmupVerdict } from '../warmup/decide-permit.ts'
import type { WarmupLimitError, WarmupLimits } from '../warmup/warmup-limits.ts'
import { addDeparture, formatStart, LONG_MISSING_MS, recordLogEnd, removeDeparture, resetLogEnds, type DepartedEndpoint, type Departure } from './departures.ts'

/** A draining endpoint gets no new work after this long, although it continues to serve for some seconds more. */
export const MAX_DRAINING_USE_MS = 4_000

/** Interval at which a statement that waits for a permit to use a cold endpoint checks for one. */
const WARMUP_CHECK_INTERVAL_MS = 20

export interface ServiceGroupOptions {
  service: string
  connector: EndpointConnector
  clock: Clock
  logger: Logger
  readLimits: (group: ServiceGroup, entry: EndpointEntry) => ConnectionLimits
  /** Called for each connection that is opened to an endpoint. */
  recordOpened: () => void
  /** Called for each request that got no connection. */
  recordRefused?: (refusal: PoolRefusal) => void
  /** How pools behave at an endpoint that refuses connections. */
  pressure?: PressureOptions
  /** Decisions on waiting requests; absent if they do not apply. */
  scheduling?: SchedulingOptions
  /** Draws a number in [0, 1) that spreads the return times of refused clients; `Math.random` by default. */
  random?: () => number
  /** Limits the requests to cold endpoints; absent without such limits. */
  warmup?: WarmupLimits
  /** Called if a start of an endpoint has registered that was not registered before. */
  handleStart?: (group: ServiceGroup) => void
  /** Called if an endpoint has left the group, or if the log ends of departures have become unknown. */
  handleDeparture?: (group: ServiceGroup) => void
  /** Called when the known primary is contradicted: by its own position of a later term, or by a VM that knows another one for its term. */
  handlePrimaryDoubt?: (group: ServiceGroup) => void
  /** Lists the evacuated failure domains; none by default. */
  listEvacuations?: () => ReadonlyMap<string, ActiveEvacuation>
}

/** What another VM reported about the primary. Times are on this VM's clock, in milliseconds. */
export interface PeerReport {
  /** Time of the primary's last response to that VM. */
  lastResponseAtMs: number
  /** Time at which the primary last acknowledged a write of that VM. */
  acknowledgedAtMs: number
  /** For how long writes of that VM have been pending without a response. */
  pendingWriteMs: number
  /** When the poll was sent that this answers. */
  reportedAtMs: number
}

const NO_EVACUATIONS: ReadonlyMap<string, ActiveEvacuation> = new Map()

export interface StatementOptions {
  /** Kind of the statement, for the times that each kind takes; empty by default. */
  kind?: string
  /** Whether only a primary runs it, as it belongs to a transaction that may write; false by default. */
  isPrimaryOnly?: boolean
}

interface DependentStatement { endpoint: string, abandon: (error: Error) => void }

/** The endpoints of one service as this VM uses them. */
export class ServiceGroup {
  readonly service: string
  readonly state: GroupState
  readonly pools = new Map<string, EndpointPool>()
  readonly #createdAtMs: number
  /** Time at which the first write was sent to the primary since its last response to a write; `null` if no write has been sent since. */
  unansweredWriteSinceMs: number | null = null
  /** Number of writes and commits sent to the primary that are still pending. */
  writesInFlight = 0
  /** Last report of each other VM about the primary, by VM name. */
  readonly peers = new Map<string, PeerReport>()
  /** Endpoints that have gone, or restarted without their logs, since this VM started; the oldest first. */
  readonly departures: Departure[] = []
  /** The primary that was found not to lead any more; reports of others who still take it for the primary do not count. */
  formerPrimary: KnownPrimary | null = null
  /** The primary of the latest term that this VM has known, whether it still leads or not. */
  #latestPrimary: KnownPrimary | null = null
  /** Since when this VM has known the present primary. What it saw of that endpoint before tells nothing of the primary. */
  primarySinceMs = -Infinity
  /** Time since when no primary is known; `null` while one is. */
  withoutPrimarySinceMs: number | null
  readonly #options: ServiceGroupOptions
  readonly #changeListeners = new Set<() => void>()
  /** Statements in flight whose effect depends on the leadership of their endpoint. */
  readonly #dependentStatements = new Set<DependentStatement>()

  constructor (options: ServiceGroupOptions) {
    this.#options = options
    this.service = options.service
    this.state = createGroupState(options.service)
    this.withoutPrimarySinceMs = options.clock.readNow()
    this.#createdAtMs = this.withoutPrimarySinceMs
  }

  /** The pool of the known primary; `undefined` if no primary is known or it is not registered. */
  get primaryPool (): EndpointPool | undefined {
    const { primary } = this.state
    return primary === null ? undefined : this.pools.get(primary.endpoint)
  }

  /** The evacuated failure domains. */
  get evacuations (): ReadonlyMap<string, ActiveEvacuation> {
    return this.#options.listEvacuations?.() ?? NO_EVACUATIONS
  }

  /** Whether nothing may be sent to the endpoint any more, because its failure domain is evacuated. */
  isClosed (candidate: EndpointCandidate): boolean {
    const { evacuations } = this
    return evacuations.size > 0 && listUsableEndpoints([candidate], { use: 'openTransaction', regions: {}, evacuations }).usable.length === 0
  }

  /** Limits a wait for a connection to the time until nothing may be sent to the endpoint any more. */
  computeMaxWaitMs ({ failureDomain }: EndpointCandidate, waitMs: number): number {
    return Math.min(waitMs, this.evacuations.get(failureDomain)?.closesInMs ?? Infinity)
  }

  /** Whether writes may be sent to the primary now. */
  get isWritable (): boolean {
    const nowMs = this.#options.clock.readNow()
    const pool = this.primaryPool
    return pool !== undefined && pool.measureDraining(nowMs) < MAX_DRAINING_USE_MS && !isLeadershipRevoked(this.state, nowMs) && !this.isClosed(pool.entry)
  }

  /** Whether a write may be sent to the endpoint, as far as its leadership is concerned. */
  hasLease (endpoint: string): boolean {
    const nowMs = this.#options.clock.readNow()
    return hasLeadershipLease(this.state, endpoint, nowMs) || (!this.#hasReplicas && this.isWritable)
  }

  /** Measures for how long the success of the endpoint's commits may still be passed on, in milliseconds; negative if it may not. */
  measureCommitLeaseMs (endpoint: string): number {
    const nowMs = this.#options.clock.readNow()
    if (!this.#hasReplicas && this.state.primary?.endpoint === endpoint) return isLeadershipRevoked(this.state, nowMs) ? -Infinity : Infinity
    return readCommitLeaseEndMs(this.state, endpoint, nowMs) - nowMs
  }

  /** Whether the endpoint does not lead any more or is being replaced without having stepped down. */
  isLeadershipLost (endpoint: string): boolean {
    const { primary, isRevocationPlanned } = this.state
    return primary?.endpoint !== endpoint || (isLeadershipRevoked(this.state, this.#options.clock.readNow()) && !isRevocationPlanned)
  }

  /**
   * Whether there may be an endpoint that could be promoted. The leadership of one that is alone needs no proof. A replica may be missing
   * from the directory for a while although it runs, also from the first list that this VM has read.
   */
  get #hasReplicas (): boolean {
    if (this.pools.size > 1 || this.departures.some(d => d.isGone !== true)) return true
    return this.departures.length === 0 && this.#options.clock.readNow() - this.#createdAtMs < LONG_MISSING_MS
  }

  /** Revokes the endpoint's leadership on request of a promotion to `term`. Unless the change is planned, gives up what is in flight there. */
  revokeLeadership (endpoint: string, term: number, isPlanned: boolean): void {
    if (!revokeLeadership(this.state, endpoint, term, this.#options.clock.readNow(), isPlanned)) return
    if (!isPlanned) this.#abandonStatements(this.state.primary?.endpoint ?? endpoint, new LeadershipLostError('the primary is being replaced'))
    this.#publishChange()
  }

  /** Gives up the writes and commits that are in flight at the endpoint, because its leadership can no longer be verified. */
  expireLease (endpoint: string): void {
    this.#abandonStatements(endpoint, new ConnectionLostError('the primary\'s leadership could not be verified while the write was in flight'))
  }

  /** Waits for the response to a statement that changes data at the endpoint. @throws LeadershipLostError as soon as the endpoint no longer leads; the connection must be closed then */
  async waitWhileLeading<T> (endpoint: string, pendingResponse: Promise<T>): Promise<T> {
    return await new Promise((resolve, reject) => {
      const statement = { endpoint, abandon: reject }
      this.#dependentStatements.add(statement)
      pendingResponse.then(resolve, reject).finally(() => this.#dependentStatements.delete(statement))
    })
  }

  #abandonStatements (endpoint: string, error: Error): void {
    for (const statement of [...this.#dependentStatements].filter(s => s.endpoint === endpoint)) {
      this.#dependentStatements.delete(statement)
      statement.abandon(error)
    }
  }

  /** Adds or updates a registered endpoint. An endpoint with a new address gets a new pool. */
  updateEntry (entry: EndpointEntry): void {
    const { clock, connector, logger, readLimits, recordOpened, recordRefused, pressure, scheduling, random } = this.#options
    const pool = this.pools.get(entry.endpoint)
    this.#options.warmup?.recordEntry(entry)
    if (pool?.entry.startedAtMs !== entry.startedAtMs) this.#recordStart(pool)
    removeDeparture(this.departures, entry, clock.readNow())
    if (pool !== undefined && pool.entry.address === entry.address) pool.updateEntry(entry)
    else {
      pool?.stop()
      this.pools.set(entry.endpoint, new EndpointPool({ entry, connector, clock, logger, recordOpened, recordRefused, pressure, scheduling, random, readLimits: e => readLimits(this, e) }))
    }
    if (entry.role === 'primary' && this.state.primary === null && entry.endpoint !== this.formerPrimary?.endpoint) this.adoptPrimary(entry.endpoint, 0, 'registered')
    this.#publishChange()
  }

  /** Records that an endpoint has started; `previous` is the pool of its earlier start, if that was registered. */
  #recordStart (previous: EndpointPool | undefined): void {
    if (previous !== undefined) this.#addDeparture({ ...describeDeparted(previous), isGone: true, isPresumed: false })
    this.state.replicaStartNoticedAtMs = this.#options.clock.readNow()
    this.#options.handleStart?.(this)
  }

  removeEntry (endpoint: string): void {
    const pool = this.pools.get(endpoint)
    pool?.stop()
    if (pool !== undefined) this.#addDeparture(describeDeparted(pool))
    this.pools.delete(endpoint)
    this.#publishChange()
  }

  /** Records a departure that another VM has seen, for which this VM may have started too late. */
  addReportedDeparture (departed: DepartedEndpoint): void {
    if (departed.isGone === true) this.#options.warmup?.recordReportedEnd(departed.endpoint, departed.startedAtMs)
    const isKnown = [...[...this.pools.values()].map(p => p.entry), ...this.departures].some(e => formatStart(e) === formatStart(departed))
    if (isKnown) return
    const hasStartedAgain = this.pools.has(departed.endpoint)
    this.#addDeparture({ ...departed, isGone: departed.isGone === true || hasStartedAgain, isPresumed: !hasStartedAgain && departed.isPresumed === true })
  }

  /** Records the end of the primary's log in its response to a status request that was sent at `sentAtMs`. */
  recordPrimaryStatus (endpoint: string, { term, received }: Pick<EndpointStatus, 'term' | 'received'>, sentAtMs: number): void {
    this.adoptPrimary(endpoint, term, 'status', true)
    if (this.state.primary?.endpoint === endpoint && this.state.primary.term === term) recordLogEnd(this.departures, received, sentAtMs)
  }

  #addDeparture (departed: DepartedEndpoint): void {
    addDeparture(this.departures, departed, this.#options.clock.readNow())
    this.#options.handleDeparture?.(this)
  }

  /**
   * Records which endpoint leads, unless a primary of a newer term is known.
   *
   * @param term 0 if the term is not known
   * @param source where the information comes from, for the log
   * @param isOwnWord whether the endpoint itself has told that it leads
   */
  adoptPrimary (endpoint: string, term: number, source: string, isOwnWord = false): void {
    const previous = this.state.primary === null ? null : { ...this.state.primary }
    if (!isOwnWord && !this.#isPlausible(endpoint, term, source)) return
    if (!updatePrimary(this.state, endpoint, term, isOwnWord)) return
    if (term >= (this.#latestPrimary?.term ?? 1)) this.#latestPrimary = { endpoint, term }
    if (previous?.endpoint !== endpoint) this.#resetPrimaryRecords(previous)
    this.withoutPrimarySinceMs = null
    this.#options.logger.info('primary changed', { service: this.service, endpoint, term, source, previousPrimary: previous })
    this.#publishChange()
  }

  /** Drops what is known of the previous primary, and gives up what is in flight there. */
  #resetPrimaryRecords (previous: KnownPrimary | null): void {
    this.primarySinceMs = this.#options.clock.readNow()
    this.unansweredWriteSinceMs = null
    this.peers.clear()
    resetLogEnds(this.departures)
    if (previous !== null) this.#abandonStatements(previous.endpoint, new LeadershipLostError('the primary was replaced'))
    if (this.departures.length > 0) this.#options.handleDeparture?.(this)
  }

  /**
   * Whether what others tell of a term may be so: no term that is over has a primary, and no term has two. If another endpoint is known for
   * the term and has not told itself that it leads, the endpoints are asked for their roles.
   */
  #isPlausible (endpoint: string, term: number, source: string): boolean {
    const latest = this.#latestPrimary
    if (latest === null || term === 0 || term > latest.term) return true
    if (term < latest.term) return false
    if (endpoint === latest.endpoint || this.state.isPrimaryConfirmed) return endpoint === latest.endpoint
    this.#options.logger.info('known primary contradicted', { service: this.service, endpoint, term, source, primary: latest })
    this.#options.handlePrimaryDoubt?.(this)
    return false
  }

  /** Records that the known primary no longer leads and that no other endpoint is known to. */
  resetPrimary (): void {
    const { primary } = this.state
    this.#options.logger.warn('primary unknown', { service: this.service, previousPrimary: primary })
    this.formerPrimary = primary ?? this.formerPrimary
    this.state.primary = null
    this.withoutPrimarySinceMs = this.#options.clock.readNow()
    this.unansweredWriteSinceMs = null
    if (primary !== null) this.#abandonStatements(primary.endpoint, new LeadershipLostError('the primary no longer leads'))
  }

  /**
   * Runs one statement on a connection of this group and records what its response tells about the endpoint and the log.
   *
   * @throws ConnectionLostError if no response arrived within `timeoutMs`; the connection must not be used again
   * @throws LeadershipLostError if it is a write and its endpoint no longer leads; the connection must be closed
   * @throws WarmupLimitError if it was not sent because the endpoint is cold, or may be; the connection must be closed
   */
  async runStatement (
    pool: EndpointPool,
    isWrite: boolean,
    timeoutMs: number,
    send: () => Promise<EndpointResponse>,
    options: StatementOptions = {}
  ): Promise<EndpointResponse> {
    const { clock, warmup } = this.#options
    const endpoint = pool.entry.endpoint
    const recordRequestEnd = warmup?.beginRequest(pool)
    const sentAtMs = clock.readNow()
    recordSent(pool.health, sentAtMs)
    if (isWrite) this.#recordWriteSent(endpoint, sentAtMs)
    try {
      const pendingResponse = isWrite ? this.waitWhileLeading(endpoint, send()) : send()
      const response = await waitAtMost(pendingResponse, timeoutMs, () => new ConnectionLostError(`no answer within ${Math.round(timeoutMs)} ms`))
      recordRequestEnd?.(true)
      this.#recordStatementResponse(pool, isWrite, options, sentAtMs, response)
      return response
    } catch (error) {
      recordRequestEnd?.(false)
      if (error instanceof LeadershipLostError) recordAbandoned(pool.health)
      else recordNoResponse(pool.health, clock.readNow())
      if (isWrite && error instanceof LeadershipLostError && this.writesInFlight === 1) this.unansweredWriteSinceMs = null
      throw error
    } finally {
      if (isWrite) {
        this.writesInFlight--
        this.#publishChange()
      }
    }
  }

  #recordStatementResponse (
    pool: EndpointPool,
    isWrite: boolean,
    { kind = '', isPrimaryOnly = false }: StatementOptions,
    sentAtMs: number,
    response: EndpointResponse
  ): void {
    const { endpoint } = pool.entry
    const nowMs = this.#options.clock.readNow()
    pool.recordStatement(kind, sentAtMs, response.error?.code)
    if (isPrimaryOnly && response.error === null) recordConfirmation(this.state, endpoint, sentAtMs)
    recordResponse(pool.health, sentAtMs, nowMs)
    if (isWrite) this.#recordWriteResponse(endpoint, sentAtMs, response, nowMs)
    if (response.position !== null) pool.latestPosition = pickLaterPosition(pool.latestPosition, response.position)
    this.#recordPosition(endpoint, sentAtMs, response.position, nowMs)
  }

  /** Whether the endpoint is cold and requests to it are limited. */
  isCold (pool: EndpointPool): boolean {
    return this.#options.warmup?.isCold(pool) ?? false
  }

  /** Whether a request may be sent to the endpoint as far as the limit of cold endpoints is concerned. */
  hasWarmupPermit (pool: EndpointPool): boolean {
    return this.#options.warmup?.decide(pool).isPermitted ?? true
  }

  /** Reads this VM's share of the requests per second to a cold endpoint; `null` if it is not known. */
  readWarmupShare (endpoint: string): number | null {
    return this.#options.warmup?.readShare(endpoint) ?? null
  }

  /**
   * Waits until a request may be sent to an endpoint that is cold, or may be. Returns at once if that will take longer than `waitMs`.
   *
   * @returns `null` if it may be sent, else the error for the client
   */
  async waitForWarmupPermit (pool: EndpointPool, waitMs: number): Promise<InstanceType<typeof WarmupLimitError> | null> {
    const { warmup, clock } = this.#options
    if (warmup === undefined) return null
    const untilMs = clock.readNow() + waitMs
    for (;;) {
      const verdict = warmup.decide(pool)
      if (verdict.isPermitted) return null
      const nowMs = clock.readNow()
      if (nowMs >= untilMs || (verdict.reason !== 'unconfirmed' && verdict.availableAtMs > untilMs)) return warmup.refuse(pool, verdict)
      await new Promise(resolve => setTimeout(resolve, Math.min(WARMUP_CHECK_INTERVAL_MS, untilMs - nowMs)))
    }
  }

  /** Creates the error for a read that no endpoint can run because those that remain are cold, or may be; `undefined` if there is another reason. */
  refuseColdRead (): InstanceType<typeof WarmupLimitError> | undefined {
    const earliest = this.#findEarliestPermit()
    return earliest === undefined ? undefined : this.#options.warmup?.refuse(earliest.pool, earliest.verdict)
  }

  /** Measures how long it takes until an endpoint that is cold gets a request again, in milliseconds; 0 if none is limited, or one may be found not to be cold at any time. */
  measurePermitWaitMs (): number {
    const earliest = this.#findEarliestPermit()
    return earliest === undefined || earliest.verdict.reason === 'unconfirmed' ? 0 : earliest.verdict.availableAtMs - this.#options.clock.readNow()
  }

  #findEarliestPermit (): { pool: EndpointPool, verdict: Extract<WarmupVerdict, { isPermitted: false }> } | undefined {
    const { warmup } = this.#options
    let earliest: { pool: EndpointPool, verdict: Extract<WarmupVerdict, { isPermitted: false }> } | undefined
    for (const pool of this.pools.values()) {
      const verdict = warmup?.decide(pool)
      if (verdict?.isPermitted === false && verdict.availableAtMs < (earliest?.verdict.availableAtMs ?? Infinity)) earliest = { pool, verdict }
    }
    return earliest
  }

  #recordWriteSent (endpoint: string, nowMs: number): void {
    this.writesInFlight++
    if (this.state.primary?.endpoint === endpoint) this.unansweredWriteSinceMs ??= nowMs
  }

  #recordWriteResponse (endpoint: string, sentAtMs: number, response: EndpointResponse, nowMs: number): void {
    if (this.state.primary?.endpoint === endpoint) this.unansweredWriteSinceMs = null
    if (response.error === null && response.state === 'idle') recordCommit(this.state, endpoint, sentAtMs, response.position, nowMs)
  }

  #recordPosition (endpoint: string, sentAtMs: number, position: LogPosition | null, nowMs: number): void {
    const { primary } = this.state
    if (primary?.endpoint !== endpoint) return
    // A replica that follows a later primary has positions of its term as well, so the endpoints are asked for their roles.
    // Nor is it the response of a primary then, which would tell other VMs that one responds.
    if (position !== null && position.term > primary.term) return this.#options.handlePrimaryDoubt?.(this)
    recordPrimaryResponse(this.state, endpoint, sentAtMs, position, nowMs)
    if (position !== null) recordLogEnd(this.departures, position, sentAtMs)
  }

  /** Waits until `isDone` returns true, for at most `waitMs`. It is checked after each change of the group. @returns whether the condition was met */
  async waitUntil (isDone: () => boolean, waitMs: number): Promise<boolean> {
    if (isDone()) return true
    if (waitMs <= 0) return false
    return await new Promise(resolve => {
      const finish = (result: boolean): void => {
        clearTimeout(timer)
        this.#changeListeners.delete(handleChange)
        resolve(result)
      }
      const handleChange = (): void => { if (isDone()) finish(true) }
      const timer = setTimeout(() => finish(isDone()), waitMs)
      this.#changeListeners.add(handleChange)
    })
  }

  /** Has all `waitUntil` calls check their condition again. */
  publishChange (): void {
    this.#publishChange()
  }

  #publishChange (): void {
    for (const listener of [...this.#changeListeners]) listener()
  }
}

function describeDeparted ({ entry: { endpoint, startedAtMs, address, isDraining }, latestPosition }: EndpointPool): DepartedEndpoint {
  return { endpoint, startedAtMs, address, isDraining, latestPosition }
}
