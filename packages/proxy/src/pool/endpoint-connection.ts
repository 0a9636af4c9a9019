import type { Socket } from 'node:net'
import mysql, { type Connection, type FieldPacket, type QueryError } from 'mysql2'
import type { Cell, Column, Database, Endpoint } from '@camphorpitch/wire'
import { ConnectError, ConnectionLostError, StatementTimeoutError } from './errors.ts'
import { createPartQueue, isLastPart, type PartQueue, type ResultHeader, type ResultPart } from './result-part-queue.ts'

const CONNECT_TIMEOUT_MS = 3_000
/** Time that the endpoint has to close a connection before its socket is destroyed. */
const CLOSE_TIMEOUT_MS = 1_000
/** MySQL's status flag for a connection that is inside a transaction. */
const SERVER_STATUS_IN_TRANS = 1

/** A connection to one instance that runs one statement at a time. */
export interface EndpointConnection {
  readonly endpoint: string
  /**
   * Runs one statement and yields the parts of its response. An error that the endpoint returns is
   * yielded as a `failed` part. The connection is closed when the generator is ended early or the
   * statement does not complete.
   *
   * @throws ConnectionLostError when the connection ends before the response is complete, or has ended already
   * @throws StatementTimeoutError when the response is not complete after `timeoutMs`
   */
  runStatement: (text: string, timeoutMs: number) => AsyncGenerator<ResultPart, void, void>
  /** True while the connection is open and no statement is running; an interrupted statement closes it. */
  isReusable: () => boolean
  /** Whether the connection was inside a transaction at its last OK packet. */
  isInTransaction: () => boolean
  /** Closes the connection in an orderly way, or destroys its socket when a statement is running or the endpoint does not close in time. */
  close: () => void
}

export interface EndpointConnectionOptions {
  endpoint: Endpoint
  database: Database
  /** Called once, when the socket has closed. */
  handleClosed?: () => void
}

/** Properties of a `FieldPacket` in the text protocol; the types of mysql2 lack some of them. */
interface TextProtocolColumn {
  name: string
  orgName: string
  table: string
  orgTable: string
  schema: string
  catalog: string
  characterSet: number
  columnLength: number
  columnType: number
  flags: number
  decimals: number
}

function convertColumn (field: FieldPacket): Column {
  const column = field as unknown as TextProtocolColumn
  return {
    name: column.name,
    orgName: column.orgName,
    table: column.table,
    orgTable: column.orgTable,
    schema: column.schema,
    catalog: column.catalog,
    characterSet: column.characterSet,
    columnLength: column.columnLength,
    columnType: column.columnType,
    flags: column.flags,
    decimals: column.decimals
  }
}

interface HeaderPacket {
  affectedRows: number | string
  insertId: number | string
  info?: string
  serverStatus?: number
}

function convertHeader (packet: HeaderPacket): ResultHeader {
  return {
    affectedRows: Number(packet.affectedRows),
    insertId: packet.insertId,
    info: packet.info ?? '',
    serverStatus: packet.serverStatus ?? 0
  }
}

function isEndpointError (error: QueryError): boolean {
  return error.fatal !== true && typeof error.errno === 'number' && typeof error.sqlState === 'string'
}

function convertError (error: QueryError): ResultPart {
  return { kind: 'failed', errno: error.errno ?? 0, sqlState: error.sqlState ?? 'HY000', message: error.message }
}

function connectToEndpoint ({ endpoint, database }: EndpointConnectionOptions): Promise<Connection> {
  const connection = mysql.createConnection({
    host: endpoint.host,
    port: endpoint.port,
    user: database.user,
    password: database.password,
    database: database.database,
    charset: 'utf8mb4_general_ci',
    supportBigNumbers: true,
    bigNumberStrings: true,
    multipleStatements: false,
    rowsAsArray: true,
    typeCast: false,
    connectTimeout: CONNECT_TIMEOUT_MS
  })
  return new Promise((resolve, reject) => {
    connection.once('error', () => {})
    connection.connect((error: QueryError | null) => {
      if (error === null) {
        resolve(connection)
        return
      }
      connection.destroy()
      reject(new ConnectError(`no connection to ${endpoint.endpoint}`, { cause: error, props: { errno: error.errno ?? 0 } }))
    })
  })
}

/**
 * Opens a connection with the credentials configured for the database, not with a client's.
 *
 * @throws ConnectError with `errno`, which is 1040 when the instance accepts no more connections
 * @example
 * const connection = await openEndpointConnection({ endpoint, database })
 * for await (const part of connection.runStatement('SELECT 1', 1_000)) console.log(part.kind)
 */
export async function openEndpointConnection (options: EndpointConnectionOptions): Promise<EndpointConnection> {
  return new MysqlConnection(await connectToEndpoint(options), options)
}

class MysqlConnection implements EndpointConnection {
  readonly endpoint: string
  readonly #connection: Connection
  readonly #stream: Socket
  #isOpen = true
  #isRunning = false
  #isInTransaction = false
  #partQueue: PartQueue | null = null

  constructor (connection: Connection, { endpoint, handleClosed }: EndpointConnectionOptions) {
    this.endpoint = endpoint.endpoint
    this.#connection = connection
    this.#stream = (connection as unknown as { stream: Socket }).stream
    connection.on('error', error => this.#handleConnectionLost(error))
    connection.on('end', () => this.#handleConnectionLost())
    connection.on('warn' as 'error', warning => this.#handleOutOfOrderPacket(warning))
    this.#stream.once('close', () => {
      this.#handleConnectionLost()
      handleClosed?.()
    })
  }

  isReusable (): boolean {
    return this.#isOpen && !this.#isRunning
  }

  isInTransaction (): boolean {
    return this.#isInTransaction
  }

  close (): void {
    if (!this.isReusable()) {
      this.#destroy()
      return
    }
    this.#isOpen = false
    const timer = setTimeout(() => this.#destroy(), CLOSE_TIMEOUT_MS)
    this.#stream.once('close', () => clearTimeout(timer))
    this.#connection.end(() => {})
  }

  async * runStatement (text: string, timeoutMs: number): AsyncGenerator<ResultPart, void, void> {
    if (!this.#isOpen) throw new ConnectionLostError(`connection to ${this.endpoint} lost`)
    this.#isRunning = true
    const queue = this.#startQuery(text)
    const timer = setTimeout(() => {
      queue.setFailure(new StatementTimeoutError(`no whole answer from ${this.endpoint} in ${Math.ceil(timeoutMs)} ms`))
      this.#destroy()
    }, timeoutMs)
    let isComplete = false
    try {
      while (!isComplete) {
        const part = await queue.waitForPart()
        isComplete = isLastPart(part)
        if (isComplete) this.#isRunning = false
        yield part
      }
    } finally {
      clearTimeout(timer)
      this.#partQueue = null
      if (!isComplete) this.#destroy()
      this.#isRunning = false
    }
  }

  /**
   * Sends a query and queues its response as parts. Of several results only the first is queued; the
   * transaction status is taken from the last.
   */
  #startQuery (text: string): PartQueue {
    const connection = this.#connection
    const queue = createPartQueue({ pause: () => connection.pause(), resume: () => connection.resume() })
    this.#partQueue = queue
    const query = connection.query({ sql: text, rowsAsArray: true, typeCast: false })
    let resultCount = 0
    let isResultSet = false
    let firstHeader: ResultHeader | null = null
    query.on('fields', (fields: FieldPacket[] | undefined) => {
      resultCount++
      isResultSet = fields !== undefined
      if (resultCount === 1 && fields !== undefined) queue.addPart({ kind: 'columns', columns: fields.map(convertColumn) })
    })
    query.on('result', (row: unknown) => {
      if (isResultSet) {
        if (resultCount === 1) queue.addRow(row as Cell[])
        return
      }
      if (row === null) return
      const lastHeader = convertHeader(row as HeaderPacket)
      this.#isInTransaction = (lastHeader.serverStatus & SERVER_STATUS_IN_TRANS) !== 0
      if (resultCount === 1) firstHeader = lastHeader
    })
    query.on('error', (error: QueryError) => {
      if (isEndpointError(error)) queue.addPart(convertError(error))
      else this.#handleConnectionLost(error)
    })
    query.on('end', () => queue.addPart(firstHeader === null ? { kind: 'end' } : { kind: 'header', header: firstHeader }))
    return queue
  }

  #handleConnectionLost (cause?: unknown): void {
    this.#isOpen = false
    this.#partQueue?.setFailure(new ConnectionLostError(`connection to ${this.endpoint} lost`, { cause }))
  }

  /** Destroys the connection, because a packet out of order may belong to another statement. */
  #handleOutOfOrderPacket (cause: unknown): void {
    this.#handleConnectionLost(cause)
    this.#stream.destroy()
  }

  #destroy (): void {
    this.#isOpen = false
    this.#connection.destroy()
    this.#stream.destroy()
  }
}
