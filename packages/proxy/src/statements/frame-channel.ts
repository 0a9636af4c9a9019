import type { ResponseFrame } from '@camphorpitch/wire'

/** Frames that the sender may send before the receiver grants more credit. */
export const INITIAL_CREDIT_FRAMES = 16
/** The receiver grants credit each time it has consumed this many frames. */
const CREDIT_GRANT_FRAMES = 8

/** The receiving end of one response from another VM, with credit-based flow control. */
export class FrameChannel {
  readonly #frames: ResponseFrame[] = []
  readonly #grantCredit: (frames: number) => void
  #consumedSinceGrant = 0
  #hasEnded = false
  #error: Error | undefined
  #wakeReader: (() => void) | undefined

  /** @param grantCredit sends the number of further frames that the sender may send */
  constructor (grantCredit: (frames: number) => void) {
    this.#grantCredit = grantCredit
  }

  /** Adds a received frame. The last message of a response may carry none (`null`); later ones are ignored. */
  addFrame (frame: ResponseFrame | null, isLast: boolean): void {
    if (this.#hasEnded) return
    if (frame !== null) this.#frames.push(frame)
    this.#hasEnded = isLast
    this.#wakeReader?.()
  }

  /** Ends the channel. Frames that were already received are still delivered before `error` is thrown to the reader. */
  closeWithError (error: Error): void {
    if (this.#hasEnded) return
    this.#hasEnded = true
    this.#error = error
    this.#wakeReader?.()
  }

  /**
   * Yields the frames in order until the last one.
   *
   * @throws the error given to `closeWithError`
   */
  async * readFrames (): AsyncGenerator<ResponseFrame, void, void> {
    while (true) {
      const frame = this.#frames.shift()
      if (frame !== undefined) {
        yield frame
        this.#recordConsumed()
        continue
      }
      if (this.#error !== undefined) throw this.#error
      if (this.#hasEnded) return
      await new Promise<void>(resolve => { this.#wakeReader = resolve })
    }
  }

  #recordConsumed (): void {
    this.#consumedSinceGrant += 1
    if (this.#consumedSinceGrant < CREDIT_GRANT_FRAMES || this.#hasEnded) return
    this.#grantCredit(this.#consumedSinceGrant)
    this.#consumedSinceGrant = 0
  }
}
