import { expect } from 'chai'
import { InvalidEntries } from './invalid-entries.ts'

describe('entries that are not valid', () => {
  it('are logged once for each revision, and valid ones are not', () => {
    const logged: object[] = []
    const invalidEntries = new InvalidEntries({ warn: ((_message: string, inputs: object) => { logged.push(inputs) }) as never })
    const odd = { name: 'i-odd', revision: { epoch: 0, number: 4 }, value: null }
    const entry = { endpoint: 'i-a', service: 's', address: '127.0.0.1:1', failureDomain: 'north', role: 'replica' as const }
    const valid = { ...odd, name: 'i-a', value: { ...entry, isDraining: false, slots: 3, warmupLeftMs: 0, startedAtMs: 0 } }
    invalidEntries.report([odd, valid])
    invalidEntries.report([odd])
    invalidEntries.report([{ ...odd, revision: { epoch: 0, number: 9 } }])
    const revisions = [4, 9].map(number => ({ epoch: 0, number }))
    expect(logged).to.deep.equal(revisions.map(revision => ({ endpoint: 'i-odd', revision })))
  })
})
