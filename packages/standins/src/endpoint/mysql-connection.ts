import { describeError, formatCommitInfo } from '@camphorpitch/wire'
import type { EventEmitter } from 'node:events'
import type { Socket } from 'node:net'
import { createStatementError, StatementError, UNKNOWN_ERRNO } from './errors.ts'
import type { Reply } from './instance-session.ts'

const CHARACTER_SET_UTF8MB4 = 45
const STATUS_AUTOCOMMIT = 0x0002
const STATUS_IN_TRANSACTION = 0x0001
const UNKNOWN_COMMAND_ERRNO = 1047
const UNSUPPORTED_ERRNO = 1295

/**
 * LONG_PASSWORD, FOUND_ROWS, LONG_FLAG, CONNECT_WITH_DB, PROTOCOL_41, TRANSACTIONS, SECURE_CONNECTION. Not
 * SESSION_TRACK, which would change the format of OK packets.
 */
const CAPABILITY_FLAGS = 0x0001 | 0x0002 | 0x0004 | 0x0008 | 0x0200 | 0x2000 | 0x8000

interface OutgoingPacket {
  _name: string
  buffer: Buffer
  length: () => number
  writeHeader: (sequenceId: number) => void
}

export interface AuthRequest {
  user: string
  authPluginData1: Buffer
  authPluginData2: Buffer
  authToken: Buffer | undefined
}

type AuthCallback = (request: AuthRequest, done: (error: null, refusal?: { message: string, code: number }) => void) => void

/** The members of a `mysql2` server connection that are used here; the library's types do not declare them. */
export interface ServerConnection extends EventEmitter {
  stream: Socket
  sequenceId: number
  serverConfig: { encoding: string }
  serverHandshake: (options: object) => void
  writeOk: () => void
  writeError: (error: { code: number, message: string }) => void
  writeColumns: (columns: readonly object[]) => void
  writeTextRow: (cells: ReadonlyArray<string | null>) => void
  writeEof: (warnings?: number, statusFlags?: number) => void
  writePacket: (packet: OutgoingPacket) => void
}

/**
 * Sends the initial handshake to a client. Sets the connection's encoding to latin1, so that cells and messages are
 * strings with one character per byte.
 */
export function sendHandshake (connection: ServerConnection, connectionId: number, authCallback: AuthCallback): void {
  connection.serverHandshake({
    protocolVersion: 10,
    serverVersion: '8.0.0-camphorpitch-endpoint',
    connectionId,
    statusFlags: STATUS_AUTOCOMMIT,
    characterSet: CHARACTER_SET_UTF8MB4,
    capabilityFlags: CAPABILITY_FLAGS,
    authCallback
  })
  connection.serverConfig.encoding = 'latin1'
}

export interface CommandHandlers {
  runQuery: (text: string) => void
}

/** Replies to every command; commands that are not supported get an error. */
export function listenForCommands (connection: ServerConnection, { runQuery }: CommandHandlers): void {
  const sendOk = (): void => { sendReply(connection, { kind: 'ok', affectedRows: 0, insertId: 0, position: null, inTransaction: false }) }
  const refusePreparedStatement = (): void => { sendError(connection, createStatementError(UNSUPPORTED_ERRNO, 'prepared statements are not supported')) }
  connection.on('query', runQuery)
  connection.on('stmt_prepare', (text: string) => {
    if (/^\s*SET\b/i.test(text)) runQuery(text)
    else refusePreparedStatement()
  })
  connection.on('stmt_execute', refusePreparedStatement)
  connection.on('ping', sendOk)
  connection.on('init_db', sendOk)
  connection.on('quit', () => connection.stream.end())
  connection.on('packet', (_packet: unknown, isKnown: boolean) => {
    if (!isKnown) sendError(connection, createStatementError(UNKNOWN_COMMAND_ERRNO, 'unknown command'))
  })
}

/** Sends the result of a statement, unless the reply is dropped or the connection is closed. */
export function sendReply (connection: ServerConnection, reply: Reply): void {
  if (reply.kind === 'no-reply' || connection.stream.destroyed) return
  if (reply.kind === 'ok') {
    const info = reply.position === null ? '' : formatCommitInfo(reply.position)
    connection.writePacket(createOkPacket(reply.affectedRows, reply.insertId, computeStatusFlags(reply.inTransaction), info))
  } else {
    // Corking sends the whole reply with one system call instead of one per packet.
    connection.stream.cork()
    connection.writeColumns(reply.result.columns)
    for (const row of reply.result.rows) connection.writeTextRow(row)
    connection.writeEof(0, computeStatusFlags(reply.inTransaction))
    connection.stream.uncork()
  }
  connection.sequenceId = 0
}

/** Sends an error packet; characters of its message other than printable ASCII are replaced by `?`. */
export function sendError (connection: ServerConnection, error: unknown): void {
  if (connection.stream.destroyed) return
  const code = error instanceof StatementError ? Number(error.errno) : UNKNOWN_ERRNO
  const message = describeError(error)
  connection.writeError({ code, message: message.replace(/[^\x20-\x7e]/g, '?') })
  connection.sequenceId = 0
}

function computeStatusFlags (inTransaction: boolean): number {
  return inTransaction ? STATUS_AUTOCOMMIT | STATUS_IN_TRANSACTION : STATUS_AUTOCOMMIT
}

/** Creates an OK packet with an info text; the library's `writeOk` cannot send one. */
function createOkPacket (affectedRows: number, insertId: number, status: number, info: string): OutgoingPacket {
  const statusAndWarnings = Buffer.alloc(4)
  statusAndWarnings.writeUInt16LE(status, 0)
  const body = Buffer.concat([Buffer.from([0]), encodeLengthEncodedInteger(affectedRows), encodeLengthEncodedInteger(insertId), statusAndWarnings, Buffer.from(info, 'latin1')])
  const buffer = Buffer.concat([Buffer.alloc(4), body])
  return {
    _name: 'OK',
    buffer,
    length: () => buffer.length,
    writeHeader: sequenceId => {
      buffer.writeUIntLE(body.length, 0, 3)
      buffer.writeUInt8(sequenceId, 3)
    }
  }
}

/** Encodes MySQL's length-encoded integer. */
function encodeLengthEncodedInteger (value: number): Buffer {
  if (value < 0xfb) return Buffer.from([value])
  const buffer = Buffer.alloc(9)
  buffer.writeUInt8(0xfe, 0)
  buffer.writeBigUInt64LE(BigInt(value), 1)
  return buffer
}
