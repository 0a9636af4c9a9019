import { uptime } from 'node:os'
import { performance } from 'node:perf_hooks'
import { Clock } from '@camphorpitch/wire'

/** Difference between the clocks above which a suspension is looked for, in milliseconds; above their jitter. */
const SUSPICIOUS_DRIFT_MS = 15
const MS_PER_SECOND = 1_000

export interface ElapsedClockOptions {
  /** Milliseconds that stand still while the VM is suspended. */
  readSteadyMs?: () => number
  /** Time of day in milliseconds; may jump. */
  readWallMs?: () => number
  /** Milliseconds since boot, suspensions included. */
  readUptimeMs?: () => number
}

/**
 * Monotonic time that includes suspensions of the VM.
 *
 * The steady clock stands still during a suspension while the time of day goes on, so wherever the two
 * part the uptime is read, which neither stands still nor jumps.
 *
 * @example new ElapsedClock().readNow() // milliseconds since an arbitrary origin
 */
export class ElapsedClock extends Clock {
  readonly #readSteadyMs: () => number
  readonly #readWallMs: () => number
  readonly #readUptimeMs: () => number
  readonly #originMs: number
  #suspendedMs = 0
  #lastDifferenceMs: number

  constructor (options: ElapsedClockOptions = {}) {
    super()
    const { readSteadyMs = () => performance.now(), readWallMs = () => Date.now(), readUptimeMs = () => uptime() * MS_PER_SECOND } = options
    this.#readSteadyMs = readSteadyMs
    this.#readWallMs = readWallMs
    this.#readUptimeMs = readUptimeMs
    this.#originMs = readUptimeMs() - readSteadyMs()
    this.#lastDifferenceMs = readWallMs() - readSteadyMs()
  }

  override readNow (): number {
    const steadyMs = this.#readSteadyMs()
    const differenceMs = this.#readWallMs() - steadyMs
    if (Math.abs(differenceMs - this.#lastDifferenceMs) > SUSPICIOUS_DRIFT_MS) {
      this.#lastDifferenceMs = differenceMs
      this.#suspendedMs = Math.max(this.#suspendedMs, this.#readUptimeMs() - steadyMs - this.#originMs)
    }
    return steadyMs + this.#suspendedMs
  }
}
