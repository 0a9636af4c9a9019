import { randomBytes } from 'node:crypto'
import { computeKeyDigest, parseRetryAfterMs, RefusalCode, type Contract, type KeyRing } from '@camphorpitch/wire'
import { createConnection, type Connection, type RowDataPacket } from 'mysql2/promise'
import type { Fleet, FleetVm } from '../fleet/start-fleet.ts'

/** Id and secret text of a workspace's key, as a client uses it to log in. */
export interface WorkspaceKey {
  id: string
  key: string
}

const KEY_BYTES = 24
const MAX_RETRIES = 50
const DEFAULT_RETRY_DELAY_MS = 50

export interface WorkspaceOptions {
  workspace: string
  databases: string[]
  rate: Contract['rate']
  statementTimeoutMs?: number
  maxConnectionsPerVm?: number
}

/**
 * Writes the contract of a new workspace and a key ring with one new key to the object service.
 *
 * @returns the new key
 */
export async function createWorkspace ({ objectClient }: Fleet, { workspace, databases, rate, statementTimeoutMs, maxConnectionsPerVm }: WorkspaceOptions): Promise<WorkspaceKey> {
  const workspaceKey: WorkspaceKey = { id: 'key-1', key: randomBytes(KEY_BYTES).toString('base64url') }
  const access = Object.fromEntries(databases.map(d => [d, {}]))
  await objectClient.writeObject('contract', workspace, 0, { workspace, rate, databases: access, statementTimeoutMs, maxConnectionsPerVm })
  await objectClient.writeObject('key-ring', workspace, 0, createKeyRing(workspace, [workspaceKey]))
  return workspaceKey
}

/** Creates the key ring that stores the digests of `keys`. */
export function createKeyRing (workspace: string, keys: WorkspaceKey[]): KeyRing {
  const grantedAt = new Date().toISOString()
  return { workspace, keys: keys.map(k => ({ id: k.id, digest: computeKeyDigest(k.key), grantedAt, note: '' })) }
}

/** Connects a client to one VM. The connection's error events are ignored, as its statements report the loss of the connection. */
export async function openClient (fleet: Fleet, vm: FleetVm, workspace: string, key: string, database: string): Promise<Connection> {
  const connection = await createConnection({ host: fleet.host, port: vm.callersPort, user: workspace, password: key, database })
  connection.on('error', () => {})
  return connection
}

/**
 * Runs a statement, and retries it after the refusal's retry-after time while it is refused as not run.
 *
 * @throws the first error that is not such a refusal, or the last refusal after `MAX_RETRIES` retries
 */
export async function runWithRetries (connection: Connection, text: string): Promise<unknown> {
  for (let i = 0; ; i++) {
    try {
      const [result] = await connection.query(text)
      return result
    } catch (error) {
      const { errno, message } = error as { errno?: number, message: string }
      if (errno !== RefusalCode.notRunRetry || i >= MAX_RETRIES) throw error
      await new Promise(resolve => setTimeout(resolve, parseRetryAfterMs(message) ?? DEFAULT_RETRY_DELAY_MS))
    }
  }
}

/** Runs a query and returns the first column of the first row as text, or `undefined` without rows. */
export async function readValue (connection: Connection, text: string): Promise<string | undefined> {
  const rows = await runWithRetries(connection, text) as RowDataPacket[]
  const first = rows[0]
  return first === undefined ? undefined : String(Object.values(first)[0])
}
