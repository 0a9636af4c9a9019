import type { Clock, LogPosition } from '@camphorpitch/wire'
import type { EndpointAnswer } from '../backend/endpoint-connector.ts'
import type { ServiceGroup } from '../groups/service-group.ts'
import type { EndpointPool } from '../pool/endpoint-pool.ts'
import type { Operation } from './operation.ts'
import type { VmLocation } from './read-targets.ts'

/** What running statements needs of the rest of the VM. */
export interface StatementContext {
  clock: Clock
  location: VmLocation
  /** Asks the group whether its primary still leads. */
  verifyLeadership: (group: ServiceGroup, waitMs: number) => Promise<void>
  /** Asks which endpoint leads, after one that was taken for the primary said that it does not. */
  refreshPrimary: (group: ServiceGroup) => void
  /** Milliseconds until the group is likely to take writes again. */
  estimateRecoveryMs: (group: ServiceGroup) => number
  /** Time for an endpoint to roll back, in milliseconds, before the connection is closed instead. */
  rollbackTimeoutMs: number
  logResponse: (operation: Operation, pool: EndpointPool, atLeast: LogPosition | null, answer: EndpointAnswer) => void
  logNoResponse: (operation: Operation, pool: EndpointPool, reason: string) => void
}
