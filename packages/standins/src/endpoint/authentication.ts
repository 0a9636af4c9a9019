import { createHash } from 'node:crypto'

function hashSha1 (...parts: Buffer[]): Buffer {
  const hash = createHash('sha1')
  for (const p of parts) hash.update(p)
  return hash.digest()
}

/** Computes the digest SHA1(SHA1(password)) that a token is verified against. @example computeDigest('key').length // 20 */
export function computeDigest (password: string): Buffer {
  return hashSha1(hashSha1(Buffer.from(password, 'utf8')))
}

/**
 * Verifies a `mysql_native_password` token against a digest.
 *
 * The token is SHA1(password) XOR SHA1(nonce + digest). An empty password matches only a missing or empty token.
 */
export function verifyToken (token: Buffer | undefined, nonce: Buffer, password: string): boolean {
  if (password === '') return token === undefined || token.length === 0
  if (token?.length !== 20) return false
  const digest = computeDigest(password)
  const mask = hashSha1(nonce, digest)
  const passwordHash = Buffer.from(token.map((byte, i) => byte ^ mask[i]!))
  return hashSha1(passwordHash).equals(digest)
}
