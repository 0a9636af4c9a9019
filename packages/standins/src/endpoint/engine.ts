import initSqlJs, { type Database, type SqlJsStatic, type Statement } from 'sql.js'
import { describeError } from '@camphorpitch/wire'
import { convertToEngine } from './dialect.ts'
import { createStatementError, StatementError, UNKNOWN_ERRNO } from './errors.ts'
import { buildResultSet, type ResultSet } from './result-set.ts'

const SYNTAX_ERRNO = 1064
const NO_SUCH_TABLE_ERRNO = 1146
const NO_SUCH_COLUMN_ERRNO = 1054
const DUPLICATE_ERRNO = 1062
const NOT_NULL_ERRNO = 1048
const TABLE_EXISTS_ERRNO = 1050

export interface WriteResult {
  affectedRows: number
  insertId: number
}

const errnoByMessage: Array<[RegExp, number]> = [
  [/no such table/, NO_SUCH_TABLE_ERRNO],
  [/no such column/, NO_SUCH_COLUMN_ERRNO],
  [/UNIQUE constraint/, DUPLICATE_ERRNO],
  [/NOT NULL constraint/, NOT_NULL_ERRNO],
  [/already exists/, TABLE_EXISTS_ERRNO],
  [/syntax error|incomplete input|unrecognized token|no such function/, SYNTAX_ERRNO]
]

function convertError (cause: unknown): Error {
  const message = describeError(cause)
  const errno = errnoByMessage.find(([pattern]) => pattern.test(message))?.[1] ?? UNKNOWN_ERRNO
  return createStatementError(errno, message, cause)
}

/**
 * The embedded database of an instance: `visible` holds what is applied, `head` the open
 * transaction of the one writer.
 */
export class Engine {
  readonly #sql: SqlJsStatic
  #visible: Database
  #head: Database | null = null
  #open = false

  constructor (sql: SqlJsStatic) {
    this.#sql = sql
    this.#visible = new sql.Database()
  }

  /** Runs a query on committed rows, or on those of the open transaction too. */
  read (text: string, ownTransaction: boolean): ResultSet {
    const database = ownTransaction && this.#open ? this.#readHead() : this.#visible
    return runQuery(database, text)
  }

  startTransaction (): void {
    this.#readHead().run('BEGIN')
    this.#open = true
  }

  /** Runs one statement in the open transaction; on an error that statement alone has no effect. */
  write (text: string): WriteResult {
    return runWrite(this.#readHead(), text)
  }

  closeTransaction (): void {
    this.#readHead().run('COMMIT')
    this.#open = false
  }

  dropTransaction (): void {
    if (!this.#open) return
    this.#open = false
    this.#readHead().run('ROLLBACK')
  }

  /** Makes a committed transaction visible to queries. */
  apply (statements: readonly string[], committedHere: boolean): void {
    for (const text of statements) runWrite(this.#visible, text)
    if (!committedHere) this.#closeHead()
  }

  /** Begins anew from the given transactions. */
  reset (transactions: ReadonlyArray<readonly string[]>): void {
    this.#closeHead()
    this.#visible.close()
    this.#visible = new this.#sql.Database()
    for (const statements of transactions) this.apply(statements, false)
  }

  close (): void {
    this.#closeHead()
    this.#visible.close()
  }

  #readHead (): Database {
    this.#head ??= new this.#sql.Database(this.#visible.export())
    return this.#head
  }

  #closeHead (): void {
    this.#head?.close()
    this.#head = null
    this.#open = false
  }
}

/** @example const engine = await createEngine() */
export async function createEngine (): Promise<Engine> {
  return new Engine(await initSqlJs())
}

function parseOne (database: Database, text: string): Statement {
  try {
    const iterator = database.iterateStatements(convertToEngine(text))
    const first = iterator.next()
    if (first.done === true) throw createStatementError(SYNTAX_ERRNO, 'empty statement')
    if (iterator.getRemainingSQL().replaceAll(/[\s;]/g, '') !== '') {
      first.value.free()
      throw createStatementError(SYNTAX_ERRNO, 'only one statement at a time')
    }
    return first.value
  } catch (error) {
    throw error instanceof StatementError ? error : convertError(error)
  }
}

function runQuery (database: Database, text: string): ResultSet {
  const statement = parseOne(database, text)
  try {
    return buildResultSet(database, statement, text)
  } catch (error) {
    throw convertError(error)
  } finally {
    statement.free()
  }
}

function runWrite (database: Database, text: string): WriteResult {
  const statement = parseOne(database, text)
  try {
    while (statement.step());
  } catch (error) {
    throw convertError(error)
  } finally {
    statement.free()
  }
  if (!/^\s*(INSERT|UPDATE|DELETE|REPLACE|WITH)\b/i.test(text)) return { affectedRows: 0, insertId: 0 }
  const insertId = /^\s*(INSERT|REPLACE)\b/i.test(text) ? Number(database.exec('SELECT last_insert_rowid()')[0]!.values[0]![0]) : 0
  return { affectedRows: database.getRowsModified(), insertId }
}
