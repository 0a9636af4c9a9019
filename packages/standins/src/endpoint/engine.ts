import initSqlJs, { type Database, type SqlJsStatic, type Statement } from 'sql.js'
import { describeError } from '@camphorpitch/wire'
import { convertToEngine } from './dialect.ts'
import { createStatementError, StatementError, UNKNOWN_ERRNO } from './errors.ts'
import { buildResultSet, type ResultSet } from './result-set.ts'

const SYNTAX_ERRNO = 1064
const NO_SUCH_TABLE_ERRNO = 1146
const NO_SUCH_COLUMN_ERRNO = 1054
const DUPLICATE_KEY_ERRNO = 1062
const NOT_NULL_ERRNO = 1048
const TABLE_EXISTS_ERRNO = 1050

export interface WriteResult {
  affectedRows: number
  insertId: number
}

/** Maps the engine's error messages to MySQL error numbers; the first match counts. */
const errnoByMessage: Array<[RegExp, number]> = [
  [/no such table/, NO_SUCH_TABLE_ERRNO],
  [/no such column/, NO_SUCH_COLUMN_ERRNO],
  [/UNIQUE constraint/, DUPLICATE_KEY_ERRNO],
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
 * The embedded database of an instance. Queries read a database of the applied transactions; the open transaction
 * of the only writer runs on a copy of it, the writer's database.
 */
export class Engine {
  readonly #sql: SqlJsStatic
  #appliedDatabase: Database
  #writerDatabase: Database | null = null
  #hasOpenTransaction = false

  constructor (sql: SqlJsStatic) {
    this.#sql = sql
    this.#appliedDatabase = new sql.Database()
  }

  /** Runs a query on the applied rows, or with `inOpenTransaction` on those that the open transaction sees. */
  read (text: string, inOpenTransaction: boolean): ResultSet {
    const database = inOpenTransaction && this.#hasOpenTransaction ? this.#openWriterDatabase() : this.#appliedDatabase
    return runQuery(database, text)
  }

  startTransaction (): void {
    this.#openWriterDatabase().run('BEGIN')
    this.#hasOpenTransaction = true
  }

  /**
   * Runs one statement in the open transaction. A statement that fails has no effect; the transaction stays open.
   *
   * @throws StatementError
   */
  write (text: string): WriteResult {
    return runWrite(this.#openWriterDatabase(), text)
  }

  commitTransaction (): void {
    this.#openWriterDatabase().run('COMMIT')
    this.#hasOpenTransaction = false
  }

  rollbackTransaction (): void {
    if (!this.#hasOpenTransaction) return
    this.#hasOpenTransaction = false
    this.#openWriterDatabase().run('ROLLBACK')
  }

  /**
   * Makes a committed transaction visible to queries.
   *
   * @param wasCommittedByWriter whether the writer's database has the transaction already; otherwise that database
   *   is outdated and gets closed
   */
  apply (statements: readonly string[], wasCommittedByWriter: boolean): void {
    for (const text of statements) runWrite(this.#appliedDatabase, text)
    if (!wasCommittedByWriter) this.#closeWriterDatabase()
  }

  /** Replaces the contents by the result of the given transactions, applied in order to an empty database. */
  restore (transactions: ReadonlyArray<readonly string[]>): void {
    this.#closeWriterDatabase()
    this.#appliedDatabase.close()
    this.#appliedDatabase = new this.#sql.Database()
    for (const statements of transactions) this.apply(statements, false)
  }

  close (): void {
    this.#closeWriterDatabase()
    this.#appliedDatabase.close()
  }

  #openWriterDatabase (): Database {
    this.#writerDatabase ??= new this.#sql.Database(this.#appliedDatabase.export())
    return this.#writerDatabase
  }

  #closeWriterDatabase (): void {
    this.#writerDatabase?.close()
    this.#writerDatabase = null
    this.#hasOpenTransaction = false
  }
}

/** Creates an engine with an empty database in memory. @example const engine = await createEngine() */
export async function createEngine (): Promise<Engine> {
  return new Engine(await initSqlJs())
}

function parseSingleStatement (database: Database, text: string): Statement {
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
  const statement = parseSingleStatement(database, text)
  try {
    return buildResultSet(database, statement, text)
  } catch (error) {
    throw convertError(error)
  } finally {
    statement.free()
  }
}

function runWrite (database: Database, text: string): WriteResult {
  const statement = parseSingleStatement(database, text)
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
