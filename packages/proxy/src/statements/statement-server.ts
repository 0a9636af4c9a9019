import type { AnswerFrame, Logger, PeerNetwork, StatementMessage, StatementRequest } from '@camphorpitch/wire'
import type { FindService } from './database-service.ts'
import { FRAME_WINDOW } from './frame-channel.ts'

export const STATEMENTS_SLICE = 'statements'

export interface StatementServerOptions {
  peers: PeerNetwork
  logger: Logger
  findService: FindService
}

interface ServedStream {
  vm: string
  frames: AsyncGenerator<AnswerFrame, void, void>
  credit: number
  cancelled: boolean
  wake: (() => void) | undefined
}

/** Runs statements that other VMs forward to this one. */
export class StatementServer {
  readonly #options: StatementServerOptions
  readonly #streams = new Map<string, ServedStream>()

  constructor (options: StatementServerOptions) {
    this.#options = options
    options.peers.subscribeLoss(vm => this.#cancelStreamsOf(vm))
  }

  handleMessage (vm: string, message: Exclude<StatementMessage, { type: 'frame' }>): void {
    switch (message.type) {
      case 'run': return this.#startStream(vm, message.stream, message.request)
      case 'credit': return this.#addCredit(vm, message.stream, message.frames)
      case 'cancel': return this.#cancelStream(`${vm}/${message.stream}`)
      case 'abandon': return this.#options.findService(message.database, message.transactionId)?.abandon(message.transactionId)
    }
  }

  countStreams (): number {
    return this.#streams.size
  }

  #startStream (vm: string, stream: number, request: StatementRequest): void {
    const service = this.#options.findService(request.database, request.transactionId)
    if (service === undefined) {
      this.#sendFrame(vm, stream, { kind: 'notServing' }, true)
      return
    }
    const served: ServedStream = { vm, frames: service.run(request), credit: FRAME_WINDOW, cancelled: false, wake: undefined }
    const key = `${vm}/${stream}`
    this.#streams.set(key, served)
    this.#sendFrames(vm, stream, served)
      .catch(error => this.#handleFailure(vm, stream, error))
      .finally(() => this.#streams.delete(key))
  }

  async #sendFrames (vm: string, stream: number, served: ServedStream): Promise<void> {
    for await (const frame of served.frames) {
      await this.#waitForCredit(served)
      if (served.cancelled) return
      served.credit -= 1
      this.#sendFrame(vm, stream, frame, false)
    }
    if (!served.cancelled) this.#sendFrame(vm, stream, null, true)
  }

  async #waitForCredit (served: ServedStream): Promise<void> {
    while (served.credit <= 0 && !served.cancelled) {
      await new Promise<void>(resolve => { served.wake = resolve })
    }
  }

  #addCredit (vm: string, stream: number, frames: number): void {
    const served = this.#streams.get(`${vm}/${stream}`)
    if (served === undefined) return
    served.credit += frames
    served.wake?.()
  }

  #cancelStreamsOf (vm: string): void {
    for (const [key, served] of this.#streams) {
      if (served.vm === vm) this.#cancelStream(key)
    }
  }

  #cancelStream (key: string): void {
    const served = this.#streams.get(key)
    if (served === undefined) return
    served.cancelled = true
    served.wake?.()
    served.frames.return().catch(() => {})
  }

  #handleFailure (vm: string, stream: number, error: unknown): void {
    this.#options.logger.error('forwarded statement failed', { vm, error: error instanceof Error ? error.stack : String(error) })
    this.#sendFrame(vm, stream, { kind: 'refused', refusal: { kind: 'outcomeUnknown', reason: 'the serving VM failed' } }, true)
  }

  #sendFrame (vm: string, stream: number, frame: AnswerFrame | null, last: boolean): void {
    const message: StatementMessage = { type: 'frame', stream, frame, last }
    this.#options.peers.send(vm, STATEMENTS_SLICE, message)
  }
}
