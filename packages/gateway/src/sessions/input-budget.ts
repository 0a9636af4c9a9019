import type { Clock, Logger } from '@camphorpitch/wire'
import type { ResponseError } from '../backend/statement.ts'
import { createRetryRefusal } from '../statements/operation.ts'

const MIB = 1_048_576
const DEFAULT_MAX_BYTES = 32 * MIB
const DEFAULT_MAX_UNAUTHENTICATED_BYTES = 8 * MIB
const RETRY_AFTER_MS = 500
const LOG_INTERVAL_MS = 1_000

/** A session whose input and responses take memory of the process. */
export interface InputHolder {
  readonly id: string
  /** `null` before the session is accepted. */
  readonly workspace: string | null
  /** Ends the session because of its input that is not a whole message yet, and drops that. */
  refuseInput: (error: ResponseError) => void
  /** Ends the session at once because of the responses that its client does not take, and drops those. */
  refuseOutput: () => void
}

/** What a session holds, in bytes. */
export interface HeldInput {
  /** Input that is not a whole message yet, or has not been looked at. */
  incompleteBytes: number
  /** Messages that wait or run. */
  messageBytes: number
  /** Values and prepared statements that the session keeps until it ends; 0 by default. */
  keptBytes?: number
  /** Responses that its client has not taken; 0 by default. */
  outputBytes?: number
}

export interface InputBudgetOptions {
  clock: Clock
  logger: Logger
  /** Bytes of input that all sessions together may hold; 32 MiB by default. */
  maxBytes?: number
  /** Bytes of them that connections without an accepted session may hold; 8 MiB by default. */
  maxUnauthenticatedBytes?: number
  /** Called for each refusal. */
  recordRefused?: (reason: InputRefusal) => void
}

/**
 * `message`: a whole message was not taken; `session`: the connection was ended for its input; `output`: it was ended for responses that
 * were not taken.
 */
export type InputRefusal = 'message' | 'session' | 'output'

/**
 * Bounds the memory that clients take: incomplete messages, statements that have not ended, what sessions keep of them, and responses that
 * clients do not take.
 *
 * Each workspace has an equal share of the budget, and connections without an accepted session have a smaller one together. Who holds more
 * than its share while the whole is used up is refused, so that others go on.
 *
 * @example
 * const budget = new InputBudget({ clock, logger })
 * if (budget.canHold(session, 1_024)) budget.record(session, { incompleteBytes: 0, messageBytes: 1_024 })
 */
export class InputBudget {
  readonly #options: InputBudgetOptions
  readonly #maxBytes: number
  readonly #maxUnauthenticatedBytes: number
  readonly #held = new Map<InputHolder, Required<HeldInput> & { workspace: string | null }>()
  readonly #bytesByWorkspace = new Map<string | null, number>()
  #totalBytes = 0
  #refusedSinceLog = 0
  #loggedAtMs = -Infinity

  constructor (options: InputBudgetOptions) {
    this.#options = options
    this.#maxBytes = options.maxBytes ?? DEFAULT_MAX_BYTES
    this.#maxUnauthenticatedBytes = options.maxUnauthenticatedBytes ?? DEFAULT_MAX_UNAUTHENTICATED_BYTES
  }

  /** Bytes that all sessions hold. */
  get totalBytes (): number {
    return this.#totalBytes
  }

  /** Whether a session may take a whole message of `bytes` more. A refusal is counted and logged. */
  canHold (holder: InputHolder, bytes: number): boolean {
    if (!this.#isExceeded(holder.workspace, bytes)) return true
    this.#recordRefused('message', holder, bytes)
    return false
  }

  /**
   * Records what a session holds now. If that is too much, ends the session of its workspace, or of those not accepted, with most input
   * that is incomplete and responses that were not taken.
   */
  record (holder: InputHolder, held: HeldInput): void {
    this.#set(holder, held)
    if (!this.#isExceeded(holder.workspace, 0)) return
    const largest = this.#pickLargest(holder.workspace)
    const { incompleteBytes = 0, outputBytes = 0, messageBytes = 0, keptBytes = 0 } = this.#held.get(largest) ?? {}
    if (incompleteBytes + outputBytes === 0) return
    const isForOutput = outputBytes > incompleteBytes
    this.#recordRefused(isForOutput ? 'output' : 'session', largest, isForOutput ? outputBytes : incompleteBytes)
    this.#set(largest, { incompleteBytes: 0, messageBytes, keptBytes, outputBytes: 0 })
    if (isForOutput) largest.refuseOutput()
    else largest.refuseInput(createInputRefusal())
  }

  remove (holder: InputHolder): void {
    this.#set(holder, { incompleteBytes: 0, messageBytes: 0 })
  }

  #set (holder: InputHolder, { incompleteBytes, messageBytes, keptBytes = 0, outputBytes = 0 }: HeldInput): void {
    const { workspace } = holder
    const before = this.#held.get(holder)
    if (before !== undefined) this.#add(before.workspace, -sumBytes(before))
    this.#held.delete(holder)
    const after = { incompleteBytes, messageBytes, keptBytes, outputBytes, workspace }
    const bytes = sumBytes(after)
    if (bytes <= 0) return
    this.#held.set(holder, after)
    this.#add(workspace, bytes)
  }

  #add (workspace: string | null, bytes: number): void {
    this.#totalBytes += bytes
    const sum = (this.#bytesByWorkspace.get(workspace) ?? 0) + bytes
    if (sum > 0) this.#bytesByWorkspace.set(workspace, sum)
    else this.#bytesByWorkspace.delete(workspace)
  }

  #isExceeded (workspace: string | null, moreBytes: number): boolean {
    const bytes = (this.#bytesByWorkspace.get(workspace) ?? 0) + moreBytes
    if (workspace === null) return bytes > this.#maxUnauthenticatedBytes
    const shares = Math.max(1, this.#bytesByWorkspace.size)
    return this.#totalBytes + moreBytes > this.#maxBytes && bytes > this.#maxBytes / shares
  }

  #pickLargest (workspace: string | null): InputHolder {
    const holders = [...this.#held].filter(([, h]) => h.workspace === workspace)
    const measure = ([, held]: typeof holders[number]): number => held.incompleteBytes + held.outputBytes
    return holders.reduce((largest, h) => measure(h) > measure(largest) ? h : largest)[0]
  }

  #recordRefused (reason: InputRefusal, { id, workspace }: InputHolder, bytes: number): void {
    const { clock, logger, recordRefused } = this.#options
    recordRefused?.(reason)
    this.#refusedSinceLog++
    const nowMs = clock.readNow()
    if (nowMs - this.#loggedAtMs < LOG_INTERVAL_MS) return
    logger.warn('client input refused, clients hold too much of the memory for it', {
      session: id,
      workspace,
      reason,
      bytes,
      workspaceBytes: this.#bytesByWorkspace.get(workspace) ?? 0,
      totalBytes: this.#totalBytes,
      maxBytes: this.#maxBytes,
      maxUnauthenticatedBytes: this.#maxUnauthenticatedBytes,
      refused: this.#refusedSinceLog
    })
    this.#loggedAtMs = nowMs
    this.#refusedSinceLog = 0
  }
}

function sumBytes ({ incompleteBytes, messageBytes, keptBytes, outputBytes }: Required<HeldInput>): number {
  return incompleteBytes + messageBytes + keptBytes + outputBytes
}

/** Creates the error for a message that was not taken; it promises that the message did not run. */
export function createInputRefusal (): ResponseError {
  return createRetryRefusal('busy', 'not run, as clients\' input takes too much memory', RETRY_AFTER_MS).refusal
}
