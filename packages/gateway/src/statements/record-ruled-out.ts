import type { Logger } from '@camphorpitch/wire'
import type { ServiceGroup } from '../groups/service-group.ts'
import type { RuledOutEndpoint } from '../routing/usable-endpoints.ts'
import type { GatewayMetrics } from '../telemetry/gateway-metrics.ts'
import type { Operation } from './operation.ts'

/** Logs and counts the refusal of an operation that may use none of the endpoints that could run it. */
export function recordRuledOut ({ statement, workspace, route, allowedRegions }: Operation, { service, evacuations }: ServiceGroup, ruledOut: readonly RuledOutEndpoint[], retryAfterMs: number, logger: Logger, metrics: Pick<GatewayMetrics, 'ruledOutRefusals'>): void {
  const reasons = new Set(ruledOut.map(r => r.reason))
  metrics.ruledOutRefusals.inc({ service, reason: reasons.has('evacuated') ? 'evacuation' : reasons.has('draining') ? 'draining' : 'regions' })
  logger.info('operation refused because it may use none of the endpoints that could run it', {
    id: statement.id,
    type: statement.type,
    workspace,
    route: route.name,
    service,
    allowedRegions,
    ruledOut,
    evacuations: Object.fromEntries([...evacuations].map(([domain, { phase, learnedAgeMs, source }]) => [domain, { phase, learnedAgeMs: Math.round(learnedAgeMs), source }])),
    retryAfterMs
  })
}
