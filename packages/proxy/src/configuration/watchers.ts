import { hashName, hashPair } from '@camphorpitch/wire'
import { listPlaceableMembers, type Member } from '../membership/membership-view.ts'

/** Maximum number of VMs that watch the object service at the same time. */
export const MAX_WATCHERS = 9

/**
 * Selects the VMs that watch the object service, by rendezvous hashing: the highest ranked VM of
 * each failure domain first, then the second highest, up to `maxWatchers`.
 *
 * @example selectWatchers(members).has('vm-1')
 */
export function selectWatchers (members: readonly Member[], maxWatchers = MAX_WATCHERS): Set<string> {
  const placeable = listPlaceableMembers(members)
  const key = hashName('configuration')
  const weights = new Map(placeable.map(m => [m.vm, hashPair(key, hashName(m.vm))]))
  const sorted = placeable.toSorted((a, b) => (weights.get(b.vm) ?? 0) - (weights.get(a.vm) ?? 0) || (a.vm < b.vm ? -1 : 1))
  const countByDomain = new Map<string, number>()
  const ranked = sorted.map(m => {
    const rank = countByDomain.get(m.failureDomain) ?? 0
    countByDomain.set(m.failureDomain, rank + 1)
    return { vm: m.vm, rank }
  })
  ranked.sort((a, b) => a.rank - b.rank)
  return new Set(ranked.slice(0, maxWatchers).map(r => r.vm))
}
