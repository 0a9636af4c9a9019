import { createLogger, handleShutdown, readSettings, runCommandLine } from '@camphorpitch/wire'
import { Command, Option } from 'clipanion'
import { startApp } from './app.ts'
import { proxySettingsSchema } from './settings.ts'

class StartProxyCommand extends Command {
  static override paths = [Command.Default]
  static override usage = Command.Usage({
    description: 'Run the proxy of one VM until SIGTERM, which drains it',
    examples: [['Run with a settings file', '$0 --settings /etc/camphorpitch/proxy.json']]
  })

  settingsFile = Option.String('--settings', { required: true, description: 'JSON settings file' })

  async execute (): Promise<void> {
    const settings = readSettings(this.settingsFile, proxySettingsSchema)
    const logger = createLogger({ process: `proxy/${settings.vm}`, level: settings.logLevel })
    const app = await startApp(settings, logger)
    handleShutdown(app.drain)
    logger.info('listening', { vm: settings.vm, callersPort: app.callersPort, peerPort: app.peerPort, metricsPort: app.metricsPort })
  }
}

await runCommandLine({ binaryName: 'camphorpitch-proxy', binaryLabel: 'camphorpitch proxy', commands: [StartProxyCommand] })
