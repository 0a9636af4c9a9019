import { uptime } from 'node:os'
import { performance } from 'node:perf_hooks'
import { Clock } from '@camphorpitch/wire'

/** Difference between the clocks above which a suspension is looked for, in milliseconds; above their jitter. */
const SUSPENSION_CHECK_DRIFT_MS = 15
const MS_PER_SECOND = 1_000

export interface ElapsedClockOptions {
  /** Milliseconds that stand still while the VM is suspended. */
  readMonotonicMs?: () => number
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
  readonly #readMonotonicMs: () => number
  readonly #readWallMs: () => number
  readonly #readUptimeMs: () => number
  readonly #initialUptimeOffsetMs: number
  #suspendedMs = 0
  #lastWallOffsetMs: number

  constructor (options: ElapsedClockOptions = {}) {
    super()
    const { readMonotonicMs = () => performance.now(), readWallMs = () => Date.now(), readUptimeMs = () => uptime() * MS_PER_SECOND } = options
    this.#readMonotonicMs = readMonotonicMs
    this.#readWallMs = readWallMs
    this.#readUptimeMs = readUptimeMs
    this.#initialUptimeOffsetMs = readUptimeMs() - readMonotonicMs()
    this.#lastWallOffsetMs = readWallMs() - readMonotonicMs()
  }

  override readNow (): number {
    const monotonicMs = this.#readMonotonicMs()
    const wallOffsetMs = this.#readWallMs() - monotonicMs
    if (Math.abs(wallOffsetMs - this.#lastWallOffsetMs) > SUSPENSION_CHECK_DRIFT_MS) {
      this.#lastWallOffsetMs = wallOffsetMs
      this.#suspendedMs = Math.max(this.#suspendedMs, this.#readUptimeMs() - monotonicMs - this.#initialUptimeOffsetMs)
    }
    return monotonicMs + this.#suspendedMs
  }
}
