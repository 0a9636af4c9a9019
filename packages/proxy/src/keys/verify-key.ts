import { createHash, timingSafeEqual } from 'node:crypto'
import type { KeyRing } from '@camphorpitch/wire'

const DIGEST_BYTES = 20

/** What a client sent at login to prove that it has a key. */
export interface KeyProof {
  workspace: string
  /** The 20 random bytes that the server sent to the client. */
  nonce: Uint8Array
  /** SHA1(key) XOR SHA1(nonce + SHA1(SHA1(key))), as `mysql_native_password` computes it. */
  token: Uint8Array
}

/**
 * Finds the key of a workspace from which a token was made.
 *
 * The key itself is not needed: SHA1(key) is computed from the token and the stored digest
 * SHA1(SHA1(key)), and must hash to that digest. All keys of the ring are tried, so that the time
 * taken does not reveal which one matched.
 *
 * @returns the id of the key; `undefined` if there is none
 *
 * @example verifyKey({ workspace: 'brass-lab', nonce, token }, keyRing) // 'k-3f09ab'
 */
export function verifyKey ({ workspace, nonce, token }: KeyProof, keyRing: KeyRing | undefined): string | undefined {
  if (keyRing === undefined || keyRing.workspace !== workspace || token.length !== DIGEST_BYTES) return undefined
  const matching = keyRing.keys.filter(k => isTokenOfKey(Buffer.from(k.digest, 'hex'), nonce, token))
  return matching[0]?.id
}

function isTokenOfKey (digest: Buffer, nonce: Uint8Array, token: Uint8Array): boolean {
  const mask = computeSha1(nonce, digest)
  const stage1Hash = token.map((byte, i) => byte ^ (mask[i] ?? 0))
  return timingSafeEqual(computeSha1(stage1Hash), digest)
}

function computeSha1 (...parts: Uint8Array[]): Buffer {
  const hash = createHash('sha1')
  for (const p of parts) hash.update(p)
  return hash.digest()
}
