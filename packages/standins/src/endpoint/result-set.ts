import type { Column } from '@camphorpitch/wire'
import type { Database, Statement } from 'sql.js'

type EngineValue = bigint | number | string | Uint8Array | null

/** Columns and rows of a query; cells hold the bytes of MySQL's text protocol as latin1 strings, one character per byte. */
export interface ResultSet {
  columns: Column[]
  rows: Array<Array<string | null>>
}

const BINARY_CHARSET = 63
const UTF8MB4_CHARSET = 45
const BINARY_FLAG = 128

interface ColumnType {
  columnType: number
  characterSet: number
  columnLength: number
  decimals: number
}

const typesByValueKind = {
  integer: { columnType: 0x08, characterSet: BINARY_CHARSET, columnLength: 20, decimals: 0 },
  real: { columnType: 0x05, characterSet: BINARY_CHARSET, columnLength: 22, decimals: 31 },
  text: { columnType: 0xfd, characterSet: UTF8MB4_CHARSET, columnLength: 65_535, decimals: 0 },
  blob: { columnType: 0xfc, characterSet: BINARY_CHARSET, columnLength: 0xffff_ffff, decimals: 0 },
  date: { columnType: 0x0a, characterSet: BINARY_CHARSET, columnLength: 10, decimals: 0 },
  datetime: { columnType: 0x0c, characterSet: BINARY_CHARSET, columnLength: 26, decimals: 6 },
  null: { columnType: 0x06, characterSet: BINARY_CHARSET, columnLength: 0, decimals: 0 }
} satisfies Record<string, ColumnType>

/**
 * Runs a prepared query and converts its rows to MySQL's text protocol. Integers keep all of their 64 bits.
 *
 * @param text the query, from which the declared types of its columns are found
 */
export function buildResultSet (database: Database, statement: Statement, text: string): ResultSet {
  const values: EngineValue[][] = []
  while (statement.step()) values.push(readRow(statement))
  const declared = readDeclaredTypes(database, text)
  const names = statement.getColumnNames()
  const columnTypes = names.map((name, i) => pickColumnType(declared.get(name.toLowerCase()), values, i))
  const columns = names.map((name, i) => createColumn(name, columnTypes[i]!))
  const rows = values.map(row => row.map((value, i) => formatCell(value, columnTypes[i]!)))
  return { columns, rows }
}

/** Creates a result with one row and one text column, such as the reply to a group statement. */
export function createTextResult (name: string, value: string): ResultSet {
  return { columns: [createColumn(name, typesByValueKind.text)], rows: [[formatCell(value, typesByValueKind.text)]] }
}

function readRow (statement: Statement): EngineValue[] {
  const get = statement.get as (params: null, config: { useBigInt: boolean }) => EngineValue[]
  return get.call(statement, null, { useBigInt: true })
}

/** Reads the declared types by column name; empty unless the query names a single table. */
function readDeclaredTypes (database: Database, text: string): Map<string, string> {
  const table = /\bFROM\s+[`"]?(\w+)[`"]?(?!\s*[,.(])/i.exec(text)?.[1]
  if (table === undefined || /\bJOIN\b/i.test(text)) return new Map()
  const result = database.exec(`PRAGMA table_info("${table}")`)[0]
  return new Map(result?.values.map(row => [String(row[1]).toLowerCase(), String(row[2]).toUpperCase()]))
}

function pickColumnType (declared: string | undefined, rows: readonly EngineValue[][], index: number): ColumnType {
  const firstValue = rows.find(row => row[index] !== null)?.[index] ?? null
  const byDeclaration = declared === undefined ? undefined : pickDeclaredType(declared, firstValue)
  return byDeclaration ?? pickValueType(rows, index, firstValue)
}

function pickDeclaredType (declared: string, firstValue: EngineValue): ColumnType | undefined {
  const decimal = /^(?:DECIMAL|NUMERIC)(?:\((\d+)(?:\s*,\s*(\d+))?\))?/.exec(declared)
  if (decimal !== null) {
    const decimals = Number(decimal[2] ?? 0)
    return { columnType: 0xf6, characterSet: BINARY_CHARSET, columnLength: Number(decimal[1] ?? 10) + 2, decimals }
  }
  if (declared === 'DATE') return typesByValueKind.date
  if (/^(DATETIME|TIMESTAMP)/.test(declared)) return typesByValueKind.datetime
  if (firstValue !== null) return undefined
  if (/INT/.test(declared)) return typesByValueKind.integer
  if (/CHAR|TEXT/.test(declared)) return typesByValueKind.text
  if (/BLOB|BINARY/.test(declared)) return typesByValueKind.blob
  return /REAL|FLOA|DOUB/.test(declared) ? typesByValueKind.real : undefined
}

/** A column whose rows differ in type is sent as binary if any value is binary, else as text if any is text, else as real. */
function pickValueType (rows: readonly EngineValue[][], index: number, firstValue: EngineValue): ColumnType {
  if (firstValue === null) return typesByValueKind.null
  const kinds = new Set(rows.map(row => readValueKind(row[index]!)))
  kinds.delete('null')
  if (kinds.has('blob')) return typesByValueKind.blob
  if (kinds.size === 1) return typesByValueKind[[...kinds][0]!]
  return kinds.has('text') ? typesByValueKind.text : typesByValueKind.real
}

function readValueKind (value: EngineValue): keyof typeof typesByValueKind {
  if (value === null) return 'null'
  if (typeof value === 'bigint') return 'integer'
  if (typeof value === 'number') return 'real'
  return typeof value === 'string' ? 'text' : 'blob'
}

function formatCell (value: EngineValue, type: ColumnType): string | null {
  if (value === null) return null
  if (value instanceof Uint8Array) return Buffer.from(value.buffer, value.byteOffset, value.length).toString('latin1')
  if (type.columnType === 0xf6 && typeof value !== 'string') return formatDecimal(value, type.decimals)
  return Buffer.from(String(value), 'utf8').toString('latin1')
}

function formatDecimal (value: bigint | number, decimals: number): string {
  if (typeof value === 'number') return value.toFixed(decimals)
  return decimals === 0 ? String(value) : `${value}.${'0'.repeat(decimals)}`
}

function createColumn (name: string, type: ColumnType): Column {
  const isBinary = type.characterSet === BINARY_CHARSET
  const encodedName = isBinary ? Buffer.from(name, 'utf8').toString('latin1') : name
  const flags = isBinary ? BINARY_FLAG : 0
  return { name: encodedName, orgName: encodedName, table: '', orgTable: '', schema: '', catalog: 'def', flags, ...type }
}
