import type { Clock, Logger } from '@camphorpitch/wire'
import type { Gauge } from 'prom-client'
import type { EvacuationReport } from '../fleet/message-schemas.ts'
import type { MetadataStore } from '../metadata/metadata-store.ts'
import { compareRevisions } from '../metadata/revision.ts'
import { watchKind } from '../metadata/watch-kind.ts'
import { computeEvacuationTimes, decideEvacuationPhase, type EvacuationPhase, type EvacuationTimes } from './evacuation-phase.ts'
import { applyChange, applyDueChanges, applyListing, createEvacuationState, hasNews, type EvacuationChange } from './evacuation-state.ts'

/** A VM that has started is not ready before it knows the evacuations, from the store or another VM, or before this time. */
const MAX_STARTUP_WAIT_MS = 2_000

const messagesByEvent = {
  begun: 'evacuation of a failure domain begins',
  ended: 'evacuation of a failure domain ends',
  kept: 'evacuation of a failure domain kept, the metadata store has returned from an older copy that lacks it',
  heldBack: 'evacuation of a failure domain held back, it had ended before the metadata store returned from an older copy'
} as const

/** An evacuation of a failure domain, as it is now. */
export interface ActiveEvacuation {
  phase: EvacuationPhase
  /** Time until nothing is sent to the domain any more, in milliseconds. */
  closesInMs: number
  /** Time since this VM learned of it, in milliseconds. */
  learnedAgeMs: number
  /** From where this VM learned of it. */
  source: string
}

export interface EvacuationsOptions {
  clock: Clock
  logger: Logger
  /** Time from the store's acknowledgement until no request reaches the failure domain, in milliseconds; absent if there are no evacuations. */
  applyMs: number | undefined
  /** Number of evacuated failure domains. */
  gauge?: Pick<Gauge, 'set'>
}

const NONE: ReadonlyMap<string, ActiveEvacuation> = new Map()

/** The evacuations that this VM knows of, from the store and from other VMs. */
export class Evacuations {
  readonly #options: EvacuationsOptions
  readonly #state = createEvacuationState()
  readonly #times: EvacuationTimes
  readonly #startedAtMs: number
  #isKnown = false

  constructor (options: EvacuationsOptions) {
    this.#options = options
    this.#times = computeEvacuationTimes(options.applyMs ?? 0)
    this.#startedAtMs = options.clock.readNow()
  }

  /** Whether the store or another VM has told the evacuations, or there are none in this deployment, or none has answered in time. */
  get isKnown (): boolean {
    return this.#options.applyMs === undefined || this.#isKnown || this.#options.clock.readNow() - this.#startedAtMs >= MAX_STARTUP_WAIT_MS
  }

  /** Lists the evacuated failure domains. */
  list (): ReadonlyMap<string, ActiveEvacuation> {
    if (this.#state.evacuated.size === 0 && this.#state.heldBack.size === 0) return NONE
    const nowMs = this.#options.clock.readNow()
    this.#logChanges(applyDueChanges(this.#state, nowMs))
    return new Map([...this.#state.evacuated.values()].map(({ domain, sinceMs, learnedAtMs, source }) => {
      const ageMs = sinceMs === null ? null : nowMs - sinceMs
      const closesInMs = ageMs === null ? 0 : Math.max(0, this.#times.closeAfterMs - ageMs)
      return [domain, { phase: decideEvacuationPhase(ageMs, this.#times), closesInMs, learnedAgeMs: nowMs - learnedAtMs, source }]
    }))
  }

  /** Starts to follow the store's objects. @returns the watch; `undefined` if there are no evacuations in this deployment */
  startWatch (store: MetadataStore): { stop: () => void } | undefined {
    const { logger, clock, applyMs } = this.#options
    if (applyMs === undefined) return undefined
    return watchKind({
      store,
      logger,
      kind: 'evacuations',
      applyListing: ({ items, asOf }) => {
        // In the first listing an evacuation may be old; later ones are at most as old as the time in which the store was not reached.
        const sinceMs = this.#state.asOf === null ? null : clock.readNow()
        const listed = items.map(({ name, revision }) => ({ domain: name, revision, sinceMs, keptForMs: null }))
        this.#logChanges(applyListing(this.#state, { asOf, items: listed, source: 'store' }, clock.readNow()))
        this.#isKnown = true
      },
      applyChanges: (changes, asOf) => {
        if (this.#state.asOf !== null && compareRevisions(asOf, this.#state.asOf) <= 0) return
        this.#state.asOf = asOf
        for (const { object, isRemoved } of changes) this.#logChanges(applyChange(this.#state, { domain: object.name, revision: isRemoved ? asOf : object.revision, isRemoved }, clock.readNow()))
      }
    })
  }

  /** Describes the evacuations for another VM; `undefined` while there is nothing to tell. */
  createReport (): EvacuationReport | undefined {
    const { asOf, evacuated } = this.#state
    if (this.#options.applyMs === undefined || asOf === null || !hasNews(this.#state)) return undefined
    const nowMs = this.#options.clock.readNow()
    const measureMs = (ms: number): number => Math.max(0, Math.ceil(ms))
    return {
      epoch: asOf.epoch,
      number: asOf.number,
      domains: [...evacuated.values()].map(({ domain, revision, sinceMs, keptUntilMs }) => [domain, revision.epoch, revision.number, sinceMs === null ? null : measureMs(nowMs - sinceMs), keptUntilMs === null ? null : measureMs(keptUntilMs - nowMs)])
    }
  }

  /** Applies what another VM reports; `undefined` if it knows of no evacuation. */
  applyReport (vm: string, report: EvacuationReport | undefined, pollSentAtMs: number): void {
    if (this.#options.applyMs === undefined) return
    this.#isKnown = true
    if (report === undefined) return
    const items = report.domains.map(([domain, epoch, number, ageMs, keptForMs]) => ({ domain, revision: { epoch, number }, sinceMs: ageMs === null ? null : pollSentAtMs - ageMs, keptForMs }))
    this.#logChanges(applyListing(this.#state, { asOf: { epoch: report.epoch, number: report.number }, items, source: `vm ${vm}` }, this.#options.clock.readNow()))
  }

  #logChanges (changes: readonly EvacuationChange[]): void {
    const { logger, gauge } = this.#options
    for (const { event, ...change } of changes) {
      const evacuation = this.#state.evacuated.get(change.domain)
      const ageMs = evacuation?.sinceMs == null ? null : Math.round(this.#options.clock.readNow() - evacuation.sinceMs)
      logger.warn(messagesByEvent[event], { ...change, ageMs, asOf: this.#state.asOf, ...this.#times })
    }
    if (changes.length > 0) gauge?.set(this.#state.evacuated.size)
  }
}
