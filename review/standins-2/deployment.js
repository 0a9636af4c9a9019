// A small deployment on loopback addresses: store, platform, one group of instances, and gateway processes as the deploy file starts them.
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer as createHttpServer } from 'node:http'
import { connect, createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { performance } from 'node:perf_hooks'
import { StoreStandin, VmPaths } from '../../target/review-2/shared.mjs'
import { Group, Instance } from './group.js'

const HOST = '127.0.0.1'
const SERVICE = 'lakkbase-1'
const ZONES = { 'oslo-a': 'ostland', 'bergen-a': 'vestland', 'bodo-a': 'nordland' }
const DATABASES = { orders: 'primary', formulas: 'bounded_staleness', batches: 'read_your_writes' }
export const KEY = 'k-lab'
const READY_TIMEOUT_MS = 20_000
const FIRST_PORT = 12_000
const PORTS = 18_000
const MAX_LOG_LINES = 20_000
/** VMs watch the entries of the others with pauses of up to 1.5 s. */
const INTRODUCTION_MS = 4_000

export const waitFor = async ms => await new Promise(resolve => setTimeout(resolve, ms))

/** Waits until `check` returns true. @returns whether it did within `timeoutMs` */
export async function waitUntil (check, timeoutMs) {
  const endMs = performance.now() + timeoutMs
  while (!await check()) {
    if (performance.now() >= endMs) return false
    await waitFor(20)
  }
  return true
}

/** Appends lines to a case's record. */
export class Record {
  constructor (path) {
    this.path = path
    this.startedAtMs = performance.now()
    writeFileSync(path, '')
  }

  add (text) {
    appendFileSync(this.path, `${((performance.now() - this.startedAtMs) / 1_000).toFixed(3)} ${text}\n`)
  }
}

const usedPorts = new Set()

/** Finds a free port below those that the kernel gives to outgoing connections. */
async function findFreePort () {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORTS)
    const server = createServer()
    const isFree = !usedPorts.has(port) && await new Promise(resolve => {
      server.once('error', () => resolve(false))
      server.listen(port, HOST, () => server.close(() => resolve(true)))
    })
    usedPorts.add(port)
    if (isFree) return port
  }
}

function createManifest (otherServices) {
  const route = ([name, type]) => ({ name: `r-${name}`, host: name, 'path-prefix': '/', 'route-type': type, 'timeout-ms': 1_000, 'target-latency-ms': 800, priority: 1, service: SERVICE, 'max-attempts': 2, 'max-staleness-ms': type === 'primary' ? 0 : 2_500, public: false })
  return {
    version: 7,
    routes: Object.entries(DATABASES).map(route),
    services: [SERVICE, ...otherServices].map(name => ({ name, 'health-path': '/healthz', 'max-conns': 21, protocol: 'own', tls: false, 'sync-replicas': 1 })),
    tenants: [{ name: 'lab', 'api-keys': [KEY], 'rate-per-s': 5_000, burst: 5_000 }],
    limits: { 'tx-idle-ms': 3_000 }
  }
}

export class Deployment {
  vms = []

  constructor (record, { vmZones = Object.keys(ZONES), instance = {}, promoteMs = 1_000, otherServices = [], lateVms = 1, isLateKnownByStore = false } = {}) {
    Object.assign(this, { record, vmZones, instanceOptions: instance, promoteMs, otherServices, lateVms, isLateKnownByStore })
    this.directory = mkdtempSync(join(tmpdir(), 'camphorpitch-case-'))
  }

  async start () {
    this.store = new StoreStandin()
    await this.store.start()
    this.group = new Group({ service: SERVICE, promoteMs: this.promoteMs, onChange: i => this.register(i) })
    for (const zone of Object.keys(ZONES)) {
      const instance = new Instance(this.group, { id: `i-${zone}`, zone, ...this.instanceOptions })
      await instance.start()
      this.register(instance)
    }
    this.store.replaceObject('config', 'main', createManifest(this.otherServices))
    await this.#startPlatform()
    for (const [index, zone] of this.vmZones.entries()) await this.#prepareVm(`vm-${index + 1}`, zone)
    // The last VMs open their links to the others themselves, through paths that can be cut.
    const early = this.vms.slice(0, -this.lateVms)
    const late = this.vms.slice(-this.lateVms)
    await Promise.all(early.map(async vm => await this.startVm(vm)))
    const introductions = this.isLateKnownByStore ? late.map(async vm => await this.#holdIntroduction(vm, early)) : []
    await Promise.all(late.map(async vm => await this.startVm(vm)))
    await Promise.all(introductions)
  }

  /** Writes an instance's entry, as the instance does at each change. */
  register ({ id, zone, address, role, bornMs }, changes = {}) {
    const entry = { service: SERVICE, address, zone, version: 'v1', capacity: 3, state: 'ready', 'warmup-left-ms': 0, 'seq-no': 1, 'db-role': role, born: bornMs, ...this.entryChanges?.[id], ...changes }
    this.record?.add(`instance ${id}: state ${entry.state}, role ${role}`)
    this.store.replaceObject('servers', id, entry)
  }

  /** Has an instance report that it drains, also in its later entries. */
  drain (instance) {
    this.entryChanges = { ...this.entryChanges, [instance.id]: { state: 'draining' } }
    this.register(instance)
  }

  async #startPlatform () {
    this.platform = createHttpServer((request, response) => {
      const chunks = []
      request.on('data', c => chunks.push(c))
      request.on('end', () => {
        const { id } = JSON.parse(Buffer.concat(chunks).toString())
        const status = this.group.promote(id)
        this.record.add(`platform: promote ${id} from ${request.headers['x-camphorpitch-duty-holder']}, token ${request.headers['x-camphorpitch-fencing-token']}: ${status}`)
        response.writeHead(status, { 'content-type': 'application/json' }).end('{}')
      })
    })
    this.platform.listen(0, HOST)
    await once(this.platform, 'listening')
  }

  async #prepareVm (name, zone) {
    const paths = new VmPaths(name)
    const [client, ready, internal, metrics] = [await findFreePort(), await findFreePort(), await findFreePort(), await findFreePort()]
    const vm = { name, zone, paths, clientPort: client, readyPort: ready, internalPort: internal, ends: 0, child: null, logs: [] }
    vm.settingsFile = join(this.directory, `${name}.json`)
    const platform = `${HOST}:${this.platform.address().port}`
    vm.settings = {
      vm: name,
      failureDomain: zone,
      region: ZONES[zone],
      regions: ZONES,
      host: HOST,
      clients: `${HOST}:${client}`,
      readiness: `${HOST}:${ready}`,
      internalPorts: [internal, internal],
      metricsPort: metrics,
      isFirstStart: true,
      store: await paths.open('store', await this.store.openView(paths.view)),
      promoter: await paths.open('promoter', platform),
      quota: { windowS: 5, overshoot: 0.1, slack: 20 },
      configurationBounds: { stableWindowMs: 4_000, applyMs: 3_000 },
      capacity: { cpuShare: 0.675, cores: 1, linkMbps: 1_000 },
      scheduling: true,
      graceS: 6
    }
    this.vms.push(vm)
  }

  /** Holds back what a VM sends to others until they know it by the store, which tells the address of a path that can be cut. */
  async #holdIntroduction ({ paths }, others) {
    await Promise.all(others.map(async o => await paths.open('vms', `${HOST}:${o.internalPort}`)))
    await paths.cut(kind => kind === 'vms', INTRODUCTION_MS)
  }

  /** Starts a VM's process and waits until it is ready. */
  async startVm (vm) {
    writeFileSync(vm.settingsFile, JSON.stringify(vm.settings))
    const { PATH, HOME } = process.env
    const child = spawn('node', ['--max-old-space-size=200', 'target/gateway.cjs'], { env: { PATH, HOME, CAMPHORPITCH_NODE_FILE: vm.settingsFile }, stdio: ['ignore', 'pipe', 'pipe'] })
    children.add(child)
    vm.child = child
    vm.isStopped = false
    let text = ''
    for (const stream of [child.stdout, child.stderr]) {
      stream.on('data', chunk => {
        const lines = (text + chunk.toString()).split('\n')
        text = lines.pop()
        vm.logs.push(...lines.filter(l => !l.includes('endpoint responded to statement')))
        if (vm.logs.length > MAX_LOG_LINES) vm.logs.splice(0, MAX_LOG_LINES / 2)
      })
    }
    child.on('exit', (code, signal) => {
      children.delete(child)
      if (vm.child !== child) return
      vm.child = null
      if (vm.isStopped) return
      vm.ends++
      this.record.add(`${vm.name}: process ended by itself, code ${code}, signal ${signal}`)
    })
    if (!await waitUntil(async () => await this.isReady(vm), READY_TIMEOUT_MS)) throw new Error(`${vm.name} is not ready`)
    this.record.add(`${vm.name}: ready`)
  }

  async isReady ({ readyPort }) {
    return await fetch(`http://${HOST}:${readyPort}/camphorpitch/readyz`, { signal: AbortSignal.timeout(1_000) }).then(r => r.status === 200, () => false)
  }

  /** Asks for the readiness once, and waits for the response or the end of the connection. */
  async probe ({ readyPort }) {
    await fetch(`http://${HOST}:${readyPort}/camphorpitch/readyz`).then(r => r.status, () => null)
  }

  /** Cuts a VM off from the store, the platform and all other VMs, in both directions. It still reaches instances and clients. */
  async cutOff (vm, durationMs) {
    const others = this.vms.filter(v => v !== vm)
    this.record.add(`${vm.name}: cut off from the store and all other VMs for ${durationMs} ms`)
    await Promise.all([
      vm.paths.cut(kind => kind !== 'instances', durationMs),
      ...others.map(async o => await o.paths.cut((kind, address) => kind === 'vms' && address === `${HOST}:${vm.internalPort}`, durationMs))
    ])
    this.record.add(`${vm.name}: cut has ended`)
  }

  async stop () {
    for (const vm of this.vms) {
      vm.isStopped = true
      vm.child?.kill('SIGKILL')
      await vm.paths.stop()
    }
    for (const i of this.group?.instances ?? []) i.stop()
    this.platform?.closeAllConnections()
    this.platform?.close()
    await this.store?.stop()
    rmSync(this.directory, { recursive: true, force: true })
  }
}

/** A requester's session: one statement at a time. */
export class Client {
  #text = ''
  #lines = []
  #pending = null
  isClosed = false
  static #count = 0

  constructor (vm, { record, name = 'client' } = {}) {
    Object.assign(this, { vm, record, name })
    this.socket = connect({ host: HOST, port: vm.clientPort, noDelay: true })
    this.socket.on('data', chunk => this.#receive(chunk))
    this.socket.on('error', () => {})
    this.socket.on('close', () => this.#end())
  }

  #receive (chunk) {
    const lines = (this.#text + chunk.toString('latin1')).split('\r\n')
    this.#text = lines.pop()
    for (const line of lines) {
      if (this.#pending === null) {
        this.isClosed = true
        return this.socket.destroy()
      }
      this.#lines.push(line)
      if (line.startsWith('READY')) this.#settle()
    }
  }

  #settle () {
    const lines = this.#lines.splice(0)
    const pending = this.#pending
    this.#pending = null
    pending?.({ lines, answer: lines.find(l => /^(COMPLETE|ERROR)/.test(l)) ?? (lines.length > 0 ? lines.at(-1) : 'closed'), answeredAtMs: performance.now() })
  }

  #end () {
    this.isClosed = true
    this.#settle()
  }

  async #exchange (line) {
    const sentAtMs = performance.now()
    if (this.isClosed) return { lines: [], answer: 'closed', sentAtMs, answeredAtMs: sentAtMs }
    const result = await new Promise(resolve => {
      this.#pending = resolve
      this.socket.write(`${line}\r\n`, 'latin1')
    })
    return { ...result, sentAtMs }
  }

  async open (database, key = KEY) {
    return await this.#exchange(`STARTUP ${database} ${key}`)
  }

  async run (text) {
    const id = `q${(++Client.#count).toString(16)}`
    const result = await this.#exchange(`QUERY ${id} ${text}`)
    this.record?.add(`${this.name} at ${this.vm.name}: ${id} ${text} -> ${result.answer}`)
    return { id, text, ...result, isSuccess: result.answer.startsWith('COMPLETE') }
  }

  close () {
    this.socket.destroy()
  }
}

/** A case runs for 120 s at most. */
const TIMEOUT_MS = 115_000
const children = new Set()

function handleFailure (error) {
  console.log(`the case could not run: ${error?.stack ?? error}`)
  process.exit(2)
}

process.on('exit', () => { for (const c of children) c.kill('SIGKILL') })
for (const event of ['uncaughtException', 'unhandledRejection']) process.on(event, handleFailure)
for (const signal of ['SIGTERM', 'SIGINT']) process.on(signal, () => handleFailure(signal))
setTimeout(() => handleFailure('no result in time'), TIMEOUT_MS).unref()

/** Plays a round on a deployment of its own. @returns what broke the rule */
async function playRound (record, play, hasTrouble) {
  const deployment = new Deployment(record, play.options)
  try {
    await deployment.start()
    const broken = await play.round(deployment, record, hasTrouble)
    for (const { id, text, instance, role, values, visible } of deployment.group.runs) record.add(`ran ${id} ${text} at ${instance} (${role}), log up to ${visible?.number ?? 0}, values ${JSON.stringify(values)}`)
    for (const { id, entry, instance, ackedAtMs } of deployment.group.commits) record.add(`committed ${id} at ${instance} as ${entry.term}.${entry.number}, ${ackedAtMs === null ? 'not received by a replica' : 'received by a replica'}`)
    return broken
  } finally {
    if (process.env.LOGS !== undefined) for (const vm of deployment.vms) writeFileSync(join(process.env.LOGS, `${vm.name}.log`), vm.logs.join('\n'))
    await deployment.stop()
  }
}

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. `TROUBLE=0` leaves out the disruption. */
export async function runCase (folder, play) {
  const record = new Record(join(folder, 'record.txt'))
  const broken = []
  let code = 2
  try {
    for (let round = 1; round <= play.rounds; round++) {
      record.add(`round ${round}`)
      broken.push(...(await playRound(record, play, process.env.TROUBLE !== '0')).map(b => `round ${round}: ${b}`))
    }
    code = broken.length > 0 ? 1 : 0
    for (const b of broken) record.add(`BROKEN: ${b}`)
    console.log(code === 1 ? `rule broken ${broken.length} times, first: ${broken[0]}` : 'rule held')
  } catch (error) {
    record.add(`the case could not run: ${error.stack}`)
    console.log(`the case could not run: ${error.message}`)
  }
  process.exit(code)
}
