import { expect } from 'chai'
import { addLocalPosition, RevocationCollector } from './revocations.ts'

describe('confirmations of a revocation', () => {
  it('hold the latest position of all VMs, this one included, by term before index', () => {
    const others = { isEveryVmHeard: true, acknowledged: { term: 2, index: 10 } }
    expect(addLocalPosition(others, { term: 1, index: 12 }).acknowledged).to.deep.equal({ term: 2, index: 10 })
    expect(addLocalPosition(others, { term: 2, index: 11 }).acknowledged).to.deep.equal({ term: 2, index: 11 })
    expect(addLocalPosition({ isEveryVmHeard: true, acknowledged: { term: 1, index: 12 } }, { term: 2, index: 10 }).acknowledged).to.deep.equal({ term: 2, index: 10 })
    expect(addLocalPosition(others, null).acknowledged).to.deep.equal(others.acknowledged)
    expect(addLocalPosition({ isEveryVmHeard: true, acknowledged: null }, { term: 1, index: 1 }).acknowledged).to.deep.equal({ term: 1, index: 1 })
  })

  it('are complete once every VM has confirmed, and count for their attempt only', async () => {
    const collector = new RevocationCollector()
    const confirmations = collector.collect('a', ['vm-1', 'vm-2'], 5_000)
    collector.confirm('b', 'vm-1', { term: 9, index: 9 })
    collector.confirm('a', 'vm-1', { term: 1, index: 12 })
    collector.confirm('a', 'vm-2', { term: 2, index: 10 })
    expect(await confirmations).to.deep.equal({ isEveryVmHeard: true, acknowledged: { term: 2, index: 10 } })
  })

  it('are incomplete when the wait is over', async () => {
    const collector = new RevocationCollector()
    const confirmations = collector.collect('a', ['vm-1', 'vm-2'], 10)
    collector.confirm('a', 'vm-1', undefined)
    expect(await confirmations).to.deep.equal({ isEveryVmHeard: false, acknowledged: null })
  })
})
