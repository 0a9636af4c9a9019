import type { Endpoint } from '@camphorpitch/wire'
import mysql, { type Connection, type RowDataPacket } from 'mysql2'
import { InstanceRefusalError, InstanceUnreachableError } from './errors.ts'

export interface ControlConnectionOptions {
  endpoint: Endpoint
  user: string
  password: string
  connectTimeoutMs?: number
}

/** A connection to an instance for group statements. After a loss it is opened again by the next query. */
export interface ControlConnection {
  /**
   * Runs a group statement and returns the JSON text of its `status` column. Statements run in order.
   *
   * @throws InstanceRefusalError when the instance returns an error; has its error number
   * @throws InstanceUnreachableError when the instance does not respond in time, or the connection is refused or lost
   */
  query: (sql: string, timeoutMs: number) => Promise<string>
  stop: () => void
}

const DEFAULT_CONNECT_TIMEOUT_MS = 1_000
const CONNECTION_REFUSED_CODE = 'ECONNREFUSED'

interface MysqlError extends Error {
  errno?: number
  code?: string
  sqlState?: string
}

/** Creates a connection that is opened by its first query. @example const connection = createControlConnection({ endpoint, user: 'camphorpitch', password: '' }) */
export function createControlConnection (options: ControlConnectionOptions): ControlConnection {
  let currentConnection: Connection | null = null
  const discardConnection = (connection: Connection): void => {
    if (currentConnection === connection) currentConnection = null
    connection.destroy()
  }
  return {
    query: async (sql, timeoutMs) => {
      currentConnection ??= openConnection(options, discardConnection)
      const connection = currentConnection
      const timer = setTimeout(() => { discardConnection(connection) }, timeoutMs)
      try {
        return await runQuery(connection, sql)
      } catch (error) {
        throw convertError(error as MysqlError, options.endpoint.endpoint, () => { discardConnection(connection) })
      } finally {
        clearTimeout(timer)
      }
    },
    stop: () => {
      if (currentConnection !== null) discardConnection(currentConnection)
    }
  }
}

function openConnection (options: ControlConnectionOptions, discardConnection: (connection: Connection) => void): Connection {
  const { endpoint, user, password, connectTimeoutMs = DEFAULT_CONNECT_TIMEOUT_MS } = options
  const connection = mysql.createConnection({ host: endpoint.host, port: endpoint.port, user, password, connectTimeout: connectTimeoutMs })
  connection.on('error', () => { discardConnection(connection) })
  return connection
}

/** Runs a query that rejects as soon as its connection closes; the library leaves queries of a destroyed connection pending. */
async function runQuery (connection: Connection, sql: string): Promise<string> {
  return await new Promise((resolve, reject) => {
    const { stream } = connection as unknown as { stream: NodeJS.EventEmitter }
    const handleClose = (): void => { reject(new Error('control connection closed before the response')) }
    stream.once('close', handleClose)
    connection.query<RowDataPacket[]>(sql, (error, rows) => {
      stream.removeListener('close', handleClose)
      if (error === null) resolve(String(rows[0]?.status))
      else reject(error)
    })
  })
}

function convertError (cause: MysqlError, endpoint: string, discardConnection: () => void): Error {
  if (cause.sqlState !== undefined && cause.errno !== undefined) {
    return new InstanceRefusalError(`${endpoint}: ${cause.message}`, { cause, props: { errno: cause.errno } })
  }
  discardConnection()
  return new InstanceUnreachableError(`${endpoint}: no response from the instance`, { cause, props: { refused: cause.code === CONNECTION_REFUSED_CODE } })
}
