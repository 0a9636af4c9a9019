/** Converts the parts of MySQL's dialect that the embedded engine (SQLite) does not understand. */

export type StatementKind = 'read' | 'locking-read' | 'write' | 'begin' | 'commit' | 'rollback' | 'set' | 'group'

const escapes: Record<string, string> = { n: '\n', r: '\r', t: '\t', b: '\b', 0: '\0', Z: '\x1a' }
const FOR_UPDATE = /\s+FOR\s+UPDATE\s*;?\s*$/i
const LEADING_COMMENTS = /^(?:\s+|\/\*[\s\S]*?\*\/|--[^\n]*(?:\n|$)|#[^\n]*(?:\n|$))*/

function readFirstWord (text: string): string {
  return /^[A-Za-z]+/.exec(text.replace(LEADING_COMMENTS, ''))?.[0].toUpperCase() ?? ''
}

const statementKindsByFirstWord: Record<string, StatementKind> = {
  SELECT: 'read', VALUES: 'read', EXPLAIN: 'read', BEGIN: 'begin', START: 'begin', COMMIT: 'commit', ROLLBACK: 'rollback', SET: 'set', GROUP: 'group'
}

/** Determines the kind of a statement from its text. @example readStatementKind('START TRANSACTION') // 'begin' */
export function readStatementKind (text: string): StatementKind {
  const word = readFirstWord(text)
  if (word === 'SELECT' && FOR_UPDATE.test(text)) return 'locking-read'
  if (word === 'WITH') return /\b(INSERT|UPDATE|DELETE|REPLACE)\b/i.test(text) ? 'write' : 'read'
  if (word === 'SHOW' && /^SHOW\s+GROUP\s+STATUS/i.test(text.trim())) return 'group'
  return statementKindsByFirstWord[word] ?? 'write'
}

/** Converts a MySQL statement for the engine: rewrites strings with backslash escapes and removes `FOR UPDATE`. */
export function convertToEngine (text: string): string {
  const withoutLock = text.replace(FOR_UPDATE, '')
  return withoutLock.replace(/'(?:[^'\\]|\\[\s\S]|'')*'|"(?:[^"\\]|\\[\s\S]|"")*"|`[^`]*`|--[^\n]*|\/\*[\s\S]*?\*\//g, token => {
    if (token[0] === "'" || token[0] === '"') return convertString(token)
    return token
  })
}

function convertString (token: string): string {
  const quote = token[0]!
  const doubled = quote + quote
  const value = token.slice(1, -1).replace(/\\([\s\S])|''|""/g, (match, escaped: string | undefined) => {
    if (escaped !== undefined) return escapes[escaped] ?? escaped
    return match === doubled ? quote : match
  })
  if (value.includes('\0')) return `CAST(X'${Buffer.from(value, 'utf8').toString('hex')}' AS TEXT)`
  return `'${value.replaceAll("'", "''")}'`
}
