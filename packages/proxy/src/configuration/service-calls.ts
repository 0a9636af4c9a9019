import type { StoredObject } from '@camphorpitch/wire'
import { computeAgeMs } from './staleness.ts'
import { forwardListedChanges, forwardChanges } from './gossip.ts'
import { applyDelta, deleteUnlistedObjects, formatKey, mergeObjects, recordFullListing } from './object-set.ts'
import {
  FALLBACK_AGE_MS, FALLBACK_CALLS_PER_SECOND, HEDGE_DELAY_MS, MAX_BACKOFF_MS, MAX_PENDING_CALLS, MIN_BACKOFF_MS, TICK_INTERVAL_MS, MIN_WATCH_INTERVAL_MS, WATCH_WAIT_MS,
  type ConfigurationEffect, type ConfigurationMessage, type ConfigurationState, type KindListing
} from './state.ts'

type ListedMessage = Extract<ConfigurationMessage, { type: 'listed' }>
type ServiceFailedMessage = Extract<ConfigurationMessage, { type: 'serviceFailed' }>
type WatchedMessage = Extract<ConfigurationMessage, { type: 'watched' }>

/** Starts the next call to the object service if one is due. */
export function decideServiceCall (state: ConfigurationState, nowMs: number): ConfigurationEffect[] {
  if (!isCallDue(state, nowMs) || !isCallNeeded(state, nowMs)) return []
  state.pendingCalls += 1
  state.lastCallSentAtMs = nowMs
  if (state.needsFullListing) return [{ type: 'list' }]
  return [{ type: 'watch', since: state.objectSet.revision, waitMs: WATCH_WAIT_MS }]
}

/** Whether the backoff is over and no call is pending, or the last one has taken so long that a further one is sent beside it (a hedged request). */
function isCallDue (state: ConfigurationState, nowMs: number): boolean {
  if (nowMs < state.nextCallAtMs || state.pendingCalls >= MAX_PENDING_CALLS) return false
  return state.pendingCalls === 0 || nowMs - state.lastCallSentAtMs >= HEDGE_DELAY_MS
}

/** Watchers and VMs that need a full listing always call; other VMs call only while stale, at a rate limited over the whole fleet. */
function isCallNeeded (state: ConfigurationState, nowMs: number): boolean {
  if (state.needsFullListing || state.watchers.has(state.vm)) return true
  if (computeAgeMs(state, nowMs) <= FALLBACK_AGE_MS) return false
  const callsPerTick = FALLBACK_CALLS_PER_SECOND * TICK_INTERVAL_MS / 1_000
  return state.random() * state.members.length < callsPerTick
}

export function handleListed (state: ConfigurationState, { sentAtMs, listings }: ListedMessage, nowMs: number): ConfigurationEffect[] {
  recordCallSuccess(state, sentAtMs, nowMs)
  const changes = listings.flatMap(l => applyListing(state, l))
  const revision = Math.min(...listings.map(l => l.revision))
  recordFullListing(state.objectSet, revision)
  state.needsFullListing = false
  state.load = null
  const effects = forwardListedChanges(state, revision, changes)
  if (!state.isReady) effects.push({ type: 'log', message: 'configuration complete from object service', fields: { revision, objects: changes.length } })
  state.isReady = true
  return effects
}

function applyListing (state: ConfigurationState, { kind, revision, objects }: KindListing): StoredObject[] {
  if (revision < state.objectSet.revision) return []
  const listedKeys = new Set(objects.map(formatKey))
  return [...mergeObjects(state.objectSet, objects), ...deleteUnlistedObjects(state.objectSet, listedKeys, revision, kind)]
}

export function handleWatched (state: ConfigurationState, { sentAtMs, since, result }: WatchedMessage, nowMs: number): ConfigurationEffect[] {
  recordCallSuccess(state, sentAtMs, nowMs)
  state.nextCallAtMs = Math.max(nowMs, sentAtMs + MIN_WATCH_INTERVAL_MS)
  const delta = { from: since, to: result.revision, objects: result.changes }
  const changes = applyDelta(state.objectSet, delta)
  return [...forwardChanges(state, delta, changes), ...decideServiceCall(state, nowMs)]
}

export function handleServiceFailed (state: ConfigurationState, { sentAtMs, isExpired }: ServiceFailedMessage, nowMs: number): ConfigurationEffect[] {
  recordCallEnd(state, sentAtMs)
  if (isExpired) {
    state.needsFullListing = true
    return [{ type: 'log', message: 'watch revision expired, requesting a full listing', fields: { revision: state.objectSet.revision } }, ...decideServiceCall(state, nowMs)]
  }
  // A call that was sent later has succeeded, so there is no reason for a backoff.
  if (sentAtMs < state.lastSuccessfulCallSentAtMs) return []
  const backoffMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** state.failures)
  state.failures += 1
  state.nextCallAtMs = nowMs + backoffMs * (0.5 + state.random() / 2)
  return []
}

function recordCallSuccess (state: ConfigurationState, sentAtMs: number, nowMs: number): void {
  recordCallEnd(state, sentAtMs)
  state.lastSuccessfulCallSentAtMs = Math.max(state.lastSuccessfulCallSentAtMs, sentAtMs)
  state.failures = 0
  state.nextCallAtMs = nowMs
  state.completeAsOfMs = Math.max(state.completeAsOfMs, sentAtMs)
}

/** Records the end of a call. After the end of the latest call, earlier calls that hang no longer delay the next one. */
function recordCallEnd (state: ConfigurationState, sentAtMs: number): void {
  state.pendingCalls -= 1
  if (sentAtMs >= state.lastCallSentAtMs) state.lastCallSentAtMs = -Infinity
}
