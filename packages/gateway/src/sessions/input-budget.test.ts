import type { Logger } from '@camphorpitch/wire'
import { expect } from 'chai'
import { VirtualClock } from '../testing/virtual-clock.ts'
import { InputBudget, type InputHolder, type InputRefusal } from './input-budget.ts'

const KIB = 1_024
const MAX_BYTES = 400 * KIB
const MAX_UNAUTHENTICATED_BYTES = 100 * KIB

interface Fixture {
  budget: InputBudget
  clock: VirtualClock
  refusals: InputRefusal[]
  /** Sessions that were ended. */
  ended: string[]
  /** Fields of the log lines. */
  lines: Array<Record<string, unknown>>
  createHolder: (id: string, workspace: string | null) => InputHolder
}

function createFixture (): Fixture {
  const refusals: InputRefusal[] = []
  const ended: string[] = []
  const lines: Array<Record<string, unknown>> = []
  const clock = new VirtualClock()
  const logger = { warn: (_: string, fields: Record<string, unknown>) => { lines.push(fields) } } as unknown as Logger
  const limits = { maxBytes: MAX_BYTES, maxUnauthenticatedBytes: MAX_UNAUTHENTICATED_BYTES }
  const budget = new InputBudget({ clock, logger, ...limits, recordRefused: reason => { refusals.push(reason) } })
  const createHolder = (id: string, workspace: string | null): InputHolder => ({
    id,
    workspace,
    refuseInput: () => { ended.push(id) },
    refuseOutput: () => { ended.push(`${id} for output`) }
  })
  return { budget, clock, refusals, ended, lines, createHolder }
}

describe('budget of client input', () => {
  it('ends the largest connection without a session, and no session, when such connections hold too much', () => {
    const { budget, ended, createHolder } = createFixture()
    budget.record(createHolder('lab-1', 'lab'), { incompleteBytes: 200 * KIB, messageBytes: 0 })
    budget.record(createHolder('stranger-1', null), { incompleteBytes: 60 * KIB, messageBytes: 0 })
    budget.record(createHolder('stranger-2', null), { incompleteBytes: 30 * KIB, messageBytes: 0 })
    expect(ended).to.deep.equal([])
    budget.record(createHolder('stranger-3', null), { incompleteBytes: 20 * KIB, messageBytes: 0 })
    expect(ended).to.deep.equal(['stranger-1'])
    expect(budget.totalBytes).to.equal(250 * KIB)
  })

  it('takes no message of the workspace that fills the budget, and takes those of others', () => {
    const { budget, refusals, createHolder } = createFixture()
    const flooding = createHolder('lab-1', 'lab')
    const other = createHolder('mint-1', 'mint')
    budget.record(other, { incompleteBytes: 0, messageBytes: KIB })
    budget.record(flooding, { incompleteBytes: 0, messageBytes: 398 * KIB })
    expect(budget.canHold(flooding, 2 * KIB)).to.equal(false)
    expect(budget.canHold(other, 100 * KIB)).to.equal(true)
    expect(refusals).to.deep.equal(['message'])
  })

  it('ends no session whose input is whole messages only, as nothing could be dropped', () => {
    const { budget, ended, createHolder } = createFixture()
    budget.record(createHolder('lab-1', 'lab'), { incompleteBytes: 0, messageBytes: 500 * KIB })
    expect(ended).to.deep.equal([])
  })

  it('ends the session with most incomplete input of the workspace that fills the budget', () => {
    const { budget, ended, createHolder } = createFixture()
    budget.record(createHolder('mint-1', 'mint'), { incompleteBytes: 150 * KIB, messageBytes: 0 })
    budget.record(createHolder('lab-1', 'lab'), { incompleteBytes: 120 * KIB, messageBytes: 0 })
    budget.record(createHolder('lab-2', 'lab'), { incompleteBytes: 140 * KIB, messageBytes: 0 })
    expect(ended).to.deep.equal(['lab-2'])
  })

  it('forgets what a session held once that has ended', () => {
    const { budget, createHolder } = createFixture()
    const holder = createHolder('lab-1', 'lab')
    budget.record(holder, { incompleteBytes: KIB, messageBytes: KIB })
    budget.record(holder, { incompleteBytes: 0, messageBytes: KIB })
    expect(budget.totalBytes).to.equal(KIB)
    budget.remove(holder)
    expect(budget.totalBytes).to.equal(0)
  })

  it('logs refusals once a second, with their number', () => {
    const { budget, lines, clock, createHolder } = createFixture()
    const flooding = createHolder('lab-1', 'lab')
    budget.record(flooding, { incompleteBytes: 0, messageBytes: 400 * KIB })
    for (let i = 0; i < 100; i++) budget.canHold(flooding, KIB)
    clock.nowMs += 1_000
    budget.canHold(flooding, KIB)
    expect(lines.map(l => l.refused)).to.deep.equal([1, 100])
  })
})
