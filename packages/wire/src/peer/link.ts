import { once } from 'node:events'
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { pack, unpack } from 'msgpackr'
import { WebSocket, WebSocketServer } from 'ws'
import { LinkError } from '../errors/base.ts'
import { helloSchema, messageSchema, MAX_PEER_MESSAGE_BYTES, PEER_PROTOCOL_VERSION, type Envelope, type Hello } from './envelope.ts'

/** Maximum number of bytes in a link's send buffer; above it, messages are not sent, as delivery is best effort. */
const MAX_BUFFERED_BYTES = 64 * 1024 * 1024
/** Size up to which several envelopes are sent as one message. A peer closes the link at a message above `MAX_PEER_MESSAGE_BYTES`. */
const MAX_JOINED_BYTES = 1024 * 1024
const HELLO_TIMEOUT_MS = 2_000
const STATUS_UPGRADE_REQUIRED = 426

export interface LinkHandlers {
  onMessage: (link: PeerLink, envelope: Envelope) => void
  onClose: (link: PeerLink) => void
}

/** An open WebSocket to a peer, after both sides have exchanged their hello messages. */
export class PeerLink {
  readonly peer: Hello
  readonly #socket: WebSocket
  readonly #queuedEnvelopes: Envelope[] = []

  constructor (peer: Hello, bufferedSocket: BufferedSocket, handlers: LinkHandlers) {
    this.peer = peer
    this.#socket = bufferedSocket.socket
    bufferedSocket.socket.on('close', () => handlers.onClose(this))
    // Deferred, so that the caller can register the link before the first message is delivered.
    setImmediate(() => bufferedSocket.forwardTo(data => this.#receive(data, handlers)))
  }

  get isOpen (): boolean {
    return this.#socket.readyState === WebSocket.OPEN
  }

  /** Queues an envelope for sending; returns false if the link is not open or its send buffer is full. */
  send (envelope: Envelope): boolean {
    if (!this.isOpen || this.#socket.bufferedAmount > MAX_BUFFERED_BYTES) return false
    this.#queuedEnvelopes.push(envelope)
    if (this.#queuedEnvelopes.length === 1) setImmediate(() => this.#flush())
    return true
  }

  /** Sends all envelopes that were queued in this turn of the event loop, as one message unless it would be large. */
  #flush (): void {
    this.#sendEnvelopes(this.#queuedEnvelopes.splice(0))
  }

  #sendEnvelopes (envelopes: readonly Envelope[]): void {
    if (!this.isOpen) return
    const data = pack(envelopes)
    if (envelopes.length === 1 || data.length <= MAX_JOINED_BYTES) return this.#socket.send(data)
    const middle = Math.ceil(envelopes.length / 2)
    this.#sendEnvelopes(envelopes.slice(0, middle))
    this.#sendEnvelopes(envelopes.slice(middle))
  }

  ping (): void {
    if (this.isOpen) this.#socket.ping()
  }

  subscribePong (listener: () => void): void {
    this.#socket.on('pong', listener)
  }

  close (): void {
    this.#socket.close()
  }

  terminate (): void {
    this.#socket.terminate()
  }

  #receive (data: Buffer, handlers: LinkHandlers): void {
    const envelopes = messageSchema.safeParse(decodeMessage(data))
    if (!envelopes.success) {
      this.#socket.close(1002, 'malformed message')
      return
    }
    for (const e of envelopes.data) handlers.onMessage(this, e)
  }
}

function decodeMessage (data: Buffer): unknown {
  try {
    return unpack(data)
  } catch {
    return undefined
  }
}

/** Buffers the messages that arrive on a socket until a receiver is set, so that none is lost during the exchange of hello messages. */
class BufferedSocket {
  readonly socket: WebSocket
  readonly #bufferedMessages: Buffer[] = []
  #receiver: ((data: Buffer) => void) | undefined
  #notifyReader: (() => void) | undefined

  constructor (socket: WebSocket) {
    this.socket = socket
    socket.on('message', data => this.#receive(data as Buffer))
    socket.on('close', () => this.#notifyReader?.())
    socket.on('error', () => socket.terminate())
  }

  /**
   * Waits for the first message.
   *
   * @throws LinkError when the socket closes first, or after `HELLO_TIMEOUT_MS`
   */
  async readFirstMessage (): Promise<Buffer> {
    const timer = setTimeout(() => this.socket.terminate(), HELLO_TIMEOUT_MS)
    if (this.#bufferedMessages.length === 0) await new Promise<void>(resolve => { this.#notifyReader = resolve })
    clearTimeout(timer)
    const first = this.#bufferedMessages.shift()
    if (first === undefined) throw new LinkError('peer link closed before the peer\'s hello message arrived')
    return first
  }

  /** Passes all buffered messages to `receiver`, and every later one as it arrives. */
  forwardTo (receiver: (data: Buffer) => void): void {
    for (const data of this.#bufferedMessages.splice(0)) receiver(data)
    this.#receiver = receiver
  }

  #receive (data: Buffer): void {
    if (this.#receiver !== undefined) return this.#receiver(data)
    this.#bufferedMessages.push(data)
    this.#notifyReader?.()
  }
}

async function receiveHello (bufferedSocket: BufferedSocket): Promise<Hello> {
  const hello = helloSchema.safeParse(decodeMessage(await bufferedSocket.readFirstMessage()))
  if (!hello.success || hello.data.version !== PEER_PROTOCOL_VERSION) throw new LinkError('peer sent a malformed hello message, or one of another protocol version')
  return hello.data
}

async function exchangeHello (bufferedSocket: BufferedSocket, self: Hello, handlers: LinkHandlers): Promise<PeerLink> {
  try {
    bufferedSocket.socket.send(pack(self))
    const peer = await receiveHello(bufferedSocket)
    return new PeerLink(peer, bufferedSocket, handlers)
  } catch (cause) {
    bufferedSocket.socket.terminate()
    throw new LinkError('exchange of hello messages with the peer failed', { cause })
  }
}

/**
 * Opens a link to a peer and exchanges hello messages.
 *
 * @param self the hello message of this VM
 * @throws LinkError when the peer cannot be reached, or has another protocol version
 */
export async function openPeerLink (host: string, port: number, self: Hello, handlers: LinkHandlers): Promise<PeerLink> {
  const socket = new WebSocket(`ws://${host}:${port}`, { maxPayload: MAX_PEER_MESSAGE_BYTES, handshakeTimeout: HELLO_TIMEOUT_MS, perMessageDeflate: false })
  const bufferedSocket = new BufferedSocket(socket)
  try {
    await once(socket, 'open')
  } catch (cause) {
    socket.terminate()
    throw new LinkError(`cannot connect to the peer at ${host}:${port}`, { cause })
  }
  return await exchangeHello(bufferedSocket, self, handlers)
}

export interface PeerServer {
  port: number
  /** Calls `listener` for each error after the server has begun to listen, as when no more connections can be accepted. */
  subscribeErrors: (listener: (error: Error) => void) => void
  close: () => Promise<void>
}

/** Accepts links from peers; `onLink` is called with each one after the exchange of hello messages. */
export async function listenForPeers (host: string, port: number, self: Hello, handlers: LinkHandlers, onLink: (link: PeerLink) => void): Promise<PeerServer> {
  const httpServer = createServer((_request, response) => { response.writeHead(STATUS_UPGRADE_REQUIRED).end() })
  const server = new WebSocketServer({ server: httpServer, maxPayload: MAX_PEER_MESSAGE_BYTES, perMessageDeflate: false })
  server.on('connection', socket => {
    exchangeHello(new BufferedSocket(socket), self, handlers).then(onLink, () => {})
  })
  httpServer.listen(port, host)
  await once(httpServer, 'listening')
  const { port: boundPort } = httpServer.address() as AddressInfo
  return { port: boundPort, subscribeErrors: listener => { server.on('error', listener) }, close: async () => await closeServer(server, httpServer) }
}

/** Closes the server and all its connections, also those that have not become links: a peer may connect and send nothing. */
async function closeServer (server: WebSocketServer, httpServer: Server): Promise<void> {
  for (const c of server.clients) c.terminate()
  server.close()
  const closed = new Promise<void>(resolve => httpServer.close(() => resolve()))
  httpServer.closeAllConnections()
  await closed
}
