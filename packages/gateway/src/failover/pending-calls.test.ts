import { expect } from 'chai'
import { VirtualClock } from '../testing/virtual-clock.ts'
import { CALL_ARRIVAL_MS } from './claim-times.ts'
import { PendingCalls, type PendingCall } from './pending-calls.ts'

describe('calls that may still arrive', () => {
  const clock = new VirtualClock()
  const createCalls = (vm: string, incarnation = 1): PendingCalls => new PendingCalls({ vm, incarnation, waitClock: clock })

  /** Has a VM make a call that is not answered. @returns what the claim's object tells then */
  function callInVain (calls: PendingCalls, claimToken = 10): PendingCall {
    calls.plan('s')
    calls.begin('s', claimToken)
    calls.end('s', true)
    return calls.describe('s', null)!
  }

  it('are waited for by other VMs, and repeated with their token by the VM that made them', () => {
    const a = createCalls('a')
    const recorded = callInVain(a)
    expect(createCalls('b').measureDelayMs('s', recorded)).to.equal(CALL_ARRIVAL_MS)
    expect(a.measureDelayMs('s', recorded)).to.equal(0)
    a.adopt('s', recorded)
    a.plan('s')
    expect(a.begin('s', 12)).to.equal(10)
  })

  // Guards against a service that has no primary for as long as the call of a VM may arrive that is back already.
  it('are repeated with their token by a later start of the same VM, and waited for by others from then on', () => {
    const recorded = callInVain(createCalls('a'))
    const restarted = createCalls('a', 2)
    expect(restarted.measureDelayMs('s', recorded)).to.equal(0)
    clock.nowMs += 4_000
    restarted.adopt('s', recorded)
    expect(createCalls('b').measureDelayMs('s', restarted.describe('s', recorded))).to.equal(CALL_ARRIVAL_MS)
    restarted.plan('s')
    expect(restarted.begin('s', 12)).to.equal(10)
    restarted.end('s', true)
    const repeated = restarted.describe('s', null)!
    expect(repeated.fencingToken).to.equal(10)
    expect(createCalls('a', 3).measureDelayMs('s', repeated)).to.equal(0)
    clock.nowMs += CALL_ARRIVAL_MS
    restarted.plan('s')
    expect(restarted.begin('s', 14)).to.equal(14)
  })

  // Guards against a call with another token before that of an earlier start, whose record does not tell its token.
  it('are waited for by a later start of the same VM that does not know their token, and by an earlier one', () => {
    const recorded = callInVain(createCalls('a', 2))
    for (const fencingToken of [undefined, null]) {
      const restarted = createCalls('a', 3)
      expect(restarted.measureDelayMs('s', { ...recorded, fencingToken })).to.equal(CALL_ARRIVAL_MS)
      restarted.adopt('s', { ...recorded, fencingToken })
      expect(restarted.hasOwn('s')).to.equal(false)
    }
    expect(createCalls('a', 1).measureDelayMs('s', recorded)).to.equal(CALL_ARRIVAL_MS)
  })

  it('are waited for no longer by a third VM than their least age, as the second one tells it, leaves', () => {
    const recorded = callInVain(createCalls('a'))
    const b = createCalls('b')
    b.adopt('s', recorded)
    clock.nowMs += 4_000
    const passedOn = b.describe('s', recorded)!
    expect(createCalls('c').measureDelayMs('s', passedOn)).to.equal(CALL_ARRIVAL_MS - 4_000)
    clock.nowMs += CALL_ARRIVAL_MS - 4_000
    expect(b.measureDelayMs('s', passedOn)).to.equal(0)
    expect(b.describe('s', passedOn)).to.equal(null)
  })

  it('have their token no more once another VM has recorded a call', () => {
    const a = createCalls('a')
    callInVain(a)
    a.adopt('s', callInVain(createCalls('b'), 11))
    a.plan('s')
    expect(a.begin('s', 12)).to.equal(12)
  })

  it('are forgotten once answered, but not an earlier one that was not', () => {
    const a = createCalls('a')
    callInVain(a)
    a.plan('s')
    expect(a.begin('s', 12)).to.equal(10)
    a.end('s', false)
    expect(a.describe('s', null)).to.not.equal(null)
    clock.nowMs += CALL_ARRIVAL_MS
    expect(a.describe('s', null)).to.equal(null)
    a.plan('s')
    expect(a.begin('s', 14)).to.equal(14)
    a.end('s', false)
    expect(a.hasOwn('s')).to.equal(false)
  })

  it('are no longer waited for when they were made long ago by the wall clock, by a VM that sees their record for the first time', () => {
    const recorded = callInVain(createCalls('a'))
    expect(createCalls('b').measureDelayMs('s', { ...recorded, writtenAtMs: recorded.writtenAtMs - 60_000 })).to.equal(0)
  })

  it('do not include one that was planned and not made', () => {
    const a = createCalls('a')
    a.plan('s')
    a.end('s', false)
    expect(a.hasOwn('s')).to.equal(false)
    expect(a.describe('s', null)).to.equal(null)
  })
})
