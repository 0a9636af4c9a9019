/** Outcome of one operation or statement as its client saw it. */
export type Outcome =
  | 'ok'
  /** Not run, refused by the rate limit. */
  | 'limited'
  /** Not run, refused for another reason. */
  | 'refused'
  /** May or may not have run. */
  | 'unknown'
  /** Failed with an error of the endpoint, or before its first statement was sent. */
  | 'failed'

export type OperationKind = 'read' | 'write' | 'transaction'

/** One operation of a client. Times are in milliseconds since the run began. */
export interface Sample {
  workspace: string
  database: string
  kind: OperationKind
  /** Number of statements that count against the rate; at least 1. */
  statements: number
  /** When the operation was due. Latency counts from here, so that it includes the wait behind a stalled system. */
  intendedAtMs: number
  startedAtMs: number
  endedAtMs: number
  outcome: Outcome
  /** Reason of a refusal or message of an error; empty for outcome `ok`. */
  reason: string
}
