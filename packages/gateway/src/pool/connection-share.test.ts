import { expect } from 'chai'
import { computeConnectionShare } from './connection-share.ts'

describe('connection share', () => {
  const cases = [
    { maxConnections: 21, domains: [3, 3, 2] },
    { maxConnections: 46, domains: [3, 3, 3] },
    { maxConnections: 74, domains: [12, 12, 12, 12, 12, 11] },
    { maxConnections: 255, domains: [13, 13, 13, 13, 12, 12] }
  ]
  for (const { maxConnections, domains } of cases) {
    const vms = domains.reduce((sum, n) => sum + n, 0)
    it(`keeps the idle connections of ${vms} VMs within the endpoint's limit of ${maxConnections}`, () => {
      for (const isPrimary of [true, false]) {
        let totalRetained = 0
        domains.forEach((count, i) => {
          const share = computeConnectionShare({ maxConnections, vms, vmsInSameDomain: domains[0]!, isInSameDomain: i === 0, isPrimary })
          expect(share.maxOpenConnections).to.be.at.least(1)
          totalRetained += count * share.retainedConnections
        })
        expect(totalRetained).to.be.at.most(maxConnections)
      }
    })
  }

  it('gives a single VM all connections but the reserved ones', () => {
    expect(computeConnectionShare({ maxConnections: 21, vms: 1, vmsInSameDomain: 1, isInSameDomain: true, isPrimary: true })).to.deep.equal({ retainedConnections: 19, maxOpenConnections: 19 })
  })
})
