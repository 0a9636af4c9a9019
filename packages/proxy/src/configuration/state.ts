import { createSeededRandom, type ObjectKind, type StoredObject, type WatchResult } from '@camphorpitch/wire'
import type { Member } from '../membership/membership-view.ts'
import type { ConfigurationPeerMessage } from './messages.ts'
import { createObjectSet, type ObjectSet } from './object-set.ts'
import { MAX_WATCHERS } from './watchers.ts'

/** Interval of ticks, in milliseconds. */
export const TICK_INTERVAL_MS = 100
/** A VM asks one peer this often, in milliseconds. */
export const POLL_INTERVAL_MS = 500
/** The same for a VM without recent proof. */
export const STALE_POLL_INTERVAL_MS = 200
/** The next page of a full listing is late after this time, in milliseconds. */
export const PAGE_TIMEOUT_MS = 400
/** A poll without an answer is forgotten after this time, in milliseconds. */
export const POLL_TIMEOUT_MS = 1_000
/** A peer that left a poll unanswered is passed over for this time, in milliseconds. */
export const UNRESPONSIVE_PEER_SKIP_MS = 2_000
/** Every so many polls go to a watcher. */
export const POLLS_PER_WATCHER_POLL = 8
/** Peers to which a VM passes on news. */
export const PUSH_FANOUT = 6
/** Longest wait of one watch, in milliseconds; each answer proves that the watcher is current. */
export const WATCH_WAIT_MS = 1_000
/** Least time between the starts of two watches, in milliseconds. */
export const MIN_WATCH_INTERVAL_MS = 100
/** Without proof for this time, in milliseconds, a VM that is no watcher tries the object service itself. */
export const FALLBACK_AGE_MS = 2_500
/** Calls per second with which all VMs together try the object service then. */
export const FALLBACK_CALLS_PER_SECOND = 18
/** A call without an answer for this time, in milliseconds, does not keep the next one back. */
export const HEDGE_DELAY_MS = 1_500
export const MAX_PENDING_CALLS = 4
export const MIN_BACKOFF_MS = 250
export const MAX_BACKOFF_MS = 2_000
/** Without proof for this time, in milliseconds, a VM that sees no majority of the fleet refuses keys. */
export const STALENESS_LIMIT_MS = 10_000
/** A smaller fleet counts after it has lasted this long, in milliseconds. */
export const FLEET_SHRINK_DELAY_MS = 30_000
/** A VM that starts gives the object service this long, in milliseconds, before peers suffice. */
export const START_FROM_PEERS_DELAY_MS = 2_000
/** Peers whose agreement suffices in a large fleet. */
export const MAX_REQUIRED_CONFIRMATIONS = 8

export interface KindListing {
  kind: ObjectKind
  revision: number
  objects: StoredObject[]
}

export type ConfigurationMessage =
  | { type: 'tick' }
  | { type: 'members', members: readonly Member[] }
  /** `sentAtMs` is the time at which the call was sent. */
  | { type: 'listed', sentAtMs: number, listings: KindListing[] }
  | { type: 'watched', sentAtMs: number, since: number, result: WatchResult }
  /** `isExpired` when the service's log no longer reaches back to `since`. */
  | { type: 'serviceFailed', sentAtMs: number, isExpired: boolean }
  | { type: 'peer', from: string, body: ConfigurationPeerMessage }

export type ConfigurationEffect =
  | { type: 'list' }
  | { type: 'watch', since: number, waitMs: number }
  | { type: 'send', to: string, body: ConfigurationPeerMessage }
  /** Puts objects in force, in this order. */
  | { type: 'publish', objects: StoredObject[] }
  | { type: 'log', message: string, fields: Record<string, unknown> }

export interface Poll {
  vm: string
  sentAtMs: number
  since: number
  isFull: boolean
}

/** A full listing in progress, page by page from one peer. */
export interface PeerListing {
  vm: string
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
  /** Complete once, from the object service or from peers; callers may be served. */
  isReady: boolean
  /** Deletions may be missing: everything has to be listed anew. */
  needsFullListing: boolean
  load: PeerListing | null
  /** Peers that hold nothing newer; counted until the VM is ready. */
  confirmingPeers: Set<string>
  startedAtMs: number | null
  /** Latest time, in this VM's milliseconds, up to which all accepted changes are surely included. */
  completeAsOfMs: number
  /** Members of the fleet while this VM was last surely current. */
  fleetSize: number
  fleetSmallerSinceMs: number | null
  pendingCalls: number
  lastCallSentAtMs: number
  /** When the latest call that was answered had been sent. */
  lastSuccessfulCallSentAtMs: number
  nextCallAtMs: number
  failures: number
  polls: Map<number, Poll>
  /** Peers that left a poll unanswered, until when they are asked only if no other is left. */
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
    // Starts anywhere, so that answers to an earlier process of this VM match no poll.
    nextPollId: Math.floor(random() * 2 ** 40),
    nextPollAtMs: 0
  }
}
