import type { StoredObject } from '@camphorpitch/wire'
import { formatKey } from './object-set.ts'
import { configurationKinds } from './object-values.ts'
import type { ConfigurationEffect, ConfigurationMessage } from './state.ts'

/** Timeout of a call, in milliseconds, in addition to the wait time of a watch. */
const CALL_TIMEOUT_MS = 5_000
/** Simulated delay of a request and of a response. */
const RESPONSE_DELAY_MS = 2

type Schedule = (delayMs: number, run: () => void) => void
type Call = Extract<ConfigurationEffect, { type: 'list' | 'watch' }>
type Respond = (message: ConfigurationMessage) => void

interface Waiter {
  run: () => void
}

/** Simulates the object service on a virtual clock: writes, listings, and watches over a history of bounded length. */
export class FakeObjectService {
  isDown = false
  slowMs = 0
  calls = 0
  revision = 0
  readonly objects = new Map<string, StoredObject>()
  /** Every accepted change with its time, in order of revision. */
  readonly accepted: Array<{ atMs: number, object: StoredObject }> = []
  readonly #historyLength: number
  readonly #schedule: Schedule
  readonly #waiters = new Set<Waiter>()

  constructor (historyLength: number, schedule: Schedule) {
    this.#historyLength = historyLength
    this.#schedule = schedule
  }

  /**
   * Stores a value; `null` deletes the object.
   *
   * @returns false if the write was refused because of an outage
   */
  writeObject (kind: string, name: string, value: unknown, nowMs: number): boolean {
    if (this.isDown) return false
    this.revision += 1
    const version = (this.objects.get(`${kind}/${name}`)?.version ?? 0) + 1
    const object = { kind, name, version, revision: this.revision, value }
    this.objects.set(formatKey(object), object)
    this.accepted.push({ atMs: nowMs, object })
    for (const w of [...this.#waiters]) this.#finishWait(w)
    return true
  }

  /** Simulates a call; `isCut` makes it time out, as the calling VM cannot reach the service. */
  request (call: Call, sentAtMs: number, isCut: boolean, respond: Respond): void {
    this.calls += call.type === 'list' ? configurationKinds.length : 1
    let isSettled = false
    const settle: Respond = message => {
      if (isSettled) return
      isSettled = true
      respond(message)
    }
    const waitMs = call.type === 'watch' ? call.waitMs : 0
    this.#schedule(CALL_TIMEOUT_MS + waitMs, () => settle({ type: 'serviceFailed', sentAtMs, isExpired: false }))
    if (isCut) return
    this.#schedule(RESPONSE_DELAY_MS + this.slowMs, () => {
      if (this.isDown) return settle({ type: 'serviceFailed', sentAtMs, isExpired: false })
      if (call.type === 'list') this.#respondToList(sentAtMs, settle)
      else this.#respondToWatch(call, sentAtMs, settle)
    })
  }

  #respondToList (sentAtMs: number, settle: Respond): void {
    const existing = [...this.objects.values()].filter(o => o.value !== null)
    const listings = configurationKinds.map(kind => ({ kind, revision: this.revision, objects: existing.filter(o => o.kind === kind) }))
    this.#schedule(RESPONSE_DELAY_MS, () => settle({ type: 'listed', sentAtMs, listings }))
  }

  #respondToWatch (call: Extract<Call, { type: 'watch' }>, sentAtMs: number, settle: Respond): void {
    const { since, waitMs } = call
    if (since < this.revision - this.#historyLength) return settle({ type: 'serviceFailed', sentAtMs, isExpired: true })
    const finish = () => {
      if (this.isDown) return settle({ type: 'serviceFailed', sentAtMs, isExpired: false })
      const changes = [...this.objects.values()].filter(o => o.revision > since)
      const result = { revision: this.revision, changes }
      this.#schedule(RESPONSE_DELAY_MS, () => settle({ type: 'watched', sentAtMs, since, result }))
    }
    if (this.revision > since) return finish()
    const waiter = { run: finish }
    this.#waiters.add(waiter)
    this.#schedule(waitMs, () => this.#finishWait(waiter))
  }

  #finishWait (waiter: Waiter): void {
    if (this.#waiters.delete(waiter)) waiter.run()
  }
}
