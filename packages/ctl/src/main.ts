import { runCommandLine } from '@camphorpitch/wire'
import { contractCommands } from './commands/contract-commands.ts'
import { databaseCommands } from './commands/database-commands.ts'
import { explainCommands } from './commands/explain-command.ts'
import { fleetCommands } from './commands/fleet-commands.ts'
import { gatewayCommands } from './commands/gateway-commands.ts'
import { keyCommands } from './commands/key-commands.ts'

await runCommandLine({
  binaryName: 'camphorpitch',
  binaryLabel: 'camphorpitch operator commands',
  commands: [...contractCommands, ...databaseCommands, ...keyCommands, ...fleetCommands, ...gatewayCommands, ...explainCommands]
})
