// Half of the VMs promote a replica while the other half still has commits acknowledged by a replica that has just joined.
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { performance } from 'node:perf_hooks'
import { Client, runCase, waitFor } from '../standins-2/deployment.js'
import { Group, hasEntry, Instance } from '../standins-2/group.js'

const OTHER_SERVICE = 'lakkbase-2'
const SETTLE_MS = 3_500
const CUT_MS = 4_000
/** From the cut to the start of the new replica, spread over the interval of the release so that no phase is preferred. */
const FIRST_JOIN_MS = 1_000
const RELEASE_GAP_MS = 1_000
const DRAIN_AFTER_MS = 900
const AFTER_MS = 1_500
const ROUNDS = 8
const WRITERS_PER_VM = 3

/** Writes one after the other until `isOver` returns true. @returns the acknowledged writes with the time at which the client knew */
async function runWriter (vm, name, record, isOver) {
  const acknowledged = []
  let client = null
  for (let n = 1; !isOver(); n++) {
    if (client === null || client.isClosed) {
      client = new Client(vm, { record, name })
      await client.open('orders')
    }
    const result = await client.run(`WRITE ${name} v${n}`)
    if (result.isSuccess) acknowledged.push(result)
    await waitFor(result.isSuccess ? 20 : 100)
  }
  client?.close()
  return acknowledged
}

/** Cuts one half of the VMs off from the other half, and the primary off from the first half. All reach the store and the replicas. */
async function cutHalves (vms, primary, record) {
  const halves = [vms.slice(0, 2), vms.slice(2)]
  const [near, far] = halves
  record.add(`cut for ${CUT_MS} ms: ${near.map(v => v.name)} from ${far.map(v => v.name)} and from the primary ${primary.id}`)
  const isOf = (others, address) => others.some(o => address.endsWith(`:${o.internalPort}`))
  await Promise.all([
    ...near.map(async v => await v.paths.cut((kind, address) => (kind === 'vms' && isOf(far, address)) || (kind === 'instances' && address === primary.address), CUT_MS)),
    ...far.map(async v => await v.paths.cut((kind, address) => kind === 'vms' && isOf(near, address), CUT_MS))
  ])
  record.add('cut has ended')
}

/** Starts an instance that registers, and then receives the log of its group. */
async function startInstance (deployment, group, { id, zone, bornMs }) {
  const instance = new Instance(group, { id, zone, ...deployment.instanceOptions, bornMs })
  instance.isDown = true
  instance.term = group.term
  await instance.start()
  deployment.register(instance, { service: group.service })
  instance.isDown = false
  return instance
}

/** Replaces replicas one after the other, as planned work: the new one starts first, then the old one reports that it drains. */
async function releaseReplicas (deployment, replicas, record) {
  for (const old of replicas) {
    const startedAtMs = performance.now()
    const { service } = old.group
    const started = await startInstance(deployment, old.group, { id: `${old.id}-new`, zone: old.zone, bornMs: Date.now() })
    record.add(`instance ${started.id} of ${service} has started and registered`)
    await waitFor(DRAIN_AFTER_MS)
    deployment.register(old, { service, state: 'draining' })
    await waitFor(Math.max(0, RELEASE_GAP_MS - (performance.now() - startedAtMs)))
  }
}

/** Finds the commits that were acknowledged to their clients and that a promoted instance lacked. */
function findLost ({ commits, promotions }, acknowledged) {
  const entryById = new Map(commits.map(c => [c.id, c.entry]))
  return promotions.flatMap(p => {
    const lost = acknowledged.filter(w => w.answeredAtMs < p.atMs && !hasEntry(p.head, entryById.get(w.id)))
    return lost.length === 0 ? [] : [`${p.instance} was promoted without ${lost.length} acknowledged commits, the first ${lost[0].id} of ${lost[0].vm}, acknowledged ${Math.round(p.atMs - lost[0].answeredAtMs)} ms before`]
  })
}

let round = 0

async function playRound (deployment, record, hasTrouble) {
  const { group, vms } = deployment
  const joinMs = FIRST_JOIN_MS + RELEASE_GAP_MS * (round++ % ROUNDS) / ROUNDS
  const other = new Group({ service: OTHER_SERVICE, onChange: i => deployment.register(i, { service: OTHER_SERVICE }) })
  for (const { id, zone, bornMs } of [...group.instances]) await startInstance(deployment, other, { id: `${id}-2`, zone, bornMs })
  let isEnded = false
  const pending = vms.flatMap(vm => Array.from({ length: WRITERS_PER_VM }, async (_, i) => (await runWriter(vm, `${vm.name}-w${i}`, record, () => isEnded)).map(w => ({ ...w, vm: vm.name }))))
  await waitFor(SETTLE_MS)
  const { primary } = group
  const released = [...other.instances.slice(1), group.instances[1]]
  // The release begins before the cut, with the other service.
  const releaseMs = RELEASE_GAP_MS * (released.length - 1) - joinMs
  const release = waitFor(Math.max(0, -releaseMs)).then(async () => await releaseReplicas(deployment, released, record))
  await waitFor(Math.max(0, releaseMs))
  const cut = hasTrouble ? cutHalves(vms, primary, record) : waitFor(CUT_MS)
  await Promise.all([cut, release])
  await waitFor(AFTER_MS)
  isEnded = true
  const acknowledged = (await Promise.all(pending)).flat()
  record.add(`${acknowledged.length} acknowledged writes, ${group.promotions.length} promotions; the new replica started ${joinMs} ms after the cut`)
  for (const p of group.promotions) record.add(`promoted ${p.instance} to term ${p.term} with a log up to ${p.head?.term}.${p.head?.number}`)
  for (const i of other.instances) i.stop()
  return findLost(group, acknowledged)
}

await runCase(dirname(fileURLToPath(import.meta.url)), { round: playRound, rounds: ROUNDS, options: { vmZones: ['oslo-a', 'bergen-a', 'bodo-a', 'oslo-a'], otherServices: [OTHER_SERVICE], promoteMs: 1_000, instance: { lagMs: 60 } } })
