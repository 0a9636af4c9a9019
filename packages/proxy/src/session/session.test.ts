import type { Contract, FleetSecret } from '@camphorpitch/wire'
import { expect } from 'chai'
import { classifyStatement } from './classify-statement.ts'
import { applyFrame, decideCommand, type PlannedStatement } from './decide-command.ts'
import { createSession, recordPosition, type SessionState } from './state.ts'
import { signToken } from './token.ts'

const secret: FleetSecret = { sessionKeys: ['ab'.repeat(32)] }
const contract: Contract = {
  workspace: 'kari',
  rate: { statementsPerSecond: 10, burst: 5 },
  open: false,
  databases: { orders: { access: 'read-write', defaultMaxAgeMs: 0 }, archive: { access: 'read', defaultMaxAgeMs: 60_000 } },
  statementTimeoutMs: 1_000,
  maxConnectionsPerVm: 5
}

function openSession (workspace = 'kari'): SessionState {
  return createSession({ sessionId: 's', workspace, keyId: 'k', database: 'orders' })
}

function decideText (session: SessionState, text: string): ReturnType<typeof decideCommand> {
  return decideCommand(session, text, { contract, secret })
}

function planStatement (session: SessionState, text: string): PlannedStatement {
  const decision = decideText(session, text)
  if (decision.kind !== 'run') throw new Error(`expected a statement to run, got ${JSON.stringify(decision)}`)
  return decision.statement
}

describe('session', () => {
  it('resumes its positions on another VM from a token', () => {
    const first = openSession()
    recordPosition(first, 'orders', { term: 2, index: 8 })
    const second = openSession()
    expect(decideText(second, `SET @camphorpitch_session = '${signToken(first, secret)}'`).kind).to.equal('ok')
    expect(planStatement(second, 'SELECT 1').required).to.deep.equal({ term: 2, index: 8 })
  })

  it('refuses forged and damaged tokens and those of other workspaces', () => {
    const token = signToken(openSession(), secret)
    const foreign = signToken(openSession('other'), secret)
    const forged = signToken(openSession(), { sessionKeys: ['cd'.repeat(32)] })
    const damaged = [token.slice(0, -1), token.replace('v1.', 'v1.A'), 'v1.x', '', `${token}.x`]
    for (const t of [foreign, forged, ...damaged]) {
      expect(decideText(openSession(), `SET @camphorpitch_session = '${t}'`), t).to.have.nested.property('refusal.kind', 'notRunDenied')
    }
  })

  it('keeps its latest position when an earlier one arrives', () => {
    const session = openSession()
    const statement = planStatement(session, 'UPDATE t SET a = 1')
    applyFrame(session, statement, 'vm', { kind: 'ok', affectedRows: 1, insertId: 0, position: { term: 3, index: 9 }, transactionId: null })
    applyFrame(session, statement, 'vm', { kind: 'position', position: { term: 3, index: 4 } })
    expect(planStatement(session, 'SELECT 1').required).to.deep.equal({ term: 3, index: 9 })
  })

  it('assigns the request id to the next write only', () => {
    const session = openSession()
    decideText(session, "SET @camphorpitch_request_id = 'order-7'")
    expect(planStatement(session, 'SELECT 1').writeId).to.equal(null)
    expect(planStatement(session, 'INSERT INTO t VALUES (1)').writeId).to.equal('order-7')
    expect(planStatement(session, 'INSERT INTO t VALUES (1)').writeId).to.equal(null)
  })

  it('refuses databases and writes that the contract does not allow, and empty statements', () => {
    const session = openSession()
    expect(decideText(session, 'USE stranger')).to.have.nested.property('refusal.kind', 'notRunDenied')
    expect(decideText(session, 'USE archive').kind).to.equal('ok')
    expect(decideText(session, 'DELETE FROM t')).to.have.nested.property('refusal.kind', 'notRunDenied')
    expect(planStatement(session, 'SELECT 1').maxAgeMs).to.equal(60_000)
    for (const text of ['', ';', '/* nothing */']) expect(decideText(session, text).kind).to.equal('refuse')
  })

  it('runs statements on the VM of its transaction until the transaction ends', () => {
    const session = openSession()
    const begin = planStatement(session, 'START TRANSACTION')
    applyFrame(session, begin, 'vm-b', { kind: 'ok', affectedRows: 0, insertId: 0, position: null, transactionId: 't1' })
    expect(planStatement(session, 'SELECT 1')).to.include({ transactionId: 't1', pinnedVm: 'vm-b' })
    expect(decideText(session, 'CREATE TABLE x (a int)').kind).to.equal('refuse')
    const commit = planStatement(session, 'COMMIT')
    applyFrame(session, commit, 'vm-b', { kind: 'refused', refusal: { kind: 'outcomeUnknown', reason: '' } })
    expect(planStatement(session, 'SELECT 1').transactionId).to.equal(null)
  })
})

describe('classifyStatement', () => {
  const reads = ['SELECT 1', 'select a, count(*) from t where b in (select c from d) group by a', '/* x */ (select 1)', 'SELECT a FROM t UNION SELECT b FROM u;']
  const writes = ['INSERT INTO t VALUES (1)', 'SELECT a FROM t FOR UPDATE', 'SELECT a FROM t LOCK IN SHARE MODE', "SELECT 1 INTO OUTFILE 'x'", 'SELECT @x := 1', 'SELECT nextval(s)', 'SELECT 1 /*! INTO @x */', 'WITH x AS (SELECT 1) DELETE FROM t', 'SELECT sleep(1)', 'EXPLAIN SELECT 1', 'select from where']
  const unsupported = ['LOCK TABLES t READ', 'SELECT last_insert_id()', "SELECT get_lock('a', 1)", 'CREATE TEMPORARY TABLE t (a int)', 'COMMIT AND CHAIN', 'START TRANSACTION READ ONLY', 'XA START 1', 'GROUP FENCE TERM 9 BY 1', 'SHOW GROUP STATUS', '/**/ GROUP PROMOTE TERM 9', '# x\nGROUP FENCE TERM 9']

  it('classifies only plain SELECT statements as reads', () => {
    for (const text of reads) expect(classifyStatement(text, false), text).to.deep.equal({ kind: 'statement', class: 'read' })
    for (const text of writes) expect(classifyStatement(text, false), text).to.deep.equal({ kind: 'statement', class: 'write' })
  })

  it('reports statements as unsupported that keep state on a connection or administer the group', () => {
    for (const text of unsupported) expect(classifyStatement(text, false).kind, text).to.equal('unsupported')
  })
})
