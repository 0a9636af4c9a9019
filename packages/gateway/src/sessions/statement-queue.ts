import type { Logger } from '@camphorpitch/wire'
import type { ClientStatement, ResponseError } from '../backend/statement.ts'
import type { ClientTransport } from '../clients/client-listener.ts'
import { createInputRefusal, type InputBudget, type InputHolder } from './input-budget.ts'
import { MAX_LOGGED_IDS, type SessionEnd, type SessionEndCause } from './session-end.ts'

/** Number of queued statements from which on no more of the client's input is read. */
const MAX_QUEUED_STATEMENTS = 256
/** Number of queued statements at which reading goes on. */
const RESUME_QUEUED_STATEMENTS = 64
/** Bytes of queued statements from which on no more of the client's input is read. */
const MAX_QUEUED_BYTES = 65_536

/** A message that is answered with an error in its place; `endCause` if the session ends then. */
export interface RefusedMessage { error: ResponseError, endCause: SessionEndCause | null }
export type QueuedStatement = ClientStatement | RefusedMessage

/** Stands for a message above the maximum size, after which no further one can be read. */
export const TOO_LARGE: RefusedMessage = { error: { code: 'tooLarge', text: 'message too large' }, endCause: 'messageTooLarge' }

export interface StatementQueueOptions {
  holder: InputHolder
  transport: ClientTransport
  budget: InputBudget
  logger: Logger
}

/**
 * The statements of a session that have not ended, in the order in which they came. Stops reading from the client while enough of them
 * wait, and records in the process's budget what they take.
 *
 * @example
 * const queue = new StatementQueue({ holder: session, transport, budget, logger })
 * queue.add(statement)
 * const next = queue.beginNext()
 */
export class StatementQueue {
  readonly #options: StatementQueueOptions
  readonly #waiting: QueuedStatement[] = []
  #waitingBytes = 0
  #running: QueuedStatement | null = null
  /** Number and first ids of the statements that arrived after the session was closed. */
  #droppedCount = 0
  readonly #droppedIds: string[] = []

  constructor (options: StatementQueueOptions) {
    this.#options = options
  }

  /** Number of statements that wait. */
  get length (): number {
    return this.#waiting.length
  }

  /** The statement that runs; `null` if none does. */
  get running (): QueuedStatement | null {
    return this.#running
  }

  /** Adds a statement, or its refusal if the process holds too much input. */
  add (queued: QueuedStatement): void {
    const { holder, transport, budget } = this.#options
    const bytes = measureBytes(queued)
    const isTaken = bytes === 0 || budget.canHold(holder, bytes)
    this.#waiting.push(isTaken ? queued : { error: createInputRefusal(), endCause: null })
    if (isTaken) this.#waitingBytes += bytes
    if (this.#waiting.length >= MAX_QUEUED_STATEMENTS || this.#waitingBytes >= MAX_QUEUED_BYTES) transport.pauseInput()
  }

  /** Takes the next statement, which runs until `finishRunning`. @returns `undefined` if none waits */
  beginNext (): QueuedStatement | undefined {
    const next = this.#waiting.shift()
    if (next === undefined) return undefined
    this.#waitingBytes -= measureBytes(next)
    this.#running = next
    if (this.#waiting.length <= RESUME_QUEUED_STATEMENTS && this.#waitingBytes < MAX_QUEUED_BYTES) this.#options.transport.resumeInput()
    return next
  }

  finishRunning (): void {
    this.#running = null
  }

  /** Removes the statements that wait. @returns them */
  removeWaiting (): QueuedStatement[] {
    this.#waitingBytes = 0
    return this.#waiting.splice(0)
  }

  /** Counts and logs a statement that arrived after the session was closed. */
  recordDropped (queued: QueuedStatement, { cause, sinceCloseMs }: { cause: SessionEndCause | null, sinceCloseMs: number }): void {
    this.#droppedCount++
    if (this.#droppedIds.length >= MAX_LOGGED_IDS) return
    const id = readStatementId(queued)
    this.#droppedIds.push(id)
    const { holder, logger } = this.#options
    logger.warn('statement received after its session was closed', { id, session: holder.id, cause, sinceCloseMs })
  }

  /** Describes the statements that were not answered. `isAnswered` tells whether the running one was. */
  describeUnanswered (isAnswered: boolean): Pick<SessionEnd, 'unanswered' | 'unansweredIds'> {
    const pending = this.#running === null || isAnswered ? this.#waiting : [this.#running, ...this.#waiting]
    const ids = [...pending.map(readStatementId), ...this.#droppedIds]
    return { unanswered: pending.length + this.#droppedCount, unansweredIds: ids.slice(0, MAX_LOGGED_IDS) }
  }

  /**
   * Records in the budget what the session holds.
   *
   * @param keptBytes what it keeps until it ends
   */
  recordInput (keptBytes: number): void {
    const { holder, transport, budget } = this.#options
    const { incompleteBytes } = transport.readInputState()
    const runningBytes = this.#running === null ? 0 : measureBytes(this.#running)
    const outputBytes = transport.readOutputState().waitingBytes
    budget.record(holder, { incompleteBytes, messageBytes: this.#waitingBytes + runningBytes, keptBytes, outputBytes })
  }
}

/** Measures the text of a statement; the refusal of a message holds nothing of it. */
function measureBytes (queued: QueuedStatement): number {
  return 'error' in queued ? 0 : queued.id.length + queued.text.length
}

/** Reads a statement's id; `-` for a message without a valid one. */
export function readStatementId (queued: QueuedStatement): string {
  return 'error' in queued ? '-' : queued.id
}
