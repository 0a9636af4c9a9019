/** A VM of the fleet as this VM knows it. */
export interface Member {
  vm: string
  host: string
  peerPort: number
  failureDomain: string
  region: string
  /** Incarnation of the VM's process, as in its hello. */
  incarnation: number
  /** `suspected` members keep the databases placed on them until their death is confirmed. */
  state: 'live' | 'suspected' | 'leaving' | 'dead'
}

/** Read access to the fleet's members for other slices. */
export abstract class MembershipView {
  /** All members that are not dead, this VM included. */
  abstract listMembers (): readonly Member[]
  abstract findMember (vm: string): Member | undefined
  /** Calls `listener` after each change of a member. */
  abstract subscribe (listener: () => void): void
}

/** Lists the members that may be given new work: live and suspected ones. */
export function listPlaceableMembers (members: readonly Member[]): Member[] {
  return members.filter(m => m.state === 'live' || m.state === 'suspected')
}
