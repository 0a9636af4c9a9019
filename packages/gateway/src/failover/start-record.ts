import { describeError, type Clock, type Logger, type LogPosition } from '@camphorpitch/wire'
import type { EndpointEntry } from '../directory/endpoint-entry.ts'
import { computePresentRank, type MemberState } from '../fleet/members.ts'
import { formatStart, LONG_MISSING_MS, recordGone, recordRunning, type Departure } from '../groups/departures.ts'
import type { ServiceGroup } from '../groups/service-group.ts'
import { RevisionConflictError } from '../metadata/errors.ts'
import type { MetadataStore, StoredObject } from '../metadata/metadata-store.ts'
import type { ControlConnections } from './control-connections.ts'
import { isAddressReused } from './fence-departures.ts'
import { hasSameStarts, isEndSettled, mergeRecordedStarts, startRecordSchema, type RecordedStart } from './recorded-starts.ts'

/** Time from a change of a group to the comparison with its record. An entry lapses only after three ping intervals. */
const COMPARE_DELAY_MS = 1_000
/** Time until the record is compared again after a failure, or while a start on it is not registered. */
const COMPARE_AGAIN_MS = 2_000
/** Number of VMs that write the record, those of the lowest ranks. Each acts this much later than the one before it. */
const MAX_RECORDING_VMS = 3
const RANK_DELAY_MS = 300

export interface StartRecordOptions {
  store: MetadataStore
  control: ControlConnections
  members: MemberState
  clock: Clock
  logger: Logger
}

/**
 * Keeps a record in the store, for each service, of the starts of endpoints whose logs may hold acknowledged commits that few others have.
 * A VM that has just started knows only the endpoints that are registered; one whose entry has lapsed may have more of the log than they do.
 *
 * A start is recorded soon after it has registered, and forgotten once its end is proven and a registered replica's log covers what it may
 * have had. So the record may name starts that are not needed, and lacks one only if it was lost before it was recorded.
 */
export class StartRecord {
  readonly #options: StartRecordOptions
  readonly #groups = new Set<ServiceGroup>()
  readonly #timers = new Map<ServiceGroup, NodeJS.Timeout>()
  /** The record of each service as this VM has last read or written it. */
  readonly #recorded = new Map<string, readonly RecordedStart[]>()

  constructor (options: StartRecordOptions) {
    this.#options = options
    // The copy that the store has returned from may lack the latest record.
    options.store.epochs.subscribe(() => {
      this.#recorded.clear()
      for (const group of this.#groups) this.schedule(group)
    })
  }

  /** Compares the record with the group after a short time, and writes it if it differs. */
  schedule (group: ServiceGroup, delayMs = COMPARE_DELAY_MS): void {
    this.#groups.add(group)
    if (this.#timers.has(group)) return
    const timer = setTimeout(() => {
      this.#timers.delete(group)
      this.#compare(group).catch((error: unknown) => {
        this.#options.logger.warn('record of endpoint starts not written', { service: group.service, reason: describeError(error) })
        this.schedule(group, COMPARE_AGAIN_MS)
      })
    }, delayMs + Math.min(this.#computeRank(group), MAX_RECORDING_VMS) * RANK_DELAY_MS)
    timer.unref()
    this.#timers.set(group, timer)
  }

  /**
   * Reads the record of a group, and adds the starts on it that this VM does not know to the group's departures.
   *
   * @returns the starts on record; empty if there is no record
   * @throws MetadataError if the store does not respond
   * @example const recorded = await startRecord.read(group)
   */
  async read (group: ServiceGroup): Promise<readonly RecordedStart[]> {
    return this.#apply(group, await this.#options.store.find('groups', group.service))
  }

  /** Takes over what the record tells. The record of an earlier epoch may lack starts, so it is written again. */
  #apply (group: ServiceGroup, object: StoredObject<unknown> | undefined): readonly RecordedStart[] {
    const { service } = group
    const { store, logger } = this.#options
    this.#recorded.delete(service)
    const parsed = startRecordSchema.safeParse(object?.value)
    if (!parsed.success) {
      if (object !== undefined) logger.warn('record of endpoint starts can not be read', { service, error: describeError(parsed.error) })
      return []
    }
    const { epoch, starts } = parsed.data
    if (epoch === store.epochs.current) this.#recorded.set(service, starts)
    const known = new Set([...listRegistered(group), ...group.departures].map(formatStart))
    const unknown = starts.filter(s => !known.has(formatStart(s)))
    if (unknown.length > 0) logger.warn('endpoint starts learned from the record', { service, unknown, epoch })
    for (const start of unknown) group.addReportedDeparture(start)
    return starts
  }

  async #compare (group: ServiceGroup): Promise<void> {
    const { service } = group
    const { store, members, clock, logger } = this.#options
    if (!members.hasMemberList) {
      this.schedule(group, COMPARE_AGAIN_MS)
      return
    }
    if (this.#computeRank(group) >= MAX_RECORDING_VMS) return
    await this.#probeDeparted(group)
    const received = await this.#readReceived(group)
    const merge = (recorded: readonly RecordedStart[] | null): RecordedStart[] => (
      mergeRecordedStarts(recorded, { registered: listRegistered(group), departures: group.departures, received }, clock.readNow())
    )
    if (!this.#isCurrent(group, merge)) {
      const object = await store.find('groups', service)
      const recorded = this.#apply(group, object)
      const isWritten = !this.#isCurrent(group, merge)
      const starts = merge(this.#recorded.get(service) ?? null)
      logger.info('record of endpoint starts compared', { service, recorded, starts, received, isWritten })
      if (isWritten) await this.#write(group, object, starts)
    }
    const registered = new Set(listRegistered(group).map(formatStart))
    if (this.#recorded.get(service)?.some(s => !registered.has(formatStart(s))) === true) this.schedule(group, COMPARE_AGAIN_MS)
  }

  #computeRank ({ service }: ServiceGroup): number {
    return computePresentRank(this.#options.members, service, this.#options.clock.readNow())
  }

  /** Whether the record, as far as this VM knows it, has the starts that it should have. */
  #isCurrent ({ service }: ServiceGroup, merge: (recorded: readonly RecordedStart[]) => RecordedStart[]): boolean {
    const recorded = this.#recorded.get(service)
    return recorded !== undefined && hasSameStarts(recorded, merge(recorded))
  }

  /** Writes the record. One that another VM has written meanwhile is compared again. */
  async #write (group: ServiceGroup, object: StoredObject<unknown> | undefined, starts: readonly RecordedStart[]): Promise<void> {
    const { service } = group
    const { store } = this.#options
    try {
      const { epoch } = await store.write('groups', service, { epoch: store.epochs.current, starts }, object?.revision ?? null)
      if (epoch === store.epochs.current) this.#recorded.set(service, starts)
    } catch (error) {
      if (!(error instanceof RevisionConflictError)) throw error
      this.#recorded.delete(service)
      this.schedule(group)
    }
  }

  /**
   * Asks the departed starts on record that have been silent for long, or are about to be forgotten, whether they still run. One that does
   * not respond is presumed to have ended.
   */
  async #probeDeparted (group: ServiceGroup): Promise<void> {
    const { departures, service } = group
    const { clock, control, logger } = this.#options
    const nowMs = clock.readNow()
    const recorded = new Set(this.#recorded.get(service)?.map(formatStart))
    const probed = departures.filter(d => recorded.has(formatStart(d)) && isProbeDue(d, nowMs))
    await Promise.all(probed.map(async departure => {
      const { endpoint, address, isGone } = departure
      const inputs = { service, endpoint, address, isGone }
      try {
        await control.run({ endpoint, service, address: address! }, async c => await c.readStatus())
        recordRunning(departures, departure, clock.readNow())
        logger.warn('departed endpoint on record still runs', inputs)
      } catch (error) {
        const isPresumed = !isAddressReused(error)
        recordGone(departures, departure, clock.readNow(), isPresumed)
        logger.info('departed endpoint on record does not respond', { ...inputs, isPresumed, reason: describeError(error) })
      }
    }))
  }

  /** Reads the ends of the logs of the registered replicas, if a start on record can be forgotten once one of them reaches its log end. */
  async #readReceived ({ service, departures, pools, primaryPool }: ServiceGroup): Promise<LogPosition[]> {
    const { clock, control, logger } = this.#options
    const recorded = new Set(this.#recorded.get(service)?.map(formatStart))
    if (!departures.some(d => recorded.has(formatStart(d)) && isEndSettled(d, clock.readNow()))) return []
    const replicas = [...pools.values()].filter(p => p !== primaryPool).map(p => p.entry)
    const statuses = await Promise.all(replicas.map(async entry => {
      return await control.run(entry, async c => await c.readStatus()).catch((error: unknown) => {
        logger.info('end of the log not told for the record of endpoint starts', { endpoint: entry.endpoint, reason: describeError(error) })
        return null
      })
    }))
    return statuses.flatMap(s => s === null || s.role !== 'replica' ? [] : [s.received])
  }
}

/** Whether a departed start is to be asked: its end is not known, or only presumed and about to count. */
function isProbeDue (departure: Departure, nowMs: number): boolean {
  if (departure.address === undefined) return false
  if (departure.isGone !== true) return nowMs - departure.noticedAtMs >= LONG_MISSING_MS
  return departure.isPresumed === true && isEndSettled(departure, nowMs)
}

function listRegistered ({ pools }: ServiceGroup): EndpointEntry[] {
  return [...pools.values()].map(p => p.entry)
}
