import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createWriteStream } from 'node:fs'
import { writeFile } from 'node:fs/promises'
import { createServer } from 'node:net'
import { join } from 'node:path'

export const HOST = '127.0.0.1'
/** The command of the deploy file. */
const COMMAND = ['--max-old-space-size=200', 'target/gateway.cjs']
const SETTINGS_VARIABLE = 'CAMPHORPITCH_NODE_FILE'
const READY_TIMEOUT_MS = 15_000
const READY_INTERVAL_MS = 50
/** Between the ports of the project's tests and soak, which may run beside a script, and those of outgoing connections. */
const FIRST_PORT = 30_600
const PORTS = 2_000

export interface GatewayOptions {
  vm: string
  failureDomain: string
  region: string
  /** Region of each failure domain. */
  regions: Record<string, string>
  store: string
  promoter: string
  /** Folder for settings and logs. */
  directory: string
  /** Whether the whole system starts for the first time; it does by default. */
  isFirstStart?: boolean
}

/** A gateway process, started with the command of the deploy file and settings of a small deployment. */
export interface GatewayProcess {
  vm: string
  /** Port for clients. */
  port: number
  /** Port for links of other VMs. */
  peerPort: number
  logFile: string
  child: ChildProcess
  stop: () => Promise<void>
}

for (const signal of ['SIGTERM', 'SIGINT'] as const) process.once(signal, () => process.exit(2))

/** Finds ports that nothing uses. */
export async function findFreePorts (count: number): Promise<number[]> {
  const ports: number[] = []
  while (ports.length < count) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORTS)
    if (!ports.includes(port) && await isFree(port)) ports.push(port)
  }
  return ports
}

async function isFree (port: number): Promise<boolean> {
  const server = createServer().listen(port, HOST)
  const isListening = await once(server, 'listening').then(() => true, () => false)
  if (isListening) await new Promise<void>(resolve => server.close(() => resolve()))
  return isListening
}

/** Starts a gateway and waits until it is ready. */
export async function startGateway (options: GatewayOptions): Promise<GatewayProcess> {
  const { vm, failureDomain, region, regions, store, promoter, directory, isFirstStart = true } = options
  const [port, readinessPort, peerPort, metricsPort] = await findFreePorts(4) as [number, number, number, number]
  const settingsFile = join(directory, `${vm}.json`)
  const logFile = join(directory, `${vm}.log`)
  const settings = {
    vm,
    failureDomain,
    region,
    regions,
    host: HOST,
    clients: `${HOST}:${port}`,
    readiness: `${HOST}:${readinessPort}`,
    internalPorts: [peerPort, peerPort],
    metricsPort,
    isFirstStart,
    store,
    promoter,
    quota: { windowS: 5, overshoot: 0.1, slack: 20 },
    configurationBounds: { stableWindowMs: 4_000, applyMs: 3_000 },
    capacity: { cpuShare: 0.675, cores: 1, linkMbps: 1_000 },
    scheduling: true,
    graceS: 6
  }
  await writeFile(settingsFile, JSON.stringify(settings))
  const child = spawn('node', COMMAND, { env: { ...process.env, [SETTINGS_VARIABLE]: settingsFile }, stdio: ['ignore', 'pipe', 'pipe'] })
  const log = createWriteStream(logFile)
  process.once('exit', () => child.kill('SIGKILL'))
  child.stdout.pipe(log)
  child.stderr.pipe(log)
  await waitUntilReady(readinessPort, child)
  return { vm, port, peerPort, logFile, child, stop: async () => await stopProcess(child) }
}

async function waitUntilReady (port: number, child: ChildProcess): Promise<void> {
  const untilMs = performance.now() + READY_TIMEOUT_MS
  while (performance.now() < untilMs && child.exitCode === null) {
    const isReady = await fetch(`http://${HOST}:${port}/camphorpitch/readyz`).then(r => r.status === 200, () => false)
    if (isReady) return
    await waitFor(READY_INTERVAL_MS)
  }
  throw new Error('a gateway did not become ready')
}

async function stopProcess (child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return
  const exited = once(child, 'exit')
  child.kill('SIGKILL')
  await exited
}

export async function waitFor (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}
