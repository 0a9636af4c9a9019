import { RefusalCode } from '@camphorpitch/wire'
import type { Connection } from 'mysql2/promise'
import { findPrimary } from '../fleet/find-primary.ts'
import type { Fleet, FleetEndpoint, FleetVm } from '../fleet/start-fleet.ts'
import { createKeyRing, openClient, readValue, runWithRetries, type WorkspaceKey } from './workspace-clients.ts'
import { checkCondition, waitForValue, type StepRunner } from './step.ts'

const READY_TIMEOUT_MS = 15_000
const FAILOVER_TIMEOUT_MS = 5_000
const WITHDRAWAL_TIMEOUT_MS = 3_000
const RETRY_DELAY_MS = 20

export interface DemoContext {
  fleet: Fleet
  workspace: string
  database: string
  workspaceKey: WorkspaceKey
  steps: StepRunner
  /** Ids of all rows whose write was acknowledged in this run. */
  acknowledged: number[]
}

interface MysqlError { errno?: number, message: string }

/** MySQL error number of a failed action, -1 for an error without one, `undefined` when the action succeeds. */
async function readErrno (action: Promise<unknown>): Promise<number | undefined> {
  try {
    await action
    return undefined
  } catch (error) {
    return (error as MysqlError).errno ?? -1
  }
}

function pickVm (context: DemoContext, index: number): FleetVm {
  return context.fleet.vms[index] as FleetVm
}

async function openClientAt (context: DemoContext, index: number): Promise<Connection> {
  return await openClient(context.fleet, pickVm(context, index), context.workspace, context.workspaceKey.key, context.database)
}

/** Counts how often an endpoint has executed exactly this statement. */
async function countReads (endpoint: FleetEndpoint, text: string): Promise<number> {
  const response = await fetch(`${endpoint.controlUrl}/record`)
  const record = await response.json() as { statements: Array<{ text: string }> }
  return record.statements.filter(s => s.text === text).length
}

async function waitForPrimary ({ fleet, database }: DemoContext): Promise<FleetEndpoint> {
  return await waitForValue('a primary', READY_TIMEOUT_MS, async () => await findPrimary(fleet, database))
}

async function writeRow (context: DemoContext, client: Connection, id: number, shade: string): Promise<void> {
  await runWithRetries(client, `INSERT INTO orders VALUES (${id}, '${shade}')`)
  context.acknowledged.push(id)
}

/** Waits until the fleet accepts a login and a write, then writes the first row. */
export async function runFirstWrite (context: DemoContext): Promise<string> {
  const client = await waitForValue('a successful login', READY_TIMEOUT_MS, async () => await openClientAt(context, 0).catch(() => undefined))
  await waitForValue('the first write', READY_TIMEOUT_MS, async () => await client.query('CREATE TABLE IF NOT EXISTS orders (id INTEGER PRIMARY KEY, shade TEXT)').catch(() => undefined))
  await writeRow(context, client, 1, 'coral')
  await client.end()
  return `through ${pickVm(context, 0).vm}`
}

async function listReplicas (context: DemoContext): Promise<FleetEndpoint[]> {
  const primary = await waitForPrimary(context)
  return context.fleet.endpoints.filter(e => e !== primary)
}

/**
 * Creates a probe that reads the session's own write and returns the number of reads once a replica has
 * served one. The primary may serve the first reads while the replicas catch up. Each read has a different
 * `LIMIT`, which identifies it in the endpoints' records.
 */
function createReplicaReadProbe (reader: Connection, replicas: FleetEndpoint[]): () => Promise<number | undefined> {
  let attempt = 0
  return async () => {
    attempt += 1
    const text = `SELECT shade FROM orders WHERE id = 2 LIMIT ${attempt}`
    const shade = await readValue(reader, text)
    checkCondition(shade === 'plum', `read ${shade} instead of the session's own write`)
    const served = await Promise.all(replicas.map(async e => await countReads(e, text)))
    return served.some(n => n > 0) ? attempt : undefined
  }
}

/** Writes through one VM and reads the write through another VM from a replica, by passing on the session token. */
export async function runReadThroughAnotherVm (context: DemoContext): Promise<string> {
  const writer = await openClientAt(context, 0)
  await writeRow(context, writer, 2, 'plum')
  const token = await readValue(writer, 'SELECT @camphorpitch_session')
  const reader = await openClientAt(context, 1)
  await reader.query(`SET @camphorpitch_session = '${token}'`)
  const replicas = await listReplicas(context)
  const attempts = await waitForValue('a read served by a replica', READY_TIMEOUT_MS, createReplicaReadProbe(reader, replicas))
  await Promise.all([writer.end(), reader.end()])
  return `through ${pickVm(context, 1).vm}, served by a replica at read ${attempts}`
}

/** Tries to log in with a wrong key and checks that access is denied (MySQL error 1045). */
export async function runWrongKeyLogin (context: DemoContext): Promise<string> {
  const errno = await readErrno(openClient(context.fleet, pickVm(context, 0), context.workspace, 'not-the-key', context.database))
  checkCondition(errno === 1045, `login with a wrong key ended with error ${errno} instead of 1045`)
  return 'error 1045'
}

/** Checks that a row written in a transaction is invisible to another session until the commit. */
export async function runTransaction (context: DemoContext): Promise<string> {
  const [writer, reader] = await Promise.all([openClientAt(context, 1), openClientAt(context, 2)])
  await runWithRetries(writer, 'BEGIN')
  await runWithRetries(writer, "INSERT INTO orders VALUES (3, 'teal')")
  const countBefore = await readValue(reader, 'SELECT count(*) FROM orders WHERE id = 3')
  await runWithRetries(writer, 'COMMIT')
  context.acknowledged.push(3)
  const countAfter = await readValue(reader, 'SELECT count(*) FROM orders WHERE id = 3')
  checkCondition(countBefore === '0' && countAfter === '1', `another session saw ${countBefore} rows before the commit and ${countAfter} after it`)
  await Promise.all([writer.end(), reader.end()])
  return 'invisible before the commit, visible to a new session after it'
}

/** Kills the primary and retries a write until one is acknowledged, then checks that no acknowledged row is missing. */
export async function runFailover (context: DemoContext): Promise<string> {
  const client = await openClientAt(context, 2)
  const primary = await waitForPrimary(context)
  const killedAtMs = performance.now()
  await primary.process.kill()
  let id = 100
  await waitForValue('a write after the failover', FAILOVER_TIMEOUT_MS, async () => {
    id += 1
    await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS))
    return await client.query(`INSERT INTO orders VALUES (${id}, 'after')`).then(() => true, () => undefined)
  })
  const gapMs = performance.now() - killedAtMs
  context.acknowledged.push(id)
  const { acknowledged } = context
  const foundCount = await readValue(client, `SELECT count(*) FROM orders WHERE id IN (${acknowledged.join(', ')})`)
  checkCondition(foundCount === String(acknowledged.length), `only ${foundCount} of ${acknowledged.length} acknowledged rows were found`)
  await client.end()
  return `killed ${primary.endpoint}; next write acknowledged after ${gapMs.toFixed(0)} ms, no acknowledged row missing`
}

/** Withdraws the key of a connected client and checks that its next statements are refused. */
export async function runKeyWithdrawal (context: DemoContext): Promise<string> {
  const client = await openClientAt(context, 1)
  await readValue(client, 'SELECT 1')
  const ring = await context.fleet.objectClient.readObject('key-ring', context.workspace)
  await context.fleet.objectClient.writeObject('key-ring', context.workspace, ring.version, createKeyRing(context.workspace, []))
  const errno = await waitForValue('a refusal after the key withdrawal', WITHDRAWAL_TIMEOUT_MS, async () => {
    await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS))
    return await readErrno(client.query('SELECT 1'))
  })
  client.destroy()
  checkCondition(errno === RefusalCode.notRunDenied, `statement with a withdrawn key ended with error ${errno} instead of ${RefusalCode.notRunDenied}`)
  return `the connected client is refused with error ${errno}`
}

/** Stops every proxy with SIGTERM and checks that each exits with code 0. */
export async function runPlannedStop (context: DemoContext): Promise<string> {
  const exitCodes = await Promise.all(context.fleet.vms.map(async v => await v.process.stop()))
  checkCondition(exitCodes.every(c => c === 0), `the proxies exited with codes ${exitCodes.join(', ')} instead of 0`)
  return `${exitCodes.length} proxies drained and exited with 0`
}
