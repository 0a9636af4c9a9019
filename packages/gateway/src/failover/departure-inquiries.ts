import { describeError, type Clock, type Logger } from '@camphorpitch/wire'
import { computeRank, type MemberState } from '../fleet/members.ts'
import { recordGone, recordRunning, type Departure } from '../groups/departures.ts'
import type { ServiceGroup } from '../groups/service-group.ts'
import type { ControlConnections } from './control-connections.ts'
import { isEnded, isRefused } from './fence-departures.ts'

/** Time from a departure to the first inquiry. On a busy service a statement tells the end of the primary's log earlier. */
const INQUIRY_DELAY_MS = 1_000
/** Number of VMs that inquire, those of the lowest ranks. */
const MAX_INQUIRING_VMS = 3
/** Inquiries after one departure, while the primary does not tell the end of its log. */
const MAX_INQUIRIES = 5

export interface DepartureInquiriesOptions {
  clock: Clock
  logger: Logger
  control: ControlConnections
  members: MemberState
}

/**
 * Learns what a later promotion needs to know of replicas that have left the directory, while it can still be told: the end of the
 * primary's log, which the primary does not tell if it gets no statements, and whether the replica itself is gone.
 */
export class DepartureInquiries {
  readonly #options: DepartureInquiriesOptions
  readonly #timers = new Map<ServiceGroup, NodeJS.Timeout>()

  constructor (options: DepartureInquiriesOptions) {
    this.#options = options
  }

  /** Has the VM inquire about the departures of a group after a short time. */
  schedule (group: ServiceGroup, inquiries = 1): void {
    if (this.#timers.has(group)) return
    const timer = setTimeout(() => {
      this.#timers.delete(group)
      this.#runInquiry(group, inquiries).catch((error: unknown) => this.#options.logger.error('inquiry about departures failed', { service: group.service, error: describeError(error) }))
    }, INQUIRY_DELAY_MS)
    timer.unref()
    this.#timers.set(group, timer)
  }

  async #runInquiry (group: ServiceGroup, inquiries: number): Promise<void> {
    const { clock, members } = this.#options
    if (computeRank(members, group.service, clock.readNow()) >= MAX_INQUIRING_VMS) return
    const open = group.departures.filter(d => d.isGone !== true || d.isPresumed === true)
    await Promise.all(open.map(async d => await this.#probeDeparted(group, d)))
    await this.#probeLogEnd(group)
    if (group.departures.some(d => d.logEnd === null) && inquiries < MAX_INQUIRIES) this.schedule(group, inquiries + 1)
  }

  /** Requests the primary's status, unless a response of the primary has told the end of its log since the departures. */
  async #probeLogEnd (group: ServiceGroup): Promise<void> {
    const { clock, logger, control } = this.#options
    const { primaryPool } = group
    if (primaryPool === undefined || group.departures.every(d => d.logEnd !== null)) return
    const { entry } = primaryPool
    const sentAtMs = clock.readNow()
    try {
      const status = await control.run(entry, async c => await c.readStatus())
      if (status?.role === 'primary') group.recordPrimaryStatus(entry.endpoint, status, sentAtMs)
      logger.info('end of the log requested after a departure', { service: group.service, primary: entry.endpoint, status })
    } catch (error) {
      logger.info('end of the log not told after a departure', { service: group.service, primary: entry.endpoint, reason: describeError(error) })
    }
  }

  async #probeDeparted ({ service, departures }: ServiceGroup, departure: Departure): Promise<void> {
    const { endpoint, address } = departure
    if (address === undefined) return
    try {
      await this.#options.control.run({ endpoint, service, address }, async c => await c.readStatus())
      const isTakenBack = recordRunning(departures, departure, this.#options.clock.readNow())
      this.#options.logger.warn('endpoint without an entry still responds', { service, endpoint, address, isTakenBack })
    } catch (error) {
      if (isEnded(error)) recordGone(departures, departure, this.#options.clock.readNow(), isRefused(error))
    }
  }
}
