import { createLatencyHistogram } from '../measures/compute-measures.ts'
import type { Sample } from '../measures/sample.ts'

/** Creates a callback that prints one line to stderr about the operations since its last call. */
export function createProgressPrinter (system: string, durationMs: number): (elapsedMs: number, samples: readonly Sample[]) => void {
  let printedCount = 0
  return (elapsedMs, samples) => {
    const newSamples = samples.slice(printedCount)
    printedCount = samples.length
    const succeeded = newSamples.filter(s => s.outcome === 'ok')
    const p99Ms = succeeded.length === 0 ? 0 : createLatencyHistogram(succeeded).getValueAtPercentile(99) / 1_000
    const refusedCount = newSamples.filter(s => s.outcome === 'limited' || s.outcome === 'refused').length
    const failedCount = newSamples.length - succeeded.length - refusedCount
    const time = `${(elapsedMs / 1_000).toFixed(0)}/${(durationMs / 1_000).toFixed(0)} s`
    process.stderr.write(`${system}  ${time}  ok ${succeeded.length}  refused ${refusedCount}  failed ${failedCount}  p99 ${p99Ms.toFixed(1)} ms\n`)
  }
}
