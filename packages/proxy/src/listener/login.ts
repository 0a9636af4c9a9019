import type { Contract } from '@camphorpitch/wire'
import type { ConfigurationView } from '../configuration/configuration-view.ts'
import type { AuthParameters } from './server-connection.ts'

const ACCESS_DENIED_ERRNO = 1045
const UNKNOWN_DATABASE_ERRNO = 1049
const TOO_MANY_CONNECTIONS_ERRNO = 1040
const NONCE_LENGTH = 20

export type LoginResult =
  | { accepted: true, workspace: string, keyId: string | null, database: string | null }
  | { accepted: false, code: number, message: string }

export interface LoginOptions {
  configuration: ConfigurationView
  /** Finds the id of the key from which `token` was made with `nonce`; `undefined` if there is none. */
  findKey: (workspace: string, nonce: Buffer, token: Buffer) => string | undefined
  /** Number of connections that a workspace has to this VM. */
  countClients: (workspace: string) => number
}

/** Decides whether a client may connect. Its user name is the workspace and its password a key of the workspace. */
export function checkLogin (options: LoginOptions, parameters: AuthParameters): LoginResult {
  const workspace = parameters.user
  const contract = options.configuration.findContract(workspace)
  if (contract === undefined) return refuseLogin(workspace)
  const keyId = contract.open ? null : findLoginKey(options, parameters)
  if (keyId === undefined) return refuseLogin(workspace)
  const database = parameters.database === '' ? null : parameters.database
  if (database !== null && contract.databases[database] === undefined) {
    return { accepted: false, code: UNKNOWN_DATABASE_ERRNO, message: `camphorpitch: the contract names no database '${database}'` }
  }
  if (hasReachedConnectionLimit(options, contract)) return { accepted: false, code: TOO_MANY_CONNECTIONS_ERRNO, message: 'camphorpitch: the workspace has too many connections to this VM' }
  return { accepted: true, workspace, keyId, database }
}

function findLoginKey (options: LoginOptions, parameters: AuthParameters): string | undefined {
  const nonce = Buffer.concat([parameters.authPluginData1, parameters.authPluginData2]).subarray(0, NONCE_LENGTH)
  return options.findKey(parameters.user, nonce, parameters.authToken)
}

function hasReachedConnectionLimit (options: LoginOptions, contract: Contract): boolean {
  return options.countClients(contract.workspace) >= contract.maxConnectionsPerVm
}

/** Uses the same message for an unknown workspace and a wrong key, so that it does not reveal which workspaces exist. */
function refuseLogin (workspace: string): LoginResult {
  return { accepted: false, code: ACCESS_DENIED_ERRNO, message: `camphorpitch: access denied for workspace '${workspace}'` }
}
