import { createLogger } from '@camphorpitch/wire'
import { expect } from 'chai'
import type { Revocation } from '../failover/promotion-attempt.ts'
import type { ServiceGroup } from '../groups/service-group.ts'
import { VirtualClock } from '../testing/virtual-clock.ts'
import type { Fleet } from './fleet.ts'
import { FleetMessageHandler, type EndpointExchange, type FleetMessageHandlerOptions } from './fleet-message-handler.ts'
import {
  addMember,
  createMemberState,
  MISSING_KEPT_MS,
  recordLeft,
  recordPoll,
  recordReport,
  removeUnannounced,
  type MemberState
} from './members.ts'
import type { Report, VmEntry } from './message-schemas.ts'

const logger = createLogger({ process: 'test', level: 'silent' })
const NOW_MS = 30_000

function createEntry (vm: string): VmEntry {
  return { vm, host: '10.0.0.1', port: 7_500, failureDomain: 'north', region: 'r', incarnation: 1 }
}

/** Creates the members of a VM: one that responds, and one that has left polls unanswered for longer than a VM that may be running. */
function createMembers (): MemberState {
  const state = createMemberState(createEntry('vm-a'))
  for (const vm of ['vm-b', 'vm-silent']) addMember(state, createEntry(vm))
  state.hasMemberList = true
  for (const member of state.members.values()) recordPoll(member, 0)
  recordReport(state, 'vm-b', 0)
  return state
}

function createReport (members: MemberState, poll: { vmsKnown: number, lacksEndpoints?: boolean }, endpoints?: EndpointExchange): Report {
  const clock = new VirtualClock()
  clock.nowMs = NOW_MS
  const options = {
    clock,
    logger,
    self: members.self,
    members,
    endpoints,
    configuration: { version: 1, subscribe: () => {} },
    groups: { list: () => [] },
    quotas: { createDemandReport: () => [] }
  }
  const handler = new FleetMessageHandler(options as unknown as FleetMessageHandlerOptions)
  return handler.createHandlers().createReport('vm-c', { type: 'poll', sequence: 1, ...poll })
}

describe('report to a VM that the store has listed nothing to', () => {
  // Guards against a VM that picks others to count a limit than the rest of the fleet, as its list lacks some.
  it('lists all members, silent ones and the reporting VM included', () => {
    expect(createReport(createMembers(), { vmsKnown: 0 }).vms?.map(e => e.vm)).to.deep.equal(['vm-a', 'vm-b', 'vm-silent'])
  })

  it('lists none if the reporting VM may lack some itself', () => {
    const members = createMembers()
    members.incompleteUntilMs = NOW_MS + 1
    expect(createReport(members, { vmsKnown: 0 }).vms).to.equal(undefined)
    expect(createReport({ ...createMembers(), hasMemberList: false }, { vmsKnown: 0 }).vms).to.equal(undefined)
  })

  it('tells whether the reporting VM has the endpoints only if they are asked for', () => {
    const endpoints = { isListed: () => true, createOffer: () => null, applyOffer: () => {} }
    expect(createReport(createMembers(), { vmsKnown: 3, lacksEndpoints: true }, endpoints).hasEndpoints).to.equal(true)
    expect(createReport(createMembers(), { vmsKnown: 3 }, endpoints).hasEndpoints).to.equal(undefined)
  })
})

describe('a revocation of the leadership', () => {
  /** Revokes a leadership that `vm-b` confirms at once. */
  async function revoke (members: MemberState, nowMs: number, confirmation: object = {}): Promise<Revocation> {
    const clock = new VirtualClock()
    const group = {
      service: 's',
      state: { primary: { endpoint: 'p', term: 1 }, acknowledged: { term: 1, index: 9 }, lastCommitSentAtMs: nowMs, openOrder: null },
      formerPrimary: null,
      revokeLeadership: () => {}
    }
    const options = {
      clock,
      logger,
      self: members.self,
      members,
      configuration: { version: 1, subscribe: () => {} },
      groups: { list: () => [group] }
    }
    const handler = new FleetMessageHandler(options as unknown as FleetMessageHandlerOptions)
    clock.nowMs = nowMs
    const send = (vm: string, message: { type: string, attempt?: string }): void => {
      if (message.type !== 'revoke') return
      queueMicrotask(() => handler.createHandlers().handleMessage(
        vm,
        {
          type: 'revoked',
          service: 's',
          attempt: message.attempt!,
          endpoints: [],
          departures: [],
          lastCommitAgeMs: 0,
          uptimeMs: nowMs,
          hasMissingVms: false,
          ...confirmation
        }
      ))
    }
    handler.connect({ send } as unknown as Fleet, undefined as never, undefined as never)
    return await handler.createPromotionCallbacks().revoke(group as unknown as ServiceGroup, 2, false, 100)
  }

  function createRespondingMembers (nowMs: number): MemberState {
    const state = createMemberState(createEntry('vm-a'))
    state.hasMemberList = true
    for (const vm of ['vm-b', 'vm-c']) addMember(state, createEntry(vm))
    for (const vm of ['vm-b', 'vm-c']) recordReport(state, vm, nowMs)
    return state
  }

  // Guards against an order that passes over commits of a VM that runs, after other VMs have removed it (LOST).
  it('does not take the acknowledged positions for complete while a VM is missing that may still run', async () => {
    const members = createRespondingMembers(NOW_MS)
    expect((await revoke(members, NOW_MS)).hasEveryAcknowledgement).to.equal(true)
    removeUnannounced(members, 'vm-c', NOW_MS)
    expect((await revoke(members, NOW_MS)).hasEveryAcknowledgement).to.equal(false)
    const lateMs = NOW_MS + MISSING_KEPT_MS
    expect((await revoke(members, lateMs - 1)).hasEveryAcknowledgement).to.equal(false)
    expect((await revoke(members, lateMs)).hasEveryAcknowledgement).to.equal(true)
  })

  it('takes them for complete without a VM that has announced that it leaves', async () => {
    const members = createRespondingMembers(NOW_MS)
    removeUnannounced(members, 'vm-c', NOW_MS)
    recordLeft(members, 'vm-c', 1)
    expect((await revoke(members, NOW_MS)).hasEveryAcknowledgement).to.equal(true)
  })

  it('does not take them for complete if another VM misses one', async () => {
    expect((await revoke(createRespondingMembers(NOW_MS), NOW_MS, { hasMissingVms: true })).hasEveryAcknowledgement).to.equal(false)
  })
})
