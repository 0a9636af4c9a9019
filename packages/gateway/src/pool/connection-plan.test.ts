import { createSeededRandom } from '@camphorpitch/wire'
import { expect } from 'chai'
import { IDLE_EXCESS_MS, planConnections, type ConnectionSlot, type Waiter } from './connection-plan.ts'

const limits = { kept: 2, most: 3 }

function createSlot (id: number, workspace: string, options: Partial<ConnectionSlot> = {}): ConnectionSlot {
  return { id, workspace, session: null, state: 'idle', usedAtMs: 0, ...options }
}

function createWaiter (id: number, workspace: string, options: Partial<Waiter> = {}): Waiter {
  return { id, workspace, session: `s${id}`, priority: 1, sinceMs: 0, deadlineMs: 200, ...options }
}

describe('connection plan', () => {
  it('grants an idle connection of the session, else of the workspace', () => {
    const slots = [createSlot(1, 'lab', { session: 'x' }), createSlot(2, 'lab', { session: 's9' })]
    const [step] = planConnections(slots, [createWaiter(9, 'lab')], limits, true, 10)
    expect(step).to.deep.include({ type: 'grant', slot: slots[1] })
  })

  it('never grants a connection of another workspace', () => {
    const steps = planConnections([createSlot(1, 'shop')], [createWaiter(9, 'lab')], limits, true, 10)
    expect(steps).to.deep.equal([{ type: 'open', workspace: 'lab' }])
  })

  it('opens in place of the longest idle one when no more may be open', () => {
    const slots = [createSlot(1, 'shop', { usedAtMs: 5 }), createSlot(2, 'shop', { usedAtMs: 1 }), createSlot(3, 'shop', { state: 'busy' })]
    const steps = planConnections(slots, [createWaiter(9, 'lab')], limits, true, 10)
    expect(steps).to.deep.equal([{ type: 'close', slot: slots[1] }, { type: 'open', workspace: 'lab' }])
  })

  it('opens no second connection for a request that one is being opened for', () => {
    expect(planConnections([createSlot(1, 'lab', { state: 'opening' })], [createWaiter(9, 'lab')], limits, true, 10)).to.deep.equal([])
  })

  it('opens nothing after the endpoint refused', () => {
    expect(planConnections([], [createWaiter(9, 'lab')], limits, false, 10)).to.deep.equal([])
  })

  it('closes what has been idle above the kept ones', () => {
    const slots = [1, 2, 3].map(id => createSlot(id, 'lab', { usedAtMs: id }))
    expect(planConnections(slots, [], limits, true, IDLE_EXCESS_MS + 5)).to.deep.equal([{ type: 'close', slot: slots[0] }])
    expect(planConnections(slots, [], limits, true, 5)).to.deep.equal([])
  })

  it('serves by priority, and does not starve a request that has waited for half of its time', () => {
    const slot = createSlot(1, 'lab')
    const fresh = createWaiter(1, 'lab', { priority: 1, sinceMs: 100, deadlineMs: 300 })
    const waited = createWaiter(2, 'lab', { priority: 2, sinceMs: 0, deadlineMs: 200 })
    const pick = (nowMs: number): unknown => (planConnections([slot], [fresh, waited], limits, false, nowMs)[0] as { waiter: Waiter }).waiter.id
    expect(pick(90)).to.equal(1)
    expect(pick(150)).to.equal(2)
  })
})

/** Load: one workspace asks ten times as often as the others; each request holds a connection for a while. */
describe('connections under a workspace that asks for far more than the others', () => {
  const readSide = (workspace: string): 'hot' | 'others' => workspace === 'hot' ? 'hot' : 'others'

  function playLoad (isFair: boolean): { hot: number, others: number } {
    const random = createSeededRandom(3)
    const slots: ConnectionSlot[] = []
    const endsAt = new Map<number, number>()
    let waiters: Waiter[] = []
    const served = { hot: 0, others: 0 }
    const asked = { hot: 0, others: 0 }
    let ids = 0
    for (let nowMs = 0; nowMs < 20_000; nowMs += 5) {
      for (const slot of slots) if (slot.state === 'busy' && endsAt.get(slot.id)! <= nowMs) Object.assign(slot, { state: 'idle', usedAtMs: nowMs })
      for (const [workspace, part] of Object.entries({ hot: 0.4, w1: 0.04, w2: 0.04, w3: 0.04 })) {
        if (random() >= part) continue
        asked[readSide(workspace)]++
        waiters.push(createWaiter(++ids, workspace, { sinceMs: nowMs, deadlineMs: nowMs + 200 }))
      }
      waiters = waiters.filter(w => w.deadlineMs > nowMs)
      const ordered = isFair ? waiters : waiters.slice(0, 1)
      for (const step of planConnections(slots, ordered, { kept: 4, most: 4 }, true, nowMs)) {
        if (step.type === 'close') slots.splice(slots.indexOf(step.slot), 1)
        else if (step.type === 'open') slots.push(createSlot(++ids, step.workspace, { usedAtMs: nowMs }))
        else {
          Object.assign(step.slot, { state: 'busy' })
          endsAt.set(step.slot.id, nowMs + 60)
          waiters = waiters.filter(w => w !== step.waiter)
          served[readSide(step.waiter.workspace)]++
        }
      }
    }
    return { hot: served.hot / asked.hot, others: served.others / asked.others }
  }

  it('serves the others nearly in full, which first come, first served does not', () => {
    const fair = playLoad(true)
    const naive = playLoad(false)
    expect(fair.others).to.be.greaterThan(fair.hot)
    expect(1 - fair.others).to.be.lessThan((1 - naive.others) / 4)
  })
})
