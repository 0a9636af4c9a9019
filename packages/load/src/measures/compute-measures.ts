import { build, type Histogram } from 'hdr-histogram-js'
import { selectWithinRate, type ReferenceRate } from './select-within-rate.ts'
import type { Sample } from './sample.ts'

const MAX_LATENCY_MICROS = 600_000_000

/** Number of reads that ran at primaries and at replicas. */
export interface ReadCount {
  primary: number
  replica: number
}

/** A kill or freeze of a database's primary. */
export interface PrimaryFailure {
  database: string
  /** Milliseconds since the run began. */
  atMs: number
}

export interface MeasureInput {
  samples: readonly Sample[]
  rates: ReadonlyMap<string, ReferenceRate>
  reads: ReadCount
  primaryFailures: readonly PrimaryFailure[]
  durationMs: number
  /** Operations due before this time are not measured, but use tokens of their workspace's rate. */
  warmupMs?: number
}

export interface WorkspaceMeasure {
  workspace: string
  operations: number
  p50Ms: number
  p99Ms: number
  /** Fraction of the operations within the rate that succeeded. */
  success: number
  /** Number of operations that were refused by the rate limit although they were within the rate. */
  wrongfullyRefused: number
}

export interface FailoverGap extends PrimaryFailure {
  /** Time from the failure to the end of the first acknowledged write that began after it; `null` if there was none. */
  gapMs: number | null
}

/** Measures of one run, over all workspaces and for each. */
export interface Measures {
  /** Fraction of the reads that replicas served; `null` if there were no reads. */
  replicaReadShare: number | null
  failoverGaps: FailoverGap[]
  /** Highest p99 latency of a workspace. */
  worstP99Ms: number
  meanP99Ms: number
  /** Lowest success fraction of a workspace. */
  worstSuccess: number
  meanSuccess: number
  wrongfullyRefused: number
  /** Fraction of all operations that were wrongfully refused. */
  wrongfullyRefusedShare: number
  /** Successful operations per second after the warm-up. */
  operationsPerSecond: number
  outcomes: Record<Sample['outcome'], number>
  /** Number of unsuccessful operations by their reason. */
  reasons: Record<string, number>
  workspaces: WorkspaceMeasure[]
}

/**
 * Computes the measures from the samples that are due after the warm-up.
 *
 * @example const measures = computeMeasures({ samples, rates, reads: { primary: 10, replica: 90 }, primaryFailures: [], durationMs: 20_000 })
 */
export function computeMeasures (input: MeasureInput): Measures {
  const { rates, reads, primaryFailures, durationMs, warmupMs = 0 } = input
  const samples = input.samples.filter(s => s.intendedAtMs >= warmupMs)
  const workspaces = [...rates].map(([workspace, rate]) => measureWorkspace(workspace, rate, input.samples, warmupMs))
  const wrongfullyRefused = computeSum(workspaces.map(w => w.wrongfullyRefused))
  const totalReads = reads.primary + reads.replica
  const activeWorkspaces = workspaces.filter(w => w.operations > 0)
  return {
    replicaReadShare: totalReads === 0 ? null : reads.replica / totalReads,
    failoverGaps: primaryFailures.map(failure => ({ ...failure, gapMs: measureFailoverGapMs(samples, failure) })),
    worstP99Ms: Math.max(0, ...activeWorkspaces.map(w => w.p99Ms)),
    meanP99Ms: computeMean(activeWorkspaces.map(w => w.p99Ms)),
    worstSuccess: Math.min(1, ...activeWorkspaces.map(w => w.success)),
    meanSuccess: computeMean(activeWorkspaces.map(w => w.success)),
    wrongfullyRefused,
    wrongfullyRefusedShare: samples.length === 0 ? 0 : wrongfullyRefused / samples.length,
    operationsPerSecond: countOutcome(samples, 'ok') * 1_000 / (durationMs - warmupMs),
    outcomes: countOutcomes(samples),
    reasons: countReasons(samples),
    workspaces
  }
}

function measureWorkspace (workspace: string, rate: ReferenceRate, allSamples: readonly Sample[], warmupMs: number): WorkspaceMeasure {
  const workspaceSamples = allSamples.filter(s => s.workspace === workspace)
  const samples = workspaceSamples.filter(s => s.intendedAtMs >= warmupMs)
  const withinRate = selectWithinRate(workspaceSamples, rate).filter(s => s.intendedAtMs >= warmupMs)
  const histogram = createLatencyHistogram(samples.filter(s => s.outcome === 'ok'))
  return {
    workspace,
    operations: samples.length,
    p50Ms: histogram.getValueAtPercentile(50) / 1_000,
    p99Ms: histogram.getValueAtPercentile(99) / 1_000,
    success: withinRate.length === 0 ? 1 : countOutcome(withinRate, 'ok') / withinRate.length,
    wrongfullyRefused: countOutcome(withinRate, 'limited')
  }
}

/** @returns a histogram of the latencies in microseconds, counted from the time when each operation was due */
export function createLatencyHistogram (samples: readonly Sample[]): Histogram {
  const histogram = build({ highestTrackableValue: MAX_LATENCY_MICROS, numberOfSignificantValueDigits: 3 })
  for (const s of samples) {
    histogram.recordValue(Math.min(MAX_LATENCY_MICROS, Math.max(1, Math.round((s.endedAtMs - s.intendedAtMs) * 1_000))))
  }
  return histogram
}

/** @returns the `count` samples with the highest latencies, highest first */
export function selectSlowest (samples: readonly Sample[], count: number): Sample[] {
  return [...samples]
    .sort((a, b) => (b.endedAtMs - b.intendedAtMs) - (a.endedAtMs - a.intendedAtMs))
    .slice(0, count)
}

function measureFailoverGapMs (samples: readonly Sample[], failure: PrimaryFailure): number | null {
  const ends = samples
    .filter(s => s.database === failure.database && s.kind !== 'read' && s.outcome === 'ok' && s.startedAtMs >= failure.atMs)
    .map(s => s.endedAtMs)
  return ends.length === 0 ? null : Math.min(...ends) - failure.atMs
}

function countOutcome (samples: readonly Sample[], outcome: Sample['outcome']): number {
  return samples.filter(s => s.outcome === outcome).length
}

function countOutcomes (samples: readonly Sample[]): Record<Sample['outcome'], number> {
  const counts = { ok: 0, limited: 0, refused: 0, unknown: 0, failed: 0 }
  for (const s of samples) counts[s.outcome] += 1
  return counts
}

function countReasons (samples: readonly Sample[]): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const s of samples) {
    if (s.outcome !== 'ok') counts[s.reason] = (counts[s.reason] ?? 0) + 1
  }
  return counts
}

function computeSum (values: readonly number[]): number {
  return values.reduce((a, b) => a + b, 0)
}

function computeMean (values: readonly number[]): number {
  return values.length === 0 ? 0 : computeSum(values) / values.length
}
