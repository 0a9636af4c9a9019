import { createLogger } from '@camphorpitch/wire'
import { expect } from 'chai'
import { EndpointConnector, type EndpointConnection, type EndpointResponse, type EndpointStatus } from '../backend/endpoint-connector.ts'
import { ConnectionLostError } from '../backend/errors.ts'
import { ControlConnections } from '../failover/control-connections.ts'
import { LeadershipVerifier } from '../failover/verify-leadership.ts'
import { addSample, recordVerification } from '../freshness/group-state.ts'
import { ServiceGroup } from '../groups/service-group.ts'
import type { Operation } from '../statements/operation.ts'
import { openTransaction } from '../statements/pinned-transaction.ts'
import { runRead } from '../statements/run-read.ts'
import { runWrite } from '../statements/run-write.ts'
import type { StatementContext } from '../statements/statement-context.ts'
import { VirtualTime } from './virtual-time.ts'

const logger = createLogger({ process: 'test', level: 'silent' })
const TIMEOUT_MS = 1_000
const POSITION = { term: 1, index: 5 }
/** Times after which a call fails: at once, after others have answered, and after those who wait for it have given up. */
const FAILURE_DELAYS_MS = [0, 30, 5_000]
/** More than the number of calls of any of the actions. */
const MAX_CALLS = 12

/** Connects to endpoints of which one call, or each from that on, fails late or at once. */
class FailingConnector extends EndpointConnector {
  calls = 0
  shouldFail: (call: number) => boolean = () => false
  failureDelayMs = 0

  override async connect ({ endpoint }: { endpoint: string }): Promise<EndpointConnection> {
    await this.#call()
    const role = endpoint === 'p' ? 'primary' : 'replica'
    const status: EndpointStatus = { role, term: 1, received: POSITION, pausedForTerm: 0, lagMs: 0 }
    const respond = async (state: 'idle' | 'open' = 'idle'): Promise<EndpointResponse> => {
      await this.#call()
      return { rows: [], signature: 's', error: null, state, position: POSITION }
    }
    const readStatus = async (): Promise<EndpointStatus> => {
      await this.#call()
      return status
    }
    const commands = { run: respond, setValue: respond, prepare: respond, discard: respond, rollback: respond, commit: respond }
    return { isOpen: true, readStatus, ...commands, begin: async () => await respond('open'), subscribeClose: () => {}, close: () => {} } as unknown as EndpointConnection
  }

  async #call (): Promise<void> {
    const isFailing = this.shouldFail(++this.calls)
    await new Promise<void>(resolve => setTimeout(resolve, isFailing ? this.failureDelayMs : 10))
    if (isFailing) throw new ConnectionLostError('injected failure')
  }
}

const route: Operation['route'] = { name: 'r', database: 'd', service: 's', consistency: 'boundedStaleness', statementTimeoutMs: TIMEOUT_MS, objectiveMs: 400, priority: 1, maxStalenessMs: 500, isPublic: false }
const requiredState: Operation['requiredState'] = { session: 'x', sessionValues: new Map([['a', 'b']]), preparedStatements: new Map([['q', { mode: 'read', shape: 's' }]]) }

interface Fixture { group: ServiceGroup, verifier: LeadershipVerifier, context: StatementContext, operation: Operation }

/** What a VM does with the endpoints of a group. */
const actions: Record<string, (fixture: Fixture) => Promise<unknown>> = {
  'verification of leadership': async ({ verifier, group }) => await verifier.verifyLeadership(group, TIMEOUT_MS),
  'search for the primary': async ({ verifier, group }) => await verifier.findPrimary(group),
  'probe of the primary': async ({ verifier, group }) => await verifier.probePrimary(group),
  'sample of the primary': async ({ verifier, group }) => await verifier.readPrimaryPosition(group, TIMEOUT_MS),
  read: async ({ context, group, operation }) => await runRead(context, group, operation),
  write: async ({ context, group, operation }) => await runWrite(context, group, { ...operation, statement: { id: '1', text: 'WRITE', type: 'write' } }),
  'transaction that is rolled back': async ({ context, group, operation }) => {
    const opened = await openTransaction(context, group, operation, false)
    if ('refusal' in opened) return
    await opened.transaction.run(operation, false)
    opened.transaction.rollback()
  },
  'transaction that is committed': async ({ context, group, operation }) => {
    const opened = await openTransaction(context, group, operation, false)
    if ('refusal' in opened) return
    await opened.transaction.run(operation, true)
    await opened.transaction.commit({ ...operation, statement: { id: '2', text: 'COMMIT', type: 'commit' } })
  }
}

function createFixture (time: VirtualTime, connector: EndpointConnector, replicas: readonly string[]): Fixture {
  const group = new ServiceGroup({ service: 's', connector, clock: time, logger, readLimits: () => ({ retainedConnections: 1, maxOpenConnections: 2 }), recordOpened: () => {} })
  const startedAtMs = Date.now()
  for (const endpoint of ['p', ...replicas]) group.updateEntry({ endpoint, service: 's', address: `127.0.0.1:${endpoint}`, failureDomain: 'north', role: endpoint === 'p' ? 'primary' : 'replica', isDraining: false, slots: 3, warmupLeftMs: 0, startedAtMs })
  group.adoptPrimary('p', 1, 'test')
  recordVerification(group.state, 'p', time.readNow())
  addSample(group.state, { atMs: time.readNow(), position: POSITION })
  const verifier = new LeadershipVerifier({ clock: time, logger, control: new ControlConnections(connector) })
  const context: StatementContext = {
    clock: time,
    location: { failureDomain: 'north', regions: {} },
    verifyLeadership: async (g, ms) => await verifier.verifyLeadership(g, ms),
    refreshPrimary: () => {},
    estimateRecoveryMs: () => 0,
    rollbackTimeoutMs: TIMEOUT_MS,
    logResponse: () => {},
    recordUnleasedResponse: () => {},
    recordRestoreRefusal: () => {},
    logNoResponse: () => {}
  }
  const operation: Operation = { statement: { id: '1', text: 'EXECUTE q', type: 'execute', name: 'q' }, requiredState, preparedName: 'q', workspace: 'w', route, sessionPosition: null, receivedAtMs: time.readNow() }
  return { group, verifier, context, operation }
}

describe('failures of calls to endpoints', () => {
  for (const [name, act] of Object.entries(actions)) {
    // Review case 2: a promise that nobody awaited ended the process. `scripts/fail-on-rejections.js` fails the test then.
    it(`leave no promise that rejects without a handler, and end the ${name}, whichever call fails`, async () => {
      for (const failureDelayMs of FAILURE_DELAYS_MS) {
        for (const replicas of [['a'], ['a', 'b']]) {
          for (let failing = 1; failing <= MAX_CALLS; failing++) {
            for (const isLasting of [false, true]) {
              const time = new VirtualTime()
              time.start()
              try {
                const connector = new FailingConnector()
                Object.assign(connector, { failureDelayMs, shouldFail: (call: number) => isLasting ? call >= failing : call === failing })
                let hasEnded = false
                const action = act(createFixture(time, connector, replicas)).finally(() => { hasEnded = true })
                await time.advance(10_000)
                expect(hasEnded, `call ${failing} fails after ${failureDelayMs} ms`).to.equal(true)
                await action
              } finally {
                time.stop()
              }
            }
          }
        }
      }
      await new Promise(resolve => setImmediate(resolve))
    })
  }
})
