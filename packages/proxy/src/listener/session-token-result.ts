import type { Column } from '@camphorpitch/wire'
import type { ClientSocket } from './client-socket.ts'

const VAR_STRING_TYPE = 253
const UTF8MB4_GENERAL_CI = 45
const TOKEN_COLUMN_LENGTH = 4_096

const tokenColumn: Column = {
  name: '@camphorpitch_session',
  orgName: '',
  table: '',
  orgTable: '',
  schema: '',
  catalog: 'def',
  characterSet: UTF8MB4_GENERAL_CI,
  columnLength: TOKEN_COLUMN_LENGTH,
  columnType: VAR_STRING_TYPE,
  flags: 0,
  decimals: 0
}

/** Sends the result of `SELECT @camphorpitch_session`: one row with the session token. */
export function sendToken (socket: ClientSocket, token: string): void {
  socket.sendColumns([tokenColumn])
  socket.sendRows([[Buffer.from(token)]])
  socket.sendEnd(false)
}
