import type { Refusal } from '@camphorpitch/wire'
import type { ConfigurationView } from '../configuration/configuration-view.ts'
import { verifyKey } from './verify-key.ts'

/** Time after which a client may retry on a VM that is cut off, in milliseconds. */
const CUT_OFF_RETRY_AFTER_MS = 1_000

/** What identifies the client of an open connection. */
export interface ConnectedClient {
  workspace: string
  /** The key with which the client logged in; `null` if the contract was open. */
  keyId: string | null
}

/** Whether a connected client may start another statement; if not, with which refusal, and whether its connection is closed. */
export type KeyVerdict = { isAllowed: true } | { isAllowed: false, refusal: Refusal, closesConnection: boolean }

type KeyConfiguration = Pick<ConfigurationView, 'findContract' | 'findKeyRing' | 'isCurrent'>

/**
 * Decides whether a client may start another statement now.
 *
 * Open contracts need no key. A VM that may have missed the withdrawal of a key refuses the statement but
 * keeps the connection open, so that the client can retry. Statements that are already running are not affected.
 *
 * @example
 * const verdict = checkKeyUse(configuration, { workspace: 'brass-lab', keyId: 'k-3f09ab' })
 * if (!verdict.isAllowed) refuseStatement(verdict.refusal)
 */
export function checkKeyUse (configuration: KeyConfiguration, { workspace, keyId }: ConnectedClient): KeyVerdict {
  const contract = configuration.findContract(workspace)
  if (contract === undefined) return refuseUse('the workspace has no contract')
  if (contract.open) return { isAllowed: true }
  if (keyId === null) return refuseUse('the contract is not open any more')
  const keyRing = configuration.findKeyRing(workspace)
  if (keyRing?.keys.some(k => k.id === keyId) !== true) return refuseUse('the key was withdrawn')
  if (configuration.isCurrent()) return { isAllowed: true }
  const refusal: Refusal = { kind: 'notRunRetry', reason: 'this VM is cut off and cannot check the key', retryAfterMs: CUT_OFF_RETRY_AFTER_MS }
  return { isAllowed: false, refusal, closesConnection: false }
}

function refuseUse (reason: string): KeyVerdict {
  return { isAllowed: false, refusal: { kind: 'notRunDenied', reason }, closesConnection: true }
}

/**
 * Creates the function that finds the key of a login.
 *
 * @returns a function that returns the id of the key from which the token was made, or `undefined`
 * @example
 * const findKey = createKeyFinder(configuration)
 * findKey('brass-lab', nonce, token) // 'k-3f09ab'
 */
export function createKeyFinder (configuration: KeyConfiguration): (workspace: string, nonce: Uint8Array, token: Uint8Array) => string | undefined {
  return (workspace, nonce, token) => verifyKey({ workspace, nonce, token }, configuration.findKeyRing(workspace))
}
