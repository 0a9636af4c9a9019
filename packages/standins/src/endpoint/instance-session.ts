import { NOT_PRIMARY_ERRNO, SLOTS_BUSY_ERRNO, STALE_TERM_ERRNO, type LogPosition } from '@camphorpitch/wire'
import { setTimeout as wait } from 'node:timers/promises'
import { readStatementKind, type StatementKind } from './dialect.ts'
import type { Engine, WriteResult } from './engine.ts'
import { createStatementError, UNKNOWN_ERRNO } from './errors.ts'
import type { FaultInjector } from './fault-injector.ts'
import { parseGroupCommand, type GroupCommand } from './group-commands.ts'
import type { GroupMember } from './group-member.ts'
import type { PrimaryAddress } from './group-rules.ts'
import type { InstanceRecord } from './instance-record.ts'
import { createTextResult, type ResultSet } from './result-set.ts'
import type { Release, Semaphore } from './semaphore.ts'

const SLOT_TIMEOUT_MS = 30_000
const LOCK_TIMEOUT_MS = 10_000
const LOCK_TIMEOUT_ERRNO = 1205
const SYNTAX_ERRNO = 1064

export type Reply =
  | { kind: 'ok', affectedRows: number, insertId: number, position: LogPosition | null, inTransaction: boolean }
  | { kind: 'rows', result: ResultSet, inTransaction: boolean }
  /** The client gets no reply: the connection closed before the statement ran, or a fault suppresses the reply. */
  | { kind: 'no-reply' }

/** The components of an instance that its sessions share. */
export interface InstanceContext {
  engine: Engine
  injector: FaultInjector
  member: GroupMember
  record: InstanceRecord
  slots: Semaphore
  writerLock: Semaphore
  address: () => PrimaryAddress
}

interface Transaction {
  term: number
  statements: string[]
  /** Releases the writer lock; `null` until the first write or locking read of the transaction. */
  releaseLock: Release | null
  isAborted: boolean
}

/** Runs the statements of one client connection, one after the other. */
export class InstanceSession {
  readonly #context: InstanceContext
  readonly #connectionId: number
  readonly #user: string
  #transaction: Transaction | null = null
  #closed = false
  #lastStatement: Promise<unknown> = Promise.resolve()

  constructor (context: InstanceContext, connectionId: number, user: string) {
    this.#context = context
    this.#connectionId = connectionId
    this.#user = user
  }

  /**
   * Runs a statement after those that were given before.
   *
   * @throws StatementError with the error for the client
   */
  run (text: string): Promise<Reply> {
    const result = this.#lastStatement.then(() => this.#runStatement(text))
    this.#lastStatement = result.catch(() => {})
    return result
  }

  /** Rolls back an open transaction; pending statements do not run. */
  async close (): Promise<void> {
    this.#closed = true
    await this.#context.injector.waitUntilUnfrozen()
    this.#rollbackTransaction()
  }

  /** Rolls back an open transaction because the instance is no longer primary; the client's next statement gets the error. */
  cancelTransaction (): void {
    if (this.#transaction === null) return
    this.#rollbackAndReleaseLock(this.#transaction)
    this.#transaction.isAborted = true
  }

  async #runStatement (text: string): Promise<Reply> {
    await this.#context.injector.waitUntilUnfrozen()
    if (this.#closed) return { kind: 'no-reply' }
    const command = parseGroupCommand(text)
    if (command !== null) return await this.#runGroupCommand(command)
    const kind = readStatementKind(text)
    if (kind === 'group') throw createStatementError(SYNTAX_ERRNO, 'unknown group statement')
    const releaseLock = await this.#acquireWriterLock(kind)
    const releaseSlot = await this.#context.slots.acquire(SLOT_TIMEOUT_MS)
    if (releaseSlot === null) {
      releaseLock?.()
      throw createStatementError(SLOTS_BUSY_ERRNO, 'not run: all slots are busy')
    }
    try {
      return await this.#runInSlot(kind, text, releaseLock)
    } finally {
      releaseSlot()
    }
  }

  /**
   * Acquires the writer lock for a statement that needs it and does not have it yet. The lock is acquired before a
   * slot: otherwise statements that wait for the lock could fill all slots, and the holder's next statement gets none.
   */
  async #acquireWriterLock (kind: StatementKind): Promise<Release | null> {
    const needsLock = kind === 'write' || kind === 'locking-read'
    if (!needsLock || !this.#context.member.isPrimary() || this.#transaction?.releaseLock != null) return null
    const releaseLock = await this.#context.writerLock.acquire(LOCK_TIMEOUT_MS)
    if (releaseLock === null) throw createStatementError(LOCK_TIMEOUT_ERRNO, 'not run: lock wait timeout')
    return releaseLock
  }

  async #runInSlot (kind: StatementKind, text: string, releaseLock: Release | null): Promise<Reply> {
    const { injector, record, member } = this.#context
    const delayMs = injector.faults.statementDelayMs
    if (delayMs > 0) await wait(delayMs)
    await injector.waitUntilUnfrozen()
    if (this.#closed) {
      releaseLock?.()
      return { kind: 'no-reply' }
    }
    const statementRecord = record.addStatement({
      connection: this.#connectionId, user: this.#user, atMs: Date.now(), term: member.state.term, text, outcome: 'running'
    })
    try {
      if (injector.decideStatementFailure()) throw createStatementError(UNKNOWN_ERRNO, 'injected failure')
      const reply = this.#executeStatement(kind, text, releaseLock)
      statementRecord.outcome = 'ok'
      return injector.decideReplyDrop() ? { kind: 'no-reply' } : reply
    } catch (error) {
      statementRecord.outcome = 'failed'
      throw error
    } finally {
      if (releaseLock !== null && this.#transaction?.releaseLock !== releaseLock) releaseLock()
    }
  }

  #executeStatement (kind: StatementKind, text: string, releaseLock: Release | null): Reply {
    if (this.#transaction?.isAborted === true) return this.#finishAbortedTransaction(kind)
    switch (kind) {
      case 'begin': return this.#startTransaction()
      case 'commit': return this.#commitTransaction()
      case 'rollback':
        this.#rollbackTransaction()
        return this.#createOkReply({ affectedRows: 0, insertId: 0 }, null)
      case 'set': return this.#createOkReply({ affectedRows: 0, insertId: 0 }, null)
      case 'write': return this.#write(text, releaseLock)
      case 'locking-read':
        this.#prepareWrite(releaseLock)
        return this.#read(text)
      default: return this.#read(text)
    }
  }

  #finishAbortedTransaction (kind: StatementKind): Reply {
    const endsTransaction = kind === 'commit' || kind === 'rollback'
    if (endsTransaction) this.#transaction = null
    if (kind === 'rollback') return this.#createOkReply({ affectedRows: 0, insertId: 0 }, null)
    throw createStatementError(NOT_PRIMARY_ERRNO, 'not committed: the transaction ended with its term')
  }

  #startTransaction (): Reply {
    if (this.#transaction !== null) this.#commitTransaction()
    this.#transaction = { term: this.#context.member.state.term, statements: [], releaseLock: null, isAborted: false }
    return this.#createOkReply({ affectedRows: 0, insertId: 0 }, null)
  }

  #commitTransaction (): Reply {
    const transaction = this.#transaction
    this.#transaction = null
    if (transaction === null || transaction.releaseLock === null) return this.#createOkReply({ affectedRows: 0, insertId: 0 }, null)
    const { engine, member } = this.#context
    engine.commitTransaction()
    const position = transaction.statements.length === 0 ? null : member.addTransaction(transaction.statements)
    transaction.releaseLock()
    return this.#createOkReply({ affectedRows: 0, insertId: 0 }, position)
  }

  #rollbackTransaction (): void {
    const transaction = this.#transaction
    this.#transaction = null
    if (transaction !== null) this.#rollbackAndReleaseLock(transaction)
  }

  #rollbackAndReleaseLock (transaction: Transaction): void {
    if (transaction.releaseLock === null) return
    this.#context.engine.rollbackTransaction()
    transaction.releaseLock()
    transaction.releaseLock = null
  }

  #read (text: string): Reply {
    const inOpenTransaction = this.#transaction !== null && this.#transaction.releaseLock !== null
    return { kind: 'rows', result: this.#context.engine.read(text, inOpenTransaction), inTransaction: this.#transaction !== null }
  }

  /** Checks that a write may run. With a new lock, starts the engine's transaction for the client's open one. */
  #prepareWrite (releaseLock: Release | null): void {
    this.#ensurePrimaryWithLock(releaseLock)
    if (this.#transaction === null || releaseLock === null) return
    this.#transaction.releaseLock = releaseLock
    this.#context.engine.startTransaction()
  }

  #write (text: string, releaseLock: Release | null): Reply {
    this.#prepareWrite(releaseLock)
    if (this.#transaction !== null) {
      const result = this.#context.engine.write(text)
      this.#transaction.statements.push(text)
      return this.#createOkReply(result, null)
    }
    const { engine, member } = this.#context
    engine.startTransaction()
    try {
      const result = engine.write(text)
      engine.commitTransaction()
      return this.#createOkReply(result, member.addTransaction([text]))
    } catch (error) {
      engine.rollbackTransaction()
      throw error
    }
  }

  /** Checks the lock too: if the instance became primary only after `#acquireWriterLock`, the session has no lock. */
  #ensurePrimaryWithLock (releaseLock: Release | null): void {
    const { member } = this.#context
    const hasLock = releaseLock !== null || this.#transaction?.releaseLock != null
    if (!member.isPrimary() || !hasLock) throw createStatementError(NOT_PRIMARY_ERRNO, `not run: ${member.state.instance} is not the primary`)
  }

  #createOkReply ({ affectedRows, insertId }: WriteResult, position: LogPosition | null): Reply {
    return { kind: 'ok', affectedRows, insertId, position, inTransaction: this.#transaction !== null }
  }

  async #runGroupCommand (command: GroupCommand): Promise<Reply> {
    const { member, injector } = this.#context
    const result = await this.#executeGroupCommand(command)
    await injector.waitUntilUnfrozen()
    if (result === false) throw createStatementError(STALE_TERM_ERRNO, `term ${member.state.term} is promised to ${member.state.promoter ?? 'its primary'}`)
    if (result === null) return { kind: 'no-reply' }
    return { kind: 'rows', result: createTextResult('status', JSON.stringify(result)), inTransaction: this.#transaction !== null }
  }

  /** Returns the reply's content; `false` for a stale term, `null` when there is no reply since the link to the peer is cut. */
  async #executeGroupCommand (command: GroupCommand): Promise<object | false | null> {
    const { member, injector, address } = this.#context
    switch (command.kind) {
      case 'status': return member.readStatus()
      case 'fence': return member.fence(command.term, command.promoter) && member.readStatus()
      case 'promote': return member.promote(command.term, command.promoter, address()) && member.readStatus()
      case 'follow': return member.follow(command.term, command.primary) && member.readStatus()
      case 'wait': return await member.waitForPosition(command.position, command.timeoutMs)
      case 'log': {
        const shipment = await member.waitForShipment(command.request, command.waitMs)
        if (injector.isPeerCut(command.replica)) return null
        return shipment ?? false
      }
    }
  }
}
