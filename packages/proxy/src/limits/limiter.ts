/** The result of one admission request. A refused client may retry after `retryAfterMs`. */
export type Admission = { admitted: true } | { admitted: false, retryAfterMs: number, reason: string }

/** Counts statements against a workspace's rate and burst over the whole fleet. */
export abstract class Limiter {
  /**
   * Requests admission of one statement of the workspace.
   *
   * Resolves within `timeoutMs` and never rejects. A refusal is final for this request; its `retryAfterMs` says when to retry.
   */
  abstract admit (workspace: string, timeoutMs: number): Promise<Admission>
}
