import { createSeededRandom } from '@camphorpitch/wire'
import type { EndpointSettings, FaultChange, Faults } from './settings.ts'
import { faultsSchema } from './settings.ts'

/** Holds the faults in force, decides which statements they affect, and makes operations wait while the instance is frozen. */
export interface FaultInjector {
  readonly faults: Faults
  /**
   * Merges a change into the faults in force and calls the listeners.
   *
   * @throws ZodError for an invalid change
   */
  update: (change: FaultChange) => void
  /** Resolves as soon as the instance is not frozen. */
  waitUntilUnfrozen: () => Promise<void>
  /** Whether the link to another instance of the group is cut. */
  isPeerCut: (instance: string) => boolean
  /** Decides at random, with the probability `failRate`, whether the next statement fails. */
  decideStatementFailure: () => boolean
  /** Decides whether the next reply is dropped, and counts `dropReplies` down if so. */
  decideReplyDrop: () => boolean
  /** Registers a listener that is called after each change of the faults. */
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
