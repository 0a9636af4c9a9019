import { type Clock, type Database, type Hello, type Logger, MonotonicClock, ObjectClient, PEER_PROTOCOL_VERSION, WsPeerNetwork } from '@camphorpitch/wire'
import { start, stop, type ActorSystemRef } from 'nact'
import type { Configuration } from './configuration/configuration.ts'
import { addConfigurationMetrics } from './configuration/configuration-metrics.ts'
import { startConfiguration } from './configuration/start-configuration.ts'
import { startGroupView } from './failover/start-group-view.ts'
import { checkKeyUse, createKeyFinder } from './keys/key-use.ts'
import { startLimiter, type RunningLimiter } from './limits/start-limiter.ts'
import { startListener, type Listener } from './listener/listener.ts'
import { startMembership, type RunningMembership } from './membership/membership-actor.ts'
import type { Member } from './membership/membership-view.ts'
import { createPlacement } from './membership/rendezvous-placement.ts'
import type { PlacementView } from './membership/placement-view.ts'
import { startDatabaseService } from './serving/start-database-service.ts'
import type { ProxySettings } from './settings.ts'
import type { DatabaseService, FindService } from './statements/database-service.ts'
import { parseStatementMessage, RemoteStatements } from './statements/remote-statements.ts'
import { ServedDatabases } from './statements/served-databases.ts'
import { createStatementRouter, type StatementRouter } from './statements/statement-router.ts'
import { STATEMENTS_SLICE, StatementServer } from './statements/statement-server.ts'
import { createMetrics, startMetricsServer, type Metrics, type MetricsServer } from './telemetry/metrics.ts'

/** A running proxy. */
export interface ProxyApp {
  callersPort: number
  peerPort: number
  metricsPort: number
  /** Stops the proxy once running statements and open transactions have ended, or the drain limit of the settings is over. */
  drain: () => Promise<void>
}

/** What every slice of the VM needs. */
interface AppContext {
  settings: ProxySettings
  logger: Logger
  clock: Clock
  system: ActorSystemRef
  metrics: Metrics
  objectClient: ObjectClient
  self: Hello
}

/** The slices that connect this VM with the rest of the fleet. */
interface FleetSlices {
  peers: WsPeerNetwork
  peerPort: number
  membership: RunningMembership
  configuration: Configuration
  placement: PlacementView
  limiter: RunningLimiter
}

/** Starts the slices of a VM and connects them. Resolves once the VM serves clients. */
export async function startApp (settings: ProxySettings, logger: Logger): Promise<ProxyApp> {
  const context = createContext(settings, logger)
  const slices = await startFleetSlices(context)
  // Without the list of members, this VM would consider itself the only one and open connections to every group.
  await slices.membership.waitUntilJoined()
  await slices.configuration.waitUntilReady()
  const { servedDatabases, router } = startStatementRouting(context, slices)
  const listener = await startClientListener(context, slices, router)
  const metricsServer = await startMetricsServer(context.metrics, settings.metrics.host, settings.metrics.port)
  return {
    callersPort: listener.port,
    peerPort: slices.peerPort,
    metricsPort: metricsServer.port,
    drain: async () => await drainApp(context, slices, { listener, servedDatabases, metricsServer })
  }
}

function createContext (settings: ProxySettings, logger: Logger): AppContext {
  // Peers compare it only with earlier runs of the same VM, from which it differs even if the wall clock was set back.
  const incarnation = Date.now()
  return {
    settings,
    logger,
    clock: new MonotonicClock(),
    system: start(),
    metrics: createMetrics(),
    objectClient: new ObjectClient({ url: settings.platform }),
    self: { version: PEER_PROTOCOL_VERSION, vm: settings.vm, incarnation, failureDomain: settings.failureDomain }
  }
}

async function startFleetSlices (context: AppContext): Promise<FleetSlices> {
  const { settings, logger, clock, system, metrics, objectClient, self } = context
  let findMember: (vm: string) => Member | undefined = () => undefined
  const findAddress = (vm: string) => {
    const member = findMember(vm)
    return member === undefined ? undefined : { host: member.host, port: member.peerPort }
  }
  const peers = new WsPeerNetwork({ self, clock, logger, findAddress })
  const peerPort = await peers.listen(settings.peers.host, settings.peers.port)
  const member = { vm: settings.vm, host: settings.peers.host, peerPort, failureDomain: settings.failureDomain, region: settings.region, incarnation: self.incarnation }
  const membership = startMembership({ system, clock, logger, peers, objectClient, self: member, seed: self.incarnation })
  findMember = vm => membership.findMember(vm)
  closeLinksOfRemovedVms(membership, peers)
  const configuration = startConfiguration({ system, clock, logger, objectClient, peers, membership })
  addConfigurationMetrics(metrics.registry, () => configuration.readReport())
  const placement = createPlacement({ membership, configuration, self: member, logger })
  const limiter = startLimiter({ system, clock, logger, peers, membership, configuration, objectClient, self })
  return { peers, peerPort, membership, configuration, placement, limiter }
}

/**
 * Closes the links to VMs that are no longer members.
 *
 * The links of a dead VM may stay half-open. Closing them immediately notifies the slices that wait for a response on them.
 */
function closeLinksOfRemovedVms (membership: RunningMembership, peers: WsPeerNetwork): void {
  let knownVms = new Set<string>()
  membership.subscribe(() => {
    const currentVms = new Set(membership.listMembers().map(m => m.vm))
    for (const vm of knownVms) {
      if (!currentVms.has(vm)) peers.closeLinks(vm)
    }
    knownVms = currentVms
  })
}

function startStatementRouting (context: AppContext, slices: FleetSlices): { servedDatabases: ServedDatabases, router: StatementRouter } {
  const { settings, logger, clock } = context
  const { peers, placement, configuration } = slices
  const servedDatabases = new ServedDatabases({ configuration, placement, logger, startService: d => startService(context, slices, d) })
  const findService: FindService = (database, transactionId) => servedDatabases.findService(database, transactionId)
  const remote = new RemoteStatements(peers)
  const server = new StatementServer({ peers, logger, findService })
  peers.subscribe(STATEMENTS_SLICE, (from, body) => {
    const message = parseStatementMessage(body)
    if (message === undefined) logger.warn('malformed statement message', { from: from.vm })
    else if (message.type === 'frame') remote.handleFrame(from.vm, message)
    else server.handleMessage(from.vm, message)
  })
  servedDatabases.updateServices()
  return { servedDatabases, router: createStatementRouter({ self: settings.vm, clock, logger, placement, remote, findService }) }
}

function startService (context: AppContext, slices: FleetSlices, database: Database): DatabaseService {
  const { settings, logger, clock, system, metrics, self } = context
  const { placement } = slices
  const readRank = () => placement.listRankedServingVms(database.database).indexOf(settings.vm)
  const group = startGroupView({ system, clock, logger, database, vm: settings.vm, incarnation: self.incarnation, readRank, metrics })
  return startDatabaseService({ database, group, placement, system, clock, logger, failureDomain: settings.failureDomain })
}

async function startClientListener (context: AppContext, slices: FleetSlices, router: StatementRouter): Promise<Listener> {
  const { settings, logger, clock, system, metrics, self } = context
  const { configuration, limiter } = slices
  let requestCount = 0
  return await startListener({
    host: settings.callers.host,
    port: settings.callers.port,
    vm: settings.vm,
    system,
    logger,
    maxConnections: settings.maxConnections,
    findKey: createKeyFinder(configuration),
    runner: {
      clock,
      logger,
      configuration,
      limiter,
      router,
      metrics,
      checkKey: session => checkKeyUse(configuration, session),
      createRequestId: () => `${settings.vm}.${self.incarnation}.${++requestCount}`
    }
  })
}

/** What `drainApp` stops besides the fleet slices. */
interface DrainTargets {
  listener: Listener
  servedDatabases: ServedDatabases
  metricsServer: MetricsServer
}

async function drainApp (context: AppContext, slices: FleetSlices, { listener, servedDatabases, metricsServer }: DrainTargets): Promise<void> {
  const { logger, settings, system } = context
  logger.info('draining', { vm: settings.vm, callers: listener.listClients().length })
  await slices.membership.leave()
  await listener.drain(settings.drainLimitMs)
  await Promise.all([servedDatabases.drain(), slices.limiter.stop()])
  slices.configuration.stop()
  slices.membership.stop()
  await Promise.all([slices.peers.stop(), metricsServer.stop()])
  stop(system)
  logger.info('proxy stopped', { vm: settings.vm })
}
