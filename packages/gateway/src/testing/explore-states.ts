/** An event with the state after it. */
export type Successor<S> = [event: string, state: S]

/** What an exploration has found. */
export interface Exploration {
  states: number
  /** Number of events on the longest path that was followed. */
  depth: number
  elapsedMs: number
  /** Whether every reachable state was visited. */
  isComplete: boolean
  /** Description of the first bad state, and the shortest list of events that leads to it; `null` if none was found. */
  counterexample: { description: string, events: string[] } | null
}

interface Origin { parent: number, event: string }

/**
 * Visits the states that can be reached from `initial`, breadth first, each once, until one is bad or `maxStates` are known. States are plain
 * values whose JSON form identifies them.
 *
 * @param listSuccessors gets a copy of the state that it may not keep
 * @param describeFault returns what is wrong with a state; `null` if nothing is
 */
export function findFaultyState<S> (initial: S, listSuccessors: (state: S) => Array<Successor<S>>, describeFault: (state: S) => string | null, maxStates: number): Exploration {
  const startedAtMs = performance.now()
  const keys = [JSON.stringify(initial)]
  const known = new Set(keys)
  const origins: Origin[] = [{ parent: -1, event: 'start' }]
  const depths = [0]
  const finish = (isComplete: boolean, description: string | null): Exploration => {
    const counterexample = description === null ? null : { description, events: listEvents(origins) }
    return { states: keys.length, depth: depths.at(-1)!, elapsedMs: Math.round(performance.now() - startedAtMs), isComplete, counterexample }
  }
  for (let i = 0; i < keys.length; i++) {
    for (const [event, state] of listSuccessors(JSON.parse(keys[i]!) as S)) {
      const key = JSON.stringify(state)
      if (known.has(key)) continue
      known.add(key)
      keys.push(key)
      origins.push({ parent: i, event })
      depths.push(depths[i]! + 1)
      const fault = describeFault(state)
      if (fault !== null) return finish(false, fault)
      if (keys.length >= maxStates) return finish(false, null)
    }
  }
  return finish(true, null)
}

/** Lists the events that lead to the latest state. */
function listEvents (origins: readonly Origin[]): string[] {
  const events: string[] = []
  for (let i = origins.length - 1; origins[i]!.parent >= 0; i = origins[i]!.parent) events.unshift(origins[i]!.event)
  return events
}
