import { randomBytes } from 'node:crypto'
import { appendFileSync } from 'node:fs'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { ObjectClient, type Vm } from '@camphorpitch/wire'
import { startChild, type LogLine, type StartedProcess } from './child-process.ts'
import { LoopbackLink } from './loopback-link.ts'

const HOST = '127.0.0.1'
const VM_LIST_LAG_MS = 200
const SESSION_KEY_BYTES = 32
/** If set, each log line of each process is appended to this file, and the proxies log at level `debug`. */
const logFilePath = process.env.CAMPHORPITCH_FLEET_LOG
/** Assigned to VMs and instances in turn. Each failure domain is also a region. */
const FAILURE_DOMAINS = ['north', 'middle', 'south']

/** Limits of an instance that are also part of the database's description in the object service. */
export interface EndpointLimits {
  maxConnections?: number
  slots?: number
}

export interface FleetOptions {
  /** Number of proxies. */
  vms?: number
  /** Names of the databases; each has a group of `instancesPerDatabase` endpoints. */
  databases?: string[]
  instancesPerDatabase?: number
  /** Settings of each endpoint stand-in, apart from those that the fleet sets itself. */
  endpoint?: Record<string, unknown> & EndpointLimits
  /** At least `info`, since a process reports readiness at that level. */
  logLevel?: 'info' | 'debug'
  /** Called with the process's name and each of its log lines. */
  onLogLine?: (process: string, line: LogLine) => void
}

export interface FleetVm {
  vm: string
  failureDomain: string
  callersPort: number
  peerPort: number
  metricsPort: number
  process: StartedProcess
}

export interface FleetEndpoint {
  endpoint: string
  database: string
  failureDomain: string
  port: number
  controlUrl: string
  process: StartedProcess
  /** The link through which the proxies reach this endpoint. */
  link: LoopbackLink
}

/** Stand-ins and proxies on loopback, each in its own process. */
export interface Fleet {
  host: string
  objectClient: ObjectClient
  platformUrl: string
  platformControlUrl: string
  platform: StartedProcess
  vms: FleetVm[]
  endpoints: FleetEndpoint[]
  /** Starts one more proxy and adds it to the platform's list of VMs. */
  startVm: (vm: string, failureDomain: string) => Promise<FleetVm>
  /** Kills every process, closes the links and removes the settings files. */
  stop: () => Promise<void>
}

interface FleetContext {
  directory: string
  options: FleetOptions
  processes: StartedProcess[]
  links: LoopbackLink[]
}

/**
 * Starts a platform, database groups and proxies, and describes the groups in the object service.
 *
 * @throws FleetError when a process does not start; the processes started before are killed
 * @example const fleet = await startFleet({ vms: 3, databases: ['orders'] })
 */
export async function startFleet (options: FleetOptions = {}): Promise<Fleet> {
  const directory = await mkdtemp(join(tmpdir(), 'camphorpitch-'))
  const context: FleetContext = { directory, options, processes: [], links: [] }
  try {
    return await startFleetProcesses(context)
  } catch (error) {
    await stopFleet(context)
    throw error
  }
}

async function startFleetProcesses (context: FleetContext): Promise<Fleet> {
  const { vms: count = 3, databases = ['orders'] } = context.options
  const platform = await startBinary(context, 'standins/dist/platform.js', 'platform', { faults: { vmLagMs: VM_LIST_LAG_MS } })
  const platformUrl = `http://${HOST}:${platform.ready.port}`
  const objectClient = new ObjectClient({ url: platformUrl })
  await objectClient.writeObject('fleet-secret', 'session', 0, { sessionKeys: [randomBytes(SESSION_KEY_BYTES).toString('hex')] })
  const endpoints: FleetEndpoint[] = []
  for (const database of databases) {
    const group = await startGroup(context, database)
    await objectClient.writeObject('database', database, 0, describeDatabase(database, group, pickLimits(context.options)))
    endpoints.push(...group)
  }
  const fleet: Fleet = {
    host: HOST,
    objectClient,
    platformUrl,
    platformControlUrl: `http://${HOST}:${platform.ready.controlPort}`,
    platform,
    vms: [],
    endpoints,
    startVm: async (vm, failureDomain) => await startVm(context, fleet, vm, failureDomain),
    stop: async () => await stopFleet(context)
  }
  const names = Array.from({ length: count }, (_, i) => `vm-${i + 1}`)
  await Promise.all(names.map(async (vm, i) => await fleet.startVm(vm, pickFailureDomain(i))))
  fleet.vms.sort((a, b) => a.vm.localeCompare(b.vm, 'en', { numeric: true }))
  return fleet
}

function pickFailureDomain (index: number): string {
  return FAILURE_DOMAINS[index % FAILURE_DOMAINS.length] as string
}

async function startGroup (context: FleetContext, database: string): Promise<FleetEndpoint[]> {
  const { instancesPerDatabase = 3 } = context.options
  const names = Array.from({ length: instancesPerDatabase }, (_, i) => `${database}-${i + 1}`)
  const [firstName, ...otherNames] = names as [string, ...string[]]
  const first = await startEndpoint(context, database, firstName, firstName, [], 0)
  const members = [{ instance: firstName, host: HOST, port: first.port }]
  const otherEndpoints = await Promise.all(otherNames.map(async (name, i) => await startEndpoint(context, database, name, firstName, members, i + 1)))
  return [first, ...otherEndpoints]
}

async function startEndpoint (context: FleetContext, database: string, endpoint: string, initialPrimary: string, members: unknown[], index: number): Promise<FleetEndpoint> {
  const failureDomain = pickFailureDomain(index)
  const settings = { ...context.options.endpoint, instance: endpoint, failureDomain, initialPrimary, members }
  const started = await startBinary(context, 'standins/dist/endpoint.js', endpoint, settings)
  const port = Number(started.ready.port)
  const link = new LoopbackLink({ host: HOST, port })
  context.links.push(link)
  await link.start()
  return { endpoint, database, failureDomain, port, controlUrl: `http://${HOST}:${started.ready.controlPort}`, process: started, link }
}

function pickLimits ({ endpoint = {} }: FleetOptions): EndpointLimits {
  const { maxConnections, slots } = endpoint
  return { maxConnections, slots }
}

function describeDatabase (database: string, group: FleetEndpoint[], limits: EndpointLimits) {
  const endpoints = group.map(e => ({ endpoint: e.endpoint, host: HOST, port: e.link.port, failureDomain: e.failureDomain, region: e.failureDomain, ...limits }))
  return { database, endpoints }
}

async function startVm (context: FleetContext, fleet: Fleet, vm: string, failureDomain: string): Promise<FleetVm> {
  const address = { host: HOST, port: 0 }
  const { logLevel = logFilePath === undefined ? 'info' : 'debug' } = context.options
  const settings = { vm, failureDomain, region: failureDomain, callers: address, peers: address, metrics: address, platform: fleet.platformUrl, logLevel }
  const started = await startBinary(context, 'proxy/dist/main.js', vm, settings)
  const { callersPort, peerPort, metricsPort } = started.ready as unknown as FleetVm
  const vmEntry: Vm = { vm, host: HOST, peerPort, failureDomain, region: failureDomain, state: 'live' }
  await fetch(`${fleet.platformControlUrl}/vms/${vm}`, { method: 'PUT', headers: { 'content-type': 'application/json' }, body: JSON.stringify(vmEntry) })
  const fleetVm: FleetVm = { vm, failureDomain, callersPort, peerPort, metricsPort, process: started }
  fleet.vms.push(fleetVm)
  return fleetVm
}

async function startBinary (context: FleetContext, binary: string, name: string, settings: unknown): Promise<StartedProcess> {
  const settingsFile = join(context.directory, `${name}.json`)
  await writeFile(settingsFile, JSON.stringify(settings))
  const path = join(findPackagesDirectory(), binary)
  const started = await startChild({ binary: path, settingsFile, onLogLine: line => forwardLogLine(context.options, name, line) })
  context.processes.push(started)
  return started
}

function forwardLogLine ({ onLogLine }: FleetOptions, name: string, line: LogLine): void {
  onLogLine?.(name, line)
  if (logFilePath !== undefined) appendFileSync(logFilePath, `${JSON.stringify(line)}\n`)
}

/** @returns the repository's `packages` directory, both from the source and from the bundle */
function findPackagesDirectory (): string {
  const path = fileURLToPath(import.meta.url)
  const folder = join('load', path.includes(join('load', 'dist')) ? 'dist' : 'src')
  return path.slice(0, path.lastIndexOf(folder))
}

async function stopFleet ({ processes, links, directory }: FleetContext): Promise<void> {
  await Promise.all(processes.map(async p => await p.kill()))
  await Promise.all(links.map(async l => await l.stop()))
  await rm(directory, { recursive: true, force: true })
}
