import { createSeededRandom } from '@camphorpitch/wire'
import { expect } from 'chai'
import { planConnections, type ConnectionSlot, type ConnectionRequest } from './connection-plan.ts'
import { EXCESS_IDLE_TIMEOUT_MS } from './connection-pressure.ts'

const connectionLimits = { retainedConnections: 2, maxOpenConnections: 3 }

function createSlot (id: number, workspace: string, options: Partial<ConnectionSlot> = {}): ConnectionSlot {
  return { id, workspace, session: null, state: 'idle', lastUsedAtMs: 0, ...options }
}

function createRequest (id: number, workspace: string, options: Partial<ConnectionRequest> = {}): ConnectionRequest {
  return { id, workspace, session: `s${id}`, priority: 1, requestedAtMs: 0, deadlineMs: 200, ...options }
}

describe('connection plan', () => {
  it('prefers an idle connection that the session used before to another one of the workspace', () => {
    const slots = [createSlot(1, 'lab', { session: 'x' }), createSlot(2, 'lab', { session: 's9' })]
    const [step] = planConnections(slots, [createRequest(9, 'lab')], connectionLimits, true, 10)
    expect(step).to.deep.include({ type: 'grant', slot: slots[1] })
  })

  it('never grants a connection of another workspace', () => {
    const steps = planConnections([createSlot(1, 'shop')], [createRequest(9, 'lab')], connectionLimits, true, 10)
    expect(steps).to.deep.equal([{ type: 'open', workspace: 'lab' }])
  })

  it('closes the least recently used idle connection before it opens one at the connection limit', () => {
    const slots = [createSlot(1, 'shop', { lastUsedAtMs: 5 }), createSlot(2, 'shop', { lastUsedAtMs: 1 }), createSlot(3, 'shop', { state: 'busy' })]
    const steps = planConnections(slots, [createRequest(9, 'lab')], connectionLimits, true, 10)
    expect(steps).to.deep.equal([{ type: 'close', slot: slots[1] }, { type: 'open', workspace: 'lab' }])
  })

  it('opens no second connection for a request while one is being opened for it', () => {
    expect(planConnections([createSlot(1, 'lab', { state: 'opening' })], [createRequest(9, 'lab')], connectionLimits, true, 10)).to.deep.equal([])
  })

  it('opens no connection during the backoff after a failed attempt', () => {
    expect(planConnections([], [createRequest(9, 'lab')], connectionLimits, false, 10)).to.deep.equal([])
  })

  it('closes excess connections once they have been idle for long enough', () => {
    const slots = [1, 2, 3].map(id => createSlot(id, 'lab', { lastUsedAtMs: id }))
    expect(planConnections(slots, [], connectionLimits, true, EXCESS_IDLE_TIMEOUT_MS + 5)).to.deep.equal([{ type: 'close', slot: slots[0] }])
    expect(planConnections(slots, [], connectionLimits, true, 5)).to.deep.equal([])
  })

  it('serves requests by priority, but raises a request that has waited for half of its time', () => {
    const slot = createSlot(1, 'lab')
    const fresh = createRequest(1, 'lab', { priority: 1, requestedAtMs: 100, deadlineMs: 300 })
    const longWaiting = createRequest(2, 'lab', { priority: 2, requestedAtMs: 0, deadlineMs: 200 })
    const pickRequestId = (nowMs: number): unknown => (planConnections([slot], [fresh, longWaiting], connectionLimits, false, nowMs)[0] as { request: ConnectionRequest }).request.id
    expect(pickRequestId(90)).to.equal(1)
    expect(pickRequestId(150)).to.equal(2)
  })
})

// Guards against a busy workspace that takes the connections of the others: one workspace sends ten times as many
// requests as each other one, and each request holds its connection for 60 ms.
describe('connection plan while one workspace sends far more requests than the others', () => {
  const findLoadClass = (workspace: string): 'hot' | 'others' => workspace === 'hot' ? 'hot' : 'others'

  function simulateLoad (isFair: boolean): { hot: number, others: number } {
    const random = createSeededRandom(3)
    const slots: ConnectionSlot[] = []
    const busyUntilMs = new Map<number, number>()
    let requests: ConnectionRequest[] = []
    const served = { hot: 0, others: 0 }
    const requested = { hot: 0, others: 0 }
    let lastId = 0
    for (let nowMs = 0; nowMs < 20_000; nowMs += 5) {
      for (const slot of slots) if (slot.state === 'busy' && busyUntilMs.get(slot.id)! <= nowMs) Object.assign(slot, { state: 'idle', lastUsedAtMs: nowMs })
      for (const [workspace, requestProbability] of Object.entries({ hot: 0.4, w1: 0.04, w2: 0.04, w3: 0.04 })) {
        if (random() >= requestProbability) continue
        requested[findLoadClass(workspace)]++
        requests.push(createRequest(++lastId, workspace, { requestedAtMs: nowMs, deadlineMs: nowMs + 200 }))
      }
      requests = requests.filter(w => w.deadlineMs > nowMs)
      const ordered = isFair ? requests : requests.slice(0, 1)
      for (const step of planConnections(slots, ordered, { retainedConnections: 4, maxOpenConnections: 4 }, true, nowMs)) {
        if (step.type === 'close') slots.splice(slots.indexOf(step.slot), 1)
        else if (step.type === 'open') slots.push(createSlot(++lastId, step.workspace, { lastUsedAtMs: nowMs }))
        else {
          Object.assign(step.slot, { state: 'busy' })
          busyUntilMs.set(step.slot.id, nowMs + 60)
          requests = requests.filter(w => w !== step.request)
          served[findLoadClass(step.request.workspace)]++
        }
      }
    }
    return { hot: served.hot / requested.hot, others: served.others / requested.others }
  }

  it('rejects less than a quarter as many requests of the other workspaces as first come, first served does', () => {
    const fair = simulateLoad(true)
    const firstComeFirstServed = simulateLoad(false)
    expect(fair.others).to.be.greaterThan(fair.hot)
    expect(1 - fair.others).to.be.lessThan((1 - firstComeFirstServed.others) / 4)
  })
})
