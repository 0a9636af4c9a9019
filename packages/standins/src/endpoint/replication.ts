import type { Logger } from '@camphorpitch/wire'
import mysql, { type Connection } from 'mysql2/promise'
import { setTimeout as wait } from 'node:timers/promises'
import type { FaultInjector } from './fault-injector.ts'
import { formatLogRequest, shipmentSchema } from './group-commands.ts'
import type { GroupMember } from './group-member.ts'
import { createLogRequest, mergeEntries, type LogEntry, type PrimaryAddress, type Shipment } from './group-rules.ts'
import { PEER_USER_PREFIX } from './mysql-server.ts'

const POLL_WAIT_MS = 50
const REQUEST_TIMEOUT_MS = 1_000
const RETRY_DELAY_MS = 20

export interface ReplicationOptions {
  member: GroupMember
  injector: FaultInjector
  password: string
  logger: Logger
}

export interface Replication {
  /** Restarts replication from the member's current primary; stops it when the member is not a replica. */
  reset: () => void
  stop: () => void
}

/** Starts to fetch log entries from the primary; the caller calls `reset` at each change of role, term or primary. */
export function startReplication (options: ReplicationOptions): Replication {
  let currentAbort: AbortController | null = null
  const reset = (): void => {
    currentAbort?.abort()
    currentAbort = null
    const { role, primary, term } = options.member.state
    if (role !== 'replica' || primary === null) return
    currentAbort = new AbortController()
    followPrimary(options, primary, term, currentAbort.signal).catch(() => {})
  }
  reset()
  return { reset, stop: () => currentAbort?.abort() }
}

/** Fetches entries from one primary and connects again after errors, until the signal aborts it. */
async function followPrimary (options: ReplicationOptions, primary: PrimaryAddress, term: number, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    try {
      await pollShipments(options, primary, term, signal)
    } catch (error) {
      options.logger.debug('replication interrupted', { instance: options.member.state.instance, primary: primary.instance, error: String(error) })
    }
    if (!signal.aborted) await wait(RETRY_DELAY_MS)
  }
}

async function pollShipments (options: ReplicationOptions, primary: PrimaryAddress, term: number, signal: AbortSignal): Promise<void> {
  const { member, injector, password } = options
  const instance = member.state.instance
  await waitUntilReachable(injector, primary.instance)
  const connection = await mysql.createConnection({
    host: primary.host, port: primary.port, user: PEER_USER_PREFIX + instance, password, connectTimeout: REQUEST_TIMEOUT_MS
  })
  const close = (): void => { connection.destroy() }
  signal.addEventListener('abort', close)
  try {
    const receivedLog = member.state.log.slice()
    while (!signal.aborted) {
      await waitUntilReachable(injector, primary.instance)
      const shipment = await requestShipment(connection, receivedLog, term, instance)
      if (signal.aborted || injector.isPeerCut(primary.instance)) return
      await injector.waitUntilUnfrozen()
      member.recordPrimaryResponse()
      mergeEntries(receivedLog, shipment)
      scheduleShipment(options, shipment, signal)
    }
  } finally {
    signal.removeEventListener('abort', close)
    close()
  }
}

async function requestShipment (connection: Connection, receivedLog: readonly LogEntry[], term: number, instance: string): Promise<Shipment> {
  const sql = formatLogRequest(createLogRequest(term, receivedLog), instance, POLL_WAIT_MS)
  const [rows] = await connection.query({ sql, timeout: REQUEST_TIMEOUT_MS })
  const [row] = rows as Array<{ status: string }>
  return shipmentSchema.parse(JSON.parse(row!.status))
}

/** Hands a shipment to the member after the replication delay. */
function scheduleShipment ({ member, injector }: ReplicationOptions, shipment: Shipment, signal: AbortSignal): void {
  const applyNow = (): void => {
    if (!signal.aborted) member.receiveShipment(shipment)
  }
  if (injector.faults.replicationDelayMs === 0) applyNow()
  else setTimeout(() => { injector.waitUntilUnfrozen().then(applyNow, () => {}) }, injector.faults.replicationDelayMs)
}

/** Waits while the local instance is frozen or its link to `peer` is cut. */
async function waitUntilReachable (injector: FaultInjector, peer: string): Promise<void> {
  await injector.waitUntilUnfrozen()
  while (injector.isPeerCut(peer)) await wait(RETRY_DELAY_MS)
}
