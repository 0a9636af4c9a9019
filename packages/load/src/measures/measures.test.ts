import { formatRefusal, RefusalCode } from '@camphorpitch/wire'
import { expect } from 'chai'
import { classifyError } from '../workload/classify-error.ts'
import { computeMeasures } from './compute-measures.ts'
import { checkIntegrity } from './integrity.ts'
import { selectWithinRate } from './select-within-rate.ts'
import type { Sample } from './sample.ts'
import { createTimeSeries } from './time-series.ts'

function makeSample (overrides: Partial<Sample> = {}): Sample {
  const startedAtMs = overrides.startedAtMs ?? 0
  return { workspace: 'oslo', database: 'orders', kind: 'read', statements: 1, intendedAtMs: startedAtMs, startedAtMs, endedAtMs: startedAtMs + 10, outcome: 'ok', reason: '', ...overrides }
}

const rates = new Map([['oslo', { statementsPerSecond: 10, burst: 5 }], ['voss', { statementsPerSecond: 10, burst: 5 }]])

describe('selectWithinRate', () => {
  it('selects the burst at once and later samples at the rate', () => {
    const atOnce = Array.from({ length: 8 }, () => makeSample())
    const later = [100, 200, 250, 300].map(startedAtMs => makeSample({ startedAtMs }))
    const within = selectWithinRate([...later, ...atOnce], { statementsPerSecond: 10, burst: 5 })
    expect(within.filter(s => s.startedAtMs === 0)).to.have.length(5)
    expect(within.filter(s => s.startedAtMs > 0).map(s => s.startedAtMs)).to.deep.equal([100, 200, 300])
  })

  it('counts each statement of a transaction', () => {
    const transactions = [makeSample({ statements: 4 }), makeSample({ statements: 4 })]
    expect(selectWithinRate(transactions, { statementsPerSecond: 10, burst: 5 })).to.have.length(1)
  })
})

describe('computeMeasures', () => {
  const baseInput = { rates, reads: { primary: 1, replica: 3 }, primaryFailures: [], durationMs: 1_000 }

  it('counts only refusals within the rate as wrongful', () => {
    const samples = Array.from({ length: 8 }, (_, i) => makeSample({ startedAtMs: i, outcome: i === 0 || i === 7 ? 'limited' : 'ok' }))
    const measures = computeMeasures({ ...baseInput, samples })
    expect(measures.wrongfullyRefused).to.equal(1)
    expect(measures.workspaces[0]!.success).to.equal(4 / 5)
    expect(measures.replicaReadShare).to.equal(0.75)
  })

  it('leaves out operations of the warm-up, but counts the tokens that they took', () => {
    const samples = [...Array.from({ length: 5 }, () => makeSample()), makeSample({ startedAtMs: 10, outcome: 'limited' })]
    const measures = computeMeasures({ ...baseInput, samples, warmupMs: 5 })
    expect(measures.outcomes).to.deep.include({ ok: 0, limited: 1 })
    expect(measures.wrongfullyRefused).to.equal(0)
  })

  it('measures latency from when the operation was due', () => {
    const samples = [makeSample({ intendedAtMs: 0, startedAtMs: 500, endedAtMs: 510 })]
    expect(computeMeasures({ ...baseInput, samples }).worstP99Ms).to.be.closeTo(510, 1)
  })

  it('computes p99 and success of the worst workspace and the means over workspaces', () => {
    const samples = [makeSample({ endedAtMs: 10 }), makeSample({ workspace: 'voss', endedAtMs: 30 }), makeSample({ workspace: 'voss', outcome: 'failed' })]
    const measures = computeMeasures({ ...baseInput, samples })
    expect(measures.worstP99Ms).to.be.closeTo(30, 0.1)
    expect(measures.meanP99Ms).to.be.closeTo(20, 0.1)
    expect(measures.worstSuccess).to.equal(0.5)
    expect(measures.meanSuccess).to.equal(0.75)
  })

  it('measures the failover gap up to the end of the first acknowledged write that began after the failure', () => {
    const samples = [
      makeSample({ kind: 'write', startedAtMs: 90, endedAtMs: 150 }),
      makeSample({ kind: 'read', startedAtMs: 120, endedAtMs: 130 }),
      makeSample({ kind: 'write', startedAtMs: 140, endedAtMs: 900, outcome: 'unknown' }),
      makeSample({ kind: 'write', startedAtMs: 700, endedAtMs: 800 })
    ]
    const primaryFailures = [{ database: 'orders', atMs: 100 }, { database: 'other', atMs: 100 }]
    expect(computeMeasures({ ...baseInput, samples, primaryFailures }).failoverGaps.map(g => g.gapMs)).to.deep.equal([700, null])
  })
})

describe('createTimeSeries', () => {
  it('computes rates per second, by the time at which operations ended', () => {
    const series = createTimeSeries([makeSample(), makeSample({ startedAtMs: 600, outcome: 'limited' })], 1_000)
    expect(series.seconds).to.deep.equal([0.5, 1])
    expect(series.ok).to.deep.equal([2, 0])
    expect(series.refused).to.deep.equal([0, 2])
    expect(series.p99Ms[1]).to.equal(null)
  })
})

describe('checkIntegrity', () => {
  it('counts lost and doubled writes, and returns null when a database could not be read', () => {
    const acknowledged = new Map([['orders', ['a', 'b', 'c']]])
    expect(checkIntegrity(acknowledged, new Map([['orders', ['a', 'b', 'b', 'x']]]), 2)).to.deep.equal({ acknowledgedWrites: 3, lostWrites: 1, doubledWrites: 1, staleReads: 2 })
    expect(checkIntegrity(acknowledged, new Map([['orders', null]]), 0).lostWrites).to.equal(null)
  })
})

describe('classifyError', () => {
  it('distinguishes rate limits, other refusals, unknown outcomes, lost connections and endpoint errors', () => {
    const describeRefusal = (kind: keyof typeof RefusalCode, reason: string) => classifyError({ errno: RefusalCode[kind], message: formatRefusal({ kind, reason, retryAfterMs: 70 }) })
    expect(describeRefusal('notRunRetry', 'rate')).to.include({ outcome: 'limited', reason: 'not run: rate', retryAfterMs: 70 })
    expect(describeRefusal('notRunRetry', 'no primary')).to.include({ outcome: 'refused' })
    expect(describeRefusal('outcomeUnknown', 'reply lost')).to.include({ outcome: 'unknown' })
    expect(classifyError({ errno: -111, code: 'ECONNREFUSED' })).to.include({ outcome: 'unknown', isConnectionLost: true })
    expect(classifyError({ errno: 1064, message: 'syntax' })).to.include({ outcome: 'failed', isConnectionLost: false })
  })
})
