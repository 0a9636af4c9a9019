import { hashName, hashPair } from '@camphorpitch/wire'
import { listSilentToMajority, type MemberState } from '../fleet/members.ts'
import type { VmEntry } from '../fleet/message-schemas.ts'

/**
 * Number of VMs that count a workspace's limit, in a fleet of any size: a change of the members then moves one share at most. If one of them
 * is lost, most of the limit can still be used, and each share is large enough to hold many operations.
 */
export const COUNTING_VMS_PER_LIMIT = 3

/**
 * Picks the VMs that count a workspace's limit, by rendezvous hashing: first one VM per region, so that most VMs have a
 * counting VM nearby, then one per failure domain, then any.
 *
 * @returns at most `COUNTING_VMS_PER_LIMIT` entries; the same for every order of `vms`
 */
export function pickCountingVms (vms: readonly VmEntry[], workspace: string): VmEntry[] {
  return pickVms(vms, workspace, COUNTING_VMS_PER_LIMIT)
}

/** Picks up to `count` VMs by rendezvous hashing of `key`, from different regions and failure domains as far as possible. */
export function pickVms (vms: readonly VmEntry[], key: string, count: number): VmEntry[] {
  const keyHash = hashName(key)
  const weightedEntries = vms.map(entry => ({ entry, weight: hashPair(keyHash, hashName(entry.vm)) })).sort((a, b) => a.weight - b.weight)
  const picked: VmEntry[] = []
  const preferences = [
    (e: VmEntry): boolean => !picked.some(p => p.region === e.region),
    (e: VmEntry): boolean => !picked.some(p => p.failureDomain === e.failureDomain),
    (e: VmEntry): boolean => !picked.includes(e)
  ]
  for (const isPreferred of preferences) {
    for (const { entry } of weightedEntries) if (picked.length < count && isPreferred(entry)) picked.push(entry)
  }
  return picked
}

/** Tells which VMs count which limit, based on the fleet members that this VM knows. Caches the result until the members change. */
export class CountingVms {
  readonly #members: MemberState
  readonly #pickedByWorkspace = new Map<string, VmEntry[]>()
  #pickedAtChange = -1
  #excluded: readonly string[] = []

  constructor (members: MemberState) {
    this.#members = members
  }

  /** Leaves out the VMs that a majority has found silent: they do not count any more, and others take their shares. Called in each round of polls. */
  update (nowMs: number): void {
    const excluded = listSilentToMajority(this.#members, nowMs)
    if (excluded.join() === this.#excluded.join()) return
    this.#excluded = excluded
    this.#pickedByWorkspace.clear()
  }

  /** Whether this VM counts the workspace's limit. */
  isCounting (workspace: string): boolean {
    return this.#pick(workspace).some(e => e.vm === this.#members.self.vm)
  }

  /** Lists the VMs that count a workspace's limit: this VM first, then by failure domain and region, the nearest first. */
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
    if (this.#pickedAtChange !== changes) {
      this.#pickedByWorkspace.clear()
      this.#pickedAtChange = changes
    }
    let picked = this.#pickedByWorkspace.get(workspace)
    if (picked === undefined) {
      picked = pickCountingVms([self, ...[...members.values()].map(m => m.entry)].filter(e => !this.#excluded.includes(e.vm)), workspace)
      this.#pickedByWorkspace.set(workspace, picked)
    }
    return picked
  }
}
