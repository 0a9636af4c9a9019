import { expect } from 'chai'
import fc from 'fast-check'
import { PlacementTable, type PlacedDatabase } from './placement-table.ts'
import { selectServingVms, type Candidate } from './placement.ts'

const SEED = 4_712
const candidate: fc.Arbitrary<Candidate> = fc.record({
  vm: fc.integer({ min: 0, max: 30 }).map(i => `vm-${i}`),
  domain: fc.integer({ min: 0, max: 5 })
}).map(({ vm, domain }) => ({ vm, failureDomain: `domain-${domain}`, region: `region-${domain % 3}` }))
const members = fc.uniqueArray(candidate, { selector: c => c.vm, maxLength: 25 })
const databases: fc.Arbitrary<PlacedDatabase[]> = fc.uniqueArray(fc.record({
  database: fc.integer({ min: 0, max: 20 }).map(i => `db-${i}`),
  regions: fc.subarray(['region-0', 'region-1', 'region-2', 'region-9'])
}), { selector: d => d.database, maxLength: 20 })

type Change = { members: Candidate[] } | { databases: PlacedDatabase[] }
const changes: fc.Arbitrary<Change[]> = fc.array(fc.oneof(members.map(m => ({ members: m })), databases.map(d => ({ databases: d }))), { maxLength: 12 })

describe('PlacementTable', () => {
  it('equals a selection from scratch after any changes, and returns every database whose selection changed', () => {
    fc.assert(fc.property(changes, list => {
      const table = new PlacementTable()
      let currentMembers: Candidate[] = []
      let currentDatabases: PlacedDatabase[] = []
      for (const change of list) {
        const before = new Map(currentDatabases.map(d => [d.database, table.listSelected(d.database).map(c => c.vm).join()]))
        let changed: string[]
        if ('members' in change) {
          currentMembers = change.members
          changed = table.replaceMembers(currentMembers)
        } else {
          currentDatabases = change.databases
          changed = table.replaceDatabases(currentDatabases)
        }
        for (const { database, regions } of currentDatabases) {
          const expected = selectServingVms(database, currentMembers, { regions })
          expect(table.listSelected(database).map(c => c.vm)).to.deep.equal(expected)
          if ((before.get(database) ?? '') !== expected.join()) expect(changed).to.include(database)
        }
      }
    }), { seed: SEED, numRuns: 1_000 })
  })
})
