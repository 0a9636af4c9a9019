import { createConnection, type Connection, type RowDataPacket } from 'mysql2/promise'
import { ExperimentError } from '../experiment/errors.ts'
import type { Fleet } from '../fleet/start-fleet.ts'
import { ClientSession, LoadTarget, type SessionOptions } from './session.ts'

const CONNECT_TIMEOUT_MS = 5_000

/** Connects to the databases through the fleet's proxies, as clients do. */
export class ProxyTarget extends LoadTarget {
  readonly #fleet: Fleet
  readonly #keys: ReadonlyMap<string, string>

  constructor (fleet: Fleet, keys: ReadonlyMap<string, string>) {
    super()
    this.#fleet = fleet
    this.#keys = keys
  }

  override async openSession (options: SessionOptions): Promise<ClientSession> {
    const key = this.#keys.get(options.workspace)
    if (key === undefined) throw new ExperimentError(`no key for workspace ${options.workspace}`)
    const session = new ProxySession(this.#fleet, key, options)
    await session.open()
    return session
  }
}

class ProxySession extends ClientSession {
  readonly #fleet: Fleet
  readonly #key: string
  readonly #options: SessionOptions
  #vmIndex: number
  #connection: Connection | null = null
  /** Last session token that was read; `null` before the first. */
  #token: string | null = null

  constructor (fleet: Fleet, key: string, options: SessionOptions) {
    super()
    this.#fleet = fleet
    this.#key = key
    this.#options = options
    this.#vmIndex = options.vmIndex
  }

  async open (): Promise<void> {
    const vm = this.#fleet.vms[this.#vmIndex % this.#fleet.vms.length]!
    const { workspace, database } = this.#options
    const connection = await createConnection({ host: this.#fleet.host, port: vm.callersPort, user: workspace, password: this.#key, database, connectTimeout: CONNECT_TIMEOUT_MS })
    connection.on('error', () => {})
    this.#connection = connection
    if (this.#token !== null) await readFirstColumn(connection, `SET @camphorpitch_session = '${this.#token}'`, this.#options.timeoutMs)
  }

  override async run (text: string): Promise<string | null> {
    if (this.#connection === null) await this.open()
    return await readFirstColumn(this.#connection!, text, this.#options.timeoutMs)
  }

  override async moveToNextVm (): Promise<void> {
    await this.#readToken()
    this.close()
    this.#vmIndex += 1
    await this.open()
  }

  override close (): void {
    this.#connection?.destroy()
    this.#connection = null
  }

  async #readToken (): Promise<void> {
    if (this.#connection === null) return
    this.#token = await readFirstColumn(this.#connection, 'SELECT @camphorpitch_session', this.#options.timeoutMs).catch(() => this.#token)
  }
}

/** @returns the first column of the first row, or `null` without rows */
async function readFirstColumn (connection: Connection, sql: string, timeout: number): Promise<string | null> {
  const [rows] = await connection.query({ sql, timeout })
  if (!Array.isArray(rows)) return null
  const first = (rows as RowDataPacket[])[0]
  return first === undefined ? null : String(Object.values(first)[0])
}
