import type { RequestKind } from './load-pattern.ts'

const WINDOW_MS = 2_000

/** How a request ended, with the time of its first attempt. */
export interface RequestRecord { kind: RequestKind, workspace: string, sentAtMs: number, result: 'in time' | 'late' | 'lost', refusals: number, waitedMs: number }

/** What became of a pattern's requests, as their clients saw it. */
export interface LoadResult {
  pattern: string
  requests: number
  /** Fraction of the benefit that was owed. */
  served: number
  late: number
  /** Requests that were never served, and attempts that were refused. */
  lost: number
  refusals: number
  /** Requests that were refused again after they had come back. */
  refusedAgain: number
  /** Longest time that an attempt waited for its refusal, in milliseconds. */
  longestRefusalMs: number
  worstKind: number
  worstWorkspace: number
  /** Mean over the tenth of the workspaces that were served worst. */
  worstTenth: number
  /** Fraction of the benefit owed, by kind. */
  byKind: Record<string, number>
  /** Refusals while an endpoint that could have run the statement had a free slot for a while. */
  refusedWhileFree: number
  /** Refusals of statements that were sent to no endpoint and waited for more than a quarter of their objective. */
  refusedAfterQuarter: number
  writesSentTwice: number
  worstWindow: number
  opened: number
  overLimit: number
  /** Messages about forwarded statements. */
  messages: number
}

/** Computes what became of the requests, in all and by kind, workspace and window. */
export function describeRecords (pattern: string, records: readonly RequestRecord[]): Omit<LoadResult, 'opened' | 'overLimit' | 'messages' | 'refusedWhileFree' | 'refusedAfterQuarter' | 'writesSentTwice'> {
  const count = (test: (r: RequestRecord) => boolean): number => records.filter(test).length
  return {
    pattern,
    requests: records.length,
    served: computeServed(records),
    late: count(r => r.result === 'late'),
    lost: count(r => r.result === 'lost'),
    refusals: records.reduce((sum, r) => sum + r.refusals, 0),
    refusedAgain: count(r => r.refusals > 1),
    longestRefusalMs: Math.round(records.reduce((max, r) => Math.max(max, r.waitedMs), 0)),
    worstKind: computeWorst(records, r => r.kind.name),
    worstWorkspace: computeWorst(records, r => r.workspace),
    worstTenth: computeWorst(records, r => r.workspace, 0.1),
    worstWindow: computeWorst(records, r => `${Math.floor(r.sentAtMs / WINDOW_MS)}`),
    byKind: Object.fromEntries([...new Set(records.map(r => r.kind.name))].sort().map(name => [name, computeServed(records.filter(r => r.kind.name === name))]))
  }
}

function computeBenefit ({ kind, result }: RequestRecord): number {
  if (result === 'lost') return 0
  return result === 'in time' ? kind.worth : kind.lateWorth
}

function computeServed (records: readonly RequestRecord[]): number {
  const owed = records.reduce((sum, r) => sum + r.kind.worth, 0)
  return owed === 0 ? 1 : records.reduce((sum, r) => sum + computeBenefit(r), 0) / owed
}

/** Computes the mean benefit of the worst groups: of one, or of a fraction of them. */
function computeWorst (records: readonly RequestRecord[], readGroup: (r: RequestRecord) => string, fraction = 0): number {
  const groups = new Map<string, RequestRecord[]>()
  for (const record of records) {
    const group = groups.get(readGroup(record)) ?? []
    groups.set(readGroup(record), group)
    group.push(record)
  }
  const worst = [...groups.values()].map(computeServed).sort((a, b) => a - b).slice(0, Math.max(1, Math.round(groups.size * fraction)))
  return worst.reduce((sum, served) => sum + served, 0) / worst.length
}
