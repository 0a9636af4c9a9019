import { EpochChangedError } from './errors.ts'
import type { Revision } from './revision.ts'

/** The store has returned from an older copy. */
export interface EpochChange {
  previousEpoch: number
  epoch: number
  /** Latest revision number known of the previous epoch. */
  previousNumber: number
  /** Revision number in the first answer of the new epoch; `undefined` if that had none. */
  number: number | undefined
}

/** Knows the store's latest epoch from its answers. */
export class EpochTracker {
  /** Latest revision in any answer; its number is 0 while none is known. */
  #latest: Revision | undefined
  readonly #listeners = new Set<(change: EpochChange) => void>()

  /** The latest epoch; `undefined` before the first answer. */
  get latest (): number | undefined {
    return this.#latest?.epoch
  }

  /** The latest epoch; 0 before the first answer. */
  get current (): number {
    return this.#latest?.epoch ?? 0
  }

  /** Adds a listener that is called for each change of the epoch, before the answer that told it is used. @returns a function that removes it */
  subscribe (listener: (change: EpochChange) => void): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  /**
   * Applies the epoch of an answer, before the answer is used.
   *
   * @param number the store's revision number, if the answer has one
   * @throws EpochChangedError if a later epoch is known; the answer must not be used
   */
  accept (epoch: number, number?: number): void {
    const previous = this.#latest
    if (previous === undefined || epoch === previous.epoch) {
      this.#latest = { epoch, number: Math.max(previous?.number ?? 0, number ?? 0) }
      return
    }
    if (epoch < previous.epoch) throw new EpochChangedError(`the answer is of epoch ${epoch} of the metadata store, which is now in epoch ${previous.epoch}`)
    this.#latest = { epoch, number: number ?? 0 }
    for (const listener of [...this.#listeners]) listener({ previousEpoch: previous.epoch, epoch, previousNumber: previous.number, number })
  }
}
