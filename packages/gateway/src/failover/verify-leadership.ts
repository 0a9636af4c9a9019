import { describeError, type Clock, type Logger } from '@camphorpitch/wire'
import { ConnectionLostError } from '../backend/errors.ts'
import type { EndpointEntry } from '../directory/endpoint-entry.ts'
import {
  isLeadershipRevoked,
  LEADER_LEASE_MS,
  recordOwnWord,
  recordPrimaryResponse,
  recordVerification,
  type KnownPrimary
} from '../freshness/group-state.ts'
import type { ServiceGroup } from '../groups/service-group.ts'
import {
  recordConnected,
  recordContact,
  recordNoResponse,
  recordRefused,
  recordSent,
  type EndpointHealth
} from '../pool/endpoint-health.ts'
import { waitFor } from '../runtime/wait-at-most.ts'
import type { ControlConnections } from './control-connections.ts'

/** A replica that started less than this ago may have lost the information that it was paused. */
const RECENT_START_MS = 10_000
/**
 * While a replica is paused, a promotion may be in progress, and another replica may have lost its pause in a restart that the directory
 * does not tell yet. After this time the pause counts as left over from a promotion that has ended.
 */
const STALE_PAUSE_MS = 10_000
/** What a verification has found tells nothing of the present after this time. */
const SEEN_PAUSE_VALID_MS = 1_000
/** Time for the other replicas to tell that they are paused, after one has proved that it is not. */
const PAUSE_CHECK_MS = 100
/** A primary that has confirmed its leadership this lately is not asked for its role, as each request takes one of its slots. */
const RECENT_CONFIRMATION_MS = 400
/** Shortest time between two queries of the same kind to a group. */
const MIN_QUERY_INTERVAL_MS = 200

/** Terms for which replicas were seen paused, all later than `term`, the primary's. `firstAtMs` is the time since when there is no later pause. */
interface SeenPauses { term: number, pauses: Map<string, number>, firstAtMs: number, lastAtMs: number }

export interface LeadershipVerifierOptions {
  clock: Clock
  logger: Logger
  control: ControlConnections
}

/**
 * Finds the primary of a group and verifies its leadership by status requests. Used when the responses to statements are no
 * sufficient proof.
 *
 * There are two ways to replace a primary, and a lease needs evidence against both. A promotion of a lost primary pauses every replica
 * first that it reaches: one that is not paused and follows the primary's term proves that the group was not fenced when the status
 * request was sent, unless another replica has been paused recently. A planned change has the primary step down and pauses no replica, nor
 * does a promotion pause those that it does not reach: the primary itself must have confirmed lately that it leads.
 */
export class LeadershipVerifier {
  readonly #options: LeadershipVerifierOptions
  readonly #running = new Map<string, Promise<void>>()
  readonly #queriedAtMs = new Map<string, number>()
  /** The replicas of a group that were seen paused and have not been seen without a pause since, by service. */
  readonly #seenPauses = new Map<string, SeenPauses>()

  constructor (options: LeadershipVerifierOptions) {
    this.#options = options
  }

  /** Verifies that the known primary leads. The result is recorded in the group's state. Resolves when done, or after `waitMs`. */
  async verifyLeadership (group: ServiceGroup, waitMs: number): Promise<void> {
    await Promise.race([this.#runOnce(`verify ${group.service}`, async () => await this.#verifyWithReplicas(group)), waitFor(waitMs)])
  }

  /** Records the end of the primary's log, as the primary tells it, for reads that must not run at the primary. Resolves when done, or after `waitMs`. */
  async readPrimaryPosition (group: ServiceGroup, waitMs: number): Promise<void> {
    const readStatus = async (): Promise<void> => {
      const entry = group.primaryPool?.entry
      const sentAtMs = this.#options.clock.readNow()
      const status = entry === undefined ? null : await this.#findStatus(entry)
      if (entry !== undefined && status?.role === 'primary') recordPrimaryResponse(group.state, entry.endpoint, sentAtMs, status.received, this.#options.clock.readNow())
    }
    await Promise.race([this.#runOnce(`sample ${group.service}`, readStatus), waitFor(waitMs)])
  }

  /** Requests the primary's status and records its response as one to a statement. Resolves to whether it responded as the primary. */
  async probePrimary (group: ServiceGroup): Promise<boolean> {
    const pool = group.primaryPool
    if (pool === undefined) return false
    const { clock } = this.#options
    const sentAtMs = clock.readNow()
    const status = await this.#findStatus(pool.entry)
    if (status?.role !== 'primary') return false
    recordContact(pool.health, clock.readNow())
    recordPrimaryResponse(group.state, pool.entry.endpoint, sentAtMs, status.received, clock.readNow())
    return true
  }

  /** Requests the role of all endpoints and records the primary. Resets the known primary if it is now a replica and no endpoint leads. */
  async findPrimary (group: ServiceGroup): Promise<void> {
    await this.#runOnce(`find ${group.service}`, async () => {
      const asked = readPrimary(group)
      const roles = new Map<string, 'primary' | 'replica' | null>()
      await Promise.all([...group.pools].map(async ([endpoint, { entry }]) => { roles.set(endpoint, await this.checkRole(group, entry)) }))
      const hasLeader = [...roles.values()].includes('primary')
      // During a promotion no endpoint leads for a moment; its outcome will tell the new primary.
      const isBeingReplaced = isLeadershipRevoked(group.state, this.#options.clock.readNow())
      // An endpoint that has become the primary meanwhile may have told its role before.
      const isSamePrimary = isKnownPrimary(group, asked)
      if (!hasLeader && !isBeingReplaced && isSamePrimary && roles.get(asked?.endpoint ?? '') === 'replica') group.resetPrimary()
    })
  }

  /** Requests the role of one endpoint and records it if it is primary. @returns `null` if it did not respond */
  async checkRole (group: ServiceGroup, entry: EndpointEntry): Promise<'primary' | 'replica' | null> {
    return await this.#requestRole(group, entry)
  }

  /** @param health where it is recorded whether the endpoint responds, as for statements; absent if it is not */
  async #requestRole (group: ServiceGroup, entry: EndpointEntry, health?: EndpointHealth): Promise<'primary' | 'replica' | null> {
    const askedAtMs = this.#options.clock.readNow()
    const status = await this.#findStatus(entry, health)
    if (status?.role === 'primary') {
      group.adoptPrimary(entry.endpoint, status.term, 'role check', true)
      recordOwnWord(group.state, entry.endpoint, status.term, askedAtMs)
    }
    return status?.role ?? null
  }

  async #verifyWithReplicas (group: ServiceGroup): Promise<void> {
    const { clock, logger } = this.#options
    const primaryEntry = group.primaryPool?.entry
    if (group.state.primary?.term === 0 && primaryEntry !== undefined) await this.checkRole(group, primaryEntry)
    const primary = readPrimary(group)
    const sentAtMs = clock.readNow()
    // Without a term, a replica that has not joined the group yet would count as one that follows.
    if (primary === null || primary.term === 0 || group.pools.size === 0) return
    const replicaCount = [...group.pools.keys()].filter(e => e !== primary.endpoint).length
    const inputs = { service: group.service, primary: primary.endpoint, term: primary.term, replicaCount }
    try {
      await Promise.all([this.#verifyUnfenced(group, primary), this.#confirmPrimary(group, primary, sentAtMs)])
      if (!isKnownPrimary(group, primary)) throw new Error('the known primary has changed since the endpoints were asked')
      recordVerification(group.state, primary.endpoint, sentAtMs, group.state.confirmedAtMs)
      logger.info('leadership verified', { ...inputs, confirmedAgeMs: Math.round(clock.readNow() - group.state.confirmedAtMs) })
    } catch (error) {
      logger.info('leadership not verified', { ...inputs, reason: describeError(error) })
    }
  }

  /**
   * Asks the replicas whether the group is fenced.
   *
   * @throws Error unless a sufficient part of them has proved that it is not
   */
  async #verifyUnfenced (group: ServiceGroup, primary: KnownPrimary): Promise<void> {
    const paused = new Map<string, number>()
    const unpaused = new Set<string>()
    const verify = async (entry: EndpointEntry): Promise<void> => {
      const status = await this.#findStatus(entry)
      if (status?.role === 'replica' && status.pausedForTerm > primary.term) paused.set(entry.endpoint, status.pausedForTerm)
      else if (status !== null) unpaused.add(entry.endpoint)
      const isFollowing = status?.role === 'replica' && status.pausedForTerm === 0 && status.term === primary.term
      if (!isFollowing) throw new Error(`${entry.endpoint}: expected a replica that is not paused and follows the primary's term`)
    }
    const replicas = [...group.pools.values()].filter(p => p.entry.endpoint !== primary.endpoint)
    const proofs = replicas.map(p => ({ entry: p.entry, proof: verify(p.entry) }))
    for (const { proof } of proofs) proof.catch(() => {}) // A single proof that does not suffice is not awaited below.
    const sufficientProofs = proofs.filter(v => Date.now() - v.entry.startedAtMs >= RECENT_START_MS).map(v => v.proof)
    try {
      // All replicas together are a sufficient proof even if each has started recently: they did not all lose the information about a pause.
      await Promise.any([...sufficientProofs, ...proofs.length > 1 ? [Promise.all(proofs.map(v => v.proof))] : []])
      await Promise.race([Promise.allSettled(proofs.map(v => v.proof)), waitFor(PAUSE_CHECK_MS)])
    } catch (error) {
      if (paused.size > 0) this.#isPauseRecent(group, paused, unpaused)
      throw error
    }
    if (this.#isPauseRecent(group, paused, unpaused)) throw new Error('a replica is paused, so a promotion may be in progress')
  }

  /**
   * Asks the primary for its role if it has not confirmed lately that it leads.
   *
   * @throws Error unless it has confirmed that within a lease
   */
  async #confirmPrimary (group: ServiceGroup, { endpoint }: KnownPrimary, sentAtMs: number): Promise<void> {
    const pool = group.pools.get(endpoint)
    const isRecent = sentAtMs - group.state.confirmedAtMs <= RECENT_CONFIRMATION_MS
    const role = isRecent || pool === undefined ? null : await this.#requestRole(group, pool.entry, pool.health)
    if (role === 'replica') {
      this.#handleStepDown(group)
      throw new Error(`${endpoint}: the known primary is a replica`)
    }
    if (sentAtMs - group.state.confirmedAtMs >= LEADER_LEASE_MS) throw new Error('the primary has not confirmed that it leads')
  }

  /** Looks for another primary, unless the known one has stepped down for a promotion whose outcome will tell it. */
  #handleStepDown (group: ServiceGroup): void {
    if (isLeadershipRevoked(group.state, this.#options.clock.readNow())) return
    this.findPrimary(group).catch((error: unknown) => this.#options.logger.error('search for the primary failed', { error: String(error) }))
  }

  /**
   * Whether a replica has been paused so recently that a promotion may be in progress. One that was seen paused and does not respond now
   * counts, as another one may have lost its pause in a restart; so does one whose entry has lapsed, until it is known to have ended.
   */
  #isPauseRecent ({ service, state, pools, departures }: ServiceGroup, paused: ReadonlyMap<string, number>, unpaused: ReadonlySet<string>): boolean {
    const term = state.primary?.term ?? 0
    const nowMs = this.#options.clock.readNow()
    const seen = this.#seenPauses.get(service)
    const earlier = seen?.term === term ? seen : { term, pauses: new Map<string, number>(), firstAtMs: nowMs, lastAtMs: nowMs }
    const canRun = (endpoint: string): boolean => pools.has(endpoint) || departures.some(d => d.endpoint === endpoint && d.isGone !== true)
    const hasNewPause = [...paused].some(([endpoint, pausedForTerm]) => pausedForTerm > (earlier.pauses.get(endpoint) ?? 0))
    const pauses = new Map([...earlier.pauses, ...paused].filter(([endpoint]) => !unpaused.has(endpoint) && canRun(endpoint)))
    if (pauses.size === 0) {
      this.#seenPauses.delete(service)
      return false
    }
    const firstAtMs = hasNewPause ? nowMs : earlier.firstAtMs
    this.#seenPauses.set(service, { term, pauses, firstAtMs, lastAtMs: paused.size > 0 ? nowMs : earlier.lastAtMs })
    return nowMs - firstAtMs < STALE_PAUSE_MS
  }

  /** Measures for how long replicas of a group have been found paused, in milliseconds; 0 if the latest verification found none, or was long ago. */
  measurePausedMs ({ service }: ServiceGroup): number {
    const seen = this.#seenPauses.get(service)
    const isCurrent = seen !== undefined && this.#options.clock.readNow() - seen.lastAtMs < SEEN_PAUSE_VALID_MS
    return isCurrent ? seen.lastAtMs - seen.firstAtMs : 0
  }

  /**
   * @param health where the request is recorded like a statement; absent if it is not. A primary that leaves it unanswered counts as
   *   unresponsive then: without a lease no write is sent to it, so that nothing else would show that it is to be replaced.
   */
  async #findStatus (entry: EndpointEntry, health?: EndpointHealth): ReturnType<ControlConnections['run']> {
    const { clock, control, logger } = this.#options
    if (health !== undefined) recordSent(health, clock.readNow())
    try {
      const status = await control.run(entry, async c => await c.readStatus())
      if (health !== undefined) recordConnected(health, clock.readNow())
      return status
    } catch (error) {
      if (health !== undefined) recordNoResponse(health, clock.readNow())
      if (health !== undefined && error instanceof ConnectionLostError && error.isRefused) recordRefused(health, clock.readNow())
      logger.info('endpoint status request failed', { endpoint: entry.endpoint, reason: describeError(error) })
      return null
    }
  }

  /** Runs a query unless one of the same name is running, in which case it waits for that, or has started too recently. */
  async #runOnce (name: string, query: () => Promise<void>): Promise<void> {
    const running = this.#running.get(name)
    if (running !== undefined) return await running
    const nowMs = this.#options.clock.readNow()
    if (nowMs - (this.#queriedAtMs.get(name) ?? -Infinity) < MIN_QUERY_INTERVAL_MS) return
    this.#queriedAtMs.set(name, nowMs)
    const pendingQuery = query().finally(() => this.#running.delete(name))
    this.#running.set(name, pendingQuery)
    await pendingQuery
  }
}

function readPrimary ({ state: { primary } }: ServiceGroup): KnownPrimary | null {
  return primary === null ? null : { ...primary }
}

/** Whether the known primary and its term are still those of `asked`. */
function isKnownPrimary ({ state: { primary } }: ServiceGroup, asked: KnownPrimary | null): boolean {
  return primary?.endpoint === asked?.endpoint && primary?.term === asked?.term
}
