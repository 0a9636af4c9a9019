import { createLogger, createSeededRandom } from '@camphorpitch/wire'
import { expect } from 'chai'
import { EndpointConnector, type EndpointConnection } from '../backend/endpoint-connector.ts'
import { findRequiredPosition, isPrimaryFresh, LEADER_LEASE_MS, recordLeadership, recordPrimaryResponse, recordCommit, updatePrimary } from '../freshness/group-state.ts'
import { ServiceGroup } from '../groups/service-group.ts'
import { VirtualClock } from '../testing/virtual-clock.ts'
import { applyGroupReport, createGroupReport } from './group-reports.ts'
import { decodeGroupReport, encodeGroupReport, revokedSchema } from './message-schemas.ts'

class NoConnector extends EndpointConnector {
  override async connect (): Promise<EndpointConnection> { return await new Promise(() => {}) }
}

function createGroup (): ServiceGroup {
  return new ServiceGroup({ service: 's', connector: new NoConnector(), clock: new VirtualClock(), logger: createLogger({ process: 'test', level: 'silent' }), readLimits: () => ({ retainedConnections: 1, maxOpenConnections: 1 }), recordOpened: () => {} })
}

/** Reports what `from` knows at `reportSentAtMs` to `to`, whose poll was sent at `pollSentAtMs`. */
function exchangeReport (from: ServiceGroup, to: ServiceGroup, pollSentAtMs: number, reportSentAtMs: number): void {
  const report = createGroupReport(from, reportSentAtMs)
  if (report !== undefined) applyGroupReport(to, 'vm', decodeGroupReport(encodeGroupReport(report)), pollSentAtMs)
}

// Guards against an end that an earlier build reports without telling whether it is proven, and that is taken for a proven one (LOST).
describe('departures that another VM reports', () => {
  const message = { type: 'revoked', service: 's', attempt: 'vm-1-1' }

  function decode (departure: object): boolean | undefined {
    return revokedSchema.parse({ ...message, departures: [{ endpoint: 'a', startedAtMs: 1, logEnd: null, ...departure }] }).departures[0]!.isPresumed
  }

  it('have ended for certain only if the sender says so', () => {
    expect(decode({ isGone: true })).to.equal(true)
    expect(decode({ isGone: true, isPresumed: true })).to.equal(true)
    expect(decode({ isGone: true, isPresumed: false })).to.equal(false)
    expect(decode({})).to.equal(undefined)
  })

  it('have ended for certain if a later start is registered', () => {
    const group = createGroup()
    const entry = { endpoint: 'a', service: 's', address: '127.0.0.1:1', failureDomain: 'north', role: 'replica' as const, isDraining: false, slots: 3, warmupLeftMs: 0 }
    group.updateEntry({ ...entry, startedAtMs: 2 })
    group.addReportedDeparture({ endpoint: 'a', startedAtMs: 1, isGone: true, isPresumed: true })
    expect(group.departures[0]).to.deep.include({ isGone: true, isPresumed: false })
  })
})

describe('group reports', () => {
  it('carry the primary, the proof of its leadership and the acknowledged position', () => {
    const [reporter, receiver] = [createGroup(), createGroup()]
    updatePrimary(reporter.state, 'p', 3)
    recordLeadership(reporter.state, 'p', 1_000)
    recordCommit(reporter.state, 'p', 1_000, { term: 3, index: 7 }, 1_010)
    recordPrimaryResponse(reporter.state, 'p', 1_000, { term: 3, index: 7 }, 1_010)
    exchangeReport(reporter, receiver, 1_095, 1_100)
    expect(receiver.state.primary).to.deep.equal({ endpoint: 'p', term: 3 })
    expect(isPrimaryFresh(receiver.state, 0, 1_100)).to.equal(true)
    expect(findRequiredPosition(receiver.state, 1_500, 1_200)).to.deep.equal({ term: 3, index: 7 })
    expect(receiver.state.acknowledged).to.deep.equal({ term: 3, index: 7 })
  })

  it('never make a proof of leadership look younger than it is, however long they take to arrive', () => {
    const random = createSeededRandom(2)
    for (let run = 0; run < 1_000; run++) {
      const [reporter, receiver] = [createGroup(), createGroup()]
      updatePrimary(reporter.state, 'p', 1)
      const provenAtMs = 1_000 + random() * 100
      recordLeadership(reporter.state, 'p', provenAtMs)
      recordCommit(reporter.state, 'p', provenAtMs, { term: 1, index: 7 }, provenAtMs + 5)
      recordPrimaryResponse(reporter.state, 'p', provenAtMs, { term: 1, index: 7 }, provenAtMs + 5)
      const pollSentAtMs = provenAtMs + 5 + random() * 300
      exchangeReport(reporter, receiver, pollSentAtMs, pollSentAtMs + random() * 5_000)
      expect(receiver.state.leadershipLeaseEndsMs).to.be.at.most(provenAtMs + LEADER_LEASE_MS)
      expect(receiver.state.samples[0]?.atMs ?? 0).to.be.at.most(provenAtMs)
    }
  })

  it('prove nothing of a later term of the same endpoint, which leads again', () => {
    const [reporter, receiver] = [createGroup(), createGroup()]
    updatePrimary(reporter.state, 'p', 2)
    recordLeadership(reporter.state, 'p', 1_000)
    recordPrimaryResponse(reporter.state, 'p', 1_000, { term: 2, index: 7 }, 1_010)
    updatePrimary(receiver.state, 'p', 4)
    exchangeReport(reporter, receiver, 1_020, 1_020)
    expect(receiver.state.leadershipLeaseEndsMs).to.equal(-Infinity)
    expect(receiver.state.samples).to.deep.equal([])
  })

  it('do not make a VM take a primary for the leader again that it has found to be a replica', () => {
    const [reporter, receiver] = [createGroup(), createGroup()]
    updatePrimary(reporter.state, 'p', 2)
    updatePrimary(receiver.state, 'p', 2)
    receiver.resetPrimary()
    exchangeReport(reporter, receiver, 1_020, 1_020)
    expect(receiver.state.primary).to.equal(null)
    updatePrimary(reporter.state, 'q', 3)
    exchangeReport(reporter, receiver, 1_120, 1_120)
    expect(receiver.state.primary).to.deep.equal({ endpoint: 'q', term: 3 })
  })

  it('do not replace the primary by one of an older term', () => {
    const [reporter, receiver] = [createGroup(), createGroup()]
    updatePrimary(reporter.state, 'old', 1)
    recordLeadership(reporter.state, 'old', 1_000)
    recordCommit(reporter.state, 'old', 1_000, null, 1_010)
    updatePrimary(receiver.state, 'new', 2)
    exchangeReport(reporter, receiver, 1_020, 1_020)
    expect(receiver.state.primary).to.deep.equal({ endpoint: 'new', term: 2 })
    expect(isPrimaryFresh(receiver.state, 0, 1_030)).to.equal(false)
  })
})
