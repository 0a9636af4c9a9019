import { performance } from 'node:perf_hooks'
import { pack } from 'msgpackr'
import { decideMembership } from '../../../proxy/src/membership/decision.ts'
import { SimulatedFleet, type DecideMembership } from '../../../proxy/src/membership/simulated-fleet.ts'

/**
 * Measures the cost and the accuracy of membership by fleet size and message loss, with the decisions of
 * all VMs in one process on a simulated clock. Bytes are those of the packed messages that a VM sends,
 * without the framing of the links; CPU is the time to decide and to pack.
 *
 * @example node --import=tsx packages/load/src/benchmarks/membership.ts
 */

const FLEET_SIZES = [9, 50, 200]
/** Fractions of messages that the simulated network loses. */
const LOSS_FRACTIONS = [0, 0.3]
const SETTLE_DURATION_MS = 120_000
const MEASURE_DURATION_MS = 30_000
const DETECTION_TIMEOUT_MS = 60_000
const DETECTION_STEP_MS = 100

interface Usage {
  decideMs: number
  packMs: number
  bytes: number
  messages: number
}

interface FleetResult {
  size: number
  loss: number
  detectionMs: number
  messagesPerVmSecond: number
  bytesPerVmSecond: number
  cpuMicrosPerVmSecond: number
  /** Distinct incarnations of VMs that were suspected while all VMs ran. */
  wrongSuspicionsPerVmHour: number
  /** Times that a view declared a running VM dead. */
  wrongDeathViews: number
}

function createMeasuredFleet (size: number, loss: number): { fleet: SimulatedFleet, usage: Usage } {
  const usage: Usage = { decideMs: 0, packMs: 0, bytes: 0, messages: 0 }
  const decide: DecideMembership = (state, input, nowMs) => {
    const startedAtMs = performance.now()
    const step = decideMembership(state, input, nowMs)
    usage.decideMs += performance.now() - startedAtMs
    return step
  }
  const handleSend = (body: unknown) => {
    const startedAtMs = performance.now()
    usage.bytes += pack({ slice: 'membership', body }).length
    usage.packMs += performance.now() - startedAtMs
    usage.messages += 1
  }
  return { fleet: new SimulatedFleet({ size, seed: size, lossFraction: loss, decide, handleSend }), usage }
}

/** Stops a VM and measures the simulated time until no running VM's view holds it. */
function measureDetection (fleet: SimulatedFleet): number {
  const stoppedAtMs = fleet.nowMs
  fleet.stopVm('vm-1')
  while (fleet.listObserversOf('vm-1').length > 0 && fleet.nowMs - stoppedAtMs < DETECTION_TIMEOUT_MS) fleet.run(DETECTION_STEP_MS)
  return fleet.nowMs - stoppedAtMs
}

function measureFleet (size: number, loss: number): FleetResult {
  const { fleet, usage } = createMeasuredFleet(size, loss)
  fleet.run(SETTLE_DURATION_MS)
  Object.assign(usage, { decideMs: 0, packMs: 0, bytes: 0, messages: 0 })
  const suspicionsBefore = fleet.suspicions.length
  fleet.run(MEASURE_DURATION_MS)
  const vmSeconds = size * MEASURE_DURATION_MS / 1_000
  const wronglySuspected = new Set(fleet.suspicions.slice(suspicionsBefore).map(s => `${s.vm}/${s.incarnation}`))
  const row = {
    size,
    loss,
    detectionMs: 0,
    messagesPerVmSecond: round(usage.messages / vmSeconds),
    bytesPerVmSecond: round(usage.bytes / vmSeconds),
    cpuMicrosPerVmSecond: round((usage.decideMs + usage.packMs) * 1_000 / vmSeconds),
    wrongSuspicionsPerVmHour: round(wronglySuspected.size * 3_600 / vmSeconds),
    wrongDeathViews: fleet.deaths.filter(d => d.isRunning).length
  }
  return { ...row, detectionMs: measureDetection(fleet) }
}

function round (value: number): number {
  return Math.round(value * 10) / 10
}

/** Growth per added VM from the smallest to the largest fleet, without message loss. */
function computeSlope (rows: readonly FleetResult[], key: 'bytesPerVmSecond' | 'cpuMicrosPerVmSecond' | 'detectionMs'): number {
  const losslessRows = rows.filter(r => r.loss === 0)
  const smallestFleet = losslessRows[0]!
  const largestFleet = losslessRows.at(-1)!
  return (largestFleet[key] - smallestFleet[key]) / (largestFleet.size - smallestFleet.size)
}

const rows = LOSS_FRACTIONS.flatMap(loss => FLEET_SIZES.map(size => measureFleet(size, loss)))
console.table(rows)
console.log(JSON.stringify({
  benchmark: 'membership',
  rows,
  slopesPerAddedVm: {
    bytesPerVmSecond: computeSlope(rows, 'bytesPerVmSecond'),
    cpuMicrosPerVmSecond: computeSlope(rows, 'cpuMicrosPerVmSecond'),
    detectionMs: computeSlope(rows, 'detectionMs')
  }
}))
