/** What a prepared statement does when it is executed. */
export type StatementMode = 'read' | 'write'

/**
 * One statement of a client, decoded.
 *
 * `text` is the statement as the client sent it. Reads, writes and commits are forwarded with it unchanged.
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

/** Where a connection stands after an answer. */
export type TransactionState = 'idle' | 'open' | 'failed'

/** Reasons for an error answer. The first six promise that nothing of the operation is kept. */
export const errorCodes = [
  'busy', 'aborted', 'lagging', 'readOnly', 'misrouted', 'tooMany',
  'failed', 'noStatement', 'timeout', 'noAuth', 'noDatabase', 'tooLarge', 'malformed', 'inDoubt'
] as const
export type ErrorCode = typeof errorCodes[number]

export interface AnswerError { code: ErrorCode, text: string }
