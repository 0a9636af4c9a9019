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
  /** The id of the key that made `token` from `nonce`; `undefined` when none did. */
  findKey: (workspace: string, nonce: Buffer, token: Buffer) => string | undefined
  countClients: (workspace: string) => number
}

/** Decides whether a caller may connect: user name is the workspace, password its key. */
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

/** The same words for an unknown workspace and a wrong key. */
function refuseLogin (workspace: string): LoginResult {
  return { accepted: false, code: ACCESS_DENIED_ERRNO, message: `camphorpitch: access denied for workspace '${workspace}'` }
}
