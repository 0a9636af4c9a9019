/**
 * Tells what waits on behalf of a statement that the statement has ended otherwise.
 *
 * @example const unsubscribe = withdrawal.subscribe(() => cancelWait())
 */
export class Withdrawal {
  readonly #listeners = new Set<() => void>()
  #isWithdrawn = false

  get isWithdrawn (): boolean {
    return this.#isWithdrawn
  }

  /** Calls the listener on the withdrawal, at once if it has happened. @returns what ends the subscription */
  subscribe (listener: () => void): () => void {
    if (this.#isWithdrawn) listener()
    else this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  withdraw (): void {
    this.#isWithdrawn = true
    for (const listener of this.#listeners) listener()
    this.#listeners.clear()
  }
}
