import type { Clock, Logger, StatementExplanation } from '@camphorpitch/wire'
import type { ResponseError } from '../backend/statement.ts'
import type { Configuration } from '../configuration/configuration.ts'
import type { ConfigurationHolder } from '../configuration/configuration-holder.ts'
import type { FailoverWatch } from '../failover/failover-watch.ts'
import type { LeadershipVerifier } from '../failover/verify-leadership.ts'
import { isLeadershipRevoked, measureLeaseAgeMs } from '../freshness/group-state.ts'
import type { GroupTable } from '../groups/group-table.ts'
import type { ServiceGroup } from '../groups/service-group.ts'
import type { PermitClient } from '../limits/permit-requests.ts'
import type { QuotaCounter } from '../limits/quota-counter.ts'
import type { Withdrawal } from '../pool/withdrawal.ts'
import type { GatewaySettings } from '../settings.ts'
import type { StatementForwarder } from '../serving/statement-forwarder.ts'
import { createRetryRefusal, type Operation, type Outcome } from '../statements/operation.ts'
import { openTransaction, type OpenedTransaction } from '../statements/pinned-transaction.ts'
import { recordRestoreRefusal } from '../statements/record-restore-refusal.ts'
import { recordRuledOut } from '../statements/record-ruled-out.ts'
import { runRead } from '../statements/run-read.ts'
import { runWrite } from '../statements/run-write.ts'
import { createExplainedOperation, describeOperation } from '../statements/explain-operation.ts'
import type { LeavingControl } from '../statements/leaving-control.ts'
import type { StatementContext } from '../statements/statement-context.ts'
import type { ExplainRequest } from '../telemetry/metrics-server.ts'
import type { GatewayMetrics } from '../telemetry/gateway-metrics.ts'
import type { ClientSession } from './client-session.ts'
import { InputBudget } from './input-budget.ts'
import { recordSessionEnd, type SessionEnd } from './session-end.ts'
import type { SessionHost } from './session-host.ts'

/** Timeout of the wait for the first configuration. Clients give up when their session is not accepted within two seconds. */
const FIRST_CONFIGURATION_TIMEOUT_MS = 1_500
/** A connection whose rollback takes longer is closed, which also rolls back. */
const ROLLBACK_TIMEOUT_MS = 1_000
/** Applies before the first configuration has arrived. */
const DEFAULT_TRANSACTION_IDLE_TIMEOUT_MS = 3_000
/** Retry time given to the client when its service has no registered endpoints. */
const NO_ENDPOINTS_RETRY_AFTER_MS = 1_000
const MS_PER_SECOND = 1_000

export interface GatewaySessionHostOptions {
  settings: GatewaySettings
  clock: Clock
  logger: Logger
  metrics: GatewayMetrics
  configuration: ConfigurationHolder
  groups: GroupTable
  quotas: QuotaCounter
  permits: PermitClient
  leadershipVerifier: LeadershipVerifier
  failover: FailoverWatch
  forwarder: StatementForwarder
  leaving?: LeavingControl
  removeSession: (session: ClientSession) => void
}

/** Connects client sessions to the slices of this VM: configuration, quotas, groups and metrics. */
export class GatewaySessionHost implements SessionHost {
  readonly clock: Clock
  readonly logger: Logger
  readonly inputBudget: InputBudget
  readonly #options: GatewaySessionHostOptions
  readonly #context: StatementContext

  constructor (options: GatewaySessionHostOptions) {
    this.#options = options
    this.clock = options.clock
    this.logger = options.logger
    const { clock, logger, metrics } = options
    this.inputBudget = new InputBudget({ clock, logger, recordRefused: reason => metrics.inputRefusals.inc({ reason }) })
    metrics.observeInputBytes(() => this.inputBudget.totalBytes)
    this.#context = this.#createContext()
    options.forwarder.connect(async (...args) => await this.#runHere(...args))
  }

  waitForConfiguration = async (): Promise<Configuration | null> => await this.#options.configuration.waitForFirst(FIRST_CONFIGURATION_TIMEOUT_MS)

  readConfiguration = (): Configuration | null => this.#options.configuration.current

  readTransactionIdleTimeoutMs = (): number => this.#options.configuration.current?.transactionIdleMs ?? DEFAULT_TRANSACTION_IDLE_TIMEOUT_MS

  admitOperation = async (id: string, workspace: string, maxWaitMs: number): Promise<ResponseError | null> => {
    const { permits, metrics } = this.#options
    const verdict = await permits.request(workspace, maxWaitMs)
    if (verdict.isAdmitted) {
      if (verdict.delayMs > 0) this.logger.info('operation waited for a token of its workspace\'s rate', { id, workspace, delayMs: verdict.delayMs })
      return null
    }
    if (verdict.isUncounted === true) return this.#refuseUncounted(id, workspace, verdict.retryAfterMs)
    const usage = this.#options.quotas.describeUsage(workspace)
    metrics.quotaRefusals.inc({ workspace, demand: usage.isBelowLimit ? 'below' : 'above' })
    const { refusal } = createRetryRefusal('tooMany', 'over the workspace\'s rate', verdict.retryAfterMs)
    this.logger.info('operation refused because its workspace exceeded its rate', { id, workspace, retryAfterMs: verdict.retryAfterMs, maxWaitMs, ...usage, refusals: verdict.refusals })
    return refusal
  }

  runRead = async (operation: Operation): Promise<Outcome> => await this.#options.forwarder.run(operation, false) ?? this.#refuseWithoutGroup(operation)

  runWrite = async (operation: Operation): Promise<Outcome> => await this.#options.forwarder.run(operation, true) ?? this.#refuseWithoutGroup(operation)

  openTransaction = async (operation: Operation, isReadOnly: boolean): Promise<OpenedTransaction> => {
    const group = this.#findGroup(operation)
    return group === undefined ? this.#refuseWithoutGroup(operation) : await openTransaction(this.#context, group, operation, isReadOnly)
  }

  /** Explains where an operation would go. @returns `unknown` if the configuration lacks a name, or the service has no endpoints */
  explainOperation = ({ workspace, database, kind }: ExplainRequest): StatementExplanation | { unknown: string } => {
    const { configuration: { current }, settings: { vm } } = this.#options
    if (current === null) return { unknown: 'no configuration yet' }
    const operation = createExplainedOperation(current, workspace, database, kind, this.clock.readNow())
    if ('unknown' in operation) return operation
    const group = this.#findGroup(operation)
    if (group === undefined) return { unknown: this.#refuseWithoutGroup(operation).refusal.text }
    return { vm, configurationVersion: current.version, ...describeOperation(this.#context, group, operation, kind) }
  }

  recordOutcome = (operation: Operation, outcome: Outcome): void => {
    const { metrics } = this.#options
    const { route: { service }, statement, workspace, requiredState, receivedAtMs } = operation
    const error = 'refusal' in outcome ? outcome.refusal : outcome.response.error
    const elapsedMs = this.clock.readNow() - receivedAtMs
    metrics.statementSeconds.observe({ service, outcome: error === null ? 'answered' : 'error' }, elapsedMs / MS_PER_SECOND)
    if (error === null) return
    metrics.refusals.inc({ service, code: error.code })
    this.logger.warn('statement ended with an error', { id: statement.id, type: statement.type, session: requiredState.session, workspace, service, elapsedMs: Math.round(elapsedMs), ...error })
  }

  recordSessionEnd = (end: SessionEnd): void => recordSessionEnd(end, this.logger, this.#options.metrics)

  removeSession = (session: ClientSession): void => this.#options.removeSession(session)

  #refuseUncounted (id: string, workspace: string, retryAfterMs: number): ResponseError {
    this.#options.metrics.uncountedRefusals.inc()
    this.logger.warn('operation refused because no counting VM responded', { id, workspace, retryAfterMs })
    return createRetryRefusal('busy', 'no vm that counts the workspace\'s rate answers', retryAfterMs).refusal
  }

  /** Runs a statement on this VM, for one of its clients or for another VM. @returns `undefined` if no endpoint of its service is registered */
  async #runHere (operation: Operation, isWrite: boolean, withdrawal?: Withdrawal): Promise<Outcome | undefined> {
    const group = this.#findGroup(operation)
    if (group === undefined) return undefined
    return isWrite ? await runWrite(this.#context, group, operation) : await runRead(this.#context, group, operation, withdrawal)
  }

  #findGroup ({ route }: Operation): ServiceGroup | undefined {
    return this.#options.groups.find(route.service)
  }

  #refuseWithoutGroup ({ route }: Operation): { refusal: { code: 'busy', text: string } } {
    return createRetryRefusal('busy', `no endpoint of ${route.service} is registered`, NO_ENDPOINTS_RETRY_AFTER_MS)
  }

  #createContext (): StatementContext {
    const { settings: { failureDomain, regions }, clock, logger, metrics, leadershipVerifier, failover, leaving } = this.#options
    return {
      clock,
      leaving,
      location: { failureDomain, regions },
      rollbackTimeoutMs: ROLLBACK_TIMEOUT_MS,
      verifyLeadership: async (group, waitMs) => await leadershipVerifier.verifyLeadership(group, waitMs),
      readPrimaryPosition: async (group, waitMs) => await leadershipVerifier.readPrimaryPosition(group, waitMs),
      recordRuledOut: (operation, group, ruledOut, retryAfterMs) => recordRuledOut(operation, group, ruledOut, retryAfterMs, logger, metrics),
      refreshPrimary: group => { leadershipVerifier.findPrimary(group).catch((error: unknown) => logger.error('primary lookup failed', { error: String(error) })) },
      estimateRecoveryMs: group => failover.estimateRecoveryMs(group),
      logResponse: (operation, pool, requiredPosition, response) => {
        const { statement, workspace, route, requiredState } = operation
        const { entry, health } = pool
        logger.info('endpoint responded to statement', {
          id: statement.id,
          type: statement.type,
          session: requiredState.session,
          workspace,
          route: route.name,
          endpoint: entry.endpoint,
          role: entry.role,
          requiredPosition,
          position: response.position,
          inFlight: health.inFlight,
          averageResponseMs: Math.round(health.averageResponseMs ?? 0),
          elapsedMs: Math.round(clock.readNow() - operation.receivedAtMs),
          outcome: response.error?.code ?? 'answered'
        })
      },
      recordUnleasedResponse: (operation, group, { entry: { endpoint } }, response, outcome) => {
        const nowMs = clock.readNow()
        const leaseAgeMs = measureLeaseAgeMs(group.state, nowMs)
        metrics.unleasedResponses.inc({ service: group.service, outcome })
        logger.warn('endpoint responded to a write without a leadership lease', {
          id: operation.statement.id,
          type: operation.statement.type,
          service: group.service,
          endpoint,
          position: response.position,
          error: response.error?.code,
          primary: group.state.primary,
          leaseAgeMs: leaseAgeMs === null ? null : Math.round(leaseAgeMs),
          isRevoked: isLeadershipRevoked(group.state, nowMs),
          outcome
        })
      },
      recordRestoreRefusal: (operation, pool, refusal) => recordRestoreRefusal(
        operation,
        pool.entry.endpoint,
        refusal,
        clock.readNow(),
        logger,
        metrics
      ),
      logNoResponse: (operation, pool, reason) => logger.warn('endpoint did not respond to statement', { id: operation.statement.id, type: operation.statement.type, endpoint: pool.entry.endpoint, reason, unansweredMs: pool.health.unansweredSinceMs === null ? 0 : Math.round(clock.readNow() - pool.health.unansweredSinceMs) })
    }
  }
}
