import type { Endpoint, InstanceStatus, LogPosition } from '@camphorpitch/wire'

/** One instance of a database group as last probed by this VM. */
export interface InstanceView {
  endpoint: Endpoint
  /** Last status received; `null` before the first. */
  status: InstanceStatus | null
  /** Monotonic milliseconds at which the probe that returned `status` was sent. */
  probedAtMs: number
  /** False once probes have had no response, or have been refused a connection, for longer than the threshold. */
  isReachable: boolean
}

/** What a serving VM knows of a database group. A VM has one view for each database that it serves. */
export abstract class GroupView {
  abstract listInstances (): readonly InstanceView[]
  /** The reachable instance that reports to be primary in the highest term; its writes may still turn out not to be durable. */
  abstract findPrimary (): { endpoint: Endpoint, term: number } | undefined
  /**
   * Returns the status from a probe that begins after this call; concurrent calls share one probe.
   *
   * @throws InstanceUnreachableError when the instance does not respond or is not in the group
   * @throws InstanceRefusalError when the instance returns an error
   */
  abstract probeInstance (endpoint: string): Promise<InstanceStatus>
  /**
   * Returns a position that includes every write acknowledged before this call: the latest over a
   * majority of the instances, each probed after the call.
   *
   * @throws NoQuorumError when no majority responds within `timeoutMs`
   */
  abstract readBaseline (timeoutMs: number): Promise<LogPosition>
  /**
   * Resolves to true once a quorum of instances, the primary of `position.term` included, holds
   * `position` in that term, so that the entry survives any promotion; to false when that cannot
   * happen any more, or did not happen within `timeoutMs`.
   */
  abstract waitDurable (position: LogPosition, timeoutMs: number): Promise<boolean>
  /** Milliseconds until the group is expected to accept writes again, for refusals; 0 when it accepts them now. */
  abstract estimateRecoveryMs (): number
  /** Calls `listener` whenever the primary or the reachability of an instance may have changed. */
  abstract subscribe (listener: () => void): void
  abstract stop (): void
}
