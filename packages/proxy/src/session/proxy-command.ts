/** A statement to the proxy itself, which the entry VM handles without an endpoint. */
export type ProxyCommand =
  | { kind: 'resumeSession', token: string }
  | { kind: 'readSession' }
  | { kind: 'setMaxAge', maxAgeMs: number }
  | { kind: 'setWriteId', writeId: string }
  | { kind: 'useDatabase', database: string }
  | { kind: 'ignore' }
  | { kind: 'invalid', reason: string }

const WRITE_ID_PATTERN = /^[\x21-\x7e]{1,128}$/
const MAX_ALLOWED_AGE_MS = 86_400_000

const sessionPattern = /^set\s+@camphorpitch_session\s*:?=\s*'([^']*)'$/i
const maxAgePattern = /^set\s+@camphorpitch_max_age_ms\s*:?=\s*'?([^']*?)'?$/i
const writeIdPattern = /^set\s+@camphorpitch_request_id\s*:?=\s*'([^']*)'$/i
const readSessionPattern = /^select\s+@camphorpitch_session$/i
const usePattern = /^use\s+`?([\w-]+)`?$/i
/** `SET` statements that drivers send on connect and that request what the proxy does anyway. */
const ignoredSetPattern = /^set\s+(names\s+'?utf8(mb3|mb4)?'?(\s+collate\s+'?\w+'?)?|(session\s+|@@(session\.)?)?autocommit\s*=\s*(1|on|true)|character_set_results\s*=\s*null)$/i

/**
 * Parses a statement to the proxy itself, such as `USE` or a `SET` of one of its variables.
 *
 * @returns `undefined` for a statement that must run on an endpoint
 * @example parseProxyCommand('SET @camphorpitch_max_age_ms = 5000') // { kind: 'setMaxAge', maxAgeMs: 5000 }
 */
export function parseProxyCommand (text: string): ProxyCommand | undefined {
  if (readSessionPattern.test(text)) return { kind: 'readSession' }
  const use = usePattern.exec(text)
  if (use !== null) return { kind: 'useDatabase', database: use[1] as string }
  if (!/^set\b/i.test(text)) return undefined
  if (ignoredSetPattern.test(text)) return { kind: 'ignore' }
  const token = sessionPattern.exec(text)
  if (token !== null) return { kind: 'resumeSession', token: token[1] as string }
  const age = maxAgePattern.exec(text)
  if (age !== null) return parseMaxAge(age[1] as string)
  const writeId = writeIdPattern.exec(text)
  if (writeId !== null) return parseWriteId(writeId[1] as string)
  return { kind: 'invalid', reason: 'SET of this variable is not supported' }
}

function parseMaxAge (text: string): ProxyCommand {
  const maxAgeMs = Number(text)
  if (!/^\d+$/.test(text) || maxAgeMs > MAX_ALLOWED_AGE_MS) return { kind: 'invalid', reason: `@camphorpitch_max_age_ms: expected a whole number from 0 to ${MAX_ALLOWED_AGE_MS}` }
  return { kind: 'setMaxAge', maxAgeMs }
}

function parseWriteId (text: string): ProxyCommand {
  if (!WRITE_ID_PATTERN.test(text)) return { kind: 'invalid', reason: '@camphorpitch_request_id: expected 1 to 128 printable ASCII characters' }
  return { kind: 'setWriteId', writeId: text }
}
