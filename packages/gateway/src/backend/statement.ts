/** Whether a prepared statement reads or writes when it is executed. */
export type StatementMode = 'read' | 'write'

/**
 * One decoded statement of a client.
 *
 * `text` is the statement as the client sent it. Reads, writes and commits are forwarded to an endpoint with this text unchanged.
 */
export type ClientStatement = { id: string, text: string } & (
  | { type: 'begin', isReadOnly: boolean }
  | { type: 'commit' }
  | { type: 'rollback' }
  | { type: 'read' }
  | { type: 'write' }
  | { type: 'setValue', name: string, value: string }
  | { type: 'prepare', name: string, mode: StatementMode, shape: string }
  | { type: 'execute', name: string }
  | { type: 'closeStatement', name: string }
)

/** State of a connection's transaction after a response: none is open, one is open, or one has failed and must be ended. */
export type TransactionState = 'idle' | 'open' | 'failed'

/** Error codes of responses. The first six promise that nothing of the operation is kept. */
export const errorCodes = [
  'busy', 'aborted', 'lagging', 'readOnly', 'misrouted', 'tooMany',
  'failed', 'noStatement', 'timeout', 'noAuth', 'noDatabase', 'tooLarge', 'malformed', 'inDoubt'
] as const
export type ErrorCode = typeof errorCodes[number]

/** An error sent to a client or received from an endpoint; `text` describes it for people. */
export interface ResponseError { code: ErrorCode, text: string }
