import { expect } from 'chai'
import fc from 'fast-check'
import { addItem, createFairQueue, pickItem, recordCost } from './fair-queue.ts'

const CONCURRENCY = 3
const LIGHT_WORKSPACES = ['a', 'b', 'c', 'd', 'e', 'f', 'g']
const SIMULATED_MS = 2_000

interface Item { workspace: string, arrivedAtMs: number, costMs: number }
interface QueueDiscipline { add: (item: Item) => void, pick: () => Item | undefined, end: (item: Item) => void }

function createFairDiscipline (): QueueDiscipline {
  const queue = createFairQueue<Item>()
  const estimateMs = 4
  return {
    add: item => addItem(queue, item.workspace, item),
    pick: () => pickItem(queue, () => true, estimateMs),
    end: item => recordCost(queue, item.workspace, estimateMs, item.costMs)
  }
}

function createFifoDiscipline (): QueueDiscipline {
  const items: Item[] = []
  return { add: item => items.push(item), pick: () => items.shift(), end: () => {} }
}

/** Simulates a queue and returns the mean wait of each workspace; an item that never ran has waited until the end of the simulation. */
function measureMeanWaitsMs (discipline: QueueDiscipline, arrivals: Item[]): Map<string, number> {
  const pending = [...arrivals]
  const running: Array<{ item: Item, endMs: number }> = []
  const waitsMsByWorkspace = new Map<string, number[]>()
  const started = new Set<Item>()
  const record = (item: Item, waitMs: number): void => { waitsMsByWorkspace.set(item.workspace, [...waitsMsByWorkspace.get(item.workspace) ?? [], waitMs]) }
  for (let nowMs = 0; nowMs < SIMULATED_MS; nowMs++) {
    while (pending[0] !== undefined && pending[0].arrivedAtMs <= nowMs) discipline.add(pending.shift()!)
    for (const r of running.filter(r => r.endMs <= nowMs)) {
      running.splice(running.indexOf(r), 1)
      discipline.end(r.item)
    }
    while (running.length < CONCURRENCY) {
      const item = discipline.pick()
      if (item === undefined) break
      started.add(item)
      record(item, nowMs - item.arrivedAtMs)
      running.push({ item, endMs: nowMs + item.costMs })
    }
  }
  for (const item of arrivals) if (!started.has(item)) record(item, SIMULATED_MS - item.arrivedAtMs)
  return new Map([...waitsMsByWorkspace].map(([w, list]) => [w, list.reduce((a, b) => a + b, 0) / list.length]))
}

/** Seven light workspaces that together use half of the capacity, and one that offers twice the capacity. */
const arrivalsArbitrary = fc.infiniteStream(fc.nat(999)).map(stream => {
  const draw = (): number => stream.next().value / 1_000
  const items: Item[] = []
  const addLoad = (workspace: string, meanIntervalMs: number): void => {
    for (let atMs = draw() * meanIntervalMs; atMs < SIMULATED_MS; atMs += meanIntervalMs * (0.5 + draw())) {
      items.push({ workspace, arrivedAtMs: atMs, costMs: 1 + Math.floor(draw() * 7) })
    }
  }
  for (const w of LIGHT_WORKSPACES) addLoad(w, 19)
  addLoad('flood', 4 / (2 * CONCURRENCY))
  return items.sort((a, b) => a.arrivedAtMs - b.arrivedAtMs)
})

function computeLightWaitsMs (meanWaitsMs: Map<string, number>): { worst: number, mean: number } {
  const lightWaitsMs = LIGHT_WORKSPACES.map(w => meanWaitsMs.get(w) ?? 0)
  return { worst: Math.max(...lightWaitsMs), mean: lightWaitsMs.reduce((a, b) => a + b, 0) / lightWaitsMs.length }
}

describe('fair queue', () => {
  it('keeps the longest mean wait of the light workspaces near their average, and below a tenth of what it is in a FIFO queue', () => {
    fc.assert(fc.property(arrivalsArbitrary, arrivals => {
      const fair = computeLightWaitsMs(measureMeanWaitsMs(createFairDiscipline(), arrivals))
      expect(fair.worst).to.be.at.most(2 * fair.mean + 1)
      const fifo = computeLightWaitsMs(measureMeanWaitsMs(createFifoDiscipline(), arrivals))
      expect(fair.worst).to.be.below(fifo.worst / 10)
    }), { numRuns: 25, seed: 4 })
  })
})
