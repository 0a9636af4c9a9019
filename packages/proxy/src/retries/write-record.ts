import { createHash } from 'node:crypto'
import type { Cell } from '@camphorpitch/wire'

/**
 * The record of a named write, which is a write with a request id. It is inserted at the endpoint in
 * the same transaction as the write, so that both commit or neither does. Its primary key lets only
 * one attempt with the same request id commit.
 */
export interface WriteRecord {
  /** Digest of the statement's text; shows when a request id is used again for another statement. */
  statement: string
  affectedRows: number
  insertId: number | string
}

const RECORD_TABLE = 'camphorpitch_write'
const RECORD_RETENTION_MS = 7 * 24 * 3_600_000
/** MySQL's `ER_NO_SUCH_TABLE`. */
const NO_SUCH_TABLE_ERRNO = 1146
/** MySQL's `ER_DUP_ENTRY`. */
const DUPLICATE_KEY_ERRNO = 1062

/** Returns the record's primary key. It includes the workspace, so that equal request ids of two workspaces do not collide. */
export function hashWriteName (workspace: string, writeId: string): string {
  return createHash('sha256').update(`${workspace}\n${writeId}`).digest('hex')
}

export function hashStatement (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}

export function formatRecordTableCreation (): string {
  return `CREATE TABLE IF NOT EXISTS ${RECORD_TABLE} (id CHAR(64) NOT NULL PRIMARY KEY, statement CHAR(64) NOT NULL, affected_rows BIGINT NOT NULL, insert_id VARCHAR(20) NOT NULL, recorded_at BIGINT NOT NULL)`
}

/** Formats the insert of a record with the most usual outcome, one affected row and no generated id, which then needs no update. */
export function formatRecordInsert (id: string, statement: string, recordedAtMs: number): string {
  return `INSERT INTO ${RECORD_TABLE} (id, statement, affected_rows, insert_id, recorded_at) VALUES ('${id}', '${statement}', 1, '0', ${Math.floor(recordedAtMs)})`
}

/** Formats the update of a record to its actual outcome; `null` when the inserted outcome is already right. */
export function formatRecordUpdate (id: string, affectedRows: number, insertId: number | string): string | null {
  if (affectedRows === 1 && String(insertId) === '0') return null
  return `UPDATE ${RECORD_TABLE} SET affected_rows = ${affectedRows}, insert_id = '${insertId}' WHERE id = '${id}'`
}

export function formatRecordQuery (id: string): string {
  return `SELECT statement, affected_rows, insert_id FROM ${RECORD_TABLE} WHERE id = '${id}'`
}

/** Formats the deletion of records older than seven days; a write must not be repeated under its request id after that. */
export function formatRecordCleanup (nowMs: number): string {
  return `DELETE FROM ${RECORD_TABLE} WHERE recorded_at < ${Math.floor(nowMs - RECORD_RETENTION_MS)}`
}

function decodeCell (cell: Cell | undefined): string {
  return cell === null || cell === undefined ? '' : Buffer.from(cell).toString('latin1')
}

/** Parses a row of the record query. An insert id that is no safe integer stays a string. @example parseRecord([Buffer.from('ab'), Buffer.from('1'), Buffer.from('0')]) // { statement: 'ab', affectedRows: 1, insertId: 0 } */
export function parseRecord (row: readonly Cell[]): WriteRecord {
  const insertId = decodeCell(row[2])
  const isSafeInteger = Number.isSafeInteger(Number(insertId))
  return { statement: decodeCell(row[0]), affectedRows: Number(decodeCell(row[1])), insertId: isSafeInteger ? Number(insertId) : insertId }
}

export function isMissingTable (errno: number): boolean {
  return errno === NO_SUCH_TABLE_ERRNO
}

export function isDuplicateKey (errno: number): boolean {
  return errno === DUPLICATE_KEY_ERRNO
}
