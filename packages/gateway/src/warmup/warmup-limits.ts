import type { Clock, Logger } from '@camphorpitch/wire'
import { EndpointError } from '../backend/errors.ts'
import type { ConfigurationHolder } from '../configuration/configuration-holder.ts'
import type { EndpointEntry } from '../directory/endpoint-entry.ts'
import { listPresent, type MemberState } from '../fleet/members.ts'
import { RevisionConflictError } from '../metadata/errors.ts'
import type { Listing, MetadataStore } from '../metadata/metadata-store.ts'
import { COUNTED_AFTER_RESPONSE_MS, decideWarmupPermit, type WarmupVerdict } from './decide-permit.ts'
import { computeMaxPerSecond, computeWarmupShare, planWarmupRecord, warmupRecordSchema, type WarmupRecord, type WarmupTolerance } from './warmup-shares.ts'

/** The request was not sent: it would exceed the limit of a cold endpoint, or the endpoint may have restarted and be cold. */
export const WarmupLimitError = EndpointError.subclass('WarmupLimitError', { props: { retryAfterMs: 0 } })

/** What a restarted VM's earlier process sent is delivered or lost within this time, and counts for a second more. */
const RESTART_WAIT_MS = 3_000
/** VMs' clocks may run at speeds that differ by a percent each; an endpoint counts as cold a little longer than it said. */
const CLOCK_SPEED_MARGIN = 1.02
/** After the store has returned from an older copy, no shares are written for as long as a warm-up takes and this long, as earlier ones may be lost. */
const EPOCH_MARGIN_MS = 5_000
/** Pause after a failed call of the store. */
const STORE_RETRY_DELAY_MS = 300
/** A refusal is logged at most once in this time for each endpoint. */
const LOG_INTERVAL_MS = 1_000
const MS_PER_SECOND = 1_000

/** What this VM needs to know of its connections to an endpoint. */
export interface WarmupTarget {
  readonly entry: EndpointEntry
  readonly lastLossAtMs: number
  readonly lastConnectedAtMs: number
  readonly reconnectedAtMs: number | null
  recordLoss: () => void
}

/** One start of an endpoint, as long as it is the latest that this VM knows. */
interface EndpointStart {
  startedAtMs: number
  warmupLeftMs: number
  coldUntilMs: number
  /** When another VM reported that this start has ended. */
  reportedEndAtMs: number
  confirmedAtMs: number
  record: WarmupRecord | null
  isLoading: boolean
  nextLoadAtMs: number
  unanswered: number
  respondedAtMs: number[]
  /** Latest return time given to a client; the next one is later, so that clients do not return all at once. */
  promisedUntilMs: number
  refusedSinceLog: number
  loggedAtMs: number
}

export interface WarmupLimitsOptions {
  tolerance: WarmupTolerance
  clock: Clock
  logger: Logger
  store: MetadataStore
  members: MemberState
  configuration: ConfigurationHolder
  /** Applies a listing of the endpoints that was read to confirm their starts, and has statements check again whether they may be sent. */
  applyEndpoints: (listing: Listing<EndpointEntry>) => void
  /** Whether entries in the store may be missing or outdated, as it has just recovered or returned from an older copy. */
  isStoreRecovering: () => boolean
  /** Called for each request to a cold endpoint that was permitted, and for each refusal. */
  recordDecision: (service: string, outcome: 'permitted' | 'refused') => void
}

/**
 * Limits the requests that this VM sends to cold endpoints of services that have such a limit. The shares of all VMs are written to the store once
 * for each start of an endpoint, so they never overlap, whichever members each VM knows.
 */
export class WarmupLimits {
  readonly #options: WarmupLimitsOptions
  readonly #starts = new Map<string, EndpointStart>()
  readonly #processStartedAtMs: number
  /** Since when shares may be missing from the store which were written before; `-Infinity` if the store has never returned from an older copy. */
  #epochSinceMs = -Infinity
  #isConfirming = false
  #isStoreReachable = true
  #nextConfirmationAtMs = -Infinity

  constructor (options: WarmupLimitsOptions) {
    this.#options = options
    this.#processStartedAtMs = options.clock.readNow()
    options.store.epochs.subscribe(() => { this.#epochSinceMs = options.clock.readNow() })
  }

  /** Records an endpoint's entry when it is read; its remaining warm-up time counts from then. */
  recordEntry (entry: EndpointEntry): void {
    const { endpoint, startedAtMs, warmupLeftMs } = entry
    const nowMs = this.#options.clock.readNow()
    const known = this.#starts.get(endpoint)
    const coldUntilMs = warmupLeftMs > 0 ? nowMs + warmupLeftMs * CLOCK_SPEED_MARGIN : -Infinity
    if (known?.startedAtMs === startedAtMs) {
      if (known.warmupLeftMs === warmupLeftMs) return
      known.warmupLeftMs = warmupLeftMs
      known.coldUntilMs = coldUntilMs
      return
    }
    this.#starts.set(endpoint, { startedAtMs, warmupLeftMs, coldUntilMs, reportedEndAtMs: -Infinity, confirmedAtMs: -Infinity, record: null, isLoading: false, nextLoadAtMs: -Infinity, unanswered: 0, respondedAtMs: [], promisedUntilMs: -Infinity, refusedSinceLog: 0, loggedAtMs: -Infinity })
  }

  /** Records that another VM has seen that a start of an endpoint has ended. */
  recordReportedEnd (endpoint: string, startedAtMs: number): void {
    const start = this.#starts.get(endpoint)
    if (start?.startedAtMs === startedAtMs && start.reportedEndAtMs === -Infinity) start.reportedEndAtMs = this.#options.clock.readNow()
  }

  /** Whether the endpoint is cold and its service limits the requests to cold endpoints. */
  isCold ({ entry }: Pick<WarmupTarget, 'entry'>): boolean {
    return this.#findLimit(entry.service) !== undefined && this.#options.clock.readNow() < this.#ensureStart(entry).coldUntilMs
  }

  /** Decides whether a request may be sent to the endpoint now. Starts to read what it lacks for that from the store. */
  decide (target: WarmupTarget): WarmupVerdict {
    const { entry } = target
    const limit = this.#findLimit(entry.service)
    if (limit === undefined) return { isPermitted: true, isCold: false }
    const start = this.#ensureStart(entry)
    const nowMs = this.#options.clock.readNow()
    const maxPerSecond = computeMaxPerSecond(limit.requestsPerSecond, this.#options.tolerance)
    const doubtedAtMs = Math.max(target.lastLossAtMs, start.reportedEndAtMs)
    if (nowMs < start.coldUntilMs && start.record === null) this.#fetchRecord(entry, start, { warmupMs: limit.durationS * MS_PER_SECOND, maxPerSecond })
    const verdict = decideWarmupPermit({
      nowMs,
      coldUntilMs: start.coldUntilMs,
      doubtedAtMs,
      lastConnectedAtMs: target.lastConnectedAtMs,
      reconnectedAtMs: target.reconnectedAtMs,
      confirmedAtMs: start.confirmedAtMs,
      isStoreReachable: this.#isStoreReachable,
      warmupMs: limit.durationS * MS_PER_SECOND * CLOCK_SPEED_MARGIN,
      share: start.record === null ? null : this.#computeShare(start.record, maxPerSecond, nowMs),
      unanswered: start.unanswered,
      respondedAtMs: start.respondedAtMs
    })
    if (!verdict.isPermitted && verdict.reason === 'unconfirmed') this.#confirmStarts()
    return verdict
  }

  /**
   * Counts a request right before it is sent.
   *
   * @returns function to be called when the request has ended, with whether the endpoint has responded
   * @throws WarmupLimitError if it must not be sent
   */
  beginRequest (target: WarmupTarget): (hasResponded: boolean) => void {
    const verdict = this.decide(target)
    if (!verdict.isPermitted) throw this.refuse(target, verdict)
    if (this.#findLimit(target.entry.service) === undefined) return () => {}
    if (!verdict.isCold) return hasResponded => { if (!hasResponded) target.recordLoss() }
    const start = this.#ensureStart(target.entry)
    this.#options.recordDecision(target.entry.service, 'permitted')
    start.unanswered++
    return hasResponded => {
      if (!hasResponded) return target.recordLoss()
      const nowMs = this.#options.clock.readNow()
      start.unanswered--
      start.respondedAtMs = [...start.respondedAtMs.filter(t => nowMs - t <= COUNTED_AFTER_RESPONSE_MS), nowMs]
    }
  }

  /** Creates the error for a request that was refused, with a return time after those that other clients were given. */
  refuse ({ entry }: Pick<WarmupTarget, 'entry'>, verdict: Extract<WarmupVerdict, { isPermitted: false }>): InstanceType<typeof WarmupLimitError> {
    const { clock, logger, recordDecision } = this.#options
    const start = this.#ensureStart(entry)
    const nowMs = clock.readNow()
    const share = start.record === null ? 0 : this.#computeShare(start.record, start.record.maxPerSecond, nowMs)
    const isSpread = verdict.reason === 'share used' && share > 0
    const returnAtMs = isSpread ? Math.min(start.coldUntilMs, Math.max(verdict.availableAtMs, start.promisedUntilMs + MS_PER_SECOND / share)) : verdict.availableAtMs
    if (isSpread) start.promisedUntilMs = returnAtMs
    const retryAfterMs = Math.ceil(returnAtMs - nowMs)
    recordDecision(entry.service, 'refused')
    start.refusedSinceLog++
    if (nowMs - start.loggedAtMs >= LOG_INTERVAL_MS) {
      const ages = { confirmedAgeMs: describeAge(nowMs, start.confirmedAtMs), coldForMs: Math.round(start.coldUntilMs - nowMs) }
      logger.info('requests to a cold endpoint refused', { endpoint: entry.endpoint, startedAtMs: start.startedAtMs, reason: verdict.reason, share, unanswered: start.unanswered, ...ages, retryAfterMs, refused: start.refusedSinceLog })
      Object.assign(start, { loggedAtMs: nowMs, refusedSinceLog: 0 })
    }
    return new WarmupLimitError(`${entry.endpoint} is warming up (${verdict.reason})`, { props: { retryAfterMs } })
  }

  /** Reads the share of requests per second that this VM has of a cold endpoint's limit; `null` if it is not known. */
  readShare (endpoint: string): number | null {
    const record = this.#starts.get(endpoint)?.record ?? null
    return record === null ? null : this.#computeShare(record, record.maxPerSecond, this.#options.clock.readNow())
  }

  #findLimit (service: string): { durationS: number, requestsPerSecond: number } | undefined {
    return this.#options.configuration.current?.services.find(s => s.name === service)?.warmup
  }

  #ensureStart (entry: EndpointEntry): EndpointStart {
    if (this.#starts.get(entry.endpoint)?.startedAtMs !== entry.startedAtMs) this.recordEntry(entry)
    return this.#starts.get(entry.endpoint)!
  }

  #computeShare (record: WarmupRecord, maxPerSecond: number, nowMs: number): number {
    const { vm, incarnation } = this.#options.members.self
    return computeWarmupShare(record, { vm, incarnation, uptimeMs: nowMs - this.#processStartedAtMs, restartWaitMs: RESTART_WAIT_MS, maxPerSecond })
  }

  #fetchRecord (entry: EndpointEntry, start: EndpointStart, limit: { warmupMs: number, maxPerSecond: number }): void {
    const { clock, logger } = this.#options
    if (start.isLoading || clock.readNow() < start.nextLoadAtMs) return
    start.isLoading = true
    this.#readOrWriteRecord(entry, limit).then(record => {
      start.record = record
      if (record !== null) logger.info('shares of a cold endpoint read', { endpoint: entry.endpoint, ...record })
    }, (error: unknown) => {
      // Another VM has written its shares first; they are read next.
      if (!(error instanceof RevisionConflictError)) logger.info('reading the shares of a cold endpoint failed', { endpoint: entry.endpoint, reason: String(error) })
    }).finally(() => {
      start.isLoading = false
      start.nextLoadAtMs = clock.readNow() + STORE_RETRY_DELAY_MS
    })
  }

  /** @returns `null` if the store has no shares of this start, and this VM may not write them */
  async #readOrWriteRecord ({ endpoint, startedAtMs }: EndpointEntry, { warmupMs, maxPerSecond }: { warmupMs: number, maxPerSecond: number }): Promise<WarmupRecord | null> {
    const { store, members, clock } = this.#options
    const found = await store.find('warmups', endpoint)
    const record = found === undefined ? undefined : warmupRecordSchema.parse(found.value)
    const { current: epoch } = store.epochs
    // A record of an earlier epoch may have been written late, after the store lost another one.
    if (record !== undefined && record.startedAtMs >= startedAtMs) return record.startedAtMs === startedAtMs && record.epoch === epoch ? record : null
    if (!members.hasMemberList || maxPerSecond === 0 || this.#isMissingRecords(warmupMs)) return null
    const vms = [members.self, ...listPresent(members, clock.readNow()).map(m => m.entry)]
    const planned = planWarmupRecord({ epoch, endpoint, startedAtMs, maxPerSecond, vms })
    await store.write('warmups', endpoint, planned, found?.revision ?? null)
    return planned
  }

  /** Whether the store may have returned from an older copy since shares of an endpoint that is still cold were written. This VM may have started after that. */
  #isMissingRecords (warmupMs: number): boolean {
    const { store, clock } = this.#options
    if (store.epochs.current === 0) return false
    return clock.readNow() < Math.max(this.#epochSinceMs, this.#processStartedAtMs) + warmupMs * CLOCK_SPEED_MARGIN + EPOCH_MARGIN_MS
  }

  /** Lists the endpoints to confirm that their known starts still run. */
  #confirmStarts (): void {
    const { clock, logger, store, applyEndpoints, isStoreRecovering } = this.#options
    const sentAtMs = clock.readNow()
    if (this.#isConfirming || sentAtMs < this.#nextConfirmationAtMs) return
    this.#isConfirming = true
    store.list('endpoints').then(listing => {
      this.#isStoreReachable = true
      if (isStoreRecovering()) {
        this.#nextConfirmationAtMs = clock.readNow() + STORE_RETRY_DELAY_MS
        return
      }
      for (const { name, value } of listing.items) {
        const start = this.#starts.get(name)
        if (start !== undefined && value?.startedAtMs === start.startedAtMs) start.confirmedAtMs = sentAtMs
      }
      applyEndpoints(listing)
    }).catch((error: unknown) => {
      this.#isStoreReachable = false
      this.#nextConfirmationAtMs = clock.readNow() + STORE_RETRY_DELAY_MS
      logger.info('confirming the starts of endpoints failed', { reason: String(error) })
    }).finally(() => { this.#isConfirming = false })
  }
}

function describeAge (nowMs: number, atMs: number): number | null {
  return atMs === -Infinity ? null : Math.round(nowMs - atMs)
}
