// Plays all load patterns with the earlier decisions and with today's, and prints what became of their requests: `npm run load-patterns`, or
// with a part of a pattern's name.
import { steadyKnocking } from './load-policies.ts'
import { loadPatterns } from './load-pattern.ts'
import { runLoad, type LoadResult } from './run-load.ts'

const [part = ''] = process.argv.slice(2)

function formatResult (result: LoadResult): string {
  return Object.entries(result).filter(([name]) => name !== 'pattern').map(([name, value]) => `${name} ${typeof value === 'number' && !Number.isInteger(value) ? value.toFixed(3) : value}`).join(', ')
}

for (const pattern of loadPatterns.filter(p => p.name.includes(part))) {
  console.log(pattern.name)
  console.log(`  before: ${formatResult(await runLoad(pattern, steadyKnocking))}`)
  console.log(`  now:    ${formatResult(await runLoad(pattern))}`)
}
