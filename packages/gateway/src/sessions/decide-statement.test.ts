import { expect } from 'chai'
import type { ClientStatement } from '../backend/statement.ts'
import { createSessionState, decideStatement } from './decide-statement.ts'

type StatementBody = ClientStatement extends infer S ? S extends ClientStatement ? Omit<S, 'id' | 'text'> : never : never
const createStatement = (body: StatementBody): ClientStatement => ({ id: '1', text: '', ...body }) as ClientStatement

describe('statement decisions of a session', () => {
  it('responds to session values and prepared statements without an endpoint, and keeps them in the state', () => {
    const state = createSessionState()
    expect(decideStatement(state, createStatement({ type: 'setValue', name: 'zone', value: 'oslo' }))).to.deep.equal({ type: 'answer', error: null })
    expect(decideStatement(state, createStatement({ type: 'prepare', name: 'q', mode: 'write', shape: 'x' }))).to.deep.equal({ type: 'answer', error: null })
    expect(state.sessionValues.get('zone')).to.equal('oslo')
    expect(decideStatement(state, createStatement({ type: 'execute', name: 'q' }))).to.deep.equal({ type: 'run', isWrite: true, preparedName: 'q' })
    decideStatement(state, createStatement({ type: 'closeStatement', name: 'q' }))
    expect(decideStatement(state, createStatement({ type: 'execute', name: 'q' }))).to.deep.include({ type: 'answer' })
  })

  it('refuses a write in a read-only transaction', () => {
    const state = createSessionState()
    expect(decideStatement(state, createStatement({ type: 'begin', isReadOnly: true }))).to.deep.equal({ type: 'begin' })
    expect(decideStatement(state, createStatement({ type: 'read' }))).to.deep.equal({ type: 'run', isWrite: false, preparedName: null })
    expect(decideStatement(state, createStatement({ type: 'write' }))).to.have.nested.property('error.code', 'readOnly')
  })

  it('accepts only a commit or rollback in a failed transaction', () => {
    const state = createSessionState()
    decideStatement(state, createStatement({ type: 'begin', isReadOnly: false }))
    state.transaction = 'failed'
    for (const type of ['read', 'write', 'begin', 'setValue'] as const) {
      expect(decideStatement(state, createStatement({ type, isReadOnly: false, name: 'a', value: 'b' } as StatementBody))).to.have.nested.property('error.code', 'malformed')
    }
    expect(state.sessionValues.size).to.equal(0)
    expect(decideStatement(state, createStatement({ type: 'commit' }))).to.deep.equal({ type: 'endFailed', isCommit: true })
    expect(decideStatement(state, createStatement({ type: 'rollback' }))).to.deep.equal({ type: 'endFailed', isCommit: false })
  })

  it('refuses a commit without a transaction, and a second begin', () => {
    const state = createSessionState()
    expect(decideStatement(state, createStatement({ type: 'commit' }))).to.have.nested.property('error.code', 'malformed')
    decideStatement(state, createStatement({ type: 'begin', isReadOnly: false }))
    expect(decideStatement(state, createStatement({ type: 'begin', isReadOnly: false }))).to.have.nested.property('error.code', 'malformed')
  })

  // Review case 3: a statement that still waited ran with the shape that was prepared after its answer.
  it('leave what a statement that was sent earlier knows of the session as it was', () => {
    const state = createSessionState()
    decideStatement(state, { id: '1', text: 'SET a 1', type: 'setValue', name: 'a', value: '1' })
    decideStatement(state, { id: '2', text: 'PARSE s READ q1', type: 'prepare', name: 's', mode: 'read', shape: 'q1' })
    const { sessionValues, preparedStatements } = state
    decideStatement(state, { id: '3', text: 'SET a 2', type: 'setValue', name: 'a', value: '2' })
    decideStatement(state, { id: '4', text: 'CLOSE s', type: 'closeStatement', name: 's' })
    decideStatement(state, { id: '5', text: 'PARSE s WRITE q2', type: 'prepare', name: 's', mode: 'write', shape: 'q2' })
    expect([...sessionValues]).to.deep.equal([['a', '1']])
    expect([...preparedStatements]).to.deep.equal([['s', { mode: 'read', shape: 'q1' }]])
    expect(state.preparedStatements.get('s')).to.deep.equal({ mode: 'write', shape: 'q2' })
  })
})
