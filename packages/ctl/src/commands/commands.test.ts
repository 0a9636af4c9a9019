import { mkdtempSync, readdirSync, readFileSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Writable } from 'node:stream'
import { fileURLToPath } from 'node:url'
import { startPlatform, type RunningPlatform } from '@camphorpitch/standins'
import { expect } from 'chai'
import { Cli } from 'clipanion'
import { createDocumentSchema } from '../document-check.ts'
import { contractCommands } from './contract-commands.ts'
import { databaseCommands } from './database-commands.ts'
import { fleetCommands } from './fleet-commands.ts'
import { keyCommands } from './key-commands.ts'

const docs = fileURLToPath(new URL('../../../../docs', import.meta.url))
const dir = mkdtempSync(join(tmpdir(), 'camphorpitch-'))
const contract = { workspace: 'ash', rate: { statementsPerSecond: 10, burst: 20 }, databases: { orders: {} } }
const database = { database: 'orders', endpoints: [{ endpoint: 'orders-1', host: '127.0.0.1', port: 3306, failureDomain: 'fd-1' }] }

class TextStream extends Writable {
  text = ''
  override _write (chunk: Buffer, _encoding: string, done: () => void): void {
    this.text += chunk.toString()
    done()
  }
}

function writeFile (name: string, value: unknown): string {
  const file = join(dir, name)
  writeFileSync(file, JSON.stringify(value))
  return file
}

async function runIn (env: Record<string, string>, args: string[]): Promise<{ code: number, out: string }> {
  const stream = new TextStream()
  const cli = new Cli({ binaryName: 'camphorpitch' })
  for (const c of [...contractCommands, ...databaseCommands, ...fleetCommands, ...keyCommands]) cli.register(c)
  const code = await cli.run(args, { stdin: process.stdin, stdout: stream, stderr: stream, env })
  return { code, out: stream.text }
}

describe('operator commands', () => {
  let platform: RunningPlatform

  async function run (...args: string[]): Promise<{ code: number, out: string }> {
    return await runIn({ CAMPHORPITCH_PLATFORM: platform.url }, args)
  }

  beforeEach(async () => {
    platform = await startPlatform()
    expect((await run('database', 'apply', writeFile('orders.json', database))).code).equal(0)
    expect((await run('contract', 'apply', writeFile('ash.json', contract))).code).equal(0)
  })

  afterEach(async () => { await platform.close() })

  it('name each problem by its path and suggest the nearest name', async () => {
    const wrong = { ...contract, statmentTimeoutMs: 5, rate: { statementsPerSecond: 'x', burst: 1 }, databases: { orders: { acces: 'read' } } }
    const { code, out } = await run('contract', 'check', writeFile('wrong.json', wrong))
    expect(code).equal(2)
    expect(out).contain('statmentTimeoutMs: unknown field; did you mean \'statementTimeoutMs\'?')
    expect(out).contain('databases.orders.acces: unknown field; did you mean \'access\'?')
    expect(out).contain('rate.statementsPerSecond: ')
    const unknown = await run('contract', 'apply', writeFile('unknown.json', { ...contract, databases: { ordrs: {} } }))
    expect(unknown).deep.include({ code: 2 })
    expect(unknown.out).contain('databases.ordrs: unknown database; did you mean \'orders\'?')
    expect(await run('contract', 'get', 'ahs')).deep.equal({ code: 4, out: 'no contract \'ahs\'; did you mean \'ash\'?\n' })
  })

  it('refuse to add or remove more than one endpoint of a database at once', async () => {
    const [first] = database.endpoints
    const apply = async (...names: string[]) => await run('database', 'apply', writeFile('group.json', { ...database, endpoints: names.map(endpoint => ({ ...first, endpoint })) }))
    for (const names of [['orders-1', 'orders-2'], ['orders-1', 'orders-2', 'orders-3']]) expect((await apply(...names)).code).equal(0)
    const { code, out } = await apply('orders-1', 'orders-2', 'orders-4')
    expect(code).equal(2)
    expect(out).contain('adds orders-4 and removes orders-3')
    expect((await apply('orders-1', 'orders-2')).code).equal(0)
  })

  it('show a conflicting edit and do not overwrite it', async () => {
    const file = writeFile('faster.json', { ...contract, rate: { statementsPerSecond: 30, burst: 20 } })
    expect((await run('contract', 'diff', file)).out).contain('rate.statementsPerSecond: 10 -> 30')
    expect((await run('contract', 'apply', file, '--version', '1')).code).equal(0)
    const slower = writeFile('slower.json', { ...contract, rate: { statementsPerSecond: 5, burst: 20 } })
    const late = await run('contract', 'apply', slower, '--version', '1')
    expect(late.code).equal(3)
    expect(late.out).contain('expected version 1, found 2; nothing was written').contain('rate.statementsPerSecond: 30 -> 5')
    const { value } = JSON.parse((await run('contract', 'get', 'ash', '--json')).out)
    expect(value.rate.statementsPerSecond).equal(30)
    expect((await run('contract', 'delete', 'ash', '--version', '2')).code).equal(0)
    expect((await run('contract', 'get', 'ash')).code).equal(4)
  })

  it('print a granted key once and store only its digest, also when responses are lost', async () => {
    platform.setFaults({ loseAnswers: 1 })
    const granted = JSON.parse((await run('key', 'grant', 'ash', '--note', 'till', '--json')).out)
    const stored = JSON.stringify(platform.store.listObjects('key-ring'))
    expect(stored).contain(granted.id).not.contain(granted.key)
    expect((await run('key', 'list')).out).contain(granted.id).contain('till').not.contain(granted.key)
    platform.setFaults({ loseAnswers: 1 })
    expect((await run('key', 'withdraw', 'ash', granted.id)).code).equal(0)
    expect((await run('key', 'withdraw', 'ash', granted.id)).code).equal(4)
    expect((await run('key', 'grant', 'birch')).code).equal(4)
  })

  it('exit with code 5 and report that nothing was changed when the object service is unavailable', async () => {
    platform.setFaults({ outage: true })
    expect((await run('contract', 'list')).code).equal(5)
    expect((await run('contract', 'apply', join(dir, 'ash.json'))).out).contain('nothing was changed')
  })

  it('create the objects that a fleet needs once, and show them in the status', async () => {
    expect((await run('fleet', 'init')).code).equal(0)
    const before = platform.store.revision
    expect((await run('fleet', 'init')).code).equal(0)
    expect(platform.store.revision).equal(before)
    expect((await run('status')).out).contain('fleet-secret  session  version 1').contain('contract  ash  version 1')
  })

  it('accept every example contract, and the published schema equals the schema in the code', async () => {
    for (const site of ['fjordlakk', 'brasswind']) {
      const files = readdirSync(join(docs, 'examples', site)).filter(f => f.endsWith('.json') && !f.startsWith('database-'))
      expect(files.length).equal(8)
      const codes = await Promise.all(files.map(async f => (await runIn({}, ['contract', 'check', join(docs, 'examples', site, f)])).code))
      expect(codes).deep.equal(files.map(() => 0))
    }
    const published = JSON.parse(readFileSync(join(docs, 'contract.schema.json'), 'utf8'))
    expect(published).deep.equal(JSON.parse(JSON.stringify(createDocumentSchema('contract'))))
  })
})
