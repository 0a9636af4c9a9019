import type { Logger } from '@camphorpitch/wire'
import type { RestoreRefusal } from '../pool/pooled-connection.ts'
import type { GatewayMetrics } from '../telemetry/gateway-metrics.ts'
import type { Operation } from './operation.ts'

/** Logs and counts that an endpoint has refused a command which gives a connection the session's state. Values are not logged. */
export function recordRestoreRefusal (
  { statement, requiredState, workspace, route, receivedAtMs }: Operation,
  endpoint: string,
  { command, response }: RestoreRefusal,
  nowMs: number,
  logger: Logger,
  metrics: Pick<GatewayMetrics, 'restoreRefusals'>
): void {
  const code = response.error?.code
  metrics.restoreRefusals.inc({ service: route.service, code })
  logger.warn('endpoint refused session state, its connection is closed', {
    id: statement.id,
    type: statement.type,
    session: requiredState.session,
    workspace,
    endpoint,
    command,
    code,
    state: response.state,
    elapsedMs: Math.round(nowMs - receivedAtMs)
  })
}
