import { expect } from 'chai'
import { addLocalPosition, RevocationCollector } from './revocations.ts'

describe('revocation confirmations', () => {
  it('yield the latest position of all VMs including the local one, compared by term before index', () => {
    const others = { hasEveryVmConfirmed: true, acknowledged: { term: 2, index: 10 } }
    expect(addLocalPosition(others, { term: 1, index: 12 }).acknowledged).to.deep.equal({ term: 2, index: 10 })
    expect(addLocalPosition(others, { term: 2, index: 11 }).acknowledged).to.deep.equal({ term: 2, index: 11 })
    expect(addLocalPosition({ hasEveryVmConfirmed: true, acknowledged: { term: 1, index: 12 } }, { term: 2, index: 10 }).acknowledged).to.deep.equal({ term: 2, index: 10 })
    expect(addLocalPosition(others, null).acknowledged).to.deep.equal(others.acknowledged)
    expect(addLocalPosition({ hasEveryVmConfirmed: true, acknowledged: null }, { term: 1, index: 1 }).acknowledged).to.deep.equal({ term: 1, index: 1 })
  })

  it('are complete once every VM has confirmed, and count only for their own attempt', async () => {
    const collector = new RevocationCollector()
    const confirmations = collector.collect('a', ['vm-1', 'vm-2'], 5_000)
    collector.confirm('b', 'vm-1', { term: 9, index: 9 })
    collector.confirm('a', 'vm-1', { term: 1, index: 12 })
    collector.confirm('a', 'vm-2', { term: 2, index: 10 })
    expect(await confirmations).to.deep.equal({ hasEveryVmConfirmed: true, acknowledged: { term: 2, index: 10 } })
  })

  it('are incomplete if a VM has not confirmed before the timeout', async () => {
    const collector = new RevocationCollector()
    const confirmations = collector.collect('a', ['vm-1', 'vm-2'], 10)
    collector.confirm('a', 'vm-1', undefined)
    expect(await confirmations).to.deep.equal({ hasEveryVmConfirmed: false, acknowledged: null })
  })
})
