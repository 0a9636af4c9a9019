import { createLogger } from '@camphorpitch/wire'
import { expect } from 'chai'
import type { ResponseError, ClientStatement } from '../backend/statement.ts'
import { ClientTransport, type ClientResponse, type InputState } from '../clients/client-listener.ts'
import type { Configuration } from '../configuration/configuration.ts'
import type { Operation, Outcome } from '../statements/operation.ts'
import { VirtualClock } from '../testing/virtual-clock.ts'
import { ClientSession } from './client-session.ts'
import type { SessionHost } from './session-host.ts'

const configuration: Configuration = {
  version: 1,
  routes: [{ name: 'r', database: 'orders', service: 's', consistency: 'primary', statementTimeoutMs: 1_000, objectiveMs: 400, priority: 1, maxStalenessMs: 0, isPublic: false }],
  services: [],
  workspaces: [{ name: 'lab', keys: ['k'] }],
  transactionIdleMs: 3_000
}

class RecordingTransport extends ClientTransport {
  readonly responses: ClientResponse[] = []
  isClosed = false
  override sendWelcome (): void {}
  override sendRefusal (): void { this.isClosed = true }
  override sendResponse (response: ClientResponse): void { this.responses.push(response) }
  override close (): void { this.isClosed = true }
  override readInputState (): InputState { return { incompleteBytes: 0, sinceLastByteMs: null } }
}

function createHost (run: (operation: Operation) => Promise<Outcome>): SessionHost {
  return {
    clock: new VirtualClock(),
    logger: createLogger({ process: 'test', level: 'silent' }),
    waitForConfiguration: async () => configuration,
    readConfiguration: () => configuration,
    readTransactionIdleTimeoutMs: () => 3_000,
    admitOperation: async (): Promise<ResponseError | null> => null,
    runRead: run,
    runWrite: run,
    openTransaction: async () => ({ refusal: { code: 'busy', text: '' } }),
    recordOutcome: () => {},
    recordSessionEnd: () => {},
    removeSession: () => {}
  }
}

const writeStatement: ClientStatement = { id: '7f', text: 'WRITE 1 x', type: 'write' }
const waitForEventLoopTurn = async (): Promise<void> => await new Promise(resolve => setImmediate(resolve))

describe('client session', () => {
  it('does not run a statement that arrives after the session was closed', async () => {
    const executedIds: string[] = []
    const transport = new RecordingTransport()
    const session = new ClientSession('s', createHost(async operation => {
      executedIds.push(operation.statement.id)
      return { refusal: { code: 'busy', text: '' } }
    }), transport)
    session.handleStartup('orders', 'k')
    await waitForEventLoopTurn()
    session.closeWhenIdle()
    expect(transport.isClosed).to.equal(true)
    session.handleStatement(writeStatement)
    await waitForEventLoopTurn()
    expect(executedIds).to.deep.equal([])
  })

  it('sends the response to a running statement before it closes', async () => {
    let finish: (outcome: Outcome) => void = () => {}
    const transport = new RecordingTransport()
    const session = new ClientSession('s', createHost(async () => await new Promise(resolve => { finish = resolve })), transport)
    session.handleStartup('orders', 'k')
    await waitForEventLoopTurn()
    session.handleStatement(writeStatement)
    await waitForEventLoopTurn()
    session.closeWhenIdle()
    expect(transport.isClosed).to.equal(false)
    finish({ response: { rows: [], signature: 'x', error: null, state: 'idle', position: null }, endpoint: 'e' })
    await waitForEventLoopTurn()
    expect(transport.responses).to.have.length(1)
    expect(transport.isClosed).to.equal(true)
  })
})
