import { createLogger, handleShutdown, readSettings, runCommandLine } from '@camphorpitch/wire'
import { Command, Option } from 'clipanion'
import { platformSettingsSchema } from './platform/settings.ts'
import { startPlatform } from './platform/start-platform.ts'

class PlatformCommand extends Command {
  static override usage = Command.Usage({
    description: 'Runs a stand-in of the platform: an object service, a VM list and a control port that switches faults.'
  })

  settings = Option.String('--settings', { description: 'JSON settings file; without it, all settings have their defaults' })

  async execute (): Promise<void> {
    const settings = this.settings === undefined ? {} : readSettings(this.settings, platformSettingsSchema)
    const platform = await startPlatform(settings)
    handleShutdown(platform.close)
    const logger = createLogger({ process: 'camphorpitch-platform' })
    logger.info('listening', { url: platform.url, port: platform.port, controlPort: platform.controlPort, controlUrl: platform.controlUrl })
  }
}

await runCommandLine({ binaryName: 'camphorpitch-platform', binaryLabel: 'camphorpitch platform stand-in', commands: [PlatformCommand] })
