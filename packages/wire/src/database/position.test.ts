import { expect } from 'chai'
import { hasReached, type TermStart } from './position.ts'

describe('hasReached', () => {
  const starts: TermStart[] = [[1, 1], [2, 5]]

  it('compares indexes within one term', () => {
    expect(hasReached({ term: 2, index: 7 }, starts, { term: 2, index: 7 })).to.equal(true)
    expect(hasReached({ term: 2, index: 7 }, starts, { term: 2, index: 8 })).to.equal(false)
  })

  it('finds an entry of an older term in the log only if its index is below the start of the newer term', () => {
    expect(hasReached({ term: 2, index: 7 }, starts, { term: 1, index: 4 })).to.equal(true)
    expect(hasReached({ term: 2, index: 7 }, starts, { term: 1, index: 5 })).to.equal(false)
  })

  it('finds no entry of a newer term in a log of an older term, however long that log is', () => {
    expect(hasReached({ term: 1, index: 90 }, [[1, 1]], { term: 2, index: 7 })).to.equal(false)
  })
})
