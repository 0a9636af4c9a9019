import { build, type Histogram } from 'hdr-histogram-js'
import { selectWithinRate, type ReferenceRate } from './reference-bucket.ts'
import type { Sample } from './sample.ts'

const MAX_LATENCY_MICROS = 600_000_000

/** An endpoint's share of the reads. */
export interface ReadCount {
  primary: number
  replica: number
}

/** When a database lost its primary, in milliseconds since the run began. */
export interface PrimaryFailure {
  database: string
  atMs: number
}

export interface MeasureInput {
  samples: readonly Sample[]
  rates: ReadonlyMap<string, ReferenceRate>
  reads: ReadCount
  primaryFailures: readonly PrimaryFailure[]
  durationMs: number
  /** Operations due earlier only count for the tokens that they took. */
  warmupMs?: number
}

export interface WorkspaceMeasure {
  workspace: string
  operations: number
  p50Ms: number
  p99Ms: number
  /** Part of the operations within the rate that succeeded. */
  success: number
  /** Operations refused for their rate although within it. */
  wrongfullyRefused: number
}

export interface FailoverGap extends PrimaryFailure {
  /** Time to the end of the first acknowledged write that began after the loss; `null` for none. */
  gapMs: number | null
}

/** The users' four measures, and what they rest on. */
export interface Measures {
  replicaReadShare: number | null
  failoverGaps: FailoverGap[]
  worstP99Ms: number
  meanP99Ms: number
  worstSuccess: number
  meanSuccess: number
  wrongfullyRefused: number
  wrongfullyRefusedShare: number
  operationsPerSecond: number
  outcomes: Record<Sample['outcome'], number>
  /** Reasons of all that did not succeed, with their counts. */
  reasons: Record<string, number>
  workspaces: WorkspaceMeasure[]
}

/** @example const measures = computeMeasures({ samples, rates, reads: { primary: 10, replica: 90 }, losses: [], durationMs: 20_000 }) */
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

/** Latencies in microseconds, from the time when each operation was due. */
export function createLatencyHistogram (samples: readonly Sample[]): Histogram {
  const histogram = build({ highestTrackableValue: MAX_LATENCY_MICROS, numberOfSignificantValueDigits: 3 })
  for (const s of samples) {
    histogram.recordValue(Math.min(MAX_LATENCY_MICROS, Math.max(1, Math.round((s.endedAtMs - s.intendedAtMs) * 1_000))))
  }
  return histogram
}

/** The samples of the longest latencies, the longest first. */
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
