import { RefusalCode, formatRefusal } from '@camphorpitch/wire'
import { createPool, type Pool, type PoolConnection, type RowDataPacket } from 'mysql2/promise'
import type { Experiment } from '../experiment/schema.ts'
import type { FleetEndpoint } from '../fleet/start-fleet.ts'
import { ClientSession, LoadTarget, type SessionOptions } from '../workload/session.ts'

interface NaiveBucket {
  tokens: number
  /** Time at which `tokens` was computed. */
  atMs: number
}

/**
 * Baseline for comparison with the proxy. Each VM has an equal part of every rate, burst and connection
 * limit. All statements run on the initial primary; there is no failover, as only an operator could
 * appoint another primary.
 */
export class NaiveTarget extends LoadTarget {
  readonly #experiment: Experiment
  readonly #pools = new Map<string, Pool>()
  readonly #buckets = new Map<string, NaiveBucket>()
  readonly #endpoints: readonly FleetEndpoint[]

  constructor (experiment: Experiment, endpoints: readonly FleetEndpoint[]) {
    super()
    this.#experiment = experiment
    this.#endpoints = endpoints
  }

  override async openSession (options: SessionOptions): Promise<ClientSession> {
    return new NaiveSession(this, options)
  }

  /** Returns the connection pool of one VM to the initial primary of a database; creates it at first use. */
  ensurePool (vmIndex: number, database: string): Pool {
    const vm = vmIndex % this.#experiment.fleet.vms
    const poolName = `${vm}/${database}`
    const existingPool = this.#pools.get(poolName)
    if (existingPool !== undefined) return existingPool
    const { port } = this.#endpoints.find(e => e.database === database)!
    const connectionLimit = Math.max(1, Math.floor(this.#experiment.fleet.maxConnections / this.#experiment.fleet.vms))
    const pool = createPool({ host: '127.0.0.1', port, user: 'camphorpitch', password: '', connectionLimit })
    this.#pools.set(poolName, pool)
    return pool
  }

  /** Spends one token of the VM's equal part of the workspace's rate; returns false when there is none. */
  spendToken (vmIndex: number, workspace: string): boolean {
    const { fleet, workspaces } = this.#experiment
    const { rate } = workspaces.find(w => w.workspace === workspace)!
    const bucketName = `${vmIndex % fleet.vms}/${workspace}`
    const burst = Math.max(1, rate.burst / fleet.vms)
    const nowMs = performance.now()
    const bucket = this.#buckets.get(bucketName) ?? { tokens: burst, atMs: nowMs }
    const refilledTokens = (nowMs - bucket.atMs) * rate.statementsPerSecond / fleet.vms / 1_000
    const tokens = Math.min(burst, bucket.tokens + refilledTokens)
    const isAdmitted = tokens >= 1
    this.#buckets.set(bucketName, { tokens: isAdmitted ? tokens - 1 : tokens, atMs: nowMs })
    return isAdmitted
  }

  async close (): Promise<void> {
    await Promise.all([...this.#pools.values()].map(async p => await p.end().catch(() => {})))
  }
}

class NaiveSession extends ClientSession {
  readonly #target: NaiveTarget
  readonly #options: SessionOptions
  #vmIndex: number
  /** Connection of the open transaction. */
  #transactionConnection: PoolConnection | null = null

  constructor (target: NaiveTarget, options: SessionOptions) {
    super()
    this.#target = target
    this.#options = options
    this.#vmIndex = options.vmIndex
  }

  override async run (text: string): Promise<string | null> {
    const { workspace, database } = this.#options
    if (text !== 'ROLLBACK' && !this.#target.spendToken(this.#vmIndex, workspace)) throw createRateError()
    const pool = this.#target.ensurePool(this.#vmIndex, database)
    if (text === 'BEGIN') this.#transactionConnection = await pool.getConnection()
    if (text === 'ROLLBACK' && this.#transactionConnection === null) return null
    const [rows] = await (this.#transactionConnection ?? pool).query({ sql: text, timeout: this.#options.timeoutMs })
    if (text === 'COMMIT' || text === 'ROLLBACK') this.#releaseTransactionConnection()
    if (!Array.isArray(rows)) return null
    const first = (rows as RowDataPacket[])[0]
    return first === undefined ? null : String(Object.values(first)[0])
  }

  override async moveToNextVm (): Promise<void> {
    this.#vmIndex += 1
  }

  override close (): void {
    this.#transactionConnection?.destroy()
    this.#transactionConnection = null
  }

  #releaseTransactionConnection (): void {
    this.#transactionConnection?.release()
    this.#transactionConnection = null
  }
}

function createRateError (): Error {
  const message = formatRefusal({ kind: 'notRunRetry', reason: 'rate', retryAfterMs: 100 })
  return Object.assign(new Error(message), { errno: RefusalCode.notRunRetry })
}
