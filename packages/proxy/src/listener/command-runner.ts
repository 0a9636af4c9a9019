import { formatRefusal, RefusalCode, type AnswerFrame, type Clock, type Contract, type Logger, type Refusal, type StatementRequest } from '@camphorpitch/wire'
import type { ConfigurationView } from '../configuration/configuration-view.ts'
import type { KeyVerdict } from '../keys/key-use.ts'
import type { Limiter } from '../limits/limiter.ts'
import { applyFrame, handleMissingPosition, selectDatabase, decideCommand, type CommandDecision, type PlannedStatement } from '../session/decide-command.ts'
import type { SessionState } from '../session/state.ts'
import type { StatementRouter } from '../statements/statement-router.ts'
import type { Metrics } from '../telemetry/metrics.ts'
import { sendToken } from './answers.ts'
import { CommandCode, MAX_STATEMENT_BYTES, type CallerCommand, type CallerSocket } from './caller-socket.ts'

const UNKNOWN_COMMAND_ERRNO = 1047

export interface CommandRunnerOptions {
  clock: Clock
  logger: Logger
  configuration: ConfigurationView
  limiter: Limiter
  router: StatementRouter
  metrics: Metrics
  /** Whether a connected caller may start another statement. */
  checkKey: (session: SessionState) => KeyVerdict
  /** Names the next request, unique over the fleet. */
  createRequestId: () => string
}

export interface CommandTarget {
  session: SessionState
  socket: CallerSocket
}

/** Runs one command of a caller from its arrival to the end of its answer. */
export async function runCommand (options: CommandRunnerOptions, target: CommandTarget, command: CallerCommand): Promise<void> {
  const { session, socket } = target
  if (command.code === CommandCode.closeStatement) return
  if (command.code === CommandCode.quit) return socket.close()
  if (command.code === CommandCode.ping) return socket.sendOk({ inTransaction: session.transaction !== null })
  const verdict = options.checkKey(session)
  if (!verdict.isAllowed) {
    sendRefusal(options, target, verdict.refusal)
    if (verdict.closesConnection) socket.close()
    return
  }
  const contract = options.configuration.findContract(session.workspace)
  if (contract === undefined) return socket.close()
  if (command.code === CommandCode.resetConnection) return resetSession(options, target)
  const decision = decideRawCommand(options, target, command, contract)
  if (decision !== undefined) await applyDecision(options, target, decision, contract)
}

function decideRawCommand (options: CommandRunnerOptions, target: CommandTarget, command: CallerCommand, contract: Contract): CommandDecision | undefined {
  const { session, socket } = target
  if (command.code !== CommandCode.query && command.code !== CommandCode.initDb) {
    socket.sendError(UNKNOWN_COMMAND_ERRNO, 'camphorpitch: not run: this command of the protocol is not supported (prepared statements: use text queries)')
    return undefined
  }
  const text = decodeText(command.payload)
  if (text === undefined || command.payload.length > MAX_STATEMENT_BYTES) {
    sendRefusal(options, target, { kind: 'notRunDenied', reason: text === undefined ? 'the statement is not valid UTF-8' : 'the statement is too large' })
    return undefined
  }
  if (command.code === CommandCode.initDb) return selectDatabase(session, text, contract)
  return decideCommand(session, text, { contract, secret: options.configuration.findFleetSecret() })
}

function decodeText (payload: Buffer): string | undefined {
  try {
    return new TextDecoder('utf-8', { fatal: true, ignoreBOM: true }).decode(payload)
  } catch {
    return undefined
  }
}

function resetSession (options: CommandRunnerOptions, target: CommandTarget): void {
  abandonTransaction(options, target.session)
  target.session.maxAgeMs = null
  target.session.writeId = null
  target.socket.sendOk()
}

/** Rolls back what the caller left open. */
export function abandonTransaction (options: CommandRunnerOptions, session: SessionState): void {
  const { transaction } = session
  if (transaction === null) return
  session.transaction = null
  options.router.abandon(transaction.vm, transaction.database, transaction.id)
}

async function applyDecision (options: CommandRunnerOptions, target: CommandTarget, decision: CommandDecision, contract: Contract): Promise<void> {
  const { socket, session } = target
  switch (decision.kind) {
    case 'ok': return socket.sendOk({ inTransaction: session.transaction !== null })
    case 'token': return sendToken(socket, decision.token)
    case 'refuse': return sendRefusal(options, target, decision.refusal)
    case 'run': return await runStatement(options, target, decision.statement, contract)
  }
}

async function runStatement (options: CommandRunnerOptions, target: CommandTarget, statement: PlannedStatement, contract: Contract): Promise<void> {
  const { session } = target
  const startedMs = options.clock.readNow()
  // Ending a transaction is not counted: refusing it would hold the endpoint's connection.
  const isCounted = statement.class !== 'commit' && statement.class !== 'rollback'
  if (isCounted) {
    const admission = await options.limiter.admit(session.workspace, contract.statementTimeoutMs)
    if (!admission.admitted) return sendRefusal(options, target, { kind: 'notRunRetry', reason: admission.reason, retryAfterMs: admission.retryAfterMs })
  }
  const timeoutMs = Math.max(1, contract.statementTimeoutMs - (options.clock.readNow() - startedMs))
  const { pinnedVm, ...planned } = statement
  const request: StatementRequest = { ...planned, requestId: options.createRequestId(), sessionId: session.sessionId, workspace: session.workspace, timeoutMs }
  await sendAnswer(options, target, statement, request)
  const elapsedMs = options.clock.readNow() - startedMs
  options.metrics.statementSeconds.observe({ class: statement.class }, elapsedMs / 1_000)
  options.logger.debug('statement answered', { request: request.requestId, workspace: request.workspace, database: request.database, class: request.class, elapsedMs: Math.round(elapsedMs) })
}

async function sendAnswer (options: CommandRunnerOptions, target: CommandTarget, statement: PlannedStatement, request: StatementRequest): Promise<void> {
  const { session, socket } = target
  let isPositionDue = false
  for await (const { vm, frame } of options.router.run(request, statement.pinnedVm)) {
    applyFrame(session, statement, vm, frame)
    if (frame.kind === 'end') isPositionDue = true
    if (frame.kind === 'position') isPositionDue = false
    sendFrame(options, target, frame)
    if (frame.kind === 'rows') await socket.waitForDrain()
  }
  if (isPositionDue) handleMissingPosition(session, statement)
}

function sendFrame (options: CommandRunnerOptions, target: CommandTarget, frame: AnswerFrame): void {
  const { session, socket } = target
  const inTransaction = session.transaction !== null
  switch (frame.kind) {
    case 'columns': return socket.sendColumns(frame.columns)
    case 'rows': return socket.sendRows(frame.rows)
    case 'end': return socket.sendEnd(inTransaction)
    case 'ok': return socket.sendOk({ affectedRows: frame.affectedRows, insertId: frame.insertId, inTransaction })
    case 'failed': return socket.sendError(frame.errno, frame.message)
    case 'refused': return sendRefusal(options, target, frame.refusal)
    default:
  }
}

function sendRefusal (options: CommandRunnerOptions, target: CommandTarget, refusal: Refusal): void {
  options.metrics.refusals.inc({ workspace: target.session.workspace, kind: refusal.kind })
  target.socket.sendError(RefusalCode[refusal.kind], formatRefusal(refusal))
}
