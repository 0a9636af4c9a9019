import { VirtualFleet } from '../../../proxy/src/membership/virtual-fleet.ts'

/**
 * Time in which all views follow large faults, by fleet size, under a virtual clock: a failure domain
 * that dies at once, a region that is cut off for a minute, and its return.
 *
 * Run: node --import=tsx packages/load/src/benchmarks/membership-faults.ts
 */

const FLEET_SIZES = [9, 45, 90, 180]
const FAILURE_DOMAINS = 9
const REGIONS = 3
const SETTLE_DURATION_MS = 60_000
const PARTITION_DURATION_MS = 60_000
const CONVERGENCE_TIMEOUT_MS = 180_000
const STEP_MS = 500

function parseVmIndex (vm: string): number {
  return Number(vm.slice('vm-'.length))
}

function startSettledFleet (size: number): VirtualFleet {
  const fleet = new VirtualFleet({ size, seed: size, failureDomains: FAILURE_DOMAINS })
  fleet.run(SETTLE_DURATION_MS)
  return fleet
}

/** Virtual time until `isDone`; `null` when that took longer than `LIMIT_MS`. */
function measureSimulatedMs (fleet: VirtualFleet, isDone: () => boolean): number | null {
  const startedAtMs = fleet.nowMs
  while (!isDone()) {
    if (fleet.nowMs - startedAtMs > CONVERGENCE_TIMEOUT_MS) return null
    fleet.run(STEP_MS)
  }
  return fleet.nowMs - startedAtMs
}

function measureDomainLoss (size: number): number | null {
  const fleet = startSettledFleet(size)
  const stoppedVms = fleet.listRunning().filter(vm => parseVmIndex(vm) % FAILURE_DOMAINS === 0)
  for (const vm of stoppedVms) fleet.stopVm(vm)
  return measureSimulatedMs(fleet, () => fleet.hasConverged())
}

function measureRegionPartition (size: number): { separatedMs: number | null, healedMs: number | null, deathsAfterHealing: number } {
  const fleet = startSettledFleet(size)
  const findSide = (vm: string) => Number(parseVmIndex(vm) % REGIONS === 0)
  const running = fleet.listRunning()
  const sideSizes = [0, 1].map(side => running.filter(vm => findSide(vm) === side).length)
  fleet.cut(findSide)
  const separatedMs = measureSimulatedMs(fleet, () => running.every(vm => fleet.readView(vm).size === sideSizes[findSide(vm)]))
  fleet.run(PARTITION_DURATION_MS)
  const deathsBefore = fleet.deaths.length
  fleet.cut(null)
  const healedMs = measureSimulatedMs(fleet, () => fleet.hasConverged())
  return { separatedMs, healedMs, deathsAfterHealing: fleet.deaths.length - deathsBefore }
}

const rows = FLEET_SIZES.map(size => ({ size, domainLossMs: measureDomainLoss(size), ...measureRegionPartition(size) }))
console.table(rows)
console.log(JSON.stringify({ benchmark: 'membership-faults', rows }))
