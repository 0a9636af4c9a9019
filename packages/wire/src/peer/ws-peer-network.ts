import { LinkError } from '../errors/base.ts'
import type { Clock } from '../process/clock.ts'
import type { Logger } from '../process/logger.ts'
import type { Envelope, Hello } from './envelope.ts'
import { listenForPeers, openPeerLink, type LinkHandlers, type PeerLink, type PeerServer } from './link.ts'
import { LinkRegistry } from './link-registry.ts'
import { PeerNetwork, type LinkLoss, type LinkLossListener, type PeerHandler } from './peer-network.ts'

/** Maximum number of messages that are queued until a link is open; further ones are dropped. */
const MAX_QUEUED_MESSAGES = 1_000
const LINK_CHECK_INTERVAL_MS = 500

export interface PeerAddress { host: string, port: number }

export interface WsPeerNetworkOptions {
  self: Hello
  clock: Clock
  logger: Logger
  /** Finds the address of a VM by name; returns `undefined` for an unknown VM. */
  findAddress: (vm: string) => PeerAddress | undefined
}

interface PendingLink {
  queuedEnvelopes: Envelope[]
}

/**
 * Sends messages between VMs over WebSockets, which are opened when first needed.
 *
 * All messages to one VM use the same link while it is open, so they stay in order. If nothing is received after a
 * send, the peer is pinged, and then the link is terminated; see `LinkRegistry`.
 */
export class WsPeerNetwork extends PeerNetwork {
  override readonly self: Hello
  readonly #options: WsPeerNetworkOptions
  readonly #registry: LinkRegistry
  readonly #pendingLinks = new Map<string, PendingLink>()
  readonly #handlers = new Map<string, PeerHandler>()
  readonly #lossListeners: LinkLossListener[] = []
  readonly #linkHandlers: LinkHandlers
  readonly #timer: NodeJS.Timeout
  #server: PeerServer | undefined
  #isStopped = false

  constructor (options: WsPeerNetworkOptions) {
    super()
    this.self = options.self
    this.#options = options
    this.#registry = new LinkRegistry(options.clock)
    this.#linkHandlers = {
      onMessage: (link, envelope) => this.#receive(link, envelope),
      onClose: link => this.#handleLinkClose(link)
    }
    this.#timer = setInterval(() => this.#registry.checkLinks(), LINK_CHECK_INTERVAL_MS)
    this.#timer.unref()
  }

  /**
   * Starts to accept links from peers.
   *
   * @returns the bound port
   */
  async listen (host: string, port: number): Promise<number> {
    this.#server = await listenForPeers(host, port, this.self, this.#linkHandlers, link => this.#registry.addLink(link))
    this.#server.subscribeErrors(error => this.#options.logger.error('server for peer links failed', { port, reason: error.message }))
    return this.#server.port
  }

  override send (vm: string, slice: string, body: unknown): void {
    if (vm === this.self.vm) {
      setImmediate(() => this.#deliver(this.self, { slice, body }))
      return
    }
    const link = this.#registry.findLink(vm)
    if (link !== undefined) {
      this.#registry.send(link, { slice, body })
      return
    }
    const address = this.#options.findAddress(vm)
    if (address === undefined) {
      this.#publishLinkLoss(vm, 'unreachable')
      return
    }
    this.#sendWhenOpen(vm, address, { slice, body })
  }

  override sendTo (host: string, port: number, slice: string, body: unknown): void {
    this.#sendWhenOpen(`${host}:${port}`, { host, port }, { slice, body })
  }

  override subscribe (slice: string, handler: PeerHandler): void {
    this.#handlers.set(slice, handler)
  }

  override subscribeLinkLoss (listener: LinkLossListener): void {
    this.#lossListeners.push(listener)
  }

  /** Terminates every link to a VM, for a VM that is considered dead. */
  closeLinks (vm: string): void {
    for (const link of this.#registry.listLinks(vm)) link.terminate()
  }

  countLinks (): number {
    return this.#registry.countLinks()
  }

  async stop (): Promise<void> {
    this.#isStopped = true
    clearInterval(this.#timer)
    for (const link of this.#registry.listAllLinks()) link.terminate()
    await this.#server?.close()
  }

  #sendWhenOpen (key: string, address: PeerAddress, envelope: Envelope): void {
    const pending = this.#pendingLinks.get(key)
    if (pending !== undefined) {
      if (pending.queuedEnvelopes.length < MAX_QUEUED_MESSAGES) pending.queuedEnvelopes.push(envelope)
      return
    }
    const newPendingLink: PendingLink = { queuedEnvelopes: [envelope] }
    this.#pendingLinks.set(key, newPendingLink)
    openPeerLink(address.host, address.port, this.self, this.#linkHandlers).then(
      link => this.#handleLinkOpen(key, link, newPendingLink),
      error => this.#handleLinkFailure(key, error)
    )
  }

  #handleLinkOpen (key: string, link: PeerLink, pending: PendingLink): void {
    this.#pendingLinks.delete(key)
    if (this.#isStopped) {
      link.terminate()
      return
    }
    this.#registry.addLink(link)
    for (const e of pending.queuedEnvelopes) this.#registry.send(link, e)
  }

  #handleLinkFailure (key: string, error: unknown): void {
    const pending = this.#pendingLinks.get(key)
    this.#pendingLinks.delete(key)
    if (this.#isStopped) return
    const reason = error instanceof LinkError ? error.message : String(error)
    this.#options.logger.debug('peer link attempt failed', { peer: key, reason })
    const link = this.#registry.findLink(key)
    if (link === undefined) return this.#publishLinkLoss(key, 'unreachable')
    // The peer has opened a link meanwhile, on which other messages may have been sent.
    for (const e of pending?.queuedEnvelopes ?? []) this.#registry.send(link, e)
  }

  #handleLinkClose (link: PeerLink): void {
    this.#registry.removeLink(link)
    if (!this.#isStopped) this.#publishLinkLoss(link.peer.vm, 'closed')
  }

  #publishLinkLoss (vm: string, loss: LinkLoss): void {
    setImmediate(() => {
      // Messages that were sent on a link that is closing, or that wait for one that is being opened again, may still arrive.
      const mayArrive = this.#registry.listLinks(vm).length > 0 || this.#pendingLinks.has(vm)
      for (const listener of this.#lossListeners) listener(vm, mayArrive ? 'closed' : loss)
    })
  }

  #receive (link: PeerLink, envelope: Envelope): void {
    this.#registry.recordReceived(link)
    this.#deliver(link.peer, envelope)
  }

  #deliver (from: Hello, envelope: Envelope): void {
    const handler = this.#handlers.get(envelope.slice)
    if (handler === undefined) {
      this.#options.logger.warn('peer message for an unknown slice dropped', { from: from.vm, slice: envelope.slice })
      return
    }
    try {
      handler(from, envelope.body)
    } catch (error) {
      // A message of one peer must not end the process, and with it the work of all clients.
      this.#options.logger.error('peer message could not be handled', { from: from.vm, slice: envelope.slice, error: error instanceof Error ? error.stack : String(error) })
    }
  }
}
