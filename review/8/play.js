// A VM that is cut off from the store and the other VMs reads at an old primary that has stepped down in a planned change.
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Client, runCase, waitFor, waitUntil } from '../standins-2/deployment.js'
import { hasEntry } from '../standins-2/group.js'

const SETTLE_MS = 2_000
const CUT_MS = 3_500
const DRAIN_AFTER_MS = 200
const AFTER_MS = 300
const READ_PAUSE_MS = 250
const READERS = 1

/** Writes one after the other until `isOver` returns true. @returns the acknowledged writes with the time at which the client knew */
async function runWriter (vm, record, isOver) {
  const acknowledged = []
  let client = null
  for (let n = 1; !isOver(); n++) {
    if (client === null || client.isClosed) {
      client = new Client(vm, { record, name: 'writer' })
      await client.open('orders')
    }
    const result = await client.run(`WRITE shade-1 v${n}`)
    if (result.isSuccess) acknowledged.push(result)
    await waitFor(result.isSuccess ? 15 : 50)
  }
  client?.close()
  return acknowledged
}

/** Reads one after the other until `isOver` returns true. @returns the successful reads */
async function runReader (vm, record, isOver) {
  const reads = []
  let client = null
  while (!isOver()) {
    if (client === null || client.isClosed) {
      client = new Client(vm, { record, name: 'reader' })
      await client.open('orders')
    }
    const result = await client.run('READ shade-1')
    if (result.isSuccess) reads.push(result)
    await waitFor(READ_PAUSE_MS)
  }
  client?.close()
  return reads
}

/** Finds the reads whose log lacked a commit that was acknowledged to its client before the read was sent. */
function findStaleReads ({ runs, commits, primary }, acknowledged, reads) {
  const runById = new Map(runs.map(r => [r.id, r]))
  const entryById = new Map(commits.map(c => [c.id, c.entry]))
  const broken = []
  // What a promotion has rolled back does not count. What is left lies on one log, in the order of its numbers.
  const kept = acknowledged.filter(w => hasEntry(primary.head, entryById.get(w.id)))
  for (const read of reads) {
    const run = runById.get(read.id)
    const missed = kept.filter(w => w.answeredAtMs < read.sentAtMs && entryById.get(w.id).number > (run.visible?.number ?? 0))
    if (missed.length > 0) broken.push(`read ${read.id} at ${run.instance} (${run.role}) lacks ${missed.length} commits, the first ${missed[0].id}, acknowledged ${Math.round(read.sentAtMs - missed[0].answeredAtMs)} ms before the read was sent`)
  }
  return broken
}

async function playRound (deployment, record, hasTrouble) {
  const { group, vms } = deployment
  let isEnded = false
  const isOver = () => isEnded
  const pendingWrites = runWriter(vms[0], record, isOver)
  const pendingReads = Promise.all(Array.from({ length: READERS }, async () => await runReader(vms[2], record, isOver)))
  await waitFor(SETTLE_MS)
  const old = group.primary
  const cut = hasTrouble ? deployment.cutOff(vms[2], CUT_MS) : Promise.resolve()
  await waitFor(DRAIN_AFTER_MS)
  record.add(`primary ${old.id} announces its shutdown`)
  deployment.drain(old)
  const isReplaced = await waitUntil(() => group.primary !== undefined && group.primary !== old, 10_000)
  record.add(isReplaced ? `primary is ${group.primary.id}` : 'the primary was not replaced')
  await cut
  await waitFor(AFTER_MS)
  isEnded = true
  const acknowledged = await pendingWrites
  const reads = (await pendingReads).flat()
  record.add(`${acknowledged.length} acknowledged writes, ${reads.length} successful reads`)
  return findStaleReads(group, acknowledged, reads)
}

await runCase(dirname(fileURLToPath(import.meta.url)), { round: playRound, rounds: 3, options: { promoteMs: 300, instance: { lagMs: 60 } } })
