import { createLogger } from '@camphorpitch/wire'
import { expect } from 'chai'
import { EndpointConnector, type EndpointConnection } from '../backend/endpoint-connector.ts'
import { ConfigurationHolder } from '../configuration/configuration-holder.ts'
import { addMember, createMemberState, recordPoll } from '../fleet/members.ts'
import { VirtualClock } from '../testing/virtual-clock.ts'
import { GroupTable } from './group-table.ts'

const logger = createLogger({ process: 'test', level: 'silent' })
const vmEntry = { host: '127.0.0.1', port: 1, region: 'r', incarnation: 1 }

class CountingConnector extends EndpointConnector {
  count = 0
  override async connect (): Promise<EndpointConnection> {
    this.count++
    return await new Promise(() => {})
  }
}

/** Counts the connections that a VM which has just started opens to a primary at once. */
function countOpened (otherVms: number, unresponsiveVms = 0): number {
  const clock = new VirtualClock()
  const connector = new CountingConnector()
  const members = createMemberState({ ...vmEntry, vm: 'vm', failureDomain: 'd0' })
  for (let i = 0; i < otherVms; i++) addMember(members, { ...vmEntry, vm: `vm${i}`, failureDomain: `d${i % 6}` })
  for (const member of [...members.members.values()].slice(0, unresponsiveVms)) recordPoll(member, clock.readNow())
  clock.nowMs = 2_000
  const configuration = new ConfigurationHolder(logger)
  configuration.apply({ version: 1, routes: [], services: [{ name: 's', maxConnections: 180, syncReplicas: 1 }], workspaces: [], transactionIdleMs: 1_000 }, 'test', 0)
  const table = new GroupTable({ connector, clock, logger, configuration, members, recordOpened: () => {}, checkRole: () => {}, handleDeparture: () => {} })
  table.applyChanges([{ event: 'added', entry: { endpoint: 'p', service: 's', address: '127.0.0.1:1', failureDomain: 'd0', role: 'primary', isDraining: false, slots: 4, warmupLeftMs: 0, startedAtMs: 1 } }])
  const pool = table.find('s')!.pools.get('p')!
  for (let i = 0; i < 200; i++) pool.acquire({ workspace: `w${i}`, session: `s${i}`, priority: 1, waitMs: 1 }).catch(() => {}) // Its end is not waited for.
  return connector.count
}

describe('connections that a VM may open', () => {
  it('count the whole fleet right after a start, when few of the others have answered a poll', () => {
    expect(countOpened(194)).to.be.at.most(3)
  })

  it('do not count VMs that are known not to respond', () => {
    expect(countOpened(194, 180)).to.be.greaterThan(10)
  })
})
