import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Writable } from 'node:stream'
import { type GatewayStatus } from '@camphorpitch/wire'
import { expect } from 'chai'
import { Cli } from 'clipanion'
import { gatewayCommands } from './gateway-commands.ts'

const status: GatewayStatus = {
  vm: 'vm-1',
  isReady: true,
  configurationVersion: 7,
  vms: { known: 8, heard: 6 },
  sessions: 25,
  services: [{ service: 'orders', primary: 'o-1', term: 3, isTrusted: false, acknowledged: { term: 3, index: 41 }, endpoints: 3, doubtful: [{ endpoint: 'o-2', doubts: ['lagging', 'avoided'] }] }],
  workspaces: [{ workspace: 'lab', demand: 30, allowed: 50, share: 0.125 }]
}

class TextStream extends Writable {
  text = ''
  override _write (chunk: Buffer, _encoding: string, done: () => void): void {
    this.text += chunk.toString()
    done()
  }
}

async function run (...args: string[]): Promise<{ code: number, out: string }> {
  const stream = new TextStream()
  const cli = new Cli({ binaryName: 'camphorpitch' })
  for (const c of gatewayCommands) cli.register(c)
  const code = await cli.run(args, { stdin: process.stdin, stdout: stream, stderr: stream, env: {} })
  return { code, out: stream.text }
}

describe('status of gateways', () => {
  let server: Server
  let body: unknown
  let address: string

  beforeEach(async () => {
    body = status
    server = createServer((request, response) => response.writeHead(request.url === '/status' ? 200 : 404).end(JSON.stringify(body)))
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  })

  afterEach(() => { server.close() })

  it('shows versions, primaries, positions, use of limits and doubtful endpoints', async () => {
    const { code, out } = await run('gateways', address)
    expect(code).to.equal(0)
    expect(out.split('\n').slice(0, 3)).to.deep.equal([
      'vm-1  ready  configuration 7  hears 6 of 8 vms  25 sessions',
      '  service orders  primary o-1 term 3 (not proven now)  acknowledged 3/41  3 endpoints  o-2: lagging, avoided',
      '  workspace lab  asks for 30 of 50 in a window  part 13%'
    ])
  })

  it('shows the same as JSON', async () => {
    const { code, out } = await run('gateways', '--json', address)
    expect(code).to.equal(0)
    expect(JSON.parse(out)).to.deep.equal([{ address, status }])
  })

  it('shows the others when one does not answer, and tells by the exit code', async () => {
    const closed = createServer()
    await new Promise<void>(resolve => closed.listen(0, '127.0.0.1', resolve))
    const { port } = closed.address() as AddressInfo
    await new Promise(resolve => closed.close(resolve))
    const { code, out } = await run('gateways', address, `127.0.0.1:${port}`)
    expect(code).to.equal(5)
    expect(out).to.include('vm-1  ready').and.to.include(`127.0.0.1:${port}  no answer`)
  })

  it('names what is not a status', async () => {
    body = { vm: 'vm-1' }
    const { code, out } = await run('gateways', address)
    expect(code).to.equal(5)
    expect(out).to.include('not a gateway\'s status: isReady')
  })
})
