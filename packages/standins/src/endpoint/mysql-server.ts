import { TOO_MANY_CONNECTIONS_ERRNO } from '@camphorpitch/wire'
import mysql from 'mysql2'
import type { AddressInfo, Server as TcpServer } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'
import { verifyToken } from './authentication.ts'
import { InstanceSession, type InstanceContext } from './instance-session.ts'
import { listenForCommands, sendError, sendHandshake, sendReply, type AuthRequest, type ServerConnection } from './mysql-connection.ts'
import type { EndpointSettings } from './settings.ts'

const ACCESS_DENIED_ERRNO = 1045
/** Prefix of the user name with which a replica connects to its primary; such connections do not count towards the limit. */
export const PEER_USER_PREFIX = 'replica:'

interface ClientConnection {
  connection: ServerConnection
  session: InstanceSession | null
  /** Whether a replica of the group has connected. */
  isPeer: boolean
  /** Whether it counts towards the connection limit. */
  isCounted: boolean
}

export interface MysqlServer {
  port: number
  /** Rolls back every open transaction. */
  cancelTransactions: () => void
  /** Closes the port and every connection at once. */
  stop: () => Promise<void>
}

/** The members of the library's server that are used here; the library's types declare other arguments. */
interface LibraryServer {
  _server: TcpServer
  on: (event: 'connection', listener: (connection: unknown) => void) => void
  listen: (port: number, host: string, listener: () => void) => void
}

const createLibraryServer = mysql.createServer as unknown as () => LibraryServer

/**
 * Starts the MySQL server of one instance.
 *
 * @throws Error when the port is taken
 */
export async function startMysqlServer (settings: EndpointSettings, context: InstanceContext): Promise<MysqlServer> {
  const openConnections = new Set<ClientConnection>()
  const server = createLibraryServer()
  let lastConnectionId = 0
  context.injector.subscribe(() => {
    for (const o of openConnections) updateFlowControl(o, context)
  })
  server.on('connection', (libraryConnection: unknown) => {
    const connection = libraryConnection as ServerConnection
    const client: ClientConnection = { connection, session: null, isPeer: false, isCounted: false }
    openConnections.add(client)
    handleConnection(client, ++lastConnectionId, settings, context)
    connection.stream.on('close', () => {
      openConnections.delete(client)
      closeConnection(client, context)
    })
  })
  const tcp = server._server
  await new Promise<void>((resolve, reject) => {
    tcp.once('error', reject)
    server.listen(settings.port, settings.host, resolve)
  })
  return {
    port: (tcp.address() as AddressInfo).port,
    cancelTransactions: () => {
      for (const o of openConnections) o.session?.cancelTransaction()
    },
    stop: async () => {
      const closed = new Promise<void>(resolve => { tcp.close(() => { resolve() }) })
      for (const o of openConnections) o.connection.stream.destroy()
      await closed
    }
  }
}

function handleConnection (client: ClientConnection, connectionId: number, settings: EndpointSettings, context: InstanceContext): void {
  const { connection } = client
  connection.stream.setNoDelay(true)
  connection.on('error', () => connection.stream.destroy())
  connection.stream.prependListener('data', (chunk: Buffer) => { context.record.addBytes(connectionId, chunk) })
  listenForCommands(connection, {
    runQuery: text => {
      client.session?.run(text).then(async reply => {
        await context.injector.waitUntilUnfrozen()
        sendReply(connection, reply)
      }, async error => {
        await context.injector.waitUntilUnfrozen()
        sendError(connection, error)
      }).catch(() => connection.stream.destroy())
    }
  })
  openSession(client, connectionId, settings, context).catch(() => connection.stream.destroy())
}

async function openSession (client: ClientConnection, connectionId: number, settings: EndpointSettings, context: InstanceContext): Promise<void> {
  await wait(context.injector.faults.connectDelayMs)
  await context.injector.waitUntilUnfrozen()
  if (client.connection.stream.destroyed) return
  updateFlowControl(client, context)
  sendHandshake(client.connection, connectionId, (request, done) => {
    const refusal = admitClient(client, request, settings, context)
    if (refusal !== undefined) {
      done(null, refusal)
      return
    }
    client.session = new InstanceSession(context, connectionId, request.user)
    updateFlowControl(client, context)
    if (!isClientCut(client, context)) done(null)
    client.connection.sequenceId = 0
  })
}

/** Authenticates a client or peer and enforces the connection limit; returns the error to send if it is refused. */
function admitClient (client: ClientConnection, request: AuthRequest, settings: EndpointSettings, context: InstanceContext): { code: number, message: string } | undefined {
  client.isPeer = request.user.startsWith(PEER_USER_PREFIX)
  const nonce = Buffer.concat([request.authPluginData1, request.authPluginData2]).subarray(0, 20)
  const isKnownUser = client.isPeer || request.user === settings.user
  if (!isKnownUser || !verifyToken(request.authToken, nonce, settings.password)) {
    return { code: ACCESS_DENIED_ERRNO, message: 'Access denied' }
  }
  if (client.isPeer) return undefined
  if (context.record.countConnections() >= settings.maxConnections) {
    context.record.refusedConnections++
    return { code: TOO_MANY_CONNECTIONS_ERRNO, message: 'Too many connections' }
  }
  client.isCounted = true
  context.record.openConnection()
  return undefined
}

function closeConnection (client: ClientConnection, context: InstanceContext): void {
  if (client.isCounted) context.record.closeConnection()
  client.session?.close().catch(() => {})
}

/** The cut of clients affects a connection only after authentication; before it, clients and peers cannot be told apart. */
function isClientCut (client: ClientConnection, context: InstanceContext): boolean {
  return client.session !== null && !client.isPeer && context.injector.faults.cut.callers
}

/** Stops reading from the socket while the instance is frozen or its clients are cut. */
function updateFlowControl (client: ClientConnection, context: InstanceContext): void {
  const { stream } = client.connection
  if (context.injector.faults.freeze || isClientCut(client, context)) stream.pause()
  else stream.resume()
}
