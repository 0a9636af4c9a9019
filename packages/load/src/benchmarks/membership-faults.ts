import { SimulatedFleet } from '../../../proxy/src/membership/simulated-fleet.ts'

/**
 * Measures, by fleet size and on a simulated clock, how long all VMs' views take to converge after
 * large faults: all VMs of a failure domain stop at once, a region is partitioned from the others for a
 * minute, and the partition heals.
 *
 * @example node --import=tsx packages/load/src/benchmarks/membership-faults.ts
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

function startSettledFleet (size: number): SimulatedFleet {
  const fleet = new SimulatedFleet({ size, seed: size, failureDomains: FAILURE_DOMAINS })
  fleet.run(SETTLE_DURATION_MS)
  return fleet
}

/** Simulated time until `isDone` returns true; `null` when that takes longer than `CONVERGENCE_TIMEOUT_MS`. */
function measureSimulatedMs (fleet: SimulatedFleet, isDone: () => boolean): number | null {
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

/**
 * Partitions one region from the others. `separatedMs` is the time until each VM's view holds only the
 * VMs of its side, `healedMs` the time from healing until all views agree again, and
 * `deathsAfterHealing` counts how often a view declared a VM dead after the partition healed.
 */
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
