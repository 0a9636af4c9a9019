import { type ResponseFrame, createLogger, MonotonicClock, type StatementRequest, WsPeerNetwork } from '@camphorpitch/wire'
import { expect } from 'chai'
import { PlacementView } from '../membership/placement-view.ts'
import { DatabaseService } from './database-service.ts'
import { parseStatementMessage, RemoteStatements } from './remote-statements.ts'
import { STATEMENTS_SLICE, StatementServer } from './statement-server.ts'
import { createStatementRouter, type StatementRouter } from './statement-router.ts'

const ROW_COUNT = 400
const cell = Buffer.alloc(16 * 1024, 7)

class FakeService extends DatabaseService {
  yieldedRows = 0
  startedRequestIds: string[] = []
  resume: () => void = () => {}
  override async * run (request: StatementRequest): AsyncGenerator<ResponseFrame, void, void> {
    this.startedRequestIds.push(request.requestId)
    if (request.text === 'hang') await new Promise<void>(resolve => { this.resume = resolve })
    if (request.class !== 'read') return yield { kind: 'ok', affectedRows: 1, insertId: 5, position: { term: 1, index: 9 }, transactionId: null }
    yield { kind: 'columns', columns: [] }
    for (let i = 0; i < ROW_COUNT; i++) {
      this.yieldedRows += 1
      yield { kind: 'rows', rows: [[cell]] }
    }
    yield { kind: 'end' }
    yield { kind: 'position', position: { term: 1, index: 12 } }
  }

  override hasTransaction (): boolean { return false }
  override abandon (): void {}
  override async drain (): Promise<void> {}
  override stop (): void {}
}

class FixedPlacement extends PlacementView {
  vms: string[] = []
  override listServingVms (): string[] { return this.vms }
  override listRankedServingVms (): string[] { return this.vms }
  override isServing (): boolean { return false }
  override listServedDatabases (): string[] { return [] }
  override computeConnectionShare (): number { return 1 }
  override subscribe (): void {}
}

interface TestVm {
  network: WsPeerNetwork
  router: StatementRouter
  remote: RemoteStatements
  service: FakeService | undefined
}

function makeRequest (fields: Partial<StatementRequest> = {}): StatementRequest {
  return { requestId: 'r', sessionId: 's', workspace: 'w', database: 'd', text: 'x', class: 'read', required: null, maxAgeMs: 0, timeoutMs: 20_000, transactionId: null, writeId: null, ...fields }
}

async function collectFrames (router: StatementRouter, request: StatementRequest): Promise<ResponseFrame[]> {
  const frames: ResponseFrame[] = []
  for await (const { frame } of router.run(request, null)) frames.push(frame)
  return frames
}

describe('forwarding of statements between VMs', () => {
  const clock = new MonotonicClock()
  const logger = createLogger({ process: 'test', level: 'silent' })
  const placement = new FixedPlacement()
  const ports = new Map<string, number>()
  const vms = new Map<string, TestVm>()

  async function startVm (vm: string, service?: FakeService): Promise<void> {
    const network = new WsPeerNetwork({
      self: { version: 1, vm, incarnation: 1, failureDomain: 'f' },
      clock,
      logger,
      findAddress: name => ports.has(name) ? { host: '127.0.0.1', port: ports.get(name) as number } : undefined
    })
    const remote = new RemoteStatements(network)
    const findService = () => service
    const server = new StatementServer({ peers: network, logger, findService })
    network.subscribe(STATEMENTS_SLICE, (from, body) => {
      const message = parseStatementMessage(body)
      if (message?.type === 'frame') remote.handleFrame(from.vm, message)
      else if (message !== undefined) server.handleMessage(from.vm, message)
    })
    const router = createStatementRouter({ self: vm, clock, logger, placement, remote, findService })
    ports.set(vm, await network.listen('127.0.0.1', 0))
    vms.set(vm, { network, router, remote, service })
  }

  function findVm (vm: string): TestVm {
    return vms.get(vm) as TestVm
  }

  beforeEach(async () => {
    await startVm('entry')
    await startVm('one', new FakeService())
    await startVm('two', new FakeService())
    await startVm('none')
    placement.vms = ['one', 'two']
  })

  afterEach(async () => {
    await Promise.all([...vms.values()].map(async v => await v.network.stop()))
    vms.clear()
    ports.clear()
  })

  it('delivers every frame in order, with unchanged cells', async () => {
    const frames = await collectFrames(findVm('entry').router, makeRequest())
    expect(frames).to.have.length(ROW_COUNT + 3)
    expect(frames[0]?.kind).to.equal('columns')
    expect(frames.at(-2)?.kind).to.equal('end')
    expect(frames.at(-1)).to.deep.equal({ kind: 'position', position: { term: 1, index: 12 } })
    const row = frames[1] as ResponseFrame & { kind: 'rows' }
    expect(Buffer.compare(row.rows[0]?.[0] as Uint8Array, cell)).to.equal(0)
  })

  it('pauses reading from the endpoint while the consumer does not read', async () => {
    const frames = findVm('entry').router.run(makeRequest(), null)
    await frames.next()
    await new Promise(resolve => setTimeout(resolve, 100))
    const yieldedRows = findVm('one').service?.yieldedRows as number
    expect(yieldedRows).to.be.lessThan(40)
    await frames.return()
  })

  it('tries the next VM when one does not serve the database or is unreachable', async () => {
    placement.vms = ['none', 'unknown', 'two']
    const frames = await collectFrames(findVm('entry').router, makeRequest({ class: 'write' }))
    expect(frames.at(-1)).to.include({ kind: 'ok', insertId: 5 })
    expect(findVm('two').service?.startedRequestIds).to.have.length(1)
  })

  it('does not retry a write without a write ID after its VM was lost, and reports that the outcome is unknown', async () => {
    const response = collectFrames(findVm('entry').router, makeRequest({ class: 'write', text: 'hang' }))
    while (findVm('one').service?.startedRequestIds.length === 0) await new Promise(resolve => setImmediate(resolve))
    await findVm('one').network.stop()
    expect(await response).to.have.nested.property('[0].refusal.kind', 'outcomeUnknown')
    expect(findVm('two').service?.startedRequestIds).to.have.length(0)
  })

  it('retries a read on another VM when its VM was lost before the first frame', async () => {
    const response = collectFrames(findVm('entry').router, makeRequest({ text: 'hang' }))
    while (findVm('one').service?.startedRequestIds.length === 0) await new Promise(resolve => setImmediate(resolve))
    await findVm('one').network.stop()
    while (findVm('two').service?.startedRequestIds.length === 0) await new Promise(resolve => setImmediate(resolve))
    findVm('two').service?.resume()
    expect((await response).at(-1)?.kind).to.equal('position')
  })

  it('ignores frames for an unknown stream or from a VM that does not run the statement', async () => {
    const frames = findVm('entry').router.run(makeRequest(), null)
    const first = await frames.next()
    findVm('entry').remote.handleFrame('two', { type: 'frame', stream: 1, frame: { kind: 'end' }, last: true })
    findVm('entry').remote.handleFrame('one', { type: 'frame', stream: 99, frame: { kind: 'end' }, last: true })
    const second = await frames.next()
    expect([first.value?.frame.kind, second.value?.frame.kind]).to.deep.equal(['columns', 'rows'])
    await frames.return()
  })
})
