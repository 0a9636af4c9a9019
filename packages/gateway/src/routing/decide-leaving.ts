/** Distance from this VM: 0 in its failure domain, 1 in its region, 2 elsewhere. */
export type Distance = 0 | 1 | 2

/** Bounds and weights of the decision, from the settings. */
export interface LeavingOptions {
  /** Largest share of the reads that leaves. */
  maxShare: number
  /** Largest change of the share in a second. */
  maxChangePerS: number
  /** Fraction of a domain's capacity that is planned to be used. */
  targetUtilization: number
  /** By how much the own domain must be better before the share falls, in milliseconds. */
  hysteresisMs: number
  /** What the bytes of a read cost, expressed as the wait that a client bears to avoid them, in milliseconds. */
  costMs: { betweenDomains: number, betweenRegions: number }
}

/** A failure domain with endpoints that reads of the service may use. */
export interface DomainLoad {
  domain: string
  distance: Distance
  /** Reads per second that its endpoints can complete, as their responses to this VM show; `null` without a response. */
  capacityPerS: number | null
  /** Number of statements that its endpoints run at a time. */
  slots: number
  /** Reads per second of all VMs for which it is the nearest domain; `null` if the reports are missing or too old. */
  demandPerS: number | null
  /** Recent time from the selection of an endpoint until its response, in milliseconds; `null` without a recent response. */
  responseMs: number | null
  /** The same while the endpoints were least busy; `null` without a response. */
  unloadedMs: number | null
  /** Round trip to it, in milliseconds. */
  roundTripMs: number
  /** Added for its replication lag and for the use of a primary, in milliseconds. */
  penaltyMs: number
}

export interface LeavingInputs {
  domains: readonly DomainLoad[]
  /** Time since the previous decision, in milliseconds. */
  elapsedMs: number
}

/** The state that one decision hands to the next. */
export interface LeavingState {
  /** Domains that count as home: the nearest ones that have usable endpoints. */
  home: readonly string[]
  /** Share of the reads that goes to each domain away from home. The rest stays. */
  shares: ReadonlyMap<string, number>
  /** The part of the share that lasts for seconds; the rest is immediate. */
  lastingShare: number
  /** Time since a read at home last took longer than one elsewhere with its costs, in milliseconds. */
  sinceExcessMs: number
  /** Time after the last excess at which the full fall is reached, in milliseconds. */
  fullFallAfterMs: number
}

export interface LeavingDecision extends LeavingState {
  /** Share of the reads that leaves, which is the sum of `shares`. */
  share: number
  /** By how much a read at home takes longer than the best one elsewhere with its costs, in milliseconds; `null` if that is unknown. */
  excessMs: number | null
}

/** Excess from which on the lasting share changes at its full rate, in milliseconds; below it in proportion. */
const FULL_EXCESS_MS = 120
/** The same for the fall, beyond the hysteresis: the wait is all but gone, so small differences tell whether home has capacity to spare. */
const FULL_FALL_MS = 10
/** Largest change of the lasting share in a second, up and down. */
const RISE_PER_S = 0.1
const FALL_PER_S = 0.3
/**
 * Shortest time after the last excess at which the full fall is reached, in milliseconds. Where home is short of capacity for long, an
 * excess returns within a second or two, and a faster fall makes the share swing; where demand has moved away, 4 s is short enough for
 * waves of 15 s.
 */
const FULL_FALL_AFTER_MS = 4_000
/** The same after excesses that returned again and again: where home is short of capacity for good, each fall ends in the next excess. */
const MAX_FULL_FALL_AFTER_MS = 32_000
/** Response times vary from one moment to the next, so that an excess which returns after a shorter pause has not ended. */
const MIN_PAUSE_MS = 300
/** Part of the largest share that leaves immediately at the full excess. */
const IMMEDIATE_SHARE = 0.1
/** Time after which a longer pause between decisions counts no further, so that a VM that was paused does not jump. */
const MAX_ELAPSED_MS = 500
/**
 * Service time of reads that is assumed before the first response, in milliseconds. Elsewhere no more than this is assumed, or a VM that starts while home is slow
 * would take that for the usual service time and never try another domain.
 */
const DEFAULT_SERVICE_MS = 25
/** Below this share nothing leaves. A few statements do not shorten a wait, but keep connections open. */
const MIN_SHARE = 0.01

export const initialLeavingState: LeavingState = {
  home: [],
  shares: new Map(),
  lastingShare: 0,
  sinceExcessMs: Infinity,
  fullFallAfterMs: FULL_FALL_AFTER_MS
}

/**
 * Decides which share of a service's reads leaves the nearest failure domains, and to where.
 *
 * Responds to demand above what the endpoints at home complete, and to endpoints at home that become slow. Demand and capacity give a
 * planned share, if the reports of other VMs are fresh. The response times that this VM sees correct it: the share rises while a read at home takes
 * longer than one elsewhere with its costs, falls once home is better by `hysteresisMs`, and stays in between. Domains without
 * usable endpoints get nothing at once; all other changes are bounded by `maxChangePerS`.
 *
 * @example decideLeaving(initialLeavingState, { domains: [home, away], elapsedMs: 100 }, options).share // 0.03
 */
export function decideLeaving (earlier: LeavingState, { domains, elapsedMs }: LeavingInputs, options: LeavingOptions): LeavingDecision {
  const homeDistance = Math.min(...domains.map(d => d.distance))
  const home = domains.filter(d => d.distance === homeDistance)
  const away = domains.filter(d => d.distance > homeDistance)
  const homeNames = home.map(d => d.domain)
  if (home.length === 0 || away.length === 0) return { ...initialLeavingState, home: homeNames, share: 0, excessMs: null }
  const previous = updateHome(earlier, homeNames, away)
  const previousShare = sumShares(previous, away)
  const serviceMs = readServiceMs(home)
  const homeMs = estimateHomeMs(home)
  const costs = new Map(away.map(d => [d.domain, estimateAwayMs(d, serviceMs, homeDistance, options)]))
  const bestAwayMs = Math.min(...costs.values())
  const excessMs = homeMs === null ? null : homeMs - bestAwayMs
  const elapsedS = Math.min(elapsedMs, MAX_ELAPSED_MS) / 1_000
  const sinceExcessMs = excessMs !== null && excessMs > 0 ? 0 : previous.sinceExcessMs + elapsedMs
  const fullFallAfterMs = sinceExcessMs > 0 ? previous.fullFallAfterMs : computeFullFallAfter(previous)
  // What the bounds cut off is not kept, or the lasting share would grow without an effect.
  const lastingPerS = computeLastingPerS(excessMs, sinceExcessMs / fullFallAfterMs, options)
  const lastingShare = computeWithin(previous.lastingShare + lastingPerS * elapsedS, 0, options.maxShare)
  const wanted = computeWithin(lastingShare + computeImmediateShare(excessMs, options), 0, options.maxShare)
  const maxChange = options.maxChangePerS * elapsedS
  const bounded = computeWithin(wanted, previousShare - maxChange, previousShare + maxChange)
  const share = bounded < MIN_SHARE && bounded <= previousShare ? 0 : bounded
  const shares = planShares(previous, share, away, costs, listWithSpare(away, serviceMs, options.targetUtilization), { hysteresisMs: options.hysteresisMs, maxMove: Math.min(maxChange, RISE_PER_S * elapsedS) })
  return { shares, lastingShare, sinceExcessMs, fullFallAfterMs, home: homeNames, share, excessMs }
}

/**
 * Adapts the state after a nearer domain has returned: what stayed at the former home now counts as leaving, so that it moves to the
 * returned domain within the bound on changes, and not all at once.
 */
function updateHome (previous: LeavingState, home: readonly string[], away: readonly DomainLoad[]): LeavingState {
  if (previous.home.length === 0 || home.some(h => previous.home.includes(h))) return previous
  const formerHome = previous.home.filter(h => away.some(d => d.domain === h))
  if (formerHome.length === 0) return previous
  const stayed = 1 - sumOf([...previous.shares.values()], s => s)
  const shares = new Map(previous.shares)
  for (const h of formerHome) shares.set(h, (shares.get(h) ?? 0) + stayed / formerHome.length)
  return { ...initialLeavingState, home, shares, lastingShare: sumOf(away, d => shares.get(d.domain) ?? 0) }
}

/**
 * Halves the rate of the next falls if an excess has returned before the full fall was reached, as the share had fallen too far; doubles it
 * otherwise.
 */
function computeFullFallAfter ({ sinceExcessMs, fullFallAfterMs }: LeavingState): number {
  if (sinceExcessMs < MIN_PAUSE_MS) return fullFallAfterMs
  const hasReturnedSoon = sinceExcessMs < fullFallAfterMs
  return hasReturnedSoon ? Math.min(MAX_FULL_FALL_AFTER_MS, 2 * fullFallAfterMs) : Math.max(FULL_FALL_AFTER_MS, fullFallAfterMs / 2)
}

/** Computes the change of the lasting share per second. */
function computeLastingPerS (excessMs: number | null, fallFraction: number, { hysteresisMs }: LeavingOptions): number {
  const fallPerS = FALL_PER_S * Math.min(1, fallFraction)
  if (excessMs === null) return -fallPerS
  if (excessMs > 0) return RISE_PER_S * Math.min(1, excessMs / FULL_EXCESS_MS)
  return excessMs < -hysteresisMs ? -fallPerS * Math.min(1, (-excessMs - hysteresisMs) / FULL_FALL_MS) : 0
}

/**
 * Computes the share that leaves only while the excess lasts. It ends with the wait that causes it, so that the lasting share, which takes seconds to fall, stays
 * near what is needed for long.
 */
function computeImmediateShare (excessMs: number | null, { maxShare }: LeavingOptions): number {
  return excessMs === null || excessMs <= 0 ? 0 : maxShare * IMMEDIATE_SHARE * Math.min(1, excessMs / FULL_EXCESS_MS)
}

/**
 * Lists the domains whose own demand leaves capacity to spare. One whose demand is unknown counts as having some: if it has none, its
 * response times show that.
 */
function listWithSpare (away: readonly DomainLoad[], serviceMs: number, targetUtilization: number): Set<string> {
  return new Set(away.filter(d => d.demandPerS === null || d.demandPerS < targetUtilization * (d.capacityPerS ?? d.slots * 1_000 / serviceMs)).map(d => d.domain))
}

/**
 * Distributes the share over the domains. A rise goes to the cheapest domain that can take it, a fall is taken from the most expensive one.
 * Part of the share also moves to the cheapest domain from others that are more expensive by more than the hysteresis, at the rate at which a share rises.
 *
 * @param withSpare domains that can take more; the others are last
 */
function planShares (previous: LeavingState, share: number, away: readonly DomainLoad[], costs: ReadonlyMap<string, number>, withSpare: ReadonlySet<string>, { hysteresisMs, maxMove }: { hysteresisMs: number, maxMove: number }): Map<string, number> {
  const byCost = [...away].sort((a, b) => Number(withSpare.has(b.domain)) - Number(withSpare.has(a.domain)) || costs.get(a.domain)! - costs.get(b.domain)!)
  const shares = new Map(away.map(d => [d.domain, previous.shares.get(d.domain) ?? 0]))
  const cheapest = byCost[0]!.domain
  const add = (domain: string, amount: number): void => { shares.set(domain, shares.get(domain)! + amount) }
  const total = sumOf([...shares.values()], s => s)
  if (share >= total) add(cheapest, share - total)
  let toRemove = Math.max(0, total - share)
  let toMove = maxMove
  for (const { domain } of byCost.slice(1).reverse()) {
    const removed = Math.min(shares.get(domain)!, toRemove)
    add(domain, -removed)
    toRemove -= removed
    const isDearer = (withSpare.has(cheapest) && !withSpare.has(domain)) || costs.get(domain)! > costs.get(cheapest)! + hysteresisMs
    const moved = isDearer ? computeWithin(toMove, 0, shares.get(domain)!) : 0
    add(domain, -moved)
    add(cheapest, moved)
    toMove -= moved
  }
  add(cheapest, -toRemove)
  return new Map([...shares].filter(([, s]) => s > 1e-9))
}

/** Estimates the time of a read at home, in milliseconds, weighted by the slots of its domains; `null` without a recent response. */
function estimateHomeMs (home: readonly DomainLoad[]): number | null {
  const known = home.filter(d => d.responseMs !== null)
  if (known.length === 0) return null
  return sumOf(known, d => (d.responseMs! + d.penaltyMs) * d.slots) / sumOf(known, d => d.slots)
}

/** Estimates the time of a read in another domain with the weight of its bytes, in milliseconds. */
function estimateAwayMs (domain: DomainLoad, serviceMs: number, homeDistance: number, { costMs }: LeavingOptions): number {
  const weightMs = computeWeightMs(domain.distance, costMs) - computeWeightMs(homeDistance, costMs)
  return (domain.responseMs ?? domain.unloadedMs ?? Math.min(serviceMs, DEFAULT_SERVICE_MS) + domain.roundTripMs) + domain.penaltyMs + weightMs
}

function computeWeightMs (distance: number, { betweenDomains, betweenRegions }: LeavingOptions['costMs']): number {
  return [0, betweenDomains, betweenRegions][distance]!
}

/** Returns the service time that is assumed where no response has shown one: that of the fastest domain at home. */
function readServiceMs (home: readonly DomainLoad[]): number {
  const known = home.filter(d => d.unloadedMs !== null).map(d => d.unloadedMs! - d.roundTripMs)
  return known.length === 0 ? DEFAULT_SERVICE_MS : Math.max(1, Math.min(...known))
}

function sumShares ({ shares }: LeavingState, away: readonly DomainLoad[]): number {
  return sumOf(away, d => shares.get(d.domain) ?? 0)
}

function sumOf<T> (items: readonly T[], read: (item: T) => number): number {
  return items.reduce((sum, item) => sum + read(item), 0)
}

function computeWithin (value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value))
}

/** Draws the domain for one read: one of `shares`, or `null` for home. @param random a number in [0, 1) */
export function drawDomain (shares: ReadonlyMap<string, number>, random: number): string | null {
  let left = random
  for (const [domain, share] of shares) {
    if (left < share) return domain
    left -= share
  }
  return null
}
