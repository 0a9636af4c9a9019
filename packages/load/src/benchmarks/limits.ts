import { decideLimits, type LimitInput, type LimitState } from '../../../proxy/src/limits/decide-limits.ts'
import type { LimitEffect } from '../../../proxy/src/limits/effects.ts'
import { SimulatedFleet } from '../../../proxy/src/limits/simulated-fleet.ts'
import { computeLoadResult, startMovingLoad } from '../../../proxy/src/limits/simulated-load.ts'
import { countAvailableTokens, createBucket, type Decide, hashName, type Rate, reserveTokens, spendReservedTokens, type TokenBucket } from '@camphorpitch/wire'
import { pack } from 'msgpackr'

/**
 * Compares three schemes for enforcing rate limits across a fleet: witnessed shares, a single owner per
 * workspace, and an equal split between VMs. All decisions run in one process on a simulated clock.
 *
 * Bytes are those of the message bodies as `msgpackr` packs them, plus `MESSAGE_HEADER_BYTES` per message.
 *
 * @example node --import=tsx packages/load/src/benchmarks/limits.ts
 */
type LimitDecide = Decide<LimitState, LimitInput, LimitEffect>

/** WebSocket, TCP and IP headers of a message that is sent in a packet by itself. */
const MESSAGE_HEADER_BYTES = 60
const WARM_UP_MS = 5_000
const IDLE_DURATION_MS = 10_000
const SEED = 11
/** Load of every workspace but the abusive one, as a fraction of its rate. */
const LOAD_FRACTION = 0.8
/** Load of the abusive workspace as a multiple of its rate. */
const ABUSER_LOAD_FACTOR = 10

/** Measurements of one scheme; rates of messages and bytes are per VM. */
interface SchemeResult {
  scheme: string
  vms: number
  workspaces: number
  requests: number
  /** Requests within their workspace's rate that were refused, over all workspaces but the abusive one. */
  wrongfulPercent: number
  /** The highest such percentage of a single workspace. */
  worstPercent: number
  /** Requests of the abusive workspace that were admitted, relative to those within its rate. */
  abuserAdmittedPart: number
  messagesPerSecond: number
  bytesPerSecond: number
  idleBytesPerSecond: number
  microsecondsPerRequest: number
  /** Decision time per VM, as a percentage of one processor core. */
  corePercent: number
  stateBytesPerVm: number
}

/** Creates eight workspaces for every nine VMs; a few of them have high rates. */
function createRates (vmCount: number): Record<string, Rate> {
  const sizes: Rate[] = [200, 100, 40, 20, 10, 5, 2, 30].map(r => ({ statementsPerSecond: r, burst: Math.max(10, r) }))
  const count = Math.round(vmCount * 8 / 9)
  return Object.fromEntries(Array.from({ length: count }, (_, i) => [`workspace-${i}`, sizes[i % sizes.length]!]))
}

/** Each VM enforces an equal part of every rate and burst, without messages to other VMs. */
function createEqualSplit (rates: Record<string, Rate>, vmCount: number): LimitDecide {
  const buckets = new Map<string, TokenBucket>()
  return (state, input, nowMs) => {
    if (input.type !== 'admit') return { state, effects: [] }
    const key = `${state.self.vm}/${input.workspace}`
    const { statementsPerSecond, burst } = rates[input.workspace]!
    const burstPerVm = Math.max(1, burst / vmCount)
    const tokensPerMs = statementsPerSecond / 1000 / vmCount
    const bucket = buckets.get(key) ?? createBucket(tokensPerMs, burstPerVm, nowMs - burstPerVm / tokensPerMs)
    buckets.set(key, bucket)
    return { state, effects: [admitFromBucket(bucket, input.requestId, nowMs)] }
  }
}

/** Spends one token of `bucket` to admit the request; refuses it when there is none. */
function admitFromBucket (bucket: TokenBucket, requestId: number, nowMs: number): LimitEffect {
  if (countAvailableTokens(bucket, nowMs) < 1) return { type: 'resolve', requestId, admission: { admitted: false, retryAfterMs: 1, reason: 'rate' } }
  reserveTokens(bucket, 1)
  spendReservedTokens(bucket, 1, nowMs)
  return { type: 'resolve', requestId, admission: { admitted: true } }
}

/**
 * One VM enforces the whole rate of a workspace, and every request costs a message to that VM and back.
 * The scheme does not handle the loss of the VM.
 */
function createSingleOwner (rates: Record<string, Rate>, vmCount: number): LimitDecide {
  const buckets = new Map<string, TokenBucket>()
  return (state, input, nowMs) => {
    if (input.type === 'admit') {
      const item = { workspace: input.workspace, share: 0, need: 1, extra: 0 }
      const body = { type: 'demand' as const, seq: input.requestId, items: [item], reportsFor: 0, reports: [] }
      return { state, effects: [{ type: 'send', vm: `vm-${hashName(input.workspace) % vmCount}`, body }] }
    }
    if (input.type !== 'peer') return { state, effects: [] }
    const { from, body } = input
    if (body.type === 'demand') {
      const { workspace } = body.items[0]!
      const { statementsPerSecond, burst } = rates[workspace]!
      const bucket = buckets.get(workspace) ?? createBucket(statementsPerSecond / 1000, burst, nowMs - burst * 1000 / statementsPerSecond)
      buckets.set(workspace, bucket)
      const effect = admitFromBucket(bucket, 0, nowMs)
      const tokens = effect.type === 'resolve' && effect.admission.admitted ? 1 : 0
      const item = { workspace, share: 0, id: 0, tokens, available: 0, retryAfterMs: 1, counting: true }
      return { state, effects: [{ type: 'send', vm: from.vm, body: { type: 'grants', seq: body.seq, incarnation: from.incarnation, items: [item] } }] }
    }
    if (body.type !== 'grants') return { state, effects: [] }
    const admission = body.items[0]!.tokens > 0 ? { admitted: true as const } : { admitted: false as const, retryAfterMs: 1, reason: 'rate' }
    return { state, effects: [{ type: 'resolve', requestId: body.seq, admission }] }
  }
}

/** Time spent in decisions, and messages sent between VMs, summed over all VMs. */
interface DecisionUsage {
  decideMs: number
  messages: number
  bytes: number
}

/** Wraps `decide` to add the time of each call to `usage`. */
function measureDecisionUsage (decide: LimitDecide, usage: DecisionUsage): LimitDecide {
  return (state, input, nowMs) => {
    const startedAtMs = performance.now()
    const step = decide(state, input, nowMs)
    usage.decideMs += performance.now() - startedAtMs
    return step
  }
}

/** Mean size of a VM's packed state in bytes, a lower bound of the memory that it takes. */
function measureStateBytes (fleet: SimulatedFleet): number {
  const sizes = fleet.vms.map(v => pack({ spender: v.state!.spender, ledger: v.state!.ledger, ownership: v.state!.ownership }).length)
  return sizes.reduce((a, b) => a + b, 0) / sizes.length
}

function runScheme (scheme: string, vmCount: number, decide: LimitDecide, rates: Record<string, Rate>, durationMs: number): SchemeResult {
  const usage: DecisionUsage = { decideMs: 0, messages: 0, bytes: 0 }
  const fleet = new SimulatedFleet({
    seed: SEED,
    vmCount,
    rates,
    decide: measureDecisionUsage(decide, usage),
    handleSend: (_from, _to, { body }) => {
      usage.messages += 1
      usage.bytes += pack({ slice: 'limits', body }).length + MESSAGE_HEADER_BYTES
    }
  })
  fleet.queue.runUntil(WARM_UP_MS)
  const bytesBefore = usage.bytes
  fleet.queue.runUntil(WARM_UP_MS + IDLE_DURATION_MS)
  const idleBytes = usage.bytes - bytesBefore
  const loadStartMs = fleet.queue.nowMs
  Object.assign(usage, { decideMs: 0, messages: 0, bytes: 0 })
  const abusiveWorkspace = 'workspace-7'
  for (const [workspace, { statementsPerSecond }] of Object.entries(rates)) {
    const loadFactor = workspace === abusiveWorkspace ? ABUSER_LOAD_FACTOR : LOAD_FRACTION
    startMovingLoad(fleet, { workspace, requestsPerSecond: statementsPerSecond * loadFactor, endMs: loadStartMs + durationMs })
  }
  fleet.queue.runUntil(loadStartMs + durationMs)
  const stateBytesPerVm = measureStateBytes(fleet)
  fleet.queue.runUntil(loadStartMs + durationMs + 500)
  const results = Object.entries(rates).map(([workspace, rate]) => ({ workspace, ...computeLoadResult(fleet.records, workspace, rate, loadStartMs) }))
  const others = results.filter(r => r.workspace !== abusiveWorkspace)
  const sum = (pick: (r: typeof results[number]) => number, list = results): number => list.reduce((n, r) => n + pick(r), 0)
  const abuserResult = results.find(r => r.workspace === abusiveWorkspace)
  const vmSeconds = vmCount * durationMs / 1000
  return {
    scheme,
    vms: vmCount,
    workspaces: results.length,
    requests: sum(r => r.requests),
    wrongfulPercent: 100 * sum(r => r.wrongfulRefusals, others) / sum(r => r.withinRate, others),
    worstPercent: Math.max(...others.map(r => 100 * r.wrongfulRefusals / Math.max(1, r.withinRate))),
    abuserAdmittedPart: abuserResult === undefined ? NaN : abuserResult.admitted / abuserResult.withinRate,
    messagesPerSecond: usage.messages / vmSeconds,
    bytesPerSecond: usage.bytes / vmSeconds,
    idleBytesPerSecond: idleBytes / vmCount / (IDLE_DURATION_MS / 1000),
    microsecondsPerRequest: 1000 * usage.decideMs / sum(r => r.requests),
    corePercent: 100 * usage.decideMs / 1000 / vmSeconds,
    stateBytesPerVm
  }
}

function formatRow (row: SchemeResult): Record<string, string | number> {
  return Object.fromEntries(Object.entries(row).map(([k, v]) => [k, typeof v === 'number' ? Number(v.toFixed(3)) : v]))
}

/** Measures the wrongful refusals of a workspace with 100 statements per second, by the size of its burst. */
function measureBursts (): Array<Record<string, number>> {
  return [5, 10, 20, 30, 50, 100].map(burst => {
    const rates = { single: { statementsPerSecond: 100, burst } }
    const result = runScheme('witnessed shares', 9, decideLimits, rates, 120_000)
    return { burst, wrongfulPercent: Number(result.wrongfulPercent.toFixed(3)), messagesPerRequest: result.messagesPerSecond * 9 * 120 / result.requests }
  })
}

const rows: SchemeResult[] = []
for (const [vmCount, durationMs] of [[9, 60_000], [50, 20_000], [200, 10_000]] as const) {
  const rates = createRates(vmCount)
  rows.push(runScheme('witnessed shares', vmCount, decideLimits, rates, durationMs))
  rows.push(runScheme('single owner', vmCount, createSingleOwner(rates, vmCount), rates, durationMs))
  rows.push(runScheme('equal split', vmCount, createEqualSplit(rates, vmCount), rates, durationMs))
}
const bursts = measureBursts()
console.table(rows.map(formatRow))
console.table(bursts)
console.log(JSON.stringify({ rows: rows.map(formatRow), bursts }))
