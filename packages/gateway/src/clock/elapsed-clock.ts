import { uptime } from 'node:os'
import { performance } from 'node:perf_hooks'
import { Clock } from '@camphorpitch/wire'

/** Drift between the clocks above which the uptime is read to check for a suspension; larger than the clocks' jitter. */
const SUSPENSION_CHECK_DRIFT_MS = 15
/** Interval at which the uptime is compared with the monotonic clock. */
const UPTIME_CHECK_INTERVAL_MS = 1_000
/** Longest time by which the two may drift apart in between without a suspension; the uptime is told in hundredths of a second. */
const MAX_UPTIME_DRIFT_MS = 50
/** Reads of both clocks that took longer, as the process stood still in between, are repeated. */
const MAX_READ_MS = 10
const MAX_READS = 3
const MS_PER_SECOND = 1_000

export interface ElapsedClockOptions {
  /** Reads a monotonic clock, in milliseconds, that does not advance while the VM is suspended. */
  readMonotonicMs?: () => number
  /** Reads the wall clock, in milliseconds; it may jump. */
  readWallMs?: () => number
  /** Reads the time since boot, in milliseconds, including suspensions. */
  readUptimeMs?: () => number
  /** Called when the clock advances by a suspension. */
  recordSuspension?: (suspension: Suspension) => void
  /** Called once when the uptime turns out not to be that of this VM; `driftMs` is what it has gained since the check before. */
  recordForeignUptime?: (driftMs: number) => void
}

/** A suspension as the clocks tell it, in milliseconds. */
export interface Suspension {
  /** Time by which this clock advances: what the uptime tells, or the wall clock if the uptime is not that of this VM. */
  suspendedMs: number
  /** Time by which the wall clock has, which differs if it was set as well. */
  wallDriftMs: number
  monotonicMs: number
}

/**
 * Monotonic time that includes suspensions of the VM, so that what is held for a time ends in time. It may advance faster than time passes.
 *
 * During a suspension the wall clock advances and the monotonic clock does not. Whenever the offset between the two
 * changes, the uptime is read: it advances during a suspension, and does not jump when the wall clock is set.
 *
 * Node.js reads the uptime from `/proc/uptime`, which may be that of another machine than the one whose clocks the process has. An uptime
 * that drifts away from the monotonic clock while the wall clock does not is not used; then every advance of the wall clock counts as a
 * suspension, and one during which the wall clock is set back is missed.
 *
 * @example new ElapsedClock().readNow() // milliseconds since an arbitrary origin
 */
export class ElapsedClock extends Clock {
  readonly #readMonotonicMs: () => number
  readonly #readWallMs: () => number
  readonly #readUptimeMs: () => number
  readonly #recordSuspension: (suspension: Suspension) => void
  readonly #recordForeignUptime: (driftMs: number) => void
  /** Difference between the uptime and the monotonic clock, as of the latest check. */
  #uptimeOffsetMs: number
  #checkedAtMs: number
  #isUptimeForeign = false
  #suspendedMs = 0
  #lastWallOffsetMs: number

  constructor (options: ElapsedClockOptions = {}) {
    super()
    const { readMonotonicMs = () => performance.now(), readWallMs = () => Date.now(), readUptimeMs = () => uptime() * MS_PER_SECOND } = options
    this.#recordSuspension = options.recordSuspension ?? (() => {})
    this.#recordForeignUptime = options.recordForeignUptime ?? (() => {})
    this.#readMonotonicMs = readMonotonicMs
    this.#readWallMs = readWallMs
    this.#readUptimeMs = readUptimeMs
    this.#checkedAtMs = readMonotonicMs()
    this.#uptimeOffsetMs = this.#readUptimeOffset()
    this.#lastWallOffsetMs = readWallMs() - readMonotonicMs()
  }

  override readNow (): number {
    const monotonicMs = this.#readMonotonicMs()
    const wallOffsetMs = this.#readWallMs() - monotonicMs
    const wallDriftMs = wallOffsetMs - this.#lastWallOffsetMs
    if (Math.abs(wallDriftMs) > SUSPENSION_CHECK_DRIFT_MS) {
      this.#lastWallOffsetMs = wallOffsetMs
      this.#advance(this.#isUptimeForeign ? wallDriftMs : this.#measureUptimeDrift(monotonicMs), { wallDriftMs, monotonicMs })
    } else if (!this.#isUptimeForeign && monotonicMs - this.#checkedAtMs >= UPTIME_CHECK_INTERVAL_MS) this.#checkUptime(monotonicMs)
    return monotonicMs + this.#suspendedMs
  }

  /** Measures by how much the uptime has advanced further than the monotonic clock since the check before. */
  #measureUptimeDrift (monotonicMs: number): number {
    const offsetMs = this.#readUptimeOffset()
    const driftMs = offsetMs - this.#uptimeOffsetMs
    this.#uptimeOffsetMs = offsetMs
    this.#checkedAtMs = monotonicMs
    return driftMs
  }

  #readUptimeOffset (): number {
    for (let reads = 1; ; reads++) {
      const beforeMs = this.#readMonotonicMs()
      const uptimeMs = this.#readUptimeMs()
      if (reads === MAX_READS || this.#readMonotonicMs() - beforeMs <= MAX_READ_MS) return uptimeMs - beforeMs
    }
  }

  #checkUptime (monotonicMs: number): void {
    const driftMs = this.#measureUptimeDrift(monotonicMs)
    if (Math.abs(driftMs) <= MAX_UPTIME_DRIFT_MS) return
    this.#isUptimeForeign = true
    this.#recordForeignUptime(driftMs)
  }

  #advance (suspendedMs: number, { wallDriftMs, monotonicMs }: Omit<Suspension, 'suspendedMs'>): void {
    if (suspendedMs <= 0) return
    this.#suspendedMs += suspendedMs
    if (suspendedMs >= SUSPENSION_CHECK_DRIFT_MS) this.#recordSuspension({ suspendedMs, wallDriftMs, monotonicMs })
  }
}
