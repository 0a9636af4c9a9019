import type { ExplainedKind, StatementExplanation } from '@camphorpitch/wire'
import { ANONYMOUS_WORKSPACE } from '../sessions/authenticate.ts'
import type { Configuration } from '../configuration/configuration.ts'
import type { ServiceGroup } from '../groups/service-group.ts'
import { mergeAllowedRegions } from '../routing/allowed-regions.ts'
import { estimateResponseMs, type DomainCandidate } from '../routing/select-endpoint.ts'
import { createRetryRefusal, type Operation } from './operation.ts'
import { findReadTarget, listReadCandidates, measureResponseAgeMs, type ReadCandidates } from './read-targets.ts'
import { createFailureOutcome } from './run-read.ts'
import { findPrimaryRefusal } from './run-write.ts'
import type { StatementContext } from './statement-context.ts'
import { refuseRuledOutRead } from './usable-pools.ts'

export type OperationExplanation = Omit<StatementExplanation, 'vm' | 'configurationVersion'>

/** Creates the operation that a client of the workspace would request. @returns what is not known if a name is not */
export function createExplainedOperation ({ routes, workspaces }: Configuration, workspaceName: string, database: string, kind: ExplainedKind, nowMs: number): Operation | { unknown: string } {
  const route = routes.find(r => r.database === database)
  if (route === undefined) return { unknown: `no database ${database}` }
  const workspace = workspaces.find(w => w.name === workspaceName)
  if (workspace === undefined && !(workspaceName === ANONYMOUS_WORKSPACE && route.isPublic)) return { unknown: `no workspace ${workspaceName}` }
  return {
    statement: { id: 'explain', text: '', type: kind === 'read' ? 'read' : 'write' },
    requiredState: { session: 'explain', sessionValues: new Map(), preparedStatements: new Map() },
    preparedName: null,
    workspace: workspaceName,
    route,
    allowedRegions: mergeAllowedRegions(route.allowedRegions, workspace?.allowedRegions),
    sessionPosition: null,
    receivedAtMs: nowMs
  }
}

/** Explains where an operation would go now, by the decisions that also its statement would meet. Sends nothing to an endpoint, and counts and logs no refusal. */
export function describeOperation (statementContext: StatementContext, group: ServiceGroup, operation: Operation, kind: ExplainedKind): OperationExplanation {
  const context = { ...statementContext, recordRuledOut: undefined }
  const { clock, location } = context
  const nowMs = clock.readNow()
  const uses = { read: 'read', write: 'only', transaction: 'transaction' } as const
  const listed = listReadCandidates(group, operation, new Set(), location, nowMs, uses[kind])
  const read = kind === 'read' ? listed : listWithoutReplicas(group, listed)
  const { destinations, requiredPosition, refusal } = kind === 'read' ? describeRead(context, group, operation, read) : describeWrite(context, group, operation, kind)
  const { primary, leadershipLeaseEndsMs, lastResponseAtMs } = group.state
  return {
    workspace: operation.workspace,
    database: operation.route.database,
    kind,
    service: group.service,
    ...operation.allowedRegions === undefined ? {} : { allowedRegions: [...operation.allowedRegions] },
    destinations,
    requiredPosition,
    refusal,
    candidates: read.candidates.map(c => describeCandidate(group, c, nowMs)),
    ruledOut: read.ruledOut,
    evacuations: [...group.evacuations].map(([domain, { phase, learnedAgeMs, source }]) => ({ domain, phase, learnedAgeMs: Math.round(learnedAgeMs), source })),
    primary: primary === null ? null : { ...primary, responseAgeMs: measureResponseAgeMs(lastResponseAtMs, nowMs), leaseLeftMs: Math.max(0, Math.round(leadershipLeaseEndsMs - nowMs)), isWritable: group.isWritable },
    ...kind !== 'read' || context.leaving === undefined ? {} : { leaving: context.leaving.describeDecision(group.service) }
  }
}

function listWithoutReplicas (group: ServiceGroup, { candidates, ruledOut }: ReadCandidates): ReadCandidates {
  const replicas = candidates.filter(c => c.endpoint !== group.primaryPool?.entry.endpoint)
  return { candidates: candidates.filter(c => !replicas.includes(c)), ruledOut: [...ruledOut, ...replicas.map(({ endpoint, failureDomain }) => ({ endpoint, failureDomain, reason: 'not the primary' }))] }
}

type Destination = Pick<OperationExplanation, 'destinations' | 'requiredPosition' | 'refusal'>

function describeRead (context: StatementContext, group: ServiceGroup, operation: Operation, { candidates }: ReadCandidates): Destination {
  const ruledOut = refuseRuledOutRead(context, group, operation)
  if (ruledOut !== undefined) return refuseDestination(ruledOut.refusal.text)
  const target = findReadTarget(group, operation, new Set(), context.location, context.clock, context.leaving)
  if (typeof target === 'string') {
    const outcome = createFailureOutcome(context, group, operation, target, undefined)
    return refuseDestination('refusal' in outcome ? outcome.refusal.text : null)
  }
  const { pool, requiredPosition } = target
  const isPrimaryOnly = requiredPosition === null
  const destinations = isPrimaryOnly || context.leaving === undefined ? [{ endpoint: pool.entry.endpoint, share: 1 }] : context.leaving.listDestinations(group, candidates)
  return { destinations, requiredPosition, refusal: null }
}

function describeWrite (context: StatementContext, group: ServiceGroup, operation: Operation, kind: 'write' | 'transaction'): Destination {
  const refusal = findPrimaryRefusal(context, group, operation, kind === 'write' ? 'only' : 'transaction')
  if (refusal !== undefined) return refuseDestination(refusal.refusal.text)
  const pool = group.primaryPool
  if (pool === undefined || !group.isWritable) return refuseDestination(createRetryRefusal('busy', 'the service has no primary now', context.estimateRecoveryMs(group)).refusal.text)
  return { destinations: [{ endpoint: pool.entry.endpoint, share: 1 }], requiredPosition: null, refusal: null }
}

function refuseDestination (text: string | null): Destination {
  return { destinations: [], requiredPosition: null, refusal: text }
}

function describeCandidate (group: ServiceGroup, candidate: DomainCandidate, nowMs: number): OperationExplanation['candidates'][number] {
  const { load, ...described } = candidate
  const pool = group.pools.get(candidate.endpoint)!
  return {
    ...described,
    averageResponseMs: candidate.averageResponseMs === null ? null : Math.round(candidate.averageResponseMs),
    estimatedMs: Math.round(estimateResponseMs(candidate)),
    responseAgeMs: measureResponseAgeMs(pool.health.lastResponseAtMs, nowMs),
    running: load - pool.pendingRequestCount,
    waiting: pool.pendingRequestCount,
    // Without the random part, by which return times are spread.
    returnMs: pool.estimateReturnMs(0)
  }
}
