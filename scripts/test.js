// Runs the tests in the files that match the given patterns, by default all tests. Exits with 1 if a test fails that
// KNOWN-RED.txt does not list, or if no test passes.
import { existsSync, readFileSync } from 'node:fs'
import { availableParallelism } from 'node:os'
import { fileURLToPath } from 'node:url'
import { globSync } from 'glob'
import Mocha from 'mocha'
import './fail-on-rejections.js'

const TEST_TIMEOUT_MS = 60_000
const knownRedFile = 'KNOWN-RED.txt'
/** Loaded by each process that runs tests side by side. */
const rejectionsFile = fileURLToPath(new URL('fail-on-rejections.js', import.meta.url))
/** Tests under virtual time, which take most of the processor time. They run side by side, as no time limit of theirs depends on the machine. */
const virtualTimePatterns = ['packages/gateway/src/{failover,limits}/**/*.test.ts', 'packages/gateway/src/testing/**/*.test.ts', 'packages/proxy/src/limits/**/*.test.ts']

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

/** Runs the tests of some files, side by side if there are several jobs, and adds the titles of what passed and failed. */
async function runFiles (files, { jobs, passed, failed }) {
  if (files.length === 0) return
  const mocha = new Mocha({ timeout: TEST_TIMEOUT_MS, forbidOnly: true, parallel: jobs > 1, jobs, require: [rejectionsFile] })
  for (const file of files) mocha.addFile(file)
  if (jobs <= 1) await mocha.loadFilesAsync()
  await new Promise(resolve => {
    mocha.run(resolve)
      .on('pass', test => passed.add(test.fullTitle()))
      .on('fail', test => failed.add(test.fullTitle()))
  })
}

const knownRed = readKnownRed()
const passed = new Set()
const failed = new Set()
const virtualTimeFiles = new Set(globSync(virtualTimePatterns))
const files = listTestFiles(process.argv.slice(2))
const sideBySide = files.filter(f => virtualTimeFiles.has(f))
await runFiles(sideBySide, { jobs: Math.min(sideBySide.length, Math.floor(availableParallelism() / 2)), passed, failed })
await runFiles(files.filter(f => !virtualTimeFiles.has(f)), { jobs: 1, passed, failed })

const unexpectedFailures = [...failed].filter(t => !knownRed.has(t))
printKnownRed(knownRed, failed, passed)
for (const title of unexpectedFailures) console.log(`failed: ${title}`)
const knownRedCount = failed.size - unexpectedFailures.length
console.log(`known red: ${knownRedCount}`)
console.log(`${passed.size} passed, ${unexpectedFailures.length} failed`)
process.exit(unexpectedFailures.length > 0 || passed.size === 0 ? 1 : 0)
