import { hashName, hashPair } from '@camphorpitch/wire'
import type { MemberState } from '../fleet/members.ts'
import type { VmEntry } from '../fleet/messages.ts'

/** Up to this many VMs, each counts a part of every limit. Source: letter 1, small sites run 8 to 9 VMs. */
export const MOST_COUNTING_ALL = 9
/** VMs that count a workspace's limit in a larger fleet: one lost leaves most of the limit, and each part holds many operations. */
export const COUNTING_VMS = 3

/**
 * Chooses the VMs that count a workspace's limit, by rendezvous hashing: first one of each region,
 * so that most VMs have one nearby, then one of each failure domain.
 */
export function pickCountingVms (vms: readonly VmEntry[], workspace: string): VmEntry[] {
  const key = hashName(workspace)
  const weighed = vms.map(entry => ({ entry, weight: hashPair(key, hashName(entry.vm)) })).sort((a, b) => a.weight - b.weight)
  const picked: VmEntry[] = []
  const isElsewhere = [
    (e: VmEntry): boolean => !picked.some(p => p.region === e.region),
    (e: VmEntry): boolean => !picked.some(p => p.failureDomain === e.failureDomain),
    (e: VmEntry): boolean => !picked.includes(e)
  ]
  for (const isWanted of isElsewhere) {
    for (const { entry } of weighed) if (picked.length < COUNTING_VMS && isWanted(entry)) picked.push(entry)
  }
  return picked
}

/** Knows which VMs count which limit, as this VM sees the fleet. */
export class CountingVms {
  readonly #members: MemberState
  readonly #picked = new Map<string, VmEntry[]>()
  #pickedAt = -1

  constructor (members: MemberState) {
    this.#members = members
  }

  /** Whether the fleet is so large that few VMs count each limit. */
  get areFew (): boolean {
    return this.#members.members.size + 1 > MOST_COUNTING_ALL
  }

  isCounting (workspace: string): boolean {
    return !this.areFew || this.#pick(workspace).some(e => e.vm === this.#members.self.vm)
  }

  /** Those that count a workspace's limit in a large fleet, nearest first. */
  listNearest (workspace: string): VmEntry[] {
    return [...this.#pick(workspace)].sort((a, b) => this.#measureDistance(a) - this.#measureDistance(b))
  }

  #measureDistance (entry: VmEntry): number {
    const { self } = this.#members
    if (entry.vm === self.vm) return 0
    if (entry.failureDomain === self.failureDomain) return 1
    return entry.region === self.region ? 2 : 3
  }

  #pick (workspace: string): VmEntry[] {
    const { self, members, changes } = this.#members
    if (this.#pickedAt !== changes) {
      this.#picked.clear()
      this.#pickedAt = changes
    }
    let picked = this.#picked.get(workspace)
    if (picked === undefined) {
      picked = pickCountingVms([self, ...[...members.values()].map(m => m.entry)], workspace)
      this.#picked.set(workspace, picked)
    }
    return picked
  }
}
