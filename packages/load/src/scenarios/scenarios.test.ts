import { readdirSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { readSettings } from '@camphorpitch/wire'
import { expect } from 'chai'
import { checkWrites, computeMaxWriteGapMs } from './check-history.ts'
import type { History, WriteOutcome } from './history.ts'
import { runScenario } from './run-scenario.ts'
import { scenarioSchema } from './schema.ts'

const scenarioDirectory = fileURLToPath(new URL('../../../../scenarios/', import.meta.url))
const SCENARIO_TIMEOUT_MS = 120_000

function makeHistory (outcome: WriteOutcome, rows = 1): History {
  return { writes: [{ id: 'a', outcome, rows, endedAtMs: 400, reason: '' }], violations: [], reads: 0, failures: [] }
}

describe('history checks', () => {
  it('find writes that are lost, applied twice, partly stored, or stored although refused as not run', () => {
    const findBrokenPromises = (outcome: WriteOutcome, rows: number, stored: number) => checkWrites(makeHistory(outcome, rows), new Map([['a', stored]])).map(v => v.promise)
    expect(findBrokenPromises('acknowledged', 1, 0)).to.deep.equal(['no acknowledged write is lost'])
    expect(findBrokenPromises('unknown', 1, 2)).to.deep.equal(['no write is doubled'])
    expect(findBrokenPromises('unknown', 2, 1)).to.deep.equal(['transactions are whole'])
    expect(findBrokenPromises('not run', 1, 1)).to.deep.equal(['a refusal that says not run is true'])
    for (const stored of [0, 1]) expect(findBrokenPromises('unknown', 1, stored)).to.deep.equal([])
  })

  it('measure the longest time between acknowledged writes, counting the beginning and end of the run', () => {
    expect(computeMaxWriteGapMs(makeHistory('acknowledged'), 1_000)).to.equal(600)
    expect(computeMaxWriteGapMs(makeHistory('unknown'), 1_000)).to.equal(1_000)
  })
})

describe('scenarios with real processes', function () {
  this.timeout(SCENARIO_TIMEOUT_MS)
  for (const file of readdirSync(scenarioDirectory).filter(f => f.endsWith('.json')).sort()) {
    const scenario = readSettings(join(scenarioDirectory, file), scenarioSchema)
    it(`${scenario.name}: ${scenario.about}`, async () => {
      const result = await runScenario(scenario)
      const { violations, failures, ...counts } = result
      process.stdout.write(`      ${JSON.stringify({ ...counts, failures: failures.length })}\n`)
      expect(violations).to.deep.equal([])
      expect(result.acknowledged).to.be.greaterThan(0)
    })
  }
})
