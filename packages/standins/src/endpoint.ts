import { handleShutdown, readSettings, runCommandLine } from '@camphorpitch/wire'
import { Command, Option } from 'clipanion'
import { endpointSettingsSchema } from './endpoint/settings.ts'
import { startEndpoint } from './endpoint/start-endpoint.ts'

class RunCommand extends Command {
  static override paths = [Command.Default]
  static override usage = Command.Usage({ description: 'Runs one stand-in database instance.' })

  settings = Option.String('--settings', { required: true, description: 'JSON settings file' })

  override async execute (): Promise<void> {
    const settings = readSettings(this.settings, endpointSettingsSchema)
    const endpoint = await startEndpoint(settings, () => process.exit(1))
    handleShutdown(endpoint.stop)
    await new Promise(() => {})
  }
}

await runCommandLine({ binaryName: 'camphorpitch-endpoint', binaryLabel: 'camphorpitch endpoint stand-in', commands: [RunCommand] })
