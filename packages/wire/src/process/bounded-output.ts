import { write, writeSync } from 'node:fs'
import { Writable } from 'node:stream'

/** Maximum number of bytes that are kept until the reader of the output takes them. */
const MAX_PENDING_BYTES = 1024 * 1024
const STDOUT_FD = 1

/** Writes a chunk, and calls `done` with the number of bytes written, which may be fewer than given. */
export type WriteChunk = (chunk: Buffer, done: (error: Error | null, written: number) => void) => void

/**
 * Stream to standard output that never blocks its writer: lines that the reader has not yet taken are kept up to
 * `MAX_PENDING_BYTES`; further lines are dropped and counted. The count is written once the reader catches up.
 */
export class BoundedOutput extends Writable {
  readonly #writeChunk: WriteChunk
  #pendingChunks: Buffer[] = []
  #pendingBytes = 0
  #isWriting = false
  #droppedLineCount = 0
  #handleFlushed: () => void = () => {}

  constructor (writeChunk: WriteChunk = (chunk, done) => write(STDOUT_FD, chunk, done)) {
    super({ decodeStrings: true })
    this.#writeChunk = writeChunk
  }

  /** Number of lines dropped since the last 'log lines dropped' line. */
  get droppedLineCount (): number {
    return this.#droppedLineCount
  }

  override _write (chunk: Buffer, _encoding: string, done: () => void): void {
    if (this.#pendingBytes + chunk.length > MAX_PENDING_BYTES) this.#droppedLineCount++
    else this.#addChunk(chunk)
    this.#flush()
    done()
  }

  /** Waits until all lines are written, for at most `timeoutMs`. */
  async flush (timeoutMs: number): Promise<void> {
    if (!this.#isWriting) return
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, timeoutMs)
      this.#handleFlushed = () => {
        clearTimeout(timer)
        resolve()
      }
    })
  }

  /** Writes all pending lines before the process exits, unless a write is still in progress. */
  flushSync (): void {
    if (this.#isWriting || this.#pendingChunks.length === 0) return
    writeSync(STDOUT_FD, Buffer.concat(this.#pendingChunks.splice(0)))
  }

  #addChunk (chunk: Buffer): void {
    this.#pendingChunks.push(chunk)
    this.#pendingBytes += chunk.length
  }

  #flush (): void {
    if (this.#isWriting || this.#pendingChunks.length === 0) return
    if (this.#droppedLineCount > 0 && this.#pendingBytes < MAX_PENDING_BYTES / 2) {
      this.#addChunk(Buffer.from(`${JSON.stringify({ level: 'warn', message: 'log lines dropped', count: this.#droppedLineCount })}\n`))
      this.#droppedLineCount = 0
    }
    const chunk = Buffer.concat(this.#pendingChunks.splice(0))
    this.#isWriting = true
    this.#writeRest(chunk)
  }

  #writeRest (chunk: Buffer): void {
    this.#writeChunk(chunk, (error, written) => {
      if (error === null && written < chunk.length) return this.#writeRest(chunk.subarray(written))
      this.#isWriting = false
      this.#pendingBytes = this.#pendingChunks.reduce((sum, c) => sum + c.length, 0)
      this.#flush()
      if (!this.#isWriting) this.#handleFlushed()
    })
  }
}
