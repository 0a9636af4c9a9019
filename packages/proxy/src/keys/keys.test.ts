import { createHash, randomBytes } from 'node:crypto'
import { contractSchema, type Contract, type KeyRing } from '@camphorpitch/wire'
import { expect } from 'chai'
import fc from 'fast-check'
import { checkKeyUse, createKeyFinder } from './key-use.ts'
import { verifyKey } from './verify-key.ts'

const workspaces = ['ash', 'birch']
const keys = ['', 'a', 'correct horse', 'æøå', 'k'.repeat(64)]

function computeSha1 (...parts: Uint8Array[]): Buffer {
  return createHash('sha1').update(Buffer.concat(parts)).digest()
}

function computeDigest (key: string): Buffer {
  return computeSha1(computeSha1(Buffer.from(key)))
}

/** Computes the token as a client does for `mysql_native_password`. */
function makeToken (key: string, nonce: Uint8Array): Uint8Array {
  const mask = computeSha1(nonce, computeDigest(key))
  return computeSha1(Buffer.from(key)).map((byte, i) => byte ^ (mask[i] as number))
}

const workspaceArbitrary = fc.constantFrom(...workspaces)
const keyArbitrary = fc.constantFrom(...keys)
const commandArbitrary = fc.oneof(
  fc.record({ type: fc.constant('grant' as const), workspace: workspaceArbitrary, key: keyArbitrary }),
  fc.record({ type: fc.constant('withdraw' as const), workspace: workspaceArbitrary, key: keyArbitrary }),
  fc.record({ type: fc.constant('edit' as const), workspace: workspaceArbitrary, contract: fc.constantFrom('keyed', 'open', 'deleted') }),
  fc.record({ type: fc.constant('cut' as const), isCurrent: fc.boolean() }),
  fc.record({ type: fc.constant('connect' as const), workspace: workspaceArbitrary, key: keyArbitrary, nonce: fc.uint8Array({ minLength: 20, maxLength: 20 }) })
)

/** The configuration of a VM, which contains digests and ids of keys only. */
class FakeConfiguration {
  readonly contracts = new Map<string, Contract>()
  readonly rings = new Map<string, KeyRing>()
  current = true
  findContract = (workspace: string) => this.contracts.get(workspace)
  findKeyRing = (workspace: string) => this.rings.get(workspace)
  isCurrent = () => this.current
}

function buildContract (workspace: string, open: boolean): Contract {
  return contractSchema.parse({ workspace, open, rate: { statementsPerSecond: 1, burst: 1 }, databases: {} })
}

type Change = Exclude<typeof commandArbitrary extends fc.Arbitrary<infer T> ? T : never, { type: 'connect' }>

/** Applies a change to the model and, as an operator would, to the configuration. */
function applyChange (configuration: FakeConfiguration, change: Change, granted: Map<string, Map<string, string>>, modes: Map<string, string>, id: string): void {
  if (change.type === 'cut') {
    configuration.current = change.isCurrent
  } else if (change.type === 'edit') {
    modes.set(change.workspace, change.contract)
    if (change.contract === 'deleted') configuration.contracts.delete(change.workspace)
    else configuration.contracts.set(change.workspace, buildContract(change.workspace, change.contract === 'open'))
  } else {
    const currentKeys = granted.get(change.workspace) as Map<string, string>
    if (change.type === 'withdraw') currentKeys.delete(change.key)
    else if (!currentKeys.has(change.key)) currentKeys.set(change.key, id)
    const ring = [...currentKeys].map(([key, keyId]) => ({ id: keyId, digest: computeDigest(key).toString('hex'), grantedAt: '', note: '' }))
    configuration.rings.set(change.workspace, { workspace: change.workspace, keys: ring })
  }
}

describe('keys', () => {
  it('are accepted and refused as by a simple model that has the plain keys', () => {
    fc.assert(fc.property(fc.array(commandArbitrary, { maxLength: 40 }), commands => {
      const configuration = new FakeConfiguration()
      const findKey = createKeyFinder(configuration)
      const granted = new Map(workspaces.map(w => [w, new Map<string, string>()]))
      const modes = new Map(workspaces.map(w => [w, 'keyed']))
      const clients: Array<{ workspace: string, keyId: string }> = []
      for (const w of workspaces) configuration.contracts.set(w, buildContract(w, false))
      commands.forEach((c, index) => {
        if (c.type === 'connect') {
          const keyId = findKey(c.workspace, c.nonce, makeToken(c.key, c.nonce))
          expect(keyId).equal(granted.get(c.workspace)?.get(c.key))
          if (keyId !== undefined) clients.push({ workspace: c.workspace, keyId })
        } else {
          applyChange(configuration, c, granted, modes, `k-${index}`)
        }
        for (const client of clients) {
          const mode = modes.get(client.workspace)
          const isKeyGranted = [...granted.get(client.workspace)?.values() ?? []].includes(client.keyId)
          const verdict = checkKeyUse(configuration, client)
          expect(verdict.isAllowed).equal(mode === 'open' || (mode === 'keyed' && isKeyGranted && configuration.current))
          if (!verdict.isAllowed) expect(verdict.closesConnection).equal(mode === 'deleted' || !isKeyGranted)
        }
      })
    }), { numRuns: 1_000, seed: 20_261_203 })
  })

  it('do not match damaged or missing tokens, or tokens checked against the ring of another workspace', () => {
    const nonce = randomBytes(20)
    const ring: KeyRing = { workspace: 'ash', keys: [{ id: 'k-1', digest: computeDigest('secret').toString('hex'), grantedAt: '', note: '' }] }
    const token = makeToken('secret', nonce)
    const findKeyId = (t: Uint8Array, workspace = 'ash') => verifyKey({ workspace, nonce, token: t }, ring)
    expect(findKeyId(token)).equal('k-1')
    for (let i = 0; i < token.length; i++) expect(findKeyId(token.map((b, j) => i === j ? b ^ 1 : b))).equal(undefined)
    expect([findKeyId(new Uint8Array()), findKeyId(token.subarray(1)), findKeyId(token, 'birch')]).deep.equal([undefined, undefined, undefined])
    expect(verifyKey({ workspace: 'ash', nonce, token }, undefined)).equal(undefined)
  })

  it('are required of a client without a key once its contract is no longer open', () => {
    const configuration = new FakeConfiguration()
    configuration.contracts.set('ash', buildContract('ash', true))
    expect(checkKeyUse(configuration, { workspace: 'ash', keyId: null }).isAllowed).equal(true)
    configuration.contracts.set('ash', buildContract('ash', false))
    expect(checkKeyUse(configuration, { workspace: 'ash', keyId: null })).deep.include({ isAllowed: false, closesConnection: true })
  })
})
