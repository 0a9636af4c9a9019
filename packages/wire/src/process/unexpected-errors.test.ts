import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { fileURLToPath } from 'node:url'
import { expect } from 'chai'

const modules = Object.fromEntries(['shutdown', 'unexpected-errors'].map(name => [name, fileURLToPath(new URL(`${name}.ts`, import.meta.url))]))

/** Runs a process that handles unexpected errors and prints what it does. @returns its exit code and what it printed */
async function runProcess (body: string): Promise<{ code: number, lines: string[] }> {
  const script = `
    import { handleShutdown } from '${modules.shutdown}'
    import { handleUnexpectedErrors } from '${modules['unexpected-errors']}'
    const stop = handleShutdown(async () => { console.log('stopped') })
    const logger = { error: (message, { error }) => console.log(message, error.includes('a failure') && error.includes('    at ')) }
    handleUnexpectedErrors({ logger, recordError: origin => console.log('counted', origin), stop })
    ${body}`
  const child = spawn(process.execPath, ['--import=tsx', '--input-type=module', '-e', script], { stdio: ['ignore', 'pipe', 'inherit'] })
  let output = ''
  child.stdout.on('data', chunk => { output += String(chunk) })
  const [code] = await once(child, 'close') as [number]
  return { code, lines: output.trim().split('\n') }
}

describe('errors that no code has handled', () => {
  it('are logged whole and counted, and end no process if they come from a promise', async () => {
    const { code, lines } = await runProcess("Promise.reject(new Error('a failure')); setTimeout(() => console.log('goes on'), 50)")
    expect(lines).to.deep.equal(['counted rejection', 'promise rejected without a handler true', 'goes on'])
    expect(code).to.equal(0)
  })

  it('stop the process as planned if a timer threw them', async () => {
    const { code, lines } = await runProcess("setTimeout(() => { throw new Error('a failure') }, 1); setTimeout(() => console.log('goes on'), 2_000)")
    expect(lines).to.deep.equal(['counted exception', 'exception without a handler, the process stops true', 'stopped'])
    expect(code).to.equal(1)
  })
})
