import type { Endpoint, InstanceStatus } from '@camphorpitch/wire'

/** Input of the failover slice. Times are monotonic milliseconds of this VM. */
export type FailoverMessage =
  | { type: 'tick', rank: number }
  | { type: 'probeSent', endpoint: string }
  /** A status returned by a probe or by any other command, which was sent at `sentAtMs`. */
  | { type: 'probeAnswered', endpoint: string, sentAtMs: number, status: InstanceStatus }
  /** `refused` is true when the instance's port does not accept connections. */
  | { type: 'probeFailed', endpoint: string, sentAtMs: number, refused: boolean }
  | { type: 'fenceGranted', endpoint: string, promoter: string, sentAtMs: number, status: InstanceStatus }
  /** The instance has already promised a newer term, or the same term to another promoter. */
  | { type: 'fenceRefused', endpoint: string, promoter: string }
  | { type: 'promoteAnswered', endpoint: string, promoter: string, sentAtMs: number, status: InstanceStatus }
  | { type: 'promoteFailed', endpoint: string, promoter: string }

export type FailoverStage = 'primaryLost' | 'electionStarted' | 'fenceGranted' | 'electionFailed' | 'promoting' | 'promoted' | 'following' | 'recovered'

/** Output of the failover slice: what its host must do. */
export type FailoverEffect =
  | { type: 'fence', endpoint: string, term: number, promoter: string }
  | { type: 'promote', endpoint: string, term: number, promoter: string }
  | { type: 'follow', endpoint: string, term: number, primary: Endpoint }
  | { type: 'log', stage: FailoverStage, fields: Record<string, unknown> }
  /** The primary or the reachability of an instance may have changed, so listeners must be called. */
  | { type: 'changed' }
