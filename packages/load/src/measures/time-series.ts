import { createLatencyHistogram } from './compute-measures.ts'
import type { Sample } from './sample.ts'

const BUCKET_DURATION_MS = 500

/** Values over time, one for each bucket of half a second. `ok`, `refused` and `failed` are in operations per second. */
export interface TimeSeries {
  /** End of each bucket, in seconds since the run began. */
  seconds: number[]
  ok: number[]
  refused: number[]
  failed: number[]
  /** `null` for a bucket without a successful operation. */
  p99Ms: Array<number | null>
}

/** Groups the samples by the time at which they ended. */
export function createTimeSeries (samples: readonly Sample[], durationMs: number): TimeSeries {
  const buckets = Array.from({ length: Math.ceil(durationMs / BUCKET_DURATION_MS) }, () => [] as Sample[])
  for (const s of samples) buckets[Math.floor(s.endedAtMs / BUCKET_DURATION_MS)]?.push(s)
  const computeRatePerSecond = (list: Sample[], outcomes: Array<Sample['outcome']>) => list.filter(s => outcomes.includes(s.outcome)).length * 1_000 / BUCKET_DURATION_MS
  return {
    seconds: buckets.map((_, i) => (i + 1) * BUCKET_DURATION_MS / 1_000),
    ok: buckets.map(b => computeRatePerSecond(b, ['ok'])),
    refused: buckets.map(b => computeRatePerSecond(b, ['limited', 'refused'])),
    failed: buckets.map(b => computeRatePerSecond(b, ['unknown', 'failed'])),
    p99Ms: buckets.map(b => {
      const succeededSamples = b.filter(s => s.outcome === 'ok')
      return succeededSamples.length === 0 ? null : createLatencyHistogram(succeededSamples).getValueAtPercentile(99) / 1_000
    })
  }
}
