import type { RunResult } from '../experiment/run-experiment.ts'

function formatPercent (value: number | null): string {
  return value === null ? 'no reads' : `${(value * 100).toFixed(2)}%`
}

function formatMs (value: number | null): string {
  return value === null ? 'none' : `${value.toFixed(1)} ms`
}

function formatCount (value: number | null): string {
  return value === null ? 'not checked' : String(value)
}

interface MeasureRow {
  label: string
  format: (result: RunResult) => string
}

const measureRows: MeasureRow[] = [
  { label: 'reads served by replicas', format: r => formatPercent(r.measures.replicaReadShare) },
  { label: 'failover gap', format: r => r.measures.failoverGaps.map(g => `${g.database} ${formatMs(g.gapMs)}`).join(', ') || 'no failover' },
  { label: 'worst-served p99 (mean)', format: r => `${formatMs(r.measures.worstP99Ms)} (${formatMs(r.measures.meanP99Ms)})` },
  { label: 'worst-served success (mean)', format: r => `${formatPercent(r.measures.worstSuccess)} (${formatPercent(r.measures.meanSuccess)})` },
  { label: 'refused although within the rate', format: r => `${r.measures.wrongfullyRefused} (${formatPercent(r.measures.wrongfullyRefusedShare)})` },
  { label: 'operations per second', format: r => r.measures.operationsPerSecond.toFixed(1) },
  { label: 'acknowledged writes', format: r => String(r.integrity.acknowledgedWrites) },
  { label: 'lost writes', format: r => formatCount(r.integrity.lostWrites) },
  { label: 'doubled writes', format: r => formatCount(r.integrity.doubledWrites) },
  { label: 'reads that missed their own write', format: r => String(r.integrity.staleReads) }
]

/** @returns rows that hold a label and one value for each system */
export function listRows (results: readonly RunResult[]): string[][] {
  return measureRows.map(({ label, format }) => [label, ...results.map(format)])
}

/** Formats the measures as a plain text table with one column for each system. */
export function formatTable (results: readonly RunResult[]): string {
  const rows = [['', ...results.map(r => r.system)], ...listRows(results)]
  const widths = rows[0]!.map((_, column) => Math.max(...rows.map(r => r[column]!.length)))
  return rows.map(r => r.map((cell, i) => cell.padEnd(widths[i]!)).join('  ').trimEnd()).join('\n')
}
