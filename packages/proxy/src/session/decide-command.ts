import type { ResponseFrame, Contract, FleetSecret, LogPosition, Refusal, StatementClass } from '@camphorpitch/wire'
import { classifyStatement, trimStatement } from './classify-statement.ts'
import { dropPosition, recordPosition, type SessionState } from './state.ts'
import { parseProxyCommand, type ProxyCommand } from './proxy-command.ts'
import { applyToken, SessionTokenError, signToken } from './token.ts'

/** What the entry VM must do for one statement of a client. */
export type CommandDecision =
  | { kind: 'ok' }
  | { kind: 'token', token: string }
  | { kind: 'refuse', refusal: Refusal }
  | { kind: 'run', statement: PlannedStatement }

/** A statement that is to run; request id and timeout are added when it is sent. */
export interface PlannedStatement {
  database: string
  text: string
  class: StatementClass
  required: LogPosition | null
  maxAgeMs: number
  transactionId: string | null
  /** VM that holds the open transaction, on which the statement must run; `null` outside a transaction. */
  pinnedVm: string | null
  writeId: string | null
}

export interface CommandContext {
  contract: Contract
  secret: FleetSecret | undefined
}

/** Time after which a client may retry while this VM has no session secret, in milliseconds. */
const MISSING_SECRET_RETRY_AFTER_MS = 1_000

/** Decides what to do for a statement. Commands to the proxy itself change the session immediately. */
export function decideCommand (session: SessionState, text: string, context: CommandContext): CommandDecision {
  const trimmed = trimStatement(text)
  if (trimmed === '') return refuseCommand('the statement is empty')
  const proxyCommand = parseProxyCommand(trimmed)
  if (proxyCommand !== undefined) return applyProxyCommand(session, proxyCommand, context)
  const classification = classifyStatement(trimmed, session.transaction !== null)
  if (classification.kind === 'unsupported') return refuseCommand(classification.reason)
  return planStatement(session, trimmed, classification.class, context.contract)
}

function refuseCommand (reason: string): CommandDecision {
  return { kind: 'refuse', refusal: { kind: 'notRunDenied', reason } }
}

function applyProxyCommand (session: SessionState, command: ProxyCommand, context: CommandContext): CommandDecision {
  switch (command.kind) {
    case 'ignore': return { kind: 'ok' }
    case 'invalid': return refuseCommand(command.reason)
    case 'setMaxAge':
      session.maxAgeMs = command.maxAgeMs
      return { kind: 'ok' }
    case 'setWriteId':
      session.writeId = command.writeId
      return { kind: 'ok' }
    case 'useDatabase': return selectDatabase(session, command.database, context.contract)
    case 'readSession': return readSession(session, context.secret)
    case 'resumeSession': return resumeSession(session, command.token, context.secret)
  }
}

/** Changes the session's database; refused if the contract does not name it or a transaction is open. */
export function selectDatabase (session: SessionState, database: string, contract: Contract): CommandDecision {
  if (contract.databases[database] === undefined) return refuseCommand(`the contract names no database '${database}'`)
  if (session.transaction !== null) return refuseCommand('a transaction is open on another database')
  session.database = database
  return { kind: 'ok' }
}

function refuseUntilSecretKnown (): CommandDecision {
  return { kind: 'refuse', refusal: { kind: 'notRunRetry', reason: 'the fleet has no session secret yet', retryAfterMs: MISSING_SECRET_RETRY_AFTER_MS } }
}

function readSession (session: SessionState, secret: FleetSecret | undefined): CommandDecision {
  if (secret === undefined) return refuseUntilSecretKnown()
  return { kind: 'token', token: signToken(session, secret) }
}

function resumeSession (session: SessionState, token: string, secret: FleetSecret | undefined): CommandDecision {
  if (secret === undefined) return refuseUntilSecretKnown()
  try {
    applyToken(session, token, secret)
    return { kind: 'ok' }
  } catch (error) {
    if (!(error instanceof SessionTokenError)) throw error
    return refuseCommand(error.message)
  }
}

function planStatement (session: SessionState, text: string, statementClass: StatementClass, contract: Contract): CommandDecision {
  const { transaction } = session
  const database = transaction?.database ?? session.database
  if (database === null) return refuseCommand('no database is selected')
  const denialReason = findDenialReason(session, database, statementClass, contract)
  if (denialReason !== undefined) return refuseCommand(denialReason)
  const hasNoTransactionToEnd = transaction === null && (statementClass === 'commit' || statementClass === 'rollback')
  if (hasNoTransactionToEnd) return { kind: 'ok' }
  return { kind: 'run', statement: createStatement(session, database, text, statementClass, contract) }
}

function findDenialReason (session: SessionState, database: string, statementClass: StatementClass, contract: Contract): string | undefined {
  const access = contract.databases[database]
  if (access === undefined) return `the contract names no database '${database}'`
  if (access.access === 'read' && statementClass !== 'read') return `the contract allows only reads of '${database}'`
  if (session.transaction !== null && statementClass === 'begin') return 'a transaction is open already'
  return undefined
}

function createStatement (session: SessionState, database: string, text: string, statementClass: StatementClass, contract: Contract): PlannedStatement {
  const { transaction } = session
  const canUseWriteId = statementClass === 'write' && transaction === null
  const writeId = canUseWriteId ? session.writeId : null
  if (canUseWriteId) session.writeId = null
  return {
    database,
    text,
    class: statementClass,
    required: session.positions.get(database) ?? null,
    maxAgeMs: session.maxAgeMs ?? contract.databases[database]?.defaultMaxAgeMs ?? 0,
    transactionId: transaction?.id ?? null,
    pinnedVm: transaction?.vm ?? null,
    writeId
  }
}

/** Updates the session's position and transaction from one frame of a response. */
export function applyFrame (session: SessionState, statement: PlannedStatement, vm: string, frame: ResponseFrame): void {
  switch (frame.kind) {
    case 'ok': return applyOk(session, statement, vm, frame)
    case 'position': return recordPosition(session, statement.database, frame.position)
    case 'refused': return applyRefusal(session, statement, frame.refusal)
    default:
  }
}

function applyOk (session: SessionState, statement: PlannedStatement, vm: string, frame: ResponseFrame & { kind: 'ok' }): void {
  if (frame.position !== null) recordPosition(session, statement.database, frame.position)
  session.transaction = frame.transactionId === null ? null : { database: statement.database, id: frame.transactionId, vm }
}

function applyRefusal (session: SessionState, statement: PlannedStatement, refusal: Refusal): void {
  const hasTransactionEnded = refusal.kind === 'transactionLost' || (statement.class === 'commit' && refusal.kind === 'outcomeUnknown')
  if (hasTransactionEnded) session.transaction = null
}

/**
 * Drops the session's position after a read that sent its rows but no position.
 *
 * What the read saw may be newer than the position of the session. In a transaction nothing changes.
 */
export function handleMissingPosition (session: SessionState, statement: PlannedStatement): void {
  if (statement.transactionId === null) dropPosition(session, statement.database)
}
