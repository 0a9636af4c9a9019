import { computeKeyDigest, createLogger, ObjectClient, type Contract } from '@camphorpitch/wire'
import { startEndpointGroup, startPlatform, type GroupOptions, type RunningEndpoint, type RunningPlatform } from '@camphorpitch/standins'
import { createConnection, type Connection } from 'mysql2/promise'
import { startApp, type ProxyApp } from '../app.ts'
import { proxySettingsSchema } from '../settings.ts'

const HOST = '127.0.0.1'
const SESSION_KEY = 'ab'.repeat(32)
const MAX_RETRIES = 500
const RETRY_DELAY_MS = 20

export interface TestFleetOptions {
  vms?: number
  endpoint?: Partial<GroupOptions>
  contract?: Partial<Contract>
}

/**
 * A running fleet in this process: a platform, one database group and the proxies.
 *
 * It has one workspace, `kari`, with the key `secret` and access to the database `orders`.
 */
export interface TestFleet {
  platform: RunningPlatform
  objectClient: ObjectClient
  endpoints: RunningEndpoint[]
  apps: ProxyApp[]
  /** Connects to the proxy with index `vm`. */
  openClientConnection: (vm: number, options?: Record<string, unknown>) => Promise<Connection>
  /** Connects directly to the endpoint with index `endpoint`. */
  openEndpointConnection: (endpoint: number, options?: Record<string, unknown>) => Promise<Connection>
  stop: () => Promise<void>
}

async function writeConfiguration (objectClient: ObjectClient, endpoints: RunningEndpoint[], contract: Partial<Contract>): Promise<void> {
  await objectClient.writeObject('fleet-secret', 'session', 0, { sessionKeys: [SESSION_KEY] })
  await objectClient.writeObject('database', 'orders', 0, {
    database: 'orders',
    endpoints: endpoints.map((e, i) => ({ endpoint: e.instance, host: e.host, port: e.port, failureDomain: `domain-${i}` }))
  })
  await objectClient.writeObject('contract', 'kari', 0, { workspace: 'kari', rate: { statementsPerSecond: 5_000, burst: 1_000 }, databases: { orders: {} }, ...contract })
  await objectClient.writeObject('key-ring', 'kari', 0, { workspace: 'kari', keys: [{ id: 'k1', digest: computeKeyDigest('secret'), grantedAt: '2026-01-01T00:00:00Z' }] })
}

async function startTestApp (platform: RunningPlatform, index: number): Promise<ProxyApp> {
  const address = { host: HOST, port: 0 }
  const vm = `vm-${index}`
  const settings = proxySettingsSchema.parse({ vm, failureDomain: `domain-${index}`, callers: address, peers: address, platform: platform.url, logLevel: 'silent' })
  const app = await startApp(settings, createLogger({ process: vm, level: process.env.CAMPHORPITCH_TEST_LOG === undefined ? 'silent' : 'debug' }))
  const listedVm = { vm, host: HOST, peerPort: app.peerPort, failureDomain: settings.failureDomain, state: 'live' }
  await fetch(`${platform.controlUrl}/vms/${vm}`, { method: 'PUT', headers: { 'content-type': 'application/json' }, body: JSON.stringify(listedVm) })
  return app
}

/**
 * Retries `action` until it succeeds, at most `MAX_RETRIES` times.
 *
 * @throws the error of the last attempt
 */
export async function retryUntilSuccess<T> (action: () => Promise<T>): Promise<T> {
  for (let i = 0; ; i++) {
    try {
      return await action()
    } catch (error) {
      if (i >= MAX_RETRIES) throw error
      await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS))
    }
  }
}

/** Starts a fleet and waits until each VM runs statements. */
export async function startTestFleet ({ vms = 2, endpoint = {}, contract = {} }: TestFleetOptions = {}): Promise<TestFleet> {
  const platform = await startPlatform({ faults: { vmLagMs: 0 } })
  const objectClient = new ObjectClient({ url: platform.url })
  const endpoints = await startEndpointGroup({ instances: ['one', 'two', 'three'], connectDelayMs: 0, logLevel: 'silent', ...endpoint })
  await writeConfiguration(objectClient, endpoints, contract)
  const apps: ProxyApp[] = []
  for (let i = 0; i < vms; i++) apps.push(await startTestApp(platform, i))
  const openClientConnection = async (vm: number, options = {}) => await openConnection({ port: apps[vm]?.callersPort, user: 'kari', password: 'secret', database: 'orders', ...options })
  for (let i = 0; i < vms; i++) await waitUntilServing(() => openClientConnection(i))
  return {
    platform,
    objectClient,
    endpoints,
    apps,
    openClientConnection,
    openEndpointConnection: async (index, options = {}) => await openConnection({ port: endpoints[index]?.port, user: 'camphorpitch', password: '', ...options }),
    stop: async () => {
      await Promise.all(apps.map(async a => await a.drain()))
      await Promise.all(endpoints.map(async e => await e.stop()))
      await platform.close()
    }
  }
}

async function openConnection (options: Record<string, unknown>): Promise<Connection> {
  const connection = await createConnection({ host: HOST, ...options })
  connection.on('error', () => {})
  return connection
}

async function waitUntilServing (open: () => Promise<Connection>): Promise<void> {
  const client = await retryUntilSuccess(open)
  await retryUntilSuccess(async () => await client.query('SELECT 1'))
  await client.end()
}
