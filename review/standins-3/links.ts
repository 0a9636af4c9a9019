import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import type { StoreView } from '../../platform/src/standins/store-standin.ts'
import { HOST } from './gateway-process.ts'

/** What a VM connects to beside the platform. */
export interface LinkTarget { kind: 'vm' | 'instance' | 'store', name: string, address: string }

/** Forwards connections to an address. While it is cut, it keeps them open and discards their data; afterwards it resets them. */
class Link {
  readonly target: LinkTarget
  readonly #isCut: (target: LinkTarget) => boolean
  readonly #pairs = new Set<{ client: Socket, server: Socket, hasLost: boolean }>()
  readonly #server = createServer({ noDelay: true }, client => this.#accept(client))

  constructor (target: LinkTarget, isCut: (target: LinkTarget) => boolean) {
    this.target = target
    this.#isCut = isCut
  }

  async start (): Promise<this> {
    this.#server.listen(0, HOST)
    await once(this.#server, 'listening')
    return this
  }

  get port (): number {
    return (this.#server.address() as AddressInfo).port
  }

  /** Resets all connections and refuses further ones, for as long as the link exists. */
  refuse (): void {
    this.#server.close()
    for (const { client, server } of this.#pairs) {
      client.resetAndDestroy()
      server.resetAndDestroy()
    }
  }

  /** Resets the connections that have lost data. */
  resetBroken (): void {
    for (const { client, server, hasLost } of this.#pairs) {
      if (!hasLost) continue
      client.resetAndDestroy()
      server.resetAndDestroy()
    }
  }

  stop (): void {
    this.#server.close()
    for (const { client, server } of this.#pairs) {
      client.destroy()
      server.destroy()
    }
  }

  #accept (client: Socket): void {
    const server = connect({ host: HOST, port: Number(this.target.address.split(':')[1]), noDelay: true })
    const pair = { client, server, hasLost: this.#isCut(this.target) }
    this.#pairs.add(pair)
    const forward = (from: Socket, to: Socket): void => {
      from.on('data', chunk => {
        if (this.#isCut(this.target)) pair.hasLost = true
        if (!pair.hasLost) to.write(chunk)
      })
      from.on('error', () => from.destroy())
      from.on('close', () => {
        if (this.#isCut(this.target)) pair.hasLost = true
        else to.destroySoon()
        if (client.destroyed && server.destroyed) this.#pairs.delete(pair)
      })
    }
    forward(client, server)
    forward(server, client)
  }
}

/**
 * The links from one VM to the other VMs and to the instances. The VM sees each of them at the address of its link, as behind a network that
 * translates addresses; its entries are otherwise unchanged.
 */
export class VmLinks {
  readonly #vm: string
  readonly #isCut: (target: LinkTarget) => boolean
  readonly #links = new Map<string, Promise<Link>>()

  constructor (vm: string, isCut: (target: LinkTarget) => boolean) {
    this.#vm = vm
    this.#isCut = isCut
  }

  /** Shows the VM the others at the addresses of its links. */
  readonly view: StoreView = async (kind, spec) => {
    const { address, vm, port } = spec as { address?: string, vm?: string, port?: number }
    if (kind === 'servers' && address !== undefined) return { ...spec as object, address: `${HOST}:${await this.#open({ kind: 'instance', name: address, address })}` }
    if (kind !== 'camphorpitch-vms' || vm === undefined || vm === this.#vm) return spec
    return { ...spec as object, port: await this.#open({ kind: 'vm', name: vm, address: `${HOST}:${port}` }) }
  }

  /** Opens the link to the platform's store. @returns the address at which the VM reaches it */
  async openStore (address: string): Promise<string> {
    return `${HOST}:${await this.#open({ kind: 'store', name: 'store', address })}`
  }

  /** Refuses connections on some links from now on. */
  async refuse (isRefused: (target: LinkTarget) => boolean): Promise<void> {
    for (const pending of this.#links.values()) {
      const link = await pending
      if (isRefused(link.target)) link.refuse()
    }
  }

  async resetBroken (): Promise<void> {
    for (const link of this.#links.values()) (await link).resetBroken()
  }

  async stop (): Promise<void> {
    for (const link of this.#links.values()) (await link).stop()
  }

  async #open (target: LinkTarget): Promise<number> {
    const link = this.#links.get(target.address) ?? new Link(target, this.#isCut).start()
    this.#links.set(target.address, link)
    return (await link).port
  }
}
