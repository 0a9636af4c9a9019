import { createSeededRandom, type ObjectKind, type StoredObject, type WatchResult } from '@camphorpitch/wire'
import type { Member } from '../membership/membership-view.ts'
import type { ConfigurationPeerMessage } from './messages.ts'
import { createObjectSet, type ObjectSet } from './object-set.ts'
import { MAX_WATCHERS } from './watchers.ts'

/** Interval of ticks, in milliseconds. */
export const TICK_INTERVAL_MS = 100
/** Interval of a VM's polls, in milliseconds. */
export const POLL_INTERVAL_MS = 500
/** Interval of polls while a VM's configuration is stale (older than `FALLBACK_AGE_MS`), in milliseconds. */
export const STALE_POLL_INTERVAL_MS = 200
/** Time after which a full listing is abandoned if its next page has not arrived, in milliseconds. */
export const PAGE_TIMEOUT_MS = 400
/** Timeout of a poll, in milliseconds. */
export const POLL_TIMEOUT_MS = 1_000
/** Time for which a peer that did not respond to a poll is skipped, in milliseconds. */
export const UNRESPONSIVE_PEER_SKIP_MS = 2_000
/** One poll in this many goes to a watcher. */
export const POLLS_PER_WATCHER_POLL = 8
/** Number of peers to which a VM forwards a change. */
export const PUSH_FANOUT = 6
/** Maximum wait of one watch, in milliseconds; each response confirms that the watcher's configuration is complete. */
export const WATCH_WAIT_MS = 1_000
/** Minimum time between the starts of two watches, in milliseconds. */
export const MIN_WATCH_INTERVAL_MS = 100
/** Age of the configuration, in milliseconds, after which it is stale: a VM that is not a watcher calls the object service too. */
export const FALLBACK_AGE_MS = 2_500
/** Expected rate of these fallback calls over all VMs together. */
export const FALLBACK_CALLS_PER_SECOND = 18
/** Time after which a further call may be sent beside a pending one, in milliseconds. */
export const HEDGE_DELAY_MS = 1_500
/** Maximum number of pending calls to the object service. */
export const MAX_PENDING_CALLS = 4
export const MIN_BACKOFF_MS = 250
export const MAX_BACKOFF_MS = 2_000
/** Age of the configuration, in milliseconds, after which a VM that sees no majority of the fleet refuses keys. */
export const STALENESS_LIMIT_MS = 10_000
/** Time for which the fleet must have been smaller before the smaller size counts, in milliseconds. */
export const FLEET_SHRINK_DELAY_MS = 30_000
/** Time that a starting VM waits for the object service before it may start from its peers, in milliseconds. */
export const START_FROM_PEERS_DELAY_MS = 2_000
/** Number of peers whose confirmation suffices for a start, however large the fleet is. */
export const MAX_REQUIRED_CONFIRMATIONS = 8

/** All objects of one kind, as of a revision. */
export interface KindListing {
  kind: ObjectKind
  revision: number
  objects: StoredObject[]
}

export type ConfigurationMessage =
  | { type: 'tick' }
  | { type: 'members', members: readonly Member[] }
  /** `sentAtMs` is the time at which the call to the object service was sent. */
  | { type: 'listed', sentAtMs: number, listings: KindListing[] }
  | { type: 'watched', sentAtMs: number, since: number, result: WatchResult }
  /** `isExpired`: the service's history no longer reaches back to the revision of the watch. */
  | { type: 'serviceFailed', sentAtMs: number, isExpired: boolean }
  | { type: 'peer', from: string, body: ConfigurationPeerMessage }

export type ConfigurationEffect =
  | { type: 'list' }
  | { type: 'watch', since: number, waitMs: number }
  | { type: 'send', to: string, body: ConfigurationPeerMessage }
  /** Applies objects, in this order. */
  | { type: 'publish', objects: StoredObject[] }
  | { type: 'log', message: string, fields: Record<string, unknown> }

export interface Poll {
  vm: string
  sentAtMs: number
  since: number
  isFull: boolean
}

/** A full listing in progress: one peer sends all its objects, page by page. */
export interface PeerListing {
  vm: string
  /** Revision after which the next page begins. */
  cursor: number
  listedKeys: Set<string>
  pageRequestedAtMs: number
}

export interface ConfigurationState {
  vm: string
  random: () => number
  objectSet: ObjectSet
  members: readonly Member[]
  maxWatchers: number
  watchers: Set<string>
  /** Whether the configuration has been complete once, from the object service or from peers, so that clients may be served. */
  isReady: boolean
  /** Whether deletions may be missing, so that all objects have to be listed. */
  needsFullListing: boolean
  /** The full listing from a peer that is in progress, if any. */
  load: PeerListing | null
  /** Peers that have confirmed that they have nothing newer; needed until the VM is ready. */
  confirmingPeers: Set<string>
  startedAtMs: number | null
  /** Latest time on this VM's clock, in milliseconds, up to which all accepted changes are known to be included. */
  completeAsOfMs: number
  /** Number of members of the fleet, as last seen while the configuration was not stale, or the highest seen since. */
  fleetSize: number
  /** Since when the fleet has been smaller than `fleetSize`; `null` if it is not or the configuration is stale. */
  fleetSmallerSinceMs: number | null
  pendingCalls: number
  /** Sending time of the latest call; `-Infinity` once it has ended. */
  lastCallSentAtMs: number
  /** Sending time of the latest call that succeeded. */
  lastSuccessfulCallSentAtMs: number
  nextCallAtMs: number
  /** Failed calls since the last success; sets the backoff. */
  failures: number
  polls: Map<number, Poll>
  /** Unresponsive peers, with the time until which they are polled only if no other is left. */
  skippedUntilMs: Map<string, number>
  nextPollId: number
  nextPollAtMs: number
}

export interface ConfigurationStateOptions {
  vm: string
  seed?: number
  maxWatchers?: number
}

export function createConfigurationState ({ vm, seed = 1, maxWatchers = MAX_WATCHERS }: ConfigurationStateOptions): ConfigurationState {
  const random = createSeededRandom(seed)
  return {
    vm,
    random,
    objectSet: createObjectSet(),
    members: [],
    maxWatchers,
    watchers: new Set(),
    isReady: false,
    needsFullListing: true,
    load: null,
    confirmingPeers: new Set(),
    startedAtMs: null,
    completeAsOfMs: -Infinity,
    fleetSize: 0,
    fleetSmallerSinceMs: null,
    pendingCalls: 0,
    lastCallSentAtMs: 0,
    lastSuccessfulCallSentAtMs: -Infinity,
    nextCallAtMs: 0,
    failures: 0,
    polls: new Map(),
    skippedUntilMs: new Map(),
    // A random start, so that responses to an earlier process of this VM match no poll of this one.
    nextPollId: Math.floor(random() * 2 ** 40),
    nextPollAtMs: 0
  }
}
