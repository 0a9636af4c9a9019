// Instances turn slow. A prepared statement must run with the shape that its requester had prepared when it sent the statement.
import { Client } from '../standins/client.mjs'
import { runCase, TENANTS, wait } from '../standins/deployment.mjs'

const SESSIONS_PER_GATEWAY = 12
/** The pages name up to 6.02 times, on a fifth of the instances. */
const SLOW_FACTOR = 6
const SLOW_INSTANCES = 2
const SLOW_MS = 7_000
const WORK_MS = 40
const SETTLE_MS = 12_000
/** Sessions begin one after the other within this time, so that connections are open before the trouble. */
const OPENING_MS = 9_000
const PAUSE_MS = 300
const AFTER_MS = 3_000
const MAX_REPORTED = 12

/** Prepares a read under the same name with another shape, executes it and closes the name, again and again. */
async function usePrepared (client, prefix, { isOver, executed }) {
  for (let n = 0; !client.isClosed && !isOver(); n++) {
    const shape = `${prefix}q${n}`
    await client.run(`PARSE s1 READ ${shape}`)
    await wait(PAUSE_MS)
    const { id, sentAtMs } = await client.run(`EXECUTE s1 k${n}`)
    executed.set(id, { shape, sentAtMs })
    await client.run('CLOSE s1')
  }
}

await runCase(new URL('.', import.meta.url), { gateways: 3 }, async ({ gateways, groups: [group], record, hasTrouble }) => {
  let isEnding = false
  const executed = new Map()
  const host = { isOver: () => isEnding, executed }
  const setWork = factor => { for (const i of group.instances.slice(-SLOW_INSTANCES)) i.workMs = WORK_MS * factor }
  for (const i of group.instances) i.workMs = WORK_MS
  await wait(SETTLE_MS)
  const sessions = Array.from({ length: SESSIONS_PER_GATEWAY * gateways.list.length }, async (_, i) => {
    await wait(i * OPENING_MS / (SESSIONS_PER_GATEWAY * gateways.list.length))
    const gateway = gateways.list[i % gateways.list.length]
    while (!host.isOver()) {
      const client = new Client(gateway, record)
      if (await client.open('shade-lakkbase-1', `key-${TENANTS[i % TENANTS.length]}`)) await usePrepared(client, `s${i}`, host)
      client.close()
      await wait(PAUSE_MS)
    }
  })
  await wait(OPENING_MS + AFTER_MS)
  const fromMs = performance.now()
  if (hasTrouble) {
    record(`trouble: ${SLOW_INSTANCES} instances work ${SLOW_FACTOR} times as long`)
    setWork(SLOW_FACTOR)
  }
  await wait(SLOW_MS)
  setWork(1)
  await wait(AFTER_MS)
  isEnding = true
  await Promise.all(sessions)
  const wrong = group.runs.filter(({ id, shape }) => executed.has(id) && executed.get(id).sentAtMs >= fromMs && executed.get(id).shape !== shape)
  for (const { id, instance, shape } of wrong.slice(0, MAX_REPORTED)) record(`PINNED: ${id} ran at ${instance} with shape ${shape}; its requester had prepared ${executed.get(id).shape} when it sent the statement`)
  record(`${executed.size} prepared reads, ${wrong.length} with another shape`)
  return wrong.length
})
