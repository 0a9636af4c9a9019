import { createLogger } from '@camphorpitch/wire'
import { expect } from 'chai'
import { EndpointConnector, type EndpointConnection } from '../backend/endpoint-connector.ts'
import type { EndpointEntry } from '../directory/endpoint-entry.ts'
import { addSample, recordLeadership } from '../freshness/group-state.ts'
import { MAX_DRAINING_USE_MS, ServiceGroup } from '../groups/service-group.ts'
import { VirtualClock } from '../testing/virtual-clock.ts'
import type { Operation } from './operation.ts'
import { findReadTarget } from './read-targets.ts'

class NoConnector extends EndpointConnector {
  override async connect (): Promise<EndpointConnection> { return await new Promise(() => {}) }
}

function createEntry (endpoint: string, options: Partial<EndpointEntry> = {}): EndpointEntry {
  return { endpoint, service: 's', address: '127.0.0.1:1', failureDomain: 'north', role: 'replica', isDraining: false, slots: 3, warmupLeftMs: 0, startedAtMs: 0, ...options }
}

const operation: Operation = {
  statement: { id: '1', text: 'READ 1', type: 'read' },
  requiredState: { session: 'x', sessionValues: new Map(), preparedStatements: new Map() },
  preparedName: null,
  workspace: 'lab',
  route: { name: 'r', database: 'd', service: 's', consistency: 'boundedStaleness', statementTimeoutMs: 1_000, objectiveMs: 400, priority: 1, maxStalenessMs: 1_500, isPublic: false },
  sessionPosition: null,
  receivedAtMs: 0
}
const location = { failureDomain: 'north', regions: {} }

function createGroup (clock: VirtualClock): ServiceGroup {
  const group = new ServiceGroup({ service: 's', connector: new NoConnector(), clock, logger: createLogger({ process: 'test', level: 'silent' }), readLimits: () => ({ retainedConnections: 1, maxOpenConnections: 1 }), recordOpened: () => {} })
  group.updateEntry(createEntry('p', { role: 'primary' }))
  group.updateEntry(createEntry('a'))
  group.updateEntry(createEntry('b'))
  recordLeadership(group.state, 'p', clock.nowMs)
  addSample(group.state, { atMs: clock.nowMs, position: { term: 1, index: 7 } })
  return group
}

const findTargetName = (group: ServiceGroup, clock: VirtualClock, tried: string[] = [], op = operation): string => {
  const target = findReadTarget(group, op, new Set(tried), location, clock)
  return typeof target === 'string' ? target : target.pool.entry.endpoint
}

describe('read targets', () => {
  it('selects no draining endpoint while others remain, even for a read that has tried all of these', () => {
    const clock = new VirtualClock()
    const group = createGroup(clock)
    group.updateEntry(createEntry('a', { isDraining: true }))
    expect(findTargetName(group, clock)).to.equal('b')
    expect(findTargetName(group, clock, ['b', 'p'])).to.equal('none')
  })

  it('selects draining endpoints for a limited time when all endpoints are draining', () => {
    const clock = new VirtualClock()
    const group = createGroup(clock)
    for (const e of ['p', 'a', 'b']) group.updateEntry(createEntry(e, { isDraining: true, role: e === 'p' ? 'primary' : 'replica' }))
    expect(findTargetName(group, clock)).to.not.equal('none')
    clock.nowMs = MAX_DRAINING_USE_MS
    addSample(group.state, { atMs: clock.nowMs, position: { term: 1, index: 9 } })
    expect(findTargetName(group, clock)).to.equal('none')
  })

  it('requires the position of the session\'s last write when it is later than the group\'s', () => {
    const clock = new VirtualClock()
    const group = createGroup(clock)
    const target = findReadTarget(group, { ...operation, sessionPosition: { term: 1, index: 12 } }, new Set(), location, clock)
    expect(target).to.have.nested.property('requiredPosition.index', 12)
  })

  it('sends reads of the primary consistency level to the primary only while its leadership is verified', () => {
    const clock = new VirtualClock()
    const group = createGroup(clock)
    const strict = { ...operation, route: { ...operation.route, consistency: 'primary' as const } }
    clock.nowMs = 100
    expect(findTargetName(group, clock, [], strict)).to.equal('p')
    clock.nowMs = 60_000
    expect(findTargetName(group, clock, [], strict)).to.equal('unproven')
  })
})
