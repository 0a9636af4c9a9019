import { describeError, type Clock, type Logger, type LogPosition } from '@camphorpitch/wire'
import type { EndpointStatus } from '../backend/endpoint-connector.ts'
import type { Promoter } from '../backend/promoter.ts'
import type { EndpointEntry } from '../directory/endpoint-entry.ts'
import type { KnownOrder, KnownPrimary } from '../freshness/group-state.ts'
import type { EndpointStart, ReportedDeparture } from '../groups/departures.ts'
import type { ServiceGroup } from '../groups/service-group.ts'
import { waitFor } from '../runtime/wait-at-most.ts'
import type { ControlCommand, ControlConnections } from './control-connections.ts'
import type { FencedEndpoint, PromotionReason } from './decide-promotion.ts'
import type { Claim, DutyClaims, FormerPrimary, OpenOrder, StrayCall } from './duty-claim.ts'
import type { RecordedStart } from './recorded-starts.ts'

const MAX_BUSY_ATTEMPTS = 4
/** Time that the VMs have to confirm that they revoked the primary's leadership. */
export const REVOKE_TIMEOUT_MS = 250
export const RETRY_DELAY_MS = 25

/** Result of the request to all VMs to revoke the leadership of a primary. */
export interface Revocation {
  /** Whether every VM that may be running has confirmed. */
  hasEveryVmConfirmed: boolean
  /** Whether every VM of the fleet has confirmed, also those that are presumed stopped, and none is missing. */
  hasEveryVm: boolean
  /** When a VM last stopped, left or started, as far as this VM knows: it has forgotten the positions that it knew before. */
  lastLossAtMs: number
  /**
   * Whether no acknowledged position can lie beyond `acknowledged`: every VM has confirmed, and a commit was sent and acknowledged
   * after a VM last stopped or restarted and forgot what it knew.
   */
  hasEveryAcknowledgement: boolean
  /** Latest position that any of the VMs that confirmed knows to be acknowledged; `null` if none knows one. */
  acknowledged: LogPosition | null
  /** Primary of the latest term that any of the VMs that confirmed knows; `null` if none knows one. */
  latestPrimary: KnownPrimary | null
  /** Primary of the latest term that any of them has known and has seen to be a replica since; `null` if none has. */
  formerPrimary: KnownPrimary | null
  /** An order that any of them knows and that may still take effect; `null` if none does. */
  openOrder: KnownOrder | null
  /** The group's endpoints that the other VMs know. */
  endpoints: readonly EndpointStart[]
  /** Endpoints that the other VMs have seen leave the group. */
  departures: readonly ReportedDeparture[]
}

/** What a promotion needs from the VM that runs it. */
export interface PromotionHost {
  /** Advances at least as fast as time passes. */
  clock: Clock
  /** Advances at most as fast as time passes, for waits until what other VMs hold has ended. */
  waitClock: Clock
  logger: Logger
  vm: string
  control: ControlConnections
  claims: DutyClaims
  promoter: Promoter
  /**
   * Lists the registered endpoints in the store and updates all groups. Resolves to whether every endpoint that runs was listed; entries
   * may be missing for a while after the store could not be reached. Rejects with MetadataError if the store does not respond.
   */
  fetchEndpoints: () => Promise<boolean>
  /**
   * Reads the starts of the group's endpoints that are on record in the store, and adds those that this VM does not know to the group's
   * departures. Rejects with MetadataError if the store does not respond.
   */
  readStarts: (group: ServiceGroup) => Promise<readonly RecordedStart[]>
  /** Has all VMs, this one included, revoke the primary's leadership: they no longer send it reads on the strength of its lease. Waits for `waitMs` at most. */
  revoke: (group: ServiceGroup, term: number, isPlanned: boolean, waitMs: number) => Promise<Revocation>
  /** Tells all VMs, this one included, an order that is about to be sent. */
  publishOrder: (group: ServiceGroup, order: KnownOrder) => void
  /**
   * Tells all VMs the outcome of the attempt: the endpoint that was primary at `leadershipVerifiedAtMs`, or `null` if
   * no endpoint was promoted.
   */
  publishOutcome: (group: ServiceGroup, endpoint: string | null, term: number, leadershipVerifiedAtMs: number) => void
}

/** One attempt of this VM to replace a service's primary. */
export interface Attempt {
  host: PromotionHost
  group: ServiceGroup
  reason: PromotionReason
  claim: Claim
  /** The primary that this VM knew when the attempt began. */
  knownPrimary: KnownPrimary | null
  /** Term at which the endpoints are fenced; once the new primary is known, its term. */
  term: number
  /** Term of the old primary; 0 while it is not known. */
  replacedTerm: number
  oldPrimary: EndpointEntry | undefined
  /** The endpoint that was taken for the old primary and has turned out to be a replica; it is among `replicas`. */
  formerPrimary?: EndpointEntry
  replicas: EndpointEntry[]
  /** Replicas that have left the group, or that have come (back) since the attempt began, by start. */
  departures: Map<string, ReportedDeparture>
  /** Starts of the group's endpoints on record in the store. */
  recordedStarts: readonly RecordedStart[]
  /** Time at which the status request was sent to which the new primary responded that it leads. */
  leadershipVerifiedAtMs: number
  /** An order of this or an earlier attempt that may still take effect. */
  openOrder: OpenOrder | null
  /** Latest term that an order is seen to have begun in this attempt; 0 if none is. The claim's object may not tell it yet. */
  seenPromotedTerm: number
  /** A call for an earlier order that may still be executed; no other endpoint is ordered meanwhile. */
  stray: StrayCall | null
  /** Number of commands to resume that were sent and not answered. */
  unansweredResumes: number
  /** Whether the replicas were resumed without a promotion before, and need not be once the attempt ends. */
  hasResumedReplicas: boolean
  /** A primary that has stepped down in this or an earlier attempt, while no order was recorded since. */
  steppedDown: FormerPrimary | null
  /** Whether the claim's object in the store may hold an order that was not sent. */
  mayHaveRecordedOrder: boolean
  /** Commands that have the old primary step down; `null` if none were sent. */
  pendingDemotion: Promise<FencedEndpoint[]> | null
  /** Commands that fence endpoints again while an order is open; `null` if none are running. */
  pendingFence: Promise<void> | null
}

export interface EndpointResult { entry: EndpointEntry, status: EndpointStatus }

/** Runs a command on several endpoints at once. @returns the statuses of those that responded */
export async function runOnAll (attempt: Attempt, entries: readonly EndpointEntry[], command: ControlCommand): Promise<EndpointResult[]> {
  const results = await Promise.all(entries.map(async entry => ({ entry, status: await runWithRetries(attempt, entry, command) })))
  return results.flatMap(({ entry, status }) => status === null ? [] : [{ entry, status }])
}

/** Runs a command, with retries while the endpoint is busy. @returns `null` if it stayed busy or did not respond */
async function runWithRetries ({ host }: Attempt, entry: EndpointEntry, command: ControlCommand): Promise<EndpointStatus | null> {
  for (let attempts = 1; attempts <= MAX_BUSY_ATTEMPTS; attempts++) {
    try {
      const status = await host.control.run(entry, command)
      if (status !== null) return status
    } catch (error) {
      host.logger.info('control command failed', { endpoint: entry.endpoint, reason: describeError(error) })
      return null
    }
    await waitFor(RETRY_DELAY_MS)
  }
  return null
}
