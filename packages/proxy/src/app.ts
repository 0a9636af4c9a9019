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
import { createPlacement } from './membership/placement-actor.ts'
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
  /** Ends without cutting a running statement or open transaction. */
  drain: () => Promise<void>
}

interface Base {
  settings: ProxySettings
  logger: Logger
  clock: Clock
  system: ActorSystemRef
  metrics: Metrics
  objectClient: ObjectClient
  self: Hello
}

interface Fleet {
  peers: WsPeerNetwork
  peerPort: number
  membership: RunningMembership
  configuration: Configuration
  placement: PlacementView
  limiter: RunningLimiter
}

/** Starts every slice of a VM and wires them to each other. */
export async function startApp (settings: ProxySettings, logger: Logger): Promise<ProxyApp> {
  const base = createBase(settings, logger)
  const fleet = await startFleetSlices(base)
  // Without a view of the fleet this VM would hold itself for the only one and open connections to every group.
  await fleet.membership.waitJoined()
  await fleet.configuration.waitUntilReady()
  const { served, router } = startStatements(base, fleet)
  const listener = await startCallers(base, fleet, router)
  const metricsServer = await startMetricsServer(base.metrics, settings.metrics.host, settings.metrics.port)
  return {
    callersPort: listener.port,
    peerPort: fleet.peerPort,
    metricsPort: metricsServer.port,
    drain: async () => await drainApp(base, fleet, { listener, served, metricsServer })
  }
}

function createBase (settings: ProxySettings, logger: Logger): Base {
  // Unique to this run even where the wall clock was set back: peers compare it only with earlier runs of the same VM.
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

async function startFleetSlices (base: Base): Promise<Fleet> {
  const { settings, logger, clock, system, metrics, objectClient, self } = base
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
  closeLinksOfDead(membership, peers)
  const configuration = startConfiguration({ system, clock, logger, objectClient, peers, membership })
  addConfigurationMetrics(metrics.registry, () => configuration.readReport())
  const placement = createPlacement({ membership, configuration, self: member, logger })
  const limiter = startLimiter({ system, clock, logger, peers, membership, configuration, objectClient, self })
  return { peers, peerPort, membership, configuration, placement, limiter }
}

/** A dead VM's links may stay half-open; whoever waits on them is told at once. */
function closeLinksOfDead (membership: RunningMembership, peers: WsPeerNetwork): void {
  let known = new Set<string>()
  membership.subscribe(() => {
    const current = new Set(membership.listMembers().map(m => m.vm))
    for (const vm of known) {
      if (!current.has(vm)) peers.closeLinks(vm)
    }
    known = current
  })
}

function startStatements (base: Base, fleet: Fleet): { served: ServedDatabases, router: StatementRouter } {
  const { settings, logger, clock } = base
  const { peers, placement, configuration } = fleet
  const served = new ServedDatabases({ configuration, placement, logger, startService: d => startService(base, fleet, d) })
  const findService: FindService = (database, transactionId) => served.findService(database, transactionId)
  const remote = new RemoteStatements(peers)
  const server = new StatementServer({ peers, logger, findService })
  peers.subscribe(STATEMENTS_SLICE, (from, body) => {
    const message = parseStatementMessage(body)
    if (message === undefined) logger.warn('malformed statement message', { from: from.vm })
    else if (message.type === 'frame') remote.handleFrame(from.vm, message)
    else server.handleMessage(from.vm, message)
  })
  served.updateServices()
  return { served, router: createStatementRouter({ self: settings.vm, clock, logger, placement, remote, findService }) }
}

function startService (base: Base, fleet: Fleet, database: Database): DatabaseService {
  const { settings, logger, clock, system, metrics, self } = base
  const { placement } = fleet
  const readRank = () => placement.listRanking(database.database).indexOf(settings.vm)
  const group = startGroupView({ system, clock, logger, database, vm: settings.vm, incarnation: self.incarnation, readRank, metrics })
  return startDatabaseService({ database, group, placement, system, clock, logger, failureDomain: settings.failureDomain })
}

async function startCallers (base: Base, fleet: Fleet, router: StatementRouter): Promise<Listener> {
  const { settings, logger, clock, system, metrics, self } = base
  const { configuration, limiter } = fleet
  let requests = 0
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
      createRequestId: () => `${settings.vm}.${self.incarnation}.${++requests}`
    }
  })
}

interface Endings {
  listener: Listener
  served: ServedDatabases
  metricsServer: MetricsServer
}

async function drainApp (base: Base, fleet: Fleet, { listener, served, metricsServer }: Endings): Promise<void> {
  const { logger, settings, system } = base
  logger.info('draining', { vm: settings.vm, callers: listener.listClients().length })
  await fleet.membership.leave()
  await listener.drain(settings.drainLimitMs)
  await Promise.all([served.drain(), fleet.limiter.stop()])
  fleet.configuration.stop()
  fleet.membership.stop()
  await Promise.all([fleet.peers.stop(), metricsServer.stop()])
  stop(system)
  logger.info('stopped', { vm: settings.vm })
}
