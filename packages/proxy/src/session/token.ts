import { createHmac, timingSafeEqual } from 'node:crypto'
import { BaseError, logPositionSchema, type FleetSecret } from '@camphorpitch/wire'
import { z } from 'zod'
import { recordPosition, type SessionState } from './state.ts'

/** The text given as a session token is not a valid token of this fleet and workspace. */
export const SessionTokenError = BaseError.subclass('SessionTokenError')

const TOKEN_VERSION = 'v1'
const MAX_TOKEN_LENGTH = 4_096

const payloadSchema = z.strictObject({
  workspace: z.string(),
  positions: z.record(z.string(), logPositionSchema)
})

/**
 * Creates a signed token of a session's positions, with which the client can resume the session on any VM.
 *
 * @example signToken(session, secret) // 'v1.eyJ3b3Jrc3BhY2Ui….mB1c…'
 */
export function signToken (session: SessionState, secret: FleetSecret): string {
  const payload = { workspace: session.workspace, positions: Object.fromEntries(session.positions) }
  const body = `${TOKEN_VERSION}.${Buffer.from(JSON.stringify(payload)).toString('base64url')}`
  return `${body}.${computeMac(body, secret.sessionKeys[0] as string)}`
}

/**
 * Advances the session's positions to those of a token.
 *
 * @throws SessionTokenError for a damaged or forged token, or one of another workspace
 */
export function applyToken (session: SessionState, token: string, secret: FleetSecret): void {
  const payload = verifyToken(token, secret)
  if (payload.workspace !== session.workspace) throw new SessionTokenError('the session token belongs to another workspace')
  for (const [database, position] of Object.entries(payload.positions)) recordPosition(session, database, position)
}

function verifyToken (token: string, secret: FleetSecret): z.infer<typeof payloadSchema> {
  const parts = token.split('.')
  if (token.length > MAX_TOKEN_LENGTH || parts.length !== 3 || parts[0] !== TOKEN_VERSION) throw new SessionTokenError('not a session token')
  const [version, encoded, mac] = parts as [string, string, string]
  const hasValidSignature = secret.sessionKeys.some(k => hasEqualMac(computeMac(`${version}.${encoded}`, k), mac))
  if (!hasValidSignature) throw new SessionTokenError('the session token is not signed by this fleet')
  return parsePayload(encoded)
}

function parsePayload (encoded: string): z.infer<typeof payloadSchema> {
  try {
    return payloadSchema.parse(JSON.parse(Buffer.from(encoded, 'base64url').toString('utf8')))
  } catch (cause) {
    throw new SessionTokenError('the session token is damaged', { cause })
  }
}

function computeMac (body: string, key: string): string {
  return createHmac('sha256', Buffer.from(key, 'hex')).update(body).digest('base64url')
}

function hasEqualMac (expected: string, given: string): boolean {
  const a = Buffer.from(expected)
  const b = Buffer.from(given)
  return a.length === b.length && timingSafeEqual(a, b)
}
