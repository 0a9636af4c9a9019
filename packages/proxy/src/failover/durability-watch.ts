import { formatWaitStatement, waitResultSchema, type LogPosition } from '@camphorpitch/wire'
import type { ControlConnection } from './control-connection.ts'
import { addWaiter, createDurabilityState, findNextAwaitedPosition, recordReport, removeSettledWaiters, removeWaiter, type DurabilityOutcome, type LogReport } from './durability.ts'

/** Longest time for which an instance holds back the response to one `GROUP WAIT`. */
const WAIT_TIMEOUT_MS = 500
/** Time beyond that in which the response must arrive. */
const RESPONSE_MARGIN_MS = 500
/** Pause after a failed `GROUP WAIT`. */
const WAIT_RETRY_DELAY_MS = 50

export interface DurabilityWatchOptions {
  connections: ReadonlyMap<string, ControlConnection>
  quorumSize: number
}

/** Waits until a quorum holds given positions, with at most one `GROUP WAIT` in flight for each instance. */
export interface DurabilityWatch {
  /**
   * Resolves to true once `position` is durable, to false when it cannot become durable or did not within `timeoutMs`.
   *
   * @param primary the primary in the position's term, which holds it already; `null` when that is not known
   */
  wait: (position: LogPosition, primary: string | null, timeoutMs: number) => Promise<boolean>
  /** Applies the state of an instance's log that a probe returned. */
  recordReport: (instance: string, report: LogReport) => void
  /** Resolves all pending waits to false. */
  stop: () => void
}

export function startDurabilityWatch ({ connections, quorumSize }: DurabilityWatchOptions): DurabilityWatch {
  const instances = [...connections.keys()]
  const state = createDurabilityState(instances, quorumSize)
  const resolvers = new Map<number, (isDurable: boolean) => void>()
  const polledInstances = new Set<string>()

  const resolveWaits = (outcomes: readonly DurabilityOutcome[]): void => {
    for (const { id, isDurable } of outcomes) {
      resolvers.get(id)?.(isDurable)
      resolvers.delete(id)
    }
  }
  const pollInstance = async (instance: string): Promise<void> => {
    if (polledInstances.has(instance)) return
    polledInstances.add(instance)
    for (let next = findNextAwaitedPosition(state, instance); next !== undefined; next = findNextAwaitedPosition(state, instance)) {
      const report = await requestLogReport(connections.get(instance)!, next)
      if (report === null) await new Promise(resolve => setTimeout(resolve, WAIT_RETRY_DELAY_MS))
      else resolveWaits(recordReport(state, instance, report))
    }
    polledInstances.delete(instance)
  }
  return {
    wait: async (position, primary, timeoutMs) => {
      const id = addWaiter(state, position, primary)
      const result = new Promise<boolean>(resolve => { resolvers.set(id, resolve) })
      const timer = setTimeout(() => {
        removeWaiter(state, id)
        resolveWaits([{ id, isDurable: false }])
      }, timeoutMs)
      resolveWaits(removeSettledWaiters(state))
      for (const i of instances) pollInstance(i).catch(() => polledInstances.delete(i))
      return await result.finally(() => { clearTimeout(timer) })
    },
    recordReport: (instance, report) => { resolveWaits(recordReport(state, instance, report)) },
    stop: () => {
      resolveWaits([...resolvers.keys()].map(id => ({ id, isDurable: false })))
      state.waiters.clear()
    }
  }
}

/** Waits at the instance for `position`; `null` when the instance did not respond or returned an error. */
async function requestLogReport (connection: ControlConnection, position: LogPosition): Promise<LogReport | null> {
  try {
    const text = await connection.query(formatWaitStatement(position, WAIT_TIMEOUT_MS), WAIT_TIMEOUT_MS + RESPONSE_MARGIN_MS)
    const { reached, term, logged } = waitResultSchema.parse(JSON.parse(text))
    if (logged !== undefined) return { term, logged }
    return reached ? { term, logged: position } : { term, logged: { term: 0, index: 0 } }
  } catch {
    return null
  }
}
