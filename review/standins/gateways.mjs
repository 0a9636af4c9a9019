// Starts the gateway with the command of deploy/system.toml and settings made from deploy/settings.json.template.
import { spawn } from 'node:child_process'
import { createWriteStream } from 'node:fs'
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { createServer } from 'node:net'
import { once } from 'node:events'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

const ROOT = fileURLToPath(new URL('../..', import.meta.url))
/** Time after which the platform starts a process again that has ended. */
const RESTART_MS = 1_000
const START_TIMEOUT_MS = 15_000
const FIRST_PORT = 30_200
const PORTS = 2_500
const REGIONS = { 'oslo-a': 'ostland', 'bergen-a': 'vestland', 'bodo-a': 'nordland' }

/** Finds a free port below those that the system gives to outgoing connections. */
async function findFreePort () {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORTS)
    const server = createServer().listen(port, '127.0.0.1')
    const isFree = await once(server, 'listening').then(() => true, () => false)
    if (!isFree) continue
    await new Promise(resolve => server.close(resolve))
    return port
  }
}

async function readCommand () {
  const deploy = await readFile(join(ROOT, 'deploy/system.toml'), 'utf8')
  return /^run = "(.*)"$/m.exec(deploy)[1].split(' ')
}

/** Fills in the template of the settings, which has plain values and sections that these settings leave out. */
async function fillTemplate (values) {
  const template = await readFile(join(ROOT, 'deploy/settings.json.template'), 'utf8')
  const find = path => path.split('.').reduce((value, key) => value?.[key], values)
  return template.replace(/\{\{#([\w.-]+)\}\}[^]*?\{\{\/\1\}\}/g, '').replace(/\{\{([\w.-]+)\|json\}\}/g, (_match, path) => JSON.stringify(find(path)))
}

export class Gateways {
  list = []
  #isStopping = false

  /** @param log path of a file for what the processes write; none if absent */
  constructor ({ record, log }) {
    Object.assign(this, { record, log: log === undefined ? null : createWriteStream(log) })
  }

  async start (count, { store, promoter }) {
    Object.assign(this, { store, promoter })
    this.directory = await mkdtemp(join(tmpdir(), 'camphorpitch-review-'))
    this.command = await readCommand()
    for (let i = 0; i < count; i++) this.list.push(await this.#create(i))
    for (const gateway of this.list) this.#spawn(gateway, true)
    const untilMs = performance.now() + START_TIMEOUT_MS
    while (!(await Promise.all(this.list.map(async g => await this.isReady(g)))).every(Boolean)) {
      if (performance.now() > untilMs) throw new Error('the gateways did not become ready')
      await new Promise(resolve => setTimeout(resolve, 100))
    }
  }

  async #create (i) {
    const zone = Object.keys(REGIONS)[i % 3]
    const name = `edge-${zone}-${i + 1}`
    const [front, ready, peers, spare] = await Promise.all([0, 0, 0, 0].map(findFreePort))
    return { name, zone, front, ready, ports: [peers, spare], file: join(this.directory, `${name}.json`), ends: [], child: null }
  }

  async #spawn (gateway, isFirst) {
    const { name, zone, front, ready, ports, file } = gateway
    const bounds = { 'quota-window-s': 5, 'quota-overshoot': 0.1, 'quota-slack': 20, 'stable-window-ms': 4_000, 'config-apply-ms': 3_000, 'grace-s': 6 }
    const values = { 'node-name': name, zone, region: REGIONS[zone], zones: REGIONS, ip: '127.0.0.1', listen: { front: `127.0.0.1:${front}`, ready: `127.0.0.1:${ready}` }, 'internal-ports': ports, 'first-start': isFirst, platform: { address: this.store }, 'cloud-api': { address: this.promoter }, bounds, limits: { 'cpu-share': 0.675, cores: 1, 'link-mbps': 1_000 } }
    // All processes share an address here, so each gets a port of its own for its metrics.
    const settings = { ...JSON.parse(await fillTemplate(values)), metricsPort: ports[1] }
    await writeFile(file, JSON.stringify(settings))
    const [program, ...args] = this.command
    const child = spawn(program, args, { cwd: ROOT, env: { PATH: process.env.PATH, HOME: this.directory, CAMPHORPITCH_NODE_FILE: file }, stdio: ['ignore', 'pipe', 'pipe'] })
    gateway.child = child
    let tail = ''
    child.stdout.on('data', data => { this.log?.write(data) })
    child.stderr.on('data', data => {
      this.log?.write(data)
      tail = (tail + data).slice(-4_000)
    })
    child.on('exit', (code, signal) => this.#handleExit(gateway, { code, signal, tail }))
  }

  #handleExit (gateway, { code, signal, tail }) {
    gateway.child = null
    if (this.#isStopping) return
    const isOwnEnd = gateway.isSignalled !== true
    gateway.isSignalled = false
    gateway.ends.push({ code, signal, isOwnEnd, atMs: performance.now() })
    this.record(`${gateway.name} ended ${isOwnEnd ? 'by itself' : 'after a signal'}, code ${code}, signal ${signal}${isOwnEnd ? `: ${tail.replace(/\s+/g, ' ').slice(-600)}` : ''}`)
    setTimeout(() => { if (!this.#isStopping) this.#spawn(gateway, false) }, RESTART_MS)
  }

  /** Sends a signal to a process, as the platform does. */
  signal (gateway, name) {
    if (name === 'SIGKILL' || name === 'SIGTERM') gateway.isSignalled = true
    gateway.child?.kill(name)
  }

  async isReady ({ ready }) {
    try {
      const response = await fetch(`http://127.0.0.1:${ready}/camphorpitch/readyz`, { signal: AbortSignal.timeout(1_000) })
      await response.arrayBuffer()
      return response.status === 200
    } catch {
      return false
    }
  }

  async stop () {
    this.#isStopping = true
    const ended = this.list.map(async ({ child }) => {
      if (child === null || child.exitCode !== null) return
      const exit = once(child, 'exit')
      child.kill('SIGKILL')
      await exit
    })
    await Promise.all(ended)
    this.log?.end()
    if (this.directory !== undefined) await rm(this.directory, { recursive: true, force: true })
  }
}
