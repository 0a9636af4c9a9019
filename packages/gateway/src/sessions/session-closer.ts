import type { Clock } from '@camphorpitch/wire'
import type { ResponseError } from '../backend/statement.ts'
import type { ClientTransport } from '../clients/client-listener.ts'

export interface SessionCloserOptions {
  transport: ClientTransport
  clock: Clock
}

/**
 * Closes a session's connection without cutting a statement that is on its way.
 *
 * An idle client is told that its session ends, and closes the connection itself. The notice is the error in response to
 * a statement that crosses it, which is not run. A connection that the client leaves open is closed after a time, and
 * destroyed after a further one.
 */
export class SessionCloser {
  readonly #options: SessionCloserOptions
  #state: 'open' | 'told' | 'closing' | 'closed' = 'open'
  #closedAtMs = 0
  #timer: NodeJS.Timeout | undefined

  constructor (options: SessionCloserOptions) {
    this.#options = options
  }

  /** Whether responses can still be sent. */
  get isOpen (): boolean {
    return this.#state === 'open' || this.#state === 'told'
  }

  /** Whether the client was told and no statement has taken the notice as its response. */
  get isTold (): boolean {
    return this.#state === 'told'
  }

  /** Time since the connection was closed from this side, in milliseconds. */
  get sinceCloseMs (): number {
    return Math.round(this.#options.clock.readNow() - this.#closedAtMs)
  }

  /** Tells the client that the session ends. `computeTimeoutMs` returns how long to wait for the client to close, and then for its connection to end. */
  tell (error: ResponseError, computeTimeoutMs: () => number): void {
    if (this.#state !== 'open') return
    this.#state = 'told'
    this.#timer ??= setTimeout(() => this.#handleTimeout(computeTimeoutMs), computeTimeoutMs())
    this.#options.transport.sendEndNotice(error)
  }

  /** Responds to a statement that has crossed the notice, and tells the client again with `error`. */
  respondToCrossing (error: ResponseError): void {
    const { transport } = this.#options
    transport.sendNoticeCompletion()
    transport.sendEndNotice(error)
  }

  /** Closes the connection after the responses that have been sent; destroys it if it has not ended after `timeoutMs`. */
  close (timeoutMs: number): void {
    if (!this.isOpen) return
    this.#state = 'closing'
    this.#closedAtMs = this.#options.clock.readNow()
    this.#options.transport.close()
    clearTimeout(this.#timer)
    this.#timer = setTimeout(() => this.destroy(), timeoutMs)
  }

  destroy (): void {
    this.#options.transport.destroy()
  }

  handleClosed (): void {
    this.#state = 'closed'
    clearTimeout(this.#timer)
  }

  /** Closes the connection once the data that arrived while the event loop was busy has been read. */
  #handleTimeout (computeTimeoutMs: () => number): void {
    setImmediate(() => {
      if (this.#state !== 'told') return
      const { incompleteBytes, sinceLastByteMs } = this.#options.transport.readInputState()
      const timeoutMs = computeTimeoutMs()
      if (incompleteBytes > 0 && sinceLastByteMs !== null && sinceLastByteMs < timeoutMs) {
        this.#timer = setTimeout(() => this.#handleTimeout(computeTimeoutMs), timeoutMs)
        return
      }
      this.close(timeoutMs)
    })
  }
}
