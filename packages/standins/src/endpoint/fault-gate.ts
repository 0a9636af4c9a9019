import { createSeededRandom } from '@camphorpitch/wire'
import type { EndpointSettings, FaultChange, Faults } from './settings.ts'
import { faultsSchema } from './settings.ts'

/** The faults in force, and a gate that stays shut while the instance is frozen. */
export interface FaultInjector {
  readonly faults: Faults
  update: (change: FaultChange) => void
  /** Resolves at once unless the instance is frozen. */
  waitUntilUnfrozen: () => Promise<void>
  isPeerCut: (instance: string) => boolean
  /** Draws whether the next statement fails. */
  decideStatementFailure: () => boolean
  /** True, and one less to drop, while replies are to be dropped. */
  decideReplyDrop: () => boolean
  subscribe: (listener: () => void) => void
}

export function createFaultInjector (settings: EndpointSettings): FaultInjector {
  const { statementDelayMs, replicationDelayMs, applyDelayMs, connectDelayMs } = settings
  const faults: Faults = {
    freeze: false, cut: { callers: false, peers: [] }, failRate: 0, dropReplies: 0, statementDelayMs, replicationDelayMs, applyDelayMs, connectDelayMs
  }
  const random = createSeededRandom(settings.seed)
  const listeners: Array<() => void> = []
  let unfreezeListeners: Array<() => void> = []
  return {
    faults,
    update: change => {
      Object.assign(faults, faultsSchema.parse(change))
      if (!faults.freeze) {
        for (const resolve of unfreezeListeners) resolve()
        unfreezeListeners = []
      }
      for (const l of listeners) l()
    },
    waitUntilUnfrozen: async () => {
      while (faults.freeze) await new Promise<void>(resolve => { unfreezeListeners.push(resolve) })
    },
    isPeerCut: instance => faults.cut.peers.includes(instance),
    decideStatementFailure: () => faults.failRate > 0 && random() < faults.failRate,
    decideReplyDrop: () => {
      if (faults.dropReplies === 0) return false
      faults.dropReplies--
      return true
    },
    subscribe: listener => { listeners.push(listener) }
  }
}
