import type { Clock, Database, Logger, RetryBudget, StatementRequest } from '@camphorpitch/wire'
import type { GroupView } from '../failover/group-view.ts'
import type { EndpointPools } from '../pool/endpoint-pools.ts'
import type { BaselineHistory } from '../routing/baseline-history.ts'
import type { Cancellation } from './cancellation.ts'
import type { TermBarrier } from './term-barrier.ts'

/** State and helpers shared by the steps that serve one database. */
export interface ServingContext {
  database: Database
  group: GroupView
  pools: EndpointPools
  clock: Clock
  logger: Logger
  /** Failure domain of this VM. */
  failureDomain: string
  /** Limits how many statements are sent again. */
  retryBudget: RetryBudget
  termBarrier: TermBarrier
  readBaselineHistory: () => BaselineHistory
  /** Resolves at the next change of the group, or after `timeoutMs`. */
  waitForChange: (timeoutMs: number) => Promise<void>
}

/** A request with its deadline on this VM's clock. */
export interface AcceptedRequest extends StatementRequest {
  deadlineMs: number
  cancellation: Cancellation
}

/** Returns the milliseconds until the request's deadline; negative after it, and 0 for a cancelled request. */
export function computeTimeLeftMs (context: ServingContext, request: AcceptedRequest): number {
  if (request.cancellation.isCancelled) return 0
  return request.deadlineMs - context.clock.readNow()
}

/** Logs the endpoint that a statement is sent to, and why that endpoint was chosen. */
export function logRoutingDecision (context: ServingContext, request: StatementRequest, endpoint: string, reason: string): void {
  context.logger.debug('statement routed', {
    request: request.requestId,
    workspace: request.workspace,
    database: request.database,
    endpoint,
    reason
  })
}
