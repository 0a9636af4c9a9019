import { SettingsError } from '@camphorpitch/wire'
import { expect } from 'chai'
import { presets } from './presets.ts'
import { checkExperiment } from './read-experiment.ts'

describe('checkExperiment', () => {
  it('takes fields that the file lacks from its preset, also within fleet and load', () => {
    const experiment = checkExperiment({ preset: 'brasswind', durationMs: 5_000, fleet: { vms: 3 }, load: { loop: 'closed' } }, 'x.json')
    expect(experiment.durationMs).to.equal(5_000)
    expect(experiment.fleet).to.deep.equal({ ...presets.brasswind.fleet, vms: 3 })
    expect(experiment.load).to.deep.equal({ ...presets.brasswind.load, loop: 'closed' })
  })

  it('accepts every preset', () => {
    for (const preset of Object.keys(presets)) expect(() => checkExperiment({ preset }, preset)).not.to.throw()
  })

  const cases: Array<[string, object, RegExp]> = [
    ['an unknown preset', { preset: 'fjord' }, /x\.json: preset/],
    ['an unknown field', { preset: 'fjordlakk', speed: 1 }, /x\.json: .*speed/],
    ['a wrong field within load', { preset: 'fjordlakk', load: { loop: 'round' } }, /x\.json: load\.loop/],
    ['a fault of an unknown kind', { preset: 'fjordlakk', faults: [{ atMs: 1, kind: 'meteor' }] }, /x\.json: faults\.0\.kind/],
    ['a fault at an unknown database', { preset: 'fjordlakk', faults: [{ atMs: 1, kind: 'kill-primary', database: 'none' }] }, /faults\.0\.database: expected one of orders/],
    ['a mix without operations', { preset: 'fjordlakk', load: { mix: { read: 0, write: 0, transaction: 0 } } }, /load\.mix/],
    ['a file without a preset that lacks required fields', { name: 'short' }, /x\.json: fleet/]
  ]
  for (const [title, value, expected] of cases) {
    it(`rejects ${title} and names the field`, () => {
      expect(() => checkExperiment(value, 'x.json')).to.throw(SettingsError, expected)
    })
  }
})
