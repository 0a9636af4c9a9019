import type { Clock } from '../process/clock.ts'
import type { Envelope } from './envelope.ts'
import type { PeerLink } from './link.ts'

/** Silence after a send before the peer is pinged. */
const PING_DELAY_MS = 1_000
/** Silence after a send before the link is held for broken. */
const RESPONSE_TIMEOUT_MS = 3_000
/** Links unused for this long are closed; above the longest statement timeout. */
const IDLE_LINK_TIMEOUT_MS = 900_000

interface LinkActivity {
  link: PeerLink
  lastReceivedAtMs: number
  lastUsedAtMs: number
  /** When the oldest send that nothing has followed from the peer was made; `null` for none. */
  unansweredSinceMs: number | null
}

/** The open links, their activity and liveness. */
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

  /** The link in use to a VM: the oldest open one. */
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

  /** Sends, or cuts a link whose peer reads too slowly to keep up. */
  send (link: PeerLink, envelope: Envelope): void {
    const activity = this.#findActivity(link)
    if (activity === undefined) return
    const nowMs = this.#clock.readNow()
    activity.lastUsedAtMs = nowMs
    activity.unansweredSinceMs ??= nowMs
    if (!link.send(envelope)) link.terminate()
  }

  recordReceived (link: PeerLink): void {
    const activity = this.#findActivity(link)
    if (activity === undefined) return
    activity.lastReceivedAtMs = this.#clock.readNow()
    activity.lastUsedAtMs = activity.lastReceivedAtMs
    activity.unansweredSinceMs = null
  }

  /** Pings silent links and cuts broken and unused ones. */
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
