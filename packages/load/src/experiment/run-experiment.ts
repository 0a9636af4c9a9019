import { setTimeout as wait } from 'node:timers/promises'
import { createSeededRandom, describeError } from '@camphorpitch/wire'
import { NaiveTarget } from '../baseline/naive-target.ts'
import { createWorkspace } from '../demo/workspace-clients.ts'
import { injectFault } from '../faults/inject-fault.ts'
import { startFleet, type Fleet } from '../fleet/start-fleet.ts'
import { computeMeasures, selectSlowest, type Measures, type PrimaryFailure } from '../measures/compute-measures.ts'
import { checkIntegrity, type Integrity } from '../measures/integrity.ts'
import { ReadCounter } from '../measures/read-counter.ts'
import type { Sample } from '../measures/sample.ts'
import { createTimeSeries, type TimeSeries } from '../measures/time-series.ts'
import { runClient } from '../workload/workload-client.ts'
import { ProxyTarget } from '../workload/proxy-target.ts'
import type { LoadTarget } from '../workload/session.ts'
import { createTableStatements, WORKLOAD_TABLE } from '../workload/statements.ts'
import { ExperimentError } from './errors.ts'
import type { Experiment, Fault } from './schema.ts'

const SETUP_TIMEOUT_MS = 20_000
const RETRY_DELAY_MS = 200
/** Time between setup and run, for rate limits and connection pools to settle. */
const SETTLE_TIME_MS = 3_000
const VERIFY_TIMEOUT_MS = 15_000
const SLOWEST_SAMPLE_COUNT = 20
const PROGRESS_INTERVAL_MS = 1_000

export type SystemName = 'camphorpitch' | 'baseline'

export interface RunResult {
  system: SystemName
  measures: Measures
  integrity: Integrity
  series: TimeSeries
  /** The operations with the highest latencies, whatever their outcome. */
  slowest: Sample[]
  /** Faults that could not be injected, each with the reason. */
  failedFaults: string[]
}

export interface RunOptions {
  system: SystemName
  /** Called each second with all samples so far. */
  onProgress?: (elapsedMs: number, samples: readonly Sample[]) => void
}

interface ExperimentRun {
  experiment: Experiment
  fleet: Fleet
  target: LoadTarget
  reads: ReadCounter
  samples: Sample[]
  /** IDs of the acknowledged inserts by database. */
  acknowledged: Map<string, string[]>
  staleReads: string[]
  primaryFailures: PrimaryFailure[]
  failedFaults: string[]
}

/**
 * Starts a fleet, runs the workload on it while it injects the faults, and stops the fleet.
 * Faults that cannot be injected are listed in the result.
 *
 * @throws FleetError when the fleet does not start
 * @throws ExperimentError when a database accepts no writes
 * @example const { measures } = await runExperiment(presets.fjordlakk, { system: 'camphorpitch' })
 */
export async function runExperiment (experiment: Experiment, options: RunOptions): Promise<RunResult> {
  const { vms, databases, instancesPerDatabase, ...endpoint } = experiment.fleet
  const isBaseline = options.system === 'baseline'
  const fleet = await startFleet({ vms: isBaseline ? 0 : vms, databases, instancesPerDatabase, endpoint: { ...endpoint, seed: experiment.seed } })
  let baselineTarget: NaiveTarget | null = null
  try {
    baselineTarget = isBaseline ? new NaiveTarget(experiment, fleet.endpoints) : null
    const run = createRun(experiment, fleet, baselineTarget ?? await createProxyTarget(experiment, fleet))
    await createTables(run)
    await wait(SETTLE_TIME_MS)
    await runLoad(run, options)
    return await describeRun(run, options.system)
  } finally {
    await baselineTarget?.close()
    await fleet.stop()
  }
}

function createRun (experiment: Experiment, fleet: Fleet, target: LoadTarget): ExperimentRun {
  return {
    experiment,
    fleet,
    target,
    reads: new ReadCounter(fleet.endpoints),
    samples: [],
    acknowledged: new Map(experiment.fleet.databases.map(d => [d, []])),
    staleReads: [],
    primaryFailures: [],
    failedFaults: []
  }
}

async function createProxyTarget (experiment: Experiment, fleet: Fleet): Promise<ProxyTarget> {
  const keys = new Map<string, string>()
  for (const { workspace, rate } of experiment.workspaces) {
    const { key } = await createWorkspace(fleet, { workspace, databases: experiment.fleet.databases, rate })
    keys.set(workspace, key)
  }
  return new ProxyTarget(fleet, keys)
}

async function createTables (run: ExperimentRun): Promise<void> {
  for (const database of run.experiment.fleet.databases) {
    for (const text of createTableStatements) {
      const result = await retryStatement(run, database, text, SETUP_TIMEOUT_MS)
      if (result.error !== null) throw new ExperimentError(`database ${database} accepts no writes: ${result.error}`)
    }
  }
}

/**
 * Runs a statement, each time in a new session at the next VM, until it succeeds or `timeoutMs` has passed.
 *
 * @returns the first column of the first row, or the last error
 */
async function retryStatement ({ target, experiment }: ExperimentRun, database: string, text: string, timeoutMs: number): Promise<{ value: string | null, error: string | null }> {
  const deadlineMs = performance.now() + timeoutMs
  for (let vmIndex = 0; ; vmIndex++) {
    try {
      const session = await target.openSession({ workspace: experiment.workspaces[0]!.workspace, database, vmIndex, timeoutMs: SETUP_TIMEOUT_MS })
      const value = await session.run(text).finally(() => session.close())
      return { value, error: null }
    } catch (error) {
      if (performance.now() > deadlineMs) return { value: null, error: describeError(error) }
      await wait(RETRY_DELAY_MS)
    }
  }
}

async function runLoad (run: ExperimentRun, { onProgress }: RunOptions): Promise<void> {
  const { experiment, samples } = run
  const startedAtMs = performance.now()
  const readElapsedMs = () => performance.now() - startedAtMs
  const random = createSeededRandom(experiment.seed)
  const reportError = (error: unknown): void => console.error(`fault not brought about: ${describeError(error)}`)
  const faultTimers = experiment.faults.map(fault => setTimeout(() => {
    attemptFault(run, fault, readElapsedMs).catch(reportError)
  }, fault.atMs))
  const progressTimer = setInterval(() => onProgress?.(readElapsedMs(), samples), PROGRESS_INTERVAL_MS)
  run.reads.start()
  const clientWorkspaces = experiment.workspaces.flatMap(workspace => Array.from({ length: workspace.callers }, () => workspace))
  await Promise.all(clientWorkspaces.map(async (workspace, index) => await runClient({
    target: run.target,
    experiment,
    workspace,
    index,
    random: createSeededRandom(Math.floor(random() * 2 ** 31)),
    readElapsedMs,
    recordSample: sample => samples.push(sample),
    recordWrite: (id, database) => run.acknowledged.get(database)!.push(id),
    recordStaleRead: id => run.staleReads.push(id)
  })))
  for (const t of faultTimers) clearTimeout(t)
  clearInterval(progressTimer)
  run.reads.stop()
}

async function attemptFault (run: ExperimentRun, fault: Fault, readElapsedMs: () => number): Promise<void> {
  try {
    await injectFault(run.fleet, fault, run.reads)
    if (fault.kind === 'kill-primary' || fault.kind === 'freeze-primary') run.primaryFailures.push({ database: fault.database, atMs: readElapsedMs() })
  } catch (error) {
    run.failedFaults.push(`${fault.kind} at ${fault.atMs} ms: ${String(error)}`)
  }
}

async function describeRun (run: ExperimentRun, system: SystemName): Promise<RunResult> {
  const { experiment, samples, primaryFailures, failedFaults } = run
  const { durationMs, warmupMs, workspaces } = experiment
  const reads = await run.reads.countReads()
  const storedByDatabase = new Map<string, string[] | null>()
  for (const database of experiment.fleet.databases) storedByDatabase.set(database, await readStoredIds(run, database))
  const rates = new Map(workspaces.map(w => [w.workspace, w.rate]))
  return {
    system,
    measures: computeMeasures({ samples, rates, reads, primaryFailures, durationMs, warmupMs }),
    integrity: checkIntegrity(run.acknowledged, storedByDatabase, run.staleReads.length),
    series: createTimeSeries(samples, durationMs),
    slowest: selectSlowest(samples, SLOWEST_SAMPLE_COUNT),
    failedFaults
  }
}

/** @returns the IDs of all stored rows, or `null` when the database cannot be read */
async function readStoredIds (run: ExperimentRun, database: string): Promise<string[] | null> {
  const { value, error } = await retryStatement(run, database, `SELECT COALESCE(GROUP_CONCAT(id), '') FROM ${WORKLOAD_TABLE}`, VERIFY_TIMEOUT_MS)
  if (error !== null || value === null) return null
  return value === '' ? [] : value.split(',')
}
