import { AsyncLocalStorage } from 'node:async_hooks'
import { Clock } from '@camphorpitch/wire'

/** A simulated process, which may stand still for a time: its timers and the answers to it then come late. */
export interface SimulatedProcess { name: string, frozenUntilMs: number }

interface PendingTimer { atMs: number, id: number, process: SimulatedProcess | undefined, run: () => void }

/**
 * Replaces `setTimeout`, `setInterval`, their `clear` functions and `Date.now` while it is started, so that a test runs minutes of timers at
 * once and in a fixed order.
 */
export class VirtualTime extends Clock {
  readonly #process = new AsyncLocalStorage<SimulatedProcess | undefined>()
  #nowMs = 0
  #lastId = 0
  readonly #timers = new Map<number, PendingTimer>()
  readonly #originals = { setTimeout: globalThis.setTimeout, clearTimeout: globalThis.clearTimeout, setInterval: globalThis.setInterval, clearInterval: globalThis.clearInterval, now: Date.now }

  override readNow (): number { return this.#nowMs }

  start (): void {
    const startMs = this.#originals.now()
    Date.now = () => startMs + this.#nowMs
    globalThis.setTimeout = ((run: () => void, ms = 0) => this.#addTimer(++this.#lastId, run, ms)) as unknown as typeof setTimeout
    globalThis.setInterval = ((run: () => void, ms: number) => this.#addInterval(++this.#lastId, run, ms)) as unknown as typeof setInterval
    const removeTimer = (timer: { id: number } | undefined): void => { if (timer !== undefined) this.#timers.delete(timer.id) }
    globalThis.clearTimeout = removeTimer as unknown as typeof clearTimeout
    globalThis.clearInterval = removeTimer as unknown as typeof clearInterval
  }

  stop (): void {
    globalThis.setTimeout = this.#originals.setTimeout
    globalThis.clearTimeout = this.#originals.clearTimeout
    globalThis.setInterval = this.#originals.setInterval
    globalThis.clearInterval = this.#originals.clearInterval
    Date.now = this.#originals.now
  }

  /** Runs a function as part of a process, which owns the timers that it starts; as part of none if `process` is `undefined`. */
  runAs<T> (process: SimulatedProcess | undefined, run: () => T): T {
    return this.#process.run(process, run)
  }

  /** The process whose code is running. */
  get currentProcess (): SimulatedProcess | undefined {
    return this.#process.getStore()
  }

  /** Waits outside of all processes, for what happens on the network and beyond it. */
  async waitOutside (ms: number): Promise<void> {
    await new Promise<void>(resolve => this.currentProcess === undefined ? setTimeout(resolve, ms) : this.runAs(undefined, () => setTimeout(resolve, ms)))
  }

  /** Waits until a process that stands still goes on. Timers that became due before then run first. */
  async waitWhileFrozen (process: SimulatedProcess): Promise<void> {
    while (process.frozenUntilMs > this.#nowMs) await this.waitOutside(process.frozenUntilMs - this.#nowMs)
  }

  /** Advances the time and runs the timers that are due, each after the promises that the one before it has settled. */
  async advance (ms: number): Promise<void> {
    const endMs = this.#nowMs + ms
    for (;;) {
      await new Promise(resolve => setImmediate(resolve))
      const next = this.#findNext(endMs)
      if (next === undefined) break
      this.#timers.delete(next.id)
      this.#nowMs = Math.max(this.#nowMs, computeDueMs(next))
      if (next.process === undefined) next.run()
      else this.runAs(next.process, next.run)
    }
    this.#nowMs = endMs
  }

  #findNext (endMs: number): PendingTimer | undefined {
    let next: PendingTimer | undefined
    for (const timer of this.#timers.values()) if (computeDueMs(timer) <= endMs && (next === undefined || compareTimers(timer, next) < 0)) next = timer
    return next
  }

  #addTimer (id: number, run: () => void, ms: number): object {
    this.#timers.set(id, { atMs: this.#nowMs + ms, id, process: this.currentProcess, run })
    return { id, unref: () => {}, ref: () => {} }
  }

  #addInterval (id: number, run: () => void, ms: number): object {
    return this.#addTimer(id, () => {
      this.#addInterval(id, run, ms)
      run()
    }, ms)
  }
}

function computeDueMs ({ atMs, process }: PendingTimer): number {
  return Math.max(atMs, process?.frozenUntilMs ?? -Infinity)
}

function compareTimers (a: PendingTimer, b: PendingTimer): number {
  return computeDueMs(a) - computeDueMs(b) || a.atMs - b.atMs || a.id - b.id
}
