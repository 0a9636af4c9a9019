import { expect } from 'chai'
import type { StoredObject } from '../metadata/metadata-store.ts'
import type { Revision } from '../metadata/revision.ts'
import { applyChanges, applyListing, createDirectory, LAPSED_ENTRY_GRACE_MS, listEndpoints, recordStoreRecovery, removeExpiredLapsedEntries } from './directory.ts'
import type { EndpointEntry } from './endpoint-entry.ts'

function at (number: number, epoch = 0): Revision {
  return { epoch, number }
}

function createEntry (endpoint: string, options: Partial<EndpointEntry> = {}): StoredObject<EndpointEntry> {
  return {
    name: endpoint,
    revision: at(1),
    value: { endpoint, service: 'orders', address: '10.0.0.1:80', failureDomain: 'north', role: 'replica', isDraining: false, slots: 3, warmupLeftMs: 0, startedAtMs: 1, ...options }
  }
}

describe('directory', () => {
  it('lists registered endpoints, and leaves out entries that cannot be read', () => {
    const state = createDirectory()
    applyListing(state, { asOf: at(5), items: [createEntry('b'), createEntry('a'), { name: 'c', revision: at(2), value: null }] }, 0)
    expect(listEndpoints(state, 'orders').map(e => e.endpoint)).to.deep.equal(['a', 'b'])
  })

  it('removes an entry immediately if the store has had no outage', () => {
    const state = createDirectory()
    applyListing(state, { asOf: at(5), items: [createEntry('a')] }, 0)
    expect(applyChanges(state, [{ object: createEntry('a'), isRemoved: true }], at(6), 10_000).map(c => c.event)).to.deep.equal(['removed'])
    expect(listEndpoints(state, 'orders')).to.deep.equal([])
  })

  it('keeps entries that lapsed during an outage for the grace period, then removes those that have not come back', () => {
    const state = createDirectory()
    applyListing(state, { asOf: at(5), items: [createEntry('a'), createEntry('b')] }, 0)
    recordStoreRecovery(state, 10_000)
    expect(applyListing(state, { asOf: at(9), items: [] }, 10_000).map(c => c.event)).to.deep.equal(['lapsed', 'lapsed'])
    expect(removeExpiredLapsedEntries(state, 10_000 + LAPSED_ENTRY_GRACE_MS - 1)).to.deep.equal([])
    applyChanges(state, [{ object: createEntry('a'), isRemoved: false }], at(10), 11_000)
    expect(removeExpiredLapsedEntries(state, 10_000 + LAPSED_ENTRY_GRACE_MS).map(c => c.entry.endpoint)).to.deep.equal(['b'])
    expect(listEndpoints(state, 'orders').map(e => e.endpoint)).to.deep.equal(['a'])
  })

  it('ignores a listing that is older than the changes applied', () => {
    const state = createDirectory()
    applyListing(state, { asOf: at(9), items: [createEntry('a')] }, 0)
    expect(applyListing(state, { asOf: at(5), items: [] }, 0)).to.deep.equal([])
  })
})
