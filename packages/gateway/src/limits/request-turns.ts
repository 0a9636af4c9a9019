/**
 * Operations of a workspace for which a VM requests permits at a time; others wait for their turn. So a VM that is slow, as right after a start, is
 * sent as many requests as it answers.
 */
const MAX_REQUESTS_IN_FLIGHT = 8

/** Operations of a workspace for which permits are being requested, and those that wait for their turn, the longest first. */
export interface RequestTurns {
  inFlight: number
  waiting: Array<() => void>
}

export function createRequestTurns (): RequestTurns {
  return { inFlight: 0, waiting: [] }
}

/**
 * Waits for the turn of an operation, which `releaseTurn` has to end.
 *
 * @param maxWaitMs how long it may wait, in milliseconds
 * @returns whether it has got its turn
 * @example if (await acquireTurn(turns, 100)) try { await requestPermit() } finally { releaseTurn(turns) }
 */
export async function acquireTurn (turns: RequestTurns, maxWaitMs: number): Promise<boolean> {
  if (turns.inFlight < MAX_REQUESTS_IN_FLIGHT) {
    turns.inFlight++
    return true
  }
  return await new Promise(resolve => {
    const start = (): void => {
      clearTimeout(timer)
      resolve(true)
    }
    const timer = setTimeout(() => {
      turns.waiting.splice(turns.waiting.indexOf(start), 1)
      resolve(false)
    }, maxWaitMs)
    turns.waiting.push(start)
  })
}

/** Hands the turn to the operation that has waited longest. */
export function releaseTurn (turns: RequestTurns): void {
  const next = turns.waiting.shift()
  if (next === undefined) turns.inFlight--
  else next()
}
