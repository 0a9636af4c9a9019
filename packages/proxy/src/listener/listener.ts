import { once } from 'node:events'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import type { Logger } from '@camphorpitch/wire'
import { createConnection, type ConnectionOptions } from 'mysql2'
import type { ActorSystemRef } from 'nact'
import { ClientConnection } from './client-connection.ts'
import type { CommandRunnerOptions } from './command-runner.ts'
import { checkLogin, type LoginOptions } from './login.ts'
import type { ServerConnection } from './server-connection.ts'

const DRAIN_CHECK_INTERVAL_MS = 20
const DEFAULT_DRAIN_TIMEOUT_MS = 60_000
const DEFAULT_MAX_CONNECTIONS = 10_000

export interface ListenerOptions {
  host: string
  port: number
  vm: string
  system: ActorSystemRef
  logger: Logger
  runner: CommandRunnerOptions
  findKey: LoginOptions['findKey']
  /** Maximum number of client connections to this VM, over all workspaces. */
  maxConnections?: number
  /** Time within which a client must have logged in, in milliseconds. */
  loginTimeoutMs?: number
}

export interface Listener {
  port: number
  listClients: () => readonly ClientConnection[]
  /** Accepts no new connections, waits until running commands and open transactions have ended or the timeout is over, then closes all connections. */
  drain: (timeoutMs?: number) => Promise<void>
}

/** Starts accepting clients over the MySQL protocol. */
export async function startListener (options: ListenerOptions): Promise<Listener> {
  const clients = new Set<ClientConnection>()
  let nextConnectionId = 1
  const clientCounts = new Map<string, number>()
  const server = createServer(acceptConnection)
  server.maxConnections = options.maxConnections ?? DEFAULT_MAX_CONNECTIONS
  server.listen(options.port, options.host)
  await once(server, 'listening')
  return {
    port: (server.address() as AddressInfo).port,
    listClients: () => [...clients],
    drain: async (timeoutMs = DEFAULT_DRAIN_TIMEOUT_MS) => await drainClients(server, clients, timeoutMs)
  }

  function updateClientCount (workspace: string | undefined, difference: number): void {
    if (workspace !== undefined) clientCounts.set(workspace, (clientCounts.get(workspace) ?? 0) + difference)
  }

  function acceptConnection (stream: Socket): void {
    const client = new ClientConnection({
      system: options.system,
      connection: createServerConnection(stream),
      connectionId: nextConnectionId++,
      vm: options.vm,
      logger: options.logger,
      runner: options.runner,
      loginTimeoutMs: options.loginTimeoutMs,
      checkLogin: parameters => {
        const result = checkLogin({ configuration: options.runner.configuration, findKey: options.findKey, countClients: w => clientCounts.get(w) ?? 0 }, parameters)
        if (result.accepted) updateClientCount(result.workspace, 1)
        return result
      },
      onClose: closed => {
        clients.delete(closed)
        updateClientCount(closed.session?.workspace, -1)
        options.runner.metrics.callers.set(clients.size)
      }
    })
    clients.add(client)
    options.runner.metrics.callers.set(clients.size)
  }
}

/**
 * Creates the server side of a client's connection.
 *
 * By default, the library allocates half a megabyte per connection for prepared statements, which are not
 * supported here.
 */
function createServerConnection (stream: Socket): ServerConnection {
  const options = { stream, isServer: true, maxPreparedStatements: 1 }
  return createConnection(options as ConnectionOptions) as unknown as ServerConnection
}

async function drainClients (server: Server, clients: ReadonlySet<ClientConnection>, timeoutMs: number): Promise<void> {
  server.close()
  for (const c of clients) c.drain()
  const steps = Math.ceil(timeoutMs / DRAIN_CHECK_INTERVAL_MS)
  for (let i = 0; i < steps && clients.size > 0; i++) {
    await new Promise(resolve => setTimeout(resolve, DRAIN_CHECK_INTERVAL_MS))
  }
  for (const c of clients) c.destroy()
}
