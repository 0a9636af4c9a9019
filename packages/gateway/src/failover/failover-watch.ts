import { describeError, type Clock, type Logger } from '@camphorpitch/wire'
import { computeRank, listHeard, listPossible, type MemberState } from '../fleet/members.ts'
import { isRevoked } from '../freshness/group-state.ts'
import type { ServiceGroup } from '../groups/service-group.ts'
import { measureSilence } from '../pool/endpoint-health.ts'
import { findPromotionReason, type PromotionEvidence } from './decide-promotion.ts'
import { runPromotion, type PromotionHost } from './run-promotion.ts'

const CHECK_INTERVAL_MS = 100
/** Silence of a primary after which fresh reports of other VMs are asked for, in milliseconds. */
const REPORT_POLL_AFTER_MS = 350
/** After an attempt the next one of this VM begins no sooner, in milliseconds. */
const ATTEMPT_INTERVAL_MS = 1_500
/** Shortest time between two promotions of a service, in milliseconds; a new primary needs it to show itself. */
const MIN_PROMOTION_INTERVAL_MS = 3_000
/** Expected time from now to a new primary, in milliseconds, by how far a change is. */
const RECOVERY_IN_ATTEMPT_MS = 1_200
const RECOVERY_BEFORE_ATTEMPT_MS = 2_000

export interface FailoverWatchOptions {
  clock: Clock
  logger: Logger
  members: MemberState
  host: PromotionHost
  listGroups: () => ServiceGroup[]
  /** Asks other VMs for fresh reports. */
  poll: () => void
  recordResult: (service: string, result: 'promoted' | 'none') => void
}

/** Watches every group's primary and replaces it when need be. */
export class FailoverWatch {
  readonly #options: FailoverWatchOptions
  readonly #runningServices = new Set<string>()
  readonly #nextAttemptMs = new Map<string, number>()
  #timer: NodeJS.Timeout | undefined

  constructor (options: FailoverWatchOptions) {
    this.#options = options
  }

  start (): void {
    this.#timer = setInterval(() => {
      for (const group of this.#options.listGroups()) this.#checkGroup(group)
    }, CHECK_INTERVAL_MS)
  }

  stop (): void {
    clearInterval(this.#timer)
  }

  /** Takes in that a primary was found or promoted: no other change is due for a while. */
  recordChange (service: string): void {
    this.#nextAttemptMs.set(service, this.#options.clock.readNow() + MIN_PROMOTION_INTERVAL_MS)
  }

  /** Milliseconds until the group is likely to take writes; 0 while it does. */
  estimateRecoveryMs (group: ServiceGroup): number {
    if (this.#runningServices.has(group.service)) return RECOVERY_IN_ATTEMPT_MS
    return group.isWritable ? 0 : RECOVERY_BEFORE_ATTEMPT_MS
  }

  #checkGroup (group: ServiceGroup): void {
    const { service } = group
    const nowMs = this.#options.clock.readNow()
    // A VM that has been asked to revoke its trust leaves the change to the one that asked.
    if (this.#runningServices.has(service) || isRevoked(group.state, nowMs)) return
    const evidence = this.#collectEvidence(group, nowMs)
    if (evidence.unresponsiveMs >= REPORT_POLL_AFTER_MS || evidence.connectionRefusedMs > 0) this.#options.poll()
    if (nowMs < (this.#nextAttemptMs.get(service) ?? -Infinity)) return
    const reason = findPromotionReason(evidence)
    if (reason === null) return
    this.#options.logger.warn('primary to be replaced', { service, reason, primary: group.state.primary, ...evidence })
    this.#runningServices.add(service)
    this.#nextAttemptMs.set(service, nowMs + ATTEMPT_INTERVAL_MS)
    runPromotion(this.#options.host, group, reason).then(promoted => {
      this.#options.recordResult(service, promoted === null ? 'none' : 'promoted')
      if (promoted !== null) this.recordChange(service)
    }, (error: unknown) => {
      this.#options.logger.info('promotion not begun', { service, reason: describeError(error) })
    }).finally(() => {
      this.#runningServices.delete(service)
      this.#nextAttemptMs.set(service, Math.max(this.#nextAttemptMs.get(service) ?? 0, this.#options.clock.readNow() + ATTEMPT_INTERVAL_MS / 3))
    })
  }

  #collectEvidence (group: ServiceGroup, nowMs: number): PromotionEvidence {
    const { members } = this.#options
    const { state, primaryPool, peers } = group
    const views = [...peers.values()]
    const health = primaryPool?.health
    const candidates = [...group.pools.values()].filter(p => p !== primaryPool && !p.entry.isDraining)
    const localPendingMs = group.unansweredWriteSinceMs === null ? 0 : nowMs - group.unansweredWriteSinceMs
    return {
      hasPrimary: state.primary !== null,
      isRegistered: primaryPool !== undefined,
      drainingMs: primaryPool?.measureDraining(nowMs) ?? 0,
      unresponsiveMs: health === undefined ? 0 : measureSilence(health, nowMs),
      connectionRefusedMs: health?.refusedSinceMs == null ? 0 : nowMs - health.refusedSinceMs,
      sinceLastResponseMs: nowMs - Math.max(state.heardAtMs, health?.heardAtMs ?? -Infinity, ...views.map(v => v.heardAtMs)),
      pendingWriteMs: Math.max(localPendingMs, ...views.map(v => v.pendingWriteMs)),
      sinceAcknowledgedMs: nowMs - Math.max(state.acknowledgedAtMs, ...views.map(v => v.acknowledgedAtMs)),
      withoutPrimaryMs: group.leaderlessSinceMs === null ? 0 : nowMs - group.leaderlessSinceMs,
      isIsolated: listHeard(members, nowMs).length === 0 && listPossible(members, nowMs).length > 0,
      rank: computeRank(members, group.service, nowMs),
      hasCandidate: candidates.length > 0
    }
  }
}
