import { createServer, connect, type AddressInfo, type Server, type Socket } from 'node:net'

/**
 * What a link does with what it carries. `silent`, `silentToServer` and `silentToClient` keep connections
 * open and carry nothing, in both directions or one; `reset` cuts connections and refuses new ones.
 */
export const linkModes = ['open', 'reset', 'silent', 'silentToServer', 'silentToClient'] as const
export type LinkMode = typeof linkModes[number]

export interface LoopbackLinkOptions {
  host: string
  /** Where the link leads. */
  port: number
}

interface SocketPair { client: Socket, server: Socket }

/**
 * A TCP path on loopback that can be delayed, silenced and cut from outside of both ends.
 *
 * @example const link = new LoopbackLink({ host: '127.0.0.1', port: 3306 }); await link.start() // clients connect to link.port
 */
export class LoopbackLink {
  mode: LinkMode = 'open'
  /** Delay of each piece that is carried, in milliseconds. */
  delayMs = 0
  readonly #options: LoopbackLinkOptions
  readonly #pairs = new Set<SocketPair>()
  readonly #server: Server

  constructor (options: LoopbackLinkOptions) {
    this.#options = options
    this.#server = createServer(client => this.#accept(client))
  }

  /** Port that clients connect to; 0 before the start. */
  get port (): number {
    return (this.#server.address() as AddressInfo | null)?.port ?? 0
  }

  get targetPort (): number {
    return this.#options.port
  }

  async start (): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(0, this.#options.host, resolve)
    })
  }

  /** What was silenced is lost with its connection: a stream that goes on would have a hole. */
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
    const server = connect(this.#options.port, this.#options.host)
    const pair = { client, server }
    this.#pairs.add(pair)
    this.#forward(client, server, 'silentToServer', pair)
    this.#forward(server, client, 'silentToClient', pair)
  }

  #forward (from: Socket, to: Socket, silentMode: LinkMode, pair: SocketPair): void {
    from.setNoDelay(true)
    const isSilent = (): boolean => this.mode === 'silent' || this.mode === silentMode
    from.on('data', chunk => {
      if (isSilent()) return
      if (this.delayMs === 0) to.write(chunk)
      else setTimeout(() => { if (!to.destroyed) to.write(chunk) }, this.delayMs)
    })
    // An end that is gone ends the other as well; which of them failed matters to neither.
    from.on('error', () => to.destroy())
    from.on('close', () => {
      this.#pairs.delete(pair)
      if (!isSilent()) setTimeout(() => to.destroy(), this.delayMs)
    })
  }
}
