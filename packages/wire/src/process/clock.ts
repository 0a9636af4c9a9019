import { performance } from 'node:perf_hooks'

/** Source of monotonic time. Decision functions are passed the time; they never read a clock. */
export abstract class Clock {
  /** Returns the milliseconds since an arbitrary origin; the value never decreases. */
  abstract readNow (): number
}

export class MonotonicClock extends Clock {
  override readNow (): number {
    return performance.now()
  }
}
