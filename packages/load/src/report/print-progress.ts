import { createLatencyHistogram } from '../measures/compute-measures.ts'
import type { Sample } from '../measures/sample.ts'

/** Prints one line of what has happened since the last one. */
export function createProgressPrinter (system: string, durationMs: number): (elapsedMs: number, samples: readonly Sample[]) => void {
  let printed = 0
  return (elapsedMs, samples) => {
    const recent = samples.slice(printed)
    printed = samples.length
    const succeeded = recent.filter(s => s.outcome === 'ok')
    const p99Ms = succeeded.length === 0 ? 0 : createLatencyHistogram(succeeded).getValueAtPercentile(99) / 1_000
    const refused = recent.filter(s => s.outcome === 'limited' || s.outcome === 'refused').length
    const failed = recent.length - succeeded.length - refused
    const time = `${(elapsedMs / 1_000).toFixed(0)}/${(durationMs / 1_000).toFixed(0)} s`
    process.stderr.write(`${system}  ${time}  ok ${succeeded.length}  refused ${refused}  failed ${failed}  p99 ${p99Ms.toFixed(1)} ms\n`)
  }
}
