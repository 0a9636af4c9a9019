// A small deployment: the store, the platform's call, one service of three instances, and gateway processes.
import { appendFileSync, writeFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { Gateways } from './gateways.mjs'
import { Group } from './instances.mjs'
import { Promoter, Store } from './store.mjs'

export const TENANTS = ['lab', 'shop', 'mill', 'dock', 'farm', 'yard', 'barn', 'kiln']
const LINES_PER_WRITE = 1_000
const MAX_CASE_MS = 115_000

/** Routes and tenants like those of the small sites; as many connections to an instance as at `sites/brasswind-ops.toml`. */
export function createManifest (version, services) {
  const kinds = { order: { 'route-type': 'primary', 'timeout-ms': 800, 'target-latency-ms': 400 }, shade: { 'route-type': 'bounded_staleness', 'max-staleness-ms': 1_500, 'timeout-ms': 2_000, 'target-latency-ms': 800 }, batch: { 'route-type': 'read_your_writes', 'max-staleness-ms': 2_500, 'timeout-ms': 800, 'target-latency-ms': 800 } }
  return {
    version,
    routes: services.flatMap(service => Object.entries(kinds).map(([kind, values]) => ({ name: `${kind}-${service}`, host: `${kind}-${service}`, service, priority: 1, ...values }))),
    services: services.map(name => ({ name, 'max-conns': 46, 'sync-replicas': 1 })),
    tenants: TENANTS.map(name => ({ name, 'api-keys': [`key-${name}`], 'rate-per-s': 1_000, burst: 1_000 })),
    limits: { 'tx-idle-ms': 3_000 }
  }
}

export async function wait (ms) {
  await new Promise(resolve => setTimeout(resolve, ms))
}

/** Opens the record of a case. @returns functions that add a line with its time, and write what was added */
function openRecord (path) {
  const startedAtMs = performance.now()
  let lines = []
  const write = () => {
    appendFileSync(path, lines.join(''))
    lines = []
  }
  const record = text => {
    lines.push(`${((performance.now() - startedAtMs) / 1_000).toFixed(3).padStart(8)} s  ${text}\n`)
    if (lines.length >= LINES_PER_WRITE) write()
  }
  writeFileSync(path, '')
  return { record, write }
}

/**
 * Runs a case and ends the process: with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 *
 * @param run gets the deployment, whether there is to be trouble, and the function that records; resolves to the number of violations
 */
export async function runCase (directory, options, run) {
  const { record, write } = openRecord(fileURLToPath(new URL('record.txt', directory)))
  const hasTrouble = process.env.TROUBLE !== '0'
  let code = 2
  const deployment = createDeployment({ record, log: process.env.GATEWAY_LOG, ...options })
  const finish = async () => {
    await deployment.stop()
    write()
    process.exit(code)
  }
  setTimeout(() => {
    record('the case takes too long')
    finish().catch(() => process.exit(2))
  }, MAX_CASE_MS)
  try {
    await deployment.start()
    record(`deployment ready: ${deployment.gateways.list.length} gateways; ${hasTrouble ? 'with' : 'without'} trouble`)
    const violations = await run({ ...deployment, record, hasTrouble })
    code = violations > 0 ? 1 : 0
    record(`violations: ${violations}`)
  } catch (error) {
    record(`the case could not run: ${error.stack}`)
  }
  await finish()
}

function createDeployment ({ record, log, gateways: count = 3, services = ['lakkbase-1'] }) {
  const store = new Store()
  const groups = services.map(service => new Group({ service, store, record }))
  const promoter = new Promoter((service, id) => groups.find(g => g.service === service)?.promote(id) ?? 404, record)
  const gateways = new Gateways({ record, log })
  const start = async () => {
    store.put('config', 'main', createManifest(7, services))
    for (const group of groups) await group.start(['oslo-a', 'bergen-a', 'bodo-a'])
    await gateways.start(count, { store: await store.start(), promoter: await promoter.start() })
  }
  const stop = async () => {
    await gateways.stop()
    for (const group of groups) group.stop()
    promoter.stop()
    store.stop()
  }
  return { store, groups, promoter, gateways, start, stop }
}
