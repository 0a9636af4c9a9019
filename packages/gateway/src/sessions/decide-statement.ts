import type { ResponseError, ClientStatement, TransactionState } from '../backend/statement.ts'
import type { ClientResponse } from '../clients/client-listener.ts'
import type { PreparedStatement } from '../pool/pooled-connection.ts'
import { createRetryRefusal } from '../statements/operation.ts'

/** State that a session keeps for its client between statements. */
export interface SessionState {
  transaction: TransactionState
  /** Whether the open transaction only reads. */
  isReadOnly: boolean
  /** Replaced as a whole on each change: statements that were sent keep the values of their time. */
  sessionValues: ReadonlyMap<string, string>
  /** As `sessionValues`. */
  preparedStatements: ReadonlyMap<string, PreparedStatement>
  /** Memory that both take, in bytes. */
  keptBytes: number
}

/** What the session does with a statement. */
export type StatementPlan =
  /** The session responds without an endpoint. */
  | { type: 'answer', error: ResponseError | null }
  /** The session responds at once; the transaction is opened at an endpoint with its first statement. */
  | { type: 'begin' }
  | { type: 'run', isWrite: boolean, preparedName: string | null }
  | { type: 'commit' }
  | { type: 'rollback' }
  /** Ends a failed transaction, of which nothing is kept, whether the client commits or rolls back. */
  | { type: 'endFailed', isCommit: boolean }

export function createSessionState (): SessionState {
  return { transaction: 'idle', isReadOnly: false, sessionValues: new Map(), preparedStatements: new Map(), keptBytes: 0 }
}

function createErrorPlan (code: ResponseError['code'], text: string): StatementPlan {
  return { type: 'answer', error: { code, text } }
}

/**
 * Decides what to do with a statement. Updates `state` when it begins a transaction, sets a session value, or prepares
 * or closes a prepared statement.
 *
 * @example decideStatement(createSessionState(), { id: '1', text: 'READ 1a4', type: 'read' }) // { type: 'run', isWrite: false, preparedName: null }
 */
export function decideStatement (state: SessionState, statement: ClientStatement): StatementPlan {
  if (state.transaction === 'failed') return decideInFailedTransaction(statement)
  switch (statement.type) {
    case 'begin': return decideBegin(state, statement.isReadOnly)
    case 'commit':
    case 'rollback': return state.transaction === 'idle' ? createErrorPlan('malformed', 'no transaction is open') : { type: statement.type }
    case 'read': return { type: 'run', isWrite: false, preparedName: null }
    case 'write': return decideWrite(state, null)
    case 'execute': return decideExecute(state, statement.name)
    default: return applySessionStatement(state, statement)
  }
}

function decideInFailedTransaction (statement: ClientStatement): StatementPlan {
  if (statement.type === 'commit' || statement.type === 'rollback') return { type: 'endFailed', isCommit: statement.type === 'commit' }
  return createErrorPlan('malformed', 'the transaction has failed')
}

function decideBegin (state: SessionState, isReadOnly: boolean): StatementPlan {
  if (state.transaction !== 'idle') return createErrorPlan('malformed', 'a transaction is open already')
  state.transaction = 'open'
  state.isReadOnly = isReadOnly
  return { type: 'begin' }
}

function decideWrite (state: SessionState, preparedName: string | null): StatementPlan {
  if (state.transaction === 'open' && state.isReadOnly) return createErrorPlan('readOnly', 'the transaction only reads')
  return { type: 'run', isWrite: true, preparedName }
}

function decideExecute (state: SessionState, name: string): StatementPlan {
  const prepared = state.preparedStatements.get(name)
  if (prepared === undefined) return createErrorPlan('noStatement', `no prepared statement ${name}`)
  return prepared.mode === 'write' ? decideWrite(state, name) : { type: 'run', isWrite: false, preparedName: name }
}

/** Memory that a value or a prepared statement takes beside its text, in bytes: two of a session's maps have an entry for it. */
const ENTRY_BYTES = 200

/**
 * Measures how much more memory the session keeps after a statement, in bytes; negative if it keeps less.
 *
 * @example measureKeptGrowth(createSessionState(), { id: '1', text: 'SET app x', type: 'setValue', name: 'app', value: 'x' }) // 204
 */
export function measureKeptGrowth ({ transaction, sessionValues, preparedStatements }: SessionState, statement: ClientStatement): number {
  if (transaction === 'failed') return 0
  const measure = (name: string, text?: string): number => text === undefined ? 0 : ENTRY_BYTES + name.length + text.length
  const measureShape = (name: string): number => measure(name, preparedStatements.get(name)?.shape)
  switch (statement.type) {
    case 'setValue': return measure(statement.name, statement.value) - measure(statement.name, sessionValues.get(statement.name))
    case 'prepare': return measure(statement.name, statement.shape) - measureShape(statement.name)
    case 'closeStatement': return -measureShape(statement.name)
    default: return 0
  }
}

function applySessionStatement (state: SessionState, statement: ClientStatement): StatementPlan {
  const { sessionValues, preparedStatements } = state
  state.keptBytes += measureKeptGrowth(state, statement)
  if (statement.type === 'setValue') state.sessionValues = new Map(sessionValues).set(statement.name, statement.value)
  else if (statement.type === 'prepare') {
    const { name, mode, shape } = statement
    state.preparedStatements = new Map(preparedStatements).set(name, { mode, shape })
  } else if (statement.type === 'closeStatement') {
    state.preparedStatements = new Map([...preparedStatements].filter(([name]) => name !== statement.name))
  }
  return { type: 'answer', error: null }
}

/** How far a statement has come whose outcome is not waited for. */
export interface UnfinishedStatement {
  /** Whether it may have reached an endpoint. */
  isAdmitted: boolean
  transaction: TransactionState
  reason: string
}

/**
 * Decides how a statement is answered whose outcome is not waited for. The rollback of an open transaction is certain, as its connection
 * ends.
 *
 * @example
 * const write = { id: '1', text: 'WRITE 1a4 x', type: 'write' }
 * decideLastResponse(write, { isAdmitted: true, transaction: 'idle', reason: 'the VM stops' }) // error `inDoubt`
 */
export function decideLastResponse ({ type }: ClientStatement, { isAdmitted, transaction, reason }: UnfinishedStatement): ClientResponse {
  if (!isAdmitted) return { error: createRetryRefusal('busy', reason, 0).refusal, state: 'idle' }
  if (transaction === 'open' && type !== 'commit') return { error: { code: 'aborted', text: reason }, state: 'failed' }
  return { error: { code: type === 'read' ? 'failed' : 'inDoubt', text: reason }, state: 'idle' }
}
