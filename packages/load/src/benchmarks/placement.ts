import { performance } from 'node:perf_hooks'
import { PlacementTable } from '../../../proxy/src/membership/placement-table.ts'
import { selectServingVms, SERVING_VM_COUNT, type Candidate } from '../../../proxy/src/membership/placement.ts'

/**
 * Measures the time to select the serving VMs of all databases, the time to update the placement table
 * after a change of one member, and the fraction of places that move when one VM leaves.
 *
 * @example node --import=tsx packages/load/src/benchmarks/placement.ts
 */

const FLEETS = [{ vms: 9, databases: 3 }, { vms: 200, databases: 400 }, { vms: 860, databases: 1_500 }]
const FAILURE_DOMAINS = 9
const REGIONS = 3
const MEMBER_CHANGES = 50

function createCandidates (count: number): Candidate[] {
  return Array.from({ length: count }, (_, i) => {
    const domain = i % FAILURE_DOMAINS
    return { vm: `vm-${i}`, failureDomain: `domain-${domain}`, region: `region-${domain % REGIONS}` }
  })
}

function selectAllServingVms (members: readonly Candidate[], databases: number): string[][] {
  return Array.from({ length: databases }, (_, i) => selectServingVms(`db-${i}`, members))
}

/** Measures the time to fill the table at the start, and the mean time of an update when a member leaves or returns. */
function measureTable (members: readonly Candidate[], databases: number): { tableMs: number, changeMs: number } {
  const table = new PlacementTable()
  const placed = Array.from({ length: databases }, (_, i) => ({ database: `db-${i}`, regions: [] }))
  const startedAtMs = performance.now()
  table.replaceMembers(members)
  table.replaceDatabases(placed)
  const tableMs = performance.now() - startedAtMs
  const changesStartedAtMs = performance.now()
  for (let i = 0; i < MEMBER_CHANGES; i++) {
    table.replaceMembers(members.filter((_, n) => n !== i % members.length))
    table.replaceMembers(members)
  }
  return { tableMs, changeMs: (performance.now() - changesStartedAtMs) / (2 * MEMBER_CHANGES) }
}

const rows = FLEETS.map(({ vms, databases }) => {
  const members = createCandidates(vms)
  selectAllServingVms(members, databases)
  const startedAtMs = performance.now()
  const listsBefore = selectAllServingVms(members, databases)
  const placeMs = performance.now() - startedAtMs
  const listsAfter = selectAllServingVms(members.slice(1), databases)
  const movedPlaces = listsAfter.flatMap((list, i) => list.filter(vm => !listsBefore[i]!.includes(vm))).length
  const { tableMs, changeMs } = measureTable(members, databases)
  const databasesByVm = new Map<string, number>()
  for (const vm of listsBefore.flat()) databasesByVm.set(vm, (databasesByVm.get(vm) ?? 0) + 1)
  return {
    vms,
    databases,
    fromScratchMs: Number(placeMs.toFixed(2)),
    tableStartMs: Number(tableMs.toFixed(2)),
    memberChangeMs: Number(changeMs.toFixed(3)),
    movedShare: Number((movedPlaces / (databases * SERVING_VM_COUNT)).toFixed(5)),
    idealMovedShare: Number((1 / vms).toFixed(5)),
    meanDatabasesPerVm: Number((databases * SERVING_VM_COUNT / vms).toFixed(1)),
    maxDatabasesPerVm: Math.max(...databasesByVm.values())
  }
})
console.table(rows)
console.log(JSON.stringify({ benchmark: 'placement', rows }))
