import { describeError, ObjectClient, SettingsError } from '@camphorpitch/wire'
import { Command, Option } from 'clipanion'
import { ControlError, ExitCode, selectExitCode } from '../errors.ts'

/** Output of a command: lines of text, or with `--json` a value. */
export interface CommandOutput {
  lines: string[]
  value: unknown
}

/** Base class of the commands that use the object service. Prints the output or error of `run` and returns an `ExitCode`. */
export abstract class PlatformCommand extends Command {
  platform = Option.String('--platform', { description: 'address of the object service, such as http://10.0.0.5:7000; default from CAMPHORPITCH_PLATFORM', env: 'CAMPHORPITCH_PLATFORM' })
  json = Option.Boolean('--json', false, { description: 'print JSON' })

  /** Runs the command; a thrown error is printed and determines the exit code. */
  abstract run (): Promise<CommandOutput>

  async execute (): Promise<number> {
    try {
      this.printOutput(await this.run())
      return ExitCode.ok
    } catch (error) {
      return this.printError(error)
    }
  }

  /** @throws SettingsError when no address is given */
  protected createClient (): ObjectClient {
    if (this.platform === undefined) throw new SettingsError('address of the object service is missing: set --platform or CAMPHORPITCH_PLATFORM')
    return new ObjectClient({ url: this.platform })
  }

  private printOutput ({ lines, value }: CommandOutput): void {
    const text = this.json ? JSON.stringify(value, null, 2) : lines.join('\n')
    if (text !== '') this.context.stdout.write(`${text}\n`)
  }

  private printError (error: unknown): number {
    const exitCode = selectExitCode(error)
    const message = describeError(error)
    const hint = error instanceof ControlError || exitCode !== ExitCode.unknown ? '' : '; nothing was changed'
    if (this.json) this.context.stdout.write(`${JSON.stringify({ error: { exitCode, message: message + hint } })}\n`)
    else this.context.stderr.write(`${message}${hint}\n`)
    return exitCode
  }
}
