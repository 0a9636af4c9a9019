import { randomBytes } from 'node:crypto'
import { limitOwnersSchema, objectKinds, type ObjectClient } from '@camphorpitch/wire'
import { Command } from 'clipanion'
import { updateObject } from '../object-edits.ts'
import { PlatformCommand, type CommandOutput } from './platform-command.ts'

const SESSION_KEY_BYTES = 32
const category = 'Fleet'

class FleetInitCommand extends PlatformCommand {
  static override paths = [['fleet', 'init']]
  static override usage = Command.Usage({ category, description: 'Creates the objects that a fleet needs before its first start; objects that exist stay unchanged.' })

  override async run (): Promise<CommandOutput> {
    const client = this.createClient()
    const secret = await updateObject(client, 'fleet-secret', 'session', value => value ?? { sessionKeys: [randomBytes(SESSION_KEY_BYTES).toString('hex')] })
    const owners = await updateObject(client, 'limit-owners', 'owners', value => value ?? limitOwnersSchema.parse({ shares: {} }))
    return {
      lines: [`fleet-secret 'session': version ${secret.version}`, `limit-owners 'owners': version ${owners.version}`],
      value: { fleetSecret: secret.version, limitOwners: owners.version }
    }
  }
}

class StatusCommand extends PlatformCommand {
  static override paths = [['status']]
  static override usage = Command.Usage({ category, description: 'Shows the objects with their versions, and the VMs, as stored in the object service.' })

  override async run (): Promise<CommandOutput> {
    const client = this.createClient()
    const [objects, { vms }] = await Promise.all([listVersions(client), client.listVms()])
    const lines = [
      `revision ${objects.revision}`,
      ...objects.rows.map(o => `${o.kind}  ${o.name}  version ${o.version}`),
      ...vms.map(v => `vm  ${v.vm}  ${v.state}  ${v.failureDomain}  ${v.region}  ${v.host}:${v.peerPort}`)
    ]
    return { lines, value: { revision: objects.revision, objects: objects.rows, vms } }
  }
}

/** Lists the versions of all objects, and the highest revision of the object service that was seen. */
async function listVersions (client: ObjectClient): Promise<{ revision: number, rows: Array<{ kind: string, name: string, version: number }> }> {
  const lists = await Promise.all(objectKinds.map(async kind => await client.listObjects(kind)))
  const rows = lists.flatMap(l => l.objects.map(({ kind, name, version }) => ({ kind, name, version })))
  return { revision: Math.max(...lists.map(l => l.revision)), rows }
}

export const fleetCommands = [FleetInitCommand, StatusCommand]
