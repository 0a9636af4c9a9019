import { createLogger, statementExplanationSchema } from '@camphorpitch/wire'
import { expect } from 'chai'
import { EndpointConnector, type EndpointConnection } from '../backend/endpoint-connector.ts'
import type { Configuration } from '../configuration/configuration.ts'
import { createMemberState } from '../fleet/members.ts'
import { addSample, recordLeadership } from '../freshness/group-state.ts'
import { ServiceGroup } from '../groups/service-group.ts'
import { gatewaySettingsSchema } from '../settings.ts'
import { VirtualClock } from '../testing/virtual-clock.ts'
import { createExplainedOperation, describeOperation, type OperationExplanation } from './explain-operation.ts'
import { LeavingControl } from './leaving-control.ts'
import type { Operation } from './operation.ts'
import { findReadTarget } from './read-targets.ts'
import { runRead } from './run-read.ts'
import { runWrite } from './run-write.ts'
import type { StatementContext } from './statement-context.ts'

class CountingConnector extends EndpointConnector {
  attempts = 0
  override async connect (): Promise<EndpointConnection> {
    this.attempts++
    return await new Promise(() => {})
  }
}

const configuration: Configuration = {
  version: 3,
  routes: [{ name: 'r', database: 'orders', service: 's', consistency: 'boundedStaleness', statementTimeoutMs: 50, objectiveMs: 40, priority: 1, maxStalenessMs: 60_000, isPublic: false }],
  services: [],
  workspaces: [{ name: 'lab', keys: [] }, { name: 'bound', keys: [], allowedRegions: ['c'] }],
  transactionIdleMs: 1_000
}

function createVm ({ isLeaving = false, evacuations = new Map() } = {}): { clock: VirtualClock, group: ServiceGroup, connector: CountingConnector, context: StatementContext, explain: (kind: 'read' | 'write' | 'transaction', workspace?: string) => { operation: Operation, explanation: OperationExplanation } } {
  const clock = new VirtualClock()
  const connector = new CountingConnector()
  const logger = createLogger({ process: 'test', level: 'silent' })
  const group = new ServiceGroup({ service: 's', connector, clock, logger, readLimits: () => ({ retainedConnections: 1, maxOpenConnections: 1 }), recordOpened: () => {}, listEvacuations: () => evacuations })
  for (const [endpoint, failureDomain] of [['home', 'a1'], ['near', 'a2'], ['primary', 'b1']] as const) {
    group.updateEntry({ endpoint, service: 's', address: '127.0.0.1:1', failureDomain, role: endpoint === 'primary' ? 'primary' : 'replica', isDraining: false, slots: 5, warmupLeftMs: 0, startedAtMs: 0 })
  }
  recordLeadership(group.state, 'primary', 0)
  addSample(group.state, { atMs: 0, position: { term: 1, index: 7 } })
  const location = { failureDomain: 'a1', regions: { a1: 'a', a2: 'a', b1: 'b' } }
  const members = createMemberState({ vm: 'vm-1', host: 'h', port: 1, failureDomain: 'a1', region: 'a', incarnation: 1 })
  let draws = 0
  const leaving = isLeaving ? new LeavingControl({ settings: gatewaySettingsSchema.shape.leaving.parse({ isEnabled: true })!, location, clock, logger, members, recordSent: () => {}, random: () => (draws++ * 0.618) % 1 }) : undefined
  const noop = (): void => {}
  const context: StatementContext = {
    clock,
    location,
    leaving,
    rollbackTimeoutMs: 1,
    verifyLeadership: async () => {},
    refreshPrimary: noop,
    estimateRecoveryMs: () => 700,
    logResponse: noop,
    recordRestoreRefusal: noop,
    logNoResponse: noop,
    recordUnleasedResponse: noop,
    recordRuledOut: () => { throw new Error('counted as a refusal') }
  }
  const explain = (kind: 'read' | 'write' | 'transaction', workspace = 'lab'): { operation: Operation, explanation: OperationExplanation } => {
    const operation = createExplainedOperation(configuration, workspace, 'orders', kind, clock.nowMs) as Operation
    return { operation, explanation: describeOperation(context, group, operation, kind) }
  }
  return { clock, group, connector, context, explain }
}

// Guards against an explanation that differs from what a statement meets.
describe('explanation of an operation', () => {
  it('names the endpoint that a read selects, with its inputs, and sends nothing', () => {
    const { group, context, connector, explain } = createVm()
    for (const slowMs of [null, 200]) {
      group.pools.get('home')!.health.averageResponseMs = slowMs
      const { operation, explanation } = explain('read')
      const target = findReadTarget(group, operation, new Set(), context.location, context.clock)
      expect(explanation.destinations).to.deep.equal([{ endpoint: typeof target === 'string' ? target : target.pool.entry.endpoint, share: 1 }])
      expect(explanation.destinations[0]!.endpoint).to.equal(slowMs === null ? 'home' : 'near')
      expect(statementExplanationSchema.parse({ vm: 'vm-1', configurationVersion: 3, ...explanation }).candidates).to.have.length(3)
    }
    expect(connector.attempts).to.equal(0)
  })

  it('names the shares by which reads are drawn with the setting leaving', () => {
    const { clock, group, context, explain } = createVm({ isLeaving: true })
    const counts: Record<string, number> = {}
    const leaving = context.leaving!
    const { operation } = explain('read')
    for (; clock.nowMs < 3_000; clock.nowMs += 20) {
      leaving.recordRead('s', group.pools.get('home')!, 200)
      findReadTarget(group, operation, new Set(), context.location, clock, 'read', leaving)
    }
    const { explanation } = explain('read')
    for (let i = 0; i < 1_000; i++) {
      const target = findReadTarget(group, operation, new Set(), context.location, clock, 'read', leaving)
      if (typeof target !== 'string') counts[target.pool.entry.endpoint] = (counts[target.pool.entry.endpoint] ?? 0) + 1
    }
    expect(explanation.leaving?.share).to.be.greaterThan(0.1)
    expect(explanation.destinations.map(d => d.endpoint).sort()).to.deep.equal(Object.keys(counts).sort())
    for (const { endpoint, share } of explanation.destinations) expect(counts[endpoint]! / 1_000).to.be.closeTo(share, 0.01)
  })

  it('gives the refusal that a statement gets: outside of the allowed regions, evacuated, without a primary, without an endpoint', async () => {
    const refusals: Array<[ReturnType<typeof createVm>, 'read' | 'write', string]> = [
      [createVm(), 'read', 'bound'], [createVm(), 'write', 'bound'],
      [createVm({ evacuations: new Map([['b1', { phase: 'closed', learnedAgeMs: 4_000, source: 'store' }]]) }), 'write', 'lab']
    ]
    const withoutPrimary = createVm()
    withoutPrimary.group.resetPrimary()
    refusals.push([withoutPrimary, 'write', 'lab'])
    const withoutEndpoints = createVm()
    for (const e of ['home', 'near', 'primary']) withoutEndpoints.group.removeEntry(e)
    refusals.push([withoutEndpoints, 'read', 'lab'])
    for (const [{ context, group, explain }, kind, workspace] of refusals) {
      const { operation, explanation } = explain(kind, workspace)
      const outcome = await (kind === 'read' ? runRead : runWrite)({ ...context, recordRuledOut: undefined }, group, operation)
      const readReason = (text: string | null): string => (text ?? 'none').replace(/ \d+ ms/, '')
      expect('refusal' in outcome && readReason(outcome.refusal.text)).to.equal(readReason(explanation.refusal))
      expect(explanation.refusal).to.match(/retry after \d+ ms/)
      expect(explanation.destinations).to.deep.equal([])
    }
  })

  it('names the primary for writes and rules out the replicas, and knows no other names', () => {
    const { explanation } = createVm().explain('write')
    expect(explanation.destinations).to.deep.equal([{ endpoint: 'primary', share: 1 }])
    expect(explanation.ruledOut.map(r => `${r.endpoint} ${r.reason}`)).to.deep.equal(['home not the primary', 'near not the primary'])
    expect(createExplainedOperation(configuration, 'lab', 'nowhere', 'read', 0)).to.deep.equal({ unknown: 'no database nowhere' })
    expect(createExplainedOperation(configuration, 'nobody', 'orders', 'read', 0)).to.deep.equal({ unknown: 'no workspace nobody' })
  })
})
