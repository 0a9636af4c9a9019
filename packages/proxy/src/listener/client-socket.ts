import { once } from 'node:events'
import type { Cell, Column } from '@camphorpitch/wire'
import { ClientDisconnectedError } from './errors.ts'
import type { AuthCallback, ReceivedPacket, ServerConnection, WrittenColumn } from './server-connection.ts'

/** Maximum size of a statement, in bytes. */
export const MAX_STATEMENT_BYTES = 16 * 1024 * 1024
/** Maximum number of bytes that a client may send before it has its response: one statement of the maximum size, its header and some room. */
const MAX_PENDING_INPUT_BYTES = MAX_STATEMENT_BYTES + 65_536
const DEFAULT_LOGIN_TIMEOUT_MS = 10_000
const KEEP_ALIVE_DELAY_MS = 30_000

const SERVER_VERSION = '8.0.0-camphorpitch'
const UTF8MB4_GENERAL_CI = 45
const BINARY_CHARACTER_SET = 63
const STATUS_AUTOCOMMIT = 2
const STATUS_IN_TRANSACTION = 1

const Capability = {
  longPassword: 1,
  longFlag: 1 << 2,
  connectWithDatabase: 1 << 3,
  protocol41: 1 << 9,
  transactions: 1 << 13,
  secureConnection: 1 << 15,
  pluginAuth: 1 << 19
} as const
const CAPABILITY_FLAGS = Object.values(Capability).reduce((a, b) => a | b, 0)

/** Codes of the MySQL commands that the listener handles. */
export const CommandCode = { quit: 1, initDb: 2, query: 3, ping: 14, closeStatement: 25, resetConnection: 31 } as const

export interface ClientCommand {
  code: number
  payload: Buffer
}

export interface ClientSocketOptions {
  connection: ServerConnection
  connectionId: number
  authenticate: AuthCallback
  /** Time within which a client must have logged in, in milliseconds. */
  loginTimeoutMs?: number
  onCommand: (command: ClientCommand) => void
  onClose: () => void
}

/** Events to which `mysql2` responds itself unless there is a listener. */
const commandEvents = ['query', 'stmt_prepare', 'stmt_execute', 'quit', 'init_db', 'ping', 'field_list']

/** The socket of one client: reads whole commands, and writes responses with the cells exactly as the endpoint sent them. */
export class ClientSocket {
  readonly #connection: ServerConnection
  #pendingInputBytes = 0
  #closed = false

  constructor (options: ClientSocketOptions) {
    const { connection, loginTimeoutMs = DEFAULT_LOGIN_TIMEOUT_MS } = options
    this.#connection = connection
    connection.stream.setNoDelay(true)
    connection.stream.setKeepAlive(true, KEEP_ALIVE_DELAY_MS)
    this.#handleInput(options)
    connection.on('error', () => this.destroy())
    connection.stream.on('close', () => this.#handleClose(options))
    const loginTimer = setTimeout(() => this.destroy(), loginTimeoutMs)
    connection.stream.on('close', () => clearTimeout(loginTimer))
    connection.serverHandshake({
      protocolVersion: 10,
      serverVersion: SERVER_VERSION,
      connectionId: options.connectionId,
      statusFlags: STATUS_AUTOCOMMIT,
      characterSet: UTF8MB4_GENERAL_CI,
      capabilityFlags: CAPABILITY_FLAGS,
      authCallback: (parameters, done) => options.authenticate(parameters, (error, refusal) => {
        clearTimeout(loginTimer)
        done(error, refusal)
        this.#finishResponse()
      })
    })
    // Cells are forwarded as the endpoint's bytes. The library encodes strings; latin1 maps each byte to itself.
    connection.serverConfig.encoding = 'latin1'
  }

  get isClosed (): boolean {
    return this.#closed
  }

  /** Whether the client sends UTF-8; other character sets are not supported, as statements are not converted. */
  get isUtf8 (): boolean {
    const encoding = this.#connection.clientHelloReply?.encoding
    return encoding === 'utf8' || encoding === 'cesu8'
  }

  sendOk (values: { affectedRows?: number, insertId?: number | string, inTransaction?: boolean } = {}): void {
    const serverStatus = STATUS_AUTOCOMMIT | (values.inTransaction === true ? STATUS_IN_TRANSACTION : 0)
    this.#write(() => this.#connection.writeOk({ affectedRows: values.affectedRows, insertId: values.insertId, serverStatus }))
    this.#finishResponse()
  }

  sendError (code: number, message: string): void {
    this.#write(() => this.#connection.writeError({ code, message: message.replace(/[^\x20-\x7e]/g, '?') }))
    this.#finishResponse()
  }

  sendColumns (columns: readonly Column[]): void {
    this.#write(() => this.#connection.writeColumns(columns.map(convertColumn)))
  }

  sendRows (rows: ReadonlyArray<readonly Cell[]>): void {
    this.#write(() => {
      for (const row of rows) this.#connection.writeTextRow(row.map(convertCell))
    })
  }

  sendEnd (inTransaction: boolean): void {
    this.#write(() => this.#connection.writeEof(0, STATUS_AUTOCOMMIT | (inTransaction ? STATUS_IN_TRANSACTION : 0)))
    this.#finishResponse()
  }

  /**
   * Resolves when the write buffer of the socket has room for further rows.
   *
   * @throws ClientDisconnectedError if the connection ends first
   */
  async waitForDrain (): Promise<void> {
    const { stream } = this.#connection
    if (this.#closed) throw new ClientDisconnectedError('the client has disconnected')
    if (!stream.writableNeedDrain) return
    const waitAbort = new AbortController()
    const disconnected = once(stream, 'close', { signal: waitAbort.signal }).then(() => { throw new ClientDisconnectedError('the client has disconnected') })
    try {
      await Promise.race([once(stream, 'drain', { signal: waitAbort.signal }), disconnected])
    } finally {
      disconnected.catch(() => {})
      waitAbort.abort()
    }
  }

  /** Ends the connection after all written data has been sent. */
  close (): void {
    this.#connection.stream.end()
  }

  /** Ends the connection immediately; data not yet sent is discarded. */
  destroy (): void {
    this.#connection.stream.destroy()
  }

  /** Writes to the socket. All writes of one turn of the event loop are sent in one system call. */
  #write (write: () => void): void {
    if (this.#closed) return
    const { stream } = this.#connection
    if (stream.writableCorked === 0) {
      stream.cork()
      setImmediate(() => stream.uncork())
    }
    write()
  }

  /** Resets the sequence number and the input limit for the next command. */
  #finishResponse (): void {
    this.#connection.sequenceId = 0
    this.#pendingInputBytes = 0
  }

  #handleClose (options: ClientSocketOptions): void {
    if (this.#closed) return
    this.#closed = true
    options.onClose()
  }

  /** Limits how much a client may send before it has its response, and closes the connection if the library's parser throws. */
  #handleInput (options: ClientSocketOptions): void {
    const { stream } = this.#connection
    const parse = stream.listeners('data')[0] as (data: Buffer) => void
    stream.removeListener('data', parse)
    stream.on('data', (data: Buffer) => {
      this.#pendingInputBytes += data.length
      if (this.#pendingInputBytes > MAX_PENDING_INPUT_BYTES) return this.destroy()
      try {
        parse(data)
      } catch {
        this.destroy()
      }
    })
    for (const event of commandEvents) this.#connection.on(event, () => {})
    this.#connection.on('packet', (packet: ReceivedPacket, _known: boolean, code: number) => {
      options.onCommand({ code, payload: Buffer.from(packet.buffer.subarray(packet.start + 5, packet.end)) })
    })
  }
}

function convertCell (cell: Cell): string | null {
  if (cell === null) return null
  return Buffer.from(cell.buffer, cell.byteOffset, cell.byteLength).toString('latin1')
}

function convertColumn (column: Column): WrittenColumn {
  if (column.characterSet !== BINARY_CHARACTER_SET) return column
  // The library writes the names of binary columns byte by byte.
  const convert = (text: string) => Buffer.from(text, 'utf8').toString('latin1')
  return { ...column, name: convert(column.name), orgName: convert(column.orgName), table: convert(column.table), orgTable: convert(column.orgTable), schema: convert(column.schema) }
}
