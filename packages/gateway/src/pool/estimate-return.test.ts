import { expect } from 'chai'
import { loadPatterns } from '../testing/load/load-pattern.ts'
import { runLoad } from '../testing/load/run-load.ts'
import { estimateReturnMs } from './estimate-return.ts'

const idle = { waiting: 0, connections: 3, averageResponseMs: 40, backoffLeftMs: 0 }

describe('return time of a refused client', () => {
  it('grows with the work in hand and with the time until a connection may be opened, and is never a constant', () => {
    const estimate = (work: Partial<typeof idle>): number => estimateReturnMs({ ...idle, ...work }, 0)
    expect(estimate({ waiting: 8 })).to.equal(120)
    expect(estimate({ waiting: 8, averageResponseMs: 80 })).to.equal(240)
    expect(estimate({ waiting: 8, connections: 1 })).to.equal(360)
    expect(estimate({ waiting: 8, backoffLeftMs: 200 })).to.equal(320)
    expect(estimate({})).to.equal(50)
    expect(estimate({ waiting: 1_000, connections: 0 })).to.equal(2_000)
  })

  it('is spread over half as much again, and never earlier than the estimate', () => {
    const times = [0, 0.25, 0.5, 0.999].map(draw => estimateReturnMs({ ...idle, waiting: 29 }, draw))
    expect(times).to.deep.equal([400, 450, 500, 600])
  })

  it('lets at most one in ten of those that return be refused again under a burst of 2 that lasts 6 s', async function () {
    this.timeout(240_000)
    for (const name of ['burst of 2 on 30 VMs', 'burst of 2 beside a slow endpoint']) {
      const { refusals, refusedAgain } = await runLoad(loadPatterns.find(p => p.name === name)!)
      expect(refusedAgain, name).to.be.at.most(0.1 * Math.max(refusals - refusedAgain, 10))
    }
  })
})
