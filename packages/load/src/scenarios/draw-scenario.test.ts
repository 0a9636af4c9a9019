import { existsSync, readdirSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { readSettings } from '@camphorpitch/wire'
import { expect } from 'chai'
import { drawScenario } from './draw-scenario.ts'
import { runScenario } from './run-scenario.ts'
import { scenarioSchema, type Scenario } from './schema.ts'

const SCENARIO_TIMEOUT_MS = 120_000
/** Seeds whose scenarios run with the test suite. */
const TEST_SEEDS = [1, 2]
const failedScenarioDirectory = fileURLToPath(new URL('../../../../scenarios/soak/', import.meta.url))

async function expectNoViolations (scenario: Scenario): Promise<void> {
  const { violations, acknowledged } = await runScenario(scenario)
  expect(violations).to.deep.equal([])
  expect(acknowledged).to.be.greaterThan(0)
}

describe('drawn scenarios', () => {
  it('are equal for one seed and differ between seeds', () => {
    expect(drawScenario(7)).to.deep.equal(drawScenario(7))
    expect(drawScenario(7).faults).not.to.deep.equal(drawScenario(8).faults)
  })

  it('include every kind of fault within 300 seeds', () => {
    const kinds = new Set(Array.from({ length: 300 }, (_, seed) => drawScenario(seed)).flatMap(s => s.faults.map(f => f.kind)))
    expect([...kinds].sort()).to.deep.equal(['endpoint', 'freeze-primary', 'kill-primary', 'link', 'platform', 'signal-vm', 'start-vm'])
  })

  it('terminate each proxy at most once, spare at least two proxies, and begin no fault in the last 5 s', () => {
    for (let seed = 0; seed < 500; seed++) {
      const { faults, fleet, durationMs } = drawScenario(seed)
      const terminations = faults.filter(f => f.kind === 'signal-vm' && ['SIGKILL', 'SIGTERM'].includes(f.signal))
      expect(terminations.length, `seed ${seed}`).to.be.at.most(fleet.vms - 2)
      expect(new Set(terminations.map(f => 'vm' in f ? f.vm : '')).size, `seed ${seed}`).to.equal(terminations.length)
      expect(faults.every(f => f.atMs <= durationMs - 5_000), `seed ${seed}`).to.equal(true)
    }
  })
})

describe('soak scenarios with real processes', function () {
  this.timeout(SCENARIO_TIMEOUT_MS)
  for (const seed of TEST_SEEDS) it(`shows no violation and acknowledges writes with seed ${seed}`, async () => await expectNoViolations(drawScenario(seed)))

  const failedScenarioFiles = existsSync(failedScenarioDirectory) ? readdirSync(failedScenarioDirectory).filter(f => f.endsWith('.json')).sort() : []
  for (const file of failedScenarioFiles) {
    const scenario = readSettings(join(failedScenarioDirectory, file), scenarioSchema)
    it(`${scenario.name}: ${scenario.about}`, async () => await expectNoViolations(scenario))
  }
})
