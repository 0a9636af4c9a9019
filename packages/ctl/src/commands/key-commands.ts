import { randomBytes } from 'node:crypto'
import { computeKeyDigest, keyRingSchema, type KeyRing } from '@camphorpitch/wire'
import { Command, Option } from 'clipanion'
import { formatSuggestion } from '../document-check.ts'
import { NotFoundError } from '../errors.ts'
import { updateObject } from '../object-edits.ts'
import { PlatformCommand, type CommandOutput } from './platform-command.ts'

const KEY_BYTES = 24
const KEY_ID_BYTES = 8
const category = 'Keys'

class KeyGrantCommand extends PlatformCommand {
  static override paths = [['key', 'grant']]
  static override usage = Command.Usage({ category, description: 'Grants a new key to a workspace and prints it. It cannot be shown again: only its digest is stored.' })
  workspace = Option.String()
  note = Option.String('--note', '', { description: 'what the key is for, up to 200 characters' })

  override async run (): Promise<CommandOutput> {
    const client = this.createClient()
    if (await client.findObject('contract', this.workspace) === null) {
      const { objects } = await client.listObjects('contract')
      throw new NotFoundError(`no contract '${this.workspace}'${formatSuggestion(this.workspace, objects.map(o => o.name))}`)
    }
    const secret = randomBytes(KEY_BYTES).toString('base64url')
    const key = { id: `k-${randomBytes(KEY_ID_BYTES).toString('hex')}`, digest: computeKeyDigest(secret), grantedAt: new Date().toISOString(), note: this.note }
    await updateObject(client, 'key-ring', this.workspace, ring => addKey(ring, this.workspace, key))
    return { lines: [`id   ${key.id}`, `key  ${secret}`], value: { workspace: this.workspace, id: key.id, key: secret } }
  }
}

class KeyWithdrawCommand extends PlatformCommand {
  static override paths = [['key', 'withdraw']]
  static override usage = Command.Usage({ category, description: 'Withdraws a key; within seconds, clients that are connected with it can start no more statements.' })
  workspace = Option.String()
  id = Option.String()

  override async run (): Promise<CommandOutput> {
    let wasFound = false
    await updateObject(this.createClient(), 'key-ring', this.workspace, ring => {
      // On a retry the key may be missing because an earlier write of this command took effect and its response was lost.
      if (!wasFound) checkKeyExists(ring, this.workspace, this.id)
      wasFound = true
      return { workspace: this.workspace, keys: (ring?.keys ?? []).filter(k => k.id !== this.id) }
    })
    return { lines: [`key '${this.id}' of '${this.workspace}': withdrawn`], value: { workspace: this.workspace, id: this.id, withdrawn: true } }
  }
}

class KeyListCommand extends PlatformCommand {
  static override paths = [['key', 'list']]
  static override usage = Command.Usage({ category, description: 'Lists the keys of one workspace or of all, without digests.' })
  workspace = Option.String({ required: false })

  override async run (): Promise<CommandOutput> {
    const { objects } = await this.createClient().listObjects('key-ring')
    const rings = objects.map(o => keyRingSchema.parse(o.value)).filter(r => this.workspace === undefined || r.workspace === this.workspace)
    const rows = rings.flatMap(r => r.keys.map(({ id, grantedAt, note }) => ({ workspace: r.workspace, id, grantedAt, note })))
    return { lines: rows.map(r => `${r.workspace}  ${r.id}  ${r.grantedAt}  ${r.note}`), value: rows }
  }
}

/** Returns the key ring with `key` added; a key that an earlier attempt already added is not added twice. */
function addKey (ring: KeyRing | null, workspace: string, key: KeyRing['keys'][number]): KeyRing {
  const keys = ring?.keys ?? []
  if (keys.some(k => k.id === key.id)) return { workspace, keys }
  return { workspace, keys: [...keys, key] }
}

/** @throws NotFoundError when the key ring does not contain the key */
function checkKeyExists (ring: KeyRing | null, workspace: string, id: string): void {
  const keys = ring?.keys ?? []
  if (!keys.some(k => k.id === id)) throw new NotFoundError(`'${workspace}' has no key '${id}'${formatSuggestion(id, keys.map(k => k.id))}`)
}

export const keyCommands = [KeyGrantCommand, KeyWithdrawCommand, KeyListCommand]
