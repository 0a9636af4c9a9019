import type { Cell, Column } from '@camphorpitch/wire'

/** Contents of an OK packet. */
export interface ResultHeader {
  affectedRows: number
  insertId: number | string
  info: string
  serverStatus: number
}

/** One part of an endpoint's response. A result set is `columns`, any number of `rows` and `end`; another statement has one `header`. `failed` takes the place of either, or ends a result set early. */
export type ResultPart =
  | { kind: 'columns', columns: Column[] }
  | { kind: 'rows', rows: Cell[][] }
  | { kind: 'end' }
  | { kind: 'header', header: ResultHeader }
  | { kind: 'failed', errno: number, sqlState: string, message: string }

/** Whether the response ends with this part. */
export function isLastPart ({ kind }: ResultPart): boolean {
  return kind === 'end' || kind === 'header' || kind === 'failed'
}

/** Rows are published as one part once they hold this many bytes. */
const MAX_BATCH_BYTES = 65_536
/** Rows are published as one part once there are this many. */
const MAX_BATCH_ROWS = 256
/** Reading from the endpoint is paused while this many parts wait for the consumer. */
const MAX_PENDING_PARTS = 4

/** Pauses and resumes reading from the endpoint's socket. */
export interface FlowControl {
  pause: () => void
  resume: () => void
}

/**
 * Queues the parts of a response for one consumer. Rows are batched into parts, and reading from the
 * endpoint is paused while the consumer is slow.
 *
 * @example
 * const queue = createPartQueue({ pause: () => c.pause(), resume: () => c.resume() })
 * queue.addRow([Buffer.from('1')])
 * queue.addPart({ kind: 'end' })
 * await queue.waitForPart() // { kind: 'rows', rows: [[<31>]] }
 */
export function createPartQueue (flowControl: FlowControl) {
  const pendingParts: ResultPart[] = []
  let pendingRows: Cell[][] = []
  let pendingBytes = 0
  let failure: Error | null = null
  let wakeConsumer: (() => void) | null = null
  let isPaused = false

  function publishPart (part: ResultPart): void {
    pendingParts.push(part)
    if (pendingParts.length >= MAX_PENDING_PARTS && !isPaused) {
      isPaused = true
      flowControl.pause()
    }
    wakeConsumer?.()
  }

  function publishRows (): void {
    if (pendingRows.length === 0) return
    const batch = pendingRows
    pendingRows = []
    pendingBytes = 0
    publishPart({ kind: 'rows', rows: batch })
  }

  function addRow (row: Cell[]): void {
    pendingRows.push(row)
    for (const cell of row) pendingBytes += cell?.length ?? 0
    if (pendingRows.length >= MAX_BATCH_ROWS || pendingBytes >= MAX_BATCH_BYTES) publishRows()
  }

  function addPart (part: ResultPart): void {
    publishRows()
    publishPart(part)
  }

  function setFailure (error: Error): void {
    failure ??= error
    wakeConsumer?.()
  }

  function resumeFlow (): void {
    if (!isPaused || pendingParts.length >= MAX_PENDING_PARTS) return
    isPaused = false
    flowControl.resume()
  }

  /**
   * Resolves with the next part.
   *
   * @throws the error given to `setFailure`, after all parts before it have been returned
   */
  async function waitForPart (): Promise<ResultPart> {
    for (;;) {
      const part = pendingParts.shift()
      if (part !== undefined) {
        resumeFlow()
        return part
      }
      if (failure !== null) throw failure
      await new Promise<void>(resolve => { wakeConsumer = resolve })
      wakeConsumer = null
    }
  }

  return { addRow, addPart, setFailure, waitForPart }
}

export type PartQueue = ReturnType<typeof createPartQueue>
