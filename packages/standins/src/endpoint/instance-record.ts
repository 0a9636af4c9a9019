const MAX_RECORDED_STATEMENTS = 200_000
const MAX_RECORDED_BYTES = 64 * 1024 * 1024

export interface StatementRecord {
  connection: number
  user: string
  /** Unix time in milliseconds at which the statement began to run. */
  atMs: number
  term: number
  text: string
  outcome: 'running' | 'ok' | 'failed'
}

/** Records the statements and bytes that an instance received, for tests that count statements or search for bytes. */
export class InstanceRecord {
  readonly statements: StatementRecord[] = []
  refusedConnections = 0
  /** Highest number of client connections at the same time. */
  maxConnections = 0
  #connections = 0
  #receivedBytes = 0
  readonly #receivedChunks = new Map<number, Buffer[]>()

  /** Adds a statement, and drops the oldest one beyond `MAX_RECORDED_STATEMENTS`; the caller updates its outcome. */
  addStatement (statement: StatementRecord): StatementRecord {
    if (this.statements.length === MAX_RECORDED_STATEMENTS) this.statements.shift()
    this.statements.push(statement)
    return statement
  }

  /** Keeps received bytes up to a total of `MAX_RECORDED_BYTES`. */
  addBytes (connection: number, chunk: Buffer): void {
    this.#receivedBytes += chunk.length
    if (this.#receivedBytes > MAX_RECORDED_BYTES) return
    const chunks = this.#receivedChunks.get(connection)
    if (chunks === undefined) this.#receivedChunks.set(connection, [chunk])
    else chunks.push(chunk)
  }

  openConnection (): void {
    this.#connections++
    this.maxConnections = Math.max(this.maxConnections, this.#connections)
  }

  closeConnection (): void {
    this.#connections--
  }

  countConnections (): number {
    return this.#connections
  }

  /** Counts the connections that received `text`; `complete` tells whether all received bytes were kept. */
  countConnectionsThatReceived (text: string): { count: number, complete: boolean } {
    const wanted = Buffer.from(text, 'utf8')
    const count = [...this.#receivedChunks.values()].filter(chunks => Buffer.concat(chunks).includes(wanted)).length
    return { count, complete: this.#receivedBytes <= MAX_RECORDED_BYTES }
  }
}
