// Planned replacements of the primary, one after the other. Reads on a primary route must see every commit acknowledged before them.
import { Client } from '../standins/client.mjs'
import { runCase, wait } from '../standins/deployment.mjs'

const GATEWAYS = 6
const REPLACEMENTS = 3
const SETTLE_MS = 12_000
/** A new instance has the log long before the old one drains. */
const CATCH_UP_MS = 1_500
/** `drain-ms` and a little longer. */
const DRAIN_MS = 8_000
const AFTER_MS = 18_000
const RETRY_MS = 150
const MAX_REPORTED = 12

/** Keeps a session open, and a new one after it was closed, until `isOver`. */
async function keepSession (gateway, database, { isOver, record }, use) {
  while (!isOver()) {
    const client = new Client(gateway, record)
    if (await client.open(database, 'key-lab')) while (!client.isClosed && !isOver()) await use(client)
    client.close()
    await wait(100)
  }
}

async function writeOnce (client, item, commits) {
  const answer = await client.run(`WRITE ${item} v${Math.round(performance.now())}`)
  if (answer.isSuccess) commits.push({ id: answer.id, atMs: answer.answeredAtMs, index: Number(answer.lines.at(-1).split('.').at(-1)) })
  await wait(60)
}

async function readOnce (client, reads) {
  const answer = await client.run('READ 1')
  if (answer.isSuccess) reads.push(answer)
  await wait(answer.isSuccess ? 25 : RETRY_MS)
}

/** A transaction of twelve statements that only reads, with pauses. */
async function readInTransaction (client) {
  await client.run('BEGIN READ')
  for (let i = 0; i < 10 && !client.isClosed; i++) {
    const answer = await client.run('READ 2')
    if (!answer.isSuccess) {
      await wait(RETRY_MS)
      break
    }
    await wait(320 + Math.random() * 100)
  }
  await client.run('COMMIT')
}

/** Counts the reads of the primary route that ran on a log without a commit whose requester had its success before the read was sent. */
function countStale ({ reads, commits, runs, record }) {
  const runById = new Map(runs.map(r => [r.id, r]))
  const stale = reads.flatMap(read => {
    const run = runById.get(read.id)
    const latest = commits.filter(c => c.atMs < read.sentAtMs).reduce((max, c) => c.index > max.index ? c : max, { index: 0 })
    return latest.index > run.log ? [{ read, run, latest }] : []
  })
  for (const { read, run, latest } of stale.slice(0, MAX_REPORTED)) record(`STALE: read ${read.id} ran at ${run.instance}, ${run.role} of term ${run.term}, whose log stood at ${run.log} and lacked commit ${latest.index} (${latest.id}), acknowledged ${Math.round(read.sentAtMs - latest.atMs)} ms before the read was sent`)
  record(`${reads.length} reads on the primary route, ${commits.length} acknowledged writes, ${stale.length} stale reads`)
  return stale.length
}

await runCase(new URL('.', import.meta.url), { gateways: GATEWAYS }, async ({ gateways, groups: [group], record, hasTrouble }) => {
  const reads = []
  const commits = []
  let isEnding = false
  const host = { isOver: () => isEnding, record }
  const sessions = gateways.list.flatMap((gateway, i) => [
    keepSession(gateway, 'order-lakkbase-1', host, async client => await writeOnce(client, i, commits)),
    ...[1, 2].map(async () => await keepSession(gateway, 'order-lakkbase-1', host, async client => await readOnce(client, reads))),
    ...Array.from({ length: 8 }, async () => await keepSession(gateway, 'shade-lakkbase-1', host, readInTransaction))
  ])
  await wait(SETTLE_MS)
  for (let n = 0; n < REPLACEMENTS; n++) {
    const { primary } = group
    if (hasTrouble) {
      await group.add(primary.zone)
      await wait(CATCH_UP_MS)
      record(`trouble: primary ${primary.id} of term ${group.term} drains`)
      primary.drain(DRAIN_MS).catch(error => record(String(error)))
    }
    await wait(AFTER_MS)
  }
  isEnding = true
  await Promise.all(sessions)
  return countStale({ reads, commits, runs: group.runs, record })
})
