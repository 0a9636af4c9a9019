import { MAX_STATUS_SERVICES, MAX_STATUS_WORKSPACES, type Clock, type EndpointDoubt, type GatewayStatus } from '@camphorpitch/wire'
import type { ConfigurationHolder } from '../configuration/configuration-holder.ts'
import type { Evacuations } from '../evacuation/evacuations.ts'
import { listResponsive, type MemberState } from '../fleet/members.ts'
import { isPrimaryFresh } from '../freshness/group-state.ts'
import type { GroupTable } from '../groups/group-table.ts'
import type { ServiceGroup } from '../groups/service-group.ts'
import type { QuotaCounter } from '../limits/quota-counter.ts'
import type { MetadataStore } from '../metadata/metadata-store.ts'
import { isUnresponsive } from '../pool/endpoint-health.ts'
import type { EndpointPool } from '../pool/endpoint-pool.ts'

export interface StatusSources {
  clock: Clock
  configuration: ConfigurationHolder
  store: MetadataStore
  members: MemberState
  groups: GroupTable
  quotas: QuotaCounter
  evacuations: Evacuations
  isReady: () => boolean
  countSessions: () => number
}

/** Describes for operators how this VM sees the fleet and the services, and what it uses. */
export function createGatewayStatus ({ clock, configuration, store, members, groups, quotas, evacuations, isReady, countSessions }: StatusSources): GatewayStatus {
  const nowMs = clock.readNow()
  return {
    vm: members.self.vm,
    isReady: isReady(),
    configurationVersion: configuration.version,
    storeEpoch: store.epochs.current,
    vms: { known: members.members.size, heard: listResponsive(members, nowMs).length },
    sessions: countSessions(),
    evacuations: [...evacuations.list()].map(([domain, { phase, learnedAgeMs, source }]) => ({ domain, phase, learnedAgeMs: Math.round(learnedAgeMs), source })),
    services: groups.list().slice(0, MAX_STATUS_SERVICES).map(g => describeGroup(g, nowMs)),
    workspaces: quotas.listUsage().sort((a, b) => b.demand / b.allowed - a.demand / a.allowed).slice(0, MAX_STATUS_WORKSPACES)
  }
}

function describeGroup (group: ServiceGroup, nowMs: number): GatewayStatus['services'][number] {
  const { primary, acknowledged } = group.state
  const doubtful = [...group.pools.values()].map(p => ({ endpoint: p.entry.endpoint, doubts: [...listDoubts(p, nowMs), ...group.isCold(p) ? ['cold' as const] : []], ...group.isCold(p) && { share: group.readWarmupShare(p.entry.endpoint) } })).filter(d => d.doubts.length > 0)
  return {
    service: group.service,
    primary: primary?.endpoint ?? null,
    term: primary?.term ?? 0,
    isTrusted: isPrimaryFresh(group.state, 0, nowMs),
    acknowledged,
    endpoints: group.pools.size,
    doubtful
  }
}

/** Lists the reasons why an endpoint is not used, or other endpoints are preferred to it; empty for a healthy one. */
export function listDoubts (pool: Pick<EndpointPool, 'entry' | 'health' | 'laggingUntilMs'>, nowMs: number): EndpointDoubt[] {
  const { entry, health, laggingUntilMs } = pool
  const doubts: EndpointDoubt[] = []
  if (entry.isDraining) doubts.push('draining')
  if (nowMs < laggingUntilMs) doubts.push('lagging')
  if (isUnresponsive(health, nowMs)) doubts.push('silent')
  if (health.refusedSinceMs !== null) doubts.push('refusing')
  else if (nowMs < health.avoidUntilMs) doubts.push('avoided')
  return doubts
}
