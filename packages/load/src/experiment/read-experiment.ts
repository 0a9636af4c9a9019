import { checkSettings, readJsonFile, SettingsError } from '@camphorpitch/wire'
import { z } from 'zod'
import { presetNames, presets } from './presets.ts'
import { experimentSchema, type Experiment } from './schema.ts'

const partialExperimentSchema = z.looseObject({
  preset: z.enum(presetNames).optional(),
  fleet: z.looseObject({}).optional(),
  load: z.looseObject({}).optional()
})

/**
 * Checks an experiment. Missing fields are taken from its preset, also within `fleet` and `load`.
 *
 * @throws SettingsError naming the path of each wrong field
 * @example checkExperiment({ preset: 'fjordlakk', durationMs: 5_000 }, 'night.json')
 */
export function checkExperiment (value: unknown, source: string): Experiment {
  const { preset, ...overrides } = checkSettings(value, partialExperimentSchema, source)
  const presetFields = preset === undefined ? {} : presets[preset]
  const fleet = preset === undefined ? overrides.fleet : { ...presets[preset].fleet, ...overrides.fleet }
  const load = preset === undefined ? overrides.load : { ...presets[preset].load, ...overrides.load }
  const experiment = checkSettings({ ...presetFields, ...overrides, fleet, load }, experimentSchema, source)
  checkReferences(experiment, source)
  return experiment
}

/**
 * Reads an experiment from a JSON file.
 *
 * @throws SettingsError when the file is missing, is not JSON or is not a valid experiment
 */
export function readExperiment (path: string): Experiment {
  return checkExperiment(readJsonFile(path), path)
}

function checkReferences ({ fleet, faults, load }: Experiment, source: string): void {
  faults.forEach((fault, i) => {
    if (!('database' in fault) || fleet.databases.includes(fault.database)) return
    throw new SettingsError(`${source}: faults.${i}.database: expected one of ${fleet.databases.join(', ')}`)
  })
  const { read, write, transaction } = load.mix
  if (read + write + transaction === 0) throw new SettingsError(`${source}: load.mix: expected at least one weight above 0`)
}
