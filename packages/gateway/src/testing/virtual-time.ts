import { Clock } from '@camphorpitch/wire'

interface PendingTimer { atMs: number, id: number, run: () => void }

/** Replaces `setTimeout`, `clearTimeout` and `Date.now` while it is started, so that a test runs minutes of timers at once and in a fixed order. */
export class VirtualTime extends Clock {
  #nowMs = 0
  #lastId = 0
  readonly #timers = new Map<number, PendingTimer>()
  readonly #originals = { setTimeout: globalThis.setTimeout, clearTimeout: globalThis.clearTimeout, now: Date.now }

  override readNow (): number { return this.#nowMs }

  start (): void {
    const startMs = this.#originals.now()
    Date.now = () => startMs + this.#nowMs
    globalThis.setTimeout = ((run: () => void, ms = 0) => {
      const id = ++this.#lastId
      this.#timers.set(id, { atMs: this.#nowMs + ms, id, run })
      return { id, unref: () => {}, ref: () => {} }
    }) as unknown as typeof setTimeout
    globalThis.clearTimeout = ((timer: { id: number } | undefined) => { if (timer !== undefined) this.#timers.delete(timer.id) }) as unknown as typeof clearTimeout
  }

  stop (): void {
    globalThis.setTimeout = this.#originals.setTimeout
    globalThis.clearTimeout = this.#originals.clearTimeout
    Date.now = this.#originals.now
  }

  /** Advances the time and runs the timers that are due, each after the promises that the one before it has settled. */
  async advance (ms: number): Promise<void> {
    const endMs = this.#nowMs + ms
    for (;;) {
      await new Promise(resolve => setImmediate(resolve))
      const next = [...this.#timers.values()].filter(t => t.atMs <= endMs).sort((a, b) => a.atMs - b.atMs || a.id - b.id)[0]
      if (next === undefined) break
      this.#timers.delete(next.id)
      this.#nowMs = Math.max(this.#nowMs, next.atMs)
      next.run()
    }
    this.#nowMs = endMs
  }
}
