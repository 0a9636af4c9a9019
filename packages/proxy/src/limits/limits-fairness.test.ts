import type { Rate } from '@camphorpitch/wire'
import { expect } from 'chai'
import { SimulatedFleet } from './simulated-fleet.ts'
import { computeLoadResult, startMovingLoad, type LoadResult } from './simulated-load.ts'

const VM_COUNT = 9
const WARM_UP_MS = 5_000
const END_MS = 65_000
/** Largest fraction of the requests within the rate that may be refused when there are no faults. */
const MAX_WRONGFUL_FRACTION = 0.001
/** Requests sent, as a fraction of the workspace's rate. */
const LOAD_FRACTION = 0.8
const ABUSER_LOAD_FRACTION = 10
const rates: Record<string, Rate> = {
  'large-a': { statementsPerSecond: 200, burst: 200 },
  'large-b': { statementsPerSecond: 100, burst: 50 },
  'medium-a': { statementsPerSecond: 40, burst: 40 },
  'medium-b': { statementsPerSecond: 20, burst: 30 },
  'small-a': { statementsPerSecond: 10, burst: 20 },
  'small-b': { statementsPerSecond: 5, burst: 10 },
  'small-c': { statementsPerSecond: 2, burst: 10 },
  abuser: { statementsPerSecond: 30, burst: 30 }
}

function runLoad (seed: number, abuserLoad: number): Map<string, LoadResult> {
  const fleet = new SimulatedFleet({ seed, vmCount: VM_COUNT, rates })
  fleet.queue.runUntil(WARM_UP_MS)
  for (const [workspace, { statementsPerSecond }] of Object.entries(rates)) {
    const load = workspace === 'abuser' ? abuserLoad : LOAD_FRACTION
    startMovingLoad(fleet, { workspace, requestsPerSecond: statementsPerSecond * load, endMs: END_MS })
  }
  fleet.queue.runUntil(END_MS + 1_000)
  return new Map(Object.entries(rates).map(([w, rate]) => [w, computeLoadResult(fleet.records, w, rate, WARM_UP_MS)]))
}

function computeWrongfulFraction (results: Iterable<LoadResult>): number {
  const list = [...results]
  return list.reduce((n, r) => n + r.wrongfulRefusals, 0) / list.reduce((n, r) => n + r.withinRate, 0)
}

describe('limits without faults', () => {
  it('refuse fewer than 0.1 % of the requests within the rate while load moves between VMs', () => {
    expect(computeWrongfulFraction(runLoad(7, LOAD_FRACTION).values())).to.be.below(MAX_WRONGFUL_FRACTION)
  })

  it('refuse fewer than 0.1 % of the requests within the rate of other workspaces while one sends ten times its rate', () => {
    const results = runLoad(8, ABUSER_LOAD_FRACTION)
    const abuser = results.get('abuser')!
    results.delete('abuser')
    for (const [workspace, r] of results) expect(r.wrongfulRefusals / r.withinRate, workspace).to.be.below(MAX_WRONGFUL_FRACTION)
    expect(abuser.admitted / abuser.withinRate).to.be.within(0.9, 1)
  })

  it('decide every request within 100 ms', () => {
    const longest = [...runLoad(9, ABUSER_LOAD_FRACTION).values()].map(r => r.longestWaitMs)
    expect(Math.max(...longest)).to.be.at.most(100)
  })
})
