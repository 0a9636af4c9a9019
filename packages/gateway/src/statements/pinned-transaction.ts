import { describeError } from '@camphorpitch/wire'
import type { EndpointResponse } from '../backend/endpoint-connector.ts'
import { StatementNotSentError } from '../backend/errors.ts'
import { isPrimaryFresh } from '../freshness/group-state.ts'
import type { ServiceGroup } from '../groups/service-group.ts'
import type { EndpointPool } from '../pool/endpoint-pool.ts'
import { PoolError } from '../pool/errors.ts'
import { describeRestoreRefusal, type PooledConnection, type RestoreRefusal } from '../pool/pooled-connection.ts'
import { ensureLease, runLeasedWrite } from './leased-write.ts'
import { computeTimeLeftMs, computeWaitMs, createRetryRefusal, readMaxStalenessMs, type Operation, type Outcome } from './operation.ts'
import { findCurrentRequirement, findPrimaryRequirement, findReadTarget, type ReadTarget } from './read-targets.ts'
import { LAGGING_AVOID_MS } from './run-read.ts'
import { acquirePrimaryConnection } from './run-write.ts'
import type { StatementContext } from './statement-context.ts'
import { estimateReplacementMs, isUsableForRead } from './usable-pools.ts'
import { WarmupLimitError } from '../warmup/warmup-limits.ts'

/** Maximum number of attempts of a transaction's statement while its endpoint is too busy; open transactions go before new work. */
const MAX_BUSY_ATTEMPTS = 4
/** Backoff after the first busy attempt, in milliseconds; it grows by the same amount with each attempt. */
const BUSY_BACKOFF_MS = 25
/** Retry time given to the client when its transaction was lost or could not be opened, in milliseconds. */
const RETRY_AFTER_MS = 100

export interface PinnedTransactionOptions {
  context: StatementContext
  group: ServiceGroup
  pool: EndpointPool
  connection: PooledConnection
  /** Whether a replica may run it. */
  isReadOnly: boolean
}

/** The response to a statement, which counts only if the endpoint has refused no session state before it. */
interface StatementResult { response: EndpointResponse, refusal: RestoreRefusal | null }

/** The transaction opened for a client, or the refusal for the client. */
export type OpenedTransaction = { transaction: PinnedTransaction } | { refusal: { code: 'busy' | 'lagging' | 'readOnly' | 'aborted', text: string } }

/** An open transaction, with the connection that runs all its statements. */
export class PinnedTransaction {
  readonly pool: EndpointPool
  readonly #context: StatementContext
  readonly #group: ServiceGroup
  readonly #connection: PooledConnection
  readonly #isReadOnly: boolean
  #hasWritten = false
  #isEnded = false

  constructor ({ context, group, pool, connection, isReadOnly }: PinnedTransactionOptions) {
    this.#context = context
    this.#group = group
    this.pool = pool
    this.#connection = connection
    this.#isReadOnly = isReadOnly
  }

  /** Whether the transaction has not ended and its connection is open. */
  get isOpen (): boolean {
    return !this.#isEnded && this.#connection.connection.isOpen
  }

  /**
   * Runs a read or write. After an error the transaction is rolled back at the endpoint, because error codes such as
   * `busy` and `aborted` promise the client that nothing of the operation is kept.
   */
  async run (operation: Operation, isWrite: boolean): Promise<Outcome> {
    if (!this.isOpen) return this.#abandon('the transaction\'s connection was lost')
    if (this.#group.isClosed(this.pool.entry)) return this.#abandonEvacuated()
    if (!await this.#waitForPermit(operation)) return this.#abandon('the endpoint is warming up')
    if (this.#group.isClosed(this.pool.entry)) return this.#abandonEvacuated()
    if (isWrite) this.#hasWritten = true
    if (this.#hasWritten && this.#group.isLeadershipLost(this.pool.entry.endpoint)) return this.#abandon('the primary is being replaced')
    try {
      const { response, refusal } = await this.#runWithRetries(operation, async () => await this.#runUncommitted(operation))
      if (refusal !== null) return this.#abandonUnrestored(operation, refusal)
      this.#context.logResponse(operation, this.pool, null, response)
      if (response.error?.code === 'readOnly') this.#context.refreshPrimary(this.#group)
      if (response.error !== null || response.state !== 'open') this.rollback()
      return { response, endpoint: this.pool.entry.endpoint }
    } catch (error) {
      const reason = describeError(error)
      this.#context.logNoResponse(operation, this.pool, reason)
      return this.#abandon(reason)
    }
  }

  /**
   * Commits. Without a response the outcome is unknown (`inDoubt`), unless the transaction wrote nothing. If it wrote, the commit is
   * sent only while the primary's leadership is verified.
   */
  async commit (operation: Operation): Promise<Outcome> {
    const { endpoint } = this.pool.entry
    const canSend = (): boolean => !this.#group.isLeadershipLost(endpoint) && !this.#group.isClosed(this.pool.entry)
    const refused = await this.#refuseCommit(operation, canSend)
    if (refused !== null) return refused
    try {
      const { response, refusal } = await this.#runWithRetries(operation, async () => await this.#sendCommit(operation, canSend))
      if (refusal !== null) return this.#abandonUnrestored(operation, refusal)
      this.#context.logResponse(operation, this.pool, null, response)
      if (response.state === 'idle') this.#end(true)
      else this.rollback()
      return { response, endpoint }
    } catch (error) {
      const reason = describeError(error)
      if (!(error instanceof WarmupLimitError)) this.#context.logNoResponse(operation, this.pool, reason)
      if (error instanceof WarmupLimitError || error instanceof StatementNotSentError) return this.#abandon(reason)
      this.#end(false)
      return { refusal: { code: this.#hasWritten ? 'inDoubt' : 'failed', text: reason } }
    }
  }

  /** Refuses a commit that may not be sent now, or not in time. @returns `null` if it may be sent */
  async #refuseCommit (operation: Operation, canSend: () => boolean): Promise<Outcome | null> {
    if (!this.isOpen) return this.#abandon('the transaction\'s connection was lost')
    if (!await this.#waitForPermit(operation)) return this.#abandon('the endpoint is warming up')
    if (this.#group.isClosed(this.pool.entry)) return this.#abandonEvacuated()
    if (this.#hasWritten && !canSend()) return this.#abandon('the primary is being replaced')
    const { endpoint } = this.pool.entry
    const canCommit = !this.#hasWritten || await ensureLease(this.#context, this.#group, operation, endpoint, canSend)
    if (!canCommit) return this.#abandon('the primary is not known to lead')
    if (!this.isOpen) return this.#abandon('the transaction\'s connection was lost')
    return this.#group.isClosed(this.pool.entry) ? this.#abandonEvacuated() : null
  }

  /** Rolls the transaction back, and returns its connection to the pool once the endpoint has responded. */
  rollback (): void {
    if (this.#isEnded) return
    this.#isEnded = true
    const { connection } = this.#connection
    // The end of the connection rolls back as well, without a message to an endpoint that may get none.
    if (!connection.isOpen || this.#group.isClosed(this.pool.entry)) return this.pool.release(this.#connection, false)
    const { rollbackTimeoutMs } = this.#context
    this.#group.runStatement(this.pool, false, rollbackTimeoutMs, async () => await connection.rollback(), { kind: 'rollback' }).then(
      response => this.pool.release(this.#connection, response.state === 'idle'),
      () => this.pool.release(this.#connection, false) // Closing the connection rolls back as well.
    )
  }

  /** Waits for a permit to use a cold endpoint until the statement's timeout: the transaction's work is kept. @returns whether there is one */
  async #waitForPermit (operation: Operation): Promise<boolean> {
    return await this.#group.waitForWarmupPermit(this.pool, computeTimeLeftMs(operation, this.#context.clock.readNow())) === null
  }

  /**
   * Restores the session state and runs a statement, and again after a backoff while the endpoint is too busy and the transaction is still
   * open. Once the endpoint has refused session state, nothing more is sent, and its response to the statement counts for nothing.
   */
  async #runWithRetries (operation: Operation, send: () => Promise<EndpointResponse>): Promise<StatementResult> {
    const { clock } = this.#context
    const { requiredState, preparedName } = operation
    for (let attemptCount = 1; ; attemptCount++) {
      this.pool.setHeld(this.#connection, false)
      this.#connection.restoreSession(requiredState, preparedName)
      const response = await send()
      const refusal = await this.#connection.waitForRestore()
      const isBusy = response.error?.code === 'busy' && response.state === 'open'
      const canRetry = refusal === null && isBusy && attemptCount < MAX_BUSY_ATTEMPTS
      this.pool.setHeld(this.#connection, true)
      if (!canRetry || computeTimeLeftMs(operation, clock.readNow()) < 2 * BUSY_BACKOFF_MS) return { response, refusal }
      await new Promise(resolve => setTimeout(resolve, BUSY_BACKOFF_MS * attemptCount))
      if (this.#group.isClosed(this.pool.entry)) return { response, refusal }
    }
  }

  async #sendCommit (operation: Operation, canSend: () => boolean): Promise<EndpointResponse> {
    if (!this.#hasWritten) return await this.#runUncommitted(operation)
    return await runLeasedWrite(this.#context, this.#group, operation, { pool: this.pool, connection: this.#connection, canSend })
  }

  /** Runs a statement that commits nothing. */
  async #runUncommitted (operation: Operation): Promise<EndpointResponse> {
    const { id, text } = operation.statement
    const timeLeftMs = computeTimeLeftMs(operation, this.#context.clock.readNow())
    return await this.#group.runStatement(this.pool, false, timeLeftMs, async () => {
      const pendingResponse = this.#connection.run(id, text, null)
      return this.#hasWritten ? await this.#group.waitWhileLeading(this.pool.entry.endpoint, pendingResponse) : await pendingResponse
    }, { kind: `${operation.route.name} in transaction`, isPrimaryOnly: !this.#isReadOnly })
  }

  #abandonEvacuated (): Outcome {
    const isAtPrimary = this.pool === this.#group.primaryPool
    const returnMs = isAtPrimary ? estimateReplacementMs(this.#group, this.#context.estimateRecoveryMs(this.#group)) : RETRY_AFTER_MS
    return this.#abandon(`the failure domain ${this.pool.entry.failureDomain} is evacuated`, returnMs)
  }

  /**
   * Ends the transaction, of which nothing is kept: its commit is sent only after the endpoint has confirmed the session state, or if it
   * has written nothing.
   */
  #abandonUnrestored (operation: Operation, refusal: RestoreRefusal): Outcome {
    this.#context.recordRestoreRefusal(operation, this.pool, refusal)
    const isNotLeading = refusal.response.error?.code === 'readOnly'
    if (isNotLeading) this.#context.refreshPrimary(this.#group)
    const returnMs = isNotLeading ? Math.max(RETRY_AFTER_MS, this.#context.estimateRecoveryMs(this.#group)) : RETRY_AFTER_MS
    return this.#abandon(describeRestoreRefusal(this.pool.entry.endpoint, refusal), returnMs)
  }

  #abandon (reason: string, retryAfterMs = RETRY_AFTER_MS): Outcome {
    this.#end(false)
    return createRetryRefusal('aborted', reason, retryAfterMs)
  }

  #end (isReusable: boolean): void {
    if (this.#isEnded) return
    this.#isEnded = true
    this.pool.release(this.#connection, isReusable)
  }
}

/**
 * Opens a transaction for its first statement. A read-only transaction opens where a read would run and falls back
 * to the primary; any other opens at the primary.
 */
export async function openTransaction (context: StatementContext, group: ServiceGroup, operation: Operation, isReadOnly: boolean): Promise<OpenedTransaction> {
  if (isReadOnly) {
    const openedAtReadTarget = await openAtReadTarget(context, group, operation)
    if (openedAtReadTarget !== undefined) return openedAtReadTarget
  }
  return await openAtPrimary(context, group, operation, isReadOnly)
}

async function openAtReadTarget (context: StatementContext, group: ServiceGroup, operation: Operation): Promise<OpenedTransaction | undefined> {
  const { clock, location, leaving } = context
  const triedEndpoints = new Set<string>()
  for (let attemptCount = 0; attemptCount < 2; attemptCount++) {
    const target = findReadTarget(group, operation, triedEndpoints, location, clock, 'readTransaction', leaving)
    if (typeof target === 'string') return undefined
    triedEndpoints.add(target.pool.entry.endpoint)
    const opening = await beginAtReadTarget(context, group, operation, target)
    if ('transaction' in opening) return opening
  }
  return undefined
}

async function openAtPrimary (context: StatementContext, group: ServiceGroup, operation: Operation, isReadOnly: boolean): Promise<OpenedTransaction> {
  const { clock } = context
  const isFresh = (): boolean => isPrimaryFresh(group.state, readMaxStalenessMs(operation), clock.readNow())
  if (group.isWritable && !isFresh()) await context.verifyLeadership(group, computeWaitMs(operation, clock.readNow()))
  const acquired = await acquirePrimaryConnection(context, group, operation, 'transaction')
  if ('refusal' in acquired) return acquired
  if (!isFresh()) {
    acquired.pool.release(acquired.connection, true)
    return createRetryRefusal('lagging', 'the primary is not known to lead', RETRY_AFTER_MS)
  }
  return await sendBegin(context, group, operation, { pool: acquired.pool, requiredPosition: findPrimaryRequirement(group, operation, clock.readNow()), isReadOnly }, acquired.connection)
}

async function beginAtReadTarget (context: StatementContext, group: ServiceGroup, operation: Operation, target: ReadTarget): Promise<OpenedTransaction> {
  const { pool } = target
  const { workspace, requiredState, route } = operation
  try {
    const connection = await pool.acquire({ workspace, session: requiredState.session, priority: route.priority, waitMs: group.computeMaxWaitMs(pool.entry, computeWaitMs(operation, context.clock.readNow())) })
    const requiredPosition = findCurrentRequirement(group, operation, target, context.clock.readNow())
    const isUsable = isUsableForRead(group, pool, operation, 'readTransaction', context.location, context.clock.readNow())
    if (isUsable && requiredPosition !== undefined) return await sendBegin(context, group, operation, { pool, requiredPosition, isReadOnly: true }, connection)
    pool.release(connection, true)
    if (requiredPosition === undefined) return createRetryRefusal('lagging', `${pool.entry.endpoint} is not known to be fresh enough any more`, RETRY_AFTER_MS)
    return createRetryRefusal('busy', `the failure domain of ${pool.entry.endpoint} is evacuated`, RETRY_AFTER_MS)
  } catch (error) {
    if (!(error instanceof PoolError)) throw error
    return createRetryRefusal('busy', error.message, error.retryAfterMs)
  }
}

async function sendBegin (context: StatementContext, group: ServiceGroup, operation: Operation, target: ReadTarget & { isReadOnly: boolean }, connection: PooledConnection): Promise<OpenedTransaction> {
  const { pool, requiredPosition, isReadOnly } = target
  connection.restoreSession(operation.requiredState, null)
  try {
    const timeLeftMs = computeTimeLeftMs(operation, context.clock.readNow())
    const { id } = operation.statement
    const begin = async (): Promise<EndpointResponse> => await connection.connection.begin(id, isReadOnly, requiredPosition)
    const response = await group.runStatement(pool, false, timeLeftMs, begin, { kind: 'begin', isPrimaryOnly: !isReadOnly })
    const refusal = await connection.waitForRestore()
    if (refusal !== null) {
      pool.release(connection, false) // The end of the connection also rolls back.
      context.recordRestoreRefusal(operation, pool, refusal)
      return createRetryRefusal('busy', describeRestoreRefusal(pool.entry.endpoint, refusal), RETRY_AFTER_MS)
    }
    if (response.error === null && response.state === 'open') {
      pool.setHeld(connection, true)
      return { transaction: new PinnedTransaction({ context, group, pool, connection, isReadOnly }) }
    }
    pool.release(connection, response.state === 'idle')
    context.logResponse(operation, pool, requiredPosition, response)
    return createBeginRefusal(context, group, pool, response)
  } catch (error) {
    pool.release(connection, false)
    if (error instanceof WarmupLimitError) return createRetryRefusal('busy', error.message, error.retryAfterMs)
    const reason = describeError(error)
    context.logNoResponse(operation, pool, reason)
    return createRetryRefusal('aborted', reason, RETRY_AFTER_MS)
  }
}

function createBeginRefusal (context: StatementContext, group: ServiceGroup, pool: EndpointPool, { error }: EndpointResponse): OpenedTransaction {
  if (error?.code === 'lagging') pool.laggingUntilMs = context.clock.readNow() + LAGGING_AVOID_MS
  if (error?.code === 'readOnly') context.refreshPrimary(group)
  const code = error?.code === 'lagging' || error?.code === 'readOnly' ? error.code : 'busy'
  return createRetryRefusal(code, error?.text ?? 'the transaction could not be opened', RETRY_AFTER_MS)
}
