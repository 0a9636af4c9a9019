import type { ResponseFrame, Logger, PeerNetwork, StatementMessage, StatementRequest } from '@camphorpitch/wire'
import type { FindService } from './database-service.ts'
import { INITIAL_CREDIT_FRAMES } from './frame-channel.ts'

export const STATEMENTS_SLICE = 'statements'

export interface StatementServerOptions {
  peers: PeerNetwork
  logger: Logger
  findService: FindService
}

/** A forwarded statement in flight on this VM. */
interface ServedStream {
  /** The VM that forwarded the statement. */
  vm: string
  frames: AsyncGenerator<ResponseFrame, void, void>
  /** Frames that may be sent before the receiver grants more. */
  credit: number
  isCancelled: boolean
  /** Resumes the sender that waits for credit; `undefined` if it has never waited. */
  wakeSender: (() => void) | undefined
}

/** Runs statements that other VMs forward to this VM, and sends them the responses. */
export class StatementServer {
  readonly #options: StatementServerOptions
  readonly #streams = new Map<string, ServedStream>()

  constructor (options: StatementServerOptions) {
    this.#options = options
    options.peers.subscribeLinkLoss(vm => this.#cancelStreamsFrom(vm))
  }

  handleMessage (vm: string, message: Exclude<StatementMessage, { type: 'frame' }>): void {
    switch (message.type) {
      case 'run': return this.#startStream(vm, message.stream, message.request)
      case 'credit': return this.#addCredit(vm, message.stream, message.frames)
      case 'cancel': return this.#cancelStream(`${vm}/${message.stream}`)
      case 'abandon': return this.#options.findService(message.database, message.transactionId)?.abandon(message.transactionId)
    }
  }

  /** Counts the forwarded statements in flight on this VM. */
  countStreams (): number {
    return this.#streams.size
  }

  #startStream (vm: string, stream: number, request: StatementRequest): void {
    const service = this.#options.findService(request.database, request.transactionId)
    if (service === undefined) {
      this.#sendFrame(vm, stream, { kind: 'notServing' }, true)
      return
    }
    const served: ServedStream = { vm, frames: service.run(request), credit: INITIAL_CREDIT_FRAMES, isCancelled: false, wakeSender: undefined }
    const key = `${vm}/${stream}`
    this.#streams.set(key, served)
    this.#sendFrames(vm, stream, served)
      .catch(error => this.#handleStreamFailure(vm, stream, error))
      .finally(() => this.#streams.delete(key))
  }

  async #sendFrames (vm: string, stream: number, served: ServedStream): Promise<void> {
    for await (const frame of served.frames) {
      await this.#waitForCredit(served)
      if (served.isCancelled) return
      served.credit -= 1
      this.#sendFrame(vm, stream, frame, false)
    }
    if (!served.isCancelled) this.#sendFrame(vm, stream, null, true)
  }

  async #waitForCredit (served: ServedStream): Promise<void> {
    while (served.credit <= 0 && !served.isCancelled) {
      await new Promise<void>(resolve => { served.wakeSender = resolve })
    }
  }

  #addCredit (vm: string, stream: number, frames: number): void {
    const served = this.#streams.get(`${vm}/${stream}`)
    if (served === undefined) return
    served.credit += frames
    served.wakeSender?.()
  }

  #cancelStreamsFrom (vm: string): void {
    for (const [key, served] of this.#streams) {
      if (served.vm === vm) this.#cancelStream(key)
    }
  }

  #cancelStream (key: string): void {
    const served = this.#streams.get(key)
    if (served === undefined) return
    served.isCancelled = true
    served.wakeSender?.()
    served.frames.return().catch(() => {})
  }

  #handleStreamFailure (vm: string, stream: number, error: unknown): void {
    this.#options.logger.error('forwarded statement failed', { vm, error: error instanceof Error ? error.stack : String(error) })
    this.#sendFrame(vm, stream, { kind: 'refused', refusal: { kind: 'outcomeUnknown', reason: 'the serving VM failed' } }, true)
  }

  #sendFrame (vm: string, stream: number, frame: ResponseFrame | null, last: boolean): void {
    const message: StatementMessage = { type: 'frame', stream, frame, last }
    this.#options.peers.send(vm, STATEMENTS_SLICE, message)
  }
}
