import { expect } from 'chai'
import { MemoryStore, MemoryStoreState } from '../testing/memory-store.ts'
import { EpochTracker, type EpochChange } from './epoch-tracker.ts'
import { EpochChangedError } from './errors.ts'

async function findError (promise: Promise<unknown>): Promise<unknown> {
  return await promise.then(() => undefined, (error: unknown) => error)
}

describe('epochs of the metadata store', () => {
  it('rejects an answer of an earlier epoch, and reports a later one with the revisions before and after', () => {
    const epochs = new EpochTracker()
    const changes: EpochChange[] = []
    epochs.subscribe(change => changes.push(change))
    epochs.accept(4, 90)
    epochs.accept(4, 85)
    epochs.accept(5, 70)
    expect(() => epochs.accept(4, 91)).to.throw(EpochChangedError)
    expect(epochs.current).to.equal(5)
    expect(changes).to.deep.equal([{ previousEpoch: 4, epoch: 5, previousNumber: 90, number: 70 }])
  })

  it('drop a late answer of an earlier epoch', async () => {
    const store = new MemoryStore()
    const copy = store.createCopy()
    store.replace('duties', 'a', { holder: 'x' })
    store.holdsAnswers = true
    const lateAnswer = store.find('duties', 'a')
    store.restore(copy)
    store.holdsAnswers = false
    expect(await store.find('duties', 'a')).to.equal(undefined)
    store.releaseAnswers()
    expect(await findError(lateAnswer)).to.be.instanceOf(EpochChangedError)
  })

  it('do not take a write for successful whose condition met a revision given out again', async () => {
    const state = new MemoryStoreState()
    const [a, b] = [new MemoryStore(state), new MemoryStore(state)]
    const copy = state.createCopy()
    const revision = await a.write('duties', 'x', 'a', null)
    state.restore(copy)
    expect((await b.write('duties', 'x', 'b', null)).number).to.equal(revision.number)
    expect(await findError(a.write('duties', 'x', 'a again', revision))).to.be.instanceOf(EpochChangedError)
  })

  it('do not take a creation for successful that was sent in the epoch before', async () => {
    const store = new MemoryStore()
    store.replace('duties', 'a', {})
    await store.find('duties', 'a')
    store.restore(store.createCopy())
    expect(await findError(store.write('duties', 'b', {}, null))).to.be.instanceOf(EpochChangedError)
  })

  it('do not send a write or deletion whose revision is of an earlier epoch', async () => {
    const store = new MemoryStore()
    const revision = await store.write('duties', 'a', {}, null)
    store.restore(store.createCopy())
    await store.find('duties', 'a')
    const { callCount } = store
    expect(await findError(store.write('duties', 'a', {}, revision))).to.be.instanceOf(EpochChangedError)
    expect(await findError(store.delete('duties', 'a', revision))).to.be.instanceOf(EpochChangedError)
    expect(store.callCount).to.equal(callCount)
  })
})
