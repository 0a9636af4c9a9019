import { zeroPosition, type LogPosition } from '@camphorpitch/wire'
import { EndpointConnector, type EndpointConnection, type EndpointResponse, type EndpointTarget } from '../../backend/endpoint-connector.ts'
import { ConnectionLostError, EndpointRefusedError } from '../../backend/errors.ts'
import type { ResponseError } from '../../backend/statement.ts'
import type { LoadPattern } from './load-pattern.ts'

interface Job { workMs: number, finish: () => void }

/** An endpoint with a number of slots, a queue in front of them and a limit of connections. */
export class SimulatedServer {
  readonly name: string
  readonly failureDomain: string
  isDark = false
  slowdown = 1
  /** Connections that were opened, and connection attempts that were over the limit. */
  opened = 0
  overLimit = 0
  position: LogPosition = zeroPosition
  /** Time since when a slot has been free without a break; `null` while all are in use. */
  freeSinceMs: number | null = 0
  readonly #options: LoadPattern['endpoint']
  readonly #readNow: () => number
  readonly #queue: Job[] = []
  #running = 0
  #connections = 0

  constructor (name: string, failureDomain: string, options: LoadPattern['endpoint'], readNow: () => number) {
    this.#readNow = readNow
    this.name = name
    this.failureDomain = failureDomain
    this.#options = options
  }

  /** Counts a new connection. @returns whether it is within the limit */
  accept (): boolean {
    if (this.#connections >= this.#options.maxConnections) {
      this.overLimit++
      return false
    }
    this.#connections++
    this.opened++
    return true
  }

  release (): void {
    this.#connections--
  }

  /** Runs a job in a slot. @returns whether it was accepted: the queue may be full */
  run (workMs: number, finish: () => void): boolean {
    if (this.#running >= this.#options.slots && this.#queue.length >= this.#options.queue) return false
    this.#queue.push({ workMs, finish })
    this.#startJobs()
    return true
  }

  #startJobs (): void {
    while (this.#running < this.#options.slots) {
      const job = this.#queue.shift()
      if (job === undefined) return
      if (++this.#running >= this.#options.slots) this.freeSinceMs = null
      setTimeout(() => {
        this.#running--
        job.finish()
        this.#startJobs()
        if (this.#running < this.#options.slots) this.freeSinceMs ??= this.#readNow()
      }, job.workMs * this.slowdown)
    }
  }
}

export interface ServerConnectorOptions {
  servers: ReadonlyMap<string, SimulatedServer>
  handshakeMs: number
  /** Returns the time from this VM to an endpoint, one way, in milliseconds. */
  computeDelayMs: (server: SimulatedServer) => number
  /** Returns the time that an endpoint works on the statement of an id. */
  readWorkMs: (id: string) => number
  lingerMs: () => number
  /** Called for each statement that is sent to a server. */
  recordSent: (id: string) => void
}

/** Connects one VM to simulated servers. */
export class ServerConnector extends EndpointConnector {
  readonly #options: ServerConnectorOptions
  /** Whether the VM has lost its power: nothing reaches it, and its connections are counted for a while. */
  isOff = false
  readonly #open = new Set<SimulatedServer[]>()

  constructor (options: ServerConnectorOptions) {
    super()
    this.#options = options
  }

  /** Cuts the VM's power. */
  cutPower (): void {
    this.isOff = true
    const { lingerMs } = this.#options
    for (const [server] of this.#open) setTimeout(() => server!.release(), lingerMs())
    this.#open.clear()
  }

  override async connect ({ endpoint }: EndpointTarget, timeoutMs: number): Promise<EndpointConnection> {
    const server = this.#options.servers.get(endpoint)
    if (server === undefined) throw new ConnectionLostError('no such endpoint')
    const delayMs = this.#options.computeDelayMs(server)
    return await new Promise((resolve, reject) => {
      const timer = setTimeout(() => reject(new ConnectionLostError('no response in time')), timeoutMs)
      const respond = (run: () => void): void => {
        setTimeout(() => {
          if (this.isOff) return
          clearTimeout(timer)
          run()
        }, delayMs)
      }
      setTimeout(() => {
        if (server.isDark || this.isOff) return
        if (!server.accept()) return respond(() => reject(new EndpointRefusedError('tooMany', { props: { code: 'tooMany' } })))
        const counted = [server]
        this.#open.add(counted)
        const isAccepted = server.run(this.#options.handshakeMs, () => respond(() => resolve(this.#createConnection(server, counted, delayMs))))
        if (isAccepted) return
        if (this.#open.delete(counted)) server.release()
        respond(() => reject(new EndpointRefusedError('busy', { props: { code: 'busy' } })))
      }, delayMs)
    })
  }

  #createConnection (server: SimulatedServer, counted: SimulatedServer[], delayMs: number): EndpointConnection {
    let state: EndpointResponse['state'] = 'idle'
    const run = async (id: string, stateAfter: typeof state): Promise<EndpointResponse> => {
      const response = await this.#run(server, id, delayMs)
      if (response.error === null) state = stateAfter
      return { ...response, state }
    }
    const connection = {
      isOpen: true,
      startPosition: null,
      run: async (id: string, text: string) => await run(id, text === 'commit' ? 'idle' : state),
      begin: async (id: string) => await run(id, 'open'),
      rollback: async () => {
        state = 'idle'
        return createResponse(server, null)
      },
      discard: async () => createResponse(server, null),
      subscribeClose: () => {},
      close: () => {
        connection.isOpen = false
        if (this.#open.delete(counted)) setTimeout(() => server.release(), delayMs)
      }
    }
    return connection as unknown as EndpointConnection
  }

  async #run (server: SimulatedServer, id: string, delayMs: number): Promise<EndpointResponse> {
    return await new Promise(resolve => {
      const respond = (error: ResponseError | null): void => { setTimeout(() => { if (!this.isOff && !server.isDark) resolve(createResponse(server, error)) }, delayMs) }
      this.#options.recordSent(id)
      setTimeout(() => {
        if (server.isDark || this.isOff) return
        const isAccepted = server.run(this.#options.readWorkMs(id), () => respond(null))
        if (!isAccepted) respond({ code: 'busy', text: 'queue full' })
      }, delayMs)
    })
  }
}

function createResponse ({ position }: SimulatedServer, error: ResponseError | null): EndpointResponse {
  return { rows: [], signature: error === null ? 'signature' : null, error, state: 'idle', position }
}
