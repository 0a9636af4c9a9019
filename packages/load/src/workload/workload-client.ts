import { setTimeout as wait } from 'node:timers/promises'
import type { Experiment, WorkspaceLoad } from '../experiment/schema.ts'
import type { OperationKind, Sample } from '../measures/sample.ts'
import { classifyError, type ClassifiedError } from './classify-error.ts'
import type { ClientSession, LoadTarget } from './session.ts'
import { formatInsert, formatRead, formatUpdate } from './statements.ts'

/** Wait after a lost connection before the client connects again. */
const RECONNECT_DELAY_MS = 100

export interface ClientOptions {
  target: LoadTarget
  experiment: Experiment
  workspace: WorkspaceLoad
  /** Index of this client among all clients, from 0. */
  index: number
  random: () => number
  /** @returns milliseconds since the run began */
  readElapsedMs: () => number
  recordSample: (sample: Sample) => void
  /** Called with the ID and database of each acknowledged insert. */
  recordWrite: (id: string, database: string) => void
  /** Called with the ID of a write when a session did not read its own acknowledged write. */
  recordStaleRead: (id: string) => void
}

interface ClientState {
  session: ClientSession | null
  lastWrite: { id: string, quantity: number } | null
  operations: number
}

/** Runs one client until the experiment ends. It runs one operation at a time, all on one database. */
export async function runClient (options: ClientOptions): Promise<void> {
  const { experiment, readElapsedMs } = options
  const state: ClientState = { session: null, lastWrite: null, operations: 0 }
  let dueAtMs = computeNextDueAtMs(options, 0)
  while (dueAtMs < experiment.durationMs) {
    await waitUntil(dueAtMs, readElapsedMs)
    if (readElapsedMs() >= experiment.durationMs) break
    const error = await runOperation(options, state, dueAtMs)
    dueAtMs = computeNextDueAtMs(options, dueAtMs)
    if (error !== null && experiment.load.loop === 'closed') dueAtMs = Math.max(dueAtMs, readElapsedMs() + (error.retryAfterMs ?? RECONNECT_DELAY_MS))
  }
  state.session?.close()
}

/** In an open loop, the times between due times are exponentially distributed. In a closed loop, the client waits after each response. */
function computeNextDueAtMs ({ experiment, workspace, random, readElapsedMs }: ClientOptions, lastDueAtMs: number): number {
  const { loop, thinkTimeMs } = experiment.load
  if (loop === 'closed') return readElapsedMs() + thinkTimeMs
  const meanGapMs = 1_000 * workspace.callers / workspace.offeredPerSecond
  return lastDueAtMs - Math.log(1 - random()) * meanGapMs
}

async function waitUntil (dueAtMs: number, readElapsedMs: () => number): Promise<void> {
  const remainingMs = dueAtMs - readElapsedMs()
  if (remainingMs > 0) await wait(remainingMs)
}

function pickDatabase ({ experiment, index }: ClientOptions): string {
  const { databases } = experiment.fleet
  return databases[index % databases.length]!
}

function pickKind ({ experiment, random }: ClientOptions): OperationKind {
  const { read, write, transaction } = experiment.load.mix
  const point = random() * (read + write + transaction)
  if (point < read) return 'read'
  return point < read + write ? 'write' : 'transaction'
}

async function runOperation (options: ClientOptions, state: ClientState, dueAtMs: number): Promise<ClassifiedError | null> {
  const { workspace, readElapsedMs, recordSample } = options
  const kind = pickKind(options)
  const startedAtMs = readElapsedMs()
  const counter = { statements: 0 }
  const error = await attemptOperation(options, state, kind, counter)
  recordSample({
    workspace: workspace.workspace,
    database: pickDatabase(options),
    kind,
    statements: Math.max(1, counter.statements),
    intendedAtMs: options.experiment.load.loop === 'open' ? dueAtMs : startedAtMs,
    startedAtMs,
    endedAtMs: readElapsedMs(),
    outcome: error?.outcome ?? 'ok',
    reason: error?.reason ?? ''
  })
  return error
}

async function attemptOperation (options: ClientOptions, state: ClientState, kind: OperationKind, counter: { statements: number }): Promise<ClassifiedError | null> {
  let hasSentStatement = false
  try {
    const session = await ensureSession(options, state)
    const run = async (text: string) => {
      hasSentStatement = true
      counter.statements += 1
      return await session.run(text)
    }
    if (kind === 'read') await runRead(options, state, run)
    else await runWrite(options, state, run, kind === 'transaction')
    return null
  } catch (error) {
    return await handleError(state, error, hasSentStatement)
  }
}

/** Opens a session if there is none, or moves it to the next VM after `operationsPerVm` operations. */
async function ensureSession (options: ClientOptions, state: ClientState): Promise<ClientSession> {
  const { target, workspace, index, experiment } = options
  const { operationsPerVm } = experiment.load
  state.operations += 1
  if (state.session === null) {
    state.session = await target.openSession({ workspace: workspace.workspace, database: pickDatabase(options), vmIndex: index + state.operations, timeoutMs: experiment.load.timeoutMs })
    if (experiment.load.maxAgeMs > 0) await state.session.run(`SET @camphorpitch_max_age_ms = ${experiment.load.maxAgeMs}`)
  } else if (operationsPerVm > 0 && state.operations % operationsPerVm === 0) {
    await state.session.moveToNextVm()
  }
  return state.session
}

type RunStatement = (text: string) => Promise<string | null>

async function runRead ({ recordStaleRead, experiment }: ClientOptions, state: ClientState, run: RunStatement): Promise<void> {
  const { lastWrite } = state
  const value = await run(formatRead(lastWrite?.id ?? 'none'))
  if (lastWrite !== null && experiment.load.maxAgeMs === 0 && value !== String(lastWrite.quantity)) recordStaleRead(lastWrite.id)
}

async function runWrite (options: ClientOptions, state: ClientState, run: RunStatement, isTransaction: boolean): Promise<void> {
  const { workspace, index, recordWrite } = options
  const id = `${workspace.workspace}-${index}-${state.operations}`
  const insert = formatInsert(id, workspace.workspace, state.operations)
  if (isTransaction) {
    await run('BEGIN')
    await run(insert)
    await run(formatUpdate(id, state.operations))
    await run('COMMIT')
  } else {
    await run(insert)
  }
  state.lastWrite = { id, quantity: state.operations }
  recordWrite(id, pickDatabase(options))
}

/**
 * Classifies the error of an operation, and ensures that no unfinished transaction continues: closes the session if its
 * connection is lost or no statement was sent, and rolls back otherwise. After a close, the next operation opens a new
 * session, which starts from the primary.
 */
async function handleError (state: ClientState, error: unknown, hasSentStatement: boolean): Promise<ClassifiedError> {
  const classified = classifyError(error)
  if (!hasSentStatement && classified.outcome === 'unknown') classified.outcome = 'failed'
  if (classified.isConnectionLost || !hasSentStatement) {
    state.session?.close()
    state.session = null
    await wait(RECONNECT_DELAY_MS)
  } else {
    await state.session?.run('ROLLBACK').catch(() => {})
  }
  return classified
}
