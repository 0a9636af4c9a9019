// Plays all load patterns with the earlier decisions, with today's and with scheduling, and prints what became of their requests: `npm run load-patterns`, or
// with a part of a pattern's name.
import type { LoadResult } from './load-result.ts'
import { earlierWaiting, scheduledWaiting, steadyKnocking } from './load-policies.ts'
import { loadPatterns } from './load-pattern.ts'
import { runLoad } from './run-load.ts'

const [part = ''] = process.argv.slice(2)

function formatValue (value: unknown): string {
  return typeof value === 'number' && !Number.isInteger(value) ? value.toFixed(3) : `${value}`
}

function formatResult (result: LoadResult): string {
  return Object.entries({ ...result, ...result.byKind }).filter(([name]) => name !== 'pattern' && name !== 'byKind').map(([name, value]) => `${name} ${formatValue(value)}`).join(', ')
}

for (const pattern of loadPatterns.filter(p => p.name.includes(part))) {
  console.log(pattern.name)
  console.log(`  before: ${formatResult(await runLoad(pattern, steadyKnocking))}`)
  console.log(`  now:    ${formatResult(await runLoad(pattern, earlierWaiting))}`)
  console.log(`  scheduling: ${formatResult(await runLoad(pattern, scheduledWaiting))}`)
}
