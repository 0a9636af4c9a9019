import { createSeededRandom } from '@camphorpitch/wire'
import type { Fault } from '../experiment/schema.ts'
import { scenarioSchema, type Scenario } from './schema.ts'

const DATABASE = 'orders'
const INSTANCE_COUNT = 3
const FAILURE_DOMAINS = ['north', 'middle', 'south']
/** The fleet runs without faults before the first and after the last one. */
const FIRST_FAULT_AT_MS = 1_000
const FAULT_FREE_END_MS = 5_000
/** The minimum is shorter than any timeout of the proxy, the maximum longer than most. */
const MIN_FAULT_DURATION_MS = 150
const MAX_FAULT_DURATION_MS = 3_500
const MAX_DELAY_MS = 60
/** Also the largest factor of `MAX_DELAY_MS` for a slow platform. */
const MAX_DROPPED_REPLIES = 6

interface DrawContext {
  /** @returns a random integer from 0 to `limit` - 1 */
  pick: (limit: number) => number
  /** When the fault begins and ends, in milliseconds since the run began. */
  atMs: number
  endMs: number
  vms: number
  /** Proxies that are killed or stopped in this scenario; no other fault may target them. */
  terminatedVms: Set<string>
}

type FaultGenerator = (draw: DrawContext) => Fault[]

/** Each generator creates one fault and, unless the fault ends by itself, the step that ends it or starts a replacement. */
const faultGenerators: Record<string, FaultGenerator> = {
  freezePrimary: ({ atMs, endMs }) => [{ kind: 'freeze-primary', atMs, database: DATABASE, forMs: endMs - atMs }],
  pauseVm: draw => drawVmFaults(draw, (vm, { atMs, endMs }) => [{ kind: 'signal-vm', atMs, vm, signal: 'SIGSTOP' }, { kind: 'signal-vm', atMs: endMs, vm, signal: 'SIGCONT' }]),
  killVm: draw => drawVmReplacement(draw, 'SIGKILL'),
  stopVm: draw => drawVmReplacement(draw, 'SIGTERM'),
  cutPeers: draw => drawEndpointFaults(draw, { cut: { peers: pickPeers(draw) } }, { cut: { peers: [] } }),
  dropEndpointReplies: ({ atMs, pick }) => [{ kind: 'endpoint', atMs, endpoint: pickEndpoint(pick), faults: { dropReplies: 1 + pick(MAX_DROPPED_REPLIES) } }],
  slowEndpoint: draw => drawEndpointFaults(draw, { statementDelayMs: 1 + draw.pick(MAX_DELAY_MS) }, { statementDelayMs: 0 }),
  lagReplica: draw => drawEndpointFaults(draw, { applyDelayMs: MAX_DELAY_MS * (1 + draw.pick(MAX_DELAY_MS)) }, { applyDelayMs: 0 }),
  silenceLink: draw => drawLinkFaults(draw, (['silent', 'silentToServer', 'silentToClient'] as const)[draw.pick(3)]!),
  resetLink: draw => drawLinkFaults(draw, 'reset'),
  delayLink: draw => drawLinkFaults(draw, 'open', 1 + draw.pick(MAX_DELAY_MS)),
  platformOutage: ({ atMs, endMs }) => drawPlatformFaults(atMs, endMs, { outage: true }, { outage: false }),
  platformHang: ({ atMs, endMs }) => drawPlatformFaults(atMs, endMs, { hang: true }, { hang: false }),
  platformSlow: ({ atMs, endMs, pick }) => drawPlatformFaults(atMs, endMs, { slowMs: MAX_DELAY_MS * (1 + pick(MAX_DROPPED_REPLIES)) }, { slowMs: 0 }),
  platformLosesResponses: ({ atMs, endMs }) => drawPlatformFaults(atMs, endMs, { loseAnswerRate: 0.5 }, { loseAnswerRate: 0 })
}

/**
 * Kills a primary, which is not restarted. A scenario does this at most once: after a second kill there might be
 * no majority left that holds all acknowledged writes.
 */
const drawPrimaryKill: FaultGenerator = ({ atMs }) => [{ kind: 'kill-primary', atMs, database: DATABASE }]

function pickEndpoint (pick: DrawContext['pick']): string {
  return `${DATABASE}-${1 + pick(INSTANCE_COUNT)}`
}

function pickPeers ({ pick }: DrawContext): string[] {
  const names = Array.from({ length: INSTANCE_COUNT }, (_, i) => `${DATABASE}-${i + 1}`)
  return names.filter(() => pick(2) === 0)
}

function drawEndpointFaults ({ atMs, endMs, pick }: DrawContext, activeFaults: Record<string, unknown>, clearedFaults: Record<string, unknown>): Fault[] {
  const endpoint = pickEndpoint(pick)
  return [{ kind: 'endpoint', atMs, endpoint, faults: activeFaults }, { kind: 'endpoint', atMs: endMs, endpoint, faults: clearedFaults }]
}

function drawLinkFaults ({ atMs, endMs, pick }: DrawContext, mode: Extract<Fault, { kind: 'link' }>['mode'], delayMs = 0): Fault[] {
  const endpoint = pickEndpoint(pick)
  return [{ kind: 'link', atMs, endpoint, mode, delayMs }, { kind: 'link', atMs: endMs, endpoint, mode: 'open', delayMs: 0 }]
}

function drawPlatformFaults (atMs: number, endMs: number, activeFaults: Record<string, unknown>, clearedFaults: Record<string, unknown>): Fault[] {
  return [{ kind: 'platform', atMs, faults: activeFaults }, { kind: 'platform', atMs: endMs, faults: clearedFaults }]
}

function drawVmFaults (draw: DrawContext, create: (vm: string, draw: DrawContext) => Fault[]): Fault[] {
  const vm = `vm-${1 + draw.pick(draw.vms)}`
  return draw.terminatedVms.has(vm) ? [] : create(vm, draw)
}

/** Terminates a VM and starts another. Adds nothing if fewer than two of the original VMs would be left. */
function drawVmReplacement (draw: DrawContext, signal: 'SIGKILL' | 'SIGTERM'): Fault[] {
  if (draw.terminatedVms.size >= draw.vms - 2) return []
  return drawVmFaults(draw, (vm, { atMs, endMs, terminatedVms, pick }) => {
    terminatedVms.add(vm)
    const replacement = `vm-${draw.vms + terminatedVms.size}`
    return [{ kind: 'signal-vm', atMs, vm, signal }, { kind: 'start-vm', atMs: endMs, vm: replacement, failureDomain: FAILURE_DOMAINS[pick(FAILURE_DOMAINS.length)]! }]
  })
}

export interface DrawOptions {
  /** Maximum number of faults, which may overlap. The primary may be killed in addition. */
  maxFaults?: number
  durationMs?: number
}

/**
 * Draws a scenario from a seed. Its faults may follow each other or overlap, and all but killed processes recover before the end.
 *
 * @example drawScenario(17) // the same scenario every time
 */
export function drawScenario (seed: number, { maxFaults = 6, durationMs = 14_000 }: DrawOptions = {}): Scenario {
  const random = createSeededRandom(seed)
  const pick = (limit: number): number => Math.floor(random() * limit)
  const vms = 3 + pick(3)
  const terminatedVms = new Set<string>()
  const generatorNames = Object.keys(faultGenerators)
  const faults: Fault[] = []
  const latestEndMs = durationMs - FAULT_FREE_END_MS
  for (let remainingFaults = 1 + pick(maxFaults); remainingFaults > 0; remainingFaults--) {
    const atMs = FIRST_FAULT_AT_MS + pick(latestEndMs - FIRST_FAULT_AT_MS - MIN_FAULT_DURATION_MS)
    const endMs = Math.min(latestEndMs, atMs + MIN_FAULT_DURATION_MS + pick(MAX_FAULT_DURATION_MS - MIN_FAULT_DURATION_MS))
    faults.push(...faultGenerators[generatorNames[pick(generatorNames.length)]!]!({ pick, atMs, endMs, vms, terminatedVms }))
  }
  if (pick(3) === 0) faults.push(...drawPrimaryKill({ pick, atMs: FIRST_FAULT_AT_MS + pick(latestEndMs - FIRST_FAULT_AT_MS), endMs: latestEndMs, vms, terminatedVms }))
  return scenarioSchema.parse({ name: `soak-${seed}`, about: `drawn from seed ${seed}`, fleet: { vms }, durationMs, faults, expect: { allFaults: false } })
}
