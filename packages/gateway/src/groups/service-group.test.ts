import { createLogger } from '@camphorpitch/wire'
import { expect } from 'chai'
import type { EndpointConnector, EndpointResponse } from '../backend/endpoint-connector.ts'
import type { EndpointEntry } from '../directory/endpoint-entry.ts'
import { applyGroupReport } from '../fleet/group-reports.ts'
import type { GroupReport } from '../fleet/message-schemas.ts'
import { hasLeadershipLease, recordLeadership } from '../freshness/group-state.ts'
import { VirtualClock } from '../testing/virtual-clock.ts'
import { ServiceGroup } from './service-group.ts'

const TIMEOUT_MS = 1_000

describe('the known primary of a group', () => {
  const entry: EndpointEntry = { endpoint: 'p', service: 's', address: '127.0.0.1:1', failureDomain: 'north', role: 'primary', isDraining: false, slots: 3, warmupLeftMs: 0, startedAtMs: 0 }

  function createGroup (): { group: ServiceGroup, clock: VirtualClock, inquiries: string[] } {
    const inquiries: string[] = []
    const clock = new VirtualClock()
    clock.nowMs = 10_000
    const group = new ServiceGroup({ service: 's', connector: {} as EndpointConnector, clock, logger: createLogger({ process: 'test', level: 'silent' }), readLimits: () => ({ retainedConnections: 1, maxOpenConnections: 1 }), recordOpened: () => {}, handlePrimaryDoubt: g => inquiries.push(g.service) })
    group.updateEntry(entry)
    group.updateEntry({ ...entry, endpoint: 'a', role: 'replica' })
    group.adoptPrimary('p', 2, 'test')
    return { group, clock, inquiries }
  }

  async function respond (group: ServiceGroup, endpoint: string, term: number): Promise<void> {
    const response: EndpointResponse = { rows: [], signature: 's', error: null, state: 'idle', position: { term, index: 7 } }
    await group.runStatement(group.pools.get(endpoint)!, false, TIMEOUT_MS, async () => response)
  }

  // Review case 1: it had stepped down, and reads that must see every write ran there although another endpoint led.
  it('does not lead a later term because it responds with a position of that term', async () => {
    const { group, clock, inquiries } = createGroup()
    recordLeadership(group.state, 'p', clock.nowMs)
    await respond(group, 'p', 3)
    expect(group.state.primary).to.deep.equal({ endpoint: 'p', term: 2 })
    expect(group.state.samples).to.deep.equal([])
    expect(inquiries).to.deep.equal(['s'])
  })

  it('has not responded as the primary when its position is of a later term, which it may follow', async () => {
    const { group } = createGroup()
    await respond(group, 'p', 3)
    expect(group.state.lastResponseAtMs).to.equal(-Infinity)
  })

  it('is replaced by the endpoint that leads the later term, although it has responded with a position of that term before', async () => {
    const { group, clock } = createGroup()
    recordLeadership(group.state, 'p', clock.nowMs)
    await respond(group, 'p', 3)
    group.adoptPrimary('a', 3, 'promoted')
    expect(group.state.primary).to.deep.equal({ endpoint: 'a', term: 3 })
    expect(hasLeadershipLease(group.state, 'p', clock.nowMs)).to.equal(false)
  })

  // A VM that knows a wrong one by the report of another VM, or by an outcome, held on to it until the next term.
  it('is replaced by an endpoint that itself tells that it leads that term, whatever other VMs have reported', async () => {
    const { group, clock } = createGroup()
    group.adoptPrimary('p', 3, 'vm of an earlier build')
    recordLeadership(group.state, 'p', clock.nowMs)
    group.adoptPrimary('a', 3, 'role check', true)
    expect(group.state.primary).to.deep.equal({ endpoint: 'a', term: 3 })
    expect(hasLeadershipLease(group.state, 'p', clock.nowMs)).to.equal(false)
    group.adoptPrimary('p', 3, 'vm of an earlier build')
    expect(group.state.primary).to.deep.equal({ endpoint: 'a', term: 3 })
  })

  it('has the endpoints asked for their roles when another VM knows another one for its term, until one has told that it leads', async () => {
    const { group, inquiries } = createGroup()
    const report: GroupReport = { service: 's', primary: 'a', term: 2, leadershipAgeMs: 0, sample: null, acknowledged: null, acknowledgedAgeMs: null, primaryResponseAgeMs: 0, pendingWriteAgeMs: 0 }
    applyGroupReport(group, 'vm-2', report, 10_000)
    expect(group.state.primary).to.deep.equal({ endpoint: 'p', term: 2 })
    expect(inquiries).to.deep.equal(['s'])
    group.adoptPrimary('p', 2, 'role check', true)
    applyGroupReport(group, 'vm-2', report, 10_000)
    expect(inquiries).to.deep.equal(['s'])
  })

  it('is neither one of an earlier term nor another one of its term, of which an outcome tells after it was found not to lead any more', async () => {
    const { group } = createGroup()
    group.adoptPrimary('a', 4, 'role check', true)
    group.resetPrimary()
    group.adoptPrimary('p', 3, 'promoted')
    group.adoptPrimary('p', 4, 'promoted')
    expect(group.state.primary).to.equal(null)
    group.adoptPrimary('p', 5, 'promoted')
    expect(group.state.primary).to.deep.equal({ endpoint: 'p', term: 5 })
  })

  // An attempt to replace it must know the term that it replaces, or no attempt ever gets further.
  it('is known again by its term if a VM that replaces it learns that another one still knows it', () => {
    const { group } = createGroup()
    group.adoptPrimary('a', 4, 'role check', true)
    group.resetPrimary()
    group.adoptPrimary('a', 4, 'promotion attempt')
    expect(group.state.primary).to.deep.equal({ endpoint: 'a', term: 4 })
  })

  it('is asked for nothing while its positions are of the term that it leads', async () => {
    const { group, inquiries } = createGroup()
    await respond(group, 'p', 2)
    expect(inquiries).to.deep.equal([])
  })
})
