import { Clock } from '@camphorpitch/wire'

/** A clock that advances only when a test sets `nowMs`. */
export class VirtualClock extends Clock {
  nowMs = 0
  override readNow (): number { return this.nowMs }
}
