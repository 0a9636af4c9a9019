import type { AnswerFrame } from '@camphorpitch/wire'

/** Frames that may be under way before the receiver has consumed some. */
export const INITIAL_CREDIT_FRAMES = 16
/** Consumed frames after which the receiver grants more. */
const CREDIT_GRANT_FRAMES = 8

/** Receiving end of one answer from another VM, with credit-based flow control. */
export class FrameChannel {
  readonly #frames: AnswerFrame[] = []
  readonly #grantCredit: (frames: number) => void
  #consumedSinceGrant = 0
  #hasEnded = false
  #error: Error | undefined
  #wakeReader: (() => void) | undefined

  constructor (grantCredit: (frames: number) => void) {
    this.#grantCredit = grantCredit
  }

  addFrame (frame: AnswerFrame | null, isLast: boolean): void {
    if (this.#hasEnded) return
    if (frame !== null) this.#frames.push(frame)
    this.#hasEnded = isLast
    this.#wakeReader?.()
  }

  /** Ends the channel; frames already received are still delivered before `error` is thrown. */
  closeWithError (error: Error): void {
    if (this.#hasEnded) return
    this.#hasEnded = true
    this.#error = error
    this.#wakeReader?.()
  }

  /** @throws the error given to `closeWithError` */
  async * readFrames (): AsyncGenerator<AnswerFrame, void, void> {
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
