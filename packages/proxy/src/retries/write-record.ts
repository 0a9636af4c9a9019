import { createHash } from 'node:crypto'
import type { Cell } from '@camphorpitch/wire'

/**
 * The record of a named write, kept at the endpoint in the same transaction as the write, so that
 * either both are there or neither. Its primary key lets one attempt of a name commit.
 */
export interface WriteRecord {
  /** Digest of the statement's text. */
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

/** Names are kept apart by workspace, so that no workspace meets another's. */
export function hashWriteName (workspace: string, writeId: string): string {
  return createHash('sha256').update(`${workspace}\n${writeId}`).digest('hex')
}

export function hashStatement (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}

export function formatRecordTableCreation (): string {
  return `CREATE TABLE IF NOT EXISTS ${RECORD_TABLE} (id CHAR(64) NOT NULL PRIMARY KEY, statement CHAR(64) NOT NULL, affected_rows BIGINT NOT NULL, insert_id VARCHAR(20) NOT NULL, recorded_at BIGINT NOT NULL)`
}

/** Records the outcome that most writes have: one row, no generated id. */
export function formatRecordInsert (id: string, statement: string, recordedAtMs: number): string {
  return `INSERT INTO ${RECORD_TABLE} (id, statement, affected_rows, insert_id, recorded_at) VALUES ('${id}', '${statement}', 1, '0', ${Math.floor(recordedAtMs)})`
}

/** Replaces the outcome; `null` when the one recorded at first is right. */
export function formatRecordUpdate (id: string, affectedRows: number, insertId: number | string): string | null {
  if (affectedRows === 1 && String(insertId) === '0') return null
  return `UPDATE ${RECORD_TABLE} SET affected_rows = ${affectedRows}, insert_id = '${insertId}' WHERE id = '${id}'`
}

export function formatRecordQuery (id: string): string {
  return `SELECT statement, affected_rows, insert_id FROM ${RECORD_TABLE} WHERE id = '${id}'`
}

/** Removes records older than seven days; a name may not be repeated after that. */
export function formatRecordCleanup (nowMs: number): string {
  return `DELETE FROM ${RECORD_TABLE} WHERE recorded_at < ${Math.floor(nowMs - RECORD_RETENTION_MS)}`
}

function decodeCell (cell: Cell | undefined): string {
  return cell === null || cell === undefined ? '' : Buffer.from(cell).toString('latin1')
}

/** @example parseRecord([Buffer.from('ab'), Buffer.from('1'), Buffer.from('0')]) // { statement: 'ab', affectedRows: 1, insertId: 0 } */
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
