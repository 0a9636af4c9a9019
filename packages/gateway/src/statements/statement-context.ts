import type { Clock, LogPosition } from '@camphorpitch/wire'
import type { EndpointResponse } from '../backend/endpoint-connector.ts'
import type { ServiceGroup } from '../groups/service-group.ts'
import type { EndpointPool } from '../pool/endpoint-pool.ts'
import type { RestoreRefusal } from '../pool/pooled-connection.ts'
import type { RuledOutEndpoint } from '../routing/usable-endpoints.ts'
import type { LeavingControl } from './leaving-control.ts'
import type { Operation } from './operation.ts'
import type { VmLocation } from './read-targets.ts'

/** What became of a response that arrived without a lease of the primary's leadership. */
export type UnleasedOutcome = 'verified' | 'in doubt'

/** What the functions that run statements need from the other components of this VM. */
export interface StatementContext {
  clock: Clock
  location: VmLocation
  /** Decides which reads leave the failure domain; absent for the endpoint with the lowest estimate. */
  leaving?: LeavingControl
  /** Verifies with the group's endpoints that the primary still leads. Resolves when this is done, or after `waitMs`. */
  verifyLeadership: (group: ServiceGroup, waitMs: number) => Promise<void>
  /** Learns the end of the primary's log from the primary itself, for reads that must not run there. Resolves when this is done, or after `waitMs`. */
  readPrimaryPosition?: (group: ServiceGroup, waitMs: number) => Promise<void>
  /** Looks for the current primary, after the endpoint that this VM took for the primary reported that it does not lead. */
  refreshPrimary: (group: ServiceGroup) => void
  /** Estimates the time until the group accepts writes again, in milliseconds. */
  estimateRecoveryMs: (group: ServiceGroup) => number
  /** Timeout of a rollback, in milliseconds. After it the connection is closed, which also rolls back. */
  rollbackTimeoutMs: number
  /** Logs an endpoint's response to a statement, also when it is an error. */
  logResponse: (operation: Operation, pool: EndpointPool, requiredPosition: LogPosition | null, response: EndpointResponse) => void
  /** Logs and counts an endpoint's response to a write or commit that arrived while the primary's leadership was revoked or not verified. */
  recordUnleasedResponse: (operation: Operation, group: ServiceGroup, pool: EndpointPool, response: EndpointResponse, outcome: UnleasedOutcome) => void
  /** Logs and counts the refusal of an operation that may use none of the endpoints that could run it. */
  recordRuledOut?: (operation: Operation, group: ServiceGroup, ruledOut: readonly RuledOutEndpoint[], retryAfterMs: number) => void
  /** Logs and counts that an endpoint has refused a command which gives a connection the session's state. */
  recordRestoreRefusal: (operation: Operation, pool: EndpointPool, refusal: RestoreRefusal) => void
  /** Logs that an endpoint did not respond to a statement. */
  logNoResponse: (operation: Operation, pool: EndpointPool, reason: string) => void
}
