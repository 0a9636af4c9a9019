import type { MemberRecord } from './state.ts'

/** Lists the first `count` members clockwise from the position `hash` for which `isWanted` holds. */
export function listSuccessors (ring: readonly MemberRecord[], hash: number, count: number, isWanted: (m: MemberRecord) => boolean): MemberRecord[] {
  return listAlongRing(ring, findRingIndex(ring, hash), 1, count, isWanted)
}

/** Whether a VM at `selfHash` is one of the `count` nearest members before `target` for which `isWanted` holds. */
export function isPredecessor (ring: readonly MemberRecord[], selfHash: number, target: MemberRecord, count: number, isWanted: (m: MemberRecord) => boolean): boolean {
  const closerMembers = listAlongRing(ring, findRingIndex(ring, target.hash) - 1, -1, count, m => {
    return isWanted(m) && m.vm !== target.vm && measureClockwiseDistance(m.hash, target.hash) < measureClockwiseDistance(selfHash, target.hash)
  })
  return closerMembers.length < count
}

function listAlongRing (ring: readonly MemberRecord[], startIndex: number, direction: 1 | -1, count: number, isWanted: (m: MemberRecord) => boolean): MemberRecord[] {
  const found: MemberRecord[] = []
  for (let i = 0; i < ring.length && found.length < count; i++) {
    const m = ring[(startIndex + i * direction + 2 * ring.length) % ring.length]!
    if (isWanted(m)) found.push(m)
  }
  return found
}

/** Index of the first member at or after `hash`, by binary search. */
function findRingIndex (ring: readonly MemberRecord[], hash: number): number {
  let low = 0
  let high = ring.length
  while (low < high) {
    const middle = (low + high) >>> 1
    if (ring[middle]!.hash < hash) low = middle + 1
    else high = middle
  }
  return low
}

/** Clockwise distance on the ring of 32-bit hashes. */
function measureClockwiseDistance (from: number, to: number): number {
  return (to - from) >>> 0
}
