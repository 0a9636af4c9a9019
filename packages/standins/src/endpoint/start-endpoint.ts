import { createLogger } from '@camphorpitch/wire'
import { startControlServer } from './control-server.ts'
import { createEngine } from './engine.ts'
import { createFaultInjector } from './fault-injector.ts'
import { GroupMember } from './group-member.ts'
import { createGroupState, type GroupState, type PrimaryAddress } from './group-rules.ts'
import type { InstanceContext } from './instance-session.ts'
import { startMysqlServer, type MysqlServer } from './mysql-server.ts'
import { InstanceRecord } from './instance-record.ts'
import { startReplication, type Replication } from './replication.ts'
import { createSemaphore } from './semaphore.ts'
import { openStateFile, readStateFile } from './state-file.ts'
import { endpointSettingsSchema, type EndpointOptions, type EndpointSettings, type FaultChange } from './settings.ts'

const MAX_QUEUED_STATEMENTS = 500
const MAX_QUEUED_WRITERS = 500

export interface RunningEndpoint {
  instance: string
  host: string
  port: number
  controlPort: number
  record: InstanceRecord
  member: GroupMember
  applyFaults: (change: FaultChange) => void
  /** Returns the highest number of statements that held a slot at the same time. */
  countPeakSlots: () => number
  /** Closes the ports and all connections at once, without waiting for statements. */
  stop: () => Promise<void>
}

/**
 * Starts one instance of a database group in this process.
 *
 * @param onKill called on a request to kill the instance; the default stops it
 * @example const primary = await startEndpoint({ instance: 'db-1', initialPrimary: 'db-1' })
 * @throws ZodError for invalid options, Error when a port is taken
 */
export async function startEndpoint (options: EndpointOptions, onKill?: () => void): Promise<RunningEndpoint> {
  const settings = endpointSettingsSchema.parse(options)
  const logger = createLogger({ process: settings.instance, level: settings.logLevel })
  const engine = await createEngine()
  const injector = createFaultInjector(settings)
  const record = new InstanceRecord()
  const startedLater: { replication?: Replication, server?: MysqlServer } = {}
  const handleRoleChange = (): void => {
    const { term, role, primary } = member.state
    logger.info('role changed', { term, role, primary: primary?.instance ?? null })
    startedLater.server?.cancelTransactions()
    startedLater.replication?.reset()
  }
  const stateFile = settings.stateFile === undefined ? undefined : openStateFile(settings.stateFile)
  const member = new GroupMember({ state: createInitialState(settings), engine, injector, stateFile, handleRoleChange })
  const address: PrimaryAddress = { instance: settings.instance, host: settings.host, port: 0 }
  const context: InstanceContext = {
    engine,
    injector,
    member,
    record,
    slots: createSemaphore(settings.slots, MAX_QUEUED_STATEMENTS),
    writerLock: createSemaphore(1, MAX_QUEUED_WRITERS),
    address: () => address
  }
  const server = await startMysqlServer(settings, context)
  address.port = server.port
  const replication = startReplication({ member, injector, password: settings.password, logger })
  Object.assign(startedLater, { server, replication })
  const stop = async (): Promise<void> => {
    replication.stop()
    member.stop()
    await Promise.all([server.stop(), control.stop()])
  }
  const kill = onKill ?? (() => { stop().catch(() => {}) })
  const control = await startControlServer({ port: settings.controlPort, injector, member, record, kill })
  const { instance, host } = settings
  logger.info('listening', { instance, host, port: server.port, controlPort: control.port, failureDomain: settings.failureDomain })
  return { instance, host, port: server.port, controlPort: control.port, record, member, applyFaults: injector.update, countPeakSlots: context.slots.countPeakHolders, stop }
}

function createInitialState (settings: EndpointSettings): GroupState {
  const { instance, initialPrimary, initialTerm, host, port } = settings
  const listedPrimary = settings.members.find(m => m.instance === initialPrimary) ?? null
  const primary = instance === initialPrimary ? { instance, host, port } : listedPrimary
  const state = createGroupState(instance, initialTerm, primary)
  if (settings.stateFile !== undefined) readStateFile(settings.stateFile, state)
  return state
}

export type GroupOptions = Omit<EndpointOptions, 'instance' | 'initialPrimary' | 'port' | 'controlPort' | 'members'> & { instances: string[] }

/**
 * Starts a group in this process; the first instance is the primary of term 1.
 *
 * @example const [primary, ...replicas] = await startEndpointGroup({ instances: ['db-1', 'db-2', 'db-3'] })
 */
export async function startEndpointGroup ({ instances, ...options }: GroupOptions): Promise<RunningEndpoint[]> {
  const [initialPrimary, ...others] = instances
  const primary = await startEndpoint({ ...options, instance: initialPrimary!, initialPrimary: initialPrimary! })
  const members = [{ instance: primary.instance, host: primary.host, port: primary.port }]
  const replicas = await Promise.all(others.map(instance => startEndpoint({ ...options, instance, initialPrimary: initialPrimary!, members })))
  return [primary, ...replicas]
}
