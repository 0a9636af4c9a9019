import type { InstanceStatus, LogPosition, WaitResult } from '@camphorpitch/wire'
import type { Engine } from './engine.ts'
import type { FaultInjector } from './fault-injector.ts'
import { nullStateFile, type StateFile } from './state-file.ts'
import {
  addEntry, applyShipment, createShipment, describeStatus, fence, follow, hasEntryInCurrentTerm, promote, readPosition,
  type GroupState, type LogRequest, type PrimaryAddress, type Shipment
} from './group-rules.ts'

const MAX_SHIPMENT_ENTRIES = 500

interface Waiter {
  /** Resolves the waiter's promise and returns true if its condition holds or `expired` is true. */
  finishIfReady: (expired: boolean) => boolean
}

export interface GroupMemberOptions {
  state: GroupState
  engine: Engine
  injector: FaultInjector
  stateFile?: StateFile
  /** Called after the term, the role or the primary has changed. */
  handleRoleChange: () => void
}

/**
 * Runs the group rules of one instance: stores each change of its state in the state file, applies log entries to the
 * engine and resolves the promises of those who wait for a position.
 */
export class GroupMember {
  readonly state: GroupState
  readonly #engine: Engine
  readonly #injector: FaultInjector
  readonly #handleRoleChange: () => void
  readonly #stateFile: StateFile
  readonly #waiters = new Set<Waiter>()
  #lastPrimaryResponseAtMs = performance.now()
  #stopped = false

  constructor ({ state, engine, injector, stateFile = nullStateFile, handleRoleChange }: GroupMemberOptions) {
    this.state = state
    this.#stateFile = stateFile
    this.#engine = engine
    this.#injector = injector
    this.#handleRoleChange = handleRoleChange
    injector.subscribe(() => { this.#scheduleApply() })
    this.#applyUpTo(state.log.length)
  }

  isPrimary (): boolean {
    return this.state.role === 'primary'
  }

  readStatus (): InstanceStatus {
    const status = describeStatus(this.state)
    if (status.role !== 'replica') return status
    return { ...status, primaryHeardMs: Math.round(performance.now() - this.#lastPrimaryResponseAtMs) }
  }

  /** Grants a term to a promoter, see `fence` of the group rules; false when it is refused. */
  fence (term: number, promoter: string): boolean {
    const before = this.state.term
    if (!fence(this.state, term, promoter)) return false
    if (before !== term) this.#updateRole()
    return true
  }

  /** Makes the instance primary, see `promote` of the group rules; false when it is refused. */
  promote (term: number, promoter: string, address: PrimaryAddress): boolean {
    const wasPrimary = this.isPrimary()
    if (!promote(this.state, term, promoter, address)) return false
    if (wasPrimary) return true
    this.#stateFile.recordEntries(this.state.log.length - 1, this.state.log.slice(-1))
    this.#applyUpTo(this.state.log.length)
    this.#updateRole()
    return true
  }

  /** Makes the instance a replica of `primary`, see `follow` of the group rules; false when it is refused. */
  follow (term: number, primary: PrimaryAddress): boolean {
    const { term: before, role } = this.state
    if (!follow(this.state, term, primary)) return false
    if (before !== term || role !== 'replica') {
      this.#lastPrimaryResponseAtMs = performance.now()
      this.#updateRole()
    }
    return true
  }

  /** Appends a transaction that the engine has just committed to the log of this primary, and returns its position. */
  addTransaction (statements: string[]): LogPosition {
    const position = addEntry(this.state, statements)
    this.#stateFile.recordEntries(position.index - 1, this.state.log.slice(position.index - 1))
    this.#engine.apply(statements, true)
    this.state.appliedIndex = position.index
    this.#checkWaiters()
    return position
  }

  /** Records that the primary has just responded; the time since then is part of the status. */
  recordPrimaryResponse (): void {
    this.#lastPrimaryResponseAtMs = performance.now()
  }

  /** Merges entries from the primary into the log and schedules their application; false when they are refused. */
  receiveShipment (shipment: Shipment): boolean {
    const appliedIndexBefore = this.state.appliedIndex
    const outcome = applyShipment(this.state, shipment)
    if (!outcome.accepted) return false
    const addedEntries = this.state.log.slice(outcome.keptIndex)
    if (addedEntries.length > 0) this.#stateFile.recordEntries(outcome.keptIndex, addedEntries)
    if (this.state.appliedIndex < appliedIndexBefore) {
      this.#engine.restore(this.state.log.slice(0, this.state.appliedIndex).map(e => e.statements))
    }
    this.#scheduleApply()
    this.#checkWaiters()
    return true
  }

  /**
   * Waits until the log holds `position` in its term, or until a newer term makes that impossible, for at most
   * `timeoutMs`. `reached` in the result tells whether the log holds it.
   */
  waitForPosition (position: LogPosition, timeoutMs: number): Promise<WaitResult> {
    const read = (): WaitResult => ({
      reached: hasEntryInCurrentTerm(this.state, position), term: this.state.term, logged: readPosition(this.state.log, this.state.log.length)
    })
    return this.#wait(() => read().reached || this.state.term > position.term, read, timeoutMs)
  }

  /**
   * Waits up to `waitMs` for entries that the requesting replica lacks, or until its log has to be cut back.
   *
   * @returns `null` when this instance is not the primary of the request's term; without entries after `waitMs`
   */
  waitForShipment (request: LogRequest, waitMs: number): Promise<Shipment | null> {
    const read = (): Shipment | null => createShipment(this.state, request, MAX_SHIPMENT_ENTRIES)
    const isReady = (): boolean => {
      const shipment = read()
      return shipment === null || shipment.entries.length > 0 || shipment.previous.index < request.length
    }
    return this.#wait(isReady, read, waitMs)
  }

  /** Resolves all waits and applies no more entries. */
  stop (): void {
    this.#stopped = true
    for (const w of this.#waiters) w.finishIfReady(true)
    this.#waiters.clear()
  }

  async #wait<T> (isReady: () => boolean, read: () => T, timeoutMs: number): Promise<T> {
    if (isReady() || timeoutMs === 0) return read()
    return await new Promise(resolve => {
      const timer = setTimeout(() => {
        this.#waiters.delete(waiter)
        resolve(read())
      }, timeoutMs)
      const waiter: Waiter = {
        finishIfReady: expired => {
          if (!expired && !isReady()) return false
          clearTimeout(timer)
          resolve(read())
          return true
        }
      }
      this.#waiters.add(waiter)
    })
  }

  #checkWaiters (): void {
    for (const w of this.#waiters) {
      if (w.finishIfReady(false)) this.#waiters.delete(w)
    }
  }

  #updateRole (): void {
    this.#stateFile.recordTerm(this.state)
    this.#handleRoleChange()
    this.#checkWaiters()
  }

  /**
   * Applies the entries that the log has now after the configured delay. Skips them when the instance is frozen by
   * then, or when other entries have replaced them; the next shipment or change of faults schedules the application again.
   */
  #scheduleApply (): void {
    const { log, appliedIndex } = this.state
    if (appliedIndex === log.length || this.#stopped) return
    const targetIndex = log.length
    const lastEntry = log.at(-1)
    const applyIfCurrent = (): void => {
      if (this.#stopped || this.#injector.faults.freeze) return
      if (this.state.log[targetIndex - 1] === lastEntry) this.#applyUpTo(targetIndex)
    }
    if (this.#injector.faults.applyDelayMs === 0) applyIfCurrent()
    else setTimeout(applyIfCurrent, this.#injector.faults.applyDelayMs)
  }

  #applyUpTo (index: number): void {
    for (let i = this.state.appliedIndex; i < index; i++) this.#engine.apply(this.state.log[i]!.statements, false)
    this.state.appliedIndex = Math.max(this.state.appliedIndex, index)
  }
}
