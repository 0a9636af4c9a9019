import { createConnection, type Connection } from 'mysql2/promise'
import { createWorkspace } from '../demo/workspace-clients.ts'
import { startFleet, type Fleet, type FleetVm } from '../fleet/start-fleet.ts'

/**
 * Measures the memory and CPU time that idle client connections cost a proxy.
 *
 * @example npm run build && node --import=tsx packages/load/src/benchmarks/idle-clients.ts
 */

const WORKSPACE = 'callers'
const DATABASE = 'orders'
const CLIENT_COUNTS = [0, 1_000, 2_000, 4_000]
const CONNECT_BATCH_SIZE = 100
/** Time to settle after connecting, and then the duration of the CPU measurement. */
const SETTLE_MS = 4_000
const LOGIN_RETRY_DELAY_MS = 50
const MAX_CONNECTIONS = 20_000

/** Value of a metric without labels; `NaN` when the VM does not report it. */
async function readMetric (fleet: Fleet, vm: FleetVm, name: string): Promise<number> {
  const response = await fetch(`http://${fleet.host}:${vm.metricsPort}/metrics`)
  const line = (await response.text()).split('\n').find(l => l.startsWith(`${name} `))
  return Number(line?.split(' ')[1])
}

async function openClients (fleet: Fleet, vm: FleetVm, key: string, count: number): Promise<Connection[]> {
  const clients: Connection[] = []
  while (clients.length < count) {
    const batchSize = Math.min(CONNECT_BATCH_SIZE, count - clients.length)
    const openClient = async () => await createConnection({ host: fleet.host, port: vm.callersPort, user: WORKSPACE, password: key, database: DATABASE })
    clients.push(...await Promise.all(Array.from({ length: batchSize }, openClient)))
  }
  return clients
}

/** Waits until the VM has received the workspace's contract and keys, and accepts a login. */
async function waitForLogin (fleet: Fleet, vm: FleetVm, key: string): Promise<void> {
  for (;;) {
    const clients = await openClients(fleet, vm, key, 1).catch(() => [])
    for (const c of clients) c.destroy()
    if (clients.length > 0) return
    await new Promise(resolve => setTimeout(resolve, LOGIN_RETRY_DELAY_MS))
  }
}

const fleet = await startFleet({ vms: 1, databases: [DATABASE] })
try {
  const vm = fleet.vms[0] as FleetVm
  const { key } = await createWorkspace(fleet, { workspace: WORKSPACE, databases: [DATABASE], rate: { statementsPerSecond: 1_000, burst: 1_000 }, maxConnectionsPerVm: MAX_CONNECTIONS })
  await waitForLogin(fleet, vm, key)
  let openCount = 0
  let idleResidentBytes = 0
  for (const callers of CLIENT_COUNTS) {
    await openClients(fleet, vm, key, callers - openCount)
    openCount = callers
    await new Promise(resolve => setTimeout(resolve, SETTLE_MS))
    const cpuBefore = await readMetric(fleet, vm, 'process_cpu_seconds_total')
    await new Promise(resolve => setTimeout(resolve, SETTLE_MS))
    const cpuSeconds = await readMetric(fleet, vm, 'process_cpu_seconds_total') - cpuBefore
    const residentBytes = await readMetric(fleet, vm, 'process_resident_memory_bytes')
    const heapBytes = await readMetric(fleet, vm, 'nodejs_heap_size_used_bytes')
    if (callers === 0) idleResidentBytes = residentBytes
    const residentBytesPerClient = callers === 0 ? 0 : Math.round((residentBytes - idleResidentBytes) / callers)
    process.stdout.write(`${JSON.stringify({ benchmark: 'callers', callers, residentMegabytes: Math.round(residentBytes / 1e6), heapMegabytes: Math.round(heapBytes / 1e6), residentBytesPerCaller: residentBytesPerClient, cpuPercent: Number((100 * cpuSeconds / (SETTLE_MS / 1_000)).toFixed(2)) })}\n`)
  }
} finally {
  await fleet.stop()
}
process.exit(0)
