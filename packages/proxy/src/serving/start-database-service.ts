import { randomBytes } from 'node:crypto'
import { type ResponseFrame, type Clock, createRetryBudget, type Database, type Logger, type StatementRequest } from '@camphorpitch/wire'
import type { ActorSystemRef } from 'nact'
import type { GroupView } from '../failover/group-view.ts'
import type { PlacementView } from '../membership/placement-view.ts'
import { EndpointPools } from '../pool/endpoint-pools.ts'
import { runNamedWrite } from '../retries/run-named-write.ts'
import { recordBaseline, type BaselineHistory } from '../routing/baseline-history.ts'
import { isLastAppliedOfCurrentTerm } from '../routing/instance-contents.ts'
import { DatabaseService } from '../statements/database-service.ts'
import { TransactionRunner } from '../transactions/run-transaction.ts'
import { createCancellation, makeCancellable, type Cancellation } from './cancellation.ts'
import { makeRefusal } from './frames.ts'
import { runRead } from './run-read.ts'
import { runWrite } from './run-write.ts'
import type { AcceptedRequest, ServingContext } from './serving-context.ts'
import { createTermBarrier } from './term-barrier.ts'

const DRAIN_RETRY_AFTER_MS = 100

export interface DatabaseServiceOptions {
  database: Database
  group: GroupView
  placement: PlacementView
  system: ActorSystemRef
  clock: Clock
  logger: Logger
  /** Failure domain of this VM; reads prefer replicas in it. */
  failureDomain: string
}

/** Creates a signal whose `publish` resolves the promises of all pending `wait` calls. */
function createChangeSignal () {
  let waiters = new Set<() => void>()
  return {
    publish: () => {
      const currentWaiters = waiters
      waiters = new Set()
      for (const resolve of currentWaiters) resolve()
    },
    wait: (timeoutMs: number) => new Promise<void>(resolve => {
      const finish = (): void => {
        clearTimeout(timer)
        waiters.delete(finish)
        resolve()
      }
      const timer = setTimeout(finish, timeoutMs)
      waiters.add(finish)
    })
  }
}

/**
 * Starts the service of one database on a VM that serves it. Stopping the service stops `group` too.
 *
 * @example
 * const service = startDatabaseService({ database, group, placement, system, clock, logger, failureDomain: 'north-1' })
 * for await (const frame of service.run(request)) console.log(frame.kind)
 */
export function startDatabaseService (options: DatabaseServiceOptions): DatabaseService {
  const { database, group, placement, system, clock, logger, failureDomain } = options
  const pools = new EndpointPools({ system, database, group, placement, clock, logger })
  const changeSignal = createChangeSignal()
  let baselineHistory: BaselineHistory = []
  const context: ServingContext = {
    database,
    group,
    pools,
    clock,
    logger,
    failureDomain,
    retryBudget: createRetryBudget(),
    termBarrier: createTermBarrier(),
    readBaselineHistory: () => baselineHistory,
    waitForChange: changeSignal.wait
  }
  group.subscribe(() => {
    baselineHistory = recordBaseline(baselineHistory, group.listInstances())
    pools.updateInstances()
    confirmPrimaryTerm(context)
    changeSignal.publish()
  })
  placement.subscribe(() => pools.updateConnectionShares())
  return new GroupDatabaseService(context)
}

/** Has an entry written in a new primary's term without waiting for a client's write, because replicas serve reads only after an entry of that term. */
function confirmPrimaryTerm (context: ServingContext): void {
  const primary = context.group.findPrimary()
  if (primary === undefined) return
  const view = context.group.listInstances().find(i => i.endpoint.endpoint === primary.endpoint.endpoint)
  if (!view?.status || isLastAppliedOfCurrentTerm(view.status)) return
  context.termBarrier.confirm(context, primary.endpoint.endpoint, view.status.term).catch((error: unknown) => {
    context.logger.warn('term of the primary not confirmed', { endpoint: primary.endpoint.endpoint, error: String(error) })
  })
}

class GroupDatabaseService extends DatabaseService {
  readonly #context: ServingContext
  readonly #transactions: TransactionRunner
  readonly #drainResolvers = new Set<() => void>()
  #runningCount = 0
  #isDraining = false

  constructor (context: ServingContext) {
    super()
    this.#context = context
    const transactionIdPrefix = `${context.database.database}-${randomBytes(6).toString('hex')}`
    this.#transactions = new TransactionRunner(context, transactionIdPrefix, () => this.#resolveIfDrained())
  }

  override run (request: StatementRequest): AsyncGenerator<ResponseFrame, void, void> {
    const cancellation = createCancellation()
    return makeCancellable(this.#runCounted(request, cancellation), cancellation)
  }

  async * #runCounted (request: StatementRequest, cancellation: Cancellation): AsyncGenerator<ResponseFrame, void, void> {
    if (this.#isDraining && request.transactionId === null) {
      yield makeRefusal('notRunRetry', 'this VM is leaving', DRAIN_RETRY_AFTER_MS)
      return
    }
    this.#runningCount++
    try {
      yield * this.#runAccepted({ ...request, cancellation, deadlineMs: this.#context.clock.readNow() + request.timeoutMs })
    } finally {
      this.#runningCount--
      this.#resolveIfDrained()
    }
  }

  #runAccepted (request: AcceptedRequest): AsyncGenerator<ResponseFrame, void, void> {
    if (request.transactionId !== null) return this.#transactions.run(request)
    switch (request.class) {
      case 'begin': return this.#transactions.begin(request)
      case 'read': return runRead(this.#context, request)
      case 'write': return request.writeId === null ? runWrite(this.#context, request) : runNamedWrite(this.#context, request)
      default: return respondOutsideTransaction()
    }
  }

  override hasTransaction (transactionId: string): boolean {
    return this.#transactions.hasTransaction(transactionId)
  }

  override abandon (transactionId: string): void {
    this.#transactions.abandon(transactionId)
  }

  override drain (): Promise<void> {
    this.#isDraining = true
    return new Promise(resolve => {
      this.#drainResolvers.add(resolve)
      this.#resolveIfDrained()
    })
  }

  #resolveIfDrained (): void {
    if (!this.#isDraining || this.#runningCount > 0 || this.#transactions.countOpen() > 0) return
    for (const resolve of this.#drainResolvers) resolve()
    this.#drainResolvers.clear()
  }

  override stop (): void {
    this.#transactions.stop()
    this.#context.pools.stop()
    this.#context.group.stop()
  }
}

/** Responds to a COMMIT or ROLLBACK outside a transaction, which has no effect. */
async function * respondOutsideTransaction (): AsyncGenerator<ResponseFrame, void, void> {
  yield { kind: 'ok', affectedRows: 0, insertId: 0, position: null, transactionId: null }
}
