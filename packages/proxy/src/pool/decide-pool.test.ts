import { expect } from 'chai'
import fc from 'fast-check'
import type { Decide } from '@camphorpitch/wire'
import { decidePool } from './decide-pool.ts'
import type { PoolEffect, PoolMessage } from './messages.ts'
import { computePoolLimits, createPoolState, type PoolState } from './state.ts'

type PoolDecision = Decide<PoolState, PoolMessage, PoolEffect>

const actionArbitrary = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('acquire' as const), workspace: fc.constantFrom('a', 'b', 'c'), isPinned: fc.boolean(), waitMs: fc.integer({ min: 5, max: 400 }) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('open' as const), outcome: fc.constantFrom('ok', 'ok', 'ok', 'full', 'down') }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('release' as const), pick: fc.nat(), isReusable: fc.boolean() }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('close' as const), pick: fc.nat() }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('cancel' as const), pick: fc.nat() }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('limits' as const), connections: fc.integer({ min: 0, max: 6 }) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('unreachable' as const), isReplaced: fc.boolean() }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('pass' as const), ms: fc.integer({ min: 1, max: 60 }) }) }
)
type Action = typeof actionArbitrary extends fc.Arbitrary<infer T> ? T : never

/** Simulates the endpoint and the clients of a pool; an assertion fails when the pool breaks a connection rule. */
class SimulatedHost {
  readonly #decide: PoolDecision
  #state = createPoolState(computePoolLimits(4, 2))
  #nowMs = 0
  #requestCount = 0
  #canCloseHeld = false
  /** Connections that the pool has asked to open. */
  readonly opening: number[] = []
  /** Connections that are granted and neither released nor closed. */
  readonly held = new Map<number, { isPinned: boolean }>()
  /** Connections that the pool has asked to close. */
  readonly closing: number[] = []
  /** Connections released as not reusable; they must not be granted again. */
  readonly doubtful = new Set<number>()
  /** Ids of the waiting requests, with whether each needs a pinned connection. */
  readonly waiting = new Map<number, boolean>()

  constructor (decide: PoolDecision) {
    this.#decide = decide
  }

  tell (message: PoolMessage): void {
    const step = this.#decide(this.#state, message, this.#nowMs)
    this.#state = step.state
    for (const e of step.effects) this.#runEffect(e)
    expect(this.#state.connections.size).to.be.at.least(this.held.size)
  }

  #runEffect (effect: PoolEffect): void {
    const { limits, connections } = this.#state
    if (effect.type === 'open') {
      expect(connections.size, 'connections to the instance').to.be.at.most(limits.connections)
      this.opening.push(effect.connection)
    }
    if (effect.type === 'close') {
      if (this.held.has(effect.connection)) expect(this.#canCloseHeld, 'a held connection is closed').to.equal(true)
      this.closing.push(effect.connection)
    }
    if (effect.type === 'refuse') expect(this.waiting.delete(effect.waiter), 'one grant or refusal for each request').to.equal(true)
    if (effect.type === 'grant') this.#grant(effect.waiter, effect.connection)
  }

  #grant (waiter: number, connection: number): void {
    const isPinned = this.waiting.get(waiter)
    expect(isPinned, 'one grant or refusal for each request').to.be.a('boolean')
    this.waiting.delete(waiter)
    expect(this.held.has(connection), 'two holders of one connection').to.equal(false)
    expect(this.doubtful.has(connection), 'a connection in doubt is used again').to.equal(false)
    this.held.set(connection, { isPinned: isPinned! })
    const pinned = [...this.held.values()].filter(h => h.isPinned).length
    const { limits } = this.#state
    if (isPinned) expect(pinned).to.be.at.most(limits.pinnedConnections)
    else expect(this.held.size - pinned).to.be.at.most(limits.statements)
  }

  runAction (action: Action): void {
    switch (action.kind) {
      case 'acquire': {
        const id = ++this.#requestCount
        this.waiting.set(id, action.isPinned)
        this.tell({ type: 'acquire', waiter: { id, workspace: action.workspace, isPinned: action.isPinned, deadlineMs: this.#nowMs + action.waitMs } })
        return
      }
      case 'open': return this.#finishOpening(action.outcome)
      case 'release': return this.#release(action.pick, action.isReusable)
      case 'close': return this.#finishClosing(action.pick)
      case 'cancel': {
        const waiter = [...this.waiting.keys()][action.pick % Math.max(1, this.waiting.size)]
        if (waiter === undefined) return
        this.waiting.delete(waiter)
        this.tell({ type: 'cancel', waiter })
        return
      }
      case 'limits': return this.tell({ type: 'limits', limits: computePoolLimits(action.connections, 2) })
      case 'unreachable':
        this.#canCloseHeld = action.isReplaced
        this.tell({ type: 'unreachable', isReplaced: action.isReplaced })
        this.#canCloseHeld = false
        return
      case 'pass':
        this.#nowMs += action.ms
        this.tell({ type: 'wake' })
    }
  }

  #finishOpening (outcome: string): void {
    const connection = this.opening.shift()
    if (connection === undefined) return
    if (outcome === 'ok') this.tell({ type: 'opened', connection })
    else this.tell({ type: 'openFailed', connection, reason: outcome, isLimitReached: outcome === 'full' })
  }

  #release (pick: number, isReusable: boolean): void {
    const connection = [...this.held.keys()][pick % Math.max(1, this.held.size)]
    if (connection === undefined) return
    this.held.delete(connection)
    if (!isReusable) this.doubtful.add(connection)
    this.tell({ type: 'released', connection, isReusable })
  }

  #finishClosing (pick: number): void {
    const index = pick % Math.max(1, this.closing.length)
    const [connection] = this.closing.splice(index, 1)
    if (connection === undefined) return
    this.held.delete(connection)
    this.tell({ type: 'closed', connection })
  }

  /** Lets endpoint and clients respond normally, and checks that every waiting request is granted or refused. */
  settleWaiters (): void {
    this.tell({ type: 'limits', limits: computePoolLimits(4, 2) })
    for (let i = 0; i < 2_000 && this.waiting.size > 0; i++) {
      this.runAction({ kind: 'pass', ms: 5 })
      this.#finishClosing(0)
      this.#finishOpening('ok')
      this.#release(0, true)
    }
    expect(this.waiting.size, 'requests neither granted nor refused').to.equal(0)
  }
}

function checkConnectionRules (decide: PoolDecision): void {
  fc.assert(fc.property(fc.array(actionArbitrary, { maxLength: 120 }), actions => {
    const host = new SimulatedHost(decide)
    for (const a of actions) host.runAction(a)
    host.settleWaiters()
  }), { numRuns: 1_000, seed: 11, includeErrorInReport: true })
}

describe('pool decision', () => {
  it('breaks no connection rule in 1,000 random sequences of events', () => checkConnectionRules(decidePool))

  it('is checked with rules that reject a pool that reuses connections in doubt and a pool that exceeds its connection limit', () => {
    const reusingInDoubt: PoolDecision = (state, message, nowMs) =>
      decidePool(state, message.type === 'released' ? { ...message, isReusable: true } : message, nowMs)
    expect(() => checkConnectionRules(reusingInDoubt)).to.throw('in doubt')
    const exceedingLimit: PoolDecision = (state, message, nowMs) => {
      const { limits } = state
      state.limits = { ...limits, connections: limits.connections + 1 }
      const step = decidePool(state, message, nowMs)
      if (message.type !== 'limits') state.limits = limits
      return step
    }
    expect(() => checkConnectionRules(exceedingLimit)).to.throw('connections to the instance')
  })
})
