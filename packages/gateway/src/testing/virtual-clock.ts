import { Clock } from '@camphorpitch/wire'

/** A clock that stands still until a test moves it. */
export class VirtualClock extends Clock {
  nowMs = 0
  override readNow (): number { return this.nowMs }
}
