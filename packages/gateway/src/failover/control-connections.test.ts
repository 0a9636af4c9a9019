import { zeroPosition } from '@camphorpitch/wire'
import { expect } from 'chai'
import { EndpointConnector, type EndpointConnection, type EndpointStatus } from '../backend/endpoint-connector.ts'
import { ConnectionLostError } from '../backend/errors.ts'
import { VirtualTime } from '../testing/virtual-time.ts'
import { ControlConnections } from './control-connections.ts'

const target = { endpoint: 'a', service: 'orders', address: '127.0.0.1:1' }
const status: EndpointStatus = { role: 'replica', term: 1, received: zeroPosition, pausedForTerm: 0, lagMs: 0 }

/** Opens connections whose endpoint answers each command after a time; a connection that is closed answers nothing more. */
class DelayedConnector extends EndpointConnector {
  opened = 0
  closed = 0
  answerMs: number

  constructor (answerMs: number) {
    super()
    this.answerMs = answerMs
  }

  override async connect (): Promise<EndpointConnection> {
    this.opened++
    const pending = new Set<(error: Error) => void>()
    const readStatus = async (): Promise<EndpointStatus> => await new Promise((resolve, reject) => {
      pending.add(reject)
      setTimeout(() => resolve(status), this.answerMs)
    })
    const close = (): void => {
      this.closed++
      for (const reject of pending) reject(new ConnectionLostError('connection ended before the answer'))
    }
    return { readStatus, close, subscribeClose: () => {} } as unknown as EndpointConnection
  }
}

describe('control connections', () => {
  let time: VirtualTime
  let connector: DelayedConnector
  let control: ControlConnections
  let failures: string[]

  const readStatus = (): void => {
    control.run(target, async c => await c.readStatus()).catch((error: Error) => { failures.push(`${time.readNow()}: ${error.message}`) })
  }

  beforeEach(() => {
    time = new VirtualTime()
    time.start()
    connector = new DelayedConnector(60)
    control = new ControlConnections(connector)
    failures = []
  })

  afterEach(() => time.stop())

  // Guards against a VM that closes its own connection while commands wait on it, and then takes the endpoint for silent.
  it('keeps a connection open while commands overlap on it for longer than the idle time', async () => {
    for (let i = 0; i < 100; i++) {
      readStatus()
      readStatus()
      await time.advance(40)
    }
    await time.advance(400)
    expect(failures).to.deep.equal([])
    expect(connector.opened).to.equal(1)
  })

  // Guards against one late response that makes all later commands fail, one connection after another.
  it('fails only the commands that were not answered in time, and keeps the connection that was opened since', async () => {
    connector.answerMs = 450
    readStatus()
    await time.advance(380)
    connector.answerMs = 60
    readStatus()
    await time.advance(40)
    for (let i = 0; i < 100; i++) {
      readStatus()
      await time.advance(40)
    }
    await time.advance(400)
    expect(failures).to.deep.equal(['400: no response to a control command in time'])
    expect(connector.opened).to.equal(2)
  })

  // Guards against control connections that stay open at an endpoint which counts them.
  it('closes a connection once it was idle, and one that a command failed on once no command waits on it', async () => {
    readStatus()
    await time.advance(1_700)
    expect([connector.opened, connector.closed]).to.deep.equal([1, 1])
    connector.answerMs = 450
    readStatus()
    await time.advance(100)
    connector.answerMs = 350
    readStatus()
    await time.advance(320)
    expect([connector.opened, connector.closed]).to.deep.equal([2, 1])
    await time.advance(40)
    expect([connector.opened, connector.closed]).to.deep.equal([2, 2])
  })
})
