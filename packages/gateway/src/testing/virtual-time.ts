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
  /** Timers of processes, which may stand still. */
  readonly #timers = new Map<number, PendingTimer>()
  /** Timers that belong to no process, in their order, with those among them that were cleared. */
  readonly #ownerless = new TimerHeap()
  readonly #pendingOwnerless = new Map<number, PendingTimer>()
  readonly #originals = { setTimeout: globalThis.setTimeout, clearTimeout: globalThis.clearTimeout, setInterval: globalThis.setInterval, clearInterval: globalThis.clearInterval, now: Date.now }

  override readNow (): number { return this.#nowMs }

  start (): void {
    const startMs = this.#originals.now()
    Date.now = () => startMs + this.#nowMs
    globalThis.setTimeout = ((run: () => void, ms = 0) => this.#addTimer(++this.#lastId, run, ms)) as unknown as typeof setTimeout
    globalThis.setInterval = ((run: () => void, ms: number) => this.#addInterval(++this.#lastId, run, ms)) as unknown as typeof setInterval
    const removeTimer = (timer: { id: number } | undefined): void => { if (timer !== undefined) this.#removeTimer(timer.id) }
    globalThis.clearTimeout = removeTimer as unknown as typeof clearTimeout
    globalThis.clearInterval = removeTimer as unknown as typeof clearInterval
  }

  stop (): void {
    globalThis.setTimeout = this.#originals.setTimeout
    globalThis.clearTimeout = this.#originals.clearTimeout
    globalThis.setInterval = this.#originals.setInterval
    globalThis.clearInterval = this.#originals.clearInterval
    Date.now = this.#originals.now
    // A storage that was used slows down every promise of the Node.js process down to a sixth until it is disabled.
    this.#process.disable()
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
      this.#removeTimer(next.id)
      this.#nowMs = Math.max(this.#nowMs, computeDueMs(next))
      if (next.process === undefined) next.run()
      else this.runAs(next.process, next.run)
    }
    this.#nowMs = endMs
  }

  #findNext (endMs: number): PendingTimer | undefined {
    while (this.#ownerless.first !== undefined && this.#pendingOwnerless.get(this.#ownerless.first.id) !== this.#ownerless.first) this.#ownerless.removeFirst()
    let next = this.#ownerless.first
    if (next !== undefined && next.atMs > endMs) next = undefined
    for (const timer of this.#timers.values()) if (computeDueMs(timer) <= endMs && (next === undefined || compareTimers(timer, next) < 0)) next = timer
    return next
  }

  #addTimer (id: number, run: () => void, ms: number): object {
    const process = this.currentProcess
    const timer = { atMs: this.#nowMs + ms, id, process, run }
    if (process !== undefined) this.#timers.set(id, timer)
    else {
      this.#ownerless.insert(timer)
      this.#pendingOwnerless.set(id, timer)
    }
    return { id, unref: () => {}, ref: () => {} }
  }

  #removeTimer (id: number): void {
    this.#timers.delete(id)
    this.#pendingOwnerless.delete(id)
  }

  #addInterval (id: number, run: () => void, ms: number): object {
    return this.#addTimer(id, () => {
      this.#addInterval(id, run, ms)
      run()
    }, ms)
  }
}

/** A binary heap of timers, the next one first. */
class TimerHeap {
  readonly #timers: PendingTimer[] = []

  get first (): PendingTimer | undefined {
    return this.#timers[0]
  }

  insert (timer: PendingTimer): void {
    const timers = this.#timers
    let index = timers.push(timer) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (compareTimers(timers[parent]!, timer) <= 0) break
      timers[index] = timers[parent]!
      index = parent
    }
    timers[index] = timer
  }

  removeFirst (): void {
    const timers = this.#timers
    const last = timers.pop()
    if (last === undefined || timers.length === 0) return
    let index = 0
    for (;;) {
      let child = 2 * index + 1
      if (child >= timers.length) break
      if (child + 1 < timers.length && compareTimers(timers[child + 1]!, timers[child]!) < 0) child++
      if (compareTimers(last, timers[child]!) <= 0) break
      timers[index] = timers[child]!
      index = child
    }
    timers[index] = last
  }
}

function computeDueMs ({ atMs, process }: PendingTimer): number {
  return Math.max(atMs, process?.frozenUntilMs ?? -Infinity)
}

function compareTimers (a: PendingTimer, b: PendingTimer): number {
  return computeDueMs(a) - computeDueMs(b) || a.atMs - b.atMs || a.id - b.id
}
