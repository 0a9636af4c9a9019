import { appendFile, writeFile } from 'node:fs/promises'
import { Deployment, SERVICE } from '../standins-3/deployment.ts'
import { waitFor } from '../standins-3/gateway-process.ts'
import { formatStatement, isProven, isSuccess, Requester, type SentStatement } from '../standins-3/requester.ts'
import { StrictGroup, StrictInstance } from '../standins-3/strict-instance.ts'

const RECORD_FILE = 'review/14/record.txt'
const HAS_TROUBLE = process.env.TROUBLE !== '0'
const SESSIONS = 15
/** Reads of a transaction, each after a SET; with BEGIN and COMMIT it has 12 statements. */
const READS_PER_TRANSACTION = 5
/** Pause of a requester between the reads of a transaction. */
const THINK_MS = 250
/** Sessions begin one after the other, so that their transactions do not end at the same time. */
const START_OFFSET_MS = 110
const WRITERS = 2
const PAUSE_MS = 60
/** Time of the primary's partition from its replicas, and of the load before and after it. */
const APART_MS = 5_000
const CALM_MS = 3_000
const VALUE = 'app'

const group = new StrictGroup()
const instances = ['i-1', 'i-2', 'i-3'].map(id => new StrictInstance(group, { id, service: SERVICE, workMs: 2, maxConnections: 46 }))
const deployment = new Deployment(group, { vms: { 'edge-1': 'zone-1', 'edge-2': 'zone-2', 'edge-3': 'zone-3' }, promoteMs: 300, tenant: { rate: 10_000, burst: 10_000 } })
/** Value that was acknowledged to the requester before it sent each statement. */
const expected = new Map<string, string>()
const sent: SentStatement[] = []
const load = { isOver: false }

async function record (line: string): Promise<void> {
  await appendFile(RECORD_FILE, `${(performance.now() / 1_000).toFixed(3)} ${line}\n`)
}

/** A session whose transactions set a value before each read. */
class SettingSession {
  readonly #requester: Requester
  #value = ''
  #count = 0

  constructor (vm: string, port: number) {
    this.#requester = new Requester(vm, port)
  }

  async run (): Promise<void> {
    if (!await this.#requester.open('shade-lookup', 'key-workshop')) return
    while (!load.isOver && !this.#requester.isClosed) {
      await this.#runTransaction()
      for (let i = 0; i < 3; i++) await this.#send('READ 1a4')
      await waitFor(PAUSE_MS)
    }
    this.#requester.close()
  }

  async #runTransaction (): Promise<void> {
    await this.#send('BEGIN')
    for (let i = 0; i < READS_PER_TRANSACTION; i++) {
      if (!await this.#setValue()) return
      const read = await this.#send('READ 2b7')
      if (!isSuccess(read)) {
        await this.#send('ROLLBACK')
        return
      }
      await waitFor(THINK_MS)
    }
    await this.#send('COMMIT')
  }

  async #setValue (): Promise<boolean> {
    const value = `v${++this.#count}`
    const set = await this.#send(`SET ${VALUE} ${value}`)
    if (isSuccess(set)) this.#value = value
    else this.#requester.close() // A requester closes its session after an error in response to SET.
    return isSuccess(set)
  }

  async #send (text: string): Promise<SentStatement> {
    const pending = this.#requester.run(text)
    const { id } = this.#requester.sent.at(-1)!
    expected.set(id, this.#value)
    const statement = await pending
    sent.push(statement)
    return statement
  }
}

async function runSessions (index: number): Promise<void> {
  await waitFor(index * START_OFFSET_MS)
  while (!load.isOver) {
    const { gateway } = deployment.vms[index % deployment.vms.length]!
    await new SettingSession(gateway.vm, gateway.port).run()
    await waitFor(PAUSE_MS)
  }
}

async function runWrites (index: number): Promise<void> {
  while (!load.isOver) {
    const { gateway } = deployment.vms[index % deployment.vms.length]!
    const requester = new Requester(gateway.vm, gateway.port)
    if (!await requester.open('order-desk', 'key-workshop')) requester.close()
    while (!load.isOver && !requester.isClosed) {
      sent.push(await requester.run(`WRITE ${index}c1 x`))
      await waitFor(PAUSE_MS)
    }
    requester.close()
    await waitFor(PAUSE_MS)
  }
}

async function playCase (): Promise<number> {
  await writeFile(RECORD_FILE, '')
  await deployment.start()
  const loops = [...Array.from({ length: SESSIONS }, async (_, i) => await runSessions(i)), ...Array.from({ length: WRITERS }, async (_, i) => await runWrites(i))]
  await waitFor(CALM_MS)
  const primary = group.primary!
  if (HAS_TROUBLE) {
    await record(`the primary ${primary.options.id} is partitioned from its replicas`)
    primary.isApart = true
  }
  await waitFor(APART_MS)
  primary.isApart = false
  await record('the partition has ended')
  await waitFor(CALM_MS)
  load.isOver = true
  await Promise.all(loops)
  for (const p of group.promotions) await record(`promotion of ${p.instance} at ${(p.atMs / 1_000).toFixed(3)}`)
  await record(`${sent.length} statements sent, ${sent.filter(isProven).length} answered with proof, ${group.run.length} run by instances`)
  if (sent.filter(isProven).length < 100 || (HAS_TROUBLE && group.promotions.length === 0)) return 2
  const byId = new Map(sent.map(s => [s.id, s]))
  const wrong = group.run.filter(r => r.text.startsWith('READ') && byId.has(r.id) && (r.values[VALUE] ?? '') !== expected.get(r.id))
  for (const { id, text, instance, values, atMs } of wrong.slice(0, 40)) {
    const { vm, lines } = byId.get(id)!
    await record(`PINNED ${text} ${id} of ${vm} ran on ${instance} at ${(atMs / 1_000).toFixed(3)} with ${VALUE}=${values[VALUE] ?? '(none)'}; acknowledged before it: ${VALUE}=${expected.get(id)}; answer: ${lines.join(' | ')}`)
  }
  await record(`${wrong.length} reads ran with other session values than those acknowledged; ${sent.filter(s => s.lines.some(l => l.startsWith('ERROR MALFORMED'))).length} statements were answered MALFORMED`)
  const runs = new Map(group.run.map(r => [r.id, r.atMs]))
  await appendFile(RECORD_FILE, sent.map(s => formatStatement(s, runs.get(s.id))).join(''))
  return wrong.length > 0 ? 1 : 0
}

let exitCode = 2
try {
  exitCode = await playCase()
} catch (error) {
  await record(`could not run: ${error instanceof Error ? error.stack : String(error)}`)
}
await deployment.stop()
await record(`ended; ${instances.length} instances stopped`)
process.exit(exitCode)
