import { isDeepStrictEqual } from 'node:util'
import { MonotonicClock, WsPeerNetwork, type Clock, type GatewayStatus, type Hello, type Logger, PEER_PROTOCOL_VERSION } from '@camphorpitch/wire'
import type { EndpointConnector } from './backend/endpoint-connector.ts'
import type { Promoter } from './backend/promoter.ts'
import type { ClientListener } from './clients/client-listener.ts'
import { ElapsedClock } from './clock/elapsed-clock.ts'
import { ConfigurationHolder } from './configuration/configuration-holder.ts'
import {
  applyChanges,
  applyHeldBackEntries,
  applyListing,
  applyOffer,
  createDirectory,
  createOffer,
  isListed,
  isStoreRecovering,
  recordOlderCopy,
  recordStoreRecovery,
  removeExpiredLapsedEntries,
  type DirectoryState
} from './directory/directory.ts'
import { InvalidEntries } from './directory/invalid-entries.ts'
import { drainSessions, finishSessions } from './drain/drain.ts'
import { runStopSteps } from './drain/stop-steps.ts'
import { endEvacuatedTransactions } from './evacuation/end-transactions.ts'
import { Evacuations } from './evacuation/evacuations.ts'
import type { EndpointEntry } from './directory/endpoint-entry.ts'
import { ControlConnections } from './failover/control-connections.ts'
import { ClaimInquiries } from './failover/claim-inquiries.ts'
import { DutyClaims } from './failover/duty-claim.ts'
import { DepartureInquiries } from './failover/departure-inquiries.ts'
import { FailoverWatch } from './failover/failover-watch.ts'
import type { PromotionHost } from './failover/promotion-attempt.ts'
import { StartRecord, type StartRecordOptions } from './failover/start-record.ts'
import { LeadershipVerifier } from './failover/verify-leadership.ts'
import { Fleet } from './fleet/fleet.ts'
import { FleetMessageHandler, type EndpointExchange } from './fleet/fleet-message-handler.ts'
import { createMemberState, type MemberState } from './fleet/members.ts'
import type { VmEntry } from './fleet/message-schemas.ts'
import { GroupTable, type GroupTableOptions } from './groups/group-table.ts'
import type { ServiceGroup } from './groups/service-group.ts'
import { BurstRecord } from './limits/burst-record.ts'
import { CountingVms } from './limits/counting-vms.ts'
import { PermitClient } from './limits/permit-requests.ts'
import { QuotaCounter } from './limits/quota-counter.ts'
import type { Listing, MetadataStore } from './metadata/metadata-store.ts'
import { reportEpochs } from './metadata/report-epochs.ts'
import { KindWatch, watchKind } from './metadata/watch-kind.ts'
import { computeWatchMs } from './metadata/watch-times.ts'
import { computeCapacity } from './serving/placement.ts'
import { ServingVms } from './serving/serving-vms.ts'
import { StatementForwarder } from './serving/statement-forwarder.ts'
import { ClientSession } from './sessions/client-session.ts'
import { GatewaySessionHost } from './sessions/gateway-session-host.ts'
import type { GatewaySettings } from './settings.ts'
import { LeavingControl, type LeavingControlOptions } from './statements/leaving-control.ts'
import { estimateReplacementMs } from './statements/usable-pools.ts'
import { createGatewayMetrics, type GatewayMetrics } from './telemetry/gateway-metrics.ts'
import { createGatewayStatus } from './telemetry/gateway-status.ts'
import { WarmupLimits, type WarmupLimitsOptions } from './warmup/warmup-limits.ts'

/** Pause between two watches of the endpoints: the entries of a group change together, and each change goes to every VM. */
const ENDPOINTS_WATCH_PAUSE_MS = 250
/** Pause while entries change all the time, as when a deployment starts: a drain takes seconds, and each watch is a call of every VM. */
const ENDPOINTS_RAPID_PAUSE_MS = 1_000
/**
 * Configuration versions that follow each other faster than this are fetched together: one with thousands of routes
 * takes half a second over a slow link.
 */
const CONFIGURATION_COALESCE_MS = 1_000
/** Interval at which lapsed endpoints are removed and connection pools adjusted. */
const MAINTENANCE_INTERVAL_MS = 500
/** Interval at which transactions in evacuated failure domains are looked for. */
const EVACUATION_CHECK_INTERVAL_MS = 100
/** After this time another endpoint can run the transaction that was ended at a replica. */
const REPLICA_RETURN_MS = 100
/** Time for the other VMs to be told that this one leaves, although its sessions used all the time of the stop. */
const MIN_LEAVE_MS = 50
const MS_PER_SECOND = 1_000
/** Labels of the metric of reads by distance. */
const DISTANCE_LABELS = ['domain', 'region', 'otherRegion'] as const

/** The implementations that connect a gateway to its clients, to the endpoints and to the platform. */
export interface GatewayAdapters {
  connector: EndpointConnector
  listener: ClientListener
  store: MetadataStore
  promoter: Promoter
}

export interface GatewayOptions {
  settings: GatewaySettings
  adapters: GatewayAdapters
  logger: Logger
  clock?: Clock
  /** Time since the start of the process, in milliseconds, if nothing was served in it before; 0 by default. */
  uptimeMs?: number
}

/** A running gateway. */
export interface Gateway {
  metrics: GatewayMetrics
  isReady: () => boolean
  /** Describes for operators how this VM sees the fleet and the services, and what it uses. */
  readStatus: () => GatewayStatus
  /** Explains where a statement would go; sends nothing to an endpoint. */
  explain: GatewaySessionHost['explainOperation']
  /**
   * Stops the gateway without interrupting running statements. Transactions that are still open after half of the grace
   * period are ended.
   */
  drain: () => Promise<void>
}

interface GatewayComponents {
  settings: GatewaySettings
  adapters: GatewayAdapters
  logger: Logger
  clock: Clock
  metrics: GatewayMetrics
  configuration: ConfigurationHolder
  directory: DirectoryState
  endpointsWatch: KindWatch<'endpoints'>
  members: MemberState
  groups: GroupTable
  quotas: QuotaCounter
  permits: PermitClient
  burstRecord: BurstRecord
  leadershipVerifier: LeadershipVerifier
  network: WsPeerNetwork
  fleet: Fleet
  evacuations: Evacuations
  failover: FailoverWatch
  forwarder: StatementForwarder
  leaving?: LeavingControl
}

/** Starts all slices of a VM's gateway, connected to each other. Resolves once it listens for clients. */
export async function startGateway ({ settings, adapters, logger, clock = createClock(logger), uptimeMs = 0 }: GatewayOptions): Promise<Gateway> {
  const components = createComponents({ settings, adapters, logger, clock, uptimeMs })
  const { network, fleet, failover, quotas, burstRecord, configuration, groups, metrics, directory, evacuations, forwarder } = components
  const sessions = new Set<ClientSession>()
  const host = new GatewaySessionHost({ ...components, removeSession: session => { sessions.delete(session) } })
  await network.listen(settings.host, settings.internalPorts[0])
  fleet.start()
  burstRecord.start()
  failover.start()
  const watches = startWatches(components)
  const maintenanceTimer = setInterval(() => {
    groups.applyChanges([...removeExpiredLapsedEntries(directory, clock.readNow()), ...applyHeldBackEntries(directory, clock.readNow())])
    for (const group of groups.list()) for (const pool of group.pools.values()) pool.runPlan()
  }, MAINTENANCE_INTERVAL_MS)
  const evacuationTimer = settings.evacuation === undefined ? undefined : setInterval(() => endEvacuatedTransactions(sessions, evacuations.list(), entry => estimateTransactionReturnMs(components, entry)), EVACUATION_CHECK_INTERVAL_MS)
  configuration.subscribe(current => {
    metrics.configurationVersion.set(current.version)
    quotas.update()
    for (const session of sessions) session.applyConfiguration(current)
  })
  await listenForClients(components, host, sessions)
  let isDraining = false
  const isReady = (): boolean => !isDraining && configuration.current !== null && groups.list().length > 0 && evacuations.isKnown
  return {
    metrics,
    isReady,
    readStatus: () => createGatewayStatus({ ...components, store: adapters.store, isReady, countSessions: () => sessions.size }),
    explain: host.explainOperation,
    drain: async () => {
      isDraining = true
      const stop = { clock, logger, startedAtMs: clock.readNow(), graceMs: settings.graceS * MS_PER_SECOND, listSessions: () => [...sessions] }
      const forwarderStop = forwarder.stop()
      forwarderStop.catch(() => {}) // It is awaited in a later step.
      await drainSessions(stop)
      clearInterval(maintenanceTimer)
      clearInterval(evacuationTimer)
      for (const w of watches) w.stop()
      failover.stop()
      await runStopSteps(stop, {
        'sessions ended': async () => {
          await adapters.listener.stop()
          await finishSessions(stop)
          await forwarderStop
        }
      })
      // Other VMs neither ask a VM that has left about its reads and commits nor wait for its leases.
      await runStopSteps(stop, { 'fleet left': async () => await fleet.stop() }, { minMs: MIN_LEAVE_MS })
      await runStopSteps(stop, { 'links closed': async () => await network.stop() })
      for (const session of sessions) session.recordEnd('processExit')
      logger.info('stopped', { sinceStopMs: Math.round(clock.readNow() - stop.startedAtMs) })
    }
  }
}

function createClock (logger: Logger): Clock {
  return new ElapsedClock({
    recordSuspension: suspension => logger.warn('clock advanced by a suspension of the vm', { ...suspension }),
    recordForeignUptime: driftMs => logger.warn('uptime is not that of this vm, suspensions are told by the wall clock', { driftMs })
  })
}

function createComponents ({ settings, adapters, logger, clock, uptimeMs }: Required<GatewayOptions>): GatewayComponents {
  const { store, connector } = adapters
  const metrics = createGatewayMetrics()
  const configuration = new ConfigurationHolder(logger)
  // Distinct for each start even if the wall clock was set back; peers compare it only with earlier starts of this VM.
  const incarnation = Date.now()
  const capacity = settings.capacity === undefined ? {} : { capacity: computeCapacity(settings.capacity) }
  const self: VmEntry = { vm: settings.vm, host: settings.host, port: settings.internalPorts[0], failureDomain: settings.failureDomain, region: settings.region, incarnation, ...capacity }
  const members = createMemberState(self)
  const controlConnections = new ControlConnections(connector)
  const leadershipVerifier = new LeadershipVerifier({ clock, logger, control: controlConnections })
  const { startRecord, ...startHandlers } = createStartRecord({ store, clock, logger, control: controlConnections, members })
  const directory = createDirectory()
  const recordOpened = (service: string): void => metrics.connectionsOpened.inc({ service })
  const recordRefused: GroupTableOptions['recordRefused'] = (service, reason) => metrics.waitRefusals.inc({ service, reason })
  const checkRole: GroupTableOptions['checkRole'] = (group, entry) => { leadershipVerifier.checkRole(group, entry).catch((error: unknown) => logger.error('endpoint role check failed', { error: String(error) })) }
  const handlePrimaryDoubt = createPrimaryDoubtHandler(leadershipVerifier, logger)
  const servingVms = new ServingVms({ clock, members, configuration, regions: settings.regions })
  const evacuations = new Evacuations({ clock, logger, applyMs: settings.evacuation?.applyMs, gauge: metrics.evacuatedDomains })
  const warmup = createWarmupLimits(settings, { store, clock, logger, members, configuration, directory, metrics, findGroups: () => groups })
  const groups: GroupTable = new GroupTable({ evacuations, connector, clock, logger, configuration, members, servingVms, recordOpened, recordRefused, checkRole, warmup, scheduling: settings.scheduling === true ? {} : undefined, ...startHandlers, handlePrimaryDoubt })
  const counting = new CountingVms(members)
  const quotas = new QuotaCounter({ settings, clock, configuration, members, counting, uptimeMs })
  const burstRecord = new BurstRecord({ store, clock, logger, quotas })
  const network = createNetwork(self, members, logger)
  const recordSent: LeavingControlOptions['recordSent'] = (service, distance) => metrics.readsByDistance.inc({ service, distance: DISTANCE_LABELS[distance] })
  const leaving = settings.leaving?.isEnabled === true ? new LeavingControl({ settings: settings.leaving, location: settings, clock, logger, members, recordSent }) : undefined
  const endpoints = createEndpointExchange({ directory, groups, clock, logger })
  const fleetMessageHandler = new FleetMessageHandler({ endpoints, leaving, clock, logger, self, configuration, groups, quotas, burstRecord, members, evacuations })
  const fleet = new Fleet({ state: members, network, store, clock, logger, ...fleetMessageHandler.createHandlers() })
  const endpointsWatch = createEndpointsWatch({ store, logger, clock, directory, groups })
  const sources = { settings, adapters, logger, clock, members, directory, endpointsWatch, fleet }
  const { host, claimInquiries } = createPromotionHost({ ...sources, self, fleetMessageHandler, control: controlConnections, startRecord })
  const recordResult = (service: string, result: string): void => metrics.promotions.inc({ service, result })
  const failover = new FailoverWatch({
    clock,
    logger,
    members,
    host,
    listGroups: () => groups.list(),
    measurePausedMs: group => leadershipVerifier.measurePausedMs(group),
    probePrimary: async group => await leadershipVerifier.probePrimary(group),
    poll: () => fleet.poll(),
    recordResult
  })
  const permits = new PermitClient({ clock, logger, windowMs: settings.quota.windowS * MS_PER_SECOND, counting, quotas, send: (vm, message) => fleet.send(vm, message) })
  network.subscribeLinkLoss(vm => permits.handleLinkLoss(vm))
  fleetMessageHandler.connect(fleet, failover, permits, claimInquiries)
  const forwarder = new StatementForwarder({
    clock,
    logger,
    network,
    members,
    servingVms,
    findPrimaryDomain: service => groups.find(service)?.primaryPool?.entry.failureDomain,
    recordDecision: (service, place, reason) => metrics.forwardingDecisions.inc({ service, place, reason }),
    recordServed: (service, result) => metrics.servedStatements.inc({ service, result })
  })
  const limits = { quotas, permits, burstRecord }
  return { ...sources, metrics, configuration, groups, evacuations, ...limits, leadershipVerifier, network, failover, forwarder, leaving }
}

type StartHandlers = 'handleStart' | 'handleDeparture'

/** Creates what keeps the starts and departures of endpoints for later promotions, with the handlers that tell it of them. */
function createStartRecord (sources: StartRecordOptions): { startRecord: StartRecord } & Pick<Required<GroupTableOptions>, StartHandlers> {
  const departureInquiries = new DepartureInquiries(sources)
  const startRecord = new StartRecord(sources)
  const handleDeparture = (group: ServiceGroup): void => {
    departureInquiries.schedule(group)
    startRecord.schedule(group)
  }
  return { startRecord, handleStart: group => startRecord.schedule(group), handleDeparture }
}

type PromotionComponents = 'settings' | 'adapters' | 'logger' | 'clock' | 'members' | 'directory' | 'endpointsWatch' | 'fleet'
interface PromotionSources extends Pick<GatewayComponents, PromotionComponents> {
  self: VmEntry
  fleetMessageHandler: FleetMessageHandler
  control: ControlConnections
  startRecord: StartRecord
}

/** Creates what promotions on this VM use. */
function createPromotionHost (sources: PromotionSources): { host: PromotionHost, claimInquiries: ClaimInquiries } {
  const { settings: { vm }, adapters: { store, promoter }, logger, clock, self, members, directory, fleet, control, startRecord } = sources
  const waitClock = new MonotonicClock()
  const claimInquiries: ClaimInquiries = new ClaimInquiries({
    store,
    clock,
    members,
    isClaimHeld: service => claims.isHeld(service),
    send: (to, message) => fleet.send(to, message)
  })
  const confirmNoClaims = async (service: string, epoch: number): Promise<boolean> => await claimInquiries.confirmNoClaims(service, epoch)
  const claims: DutyClaims = new DutyClaims({ store, clock, waitClock, logger, vm, incarnation: self.incarnation, confirmNoClaims })
  const fetchEndpoints = async (): Promise<boolean> => {
    await sources.endpointsWatch.fetchObjects()
    return !isStoreRecovering(directory, clock.readNow())
  }
  const callbacks = sources.fleetMessageHandler.createPromotionCallbacks()
  const readStarts: PromotionHost['readStarts'] = async group => await startRecord.read(group)
  return { host: { clock, waitClock, logger, vm, control, claims, promoter, fetchEndpoints, readStarts, ...callbacks }, claimInquiries }
}

/** Has the endpoints of a group asked for their roles when the known primary is contradicted. */
function createPrimaryDoubtHandler (verifier: LeadershipVerifier, logger: Logger): (group: ServiceGroup) => void {
  return group => {
    verifier.findPrimary(group).catch((error: unknown) => logger.error('search for the primary failed', { error: String(error) }))
  }
}

function createEndpointExchange ({ directory, groups, clock, logger }: Pick<GatewayComponents, 'directory' | 'groups' | 'clock' | 'logger'>): EndpointExchange {
  return {
    isListed: () => isListed(directory),
    createOffer: () => createOffer(directory),
    applyOffer: listing => {
      if (!isListed(directory)) logger.info('endpoints applied that another vm has listed', { endpoints: listing.entries.length, asOf: listing.asOf })
      groups.applyChanges(applyOffer(directory, listing, clock.readNow()))
    }
  }
}

interface WarmupSources extends Pick<WarmupLimitsOptions, 'store' | 'clock' | 'logger' | 'members' | 'configuration'> {
  directory: DirectoryState
  metrics: GatewayMetrics
  findGroups: () => GroupTable
}

/** @returns `undefined` if the deployment does not limit the requests to cold endpoints */
function createWarmupLimits ({ warmup: tolerance }: GatewaySettings, { directory, metrics, findGroups, ...sources }: WarmupSources): WarmupLimits | undefined {
  if (tolerance === undefined) return undefined
  const applyEndpoints = (listing: Listing<EndpointEntry>): void => {
    const known = new Map(directory.entries)
    const groups = findGroups()
    groups.applyChanges(applyListing(directory, listing, sources.clock.readNow()).filter(c => c.event !== 'changed' || !isDeepStrictEqual(c.entry, known.get(c.entry.endpoint))))
    for (const group of groups.list()) group.publishChange()
  }
  const recordDecision = (service: string, outcome: string): void => metrics.warmupRequests.inc({ service, outcome })
  return new WarmupLimits({ ...sources, tolerance, applyEndpoints, isStoreRecovering: () => isStoreRecovering(directory, sources.clock.readNow()), recordDecision })
}

function createNetwork (self: VmEntry, members: MemberState, logger: Logger): WsPeerNetwork {
  const hello: Hello = { version: PEER_PROTOCOL_VERSION, vm: self.vm, incarnation: self.incarnation, failureDomain: self.failureDomain }
  const findAddress = (vm: string): { host: string, port: number } | undefined => members.members.get(vm)?.entry
  return new WsPeerNetwork({ self: hello, clock: new MonotonicClock(), logger, findAddress })
}

type EndpointsWatchSources = Pick<GatewayComponents, 'logger' | 'clock' | 'directory' | 'groups'> & { store: MetadataStore }

/** Follows the endpoints that register in the store; started with the other watches. */
function createEndpointsWatch ({ store, logger, clock, directory, groups }: EndpointsWatchSources): KindWatch<'endpoints'> {
  const invalidEntries = new InvalidEntries(logger)
  return new KindWatch({
    store,
    logger,
    kind: 'endpoints',
    handleStoreRecovery: () => recordStoreRecovery(directory, clock.readNow()),
    pauseMs: ENDPOINTS_WATCH_PAUSE_MS,
    rapidPauseMs: ENDPOINTS_RAPID_PAUSE_MS,
    applyListing: listing => {
      invalidEntries.report(listing.items)
      groups.applyChanges(applyListing(directory, listing, clock.readNow()))
    },
    applyChanges: (changes, asOf) => {
      invalidEntries.report(changes.filter(c => !c.isRemoved).map(c => c.object))
      groups.applyChanges(applyChanges(directory, changes, asOf, clock.readNow()))
    }
  })
}

function startWatches (components: GatewayComponents): Array<{ stop: () => void }> {
  const { settings, adapters: { store }, logger, clock, metrics, configuration, directory, endpointsWatch, evacuations } = components
  reportEpochs({ store, logger, describeState: () => ({ configurationVersion: configuration.version }) })
  store.epochs.subscribe(() => {
    metrics.storeEpochChanges.inc()
    recordOlderCopy(directory, clock.readNow())
  })
  endpointsWatch.start()
  const configurationWatch = watchKind({
    store,
    logger,
    kind: 'configuration',
    waitMs: computeWatchMs(settings.configurationBounds),
    coalesceMs: CONFIGURATION_COALESCE_MS,
    applyListing: ({ items }) => { for (const { value, revision } of items) if (value !== null) configuration.apply(value, 'list', revision.epoch) },
    applyChanges: changes => { for (const { object } of changes) if (object.value !== null) configuration.apply(object.value, 'watch', object.revision.epoch) }
  })
  const evacuationsWatch = evacuations.startWatch(store)
  return [endpointsWatch, configurationWatch, ...evacuationsWatch === undefined ? [] : [evacuationsWatch]]
}

/** Estimates when a client should run a transaction again that was ended at an evacuated endpoint, in milliseconds. */
function estimateTransactionReturnMs ({ groups, failover }: GatewayComponents, { service, endpoint }: EndpointEntry): number {
  const group = groups.find(service)
  return group === undefined || group.state.primary?.endpoint !== endpoint ? REPLICA_RETURN_MS : estimateReplacementMs(group, failover.estimateRecoveryMs(group))
}

async function listenForClients ({ adapters, settings, metrics }: GatewayComponents, host: GatewaySessionHost, sessions: Set<ClientSession>): Promise<void> {
  let acceptedCount = 0
  await adapters.listener.listen(transport => {
    const session = new ClientSession(`${settings.vm}-${++acceptedCount}`, host, transport)
    sessions.add(session)
    metrics.sessions.set(sessions.size)
    return session
  })
}
