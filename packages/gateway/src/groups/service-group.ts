import type { Clock, Logger, LogPosition } from '@camphorpitch/wire'
import type { EndpointAnswer, EndpointConnector } from '../backend/endpoint-connector.ts'
import { ConnectionLostError } from '../backend/errors.ts'
import type { EndpointEntry } from '../directory/endpoint-entry.ts'
import { createGroupState, isRevoked, recordAnswer, recordCommit, updatePrimary, type GroupState } from '../freshness/group-state.ts'
import type { ConnectionLimits } from '../pool/connection-plan.ts'
import { recordAnswered, recordSent, recordUnanswered } from '../pool/endpoint-health.ts'
import { EndpointPool } from '../pool/endpoint-pool.ts'
import { waitAtMost } from '../runtime/wait-at-most.ts'

/** A draining endpoint gets no new work after this long, in milliseconds; it serves on for some seconds more. */
export const DRAINING_USE_MS = 4_000

export interface ServiceGroupOptions {
  service: string
  connector: EndpointConnector
  clock: Clock
  logger: Logger
  readLimits: (group: ServiceGroup, entry: EndpointEntry) => ConnectionLimits
  recordOpened: () => void
}

/** What another VM said of the primary; times are of this VM's clock. */
export interface PeerReport {
  heardAtMs: number
  acknowledgedAtMs: number
  pendingWriteMs: number
}

/** The endpoints of one service as this VM uses them. */
export class ServiceGroup {
  readonly service: string
  readonly state: GroupState
  readonly pools = new Map<string, EndpointPool>()
  /** When the first write was sent to the primary that no write's answer has followed; `null` for none. */
  unansweredWriteSinceMs: number | null = null
  /** Writes and commits sent to the primary and not yet answered. */
  writesInFlight = 0
  /** What other VMs last said of the primary. */
  readonly peers = new Map<string, PeerReport>()
  /** Since when no endpoint is known to lead; `null` while one is. */
  withoutPrimarySinceMs: number | null
  readonly #options: ServiceGroupOptions
  readonly #changeListeners = new Set<() => void>()

  constructor (options: ServiceGroupOptions) {
    this.#options = options
    this.service = options.service
    this.state = createGroupState(options.service)
    this.withoutPrimarySinceMs = options.clock.readNow()
  }

  get primaryPool (): EndpointPool | undefined {
    const { primary } = this.state
    return primary === null ? undefined : this.pools.get(primary.endpoint)
  }

  /** Whether writes may be sent to the primary now. */
  get isWritable (): boolean {
    const nowMs = this.#options.clock.readNow()
    const pool = this.primaryPool
    return pool !== undefined && pool.measureDraining(nowMs) < DRAINING_USE_MS && !isRevoked(this.state, nowMs)
  }

  /** Takes in a registered endpoint. */
  updateEntry (entry: EndpointEntry): void {
    const { clock, connector, logger, readLimits, recordOpened } = this.#options
    const pool = this.pools.get(entry.endpoint)
    if (pool !== undefined && pool.entry.address === entry.address) pool.updateEntry(entry)
    else {
      pool?.stop()
      this.pools.set(entry.endpoint, new EndpointPool({ entry, connector, clock, logger, recordOpened, readLimits: e => readLimits(this, e) }))
    }
    if (entry.role === 'primary' && this.state.primary === null) this.adoptPrimary(entry.endpoint, 0, 'registered')
    this.#publishChange()
  }

  removeEntry (endpoint: string): void {
    this.pools.get(endpoint)?.stop()
    this.pools.delete(endpoint)
    this.#publishChange()
  }

  /** Takes in which endpoint leads, unless something newer is known. */
  adoptPrimary (endpoint: string, term: number, source: string): void {
    const previous = this.state.primary === null ? null : { ...this.state.primary }
    if (!updatePrimary(this.state, endpoint, term)) return
    if (previous?.endpoint !== endpoint) {
      this.unansweredWriteSinceMs = null
      this.peers.clear()
    }
    this.withoutPrimarySinceMs = null
    this.#options.logger.info('primary changed', { service: this.service, endpoint, term, source, previousPrimary: previous })
    this.#publishChange()
  }

  /** Takes in that the endpoint taken for the primary does not lead, and that none is known to. */
  resetPrimary (): void {
    this.#options.logger.warn('primary unknown', { service: this.service, previousPrimary: this.state.primary })
    this.state.primary = null
    this.withoutPrimarySinceMs = this.#options.clock.readNow()
    this.unansweredWriteSinceMs = null
  }

  /**
   * Runs one statement on a connection of this group and takes in what its answer shows.
   *
   * @throws ConnectionLostError when no answer came within `timeoutMs`; the connection must not be used again
   */
  async runStatement (pool: EndpointPool, isWrite: boolean, timeoutMs: number, send: () => Promise<EndpointAnswer>): Promise<EndpointAnswer> {
    const { clock } = this.#options
    const endpoint = pool.entry.endpoint
    const sentAtMs = clock.readNow()
    recordSent(pool.health, sentAtMs)
    if (isWrite) this.#recordWriteSent(endpoint, sentAtMs)
    try {
      const response = await waitAtMost(send(), timeoutMs, () => new ConnectionLostError(`no answer within ${Math.round(timeoutMs)} ms`))
      const nowMs = clock.readNow()
      recordAnswered(pool.health, sentAtMs, nowMs)
      if (isWrite) this.#recordWriteResponse(endpoint, sentAtMs, response, nowMs)
      this.#recordPosition(endpoint, sentAtMs, response.position, nowMs)
      return response
    } catch (error) {
      recordUnanswered(pool.health, clock.readNow())
      throw error
    } finally {
      if (isWrite) {
        this.writesInFlight--
        this.#publishChange()
      }
    }
  }

  #recordWriteSent (endpoint: string, nowMs: number): void {
    this.writesInFlight++
    if (this.state.primary?.endpoint === endpoint) this.unansweredWriteSinceMs ??= nowMs
  }

  #recordWriteResponse (endpoint: string, sentAtMs: number, response: EndpointAnswer, nowMs: number): void {
    if (this.state.primary?.endpoint === endpoint) this.unansweredWriteSinceMs = null
    if (response.error === null && response.state === 'idle') recordCommit(this.state, endpoint, sentAtMs, response.position, nowMs)
  }

  #recordPosition (endpoint: string, sentAtMs: number, position: LogPosition | null, nowMs: number): void {
    const { primary } = this.state
    if (primary?.endpoint !== endpoint) return
    if (position !== null && position.term > primary.term) this.adoptPrimary(endpoint, position.term, 'answer')
    recordAnswer(this.state, endpoint, sentAtMs, position, nowMs)
  }

  /** Waits until `isDone`, at most `waitMs`. @returns whether it came about */
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

  /** Tells those who wait that something may have changed. */
  publishChange (): void {
    this.#publishChange()
  }

  #publishChange (): void {
    for (const listener of [...this.#changeListeners]) listener()
  }
}
