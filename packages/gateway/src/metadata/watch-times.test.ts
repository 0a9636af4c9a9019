import { expect } from 'chai'
import { computeWatchMs } from './watch-times.ts'

describe('time of a metadata watch', () => {
  it('lets a VM whose connection went silent apply the next change in time', () => {
    for (const stableWindowMs of [4_000, 6_000, 10_000]) {
      for (const applyMs of [3_000, 5_000, 6_000, 10_000]) {
        const noticedMs = computeWatchMs({ stableWindowMs, applyMs }) + 700
        expect(noticedMs, `${stableWindowMs} and ${applyMs} ms`).to.be.at.most(stableWindowMs + applyMs - 1_000)
      }
    }
  })

  it('stays as it was with the shortest bounds, and within what the store allows', () => {
    expect(computeWatchMs({ stableWindowMs: 1_000, applyMs: 1_000 })).to.equal(5_000)
    expect(computeWatchMs({ stableWindowMs: 60_000, applyMs: 60_000 })).to.equal(30_000)
  })
})
