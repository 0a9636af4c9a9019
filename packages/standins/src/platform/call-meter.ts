export const callTypes = ['list', 'read', 'write', 'delete', 'watch', 'vms'] as const
export type CallType = typeof callTypes[number]
export type CallCounts = Record<CallType, number>

export interface CallReport {
  total: CallCounts
  /** Calls in the last complete second. */
  lastSecond: CallCounts
  /** Number of calls refused with HTTP status 429. */
  refused: number
}

export interface CallMeterOptions {
  writesPerSecond: number
  readsPerSecond: number
}

const WINDOW_MS = 1_000

function createCounts (): CallCounts {
  return { list: 0, read: 0, write: 0, delete: 0, watch: 0, vms: 0 }
}

/** Counts calls by type, and refuses calls over the allowed number per second; each clock second is counted separately. */
export class CallMeter {
  readonly #options: CallMeterOptions
  readonly #totalCounts = createCounts()
  #currentCounts = createCounts()
  #previousCounts = createCounts()
  #windowIndex = 0
  #refused = 0

  constructor (options: CallMeterOptions) {
    this.#options = options
  }

  /** Counts the call and returns true, or returns false when it is over the rate of its second. */
  admitCall (type: CallType, nowMs: number): boolean {
    this.#advanceWindow(nowMs)
    const { write, delete: deletes, list, read, watch, vms } = this.#currentCounts
    const isWrite = type === 'write' || type === 'delete'
    const used = isWrite ? write + deletes : list + read + watch + vms
    const limit = isWrite ? this.#options.writesPerSecond : this.#options.readsPerSecond
    if (used >= limit) {
      this.#refused += 1
      return false
    }
    this.#currentCounts[type] += 1
    this.#totalCounts[type] += 1
    return true
  }

  readReport (nowMs: number): CallReport {
    this.#advanceWindow(nowMs)
    return { total: { ...this.#totalCounts }, lastSecond: { ...this.#previousCounts }, refused: this.#refused }
  }

  #advanceWindow (nowMs: number): void {
    const windowIndex = Math.floor(nowMs / WINDOW_MS)
    if (windowIndex === this.#windowIndex) return
    this.#previousCounts = windowIndex === this.#windowIndex + 1 ? this.#currentCounts : createCounts()
    this.#currentCounts = createCounts()
    this.#windowIndex = windowIndex
  }
}
