import { write, writeSync } from 'node:fs'
import { Writable } from 'node:stream'

/** Bytes that may wait for the reader of the output. */
const MAX_WAITING_BYTES = 1024 * 1024
const STDOUT_FD = 1

/** Writes a chunk and reports the bytes that were taken. */
export type WriteChunk = (chunk: Buffer, done: (error: Error | null, written: number) => void) => void

/**
 * Standard output that never holds up its writer: what a slow reader does not take is kept up to a bound,
 * then dropped and counted.
 */
export class BoundedOutput extends Writable {
  readonly #writeChunk: WriteChunk
  #waiting: Buffer[] = []
  #waitingBytes = 0
  #isWriting = false
  #dropped = 0

  constructor (writeChunk: WriteChunk = (chunk, done) => write(STDOUT_FD, chunk, done)) {
    super({ decodeStrings: true })
    this.#writeChunk = writeChunk
  }

  /** Lines dropped since the last note of it was written. */
  get dropped (): number {
    return this.#dropped
  }

  override _write (chunk: Buffer, _encoding: string, done: () => void): void {
    if (this.#waitingBytes + chunk.length > MAX_WAITING_BYTES) this.#dropped++
    else this.#addChunk(chunk)
    this.#flush()
    done()
  }

  /** Writes what is left before the process ends, unless the reader has stopped. */
  flushNow (): void {
    if (this.#isWriting || this.#waiting.length === 0) return
    writeSync(STDOUT_FD, Buffer.concat(this.#waiting.splice(0)))
  }

  #addChunk (chunk: Buffer): void {
    this.#waiting.push(chunk)
    this.#waitingBytes += chunk.length
  }

  #flush (): void {
    if (this.#isWriting || this.#waiting.length === 0) return
    if (this.#dropped > 0 && this.#waitingBytes < MAX_WAITING_BYTES / 2) {
      this.#addChunk(Buffer.from(`${JSON.stringify({ level: 'warn', message: 'log lines dropped', count: this.#dropped })}\n`))
      this.#dropped = 0
    }
    const chunk = Buffer.concat(this.#waiting.splice(0))
    this.#isWriting = true
    this.#writeRest(chunk)
  }

  #writeRest (chunk: Buffer): void {
    this.#writeChunk(chunk, (error, written) => {
      if (error === null && written < chunk.length) return this.#writeRest(chunk.subarray(written))
      this.#isWriting = false
      this.#waitingBytes = this.#waiting.reduce((sum, c) => sum + c.length, 0)
      this.#flush()
    })
  }
}
