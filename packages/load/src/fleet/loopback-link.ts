import { createServer, connect, type AddressInfo, type Server, type Socket } from 'node:net'

/**
 * How a link treats its connections. `open` forwards data. `silent`, `silentToServer` and `silentToClient` keep
 * connections open and discard the data of both directions or one. `reset` resets all connections, also new ones.
 */
export const linkModes = ['open', 'reset', 'silent', 'silentToServer', 'silentToClient'] as const
export type LinkMode = typeof linkModes[number]

export interface LoopbackLinkOptions {
  host: string
  /** Port of the server to which the link forwards. */
  port: number
  /**
   * Called when the server resets a connection, as it does when it closes one with data that it has not read, with the port
   * of the client's end.
   */
  onServerReset?: (clientPort: number) => void
}

interface SocketPair { client: Socket, server: Socket }

/**
 * A TCP forwarder on loopback that can delay, discard or reset traffic without the help of client or server.
 *
 * @example const link = new LoopbackLink({ host: '127.0.0.1', port: 3306 }); await link.start() // clients connect to link.port
 */
export class LoopbackLink {
  mode: LinkMode = 'open'
  /** Delay of each forwarded chunk, in milliseconds. */
  delayMs = 0
  readonly #options: LoopbackLinkOptions
  readonly #pairs = new Set<SocketPair>()
  readonly #server: Server

  constructor (options: LoopbackLinkOptions) {
    this.#options = options
    this.#server = createServer({ allowHalfOpen: true }, client => this.#accept(client))
  }

  /** Port to which clients connect; 0 before the start. */
  get port (): number {
    return (this.#server.address() as AddressInfo | null)?.port ?? 0
  }

  /** Port of the server. */
  get targetPort (): number {
    return this.#options.port
  }

  async start (): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(0, this.#options.host, resolve)
    })
  }

  /**
   * Changes the mode. A change from a silent mode to another resets all connections, since their streams lack the
   * discarded data.
   */
  setMode (mode: LinkMode, delayMs = 0): void {
    const wasSilent = this.mode.startsWith('silent')
    this.mode = mode
    this.delayMs = delayMs
    if (mode === 'reset' || (wasSilent && !mode.startsWith('silent'))) this.#resetAll()
  }

  async stop (): Promise<void> {
    this.#resetAll()
    await new Promise(resolve => this.#server.close(resolve))
  }

  #resetAll (): void {
    for (const { client, server } of this.#pairs) {
      client.resetAndDestroy()
      server.resetAndDestroy()
    }
    this.#pairs.clear()
  }

  #accept (client: Socket): void {
    if (this.mode === 'reset') {
      client.resetAndDestroy()
      return
    }
    const server = connect({ port: this.#options.port, host: this.#options.host, allowHalfOpen: true })
    const pair = { client, server }
    const clientPort = client.remotePort ?? 0
    server.on('error', () => this.#options.onServerReset?.(clientPort))
    this.#pairs.add(pair)
    this.#forward(client, server, 'silentToServer', pair)
    this.#forward(server, client, 'silentToClient', pair)
  }

  #forward (from: Socket, to: Socket, silentMode: LinkMode, pair: SocketPair): void {
    from.setNoDelay(true)
    const isSilent = (): boolean => this.mode === 'silent' || this.mode === silentMode
    let lastDueAtMs = 0
    // Keeps the order when the delay decreases.
    const forwardLater = (forward: () => void): void => {
      lastDueAtMs = Math.max(lastDueAtMs, performance.now() + this.delayMs)
      const waitMs = lastDueAtMs - performance.now()
      if (waitMs <= 0) forward()
      else setTimeout(forward, waitMs)
    }
    from.on('data', chunk => {
      if (!isSilent()) forwardLater(() => { if (!to.destroyed) to.write(chunk) })
    })
    from.on('end', () => {
      if (!isSilent()) forwardLater(() => to.end())
    })
    from.on('error', () => {
      if (!isSilent()) forwardLater(() => to.resetAndDestroy())
    })
    from.on('close', () => {
      if (to.destroyed) this.#pairs.delete(pair)
      if (!isSilent() && !from.readableEnded) forwardLater(() => to.destroy())
    })
  }
}
