import { performance } from 'node:perf_hooks'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { pack } from 'msgpackr'
import { computeAgeMs } from '../../../proxy/src/configuration/staleness.ts'
import { decideConfiguration } from '../../../proxy/src/configuration/decide-configuration.ts'
import { FakeFleet, type DecideConfiguration, type FakeVm } from '../../../proxy/src/configuration/fake-fleet.ts'
import { applyValue, createObjectValues } from '../../../proxy/src/configuration/object-values.ts'

/**
 * Measures the cost of configuration by fleet size, with the decisions of all VMs in one process on a
 * simulated clock. Bytes are those of the packed messages that a VM sends, without the framing of the
 * links; CPU is the time to decide and to pack.
 *
 * @example node --import=tsx packages/load/src/benchmarks/configuration.ts [fleet sizes]
 */

const DEFAULT_SIZES = [9, 50, 200]
const FAILURE_DOMAINS = 9
const SETTLE_DURATION_MS = 20_000
const IDLE_DURATION_MS = 30_000
const CHANGE_COUNT = 20
const CHANGE_INTERVAL_MS = 7_000
const OBJECT_COUNT = 5_000

const contract = {
  workspace: 'bergen-workshop',
  rate: { statementsPerSecond: 120, burst: 240 },
  open: false,
  databases: { orders: { access: 'read-write', defaultMaxAgeMs: 0 }, formulas: { access: 'read', defaultMaxAgeMs: 0 } },
  statementTimeoutMs: 10_000,
  maxConnectionsPerVm: 1_000
}

interface Usage {
  messages: number
  bytes: number
  cpuMs: number
}

interface MeasuredFleet {
  fleet: FakeFleet
  usage: Usage
  /** Simulated time at which each VM put the last change in force, by name of the VM. */
  inForceAtMs: Map<string, number>
}

/** Time from writing a change until a VM puts it in force, over all VMs and changes, and messages per change. */
interface Dissemination {
  medianMs: number
  maxMs: number
  messagesPerVm: number
}

function createMeasuredFleet (vms: number): MeasuredFleet {
  const usage: Usage = { messages: 0, bytes: 0, cpuMs: 0 }
  const inForceAtMs = new Map<string, number>()
  const decide: DecideConfiguration = (state, message, nowMs) => {
    const startedAtMs = performance.now()
    const step = decideConfiguration(state, message, nowMs)
    usage.cpuMs += performance.now() - startedAtMs
    return step
  }
  const handleSend = (_from: FakeVm, _to: string, body: unknown) => {
    const startedAtMs = performance.now()
    usage.bytes += pack({ slice: 'configuration', body }).length
    usage.cpuMs += performance.now() - startedAtMs
    usage.messages += 1
  }
  const fleet: FakeFleet = new FakeFleet({ vms, failureDomains: FAILURE_DOMAINS, seed: vms, decide, onSend: handleSend, onPublish: vm => inForceAtMs.set(vm.name, fleet.nowMs) })
  return { fleet, usage, inForceAtMs }
}

/** Writes changes one after the other, and measures how long each VM takes to put them in force. */
function measureChanges ({ fleet, usage, inForceAtMs }: MeasuredFleet): Dissemination {
  const delays: number[] = []
  const messagesBefore = usage.messages
  for (let i = 0; i < CHANGE_COUNT; i++) {
    inForceAtMs.clear()
    const writtenAtMs = fleet.nowMs
    fleet.service.writeObject('contract', 'bergen-workshop', { ...contract, statementTimeoutMs: 1_000 + i }, fleet.nowMs)
    fleet.runFor(CHANGE_INTERVAL_MS)
    for (const vm of fleet.vms) delays.push((inForceAtMs.get(vm.name) ?? Infinity) - writtenAtMs)
  }
  delays.sort((a, b) => a - b)
  const messagesPerVm = (usage.messages - messagesBefore) / fleet.vms.length / CHANGE_COUNT
  return { medianMs: delays[Math.floor(delays.length / 2)] ?? 0, maxMs: delays.at(-1) ?? 0, messagesPerVm }
}

/**
 * Measures an idle fleet, then changes while all VMs reach the object service, then changes while only
 * one of the VMs that watch the object service reaches it.
 */
function measureFleet (vms: number) {
  const measuredFleet = createMeasuredFleet(vms)
  const { fleet, usage } = measuredFleet
  fleet.runFor(SETTLE_DURATION_MS)
  Object.assign(usage, { messages: 0, bytes: 0, cpuMs: 0 })
  const serviceCallsBefore = fleet.service.calls
  const ages: number[] = []
  for (let elapsedMs = 0; elapsedMs < IDLE_DURATION_MS; elapsedMs += 1_000) {
    fleet.runFor(1_000)
    for (const vm of fleet.vms) ages.push(computeAgeMs(vm.state, fleet.nowMs))
  }
  ages.sort((a, b) => a - b)
  const vmSeconds = vms * IDLE_DURATION_MS / 1_000
  const idle = {
    messagesPerVmSecond: round(usage.messages / vmSeconds),
    bytesPerVmSecond: round(usage.bytes / vmSeconds),
    cpuMicrosPerVmSecond: round(usage.cpuMs * 1_000 / vmSeconds),
    serviceCallsPerSecond: round((fleet.service.calls - serviceCallsBefore) / (IDLE_DURATION_MS / 1_000)),
    ageMedianMs: round(ages[Math.floor(ages.length / 2)] ?? 0),
    ageMaxMs: round(ages.at(-1) ?? 0)
  }
  const idleMessages = idle.messagesPerVmSecond * CHANGE_INTERVAL_MS / 1_000
  const connectedChanges = measureChanges(measuredFleet)
  const watchers = [...fleet.vms[0]?.state.watchers ?? []]
  for (const w of watchers.slice(1)) fleet.cutFromService.add(w)
  const singleWatcherChanges = measureChanges(measuredFleet)
  return {
    vms,
    ...idle,
    changeMedianMs: connectedChanges.medianMs,
    changeMaxMs: connectedChanges.maxMs,
    messagesPerVmChange: round(connectedChanges.messagesPerVm - idleMessages),
    changeMaxOneWatcherMs: singleWatcherChanges.maxMs
  }
}

/** Heap in bytes that one object takes on a VM, as received and as validated together; `NaN` when an object was rejected. */
function measureObjectBytes (): number {
  setFlagsFromString('--expose-gc')
  const collectGarbage = runInNewContext('gc') as () => void
  const values = createObjectValues()
  const rawObjects: unknown[] = []
  collectGarbage()
  const heapBytesBefore = process.memoryUsage().heapUsed
  for (let i = 1; i <= OBJECT_COUNT; i++) {
    const name = `workspace-${i}`
    const object = { kind: 'contract', name, version: 1, revision: i, value: JSON.parse(JSON.stringify({ ...contract, workspace: name })) as unknown }
    rawObjects.push(object)
    applyValue(values, object)
  }
  collectGarbage()
  const bytesPerObject = (process.memoryUsage().heapUsed - heapBytesBefore) / rawObjects.length
  return values.contract.size === OBJECT_COUNT ? Math.round(bytesPerObject) : NaN
}

function round (value: number): number {
  return Math.round(value * 10) / 10
}

const sizes = process.argv.slice(2).map(Number)
const rows = (sizes.length > 0 ? sizes : DEFAULT_SIZES).map(measureFleet)
console.table(rows)
console.log(JSON.stringify({ benchmark: 'configuration', rows, heapBytesPerObject: measureObjectBytes() }))
