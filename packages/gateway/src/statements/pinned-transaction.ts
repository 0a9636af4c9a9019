import { describeError } from '@camphorpitch/wire'
import type { EndpointAnswer } from '../backend/endpoint-connector.ts'
import { isPrimaryFresh } from '../freshness/group-state.ts'
import type { ServiceGroup } from '../groups/service-group.ts'
import type { EndpointPool } from '../pool/endpoint-pool.ts'
import { PoolError } from '../pool/errors.ts'
import type { PooledConnection } from '../pool/pooled-connection.ts'
import { computeTimeLeftMs, computeWaitMs, createRetryRefusal, readMaxStalenessMs, type Operation, type Outcome } from './operation.ts'
import { findReadTarget, type ReadTarget } from './read-targets.ts'
import { LAGGING_AVOID_MS } from './run-read.ts'
import { acquirePrimary } from './run-write.ts'
import type { StatementContext } from './statement-context.ts'

/** Tries of a statement inside a transaction whose endpoint was too busy; it goes before new work. */
const BUSY_TRIES = 4
const BUSY_PAUSE_MS = 25
const RETRY_AFTER_MS = 100

export interface PinnedTransactionOptions {
  context: StatementContext
  group: ServiceGroup
  pool: EndpointPool
  connection: PooledConnection
}

export type OpenedTransaction = { transaction: PinnedTransaction } | { refusal: { code: 'busy' | 'lagging' | 'readOnly' | 'aborted', text: string } }

/** An open transaction and the one connection that runs it. */
export class PinnedTransaction {
  readonly pool: EndpointPool
  readonly #context: StatementContext
  readonly #group: ServiceGroup
  readonly #connection: PooledConnection
  #hasWritten = false
  #isEnded = false

  constructor ({ context, group, pool, connection }: PinnedTransactionOptions) {
    this.#context = context
    this.#group = group
    this.pool = pool
    this.#connection = connection
  }

  /** Whether the endpoint still has the transaction, as far as is known. */
  get isAlive (): boolean {
    return !this.#isEnded && this.#connection.connection.isOpen
  }

  /** Runs a read or write. After an error the transaction is rolled back at the endpoint, so that what the error promises holds. */
  async run (operation: Operation, isWrite: boolean): Promise<Outcome> {
    if (!this.isAlive) return this.#abandon('the transaction\'s connection was lost')
    if (isWrite) this.#hasWritten = true
    try {
      const answer = await this.#runPatiently(operation, false)
      this.#context.logAttempt(operation, this.pool, null, answer)
      if (answer.error?.code === 'readOnly') this.#context.findPrimaryAgain(this.#group)
      if (answer.error !== null || answer.state !== 'open') this.rollback()
      return { answer, endpoint: this.pool.entry.endpoint }
    } catch (error) {
      const reason = describeError(error)
      this.#context.logLoss(operation, this.pool, reason)
      return this.#abandon(reason)
    }
  }

  /** Commits. Without an answer the outcome is unknown, unless nothing was written. */
  async commit (operation: Operation): Promise<Outcome> {
    if (!this.isAlive) return this.#abandon('the transaction\'s connection was lost')
    try {
      const answer = await this.#runPatiently(operation, this.#hasWritten)
      this.#context.logAttempt(operation, this.pool, null, answer)
      if (answer.state === 'idle') this.#end(true)
      else this.rollback()
      return { answer, endpoint: this.pool.entry.endpoint }
    } catch (error) {
      this.#end(false)
      const reason = describeError(error)
      this.#context.logLoss(operation, this.pool, reason)
      return { refusal: { code: this.#hasWritten ? 'inDoubt' : 'failed', text: reason } }
    }
  }

  /** Ends the transaction without keeping anything of it. */
  rollback (): void {
    if (this.#isEnded) return
    this.#isEnded = true
    const { connection } = this.#connection
    if (!connection.isOpen) return this.pool.release(this.#connection, false)
    this.#group.runStatement(this.pool, false, this.#context.rollbackTimeoutMs, async () => await connection.rollback()).then(
      answer => this.pool.release(this.#connection, answer.state === 'idle'),
      () => this.pool.release(this.#connection, false) // Closing it rolls back as well.
    )
  }

  async #runPatiently (operation: Operation, isWrite: boolean): Promise<EndpointAnswer> {
    const { clock } = this.#context
    const { statement, contents, preparedName } = operation
    for (let tries = 1; ; tries++) {
      this.#connection.restoreSession(contents, preparedName)
      const timeLeftMs = computeTimeLeftMs(operation, clock.readNow())
      const answer = await this.#group.runStatement(this.pool, isWrite, timeLeftMs, async () => await this.#connection.run(statement.id, statement.text, null))
      const isWorthRepeating = answer.error?.code === 'busy' && answer.state === 'open' && tries < BUSY_TRIES
      if (!isWorthRepeating || computeTimeLeftMs(operation, clock.readNow()) < 2 * BUSY_PAUSE_MS) return answer
      await new Promise(resolve => setTimeout(resolve, BUSY_PAUSE_MS * tries))
    }
  }

  #abandon (reason: string): Outcome {
    this.#end(false)
    return createRetryRefusal('aborted', reason, RETRY_AFTER_MS)
  }

  #end (isReusable: boolean): void {
    if (this.#isEnded) return
    this.#isEnded = true
    this.pool.release(this.#connection, isReusable)
  }
}

/** Opens a transaction for its first statement: read-only ones where a read would go, others at the primary. */
export async function openTransaction (context: StatementContext, group: ServiceGroup, operation: Operation, isReadOnly: boolean): Promise<OpenedTransaction> {
  if (isReadOnly) {
    const opened = await openReadOnly(context, group, operation)
    if (opened !== undefined) return opened
  }
  return await openAtPrimary(context, group, operation, isReadOnly)
}

async function openReadOnly (context: StatementContext, group: ServiceGroup, operation: Operation): Promise<OpenedTransaction | undefined> {
  const { clock, location } = context
  const tried = new Set<string>()
  for (let tries = 0; tries < 2; tries++) {
    const target = findReadTarget(group, operation, tried, location, clock)
    if (typeof target === 'string') return undefined
    tried.add(target.pool.entry.endpoint)
    const opened = await beginAt(context, group, operation, target)
    if ('transaction' in opened) return opened
  }
  return undefined
}

async function openAtPrimary (context: StatementContext, group: ServiceGroup, operation: Operation, isReadOnly: boolean): Promise<OpenedTransaction> {
  const { clock } = context
  const isFresh = (): boolean => isPrimaryFresh(group.state, readMaxStalenessMs(operation), clock.readNow())
  if (group.isWritable && !isFresh()) await context.verifyLeadership(group, computeWaitMs(operation, clock.readNow()))
  const acquired = await acquirePrimary(context, group, operation)
  if ('refusal' in acquired) return acquired
  if (!isFresh()) {
    acquired.pool.release(acquired.connection, true)
    return createRetryRefusal('lagging', 'the primary is not known to lead', RETRY_AFTER_MS)
  }
  return await sendBegin(context, group, operation, { pool: acquired.pool, atLeast: null, isReadOnly }, acquired.connection)
}

async function beginAt (context: StatementContext, group: ServiceGroup, operation: Operation, { pool, atLeast }: ReadTarget): Promise<OpenedTransaction> {
  const { workspace, contents, route } = operation
  try {
    const connection = await pool.acquire({ workspace, session: contents.session, priority: route.priority, waitMs: computeWaitMs(operation, context.clock.readNow()) })
    return await sendBegin(context, group, operation, { pool, atLeast, isReadOnly: true }, connection)
  } catch (error) {
    if (!(error instanceof PoolError)) throw error
    return createRetryRefusal('busy', error.message, RETRY_AFTER_MS)
  }
}

async function sendBegin (context: StatementContext, group: ServiceGroup, operation: Operation, where: ReadTarget & { isReadOnly: boolean }, connection: PooledConnection): Promise<OpenedTransaction> {
  const { pool, atLeast, isReadOnly } = where
  connection.restoreSession(operation.contents, null)
  try {
    const timeLeftMs = computeTimeLeftMs(operation, context.clock.readNow())
    const answer = await group.runStatement(pool, false, timeLeftMs, async () => await connection.connection.begin(operation.statement.id, isReadOnly, atLeast))
    if (answer.error === null && answer.state === 'open') return { transaction: new PinnedTransaction({ context, group, pool, connection }) }
    pool.release(connection, answer.state === 'idle')
    context.logAttempt(operation, pool, atLeast, answer)
    return describeFailedBegin(context, group, pool, answer)
  } catch (error) {
    pool.release(connection, false)
    const reason = describeError(error)
    context.logLoss(operation, pool, reason)
    return createRetryRefusal('aborted', reason, RETRY_AFTER_MS)
  }
}

function describeFailedBegin (context: StatementContext, group: ServiceGroup, pool: EndpointPool, { error }: EndpointAnswer): OpenedTransaction {
  if (error?.code === 'lagging') pool.laggingUntilMs = context.clock.readNow() + LAGGING_AVOID_MS
  if (error?.code === 'readOnly') context.findPrimaryAgain(group)
  const code = error?.code === 'lagging' || error?.code === 'readOnly' ? error.code : 'busy'
  return createRetryRefusal(code, error?.text ?? 'the transaction could not be opened', RETRY_AFTER_MS)
}
