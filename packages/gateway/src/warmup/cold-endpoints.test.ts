import { createLogger } from '@camphorpitch/wire'
import { expect } from 'chai'
import { EndpointConnection, EndpointConnector, type EndpointResponse, type EndpointStatus } from '../backend/endpoint-connector.ts'
import { ConfigurationHolder } from '../configuration/configuration-holder.ts'
import type { EndpointEntry } from '../directory/endpoint-entry.ts'
import type { ActiveEvacuation } from '../evacuation/evacuations.ts'
import { pickCandidate, type FencedEndpoint } from '../failover/decide-promotion.ts'
import { createMemberState } from '../fleet/members.ts'
import { addSample, recordLeadership } from '../freshness/group-state.ts'
import { ServiceGroup } from '../groups/service-group.ts'
import type { Operation } from '../statements/operation.ts'
import { openTransaction } from '../statements/pinned-transaction.ts'
import { findReadTarget } from '../statements/read-targets.ts'
import { runRead } from '../statements/run-read.ts'
import { runWrite } from '../statements/run-write.ts'
import type { StatementContext } from '../statements/statement-context.ts'
import { MemoryStore, MemoryStoreState } from '../testing/memory-store.ts'
import { VirtualClock } from '../testing/virtual-clock.ts'
import { WarmupLimits } from './warmup-limits.ts'

const logger = createLogger({ process: 'test', level: 'silent' })
const location = { failureDomain: 'north', regions: {} }

/** Counts the statements that endpoints got. */
class FakeConnection extends EndpointConnection {
  override readonly startPosition = null
  override isOpen = true
  readonly #sent: string[]
  readonly #endpoint: string

  constructor (sent: string[], endpoint: string) {
    super()
    this.#sent = sent
    this.#endpoint = endpoint
  }

  override async run (id: string): Promise<EndpointResponse> { return this.#respond(id, 'idle') }
  override async begin (id: string): Promise<EndpointResponse> { return this.#respond(id, 'open') }
  override async rollback (): Promise<EndpointResponse> { return this.#respond('rollback', 'idle') }
  override async setValue (): Promise<EndpointResponse> { return this.#respond('-', 'idle') }
  override async prepare (): Promise<EndpointResponse> { return this.#respond('-', 'idle') }
  override async closeStatement (): Promise<EndpointResponse> { return this.#respond('-', 'idle') }
  override async discard (): Promise<EndpointResponse> { return this.#respond('-', 'idle') }
  override async readStatus (): Promise<EndpointStatus | null> { return null }
  override async pause (): Promise<EndpointStatus | null> { return null }
  override async resume (): Promise<EndpointStatus | null> { return null }
  override async demote (): Promise<EndpointStatus | null> { return null }
  override subscribeClose (): void {}
  override close (): void { this.isOpen = false }

  #respond (id: string, state: 'idle' | 'open'): EndpointResponse {
    this.#sent.push(`${this.#endpoint} ${id}`)
    return { rows: [], signature: null, error: null, state, position: null }
  }
}

function makeEntry (endpoint: string, warmupLeftMs: number): EndpointEntry {
  return { endpoint, service: 's', address: '127.0.0.1:1', failureDomain: 'north', role: endpoint === 'p' ? 'primary' : 'replica', isDraining: false, slots: 3, warmupLeftMs, startedAtMs: 1 }
}

function createOperation (id: string, type: 'read' | 'write'): Operation {
  return {
    statement: { id, text: `${type} 1`, type },
    requiredState: { session: 'x', sessionValues: new Map(), preparedStatements: new Map() },
    preparedName: null,
    workspace: 'lab',
    route: { name: 'r', database: 'd', service: 's', consistency: 'boundedStaleness', statementTimeoutMs: 1_000, objectiveMs: 400, priority: 1, maxStalenessMs: 1_500, isPublic: false },
    sessionPosition: null,
    receivedAtMs: 0
  }
}

interface Setup { group: ServiceGroup, sent: string[], clock: VirtualClock, context: StatementContext, evacuations: Map<string, ActiveEvacuation> }

/** @param cold names of the endpoints that are warming up; `p` is the primary, `a` and `b` are replicas */
async function createSetup ({ cold, isLimited = true, requestsPerSecond = 2 }: { cold: string[], isLimited?: boolean, requestsPerSecond?: number }): Promise<Setup> {
  const clock = new VirtualClock()
  const sent: string[] = []
  const evacuations = new Map<string, ActiveEvacuation>()
  class FakeConnector extends EndpointConnector {
    override async connect ({ endpoint }: { endpoint: string }): Promise<EndpointConnection> { return new FakeConnection(sent, endpoint) }
  }
  const state = new MemoryStoreState()
  const members = createMemberState({ vm: 'vm', host: 'h', port: 1, failureDomain: 'north', region: 'r', incarnation: 1 })
  members.hasMemberList = true
  const configuration = new ConfigurationHolder(logger)
  const warmup = isLimited ? { durationS: 6, requestsPerSecond } : undefined
  configuration.apply({ version: 1, routes: [], services: [{ name: 's', maxConnections: 9, syncReplicas: 1, warmup }], workspaces: [], transactionIdleMs: 1_000 }, 'test', 0)
  const limits = new WarmupLimits({ tolerance: { overshoot: 1, slack: 0 }, clock, logger, store: new MemoryStore(state), members, configuration, applyEndpoints: () => {}, isStoreRecovering: () => false, recordDecision: () => {} })
  const group = new ServiceGroup({ service: 's', connector: new FakeConnector(), clock, logger, readLimits: () => ({ retainedConnections: 3, maxOpenConnections: 3 }), recordOpened: () => {}, warmup: limits, listEvacuations: () => evacuations })
  for (const endpoint of ['p', 'a', 'b']) {
    const entry = makeEntry(endpoint, cold.includes(endpoint) ? 6_000 : 0)
    state.replace('endpoints', endpoint, entry)
    group.updateEntry(entry)
  }
  const context: StatementContext = {
    clock,
    location,
    verifyLeadership: async () => {},
    refreshPrimary: () => {},
    estimateRecoveryMs: () => 0,
    rollbackTimeoutMs: 100,
    logResponse: () => {},
    recordUnleasedResponse: () => {},
    recordRestoreRefusal: () => {},
    logNoResponse: () => {}
  }
  // The first connection to each endpoint, the shares and the confirmation of its start.
  for (const pool of group.pools.values()) pool.release(await pool.acquire({ workspace: 'lab', session: 'x', priority: 1, waitMs: 100 }), true)
  const prove = (): void => {
    recordLeadership(group.state, 'p', clock.nowMs)
    addSample(group.state, { atMs: clock.nowMs, position: { term: 1, index: 7 } })
  }
  for (let i = 0; i < 20; i++) {
    clock.nowMs += 10
    prove()
    for (const pool of group.pools.values()) group.hasWarmupPermit(pool)
    await new Promise(resolve => setImmediate(resolve))
  }
  return { group, sent, clock, context, evacuations }
}

describe('cold endpoints', () => {
  it('run no read while a healthy warm endpoint can run it', async () => {
    const { group, context, sent, clock } = await createSetup({ cold: ['a', 'b'] })
    for (let i = 0; i < 5; i++) await runRead(context, group, { ...createOperation(`${i}`, 'read'), receivedAtMs: clock.nowMs })
    expect(sent).to.deep.equal([0, 1, 2, 3, 4].map(i => `p ${i}`))
  })

  it('run reads up to this VM\'s share if all endpoints are cold, and further ones are refused with the time of the next permit', async () => {
    const { group, context, sent, clock } = await createSetup({ cold: ['p', 'a', 'b'] })
    const outcomes = []
    for (let i = 0; i < 7; i++) outcomes.push(await runRead(context, group, { ...createOperation(`${i}`, 'read'), receivedAtMs: clock.nowMs }))
    expect(sent).to.have.length(6)
    expect(outcomes[6]).to.have.nested.property('refusal.text').that.matches(/is warming up \(share used\); retry after (1020|1\d\d\d) ms/)
  })

  it('get no write beyond the share, and it is refused before it is sent', async () => {
    const { group, context, sent, clock } = await createSetup({ cold: ['p'] })
    const outcomes = []
    for (let i = 0; i < 3; i++) outcomes.push(await runWrite(context, group, { ...createOperation(`${i}`, 'write'), receivedAtMs: clock.nowMs }))
    expect(sent).to.deep.equal(['p 0', 'p 1'])
    expect(outcomes[2]).to.have.nested.property('refusal.code', 'busy')
  })

  it('get the statements of an open transaction once permits are available again', async () => {
    const { group, context, sent, clock } = await createSetup({ cold: ['p'], requestsPerSecond: 1 })
    const opened = await openTransaction(context, group, { ...createOperation('0', 'write'), receivedAtMs: clock.nowMs }, false)
    if (!('transaction' in opened)) throw new Error(`not opened: ${JSON.stringify(opened)}`)
    const operation = createOperation('1', 'write')
    const pendingOutcome = opened.transaction.run({ ...operation, route: { ...operation.route, statementTimeoutMs: 3_000 }, receivedAtMs: clock.nowMs }, true)
    await new Promise(resolve => setTimeout(resolve, 50))
    expect(sent).to.deep.equal(['p 0'])
    clock.nowMs += 1_100
    await pendingOutcome
    expect(sent.slice(0, 2)).to.deep.equal(['p 0', 'p 1'])
  })

  it('get no statement of an open transaction that has waited for its permit until their failure domain was evacuated', async () => {
    const { group, context, sent, clock, evacuations } = await createSetup({ cold: ['p'], requestsPerSecond: 1 })
    const opened = await openTransaction(context, group, { ...createOperation('0', 'write'), receivedAtMs: clock.nowMs }, false)
    if (!('transaction' in opened)) throw new Error(`not opened: ${JSON.stringify(opened)}`)
    const operation = createOperation('1', 'write')
    const pendingOutcome = opened.transaction.run({ ...operation, route: { ...operation.route, statementTimeoutMs: 3_000 }, receivedAtMs: clock.nowMs }, true)
    await new Promise(resolve => setTimeout(resolve, 50))
    evacuations.set('north', { phase: 'closed', closesInMs: 0, learnedAgeMs: 3_000, source: 'test' })
    clock.nowMs += 1_100
    expect(await pendingOutcome).to.have.nested.property('refusal.code', 'aborted')
    expect(sent).to.deep.equal(['p 0'])
  })

  it('are used like others where the service has no limit', async () => {
    const { group, clock } = await createSetup({ cold: ['p', 'a', 'b'], isLimited: false })
    for (let i = 0; i < 50; i++) expect(findReadTarget(group, createOperation(`${i}`, 'read'), new Set(), location, clock)).to.be.an('object')
  })

  it('are promoted after a warm one at the same position', () => {
    const fenced: FencedEndpoint[] = ['a', 'b'].map(endpoint => ({ endpoint, term: 1, received: { term: 1, index: 7 }, isDraining: false, ageMs: 60_000, isOldPrimary: false, isCold: endpoint === 'a' }))
    expect(pickCandidate({ fenced, unfencedReplicas: 0, acknowledged: null, hasEveryVmConfirmed: true })?.endpoint).to.equal('b')
  })
})
