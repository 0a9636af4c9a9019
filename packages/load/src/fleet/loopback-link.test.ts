import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { expect } from 'chai'
import { LoopbackLink } from './loopback-link.ts'

const HOST = '127.0.0.1'

async function waitUntil (hasHappened: () => boolean): Promise<void> {
  while (!hasHappened()) await new Promise(resolve => setTimeout(resolve, 5))
}

describe('LoopbackLink', () => {
  let server: Server
  let link: LoopbackLink
  let port: number
  let received: string
  let accepted: Socket[]
  const clients: Socket[] = []

  async function openClient (): Promise<Socket> {
    const client = connect(port, HOST)
    client.on('error', () => {})
    clients.push(client)
    await once(client, 'connect')
    return client
  }

  beforeEach(async () => {
    received = ''
    accepted = []
    server = createServer(socket => {
      accepted.push(socket)
      socket.on('error', () => {})
      socket.on('data', chunk => {
        received += chunk.toString()
        socket.write(`echo ${chunk.toString()}`)
      })
    })
    await new Promise<void>(resolve => server.listen(0, HOST, resolve))
    link = new LoopbackLink({ host: HOST, port: (server.address() as AddressInfo).port })
    await link.start()
    port = link.port
  })

  afterEach(async () => {
    for (const c of clients.splice(0)) c.destroy()
    await link.stop()
    await new Promise(resolve => server.close(resolve))
  })

  it('forwards both directions, and closes the client when the server closes', async () => {
    const client = await openClient()
    client.write('one')
    const [response] = await once(client, 'data')
    expect(String(response)).to.equal('echo one')
    accepted[0]!.destroy()
    await once(client, 'close')
  })

  it('keeps connections open and discards data in a silent mode, in one direction or both, and resets them when the mode ends', async () => {
    const client = await openClient()
    const responses: string[] = []
    client.on('data', chunk => responses.push(String(chunk)))
    client.write('one')
    await waitUntil(() => responses.length === 1)
    link.setMode('silentToClient')
    client.write('two')
    await waitUntil(() => received === 'onetwo')
    link.setMode('silent')
    client.write('three')
    const secondClient = await openClient()
    secondClient.write('four')
    expect(client.destroyed).to.equal(false)
    expect(responses).to.deep.equal(['echo one'])
    link.setMode('open')
    await waitUntil(() => client.destroyed)
    expect(received).to.equal('onetwo')
  })

  it('resets open and new connections in reset mode', async () => {
    const client = await openClient()
    client.write('one')
    await waitUntil(() => received === 'one')
    link.setMode('reset')
    await waitUntil(() => client.destroyed)
    const refusedClient = connect(port, HOST)
    refusedClient.on('error', () => {})
    await waitUntil(() => refusedClient.destroyed)
    expect(received).to.equal('one')
  })

  it('stops after the server closed a connection while the link was silent', async () => {
    const client = await openClient()
    client.write('one')
    await waitUntil(() => received === 'one')
    link.setMode('silent')
    accepted[0]!.resetAndDestroy()
    await new Promise(resolve => setTimeout(resolve, 20))
    expect(client.destroyed).to.equal(false)
    await link.stop()
    await link.start()
  })

  it('delays data in each direction', async () => {
    const client = await openClient()
    link.setMode('open', 50)
    const startedAtMs = performance.now()
    client.write('one')
    await once(client, 'data')
    expect(performance.now() - startedAtMs).to.be.at.least(95)
  })
})
