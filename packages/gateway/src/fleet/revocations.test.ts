import type { LogPosition } from '@camphorpitch/wire'
import { expect } from 'chai'
import type { Revocation } from '../failover/run-promotion.ts'
import { addConfirmation, RevocationCollector } from './revocations.ts'

describe('revocation confirmations', () => {
  it('yield the latest position of all VMs including the local one, compared by term before index', () => {
    const others = { hasEveryVmConfirmed: true, acknowledged: { term: 2, index: 10 }, latestPrimary: null }
    const add = (revocation: Revocation, acknowledged: LogPosition | null): LogPosition | null => addConfirmation(revocation, { acknowledged, primary: null }).acknowledged
    expect(add(others, { term: 1, index: 12 })).to.deep.equal({ term: 2, index: 10 })
    expect(add(others, { term: 2, index: 11 })).to.deep.equal({ term: 2, index: 11 })
    expect(add({ ...others, acknowledged: { term: 1, index: 12 } }, { term: 2, index: 10 })).to.deep.equal({ term: 2, index: 10 })
    expect(add(others, null)).to.deep.equal(others.acknowledged)
    expect(add({ ...others, acknowledged: null }, { term: 1, index: 1 })).to.deep.equal({ term: 1, index: 1 })
  })

  it('yield the primary of the latest term that a VM knows', () => {
    const [earlier, later] = [{ endpoint: 'p', term: 1 }, { endpoint: 'a', term: 2 }]
    const none = { hasEveryVmConfirmed: true, acknowledged: null, latestPrimary: null }
    const first = addConfirmation<Revocation>(none, { acknowledged: null, primary: later })
    expect(addConfirmation(first, { acknowledged: null, primary: earlier }).latestPrimary).to.deep.equal(later)
    expect(addConfirmation(first, { acknowledged: null, primary: null }).latestPrimary).to.deep.equal(later)
  })

  it('are complete once every VM has confirmed, and count only for their own attempt', async () => {
    const collector = new RevocationCollector()
    const confirmations = collector.collect('a', ['vm-1', 'vm-2'], 5_000)
    collector.confirm('b', 'vm-1', { acknowledged: { term: 9, index: 9 }, primary: null })
    collector.confirm('a', 'vm-1', { acknowledged: { term: 1, index: 12 }, primary: null })
    collector.confirm('a', 'vm-2', { acknowledged: { term: 2, index: 10 }, primary: null })
    expect(await confirmations).to.deep.equal({ hasEveryVmConfirmed: true, acknowledged: { term: 2, index: 10 }, latestPrimary: null })
  })

  it('are incomplete if a VM has not confirmed before the timeout', async () => {
    const collector = new RevocationCollector()
    const confirmations = collector.collect('a', ['vm-1', 'vm-2'], 10)
    collector.confirm('a', 'vm-1', { acknowledged: null, primary: null })
    expect(await confirmations).to.deep.equal({ hasEveryVmConfirmed: false, acknowledged: null, latestPrimary: null })
  })
})
