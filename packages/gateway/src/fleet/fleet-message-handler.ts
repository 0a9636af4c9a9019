import type { Clock, Logger } from '@camphorpitch/wire'
import type { ConfigurationHolder } from '../configuration/configuration-holder.ts'
import type { EndpointListing } from '../directory/endpoint-entry.ts'
import type { ClaimInquiries } from '../failover/claim-inquiries.ts'
import type { Evacuations } from '../evacuation/evacuations.ts'
import type { FailoverWatch } from '../failover/failover-watch.ts'
import type { PromotionHost, Revocation } from '../failover/promotion-attempt.ts'
import { isLeadershipRevoked, recordLeadership, recordOpenOrder, restoreLeadership } from '../freshness/group-state.ts'
import { listUncovered, type EndpointStart, type ReportedDeparture } from '../groups/departures.ts'
import type { GroupTable } from '../groups/group-table.ts'
import type { ServiceGroup } from '../groups/service-group.ts'
import type { BurstRecord } from '../limits/burst-record.ts'
import type { PermitClient } from '../limits/permit-requests.ts'
import type { QuotaCounter } from '../limits/quota-counter.ts'
import type { LeavingControl } from '../statements/leaving-control.ts'
import type { Fleet, FleetOptions, Poll } from './fleet.ts'
import { applyReportedVersion, createPeerFetch, resetPeerFetch } from './peer-fetch.ts'
import { applyGroupReport, createGroupReport } from './group-reports.ts'
import {
  createMemberLosses,
  hasAllMembers,
  listMissing,
  listRecentlyResponsive,
  listPossiblyRunning,
  listSilent,
  updateMemberLosses,
  type MemberLosses,
  type MemberState
} from './members.ts'
import { decodeGroupReport, encodeGroupReport, type ClaimsReported, type ClaimsWanted, type FleetMessage, type Permit, type Report, type VmEntry } from './message-schemas.ts'
import { addConfirmation, RevocationCollector } from './revocations.ts'

/** Number of polls after a start that carry the sender's VM entry, for VMs that do not know it yet. */
const INTRODUCTORY_POLL_COUNT = 20
/** Longest wait for writes in flight to a primary that is about to step down. */
const WRITE_COMPLETION_TIMEOUT_MS = 500

type PromotionMessage = Extract<FleetMessage, { type: 'revoke' | 'revoked' | 'ordered' | 'promoted' }>

export interface FleetMessageHandlerOptions {
  clock: Clock
  logger: Logger
  self: VmEntry
  configuration: ConfigurationHolder
  groups: GroupTable
  quotas: QuotaCounter
  burstRecord?: BurstRecord
  members: MemberState
  evacuations?: Evacuations
  leaving?: LeavingControl
  /** The endpoints that VMs tell each other; absent if they don't. */
  endpoints?: EndpointExchange
}

/** Gives access to the registered endpoints, for VMs that can't list them themselves. */
export interface EndpointExchange {
  /** Whether the store or another VM has listed them. */
  isListed: () => boolean
  /** Returns the known endpoints; `null` before they have been listed. */
  createOffer: () => EndpointListing | null
  /** Applies another VM's endpoints, unless they have been listed already. */
  applyOffer: (listing: EndpointListing) => void
}

/** Creates the messages that this VM sends to the other VMs, and handles those that it receives from them. */
export class FleetMessageHandler {
  readonly #options: FleetMessageHandlerOptions
  readonly #revocations = new RevocationCollector()
  readonly #startedAtMs: number
  readonly #losses: MemberLosses
  readonly #configurationFetch = createPeerFetch()
  readonly #endpointsFetch = createPeerFetch()
  #fleet: Fleet | undefined
  #failover: FailoverWatch | undefined
  #permits: PermitClient | undefined
  #claimInquiries: ClaimInquiries | undefined
  #lastAttemptNumber = 0
  /** VM that has revoked the leadership of each service's primary last. */
  readonly #revokingVms = new Map<string, string>()

  constructor (options: FleetMessageHandlerOptions) {
    this.#options = options
    this.#startedAtMs = options.clock.readNow()
    this.#losses = createMemberLosses(this.#startedAtMs)
    options.configuration.subscribe(() => resetPeerFetch(this.#configurationFetch))
  }

  /** Sets the slices that messages are passed to; they are created after this handler. */
  connect (fleet: Fleet, failover: FailoverWatch, permits: PermitClient, claimInquiries?: ClaimInquiries): void {
    this.#claimInquiries = claimInquiries
    this.#fleet = fleet
    this.#failover = failover
    this.#permits = permits
  }

  createHandlers (): Pick<FleetOptions, 'createReport' | 'createPoll' | 'applyReport' | 'handleMessage' | 'handleRound' | 'removeVm'> {
    const { quotas, burstRecord, groups, leaving } = this.#options
    return {
      createReport: (vm, poll) => this.#createReport(vm, poll),
      createPoll: sequence => this.#createPoll(sequence),
      applyReport: (vm, report, pollSentAtMs) => this.#applyReport(vm, report, pollSentAtMs),
      handleMessage: (vm, message) => {
        if (message.type === 'claimsWanted' || message.type === 'claimsReported') this.#claimInquiries?.handleMessage(vm, message)
        else this.#handleMessage(vm, message)
      },
      removeVm: vm => {
        this.#losses.lastLossAtMs = this.#options.clock.readNow()
        quotas.removeVm(vm)
        leaving?.removeVm(vm)
        for (const group of groups.list()) group.peers.delete(vm)
      },
      handleRound: () => {
        updateMemberLosses(this.#losses, this.#options.members, this.#options.clock.readNow())
        quotas.update()
        burstRecord?.update()
      }
    }
  }

  createPromotionCallbacks (): Pick<PromotionHost, 'revoke' | 'publishOrder' | 'publishOutcome'> {
    return {
      revoke: async (group, term, isPlanned, waitMs) => await this.#revokeLeadershipOnAllVms(group, term, isPlanned, waitMs),
      publishOrder: (group, order) => {
        const message = { type: 'ordered' as const, service: group.service, order }
        for (const vm of this.#options.members.members.keys()) this.#fleet?.send(vm, message)
        this.#handleOrder(this.#options.self.vm, message)
      },
      publishOutcome: (group, endpoint, term, leadershipVerifiedAtMs) => this.#publishPromotionOutcome(group, endpoint, term, leadershipVerifiedAtMs)
    }
  }

  #handlePermit (vm: string, permit: Permit): void {
    const { quotas, burstRecord } = this.#options
    this.#fleet?.send(vm, quotas.decidePermit(vm, permit))
    burstRecord?.update()
  }

  #createPoll (sequence: number): Poll {
    const { self, members, endpoints } = this.#options
    const poll: Poll = { type: 'poll', sequence, vm: sequence <= INTRODUCTORY_POLL_COUNT ? self : undefined, vmsKnown: members.hasMemberList ? members.members.size + 1 : 0 }
    if (endpoints?.isListed() === false) poll.lacksEndpoints = true
    return poll
  }

  #createReport (vm: string, poll: Poll): Report {
    const { clock, configuration, groups, quotas, members, evacuations, leaving, endpoints } = this.#options
    const nowMs = clock.readNow()
    const report: Report = {
      type: 'report',
      sequence: poll.sequence,
      groups: groups.list().map(g => createGroupReport(g, nowMs)).filter(g => g !== undefined).map(encodeGroupReport),
      demand: quotas.createDemandReport(),
      configurationVersion: configuration.version
    }
    const silent = listSilent(members, nowMs)
    if (silent.length > 0) report.silent = silent
    const departures = groups.list().flatMap(g => listUncovered(g.departures, g.state.acknowledged).map(
      ({ endpoint, startedAtMs, address, isDraining, isGone, isPresumed }) => ({
        service: g.service,
        endpoint,
        startedAtMs,
        address,
        isDraining,
        isGone,
        isPresumed
      })
    ))
    if (departures.length > 0) report.departures = departures
    const evacuationReport = evacuations?.createReport()
    if (evacuationReport !== undefined) report.evacuations = evacuationReport
    const reads = leaving?.createReport()
    if (reads !== undefined) report.reads = reads
    if (poll.lacksEndpoints === true) report.hasEndpoints = endpoints?.isListed() === true
    const vms = this.#listVmsFor(poll, nowMs)
    if (vms !== undefined) report.vms = vms
    return report
  }

  /** Lists the VMs that the sender of a poll should know of; `undefined` if it knows enough, or this VM does not know them all. */
  #listVmsFor ({ vmsKnown }: Poll, nowMs: number): VmEntry[] | undefined {
    const { members, self } = this.#options
    if (!members.hasMemberList) return undefined
    if (vmsKnown > 0) {
      const responsive = listRecentlyResponsive(members, nowMs)
      return responsive.length + 1 > vmsKnown ? responsive.map(m => m.entry) : undefined
    }
    // A VM without a list decides by this one which VMs count a limit, so it has to hold what the others' lists do, silent VMs included.
    return hasAllMembers(members, nowMs) ? [self, ...[...members.members.values()].map(m => m.entry)] : undefined
  }

  #applyReport (vm: string, report: Report, pollSentAtMs: number): void {
    const { configuration, groups, quotas, clock, logger, evacuations, leaving } = this.#options
    // Before the configuration, with which a VM that has just started begins to serve.
    evacuations?.applyReport(vm, report.evacuations, pollSentAtMs)
    configuration.recordReportedVersion(report.configurationVersion)
    if (applyReportedVersion(this.#configurationFetch, report.configurationVersion, configuration.version, clock.readNow())) {
      logger.info('configuration requested from another vm', { vm, version: report.configurationVersion, localVersion: configuration.version })
      this.#fleet?.send(vm, { type: 'configurationWanted' })
    }
    this.#requestEndpoints(vm, report)
    for (const groupReport of report.groups.map(decodeGroupReport)) {
      const group = groups.find(groupReport.service)
      if (group !== undefined) applyGroupReport(group, vm, groupReport, pollSentAtMs)
    }
    for (const departure of report.departures ?? []) groups.find(departure.service)?.addReportedDeparture(departure)
    quotas.recordVmDemand(vm, report.demand)
    leaving?.applyReport(vm, report.reads, pollSentAtMs)
  }

  /** Requests the endpoints from a VM that has them, while neither the store nor another VM has listed them. */
  #requestEndpoints (vm: string, { hasEndpoints = false }: Report): void {
    const { endpoints, clock, logger } = this.#options
    if (endpoints === undefined || endpoints.isListed()) return
    if (!applyReportedVersion(this.#endpointsFetch, hasEndpoints ? 1 : 0, 0, clock.readNow())) return
    logger.info('endpoints requested from another vm', { vm })
    this.#fleet?.send(vm, { type: 'endpointsWanted' })
  }

  #sendEndpoints (vm: string): void {
    const listing = this.#options.endpoints?.createOffer()
    if (listing != null) this.#fleet?.send(vm, { type: 'endpointsOffered', listing })
  }

  #handleMessage (vm: string, message: Exclude<FleetMessage, ClaimsWanted | ClaimsReported>): void {
    if (message.type === 'permit') this.#handlePermit(vm, message)
    else if (message.type === 'permitted') this.#permits?.handleResponse(vm, message)
    else if (message.type === 'permitReleased') this.#options.quotas.releasePermit(message)
    else if (message.type === 'configurationWanted') this.#sendConfiguration(vm)
    else if (message.type === 'configurationOffered') this.#options.configuration.apply(message.configuration, `vm ${vm}`)
    else if (message.type === 'endpointsWanted') this.#sendEndpoints(vm)
    else if (message.type === 'endpointsOffered') this.#options.endpoints?.applyOffer(message.listing)
    else if (message.type === 'revoked' || message.type === 'ordered' || message.type === 'promoted' || message.type === 'revoke') this.#handlePromotionMessage(vm, message)
  }

  #handlePromotionMessage (vm: string, message: PromotionMessage): void {
    if (message.type === 'revoked') {
      this.#revocations.confirm(message.attempt, vm, {
        acknowledged: message.acknowledged ?? null,
        primary: message.primary ?? null,
        formerPrimary: message.formerPrimary ?? null,
        openOrder: message.openOrder ?? null,
        endpoints: message.endpoints,
        departures: message.departures,
        lastCommitAgeMs: message.lastCommitAgeMs ?? Infinity,
        uptimeMs: message.uptimeMs,
        hasMissingVms: message.hasMissingVms
      })
    } else if (message.type === 'ordered') this.#handleOrder(vm, message)
    else if (message.type === 'promoted') this.#handlePromotionOutcome(vm, message)
    else this.#handleRevoke(vm, message).catch((error: unknown) => this.#options.logger.error('leadership revocation failed', { error: String(error) }))
  }

  #sendConfiguration (vm: string): void {
    const { current } = this.#options.configuration
    if (current !== null) this.#fleet?.send(vm, { type: 'configurationOffered', configuration: current })
  }

  async #handleRevoke (vm: string, message: Extract<FleetMessage, { type: 'revoke' }>): Promise<void> {
    const { service, endpoint, term, attempt, isPlanned } = message
    this.#revokingVms.set(service, vm)
    const group = this.#options.groups.find(service)
    if (group !== undefined) {
      this.#options.logger.info('verified leadership revoked at the request of another vm', { service, endpoint, term, requestedBy: vm })
      await this.#revokeLocalLeadership(group, endpoint, term, isPlanned)
    }
    const nowMs = this.#options.clock.readNow()
    const lastCommitSentAtMs = group?.state.lastCommitSentAtMs ?? -Infinity
    this.#fleet?.send(vm, {
      type: 'revoked',
      service,
      attempt,
      acknowledged: group?.state.acknowledged ?? undefined,
      primary: group?.state.primary ?? undefined,
      formerPrimary: group?.formerPrimary ?? undefined,
      openOrder: group?.state.openOrder ?? undefined,
      ...listEndpointStarts(group, endpoint),
      lastCommitAgeMs: lastCommitSentAtMs === -Infinity ? undefined : nowMs - lastCommitSentAtMs,
      uptimeMs: nowMs - this.#startedAtMs,
      hasMissingVms: listMissing(this.#options.members, nowMs).length > 0
    })
  }

  async #revokeLocalLeadership (group: ServiceGroup, endpoint: string, term: number, isPlanned: boolean): Promise<void> {
    group.revokeLeadership(endpoint, term, isPlanned)
    if (isPlanned) await group.waitUntil(() => group.writesInFlight === 0, WRITE_COMPLETION_TIMEOUT_MS)
  }

  async #revokeLeadershipOnAllVms (group: ServiceGroup, term: number, isPlanned: boolean, waitMs: number): Promise<Revocation> {
    const { clock, members, self } = this.#options
    const endpoint = group.state.primary?.endpoint ?? ''
    const attempt = `${self.vm}-${self.incarnation}-${++this.#lastAttemptNumber}`
    const sentAtMs = clock.readNow()
    updateMemberLosses(this.#losses, members, sentAtMs)
    const vms = listPossiblyRunning(members, sentAtMs).map(m => m.entry.vm)
    const confirmations = this.#revocations.collect(attempt, vms, waitMs)
    for (const vm of vms) this.#fleet?.send(vm, { type: 'revoke', service: group.service, endpoint, term, attempt, isPlanned })
    this.#revokingVms.set(group.service, self.vm)
    await this.#revokeLocalLeadership(group, endpoint, term, isPlanned)
    const { acknowledged, primary, lastCommitSentAtMs } = group.state
    const revocation = addConfirmation(await confirmations, {
      acknowledged,
      primary,
      formerPrimary: group.formerPrimary,
      openOrder: group.state.openOrder,
      endpoints: [],
      departures: [],
      lastCommitAgeMs: sentAtMs - lastCommitSentAtMs,
      uptimeMs: Infinity,
      hasMissingVms: false
    })
    const finishedAtMs = clock.readNow()
    updateMemberLosses(this.#losses, members, finishedAtMs)
    const lastLossAtMs = Math.max(this.#losses.lastLossAtMs, finishedAtMs - revocation.uptimeMs)
    // A missing VM may run beside the primary, with commits acknowledged that no other VM knows of.
    const hasMissingVms = revocation.hasMissingVms || listMissing(members, finishedAtMs).length > 0
    // Without a list of the VMs, this one has asked only those that have introduced themselves.
    const isEveryVmKnown = members.hasMemberList && hasAllMembers(members, finishedAtMs)
    const isEveryVmAsked = isEveryVmKnown && vms.length === members.members.size && !hasMissingVms
    const hasEveryVm = revocation.hasEveryVmConfirmed && isEveryVmAsked
    return { ...revocation, hasEveryVm, lastLossAtMs, hasEveryAcknowledgement: hasEveryVm && sentAtMs - revocation.lastCommitAgeMs > lastLossAtMs }
  }

  #handleOrder (vm: string, { service, order }: Extract<FleetMessage, { type: 'ordered' }>): void {
    const group = this.#options.groups.find(service)
    if (group === undefined) return
    this.#options.logger.info('promotion order announced, leadership stays revoked until it is closed', { service, order, vm })
    recordOpenOrder(group.state, order, this.#options.clock.readNow())
    group.publishChange()
  }

  #publishPromotionOutcome (group: ServiceGroup, endpoint: string | null, term: number, leadershipVerifiedAtMs: number): void {
    const message = { type: 'promoted' as const, service: group.service, endpoint: endpoint ?? undefined, term }
    for (const vm of this.#options.members.members.keys()) this.#fleet?.send(vm, message)
    this.#handlePromotionOutcome(this.#options.self.vm, message)
    if (endpoint !== null) recordLeadership(group.state, endpoint, leadershipVerifiedAtMs)
  }

  #handlePromotionOutcome (vm: string, { service, endpoint, term }: Extract<FleetMessage, { type: 'promoted' }>): void {
    const group = this.#options.groups.find(service)
    if (group === undefined) return
    if (endpoint === undefined) {
      // The outcome of an earlier attempt may arrive after the revocation of a later one of another VM.
      const isOutcomeOfRevocation = this.#revokingVms.get(service) === vm
      const nowMs = this.#options.clock.readNow()
      if (isOutcomeOfRevocation && isLeadershipRevoked(group.state, nowMs)) restoreLeadership(group.state, nowMs)
      else this.#options.logger.info('outcome of a promotion attempt ignored, another vm has revoked the leadership since', { service, term, vm, revokedBy: this.#revokingVms.get(service) })
      group.publishChange()
      return
    }
    this.#failover?.recordPrimaryChange(service)
    group.adoptPrimary(endpoint, term, `promoted by ${vm}`)
    if (vm !== this.#options.self.vm) this.#fleet?.poll() // The promoting VM's report carries the proof that the new primary leads.
  }
}

/** Lists the group's endpoints, and those that have left it. Log ends of a primary other than `primaryEndpoint` tell nothing of its log. */
function listEndpointStarts (group: ServiceGroup | undefined, primaryEndpoint: string): { endpoints: EndpointStart[], departures: ReportedDeparture[] } {
  const isSamePrimary = group?.state.primary?.endpoint === primaryEndpoint
  const endpoints = [...group?.pools.values() ?? []].map(({ entry: { endpoint, startedAtMs } }) => ({ endpoint, startedAtMs }))
  const departures = (group?.departures ?? []).map(({ endpoint, startedAtMs, logEnd, address, isDraining, isGone, isPresumed }) => (
    { endpoint, startedAtMs, logEnd: isSamePrimary ? logEnd : null, address, isDraining, isGone, isPresumed }
  ))
  return { endpoints, departures }
}
