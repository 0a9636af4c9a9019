import type { Decide, Step } from '@camphorpitch/wire'
import { updateFleetSize } from './staleness.ts'
import { decidePoll, decideStartFromPeers, handlePeerMessage } from './gossip.ts'
import { decideServiceCall, handleListed, handleServiceFailed, handleWatched } from './service-calls.ts'
import type { ConfigurationEffect, ConfigurationMessage, ConfigurationState } from './state.ts'
import { selectWatchers } from './watchers.ts'

/** Decides which VMs watch the object service and how changes spread to every VM. An applied revision is never replaced by an older one. */
export const decideConfiguration: Decide<ConfigurationState, ConfigurationMessage, ConfigurationEffect> = applyMessage

function applyMessage (state: ConfigurationState, message: ConfigurationMessage, nowMs: number): Step<ConfigurationState, ConfigurationEffect> {
  return { state, effects: listEffects(state, message, nowMs) }
}

function listEffects (state: ConfigurationState, message: ConfigurationMessage, nowMs: number): ConfigurationEffect[] {
  switch (message.type) {
    case 'tick': return handleTick(state, nowMs)
    case 'members': return handleMembers(state, message.members)
    case 'listed': return handleListed(state, message, nowMs)
    case 'watched': return handleWatched(state, message, nowMs)
    case 'serviceFailed': return handleServiceFailed(state, message, nowMs)
    case 'peer': return handlePeerMessage(state, message.from, message.body, nowMs)
  }
}

function handleTick (state: ConfigurationState, nowMs: number): ConfigurationEffect[] {
  updateFleetSize(state, nowMs)
  return [...decideStartFromPeers(state, nowMs), ...decideServiceCall(state, nowMs), ...decidePoll(state, nowMs)]
}

function handleMembers (state: ConfigurationState, members: ConfigurationState['members']): ConfigurationEffect[] {
  const wasWatcher = state.watchers.has(state.vm)
  state.members = members
  state.watchers = selectWatchers(members, state.maxWatchers)
  const isWatcher = state.watchers.has(state.vm)
  if (isWatcher === wasWatcher) return []
  return [{ type: 'log', message: 'watcher role changed', fields: { isWatcher, members: members.length } }]
}
