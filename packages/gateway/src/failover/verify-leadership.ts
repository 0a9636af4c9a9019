import { describeError, type Clock, type Logger } from '@camphorpitch/wire'
import type { EndpointEntry } from '../directory/endpoint-entry.ts'
import { isRevoked, recordLeadership } from '../freshness/group-state.ts'
import type { ServiceGroup } from '../groups/service-group.ts'
import { waitFor } from '../runtime/wait-at-most.ts'
import type { ControlConnections } from './control-connections.ts'

/** A replica that started less than this ago may have forgotten that it was paused, in milliseconds. */
const RECENT_START_MS = 10_000
/** A group is asked again no sooner than this, in milliseconds. */
const MIN_QUERY_INTERVAL_MS = 200

export interface LeadershipQuestionsOptions {
  clock: Clock
  logger: Logger
  control: ControlConnections
}

/**
 * Asks groups who leads, where ordinary answers do not tell.
 *
 * A replica that is not paused and follows the primary's term proves that no promoter had fenced the group
 * when it was asked, as a promoter pauses every replica first.
 */
export class LeadershipQuestions {
  readonly #options: LeadershipQuestionsOptions
  readonly #running = new Map<string, Promise<void>>()
  readonly #queriedAtMs = new Map<string, number>()

  constructor (options: LeadershipQuestionsOptions) {
    this.#options = options
  }

  /** Returns once the group has been asked, or after `waitMs`. */
  async verifyLeadership (group: ServiceGroup, waitMs: number): Promise<void> {
    await Promise.race([this.#runOnce(`prove ${group.service}`, async () => await this.#verifyWithReplicas(group)), waitFor(waitMs)])
  }

  /** Asks all endpoints for their role and takes in who leads. */
  async findPrimary (group: ServiceGroup): Promise<void> {
    await this.#runOnce(`find ${group.service}`, async () => {
      const roles = await Promise.all([...group.pools.values()].map(async p => await this.checkRole(group, p.entry)))
      const hasLeader = roles.includes('primary')
      const primaryIndex = [...group.pools.keys()].indexOf(group.state.primary?.endpoint ?? '')
      // While a promoter is at work nobody leads for a moment, and its outcome will tell who does.
      const isBeingReplaced = isRevoked(group.state, this.#options.clock.readNow())
      if (!hasLeader && !isBeingReplaced && roles[primaryIndex] === 'replica') group.resetPrimary()
    })
  }

  /** Asks one endpoint for its role. */
  async checkRole (group: ServiceGroup, entry: EndpointEntry): Promise<'primary' | 'replica' | null> {
    const status = await this.#findStatus(entry)
    if (status?.role === 'primary') group.adoptPrimary(entry.endpoint, status.term, 'asked')
    return status?.role ?? null
  }

  async #verifyWithReplicas (group: ServiceGroup): Promise<void> {
    const primary = group.state.primary
    const sentAtMs = this.#options.clock.readNow()
    const pools = [...group.pools.values()]
    if (primary === null || pools.length === 0) return
    const primaryEntry = group.primaryPool?.entry
    if (primary.term === 0 && primaryEntry !== undefined) await this.checkRole(group, primaryEntry)
    const replicas = pools.filter(p => p.entry.endpoint !== primary.endpoint)
    const verify = async (entry: EndpointEntry): Promise<EndpointEntry> => {
      const status = await this.#findStatus(entry)
      const { primary: current } = group.state
      const isFollowing = status?.role === 'replica' && status.pausedForTerm === 0 && status.term === current?.term
      if (current === null || !isFollowing) throw new Error(`${entry.endpoint} does not prove it`)
      return entry
    }
    const proofs = replicas.map(p => ({ entry: p.entry, proof: verify(p.entry) }))
    const provenByOne = proofs.filter(v => Date.now() - v.entry.startedAtMs >= RECENT_START_MS).map(v => v.proof)
    try {
      // All replicas together prove it also where each has started lately: they did not all forget a pause.
      await Promise.any([...provenByOne, ...proofs.length > 1 ? [Promise.all(proofs.map(v => v.proof))] : []])
      recordLeadership(group.state, primary.endpoint, sentAtMs)
      this.#options.logger.info('leadership proven', { service: group.service, primary: primary.endpoint, term: group.state.primary?.term, asked: replicas.length })
    } catch {
      this.#options.logger.info('leadership not proven', { service: group.service, primary: primary.endpoint, term: primary.term, asked: replicas.length })
    }
  }

  async #findStatus (entry: EndpointEntry): ReturnType<ControlConnections['run']> {
    try {
      return await this.#options.control.run(entry, async c => await c.readStatus())
    } catch (error) {
      this.#options.logger.info('status not answered', { endpoint: entry.endpoint, reason: describeError(error) })
      return null
    }
  }

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
