import type { Socket } from 'node:net'
import type { EventEmitter } from 'node:events'

/** Column definition as `mysql2` writes it. */
export interface WrittenColumn {
  catalog: string
  schema: string
  table: string
  orgTable: string
  name: string
  orgName: string
  characterSet: number
  columnLength: number
  columnType: number
  flags: number
  decimals: number
}

export interface AuthParameters {
  user: string
  database: string
  authPluginData1: Buffer
  authPluginData2: Buffer
  authToken: Buffer
}

export type AuthCallback = (parameters: AuthParameters, done: (error: Error | null, refusal?: { code: number, message: string }) => void) => void

export interface HandshakeOptions {
  protocolVersion: number
  serverVersion: string
  connectionId: number
  statusFlags: number
  characterSet: number
  capabilityFlags: number
  authCallback: AuthCallback
}

export interface ReceivedPacket {
  buffer: Buffer
  start: number
  end: number
}

/** The server side of a `mysql2` connection, as far as it is used here; the library's types do not include it. */
export interface ServerConnection extends EventEmitter {
  stream: Socket
  sequenceId: number
  serverConfig: { encoding: string }
  clientHelloReply?: { encoding: string }
  serverHandshake: (options: HandshakeOptions) => void
  writeOk: (values?: { affectedRows?: number, insertId?: number | string, serverStatus?: number }) => void
  writeError: (error: { code: number, message: string }) => void
  writeColumns: (columns: WrittenColumn[]) => void
  writeTextRow: (cells: Array<string | null>) => void
  writeEof: (warnings?: number, statusFlags?: number) => void
  close: () => void
}
