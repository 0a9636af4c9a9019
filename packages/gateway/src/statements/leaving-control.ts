import type { Clock, Logger } from '@camphorpitch/wire'
import { isResponsive, type MemberState } from '../fleet/members.ts'
import type { ServiceGroup } from '../groups/service-group.ts'
import { isUnresponsive } from '../pool/endpoint-health.ts'
import type { EndpointPool } from '../pool/endpoint-pool.ts'
import type { DomainLoad, LeavingOptions } from '../routing/decide-leaving.ts'
import { LAGGING_PENALTY_MS, PRIMARY_PENALTY_MS, selectGuidedEndpoint, type DomainCandidate, type LeavingGuide } from '../routing/select-endpoint.ts'
import { ServiceReads, type ReadEndpoint } from '../routing/service-reads.ts'
import { listUsableEndpoints } from '../routing/usable-endpoints.ts'
import type { GatewaySettings } from '../settings.ts'
import { measureDistance, type VmLocation } from './read-targets.ts'

/** A change of the share by this much is logged. */
const LOGGED_CHANGE = 0.05
/** Log lines of one service are at least this far apart, in milliseconds. */
const LOG_INTERVAL_MS = 1_000
/**
 * Fraction of the other VMs for which a domain is the nearest whose reports must be fresh. The demand that they report is scaled up to that of all. In a large
 * fleet, VMs of other regions are polled too seldom for that.
 */
const MIN_REPORTED_FRACTION = 0.8

/** Reads per second that a VM has reported, by service, and when it was asked. */
interface VmDemand { readsPerS: ReadonlyMap<string, number>, reportedAtMs: number }

interface KnownDemands { byDomain: ReadonlyMap<string, number>, oldestMs: number | null }

interface ServiceState {
  reads: ServiceReads
  loggedShare: number
  loggedAtMs: number
  /** Age of the oldest report that the latest decision used; `null` if none was. */
  reportAgeMs: number | null
}

export interface LeavingControlOptions {
  settings: NonNullable<GatewaySettings['leaving']>
  location: VmLocation
  clock: Clock
  logger: Logger
  members: MemberState
  /** Counts a read by the distance of the endpoint that it is sent to. */
  recordSent: (service: string, distance: 0 | 1 | 2) => void
  /** Draws a number in [0, 1); `Math.random` by default. */
  random?: () => number
}

/** Decides for each service which share of its reads leaves this VM's failure domain, and selects endpoints accordingly. */
export class LeavingControl {
  readonly #options: LeavingControlOptions
  readonly #services = new Map<string, ServiceState>()
  readonly #vmDemands = new Map<string, VmDemand>()

  constructor (options: LeavingControlOptions) {
    this.#options = options
  }

  /** Counts a read that a client has requested. */
  countRead (service: string): void {
    this.#ensureService(service).reads.countRead(this.#options.clock.readNow())
  }

  /** Counts a read that is sent to an endpoint. */
  recordSent (service: string, { entry }: EndpointPool): void {
    this.#options.recordSent(service, measureDistance(this.#options.location, entry.failureDomain))
  }

  /** Records the time from the selection of the endpoint until its response to a read. */
  recordRead (service: string, { entry }: EndpointPool, responseMs: number): void {
    this.#ensureService(service).reads.recordRead(entry.endpoint, responseMs, this.#options.clock.readNow())
  }

  /**
   * Selects the endpoint for an attempt of a read among those that it may use.
   *
   * @param isFirstAttempt whether the shares apply; a further attempt goes to the endpoint with the lowest estimate and weight of bytes
   */
  selectEndpoint<T extends DomainCandidate> (group: ServiceGroup, candidates: readonly T[], isFirstAttempt: boolean): T | undefined {
    const { random = Math.random } = this.#options
    return selectGuidedEndpoint(candidates, this.#readGuide(group), isFirstAttempt ? random() : null)
  }

  /** Lists the endpoints to which reads go by the shares as they are now, with the fraction of the reads. */
  listDestinations (group: ServiceGroup, candidates: readonly DomainCandidate[]): Array<{ endpoint: string, share: number }> {
    const guide = this.#readGuide(group)
    const destinations = new Map<string, number>()
    let draw = 0
    for (const share of [...guide.shares.values(), 1 - this.#ensureService(group.service).reads.decision.share]) {
      // The middle of the range of draws that lead to the same domain.
      const selected = selectGuidedEndpoint(candidates, guide, draw + share / 2)
      if (selected !== undefined) destinations.set(selected.endpoint, (destinations.get(selected.endpoint) ?? 0) + share)
      draw += share
    }
    return [...destinations].map(([endpoint, share]) => ({ endpoint, share }))
  }

  /** Describes the latest decision for operators. */
  describeDecision (service: string): { home: string[], share: number, excessMs: number | null, reportAgeMs: number | null } {
    const { reads: { decision: { home, share, excessMs } }, reportAgeMs } = this.#ensureService(service)
    return { home: [...home], share, excessMs, reportAgeMs }
  }

  #readGuide (group: ServiceGroup): LeavingGuide {
    const { settings, clock } = this.#options
    const { reads } = this.#ensureService(group.service)
    if (reads.isDecisionDue(clock.readNow())) this.#decide(group, settings)
    return { ...reads.decision, weightsMs: [0, settings.costMs.betweenDomains, settings.costMs.betweenRegions] }
  }

  /** Reports the reads per second of this VM, by service. */
  createReport (): Array<[string, number]> {
    const nowMs = this.#options.clock.readNow()
    return [...this.#services].map(([service, { reads }]): [string, number] => [service, Math.round(reads.measureReadsPerS(nowMs))]).filter(([, perS]) => perS > 0)
  }

  /** Applies another VM's report. It was created after the poll was sent at `pollSentAtMs`, so its age is at most the time since then. */
  applyReport (vm: string, reads: ReadonlyArray<[string, number]> | undefined, pollSentAtMs: number): void {
    if (reads !== undefined) this.#vmDemands.set(vm, { readsPerS: new Map(reads), reportedAtMs: pollSentAtMs })
  }

  removeVm (vm: string): void {
    this.#vmDemands.delete(vm)
  }

  #decide (group: ServiceGroup, settings: LeavingOptions & { maxReportAgeMs: number }): void {
    const nowMs = this.#options.clock.readNow()
    const service = this.#ensureService(group.service)
    const endpoints = this.#listEndpoints(group, nowMs)
    const demands = this.#readDemands(group.service, endpoints, settings.maxReportAgeMs, nowMs)
    const domains = service.reads.decide(endpoints, demands.byDomain, settings, nowMs)
    service.reportAgeMs = demands.oldestMs === null ? null : Math.round(demands.oldestMs)
    const { share } = service.reads.decision
    const isChanged = Math.abs(share - service.loggedShare) >= LOGGED_CHANGE || (share === 0) !== (service.loggedShare === 0)
    if (!isChanged || nowMs - service.loggedAtMs < LOG_INTERVAL_MS) return
    this.#logChange(group.service, service.loggedShare, domains)
    service.loggedShare = share
    service.loggedAtMs = nowMs
  }

  #logChange (service: string, previousShare: number, domains: readonly DomainLoad[]): void {
    const { reads: { decision: { home, share, shares, excessMs } }, reportAgeMs } = this.#ensureService(service)
    const round = (value: number | null): number | null => value === null ? null : Math.round(value * 100) / 100
    this.#options.logger.info('share of reads that leaves the nearest failure domains changed', {
      service,
      share: round(share),
      previousShare: round(previousShare),
      shares: Object.fromEntries([...shares].map(([domain, s]) => [domain, round(s)])),
      home,
      excessMs: round(excessMs),
      reportAgeMs,
      domains: domains.map(d => ({ ...d, capacityPerS: round(d.capacityPerS), demandPerS: round(d.demandPerS), responseMs: round(d.responseMs), unloadedMs: round(d.unloadedMs) }))
    })
  }

  /** Lists the endpoints that reads may use, whatever the allowed regions of each: these restrict the candidates of a single read. */
  #listEndpoints (group: ServiceGroup, nowMs: number): ReadEndpoint[] {
    const { location } = this.#options
    const responsive = [...group.pools.values()].filter(p => !p.entry.isDraining && !isUnresponsive(p.health, nowMs))
    const candidates = responsive.map(pool => ({ pool, endpoint: pool.entry.endpoint, failureDomain: pool.entry.failureDomain }))
    const { usable } = listUsableEndpoints(candidates, { use: 'read', regions: location.regions, evacuations: group.evacuations })
    return usable.map(({ pool, endpoint, failureDomain }) => ({
      endpoint,
      failureDomain,
      distance: measureDistance(location, failureDomain),
      slots: pool.entry.slots,
      penaltyMs: (pool === group.primaryPool ? PRIMARY_PENALTY_MS : 0) + (nowMs < pool.laggingUntilMs ? LAGGING_PENALTY_MS : 0)
    }))
  }

  /** Reads the demand of each domain from this VM's counts and the others' reports; without those domains for which too few reports are fresh. */
  #readDemands (service: string, endpoints: readonly ReadEndpoint[], maxReportAgeMs: number, nowMs: number): KnownDemands {
    const { location, members } = this.#options
    const demands = new Map<string, { perS: number, ages: number[], missing: number }>(endpoints.map(e => [e.failureDomain, { perS: 0, ages: [], missing: 0 }]))
    const listNearest = (failureDomain: string): string[] => {
      const distances = new Map([...demands.keys()].map(d => [d, measureDistance({ failureDomain, regions: location.regions }, d)]))
      return [...distances.keys()].filter(d => distances.get(d) === Math.min(...distances.values()))
    }
    for (const { entry: { vm, failureDomain } } of [...members.members.values()].filter(m => isResponsive(m, nowMs))) {
      const reported = this.#vmDemands.get(vm)
      const isFresh = reported !== undefined && nowMs - reported.reportedAtMs <= maxReportAgeMs
      const nearest = listNearest(failureDomain)
      for (const demand of nearest.map(d => demands.get(d)!)) {
        if (!isFresh) demand.missing++
        else {
          demand.ages.push(nowMs - reported.reportedAtMs)
          demand.perS += (reported.readsPerS.get(service) ?? 0) / nearest.length
        }
      }
    }
    const known = [...demands].filter(([, d]) => d.ages.length >= MIN_REPORTED_FRACTION * (d.ages.length + d.missing))
    const byDomain = new Map(known.map(([domain, { perS, ages, missing }]) => [domain, perS * (ages.length + missing) / Math.max(1, ages.length)]))
    const own = listNearest(location.failureDomain)
    const ownPerS = this.#ensureService(service).reads.measureReadsPerS(nowMs) / own.length
    for (const domain of own) if (byDomain.has(domain)) byDomain.set(domain, byDomain.get(domain)! + ownPerS)
    const ages = known.flatMap(([, d]) => d.ages)
    return { byDomain, oldestMs: ages.length === 0 ? null : Math.max(...ages) }
  }

  #ensureService (service: string): ServiceState {
    const known: ServiceState = this.#services.get(service) ?? { reads: new ServiceReads(), loggedShare: 0, loggedAtMs: -Infinity, reportAgeMs: null }
    this.#services.set(service, known)
    return known
  }
}
