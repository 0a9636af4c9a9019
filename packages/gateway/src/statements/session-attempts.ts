/**
 * The attempts of a session's statements that may still run at an endpoint, although the statement may have been answered by another one.
 *
 * @example
 * attempts.add(response)
 * await attempts.waitForEnd()
 */
export class SessionAttempts {
  readonly #running = new Set<Promise<unknown>>()

  get count (): number {
    return this.#running.size
  }

  /** Adds an attempt, which ends when the promise settles. */
  add (attempt: Promise<unknown>): void {
    const removeAttempt = (): void => { this.#running.delete(attempt) }
    this.#running.add(attempt)
    attempt.then(removeAttempt, removeAttempt)
  }

  /** Waits until all attempts have ended, each at its statement's timeout at the latest. */
  async waitForEnd (): Promise<void> {
    while (this.#running.size > 0) await Promise.allSettled(this.#running)
  }
}
