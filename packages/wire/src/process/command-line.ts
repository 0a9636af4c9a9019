import { Builtins, Cli, type CommandClass } from 'clipanion'
import { SettingsError } from '../errors/base.ts'
import { EXIT_BAD_SETTINGS } from './settings.ts'

export interface CommandLineOptions {
  binaryName: string
  binaryLabel: string
  commands: CommandClass[]
}

/**
 * Runs the command that the process's arguments select, and sets the exit code if it fails.
 *
 * Commands throw `SettingsError` for invalid input: its message is printed, and the exit code is 2, as it is for
 * unknown arguments. Any other error sets the exit code to 1.
 */
export async function runCommandLine ({ binaryName, binaryLabel, commands }: CommandLineOptions): Promise<void> {
  const cli = new Cli({ binaryName, binaryLabel, binaryVersion: '0.1.0' })
  for (const c of [Builtins.HelpCommand, Builtins.VersionCommand, ...commands]) cli.register(c)
  try {
    const command = cli.process(process.argv.slice(2), {})
    let commandError: unknown
    // The library prints a command's error with its stack and exits with 1; it is reported here instead.
    command.catch = async error => { commandError = error }
    const code = await cli.run(command)
    if (commandError !== undefined) throw commandError
    if (code !== 0) process.exitCode = code
  } catch (error) {
    printFailure(cli, error)
  }
}

function printFailure (cli: Cli, error: unknown): void {
  if (error instanceof SettingsError) {
    process.stderr.write(`${error.message}\n`)
    process.exitCode = EXIT_BAD_SETTINGS
    return
  }
  process.stderr.write(cli.error(error))
  process.exitCode = error instanceof Error && error.name === 'UnknownSyntaxError' ? EXIT_BAD_SETTINGS : 1
}
