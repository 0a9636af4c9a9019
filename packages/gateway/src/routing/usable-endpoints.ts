import type { EvacuationPhase } from '../evacuation/evacuation-phase.ts'

/** What an endpoint is used for. */
export type EndpointUse =
  /** A read that another endpoint may run as well. */
  | 'read'
  /** The begin of a read-only transaction. */
  | 'readTransaction'
  /** A single statement that only this endpoint can run. */
  | 'only'
  /** The begin of a transaction that only this endpoint can run. */
  | 'transaction'
  /** A statement of a transaction that is open at this endpoint. */
  | 'openTransaction'

/** Why an operation may not use an endpoint. */
export type RuledOutReason = 'outside of the allowed regions' | 'evacuated' | 'draining'

/** An endpoint that an operation might use. */
export interface EndpointCandidate {
  endpoint: string
  failureDomain: string
  /** Whether it has been draining for so long that it gets no new work; it has not by default. */
  isLeaving?: boolean
}

/** What the rules depend on besides the endpoint. */
export interface UseConstraints {
  use: EndpointUse
  /** Regions whose endpoints may be used; absent for all. */
  allowedRegions?: readonly string[]
  /** Region of each failure domain. */
  regions: Readonly<Record<string, string>>
  /** Phase of each evacuated failure domain. */
  evacuations: ReadonlyMap<string, { phase: EvacuationPhase }>
}

export interface RuledOutEndpoint { endpoint: string, failureDomain: string, reason: RuledOutReason }

export interface UsableEndpoints<T extends EndpointCandidate> {
  usable: T[]
  ruledOut: RuledOutEndpoint[]
}

const phases: readonly EvacuationPhase[] = ['leaving', 'ending', 'closed']
/** Phase of an evacuation from which on an endpoint is ruled out, by its use. */
const firstRuledOutPhase: Record<EndpointUse, EvacuationPhase> = { read: 'leaving', readTransaction: 'leaving', transaction: 'ending', only: 'closed', openTransaction: 'closed' }
/** The same if no other endpoint can be used. */
const lastRuledOutPhase: Record<EndpointUse, EvacuationPhase> = { ...firstRuledOutPhase, read: 'closed', readTransaction: 'ending' }

/**
 * Lists the endpoints that an operation may use, and why each other one is ruled out. Reads, hedges, retries, writes, transactions and new
 * connections all obey this decision.
 *
 * Reads leave an evacuated failure domain at once, unless there is no other endpoint.
 *
 * @example listUsableEndpoints([{ endpoint: 'o-1', failureDomain: 'oslo-a' }], { use: 'read', regions: {}, evacuations: new Map([['oslo-a', { phase: 'closed' }]]) })
 *   // { usable: [], ruledOut: [{ endpoint: 'o-1', failureDomain: 'oslo-a', reason: 'evacuated' }] }
 */
export function listUsableEndpoints<T extends EndpointCandidate> (candidates: readonly T[], constraints: UseConstraints): UsableEndpoints<T> {
  const result = applyRules(candidates, constraints, firstRuledOutPhase[constraints.use])
  return result.usable.length > 0 ? result : applyRules(candidates, constraints, lastRuledOutPhase[constraints.use])
}

function applyRules<T extends EndpointCandidate> (candidates: readonly T[], constraints: UseConstraints, ruledOutPhase: EvacuationPhase): UsableEndpoints<T> {
  const result: UsableEndpoints<T> = { usable: [], ruledOut: [] }
  for (const candidate of candidates) {
    const reason = findRuledOutReason(candidate, constraints, ruledOutPhase)
    if (reason === null) result.usable.push(candidate)
    else result.ruledOut.push({ endpoint: candidate.endpoint, failureDomain: candidate.failureDomain, reason })
  }
  return result
}

function findRuledOutReason ({ failureDomain, isLeaving }: EndpointCandidate, { allowedRegions, regions, evacuations }: UseConstraints, ruledOutPhase: EvacuationPhase): RuledOutReason | null {
  // An endpoint whose region is not known is in none of the allowed ones.
  if (allowedRegions !== undefined && !allowedRegions.includes(regions[failureDomain] ?? '')) return 'outside of the allowed regions'
  const evacuation = evacuations.get(failureDomain)
  if (evacuation !== undefined && phases.indexOf(evacuation.phase) >= phases.indexOf(ruledOutPhase)) return 'evacuated'
  return isLeaving === true ? 'draining' : null
}
