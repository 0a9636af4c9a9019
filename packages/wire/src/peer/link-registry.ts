import type { Clock } from '../process/clock.ts'
import type { Envelope } from './envelope.ts'
import type { PeerLink } from './link.ts'

/** Time without anything received after a send, after which the peer is pinged. */
const PING_DELAY_MS = 1_000
/** Time without anything received after a send, after which the link is considered broken. */
const RESPONSE_TIMEOUT_MS = 3_000
/** Links that are unused for this long are closed. It is above the maximum statement timeout. */
const IDLE_LINK_TIMEOUT_MS = 900_000

interface LinkActivity {
  link: PeerLink
  lastReceivedAtMs: number
  lastUsedAtMs: number
  /** Time of the oldest send since which nothing was received from the peer; `null` if there is none. */
  unansweredSinceMs: number | null
}

/** The open links to peers. Tracks when each was last used, and detects broken ones. */
export class LinkRegistry {
  readonly #clock: Clock
  readonly #links = new Map<string, LinkActivity[]>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  addLink (link: PeerLink): void {
    const nowMs = this.#clock.readNow()
    const activity: LinkActivity = { link, lastReceivedAtMs: nowMs, lastUsedAtMs: nowMs, unansweredSinceMs: null }
    link.subscribePong(() => this.recordReceived(link))
    const existing = this.#links.get(link.peer.vm) ?? []
    existing.push(activity)
    this.#links.set(link.peer.vm, existing)
  }

  removeLink (link: PeerLink): void {
    const remaining = (this.#links.get(link.peer.vm) ?? []).filter(a => a.link !== link)
    if (remaining.length > 0) this.#links.set(link.peer.vm, remaining)
    else this.#links.delete(link.peer.vm)
  }

  /** Returns the link to use for a VM: the oldest open one. */
  findLink (vm: string): PeerLink | undefined {
    return this.#links.get(vm)?.find(a => a.link.isOpen)?.link
  }

  listLinks (vm: string): PeerLink[] {
    return (this.#links.get(vm) ?? []).map(a => a.link)
  }

  listAllLinks (): PeerLink[] {
    return [...this.#links.values()].flat().map(a => a.link)
  }

  countLinks (): number {
    return this.listAllLinks().length
  }

  /** Sends an envelope, or terminates the link if the peer reads too slowly, so that the send buffer is full. */
  send (link: PeerLink, envelope: Envelope): void {
    const activity = this.#findActivity(link)
    if (activity === undefined) return
    const nowMs = this.#clock.readNow()
    activity.lastUsedAtMs = nowMs
    activity.unansweredSinceMs ??= nowMs
    if (!link.send(envelope)) link.terminate()
  }

  /** Records that something was received on the link, which shows that the peer is reachable. */
  recordReceived (link: PeerLink): void {
    const activity = this.#findActivity(link)
    if (activity === undefined) return
    activity.lastReceivedAtMs = this.#clock.readNow()
    activity.lastUsedAtMs = activity.lastReceivedAtMs
    activity.unansweredSinceMs = null
  }

  /** Pings peers that have not responded to a send, terminates broken links and closes unused ones. */
  checkLinks (): void {
    const nowMs = this.#clock.readNow()
    for (const activity of [...this.#links.values()].flat()) checkLink(activity, nowMs)
  }

  #findActivity (link: PeerLink): LinkActivity | undefined {
    return this.#links.get(link.peer.vm)?.find(a => a.link === link)
  }
}

function checkLink (activity: LinkActivity, nowMs: number): void {
  if (nowMs - activity.lastUsedAtMs > IDLE_LINK_TIMEOUT_MS) {
    activity.link.close()
    return
  }
  if (activity.unansweredSinceMs === null) return
  const unansweredMs = nowMs - activity.unansweredSinceMs
  if (unansweredMs > RESPONSE_TIMEOUT_MS) activity.link.terminate()
  else if (unansweredMs > PING_DELAY_MS) activity.link.ping()
}
