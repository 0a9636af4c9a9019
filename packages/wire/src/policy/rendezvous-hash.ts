const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/** Hashes a name with 32-bit FNV-1a over its UTF-16 code units, then with a finalizer that distributes similar names evenly. */
export function hashName (name: string): number {
  let hash = FNV_OFFSET
  for (let i = 0; i < name.length; i++) {
    hash = Math.imul(hash ^ name.charCodeAt(i), FNV_PRIME)
  }
  return hashBits(hash)
}

/**
 * Computes the weight of a node for a key in rendezvous hashing (Thaler and Ravishankar, 1998), from the hashes of both.
 *
 * @example hashPair(hashName('orders'), hashName('vm-1')) // an unsigned 32-bit integer
 */
export function hashPair (key: number, node: number): number {
  return hashBits(hashBits(key ^ 0x9e3779b9) ^ node)
}

/** The 32-bit finalizer of MurmurHash3. */
function hashBits (value: number): number {
  let hash = value
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}
