import { type ResponseFrame, type LinkLoss, type PeerNetwork, type StatementMessage, statementMessageSchema, type StatementRequest } from '@camphorpitch/wire'
import { StreamLostError, StreamNotStartedError } from './errors.ts'
import { FrameChannel } from './frame-channel.ts'
import { STATEMENTS_SLICE } from './statement-server.ts'

interface RemoteStream {
  vm: string
  channel: FrameChannel
}

/** Runs statements on other VMs and receives the responses. */
export class RemoteStatements {
  readonly #peers: PeerNetwork
  readonly #streams = new Map<number, RemoteStream>()
  #nextStream = 1

  constructor (peers: PeerNetwork) {
    this.#peers = peers
    peers.subscribeLinkLoss((vm, loss) => this.#handleLinkLoss(vm, loss))
  }

  /**
   * Runs a statement on `vm` and yields the frames of its response. Returning the generator early cancels the statement.
   *
   * @throws StreamLostError if the link is lost before the response is complete; the statement may have run
   * @throws StreamNotStartedError if the VM is unreachable, so that the statement has not run
   */
  async * run (vm: string, request: StatementRequest): AsyncGenerator<ResponseFrame, void, void> {
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

  /** Requests that `vm` rolls back the transaction; there is no response. */
  abandon (vm: string, database: string, transactionId: string): void {
    this.#send(vm, { type: 'abandon', database, transactionId })
  }

  /** Handles a `frame` message. For an unknown stream, or one of another VM, it responds with `cancel`. */
  handleFrame (vm: string, message: StatementMessage & { type: 'frame' }): void {
    const stream = this.#streams.get(message.stream)
    if (stream === undefined || stream.vm !== vm) {
      if (!message.last) this.#send(vm, { type: 'cancel', stream: message.stream })
      return
    }
    stream.channel.addFrame(message.frame, message.last)
  }

  /** Counts the statements in flight on other VMs. */
  countStreams (): number {
    return this.#streams.size
  }

  #handleLinkLoss (vm: string, loss: LinkLoss): void {
    for (const [id, stream] of this.#streams) {
      if (stream.vm !== vm) continue
      this.#streams.delete(id)
      stream.channel.closeWithError(loss === 'closed' ? new StreamLostError(`link to VM ${vm} was lost before the response was complete`) : new StreamNotStartedError(`VM ${vm} is unreachable`))
    }
  }

  #send (vm: string, message: StatementMessage): void {
    this.#peers.send(vm, STATEMENTS_SLICE, message)
  }
}

/** Validates a message of the `statements` slice. Returns `undefined` if it is malformed. */
export function parseStatementMessage (body: unknown): StatementMessage | undefined {
  const result = statementMessageSchema.safeParse(body)
  return result.success ? result.data : undefined
}
