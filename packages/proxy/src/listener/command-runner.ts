import { formatRefusal, RefusalCode, type ResponseFrame, type Clock, type Contract, type Logger, type Refusal, type StatementRequest } from '@camphorpitch/wire'
import type { ConfigurationView } from '../configuration/configuration-view.ts'
import type { KeyVerdict } from '../keys/key-use.ts'
import type { Limiter } from '../limits/limiter.ts'
import { applyFrame, handleMissingPosition, selectDatabase, decideCommand, type CommandDecision, type PlannedStatement } from '../session/decide-command.ts'
import type { SessionState } from '../session/state.ts'
import type { StatementRouter } from '../statements/statement-router.ts'
import type { Metrics } from '../telemetry/metrics.ts'
import { sendToken } from './session-token-result.ts'
import { CommandCode, MAX_STATEMENT_BYTES, type ClientCommand, type ClientSocket } from './client-socket.ts'

const UNKNOWN_COMMAND_ERRNO = 1047

export interface CommandRunnerOptions {
  clock: Clock
  logger: Logger
  configuration: ConfigurationView
  limiter: Limiter
  router: StatementRouter
  metrics: Metrics
  /** Checks whether a connected client may start another statement. */
  checkKey: (session: SessionState) => KeyVerdict
  /** Creates the id of the next request, unique in the fleet. */
  createRequestId: () => string
}

/** The client whose command is run. */
export interface ClientContext {
  session: SessionState
  socket: ClientSocket
}

/** Runs one command of a client from its arrival to the end of its response. */
export async function runCommand (options: CommandRunnerOptions, client: ClientContext, command: ClientCommand): Promise<void> {
  const { session, socket } = client
  if (command.code === CommandCode.closeStatement) return
  if (command.code === CommandCode.quit) return socket.close()
  if (command.code === CommandCode.ping) return socket.sendOk({ inTransaction: session.transaction !== null })
  const verdict = options.checkKey(session)
  if (!verdict.isAllowed) {
    sendRefusal(options, client, verdict.refusal)
    if (verdict.closesConnection) socket.close()
    return
  }
  const contract = options.configuration.findContract(session.workspace)
  if (contract === undefined) return socket.close()
  if (command.code === CommandCode.resetConnection) return resetSession(options, client)
  const decision = decideProtocolCommand(options, client, command, contract)
  if (decision !== undefined) await applyDecision(options, client, decision, contract)
}

function decideProtocolCommand (options: CommandRunnerOptions, client: ClientContext, command: ClientCommand, contract: Contract): CommandDecision | undefined {
  const { session, socket } = client
  if (command.code !== CommandCode.query && command.code !== CommandCode.initDb) {
    socket.sendError(UNKNOWN_COMMAND_ERRNO, 'camphorpitch: not run: this command of the protocol is not supported (prepared statements: use text queries)')
    return undefined
  }
  const text = decodeText(command.payload)
  if (text === undefined || command.payload.length > MAX_STATEMENT_BYTES) {
    sendRefusal(options, client, { kind: 'notRunDenied', reason: text === undefined ? 'the statement is not valid UTF-8' : 'the statement is too large' })
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

function resetSession (options: CommandRunnerOptions, client: ClientContext): void {
  abandonTransaction(options, client.session)
  client.session.maxAgeMs = null
  client.session.writeId = null
  client.socket.sendOk()
}

/** Rolls back the session's open transaction, if any. */
export function abandonTransaction (options: CommandRunnerOptions, session: SessionState): void {
  const { transaction } = session
  if (transaction === null) return
  session.transaction = null
  options.router.abandon(transaction.vm, transaction.database, transaction.id)
}

async function applyDecision (options: CommandRunnerOptions, client: ClientContext, decision: CommandDecision, contract: Contract): Promise<void> {
  const { socket, session } = client
  switch (decision.kind) {
    case 'ok': return socket.sendOk({ inTransaction: session.transaction !== null })
    case 'token': return sendToken(socket, decision.token)
    case 'refuse': return sendRefusal(options, client, decision.refusal)
    case 'run': return await runStatement(options, client, decision.statement, contract)
  }
}

async function runStatement (options: CommandRunnerOptions, client: ClientContext, statement: PlannedStatement, contract: Contract): Promise<void> {
  const { session } = client
  const startedAtMs = options.clock.readNow()
  // The end of a transaction is not rate limited: a refused one would keep the endpoint's connection occupied.
  const isRateLimited = statement.class !== 'commit' && statement.class !== 'rollback'
  if (isRateLimited) {
    const admission = await options.limiter.admit(session.workspace, contract.statementTimeoutMs)
    if (!admission.admitted) return sendRefusal(options, client, { kind: 'notRunRetry', reason: admission.reason, retryAfterMs: admission.retryAfterMs })
  }
  const timeoutMs = Math.max(1, contract.statementTimeoutMs - (options.clock.readNow() - startedAtMs))
  const { pinnedVm, ...requestFields } = statement
  const request: StatementRequest = { ...requestFields, requestId: options.createRequestId(), sessionId: session.sessionId, workspace: session.workspace, timeoutMs }
  await sendResponse(options, client, statement, request)
  const elapsedMs = options.clock.readNow() - startedAtMs
  options.metrics.statementSeconds.observe({ class: statement.class }, elapsedMs / 1_000)
  options.logger.debug('statement completed', { request: request.requestId, workspace: request.workspace, database: request.database, class: request.class, elapsedMs: Math.round(elapsedMs) })
}

async function sendResponse (options: CommandRunnerOptions, client: ClientContext, statement: PlannedStatement, request: StatementRequest): Promise<void> {
  const { session, socket } = client
  let isPositionMissing = false
  for await (const { vm, frame } of options.router.run(request, statement.pinnedVm)) {
    applyFrame(session, statement, vm, frame)
    if (frame.kind === 'end') isPositionMissing = true
    if (frame.kind === 'position') isPositionMissing = false
    sendFrame(options, client, frame)
    if (frame.kind === 'rows') await socket.waitForDrain()
  }
  if (isPositionMissing) handleMissingPosition(session, statement)
}

function sendFrame (options: CommandRunnerOptions, client: ClientContext, frame: ResponseFrame): void {
  const { session, socket } = client
  const inTransaction = session.transaction !== null
  switch (frame.kind) {
    case 'columns': return socket.sendColumns(frame.columns)
    case 'rows': return socket.sendRows(frame.rows)
    case 'end': return socket.sendEnd(inTransaction)
    case 'ok': return socket.sendOk({ affectedRows: frame.affectedRows, insertId: frame.insertId, inTransaction })
    case 'failed': return socket.sendError(frame.errno, frame.message)
    case 'refused': return sendRefusal(options, client, frame.refusal)
    default:
  }
}

function sendRefusal (options: CommandRunnerOptions, client: ClientContext, refusal: Refusal): void {
  options.metrics.refusals.inc({ workspace: client.session.workspace, kind: refusal.kind })
  client.socket.sendError(RefusalCode[refusal.kind], formatRefusal(refusal))
}
