// A service that has lost one instance for good. Its other replica crashes and starts again; gateways must not end by themselves.
import { Client } from '../standins/client.mjs'
import { runCase, wait } from '../standins/deployment.mjs'

const GATEWAYS = 3
const SERVICES = ['lakkbase-1', 'lakkbase-2']
const SETTLE_MS = 11_000
/** Longer than three intervals of the pings, after which the entry of the lost instance is removed. */
const LOST_MS = 8_000
const CRASHES = 4
const DOWN_MS = 2_000
/** Time until an instance that has started again receives the log. */
const JOIN_MS = 500
const BETWEEN_MS = 4_000
/** The rule counts machines on which processes ended by themselves three times, two machines at least. */
const MIN_ENDS = 3
const MIN_MACHINES = 2

/** Reads and writes in short sessions until `isOver`. */
async function use (gateway, database, item, { isOver, record }) {
  while (!isOver()) {
    const client = new Client(gateway, record)
    const statements = await client.open(database, 'key-lab') ? 20 : 0
    for (let n = 0; n < statements && !client.isClosed && !isOver(); n++) {
      await client.run(n % 2 === 0 ? `WRITE ${item} v${n}` : `READ ${item}`)
      await wait(50)
    }
    client.close()
    await wait(200)
  }
}

await runCase(new URL('.', import.meta.url), { gateways: GATEWAYS, services: SERVICES }, async ({ gateways, groups: [group], record, hasTrouble }) => {
  let isEnding = false
  const isOver = () => isEnding
  const users = Array.from({ length: 12 }, async (_, i) => await use(gateways.list[i % GATEWAYS], `order-${SERVICES[i % 2]}`, i, { isOver, record }))
  const [, replica, lost] = group.instances
  await wait(SETTLE_MS)
  if (hasTrouble) {
    record(`trouble: replica ${lost.id} crashes for good`)
    lost.kill()
  }
  await wait(LOST_MS)
  for (let n = 0; n < CRASHES; n++) {
    if (hasTrouble) {
      record(`trouble: replica ${replica.id} crashes`)
      replica.kill()
    }
    await wait(DOWN_MS)
    if (hasTrouble) await replica.restart(JOIN_MS)
    await wait(BETWEEN_MS)
  }
  isEnding = true
  await Promise.all(users)
  for (const { name, ends } of gateways.list) record(`${name} ended by itself ${ends.filter(e => e.isOwnEnd).length} times`)
  const machines = gateways.list.filter(({ ends }) => ends.filter(e => e.isOwnEnd).length >= MIN_ENDS).length
  return machines >= Math.max(MIN_MACHINES, GATEWAYS / 10) ? machines : 0
})
