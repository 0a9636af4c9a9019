import { ConflictError, createSeededRandom, ObjectClient, UnknownOutcomeError, type KeyRing, type ObjectKind, type StoredObject } from '@camphorpitch/wire'
import { expect } from 'chai'
import fc from 'fast-check'
import { EditConflictError } from './errors.ts'
import { replaceObject, updateObject } from './object-edits.ts'

const RUNS = 1_000
const SEED = 20_261_203

/** A client of one in-memory object whose requests and responses are delayed, reordered and lost. */
class RacingClient extends ObjectClient {
  stored: StoredObject | null = null
  readonly #scheduler: fc.Scheduler
  readonly #random: () => number
  readonly #lossRate: number

  constructor (scheduler: fc.Scheduler, seed: number, lossRate: number) {
    super({ url: 'http://127.0.0.1' })
    this.#scheduler = scheduler
    this.#random = createSeededRandom(seed)
    this.#lossRate = lossRate
  }

  override async findObject (): Promise<StoredObject | null> {
    await this.#pause()
    const { stored } = this
    await this.#pause()
    return stored
  }

  override async writeObject (kind: ObjectKind, name: string, version: number, value: unknown): Promise<StoredObject> {
    const isLost = this.#random() < this.#lossRate
    // The client may give up before the write reaches the store.
    if (isLost && this.#random() < 0.5) {
      this.#pause().then(() => this.#apply(kind, name, version, value)).catch(() => {}) // Nobody learns of a conflict.
      await this.#pause()
      throw new UnknownOutcomeError('lost')
    }
    await this.#pause()
    const result = this.#apply(kind, name, version, value)
    await this.#pause()
    if (isLost) throw new UnknownOutcomeError('lost')
    if (result === null) throw new ConflictError('changed')
    return result
  }

  #apply (kind: ObjectKind, name: string, version: number, value: unknown): StoredObject | null {
    if ((this.stored?.version ?? 0) !== version) return null
    this.stored = { kind, name, version: version + 1, revision: version + 1, value }
    return this.stored
  }

  async #pause (): Promise<void> {
    await this.#scheduler.schedule(Promise.resolve())
  }
}

type Edit = (client: RacingClient, change: (ring: KeyRing | null) => KeyRing) => Promise<unknown>

const editConditionally: Edit = async (client, change) => await updateObject(client, 'key-ring', 'ash', change)

/** Writes the change of an earlier read at the latest version, and so overwrites edits made in between. */
const editWithLatestVersion: Edit = async (client, change) => {
  const read = await client.findObject()
  const value = change(read?.value as KeyRing | null)
  const latest = await client.findObject()
  return await client.writeObject('key-ring', 'ash', latest?.version ?? 0, value)
}

/** Property to check: no accepted edit is lost and no key is stored twice when several editors race. */
function createRaceProperty (edit: Edit) {
  const arbitraries = [fc.scheduler(), fc.nat(), fc.integer({ min: 2, max: 5 }), fc.constantFrom(0, 0.3, 0.6)] as const
  return fc.asyncProperty(...arbitraries, async (scheduler, seed, editorCount, lossRate) => {
    const client = new RacingClient(scheduler, seed, lossRate)
    const acceptedKeyIds: string[] = []
    const edits = Array.from({ length: editorCount }, async (_, i) => {
      const key = { id: `k-${i}`, digest: String(i).repeat(40), grantedAt: '', note: '' }
      await edit(client, ring => ({ workspace: 'ash', keys: [...(ring?.keys ?? []).filter(k => k.id !== key.id), key] }))
      acceptedKeyIds.push(key.id)
    })
    await scheduler.waitFor(Promise.allSettled(edits))
    await scheduler.waitAll()
    const storedKeyIds = (client.stored?.value as KeyRing | undefined)?.keys.map(k => k.id) ?? []
    expect(storedKeyIds).include.members(acceptedKeyIds)
    expect(new Set(storedKeyIds).size).equal(storedKeyIds.length)
  })
}

describe('object edits', () => {
  it('lose no accepted edit when editors race and responses are lost', async () => {
    await fc.assert(createRaceProperty(editConditionally), { numRuns: RUNS, seed: SEED })
  })

  it('the check of lost edits fails for edits that always use the latest version', async () => {
    expect((await fc.check(createRaceProperty(editWithLatestVersion), { numRuns: RUNS, seed: SEED, endOnFailure: true })).failed).equal(true)
  })

  it('accept at most one of several edits of the same version, and report a conflict for each of the others', async () => {
    const arbitraries = [fc.scheduler(), fc.nat(), fc.integer({ min: 2, max: 5 }), fc.constantFrom(0, 0.3, 0.6)] as const
    await fc.assert(fc.asyncProperty(...arbitraries, async (scheduler, seed, editors, lossRate) => {
      const client = new RacingClient(scheduler, seed, lossRate)
      const edits = Array.from({ length: editors }, async (_, i) => {
        const value = { workspace: 'ash', keys: [{ id: `k-${i}`, digest: String(i).repeat(40), grantedAt: '', note: '' }] }
        return await replaceObject(client, 'key-ring', 'ash', 0, value).then(() => value, (error: unknown) => error)
      })
      const results = await scheduler.waitFor(Promise.all(edits))
      const accepted = results.filter(r => !(r instanceof Error))
      expect(accepted.length).lessThanOrEqual(1)
      if (accepted.length === 1) expect(client.stored?.value).deep.equal(accepted[0])
      for (const r of results) if (r instanceof Error) expect(r).instanceOf(EditConflictError)
    }), { numRuns: RUNS, seed: SEED })
  })
})
