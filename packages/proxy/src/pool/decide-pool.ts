import type { Step } from '@camphorpitch/wire'
import { addItem, countItemsAhead, countWaitingItems, pickItem, recordCost, removeItems } from './fair-queue.ts'
import type { PoolEffect, PoolMessage } from './messages.ts'
import type { PooledConnection, PoolLimits, PoolState, Waiter } from './state.ts'

const MAX_WAITING_PER_WORKSPACE = 256
/** Weight of the latest statement in the moving average of service times. */
const SERVICE_AVERAGE_WEIGHT = 0.1
const INITIAL_BACKOFF_MS = 20
const MAX_BACKOFF_MS = 1_000
const MIN_RETRY_AFTER_MS = 5

/** Estimates how many milliseconds a new request of `workspace` would wait for a connection. */
export function estimateWaitMs (state: PoolState, workspace: string): number {
  const concurrency = Math.max(1, Math.min(state.limits.statements, state.limits.connections))
  return countItemsAhead(state.queue, workspace) * state.meanServiceMs / concurrency
}

function refuseWaiter (state: PoolState, waiter: Waiter, reason: string, isOverload: boolean, effects: PoolEffect[]): void {
  const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, Math.ceil(estimateWaitMs(state, waiter.workspace)))
  effects.push({ type: 'refuse', waiter: waiter.id, reason, retryAfterMs, isOverload })
}

function handleAcquire (state: PoolState, waiter: Waiter, nowMs: number, effects: PoolEffect[]): void {
  if (state.limits.connections === 0) {
    refuseWaiter(state, waiter, 'no connections to this endpoint', false, effects)
    return
  }
  if (countWaitingItems(state.queue, waiter.workspace) >= MAX_WAITING_PER_WORKSPACE) {
    refuseWaiter(state, waiter, 'queue of the workspace is full', true, effects)
    return
  }
  const waitMs = estimateWaitMs(state, waiter.workspace)
  if (waitMs > 0 && nowMs + waitMs > waiter.deadlineMs) {
    refuseWaiter(state, waiter, 'would wait past its deadline', true, effects)
    return
  }
  addItem(state.queue, waiter.workspace, waiter)
  updateWaiterCounts(state, waiter, 1)
  state.earliestDeadlineMs = Math.min(state.earliestDeadlineMs, waiter.deadlineMs)
}

function updateWaiterCounts (state: PoolState, waiter: Waiter, increment: 1 | -1): void {
  if (waiter.isPinned) state.waiterCounts.transactions += increment
  else state.waiterCounts.statements += increment
}

/** Removes and returns the queued requests that match. */
function removeWaiters (state: PoolState, matches: (waiter: Waiter) => boolean): Waiter[] {
  const removedWaiters = removeItems(state.queue, matches)
  for (const waiter of removedWaiters) updateWaiterCounts(state, waiter, -1)
  return removedWaiters
}

function handleOpenFailed (state: PoolState, message: Extract<PoolMessage, { type: 'openFailed' }>, nowMs: number, effects: PoolEffect[]): void {
  state.connections.delete(message.connection)
  const backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** state.failures)
  state.failures++
  state.backoffUntilMs = nowMs + backoffMs
  if (message.isLimitReached || countConnections(state) > 0) return
  for (const waiter of removeWaiters(state, () => true)) refuseWaiter(state, waiter, message.reason, false, effects)
}

function handleReleased (state: PoolState, message: Extract<PoolMessage, { type: 'released' }>, nowMs: number, effects: PoolEffect[]): void {
  const connection = state.connections.get(message.connection)
  if (connection === undefined) return
  recordServiceTime(state, connection, nowMs)
  if (connection.state === 'closing') return
  if (message.isReusable) {
    connection.state = 'idle'
    connection.isPinned = false
    return
  }
  closeConnection(connection, effects)
}

function recordServiceTime (state: PoolState, connection: PooledConnection, nowMs: number): void {
  if (connection.workspace === '') return
  const costMs = nowMs - connection.grantedAtMs
  if (!connection.isPinned) state.meanServiceMs += SERVICE_AVERAGE_WEIGHT * (costMs - state.meanServiceMs)
  recordCost(state.queue, connection.workspace, connection.estimatedServiceMs, costMs)
  connection.workspace = ''
}

function handleClosed (state: PoolState, id: number, nowMs: number): void {
  const connection = state.connections.get(id)
  if (connection === undefined) return
  recordServiceTime(state, connection, nowMs)
  state.connections.delete(id)
}

function closeConnection (connection: PooledConnection, effects: PoolEffect[]): void {
  connection.state = 'closing'
  effects.push({ type: 'close', connection: connection.id })
}

function countConnections (state: PoolState): number {
  return state.connections.size
}

/** Closes idle connections above the limit; a busy connection can only be closed after its release. */
function closeExcessConnections (state: PoolState, effects: PoolEffect[]): void {
  const idle = [...state.connections.values()].filter(c => c.state === 'idle')
  let openCount = [...state.connections.values()].filter(c => c.state !== 'closing').length
  for (const connection of idle) {
    if (openCount <= state.limits.connections) return
    closeConnection(connection, effects)
    openCount--
  }
}

function refuseExpiredWaiters (state: PoolState, nowMs: number, effects: PoolEffect[]): void {
  if (state.earliestDeadlineMs > nowMs) return
  for (const waiter of removeWaiters(state, w => w.deadlineMs <= nowMs)) refuseWaiter(state, waiter, 'waited past its deadline', true, effects)
  state.earliestDeadlineMs = Infinity
  for (const flow of state.queue.flowsByWorkspace.values()) {
    for (const w of flow.waiting) state.earliestDeadlineMs = Math.min(state.earliestDeadlineMs, w.deadlineMs)
  }
}

/** Number of connections by what they are used for. */
interface ConnectionUsage { busyUnpinned: number, busyPinned: number, opening: number }

function countUsage (state: PoolState): ConnectionUsage {
  const usage: ConnectionUsage = { busyUnpinned: 0, busyPinned: 0, opening: 0 }
  for (const c of state.connections.values()) {
    if (c.state === 'opening') usage.opening++
    if (c.state !== 'busy') continue
    if (c.isPinned) usage.busyPinned++
    else usage.busyUnpinned++
  }
  return usage
}

function grantIdleConnections (state: PoolState, nowMs: number, effects: PoolEffect[]): void {
  const usage = countUsage(state)
  const { limits } = state
  for (const connection of state.connections.values()) {
    if (connection.state !== 'idle') continue
    const waiter = pickItem(state.queue, w => w.isPinned ? usage.busyPinned < limits.pinnedConnections : usage.busyUnpinned < limits.statements, state.meanServiceMs)
    if (waiter === undefined) return
    updateWaiterCounts(state, waiter, -1)
    connection.state = 'busy'
    connection.isPinned = waiter.isPinned
    connection.workspace = waiter.workspace
    connection.grantedAtMs = nowMs
    connection.estimatedServiceMs = state.meanServiceMs
    if (waiter.isPinned) usage.busyPinned++
    else usage.busyUnpinned++
    effects.push({ type: 'grant', waiter: waiter.id, connection: connection.id })
  }
}

/** Opens the connections needed to serve the waiters that the limits admit now. */
function openNeededConnections (state: PoolState, nowMs: number, effects: PoolEffect[]): void {
  if (nowMs < state.backoffUntilMs) return
  const { busyUnpinned, busyPinned, opening } = countUsage(state)
  const { limits } = state
  const { statements, transactions } = state.waiterCounts
  const neededCount = Math.min(statements, limits.statements - busyUnpinned) + Math.min(transactions, limits.pinnedConnections - busyPinned) - opening
  const availableCount = limits.connections - countConnections(state)
  for (let i = 0; i < Math.min(neededCount, availableCount); i++) {
    const id = state.nextConnectionId++
    state.connections.set(id, { id, state: 'opening', isPinned: false, workspace: '', grantedAtMs: nowMs, estimatedServiceMs: 0 })
    effects.push({ type: 'open', connection: id })
  }
}

/** Requests a `wake` message for the earliest deadline, or for the end of the backoff if that is sooner. */
function scheduleWake (state: PoolState, nowMs: number, effects: PoolEffect[]): void {
  if (state.waiterCounts.statements + state.waiterCounts.transactions === 0) return
  const isBackingOff = state.backoffUntilMs > nowMs
  const atMs = isBackingOff ? Math.min(state.earliestDeadlineMs, state.backoffUntilMs) : state.earliestDeadlineMs
  if (atMs >= state.scheduledWakeAtMs) return
  state.scheduledWakeAtMs = atMs
  effects.push({ type: 'wake', atMs })
}

function applyLimits (state: PoolState, limits: PoolLimits, effects: PoolEffect[]): void {
  state.limits = limits
  if (limits.connections > 0) return
  for (const waiter of removeWaiters(state, () => true)) refuseWaiter(state, waiter, 'endpoint is leaving', false, effects)
}

/**
 * Refuses waiting requests, so that they can be sent to another endpoint. Connections with running
 * requests are closed only when the group has another primary: until then the endpoint may become
 * reachable again and respond, and afterwards nothing that they write survives.
 */
function handleUnreachable (state: PoolState, isReplaced: boolean, effects: PoolEffect[]): void {
  for (const waiter of removeWaiters(state, () => true)) refuseWaiter(state, waiter, 'endpoint is unreachable', false, effects)
  for (const connection of state.connections.values()) {
    if (connection.state === 'idle' || (connection.state === 'busy' && isReplaced)) closeConnection(connection, effects)
  }
}

function applyMessage (state: PoolState, message: PoolMessage, nowMs: number, effects: PoolEffect[]): void {
  switch (message.type) {
    case 'acquire': return handleAcquire(state, message.waiter, nowMs, effects)
    case 'cancel':
      removeWaiters(state, w => w.id === message.waiter)
      return
    case 'opened': {
      const connection = state.connections.get(message.connection)
      if (connection === undefined) return
      connection.state = 'idle'
      state.failures = 0
      return
    }
    case 'openFailed': return handleOpenFailed(state, message, nowMs, effects)
    case 'released': return handleReleased(state, message, nowMs, effects)
    case 'closed': return handleClosed(state, message.connection, nowMs)
    case 'limits': return applyLimits(state, message.limits, effects)
    case 'unreachable': return handleUnreachable(state, message.isReplaced, effects)
    case 'wake':
      state.scheduledWakeAtMs = Infinity
  }
}

/**
 * Applies a message to the pool of one instance: decides which requests get a connection, and how many
 * connections are kept open. Changes `state` in place and returns it with the effects to run.
 */
export function decidePool (state: PoolState, message: PoolMessage, nowMs: number): Step<PoolState, PoolEffect> {
  const effects: PoolEffect[] = []
  applyMessage(state, message, nowMs, effects)
  refuseExpiredWaiters(state, nowMs, effects)
  grantIdleConnections(state, nowMs, effects)
  openNeededConnections(state, nowMs, effects)
  closeExcessConnections(state, effects)
  scheduleWake(state, nowMs, effects)
  return { state, effects }
}
