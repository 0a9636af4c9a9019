import type { StatementClass } from '@camphorpitch/wire'
import sqlParser from 'node-sql-parser'

/** How the entry VM handles a statement, judged by its text. */
export type Classification =
  | { kind: 'statement', class: StatementClass }
  /** Does not work over shared connections to an endpoint, or administers the endpoint; `reason` is sent to the client. */
  | { kind: 'unsupported', reason: string }

const MAX_CACHED_STATEMENTS = 2_000
const MAX_CACHED_TEXT_LENGTH = 4_096

const parser = new sqlParser.Parser()
const classificationCache = new Map<string, Classification>()

/** SQL functions that change nothing and do not depend on the connection. A statement that uses any other is a write. */
const readOnlyFunctions = new Set([
  'abs', 'ceil', 'ceiling', 'char_length', 'character_length', 'coalesce', 'concat', 'concat_ws', 'date', 'date_format', 'datediff',
  'day', 'dayofmonth', 'dayofweek', 'dayofyear', 'floor', 'format', 'from_unixtime', 'greatest', 'group_concat', 'hex', 'hour', 'if',
  'ifnull', 'instr', 'json_extract', 'json_unquote', 'lcase', 'least', 'left', 'length', 'locate', 'lower', 'lpad', 'ltrim', 'md5',
  'minute', 'mod', 'month', 'nullif', 'pow', 'power', 'quarter', 'replace', 'reverse', 'right', 'round', 'rpad', 'rtrim', 'second',
  'sha1', 'sha2', 'sign', 'sqrt', 'str_to_date', 'strcmp', 'substr', 'substring', 'substring_index', 'sum', 'time', 'timestampdiff',
  'trim', 'truncate', 'ucase', 'unhex', 'unix_timestamp', 'upper', 'week', 'weekday', 'year', 'printf', 'typeof', 'zeroblob'
])

/** Types of syntax tree nodes that a read must not contain: assignments and variables. */
const disallowedNodeTypes = new Set(['assign', 'var'])

const connectionStatePattern = /\b(get_lock|release_lock|release_all_locks|is_free_lock|last_insert_id|found_rows|row_count|connection_id)\s*\(/i
const temporaryTablePattern = /^(create|drop)\s+temporary\b/i
const schemaChangePattern = /^(create|drop|alter|truncate|rename)\b/i
const unsupportedPattern = /^(lock|unlock|handler|prepare|execute|deallocate|xa|load|call|kill|shutdown|reset|flush|grant|revoke|change|purge|install|uninstall|group|set)\b/i
const groupStatusPattern = /^show\s+group\b/i

/**
 * Classifies a statement by its text. A statement is a write unless it is proved to be a plain read.
 *
 * @example classifyStatement('SELECT 1', false) // { kind: 'statement', class: 'read' }
 */
export function classifyStatement (text: string, inTransaction: boolean): Classification {
  const trimmed = trimStatement(text)
  const matched = classifyByPattern(trimmed)
  if (matched !== undefined) return matched
  if (inTransaction && schemaChangePattern.test(trimmed)) {
    return { kind: 'unsupported', reason: 'a schema change would commit the open transaction; commit or roll back first' }
  }
  if (connectionStatePattern.test(trimmed) && !inTransaction) {
    return { kind: 'unsupported', reason: 'the statement depends on one connection to the endpoint; run it in a transaction' }
  }
  return classifyBySyntax(trimmed)
}

/** Removes leading white space and comments, and a trailing semicolon. Executable comments (`/*!`) are kept. */
export function trimStatement (text: string): string {
  let rest = text.trim()
  let previous = ''
  while (rest !== previous) {
    previous = rest
    rest = rest.replace(/^(--[ \t][^\n]*(\n|$)|#[^\n]*(\n|$)|\/\*(?!!)[\s\S]*?\*\/)/, '').trimStart()
  }
  return rest.replace(/\s*;\s*$/, '')
}

/** Classifies transaction control and unsupported statements; `undefined` for all others. */
function classifyByPattern (text: string): Classification | undefined {
  if (/^(begin(\s+work)?|start\s+transaction(\s+read\s+write)?)$/i.test(text)) return { kind: 'statement', class: 'begin' }
  if (/^commit(\s+work)?$/i.test(text)) return { kind: 'statement', class: 'commit' }
  if (/^rollback(\s+work)?$/i.test(text)) return { kind: 'statement', class: 'rollback' }
  if (/^(begin|start|commit)\b/i.test(text)) return { kind: 'unsupported', reason: 'this form of transaction control is not supported' }
  if (/^rollback\b/i.test(text) && !/^rollback\s+(work\s+)?to\b/i.test(text)) return { kind: 'unsupported', reason: 'this form of transaction control is not supported' }
  if (unsupportedPattern.test(text) || temporaryTablePattern.test(text) || groupStatusPattern.test(text)) {
    return { kind: 'unsupported', reason: 'the statement keeps state on one connection or administers the endpoint' }
  }
  return undefined
}

/** Classifies a statement as a read or a write by its syntax tree, with a cache of recent texts. */
function classifyBySyntax (text: string): Classification {
  const cached = classificationCache.get(text)
  if (cached !== undefined) return cached
  const classification: Classification = { kind: 'statement', class: isPlainRead(text) ? 'read' : 'write' }
  if (text.length > MAX_CACHED_TEXT_LENGTH) return classification
  if (classificationCache.size >= MAX_CACHED_STATEMENTS) classificationCache.delete(classificationCache.keys().next().value as string)
  classificationCache.set(text, classification)
  return classification
}

function isPlainRead (text: string): boolean {
  if (!/^\(*\s*select\b/i.test(text) || text.includes('/*!')) return false
  try {
    const tree = parser.astify(text, { database: 'MySQL' })
    const statements = Array.isArray(tree) ? tree : [tree]
    return statements.length === 1 && isReadOnlyNode(statements[0])
  } catch {
    return false
  }
}

interface SyntaxNode {
  type?: unknown
  name?: unknown
  into?: { keyword?: unknown } | null
  locking_read?: unknown
}

function isReadOnlyNode (value: unknown): boolean {
  if (value === null || typeof value !== 'object') return true
  if (Array.isArray(value)) return value.every(isReadOnlyNode)
  const node = value as SyntaxNode
  if (typeof node.type === 'string' && disallowedNodeTypes.has(node.type)) return false
  if (node.into?.keyword !== undefined && node.into.keyword !== null) return false
  if (node.locking_read !== undefined && node.locking_read !== null) return false
  if (node.type === 'function' && !readOnlyFunctions.has(readFunctionName(node.name))) return false
  return Object.values(value).every(isReadOnlyNode)
}

function readFunctionName (name: unknown): string {
  const parts = (name as { name?: Array<{ value?: unknown }> } | undefined)?.name
  if (!Array.isArray(parts) || parts.length !== 1) return ''
  return String(parts[0]?.value).toLowerCase()
}
