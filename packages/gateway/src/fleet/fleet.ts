import { isDeepStrictEqual } from 'node:util'
import type { Clock, Hello, Logger, PeerNetwork } from '@camphorpitch/wire'
import type { z } from 'zod'
import { EpochChangedError, RevisionConflictError } from '../metadata/errors.ts'
import type { Listing, MetadataStore } from '../metadata/metadata-store.ts'
import { compareRevisions, type Revision } from '../metadata/revision.ts'
import { watchKind, type KindWatch } from '../metadata/watch-kind.ts'
import {
  addMember,
  computeRank,
  REMOVE_ENTRY_AFTER_MS,
  isResponsive,
  listMissing,
  listPolled,
  measureUnansweredMs,
  recordLeft,
  recordPoll,
  recordPolledBy,
  recordReport,
  recordSilentVms,
  removeUnannounced,
  restoreMissing,
  type MemberState
} from './members.ts'
import { fleetMessageSchema, vmEntrySchema, type FleetMessage, type pollSchema, type Report } from './message-schemas.ts'

export const FLEET_SLICE = 'fleet'
/** Time between two rounds of polls. */
const POLL_INTERVAL_MS = 500
/** Time between two rounds of polls right after a start: shorter, as this VM has no reports yet. */
const STARTUP_POLL_INTERVAL_MS = 150
/** Number of rounds after a start with the shorter interval. */
const STARTUP_ROUND_COUNT = 8
/** Duration of one watch of the VM entries: VMs are seldom added or removed, and reports list new VMs as well. */
const VMS_WATCH_TIMEOUT_MS = 15_000
/** Pause between two watches of the VM entries: when a whole fleet starts, every VM that registers changes them. */
const VMS_WATCH_PAUSE_MS = 1_500
const REGISTRATION_RETRY_DELAY_MS = 700
/** Time in which all VMs have written their entries again after the store has returned from an older copy. */
const REGISTRATION_TIME_MS = 2_000
/** Time for the `left` messages to be sent before the process ends. */
const LEFT_MESSAGE_FLUSH_MS = 30
/** Rounds of polls between two removals of unresponsive VMs. */
const ROUNDS_PER_MEMBER_SWEEP = 20
/** Number of latest polls whose sending time is kept; reports in response to an older poll are ignored. */
const MAX_TRACKED_POLLS = 64

export type Poll = z.infer<typeof pollSchema>

export interface FleetOptions {
  state: MemberState
  network: PeerNetwork
  store: MetadataStore
  clock: Clock
  logger: Logger
  /** Creates the response to a poll of `vm`. */
  createReport: (vm: string, poll: Poll) => Report
  createPoll: (sequence: number) => Poll
  /** Applies the report with which `vm` answered a poll that was sent at `pollSentAtMs`. */
  applyReport: (vm: string, report: Report, pollSentAtMs: number) => void
  /** Handles every message other than polls, reports and `left`. */
  handleMessage: (vm: string, message: FleetMessage) => void
  /** Called after the polls of each round have been sent. */
  handleRound: () => void
  /** Called when a VM has announced that it leaves the fleet. */
  removeVm: (vm: string) => void
}

/** Keeps the list of the other VMs up to date, and exchanges reports with them. */
export class Fleet {
  readonly #options: FleetOptions
  readonly #pollSentAtMsBySequence = new Map<number, number>()
  #lastPollSequence = 0
  #round = 0
  #roundTimer: NodeJS.Timeout | undefined
  #vmsWatch: KindWatch<'vms'> | undefined
  #localEntryRevision: Revision | null = null
  #isRegistering = false
  /** The attempt to write this VM's entry that was begun last. */
  #registrationAttempt: Promise<Revision> | undefined
  #isStopped = false

  constructor (options: FleetOptions) {
    this.#options = options
  }

  get isRegistered (): boolean {
    return this.#localEntryRevision !== null
  }

  start (): void {
    const { network, store, logger } = this.#options
    network.subscribe(FLEET_SLICE, (from, body) => this.#receive(from, body))
    this.#vmsWatch = watchKind({
      store,
      logger,
      kind: 'vms',
      waitMs: VMS_WATCH_TIMEOUT_MS,
      pauseMs: VMS_WATCH_PAUSE_MS,
      applyListing: listing => {
        const { state, clock } = this.#options
        if (!state.hasMemberList && listing.asOf.epoch > 0) state.incompleteUntilMs = clock.readNow() + REGISTRATION_TIME_MS
        state.hasMemberList = true
        for (const item of listing.items) this.#addEntry(item.value)
        if (!listing.items.some(i => i.name === state.self.vm)) this.#handleLocalEntryMissing(listing.asOf)
        if (listing.asOf.epoch > 0) this.#deleteLeftEntries(listing)
      },
      applyChanges: (changes, asOf) => {
        const { state, clock } = this.#options
        for (const { object, isRemoved } of changes) {
          if (!isRemoved) this.#addEntry(object.value)
          else if (object.name === state.self.vm) this.#handleLocalEntryMissing(asOf)
          else removeUnannounced(state, object.name, clock.readNow())
        }
      }
    })
    store.epochs.subscribe(() => this.#startRegistration(true))
    this.#startRegistration(false)
    this.#scheduleRound()
  }

  /** Sends polls now, for a caller that needs up-to-date reports before the next round. */
  poll (): void {
    const polled = listPolled(this.#options.state, this.#round)
    // One time for all: an answer counts only for polls that were sent no later than its own.
    const sentAtMs = this.#sendPoll(polled.map(m => m.entry.vm))
    for (const member of polled) recordPoll(member, sentAtMs)
  }

  /** Polls one of the missing VMs, each in turn. It may have removed this VM as well, so the poll carries this VM's entry. */
  #pollMissing (): void {
    const { state, network, clock } = this.#options
    const missing = listMissing(state, clock.readNow())
    const polled = missing[this.#round % missing.length]
    if (polled !== undefined) {
      network.sendTo(polled.host, polled.port, FLEET_SLICE, { ...this.#createTrackedPoll(clock.readNow()), vm: state.self })
    }
  }

  /** Sends a poll to some VMs. @returns when it was sent */
  #sendPoll (vms: readonly string[]): number {
    const { network, clock } = this.#options
    const sentAtMs = clock.readNow()
    const poll = this.#createTrackedPoll(sentAtMs)
    for (const vm of vms) network.send(vm, FLEET_SLICE, poll)
    return sentAtMs
  }

  #createTrackedPoll (sentAtMs: number): Poll {
    const poll = this.#options.createPoll(++this.#lastPollSequence)
    this.#pollSentAtMsBySequence.set(this.#lastPollSequence, sentAtMs)
    this.#pollSentAtMsBySequence.delete(this.#lastPollSequence - MAX_TRACKED_POLLS)
    return poll
  }

  send (vm: string, message: FleetMessage): void {
    this.#options.network.send(vm, FLEET_SLICE, message)
  }

  /** Announces to the other VMs that this VM leaves the fleet, and removes its entry from the store. */
  async stop (): Promise<void> {
    const { state: { self, members }, logger } = this.#options
    this.#isStopped = true
    clearTimeout(this.#roundTimer)
    this.#vmsWatch?.stop()
    for (const vm of members.keys()) this.send(vm, { type: 'left', incarnation: self.incarnation })
    try {
      await this.#deleteLocalEntry()
      logger.info('local vm entry removed', { vm: self.vm })
    } catch (error) {
      logger.info('removal of the local vm entry failed', { reason: String(error) })
    }
    await new Promise(resolve => setTimeout(resolve, LEFT_MESSAGE_FLUSH_MS))
  }

  #scheduleRound (): void {
    if (this.#isStopped) return
    this.#roundTimer = setTimeout(() => {
      this.#scheduleRound()
      this.#startRound()
    }, this.#round < STARTUP_ROUND_COUNT ? STARTUP_POLL_INTERVAL_MS : POLL_INTERVAL_MS)
  }

  #startRound (): void {
    this.#round++
    this.poll()
    this.#pollMissing()
    this.#options.handleRound()
    if (this.#round % ROUNDS_PER_MEMBER_SWEEP === 0) this.#removeUnresponsiveMembers()
  }

  #receive (from: Hello, body: unknown): void {
    const { logger, network, createReport, handleMessage } = this.#options
    const parsed = fleetMessageSchema.safeParse(body)
    if (!parsed.success) {
      logger.warn('malformed message from another vm', { vm: from.vm, reason: parsed.error.message })
      return
    }
    const message = parsed.data
    if (message.type !== 'left' && restoreMissing(this.#options.state, from.vm, from.incarnation)) {
      logger.info('missing vm returned to the members of the fleet', { vm: from.vm })
    }
    if (message.type === 'poll') {
      if (message.vm !== undefined) this.#addEntry(message.vm)
      recordPolledBy(this.#options.state, from.vm, this.#options.clock.readNow())
      network.send(from.vm, FLEET_SLICE, createReport(from.vm, message))
      // Without the store's list, the VMs that know this one from before its start are the only way to the others.
      const { hasMemberList, members } = this.#options.state
      if (!hasMemberList && !members.has(from.vm)) this.#sendPoll([from.vm])
    } else if (message.type === 'report') this.#receiveReport(from.vm, message)
    else if (message.type === 'left') this.#handleLeft(from.vm, message.incarnation)
    else handleMessage(from.vm, message)
  }

  #handleLeft (vm: string, incarnation: number): void {
    const { state, logger, removeVm } = this.#options
    logger.info('vm left the fleet', { vm })
    recordLeft(state, vm, incarnation)
    removeVm(vm)
  }

  #receiveReport (vm: string, report: Report): void {
    const pollSentAtMs = this.#pollSentAtMsBySequence.get(report.sequence)
    if (pollSentAtMs === undefined) return
    const { state, clock, logger, applyReport } = this.#options
    const member = state.members.get(vm)
    if (member !== undefined && !isResponsive(member, clock.readNow())) logger.info('vm became responsive', { vm })
    recordReport(state, vm, pollSentAtMs)
    recordSilentVms(state, vm, report.silent ?? [], clock.readNow())
    for (const entry of report.vms ?? []) this.#addEntry(entry)
    if (report.vms !== undefined) state.hasMemberList = true
    applyReport(vm, report, pollSentAtMs)
  }

  #addEntry (value: unknown): void {
    const { state, logger } = this.#options
    const parsed = vmEntrySchema.safeParse(value)
    if (!parsed.success) return
    if (addMember(state, parsed.data)) logger.info('vm added to the members of the fleet', { ...parsed.data })
  }

  /**
   * Has this VM's entry written again after another VM has deleted it, which had not reached this VM for long: without an entry, other VMs
   * would not ask this one before they replace a primary.
   *
   * @param asOf revision as of which the store did not have the entry
   */
  #handleLocalEntryMissing (asOf: Revision): void {
    const { state: { self }, logger } = this.#options
    if (this.#isStopped || this.#localEntryRevision === null || compareRevisions(asOf, this.#localEntryRevision) < 0) return
    logger.warn('local vm entry was deleted by another vm, it is written again', { vm: self.vm, asOf })
    this.#localEntryRevision = null
    this.#startRegistration(true)
  }

  /** Starts to write this VM's entry into the store, unless that is in progress. */
  #startRegistration (mayBeRegistered: boolean): void {
    const { logger } = this.#options
    if (this.#isRegistering || this.#isStopped) return
    this.#isRegistering = true
    this.#register(mayBeRegistered).catch((error: unknown) => logger.error('vm registration failed', { error: String(error) }))
      .finally(() => { this.#isRegistering = false })
  }

  /** Writes this VM's entry until the store has it in its latest epoch. */
  async #register (mayBeRegistered: boolean): Promise<void> {
    const { store, state: { self }, logger } = this.#options
    let isLookupNeeded = mayBeRegistered
    while (!this.#isStopped && (this.#localEntryRevision === null || this.#localEntryRevision.epoch !== store.epochs.current)) {
      try {
        this.#registrationAttempt = isLookupNeeded ? this.#replaceLocalEntry() : store.write('vms', self.vm, self, null)
        this.#localEntryRevision = await this.#registrationAttempt
        logger.info('local vm entry registered', { vm: self.vm, epoch: this.#localEntryRevision.epoch })
      } catch (error) {
        const isFirstConflict = error instanceof RevisionConflictError && !isLookupNeeded
        isLookupNeeded = isLookupNeeded || isFirstConflict
        if (isFirstConflict) continue
        logger.info('registration of the local vm entry failed', { reason: String(error) })
        await new Promise(resolve => setTimeout(resolve, REGISTRATION_RETRY_DELAY_MS))
      }
    }
  }

  /** Writes this VM's entry in place of the one that the store has, unless they are equal. @returns the entry's revision */
  async #replaceLocalEntry (): Promise<Revision> {
    const { store, state: { self } } = this.#options
    const found = await store.find('vms', self.vm)
    return found !== undefined && isDeepStrictEqual(found.value, self) ? found.revision : await store.write('vms', self.vm, self, found?.revision ?? null)
  }

  /** Deletes this VM's entry, also if it is being written, or the store has returned from an older copy since it was. */
  async #deleteLocalEntry (): Promise<void> {
    const { store, state: { self } } = this.#options
    await this.#registrationAttempt?.catch(() => {}) // Its failure has been logged.
    try {
      if (this.#localEntryRevision !== null) await store.delete('vms', self.vm, this.#localEntryRevision)
    } catch (error) {
      if (!(error instanceof EpochChangedError)) throw error
      const found = await store.find('vms', self.vm)
      if (found !== undefined && isDeepStrictEqual(found.value, self)) await store.delete('vms', self.vm, found.revision)
    }
  }

  /** Deletes the entries of VMs that have left the fleet, which an older copy of the store has again. The first VM in rank does so. */
  #deleteLeftEntries ({ items }: Listing<unknown>): void {
    const { state, store, clock, logger } = this.#options
    for (const { name, value, revision } of items) {
      const parsed = vmEntrySchema.safeParse(value)
      const hasLeft = parsed.success && parsed.data.incarnation <= (state.left.get(name) ?? -Infinity)
      if (!hasLeft || computeRank(state, name, clock.readNow()) > 0) continue
      logger.info('entry of a vm that has left deleted, the metadata store has returned from an older copy', { vm: name })
      store.delete('vms', name, revision).catch((error: unknown) => logger.info('deletion of the entry of a vm that has left failed', { vm: name, reason: String(error) }))
    }
  }

  /** Removes VMs that have left polls unanswered for so long that they are taken as stopped for good. */
  #removeUnresponsiveMembers (): void {
    const { state, clock, store, logger } = this.#options
    const nowMs = clock.readNow()
    for (const member of state.members.values()) {
      if (measureUnansweredMs(member, nowMs) < REMOVE_ENTRY_AFTER_MS) continue
      const { vm } = member.entry
      store.find('vms', vm).then(async found => { if (found !== undefined) await store.delete('vms', vm, found.revision) })
        .catch((error: unknown) => logger.info('removal of an unresponsive vm entry failed', { vm, reason: String(error) }))
      removeUnannounced(state, vm, nowMs)
      logger.info('unresponsive vm removed from the members of the fleet', { vm })
    }
  }
}
