// Runs the tests in the files that match the given patterns, by default all tests. Exits with 1 if a test fails that
// KNOWN-RED.txt does not list, or if no test passes.
import { existsSync, readFileSync } from 'node:fs'
import { globSync } from 'glob'
import Mocha from 'mocha'

const TEST_TIMEOUT_MS = 60_000
const knownRedFile = 'KNOWN-RED.txt'

/** Reads the full titles of tests that may fail: the lines of KNOWN-RED.txt that begin with `test: `. */
function readKnownRed () {
  if (!existsSync(knownRedFile)) return new Set()
  const lines = readFileSync(knownRedFile, 'utf8').split('\n')
  return new Set(lines.filter(l => l.startsWith('test: ')).map(l => l.slice('test: '.length).trim()))
}

function listTestFiles (patterns) {
  const selectedPatterns = patterns.length > 0 ? patterns : ['packages/*/src/**/*.test.ts', 'platform/src/**/*.test.ts']
  return globSync(selectedPatterns).sort()
}

/** Prints which of the tests that may fail did fail, and which pass now. */
function printKnownRed (knownRed, failed, passed) {
  for (const title of knownRed) {
    if (failed.has(title)) console.log(`known red: ${title}`)
    if (passed.has(title)) console.log(`known red, but passes now: ${title}`)
  }
}

const knownRed = readKnownRed()
const passed = new Set()
const failed = new Set()
const mocha = new Mocha({ timeout: TEST_TIMEOUT_MS, forbidOnly: true })
for (const file of listTestFiles(process.argv.slice(2))) mocha.addFile(file)
await mocha.loadFilesAsync()

mocha.run(() => {
  const unexpectedFailures = [...failed].filter(t => !knownRed.has(t))
  printKnownRed(knownRed, failed, passed)
  for (const title of unexpectedFailures) console.log(`failed: ${title}`)
  const knownRedCount = failed.size - unexpectedFailures.length
  console.log(`known red: ${knownRedCount}`)
  console.log(`${passed.size} passed, ${unexpectedFailures.length} failed`)
  process.exit(unexpectedFailures.length > 0 || passed.size === 0 ? 1 : 0)
})
  .on('pass', test => passed.add(test.fullTitle()))
  .on('fail', test => failed.add(test.fullTitle()))
