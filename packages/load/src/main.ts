import { writeFileSync } from 'node:fs'
import { readSettings, runCommandLine } from '@camphorpitch/wire'
import { Command, Option, UsageError } from 'clipanion'
import { z } from 'zod'
import { presetNames, presets } from './experiment/presets.ts'
import { checkExperiment, readExperiment } from './experiment/read-experiment.ts'
import { runExperiment, type RunResult, type SystemName } from './experiment/run-experiment.ts'
import type { Experiment } from './experiment/schema.ts'
import { handleInterrupt } from './fleet/child-process.ts'
import { formatHtml } from './report/format-html.ts'
import { formatTable } from './report/format-table.ts'
import { createProgressPrinter } from './report/print-progress.ts'
import { drawScenario } from './scenarios/draw-scenario.ts'
import { runScenario } from './scenarios/run-scenario.ts'
import { scenarioSchema } from './scenarios/schema.ts'

/** Without `--from`, the first seed is below this number. */
const SEED_RANGE = 1_000_000
const wholeNumberSchema = z.coerce.number().int().nonnegative()

/** @throws UsageError unless the text is a whole number of at least 0 */
function parseWholeNumber (text: string, option: string): number {
  const parsed = wholeNumberSchema.safeParse(text)
  if (!parsed.success) throw new UsageError(`${option}: expected a whole number of at least 0, got ${text}`)
  return parsed.data
}

class RunCommand extends Command {
  static override paths = [['run'], Command.Default]
  static override usage = Command.Usage({
    description: 'Run a workload with faults on a fleet of stand-ins, and print the measures',
    details: `An experiment is a JSON file, or one of the presets ${presetNames.join(' and ')}. Exits with 1 when an acknowledged write was lost or applied twice, a session did not read its own write, or the databases could not be read afterwards.`,
    examples: [['Run a preset and write a report', '$0 run fjordlakk --html report.html'], ['Run a file', '$0 run night.json --json result.json']]
  })

  experiment = Option.String({ name: 'experiment', required: true })
  html = Option.String('--html', { description: 'File for the report with plots' })
  json = Option.String('--json', { description: 'File for the measures as JSON' })
  baseline = Option.Boolean('--baseline', false, { description: 'Run the same experiment against the naive baseline as well' })

  override async execute (): Promise<number> {
    handleInterrupt()
    const experiment = findExperiment(this.experiment)
    const systems: SystemName[] = this.baseline || experiment.baseline ? ['camphorpitch', 'baseline'] : ['camphorpitch']
    const results: RunResult[] = []
    for (const system of systems) {
      results.push(await runExperiment(experiment, { system, onProgress: createProgressPrinter(system, experiment.durationMs) }))
    }
    this.context.stdout.write(`${formatTable(results)}\n`)
    for (const r of results) this.context.stdout.write(formatReasons(r))
    if (this.json !== undefined) writeFileSync(this.json, JSON.stringify({ experiment, results }, null, 2))
    if (this.html !== undefined) writeFileSync(this.html, formatHtml(experiment, results))
    return hasIntegrity(results[0]!) ? 0 : 1
  }
}

function findExperiment (name: string): Experiment {
  if (name in presets) return checkExperiment({ preset: name }, name)
  return readExperiment(name)
}

function formatReasons ({ system, measures, failedFaults }: RunResult): string {
  const reasons = Object.entries(measures.reasons).sort((a, b) => b[1] - a[1])
  const lines = reasons.map(([reason, count]) => `${system}: ${count} x ${reason}\n`)
  return [...lines, ...failedFaults.map(f => `${system}: fault could not be injected: ${f}\n`)].join('')
}

function hasIntegrity ({ integrity }: RunResult): boolean {
  return integrity.lostWrites === 0 && integrity.doubledWrites === 0 && integrity.staleReads === 0
}

class ScenarioCommand extends Command {
  static override paths = [['scenario']]
  static override usage = Command.Usage({
    description: 'Run scripted scenarios, each with its own processes, and check their promises and time limits',
    details: 'Exits with 1 when a promise or time limit was violated.',
    examples: [['Run two scenarios', '$0 scenario scenarios/calm.json scenarios/primary-killed.json']]
  })

  files = Option.Rest({ name: 'files', required: 1 })

  override async execute (): Promise<number> {
    const scenarios = this.files.map(f => readSettings(f, scenarioSchema))
    let hasFailed = false
    for (const s of scenarios) {
      const { failures, ...result } = await runScenario(s)
      this.context.stdout.write(`${s.name}: ${JSON.stringify(result)}\n`)
      for (const [reason, count] of countReasons(failures)) this.context.stdout.write(`  ${count} x ${reason}\n`)
      hasFailed ||= result.violations.length + result.delays.length > 0
    }
    return hasFailed ? 1 : 0
  }
}

class SoakCommand extends Command {
  static override paths = [['soak']]
  static override usage = Command.Usage({
    description: 'Run scenarios drawn from seeds one after the other, each with its own processes, and check their promises',
    details: 'Prints the scenario of each seed that violated a promise or acknowledged no write; it can be saved as a file for the scenario command. Exits with 1 when there was one.',
    examples: [['Run fifty seeds', '$0 soak --seeds 50'], ['Run one seed again', '$0 soak --from 17 --seeds 1']]
  })

  seeds = Option.String('--seeds', '10', { description: 'Number of seeds' })
  from = Option.String('--from', { description: 'First seed; taken from the clock by default' })

  override async execute (): Promise<number> {
    handleInterrupt()
    const first = this.from === undefined ? Date.now() % SEED_RANGE : parseWholeNumber(this.from, '--from')
    const count = parseWholeNumber(this.seeds, '--seeds')
    let brokenSeeds = 0
    for (let seed = first; seed < first + count; seed++) {
      const scenario = drawScenario(seed)
      const { violations, failures, ...counts } = await runScenario(scenario)
      this.context.stdout.write(`seed ${seed}: ${JSON.stringify({ ...counts, failures: failures.length, violations })}\n`)
      if (violations.length === 0 && counts.acknowledged > 0) continue
      brokenSeeds++
      this.context.stdout.write(`${JSON.stringify(scenario)}\n`)
    }
    this.context.stdout.write(`${count} seeds from ${first}: ${brokenSeeds} broken\n`)
    return brokenSeeds > 0 ? 1 : 0
  }
}

function countReasons (failures: readonly string[]): Map<string, number> {
  const counts = new Map<string, number>()
  for (const f of failures) {
    const reason = f.replace(/\d+ ms/g, 'N ms')
    counts.set(reason, (counts.get(reason) ?? 0) + 1)
  }
  return counts
}

await runCommandLine({ binaryName: 'camphorpitch-load', binaryLabel: 'camphorpitch load tool', commands: [RunCommand, ScenarioCommand, SoakCommand] })
