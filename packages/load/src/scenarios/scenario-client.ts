import { setTimeout as wait } from 'node:timers/promises'
import { RefusalCode } from '@camphorpitch/wire'
import { createConnection, type Connection, type RowDataPacket } from 'mysql2/promise'
import type { Fleet } from '../fleet/start-fleet.ts'
import type { History, WriteOutcome } from './history.ts'

export const ENTRIES_TABLE = 'entries'
export const PAIRS_TABLE = 'pairs'
/** Prefix of the literal that each read selects, to check that the response belongs to the request. */
export const NONCE_PREFIX = 'nonce-'

const CONNECT_TIMEOUT_MS = 2_000
const OPERATION_INTERVAL_MS = 5
const RETRY_DELAY_MS = 25
const OPERATIONS_PER_VM = 7
const MAX_WRITE_ATTEMPTS = 200
const MIN_MYSQL_ERRNO = 1_000

export interface ScenarioClientOptions {
  fleet: Fleet
  workspace: string
  key: string
  database: string
  index: number
  durationMs: number
  history: History
  /** @returns milliseconds since the run began */
  readElapsedMs: () => number
}

interface ClientState {
  connection: Connection | null
  token: string | null
  vmIndex: number
  sequence: number
  /** Number of single-row writes of this client that were acknowledged. */
  acknowledged: number
  /** Highest `sequence` of this client's rows that this session has read. */
  highestReadSequence: number
}

interface MysqlError { errno?: number, message?: string }

/**
 * Runs one client whose session writes, reads and moves between VMs until `durationMs` has passed.
 * Checks each response, and records writes, errors and violations in `history`.
 */
export async function runScenarioClient (options: ScenarioClientOptions): Promise<void> {
  const state: ClientState = { connection: null, token: null, vmIndex: options.index, sequence: 0, acknowledged: 0, highestReadSequence: 0 }
  while (options.readElapsedMs() < options.durationMs) {
    await runNextOperation(options, state)
    await wait(OPERATION_INTERVAL_MS)
  }
  state.connection?.destroy()
}

async function runNextOperation (options: ScenarioClientOptions, state: ClientState): Promise<void> {
  state.sequence += 1
  const connection = await ensureConnection(options, state)
  if (connection === null) return
  switch (state.sequence % 4) {
    case 0: return await runPlainWrite(options, state, connection)
    case 1: return await runWriteWithRequestId(options, state)
    case 2: return await runPairTransaction(options, state, connection)
    default: return await runReads(options, state, connection)
  }
}

async function ensureConnection (options: ScenarioClientOptions, state: ClientState): Promise<Connection | null> {
  if (state.connection !== null && state.sequence % OPERATIONS_PER_VM !== 0) return state.connection
  if (state.connection !== null) await disconnectFromVm(state)
  state.vmIndex += 1
  const vm = options.fleet.vms[state.vmIndex % options.fleet.vms.length]
  try {
    const connection = await createConnection({ host: options.fleet.host, port: vm?.callersPort, user: options.workspace, password: options.key, database: options.database, connectTimeout: CONNECT_TIMEOUT_MS })
    connection.on('error', () => {})
    state.connection = connection
    if (state.token !== null) await connection.query(`SET @camphorpitch_session = '${state.token}'`)
    return connection
  } catch (error) {
    options.history.failures.push(`connect: ${readErrorMessage(error)}`)
    dropConnection(state)
    await wait(RETRY_DELAY_MS)
    return null
  }
}

/**
 * Reads the session token, for the session to continue at the next VM, and closes the connection.
 * If the token cannot be read, the next VM starts from what was acknowledged.
 */
async function disconnectFromVm (state: ClientState): Promise<void> {
  const rows = await state.connection?.query<RowDataPacket[]>('SELECT @camphorpitch_session').catch(() => undefined)
  const token = rows?.[0][0]
  if (token !== undefined) state.token = String(Object.values(token)[0])
  dropConnection(state)
}

function dropConnection (state: ClientState): void {
  state.connection?.destroy()
  state.connection = null
}

function readErrorMessage (error: unknown): string {
  return String((error as MysqlError).message ?? error)
}

/** @returns what the client may conclude about a write from the error of its statement */
export function classifyWriteError (error: unknown): WriteOutcome {
  const { errno } = error as MysqlError
  if (errno === undefined || errno < MIN_MYSQL_ERRNO || errno === RefusalCode.outcomeUnknown) return 'unknown'
  return 'not run'
}

function handleError (options: ScenarioClientOptions, state: ClientState, error: unknown): WriteOutcome {
  options.history.failures.push(readErrorMessage(error))
  const { errno } = error as MysqlError
  const isConnectionLost = errno === undefined || errno < MIN_MYSQL_ERRNO
  if (isConnectionLost) dropConnection(state)
  return classifyWriteError(error)
}

function recordWrite (options: ScenarioClientOptions, id: string, rows: number, outcome: WriteOutcome, reason = ''): void {
  options.history.writes.push({ id, outcome, rows, endedAtMs: options.readElapsedMs(), reason })
}

function formatInsert (options: ScenarioClientOptions, id: string, sequence: number): string {
  return `INSERT INTO ${ENTRIES_TABLE} (id, caller, sequence) VALUES ('${id}', ${options.index}, ${sequence})`
}

/** Inserts one row without a request ID, and does not repeat it. */
async function runPlainWrite (options: ScenarioClientOptions, state: ClientState, connection: Connection): Promise<void> {
  const id = `plain-${options.index}-${state.sequence}`
  try {
    await connection.query(formatInsert(options, id, state.sequence))
    state.acknowledged += 1
    recordWrite(options, id, 1, 'acknowledged')
  } catch (error) {
    recordWrite(options, id, 1, handleError(options, state, error), readErrorMessage(error))
    await wait(RETRY_DELAY_MS)
  }
}

/** Repeats a write under one request ID until it is acknowledged or the attempts are used up. */
async function runWriteWithRequestId (options: ScenarioClientOptions, state: ClientState): Promise<void> {
  const id = `named-${options.index}-${state.sequence}`
  let reason = ''
  let outcome: WriteOutcome = 'unknown'
  for (let i = 0; i < MAX_WRITE_ATTEMPTS && outcome !== 'acknowledged'; i++) {
    const connection = state.connection ?? await ensureConnection(options, state)
    if (connection === null) continue
    try {
      await connection.query(`SET @camphorpitch_request_id = '${id}'`)
      await connection.query(formatInsert(options, id, state.sequence))
      outcome = 'acknowledged'
      state.acknowledged += 1
    } catch (error) {
      reason = readErrorMessage(error)
      handleError(options, state, error)
      await wait(RETRY_DELAY_MS)
    }
  }
  recordWrite(options, id, 1, outcome, outcome === 'acknowledged' ? '' : reason)
}

/** Inserts two rows in one transaction. Until `COMMIT` is sent, an error means that the transaction did not run. */
async function runPairTransaction (options: ScenarioClientOptions, state: ClientState, connection: Connection): Promise<void> {
  const id = `pair-${options.index}-${state.sequence}`
  let isCommitting = false
  try {
    await connection.query('BEGIN')
    await connection.query(`INSERT INTO ${PAIRS_TABLE} (id, half) VALUES ('${id}', 1)`)
    await connection.query(`INSERT INTO ${PAIRS_TABLE} (id, half) VALUES ('${id}', 2)`)
    isCommitting = true
    await connection.query('COMMIT')
    recordWrite(options, id, 2, 'acknowledged')
  } catch (error) {
    const outcome = handleError(options, state, error)
    recordWrite(options, id, 2, isCommitting ? outcome : 'not run', readErrorMessage(error))
    if (state.connection !== null) await connection.query('ROLLBACK').catch(() => dropConnection(state))
    await wait(RETRY_DELAY_MS)
  }
}

async function runReads (options: ScenarioClientOptions, state: ClientState, connection: Connection): Promise<void> {
  const nonce = `${NONCE_PREFIX}${options.index}-${state.sequence}`
  const acknowledgedBeforeRead = state.acknowledged
  try {
    const text = `SELECT '${nonce}' AS nonce, count(*) AS n, coalesce(max(sequence), 0) AS latest FROM ${ENTRIES_TABLE} WHERE caller = ${options.index}`
    const [rows] = await connection.query<RowDataPacket[]>(text)
    const row = rows[0] as { nonce: string, n: number, latest: number }
    checkRead(options, state, row, nonce, acknowledgedBeforeRead)
    const [incompletePairs] = await connection.query<RowDataPacket[]>(`SELECT id, count(*) AS n FROM ${PAIRS_TABLE} GROUP BY id HAVING count(*) <> 2`)
    for (const pair of incompletePairs) options.history.violations.push({ promise: 'transactions are whole', detail: `a reader saw ${pair.n} rows of ${pair.id}` })
    options.history.reads += 2
  } catch (error) {
    handleError(options, state, error)
  }
}

function checkRead (options: ScenarioClientOptions, state: ClientState, row: { nonce: string, n: number, latest: number }, nonce: string, acknowledged: number): void {
  const { violations } = options.history
  if (row.nonce !== nonce) violations.push({ promise: 'answers reach their own request', detail: `the response to ${nonce} holds ${row.nonce}` })
  if (Number(row.n) < acknowledged) violations.push({ promise: 'read your writes', detail: `client ${options.index} read ${row.n} of ${acknowledged} acknowledged writes` })
  if (Number(row.latest) < state.highestReadSequence) violations.push({ promise: 'monotonic reads', detail: `client ${options.index} read up to sequence ${row.latest} after it had read up to ${state.highestReadSequence}` })
  state.highestReadSequence = Math.max(state.highestReadSequence, Number(row.latest))
}
