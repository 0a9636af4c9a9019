import { createSeededRandom } from '@camphorpitch/wire'
import { expect } from 'chai'
import { estimateResponseMs, selectEndpoint, type ReadCandidate } from './select-endpoint.ts'

function createCandidate (endpoint: string, options: Partial<ReadCandidate> = {}): ReadCandidate {
  return { endpoint, isPrimary: false, isDraining: false, distance: 0, slots: 3, load: 0, averageResponseMs: 25, hasIdleConnection: true, isAvoided: false, isWarmingUp: false, isLagging: false, ...options }
}

describe('endpoint selection', () => {
  it('prefers a near replica to a far one, and one with an idle connection to one without', () => {
    const far = createCandidate('far', { distance: 2, averageResponseMs: null })
    const near = createCandidate('near', { averageResponseMs: null })
    expect(selectEndpoint([far, near])?.endpoint).to.equal('near')
    expect(selectEndpoint([createCandidate('cold', { hasIdleConnection: false }), createCandidate('warm')])?.endpoint).to.equal('warm')
  })

  it('prefers replicas to the primary unless they are much slower', () => {
    const primary = createCandidate('p', { isPrimary: true })
    expect(selectEndpoint([primary, createCandidate('r', { averageResponseMs: 40 })])?.endpoint).to.equal('r')
    expect(selectEndpoint([primary, createCandidate('r', { averageResponseMs: 200 })])?.endpoint).to.equal('p')
  })

  it('selects a slow, failing, lagging, warming, draining or loaded endpoint only when there is no better one', () => {
    const worseOptions: Array<Partial<ReadCandidate>> = [{ averageResponseMs: 150 }, { isAvoided: true }, { isLagging: true }, { isWarmingUp: true }, { isDraining: true }, { load: 6 }]
    for (const w of worseOptions) expect(selectEndpoint([createCandidate('worse', w), createCandidate('good')])?.endpoint).to.equal('good')
    expect(selectEndpoint([createCandidate('only', { isDraining: true, isAvoided: true })])?.endpoint).to.equal('only')
    expect(selectEndpoint([])).to.equal(undefined)
  })
})

// Guards against sending reads to a replica that has become slow: steady reads run on three replicas, one of which
// is five times slower during the second third of the run.
describe('endpoint selection while one replica is slow', () => {
  function simulateLoad (chooseReplica: (candidates: ReadCandidate[], random: () => number) => ReadCandidate): number {
    const random = createSeededRandom(5)
    const replicas = ['a', 'b', 'c'].map(e => ({ candidate: createCandidate(e, { distance: 0 }), slotFreeAtMs: [0, 0, 0], activeEndsMs: [] as number[] }))
    let inTimeCount = 0
    let requestCount = 0
    for (let nowMs = 0; nowMs < 30_000; nowMs += -Math.log(1 - random()) * 7) {
      for (const r of replicas) {
        r.activeEndsMs = r.activeEndsMs.filter(e => e > nowMs)
        r.candidate.load = r.activeEndsMs.length
      }
      const chosen = chooseReplica(replicas.map(r => r.candidate), random)
      const replica = replicas.find(r => r.candidate === chosen)!
      const isSlow = chosen.endpoint === 'a' && nowMs > 10_000 && nowMs < 20_000
      const workMs = 20 * (0.5 + random()) * (isSlow ? 5 : 1)
      const slotIndex = replica.slotFreeAtMs.indexOf(Math.min(...replica.slotFreeAtMs))
      const endMs = Math.max(nowMs, replica.slotFreeAtMs[slotIndex]!) + workMs
      replica.slotFreeAtMs[slotIndex] = endMs
      replica.activeEndsMs.push(endMs)
      chosen.averageResponseMs = 0.85 * (chosen.averageResponseMs ?? endMs - nowMs) + 0.15 * (endMs - nowMs)
      requestCount++
      if (endMs - nowMs <= 100) inTimeCount++
    }
    return inTimeCount / requestCount
  }

  it('completes more reads in time than a random selection', () => {
    const informed = simulateLoad(candidates => selectEndpoint(candidates)!)
    const random = simulateLoad((candidates, draw) => candidates[Math.floor(draw() * 3)]!)
    expect(informed).to.be.greaterThan(0.93)
    expect(informed - random).to.be.greaterThan(0.05)
  })

  it('estimates the same response time for endpoints in the same state', () => {
    expect(estimateResponseMs(createCandidate('a'))).to.equal(estimateResponseMs(createCandidate('b')))
  })
})
