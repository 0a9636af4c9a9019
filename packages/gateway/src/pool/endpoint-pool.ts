import { describeError, type Clock, type Logger, type LogPosition } from '@camphorpitch/wire'
import type { EndpointConnector } from '../backend/endpoint-connector.ts'
import { ConnectionLostError, EndpointRefusedError } from '../backend/errors.ts'
import type { EndpointEntry } from '../directory/endpoint-entry.ts'
import { planConnections, type ConnectionLimits, type ConnectionSlot, type PlannedStep, type ConnectionRequest } from './connection-plan.ts'
import { createConnectionPressure, readIdleTimeoutMs, recordAccepted, recordAcceptedUnderLoad, recordOverLimit, type ConnectionPressure, type PressureOptions } from './connection-pressure.ts'
import { createHealth, measureUnansweredMs, recordConnected, recordRefused, recordSent, recordNoResponse, type EndpointHealth } from './endpoint-health.ts'
import { EndpointScheduler, type SchedulingOptions } from './endpoint-scheduler.ts'
import { estimateReturnMs, type WorkInHand } from './estimate-return.ts'
import { PoolError, RequestWithdrawnError, type PoolRefusal } from './errors.ts'
import { PooledConnection } from './pooled-connection.ts'
import type { Withdrawal } from './withdrawal.ts'

/** Timeout of a connection attempt, in milliseconds. Opening a connection across regions takes tens of milliseconds. */
const CONNECT_TIMEOUT_MS = 900
/** Backoff after a failed connection attempt, in milliseconds. */
const CONNECT_FAILURE_BACKOFF_MS = 200

export interface AcquireOptions {
  workspace: string
  /** Client session that the connection is for. */
  session: string
  /** 0 is served first. */
  priority: number
  /** Maximum wait for a connection, in milliseconds. */
  waitMs: number
  /** Whether another endpoint can serve the request. If so, it is rejected at once when this endpoint accepts no more connections. */
  canUseOtherEndpoint?: boolean
  /** Ends the wait when the statement is not to be run here any more. */
  withdrawal?: Withdrawal
}

interface PendingAcquire {
  request: ConnectionRequest
  canUseOtherEndpoint: boolean
  timer: NodeJS.Timeout
  resolve: (connection: PooledConnection) => void
  reject: (error: Error) => void
}

export interface EndpointPoolOptions {
  entry: EndpointEntry
  connector: EndpointConnector
  clock: Clock
  logger: Logger
  /** Returns the limits that apply to this VM now. */
  readLimits: (entry: EndpointEntry) => ConnectionLimits
  /** Called for each connection attempt, for the metrics. */
  recordOpened: () => void
  /** Called for each request that got no connection, for the metrics. */
  recordRefused?: (refusal: PoolRefusal) => void
  /** How the pool behaves at an endpoint that refuses connections. */
  pressure?: PressureOptions
  /** Decisions on waiting requests; absent: requests are ordered by priority and connections in use, and nothing limits what is in flight. */
  scheduling?: SchedulingOptions
  /** Draws a number in [0, 1); `Math.random` by default. */
  random?: () => number
}

/** A place in the pool; `connection` is `null` while the connection is being opened. */
interface PoolSlot extends ConnectionSlot { connection: PooledConnection | null, grantedAtMs: number }

/** Pool of this VM's connections to one endpoint, with the requests that wait for one. */
export class EndpointPool {
  entry: EndpointEntry
  readonly health: EndpointHealth = createHealth()
  /** Time until which the endpoint's log is likely to lack the positions that reads require. */
  laggingUntilMs = -Infinity
  /** Latest position that the endpoint's log is known to have held since its registered start; `null` if none is known. */
  latestPosition: LogPosition | null = null
  /** Since when the endpoint is known to drain; `null` while it does not. */
  drainingSinceMs: number | null = null
  /** When a connection last ended at the endpoint's side or could not be opened, or a statement was not answered: the endpoint may have restarted since. `-Infinity` if never. */
  lastLossAtMs = -Infinity
  /** When the newest connection was opened; `-Infinity` if none was. */
  lastConnectedAtMs = -Infinity
  /** When the first connection since `lastLossAtMs` was opened; `null` if none was. */
  reconnectedAtMs: number | null = null
  readonly #options: EndpointPoolOptions
  readonly #slots = new Map<number, PoolSlot>()
  readonly #pendingRequests = new Map<number, PendingAcquire>()
  #lastId = 0
  /** End of the backoff after a failed connection attempt. */
  #nextOpenAllowedAtMs = -Infinity
  readonly #pressure: ConnectionPressure
  readonly #scheduler: EndpointScheduler | undefined
  #isStopped = false

  constructor (options: EndpointPoolOptions) {
    this.entry = options.entry
    this.#options = options
    this.#pressure = createConnectionPressure(options.pressure)
    this.#scheduler = options.scheduling === undefined ? undefined : new EndpointScheduler(options.entry.slots, options.scheduling)
    this.updateEntry(options.entry)
  }

  /** Decides on waiting requests; `undefined` while it does not apply. */
  get scheduler (): EndpointScheduler | undefined {
    return this.#scheduler?.isApplied === true ? this.#scheduler : undefined
  }

  /** Updates the pool with the endpoint's latest directory entry. */
  updateEntry (entry: EndpointEntry): void {
    if (entry.startedAtMs !== this.entry.startedAtMs) this.latestPosition = null
    this.entry = entry
    this.drainingSinceMs = entry.isDraining ? this.drainingSinceMs ?? this.#options.clock.readNow() : null
  }

  /** Returns for how long the endpoint has been draining, in milliseconds; 0 while it does not drain. */
  measureDraining (nowMs: number): number {
    return this.drainingSinceMs === null ? 0 : nowMs - this.drainingSinceMs
  }

  /** Records that the endpoint may have ended or restarted. */
  recordLoss (): void {
    this.lastLossAtMs = this.#options.clock.readNow()
    this.reconnectedAtMs = null
  }

  get pendingRequestCount (): number {
    return this.#pendingRequests.size
  }

  /** Estimates the return time of a request that is refused now, in milliseconds. */
  estimateReturnMs (draw: number): number {
    return estimateReturnMs(this.#readWorkInHand(), draw)
  }

  countBusy (): number {
    let busy = 0
    for (const s of this.#slots.values()) if (s.state === 'busy') busy++
    return busy
  }

  /** Whether an idle connection of the workspace is available. */
  hasIdleConnection (workspace: string): boolean {
    for (const slot of this.#slots.values()) if (slot.state === 'idle' && slot.workspace === workspace) return true
    return false
  }

  /**
   * Waits for a connection. The caller returns it with `release`.
   *
   * @throws PoolError when no connection is available in time; no statement was sent to the endpoint
   * @throws RequestWithdrawnError when the request was withdrawn
   */
  async acquire ({ workspace, session, priority, waitMs, canUseOtherEndpoint = false, withdrawal }: AcquireOptions): Promise<PooledConnection> {
    if (this.#isStopped) throw new PoolError('endpoint is gone', { props: { refusal: 'gone' } })
    const nowMs = this.#options.clock.readNow()
    this.scheduler?.recordRequest(priority, nowMs)
    const id = ++this.#lastId
    const pendingConnection = new Promise<PooledConnection>((resolve, reject) => {
      const timer = setTimeout(() => this.#handleWaitEnd(id), waitMs)
      this.#pendingRequests.set(id, { request: { id, workspace, session, priority, requestedAtMs: nowMs, deadlineMs: nowMs + waitMs }, canUseOtherEndpoint, timer, resolve, reject })
      this.runPlan()
    })
    const unsubscribe = withdrawal?.subscribe(() => this.#withdrawRequest(id))
    return await (unsubscribe === undefined ? pendingConnection : pendingConnection.finally(unsubscribe))
  }

  #withdrawRequest (id: number): void {
    const pending = this.#pendingRequests.get(id)
    if (pending === undefined) return
    this.#pendingRequests.delete(id)
    clearTimeout(pending.timer)
    pending.reject(new RequestWithdrawnError('request withdrawn'))
  }

  /** Sets whether a transaction's connection waits for its client, which has sent no further statement. */
  setHeld (connection: PooledConnection, isHeld: boolean): void {
    const slot = this.#slots.get(connection.id)
    if (slot === undefined) return
    slot.isHeld = isHeld
    if (isHeld) this.runPlan()
  }

  /** Rejects a request at the end of its wait, unless it may wait for a connection that is being opened. */
  #handleWaitEnd (id: number): void {
    const pending = this.#pendingRequests.get(id)
    if (pending === undefined) return
    const nowMs = this.#options.clock.readNow()
    const extraMs = pending.canUseOtherEndpoint ? 0 : this.scheduler?.computeExtraWaitMs(pending.request, this.#listRequests(), this.#slots.values(), measureUnansweredMs(this.health, nowMs), nowMs) ?? 0
    if (extraMs <= 0) return this.#rejectRequest(id, 'busy', 'no connection became free in time')
    clearTimeout(pending.timer)
    pending.timer = setTimeout(() => this.#handleWaitEnd(id), Math.ceil(extraMs))
  }

  /** Rejects requests that have waited for a connection which is not for them any more. */
  #rejectOverdue (): void {
    const nowMs = this.#options.clock.readNow()
    for (const request of this.#listRequests()) if (request.deadlineMs <= nowMs) this.#handleWaitEnd(request.id)
  }

  #listRequests (): ConnectionRequest[] {
    return [...this.#pendingRequests.values()].map(pending => pending.request)
  }

  /**
   * Returns a connection to the pool. It is closed if `isReusable` is `false`, or its endpoint has not confirmed the session state that it
   * was given.
   */
  release (connection: PooledConnection, isReusable: boolean): void {
    const slot = this.#slots.get(connection.id)
    if (slot === undefined) return
    const nowMs = this.#options.clock.readNow()
    slot.isHeld = false
    this.scheduler?.recordRelease(slot.workspace, slot.grantedAtMs, nowMs)
    if (!isReusable || this.#isStopped || !connection.connection.isOpen || !connection.isStateConfirmed) return this.#closeSlot(slot)
    slot.state = 'idle'
    slot.session = connection.session
    slot.lastUsedAtMs = nowMs
    this.runPlan()
    this.#schedulePlan(readIdleTimeoutMs(this.#pressure, slot.lastUsedAtMs))
  }

  /** Plans and carries out the next steps. Called on every change, when a backoff or idle timeout ends, and periodically. */
  runPlan (): void {
    const { clock, readLimits } = this.#options
    const { scheduler } = this
    const nowMs = clock.readNow()
    const slots = [...this.#slots.values()]
    const limits = { ...readLimits(this.entry), idleTimeoutMs: readIdleTimeoutMs(this.#pressure, nowMs) }
    const canOpen = (request: ConnectionRequest): boolean => !this.#isStopped && (scheduler?.canOpen(request, this.#nextOpenAllowedAtMs, nowMs) ?? nowMs >= this.#nextOpenAllowedAtMs)
    const requests = scheduler?.sortRequests(this.#listRequests(), slots, nowMs)
    const steps = planConnections(slots, requests ?? this.#listRequests(), scheduler?.computeLimits(limits, nowMs) ?? limits, canOpen, nowMs, requests !== undefined)
    for (const step of steps) this.#runStep(step)
  }

  /** Rejects pending and further requests. Closes idle connections now and the others when they are released. */
  stop (): void {
    this.#isStopped = true
    for (const id of [...this.#pendingRequests.keys()]) this.#rejectRequest(id, 'gone', 'endpoint is gone')
    for (const slot of [...this.#slots.values()]) if (slot.state === 'idle') this.#closeSlot(slot)
  }

  #runStep (step: PlannedStep): void {
    if (step.type === 'open') return this.#openConnection(step.workspace)
    const slot = this.#slots.get(step.slot.id)
    if (slot === undefined) return
    if (step.type === 'close') return this.#closeSlot(slot)
    const pending = this.#pendingRequests.get(step.request.id)
    if (pending === undefined || slot.connection === null) return
    this.#pendingRequests.delete(step.request.id)
    clearTimeout(pending.timer)
    slot.state = 'busy'
    slot.grantedAtMs = this.#options.clock.readNow()
    slot.session = step.request.session
    pending.resolve(slot.connection)
  }

  #openConnection (workspace: string): void {
    const { connector, clock, recordOpened } = this.#options
    const { endpoint, service, address } = this.entry
    const slot: PoolSlot = { id: ++this.#lastId, workspace, session: null, state: 'opening', lastUsedAtMs: clock.readNow(), grantedAtMs: 0, connection: null }
    this.#slots.set(slot.id, slot)
    const sentAtMs = clock.readNow()
    recordSent(this.health, sentAtMs)
    recordOpened()
    connector.connect({ endpoint, service, address, workspace }, CONNECT_TIMEOUT_MS).then(connection => {
      recordConnected(this.health, clock.readNow())
      if (this.scheduler === undefined) recordAccepted(this.#pressure)
      else recordAcceptedUnderLoad(this.#pressure)
      this.scheduler?.recordConnected(sentAtMs, this.health.inFlight + 1, clock.readNow())
      slot.connection = new PooledConnection(slot.id, endpoint, connection)
      slot.state = 'idle'
      slot.lastUsedAtMs = clock.readNow()
      this.lastConnectedAtMs = slot.lastUsedAtMs
      this.reconnectedAtMs ??= slot.lastUsedAtMs
      connection.subscribeClose(() => this.#handleClosed(slot.id))
      if (this.#isStopped) return this.#closeSlot(slot)
      this.runPlan()
      this.#rejectOverdue()
    }, (error: unknown) => this.#handleOpenFailure(slot, error, sentAtMs))
  }

  #handleOpenFailure (slot: PoolSlot, error: unknown, sentAtMs: number): void {
    const { clock, logger } = this.#options
    const nowMs = clock.readNow()
    this.#slots.delete(slot.id)
    this.#rejectOverdue()
    const reason = describeError(error)
    logger.info('endpoint connection attempt failed', { endpoint: this.entry.endpoint, workspace: slot.workspace, reason, elapsedMs: Math.round(nowMs - sentAtMs) })
    if (error instanceof EndpointRefusedError) return this.#handleConnectionRefused(error.code, nowMs)
    this.recordLoss()
    recordNoResponse(this.health, nowMs)
    if (error instanceof ConnectionLostError && error.isRefused) recordRefused(this.health, nowMs)
    this.#nextOpenAllowedAtMs = nowMs + CONNECT_FAILURE_BACKOFF_MS
    this.scheduler?.recordBackoff(CONNECT_FAILURE_BACKOFF_MS, nowMs)
    this.#schedulePlan(CONNECT_FAILURE_BACKOFF_MS)
    if (this.#slots.size === 0) this.#rejectAllRequests('unreachable', reason)
  }

  #handleConnectionRefused (code: string, nowMs: number): void {
    recordConnected(this.health, nowMs)
    if (code === 'misrouted') {
      this.#nextOpenAllowedAtMs = nowMs + CONNECT_TIMEOUT_MS
      this.scheduler?.recordBackoff(CONNECT_TIMEOUT_MS, nowMs)
      return this.#rejectAllRequests('unreachable', 'another service answers at the address')
    }
    for (const [id, { canUseOtherEndpoint }] of [...this.#pendingRequests]) if (canUseOtherEndpoint) this.#rejectRequest(id, 'busy', 'the endpoint accepts no more connections')
    if (code === 'busy') this.scheduler?.recordBusy(nowMs)
    const backoffMs = recordOverLimit(this.#pressure, nowMs)
    this.#nextOpenAllowedAtMs = nowMs + backoffMs
    if (this.scheduler !== undefined) this.#schedulePlan(this.scheduler.recordConnectionRefused(backoffMs, nowMs))
    this.#schedulePlan(backoffMs)
  }

  /** Records the response to a statement of a kind, or that the endpoint's queue was full. */
  recordStatement (kind: string, sentAtMs: number, code: string | undefined): void {
    const nowMs = this.#options.clock.readNow()
    if (code === 'busy') this.scheduler?.recordBusy(nowMs)
    else if (code === undefined) this.scheduler?.recordStatement(kind, sentAtMs, this.health.inFlight + 1, nowMs)
  }

  #schedulePlan (afterMs: number): void {
    setTimeout(() => this.runPlan(), afterMs + 1).unref()
  }

  #rejectAllRequests (refusal: PoolRefusal, reason: string): void {
    for (const id of [...this.#pendingRequests.keys()]) this.#rejectRequest(id, refusal, reason)
  }

  #rejectRequest (id: number, refusal: PoolRefusal, reason: string): void {
    const pending = this.#pendingRequests.get(id)
    if (pending === undefined) return
    this.#pendingRequests.delete(id)
    clearTimeout(pending.timer)
    const inHand = this.#readWorkInHand()
    const retryAfterMs = estimateReturnMs(inHand, (this.#options.random ?? Math.random)())
    // The reason leads from the refused statement's log line to what its return time was estimated from.
    const inputs = `${inHand.waiting} waiting, ${inHand.connections} connections, ${Math.round(inHand.averageResponseMs ?? 0)} ms a response, backoff ${Math.round(inHand.backoffLeftMs)} ms${this.#describeLimit()}`
    this.#options.recordRefused?.(refusal)
    pending.reject(new PoolError(`${reason} (${this.entry.endpoint}: ${inputs})`, { props: { refusal, retryAfterMs } }))
  }

  #describeLimit (): string {
    return this.scheduler === undefined ? '' : `, limit ${Math.floor(this.scheduler.concurrencyLimit)}, congestion ${this.scheduler.congestion.toFixed(1)}`
  }

  #readWorkInHand (): WorkInHand {
    const backoffLeftMs = Math.max(0, this.#nextOpenAllowedAtMs - this.#options.clock.readNow())
    return { waiting: this.#pendingRequests.size, connections: this.#slots.size, averageResponseMs: this.health.averageResponseMs, backoffLeftMs }
  }

  #closeSlot (slot: PoolSlot): void {
    this.#slots.delete(slot.id)
    slot.connection?.connection.close()
    if (!this.#isStopped && this.#pendingRequests.size > 0) this.runPlan()
  }

  #handleClosed (id: number): void {
    if (!this.#slots.delete(id)) return
    this.recordLoss()
    if (this.#pendingRequests.size > 0) this.runPlan()
  }
}
