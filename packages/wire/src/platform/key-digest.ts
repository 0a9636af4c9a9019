import { createHash } from 'node:crypto'

/**
 * Computes the digest that is stored instead of a key: hexadecimal SHA1(SHA1(key)), as `mysql_native_password` stores it.
 *
 * @example computeKeyDigest('secret') // '14e65567abdb5135d0cfd9a70b3032c179a49ee7'
 */
export function computeKeyDigest (key: string): string {
  const stage1 = createHash('sha1').update(key).digest()
  return createHash('sha1').update(stage1).digest('hex')
}
