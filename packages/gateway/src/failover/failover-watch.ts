import { describeError, type Clock, type Logger } from '@camphorpitch/wire'
import { computeCurrentRank, listResponsive, listPossiblyRunning, type MemberState } from '../fleet/members.ts'
import { hasOpenOrder, readRevocationEndMs } from '../freshness/group-state.ts'
import type { ServiceGroup } from '../groups/service-group.ts'
import { isUnresponsive, measureUnansweredMs } from '../pool/endpoint-health.ts'
import type { EndpointPool } from '../pool/endpoint-pool.ts'
import { computeRankDelayMs, findPromotionReason, type PromotionEvidence } from './decide-promotion.ts'
import type { PromotionHost } from './promotion-attempt.ts'
import { runPromotion } from './run-promotion.ts'

const CHECK_INTERVAL_MS = 100
/** Fresh reports are requested from the other VMs if the primary has been unresponsive for this long. */
const REPORT_POLL_AFTER_MS = 350
/** The primary's status is requested once it has been unresponsive for this long, so that the answer is known before it counts as lost. */
const PROBE_AFTER_MS = REPORT_POLL_AFTER_MS
/** Shortest time between the starts of two attempts of this VM for a service. */
const ATTEMPT_INTERVAL_MS = 1_500
/** Shortest time from a change of a service's primary to the next attempt; the new primary needs this time until the VMs have seen it lead. */
const MIN_PROMOTION_INTERVAL_MS = 3_000
/** Expected time until the service has a new primary, if a promotion is running on this VM. */
const RECOVERY_IN_ATTEMPT_MS = 1_200
/** The same estimate if no promotion is running on this VM. */
const RECOVERY_BEFORE_ATTEMPT_MS = 2_000

export interface FailoverWatchOptions {
  clock: Clock
  logger: Logger
  members: MemberState
  host: PromotionHost
  listGroups: () => ServiceGroup[]
  /** Reads for how long replicas of a group have been found paused, in milliseconds; 0 if none is. */
  measurePausedMs: (group: ServiceGroup) => number
  /** Requests the primary's status and records its response. Resolves to whether it responded as the primary. */
  probePrimary: (group: ServiceGroup) => Promise<boolean>
  /** Requests fresh reports from the other VMs. */
  poll: () => void
  /** Called after each attempt: `none` if it promoted no endpoint. */
  recordResult: (service: string, result: 'promoted' | 'none') => void
}

/** Status requests to an unresponsive primary. */
interface Probe {
  endpoint: string
  /** When the first of them was sent that the primary has not answered. */
  sinceMs: number
  isPending: boolean
}

/** Checks every group's primary periodically and replaces it if there is a reason to. */
export class FailoverWatch {
  readonly #options: FailoverWatchOptions
  readonly #runningServices = new Set<string>()
  readonly #nextAttemptMs = new Map<string, number>()
  readonly #probes = new Map<string, Probe>()
  #timer: NodeJS.Timeout | undefined
  #startedAtMs = 0

  constructor (options: FailoverWatchOptions) {
    this.#options = options
  }

  start (): void {
    this.#startedAtMs = this.#options.clock.readNow()
    this.#timer = setInterval(() => {
      for (const group of this.#options.listGroups()) this.#checkGroup(group)
    }, CHECK_INTERVAL_MS)
  }

  stop (): void {
    clearInterval(this.#timer)
  }

  /** Records that a primary was found or promoted, which delays the next attempt for the service. */
  recordPrimaryChange (service: string): void {
    this.#nextAttemptMs.set(service, this.#options.clock.readNow() + MIN_PROMOTION_INTERVAL_MS)
  }

  /** Estimates the time in milliseconds until the group accepts writes again; 0 while it does. */
  estimateRecoveryMs (group: ServiceGroup): number {
    if (this.#runningServices.has(group.service)) return RECOVERY_IN_ATTEMPT_MS
    return group.isWritable ? 0 : RECOVERY_BEFORE_ATTEMPT_MS
  }

  #checkGroup (group: ServiceGroup): void {
    const { service } = group
    const nowMs = this.#options.clock.readNow()
    // Another VM that had this VM revoke the primary's leadership is already replacing the primary.
    if (nowMs < group.state.revokedUntilMs) return
    const evidence = this.#collectEvidence(group, nowMs)
    // Also while this VM claims the duty, so that it notices a primary that responds again.
    this.#probe(group, evidence, nowMs)
    if (this.#runningServices.has(service)) return
    if (evidence.unresponsiveMs >= REPORT_POLL_AFTER_MS || evidence.connectionRefusedMs > 0) this.#options.poll()
    if (nowMs < (this.#nextAttemptMs.get(service) ?? -Infinity)) return
    const reason = findPromotionReason(evidence)
    if (reason === null) return
    this.#options.logger.warn('primary replacement required', { service, reason, primary: group.state.primary, ...evidence })
    this.#runningServices.add(service)
    this.#nextAttemptMs.set(service, nowMs + ATTEMPT_INTERVAL_MS)
    const isStillRequired = (): boolean => findPromotionReason(this.#collectEvidence(group, this.#options.clock.readNow())) !== null
    runPromotion(this.#options.host, group, reason, isStillRequired).then(promoted => {
      this.#options.recordResult(service, promoted === null ? 'none' : 'promoted')
      if (promoted !== null) this.recordPrimaryChange(service)
    }, (error: unknown) => {
      this.#options.logger.info('promotion attempt aborted', { service, reason: describeError(error) })
    }).finally(() => {
      this.#runningServices.delete(service)
      this.#nextAttemptMs.set(service, Math.max(this.#nextAttemptMs.get(service) ?? 0, this.#options.clock.readNow() + ATTEMPT_INTERVAL_MS / 3))
    })
  }

  /** Requests the primary's status while it is unresponsive, so long before this VM may act that the answer is known by then. */
  #probe (group: ServiceGroup, { unresponsiveMs, rank }: PromotionEvidence, nowMs: number): void {
    const { service, primaryPool } = group
    const isDue = primaryPool !== undefined && unresponsiveMs >= PROBE_AFTER_MS + computeRankDelayMs(rank)
    if (!isDue) {
      this.#probes.delete(service)
      return
    }
    const { endpoint } = primaryPool.entry
    const earlier = this.#probes.get(service)
    const probe = earlier?.endpoint === endpoint ? earlier : { endpoint, sinceMs: nowMs, isPending: false }
    this.#probes.set(service, probe)
    if (probe.isPending) return
    probe.isPending = true
    this.#options.probePrimary(group).then(isAnswered => {
      probe.isPending = false
      const elapsedMs = Math.round(this.#options.clock.readNow() - probe.sinceMs)
      const inputs = { service, endpoint, isAnswered, unresponsiveMs: Math.round(unresponsiveMs), rank, elapsedMs }
      this.#options.logger.info('unresponsive primary probed', inputs)
      if (isAnswered && this.#probes.get(service) === probe) this.#probes.delete(service)
    }, (error: unknown) => this.#options.logger.error('probe of the primary failed', { service, error: String(error) }))
  }

  #measureProbe ({ service, primaryPool }: ServiceGroup, nowMs: number): number {
    const probe = this.#probes.get(service)
    return probe === undefined || probe.endpoint !== primaryPool?.entry.endpoint ? 0 : nowMs - probe.sinceMs
  }

  #collectEvidence (group: ServiceGroup, nowMs: number): PromotionEvidence {
    const { members } = this.#options
    const { state, primaryPool, peers } = group
    const peerReports = [...peers.values()]
    const health = primaryPool?.health
    const candidates = [...group.pools.values()].filter(p => p !== primaryPool && !p.entry.isDraining)
    // A VM that could not reach an endpoint while it became primary must not take its own earlier failures for those of a primary.
    const computeSincePrimary = (ms: number): number => Math.min(ms, nowMs - group.primarySinceMs)
    const lastResponseAtMs = Math.max(state.lastResponseAtMs, health?.lastResponseAtMs ?? -Infinity, ...peerReports.map(v => v.lastResponseAtMs))
    return {
      hasPrimary: state.primary !== null,
      isRegistered: primaryPool !== undefined,
      drainingMs: primaryPool?.measureDraining(nowMs) ?? 0,
      probeUnansweredMs: this.#measureProbe(group, nowMs),
      unresponsiveMs: health === undefined ? 0 : computeSincePrimary(measureUnansweredMs(health, nowMs)),
      connectionRefusedMs: health?.refusedSinceMs == null ? 0 : computeSincePrimary(nowMs - health.refusedSinceMs),
      sinceLastResponseMs: computeSincePrimary(nowMs - lastResponseAtMs),
      pendingWriteMs: measurePendingWrite(group, nowMs),
      sinceAcknowledgedMs: nowMs - Math.max(state.acknowledgedAtMs, ...peerReports.map(v => v.acknowledgedAtMs)),
      unclosedOrderMs: hasOpenOrder(state) ? nowMs - Math.max(state.revokedUntilMs, this.#startedAtMs) : null,
      leftPausedMs: this.#options.measurePausedMs(group),
      withoutPrimaryMs: group.withoutPrimarySinceMs === null ? 0 : nowMs - group.withoutPrimarySinceMs,
      isIsolated: listResponsive(members, nowMs).length === 0 && listPossiblyRunning(members, nowMs).length > 0,
      rank: computeCurrentRank(members, group.service, nowMs),
      hasCandidate: candidates.length > 0,
      ...collectEvacuationEvidence(group, candidates, nowMs)
    }
  }
}

/**
 * Measures for how long any VM's writes to the primary have been pending since the latest attempt to replace it. An attempt pauses
 * the replicas, so that writes stay pending; reports from that time must not lead to the next attempt.
 */
function measurePendingWrite ({ state, peers, unansweredWriteSinceMs }: ServiceGroup, nowMs: number): number {
  const revocationEndMs = readRevocationEndMs(state, nowMs)
  const localMs = unansweredWriteSinceMs === null ? 0 : nowMs - unansweredWriteSinceMs
  const reported = [...peers.values()].filter(p => p.reportedAtMs > revocationEndMs)
  return Math.min(nowMs - revocationEndMs, Math.max(localMs, ...reported.map(p => p.pendingWriteMs)))
}

/** An endpoint that does not respond counts as no candidate: the primary would step down for nothing. */
function collectEvacuationEvidence ({ primaryPool, evacuations }: ServiceGroup, candidates: readonly EndpointPool[], nowMs: number): Pick<PromotionEvidence, 'evacuatedMs' | 'hasCandidateOutside'> {
  const evacuation = primaryPool === undefined ? undefined : evacuations.get(primaryPool.entry.failureDomain)
  return { evacuatedMs: evacuation?.learnedAgeMs ?? 0, hasCandidateOutside: candidates.some(({ entry, health }) => !evacuations.has(entry.failureDomain) && !isUnresponsive(health, nowMs) && health.refusedSinceMs === null) }
}
