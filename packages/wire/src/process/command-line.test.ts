import { expect } from 'chai'
import { Command } from 'clipanion'
import { SettingsError } from '../errors/base.ts'
import { runCommandLine } from './command-line.ts'
import { EXIT_BAD_SETTINGS } from './settings.ts'

class BadSettingsCommand extends Command {
  static override paths = [Command.Default]

  override async execute (): Promise<void> {
    throw new SettingsError('a.json: port: expected number')
  }
}

describe('runCommandLine', () => {
  const { argv, exitCode } = process
  const originalStderrWrite = process.stderr.write

  afterEach(() => {
    process.argv = argv
    process.exitCode = exitCode
    process.stderr.write = originalStderrWrite
  })

  it('prints the message of a settings error without its stack, and sets the exit code to 2', async () => {
    const printedTexts: string[] = []
    process.argv = ['node', 'binary']
    process.stderr.write = ((text: string) => printedTexts.push(text) > 0) as typeof originalStderrWrite
    await runCommandLine({ binaryName: 'binary', binaryLabel: 'binary', commands: [BadSettingsCommand] })
    expect(process.exitCode).to.equal(EXIT_BAD_SETTINGS)
    expect(printedTexts).to.deep.equal(['a.json: port: expected number\n'])
  })

  it('prints the usage for --help, and leaves the exit code unchanged', async () => {
    const printedTexts: string[] = []
    const originalStdoutWrite = process.stdout.write
    process.argv = ['node', 'binary', '--help']
    process.stdout.write = ((text: string) => printedTexts.push(text) > 0) as typeof originalStdoutWrite
    await runCommandLine({ binaryName: 'binary', binaryLabel: 'binary', commands: [BadSettingsCommand] }).finally(() => { process.stdout.write = originalStdoutWrite })
    expect(process.exitCode).to.equal(exitCode)
    expect(printedTexts.join('')).to.contain('binary')
  })
})
