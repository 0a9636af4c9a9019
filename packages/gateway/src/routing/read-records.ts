/** Length of a period of response times and of counted reads, in milliseconds. */
const PERIOD_MS = 250
/** Reads per second are counted over this many periods. */
const RATE_PERIODS = 4
/** Time constant of the recent response time, in milliseconds: a few times the service time of reads (14 to 40 ms). */
const RESPONSE_TIME_CONSTANT_MS = 300
/** Largest weight of one response, so that a single slow read of a VM with few reads does not count as a slow endpoint. */
const MAX_RESPONSE_WEIGHT = 0.15
/** After this time without a response, the recent response time is unknown. */
const RESPONSE_MAX_AGE_MS = 2_000
/** Number of periods whose lowest average counts as the unloaded response time: 8 s, about half of a wave of demand of 15 s. */
const UNLOADED_PERIODS = 32
/** After this time without a response, it is unknown too, so that a domain that was slow is tried again. */
const UNLOADED_MAX_AGE_MS = 30_000
/** Averages over fewer responses than this are too accidental to count as the unloaded response time. */
const MIN_RESPONSES = 4

interface Period { index: number, count: number, totalMs: number }

/** How the reads of this VM were answered by one endpoint. Times are on this VM's clock, in milliseconds. */
export interface ReadRecord {
  lastAtMs: number
  recentMs: number
  /** Periods with responses, the oldest first. */
  periods: Period[]
}

export function createReadRecord (): ReadRecord {
  return { lastAtMs: -Infinity, recentMs: 0, periods: [] }
}

/** Records the time from the selection of the endpoint until its response. */
export function recordRead (record: ReadRecord, responseMs: number, nowMs: number): void {
  const weight = record.lastAtMs === -Infinity ? 1 : Math.min(MAX_RESPONSE_WEIGHT, 1 - Math.exp(-Math.max(1, nowMs - record.lastAtMs) / RESPONSE_TIME_CONSTANT_MS))
  record.recentMs += weight * (responseMs - record.recentMs)
  record.lastAtMs = nowMs
  const period = findPeriod(record.periods, nowMs)
  period.count++
  period.totalMs += responseMs
  while (record.periods[0]!.index <= period.index - UNLOADED_PERIODS) record.periods.shift()
}

/** Returns the recent response time, in milliseconds; `null` without a recent response. */
export function readRecentMs (record: ReadRecord, nowMs: number): number | null {
  return nowMs - record.lastAtMs > RESPONSE_MAX_AGE_MS ? null : record.recentMs
}

/** Returns the lowest average response time of a period, in milliseconds; `null` if too few responses are known, or the last one is too old. */
export function readUnloadedMs ({ periods, lastAtMs }: ReadRecord, nowMs: number): number | null {
  if (nowMs - lastAtMs > UNLOADED_MAX_AGE_MS) return null
  const averages = periods.filter(p => p.count >= MIN_RESPONSES).map(p => p.totalMs / p.count)
  return averages.length === 0 ? null : Math.min(...averages)
}

/** Counts of reads that clients of this VM requested. */
export interface ReadCounter { periods: Period[] }

export function countRead ({ periods }: ReadCounter, nowMs: number): void {
  findPeriod(periods, nowMs).count++
  while (periods.length > RATE_PERIODS + 1) periods.shift()
}

/** Measures the reads per second over the last complete periods. */
export function measureReadsPerS ({ periods }: ReadCounter, nowMs: number): number {
  const index = Math.floor(nowMs / PERIOD_MS)
  const count = periods.filter(p => p.index < index && p.index >= index - RATE_PERIODS).reduce((sum, p) => sum + p.count, 0)
  return count * 1_000 / (RATE_PERIODS * PERIOD_MS)
}

function findPeriod (periods: Period[], nowMs: number): Period {
  const index = Math.floor(nowMs / PERIOD_MS)
  const last = periods.at(-1)
  if (last?.index === index) return last
  const period = { index, count: 0, totalMs: 0 }
  periods.push(period)
  return period
}
