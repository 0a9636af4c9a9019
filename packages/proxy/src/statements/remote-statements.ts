import { type AnswerFrame, type LinkLoss, type PeerNetwork, type StatementMessage, statementMessageSchema, type StatementRequest } from '@camphorpitch/wire'
import { StreamLostError, StreamNotStartedError } from './errors.ts'
import { FrameChannel } from './frame-channel.ts'
import { STATEMENTS_SLICE } from './statement-server.ts'

interface RemoteStream {
  vm: string
  channel: FrameChannel
}

/** Runs statements on other VMs and receives their answers. */
export class RemoteStatements {
  readonly #peers: PeerNetwork
  readonly #streams = new Map<number, RemoteStream>()
  #nextStream = 1

  constructor (peers: PeerNetwork) {
    this.#peers = peers
    peers.subscribeLoss((vm, loss) => this.#handleLinkLoss(vm, loss))
  }

  /**
   * @throws StreamLostError when the link is lost before the answer is whole
   * @throws StreamNotStartedError when there is no link, so that the statement has not run
   */
  async * run (vm: string, request: StatementRequest): AsyncGenerator<AnswerFrame, void, void> {
    const stream = this.#nextStream++
    const channel = new FrameChannel(frames => this.#send(vm, { type: 'credit', stream, frames }))
    this.#streams.set(stream, { vm, channel })
    this.#send(vm, { type: 'run', stream, request })
    let isComplete = false
    try {
      yield * channel.readFrames()
      isComplete = true
    } finally {
      this.#streams.delete(stream)
      if (!isComplete) this.#send(vm, { type: 'cancel', stream })
    }
  }

  abandon (vm: string, database: string, transactionId: string): void {
    this.#send(vm, { type: 'abandon', database, transactionId })
  }

  /** Takes a `frame` message; one for an unknown stream is answered by `cancel`. */
  handleFrame (vm: string, message: StatementMessage & { type: 'frame' }): void {
    const stream = this.#streams.get(message.stream)
    if (stream === undefined || stream.vm !== vm) {
      if (!message.last) this.#send(vm, { type: 'cancel', stream: message.stream })
      return
    }
    stream.channel.addFrame(message.frame, message.last)
  }

  countStreams (): number {
    return this.#streams.size
  }

  #handleLinkLoss (vm: string, loss: LinkLoss): void {
    for (const [id, stream] of this.#streams) {
      if (stream.vm !== vm) continue
      this.#streams.delete(id)
      stream.channel.closeWithError(loss === 'closed' ? new StreamLostError(`the link to ${vm} was lost`) : new StreamNotStartedError(`${vm} cannot be reached`))
    }
  }

  #send (vm: string, message: StatementMessage): void {
    this.#peers.send(vm, STATEMENTS_SLICE, message)
  }
}

/** `undefined` for a malformed message. */
export function parseStatementMessage (body: unknown): StatementMessage | undefined {
  const result = statementMessageSchema.safeParse(body)
  return result.success ? result.data : undefined
}
