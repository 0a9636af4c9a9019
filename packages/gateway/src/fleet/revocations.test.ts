import type { LogPosition } from '@camphorpitch/wire'
import { expect } from 'chai'
import { addConfirmation, RevocationCollector, type Confirmations } from './revocations.ts'

const noEndpoints = {
  formerPrimary: null,
  openOrder: null,
  endpoints: [],
  departures: [],
  lastCommitAgeMs: Infinity,
  uptimeMs: Infinity,
  hasMissingVms: false
}
const a = { endpoint: 'a', startedAtMs: 5 }
const b = { endpoint: 'b', startedAtMs: 5, logEnd: { term: 2, index: 9 } }

describe('revocation confirmations', () => {
  it('yield the latest position of all VMs including the local one, compared by term before index', () => {
    const others = { hasEveryVmConfirmed: true, acknowledged: { term: 2, index: 10 }, latestPrimary: null, ...noEndpoints }
    const add = (revocation: Confirmations, acknowledged: LogPosition | null): LogPosition | null => addConfirmation(revocation, { acknowledged, primary: null, ...noEndpoints }).acknowledged
    expect(add(others, { term: 1, index: 12 })).to.deep.equal({ term: 2, index: 10 })
    expect(add(others, { term: 2, index: 11 })).to.deep.equal({ term: 2, index: 11 })
    expect(add({ ...others, acknowledged: { term: 1, index: 12 } }, { term: 2, index: 10 })).to.deep.equal({ term: 2, index: 10 })
    expect(add(others, null)).to.deep.equal(others.acknowledged)
    expect(add({ ...others, acknowledged: null }, { term: 1, index: 1 })).to.deep.equal({ term: 1, index: 1 })
  })

  it('yield the primary of the latest term that a VM knows', () => {
    const [earlier, later] = [{ endpoint: 'p', term: 1 }, { endpoint: 'a', term: 2 }]
    const none = { hasEveryVmConfirmed: true, acknowledged: null, latestPrimary: null, ...noEndpoints }
    const first = addConfirmation<Confirmations>(none, { acknowledged: null, primary: later, ...noEndpoints })
    expect(addConfirmation(first, { acknowledged: null, primary: earlier, ...noEndpoints }).latestPrimary).to.deep.equal(later)
    expect(addConfirmation(first, { acknowledged: null, primary: null, ...noEndpoints }).latestPrimary).to.deep.equal(later)
    const former = addConfirmation(first, { acknowledged: null, primary: null, ...noEndpoints, formerPrimary: earlier })
    expect(former).to.deep.include({ latestPrimary: later, formerPrimary: earlier })
  })

  it('are complete once every VM has confirmed, and count only for their own attempt', async () => {
    const collector = new RevocationCollector()
    const confirmations = collector.collect('a', ['vm-1', 'vm-2'], 5_000)
    collector.confirm('b', 'vm-1', { acknowledged: { term: 9, index: 9 }, primary: null, ...noEndpoints })
    collector.confirm(
      'a',
      'vm-1',
      {
        acknowledged: { term: 1, index: 12 },
        primary: null,
        formerPrimary: null,
        openOrder: null,
        endpoints: [a],
        departures: [],
        lastCommitAgeMs: 20,
        uptimeMs: 9_000,
        hasMissingVms: true
      }
    )
    collector.confirm(
      'a',
      'vm-2',
      {
        acknowledged: { term: 2, index: 10 },
        primary: null,
        formerPrimary: null,
        openOrder: null,
        endpoints: [a],
        departures: [b],
        lastCommitAgeMs: 30,
        uptimeMs: 700,
        hasMissingVms: false
      }
    )
    expect(await confirmations).to.deep.equal({
      hasEveryVmConfirmed: true,
      acknowledged: { term: 2, index: 10 },
      latestPrimary: null,
      formerPrimary: null,
      openOrder: null,
      endpoints: [a, a],
      departures: [b],
      lastCommitAgeMs: 20,
      uptimeMs: 700,
      hasMissingVms: true
    })
  })

  it('are incomplete if a VM has not confirmed before the timeout', async () => {
    const collector = new RevocationCollector()
    const confirmations = collector.collect('a', ['vm-1', 'vm-2'], 10)
    collector.confirm('a', 'vm-1', { acknowledged: null, primary: null, ...noEndpoints })
    expect(await confirmations).to.deep.equal({ hasEveryVmConfirmed: false, acknowledged: null, latestPrimary: null, ...noEndpoints })
  })
})
