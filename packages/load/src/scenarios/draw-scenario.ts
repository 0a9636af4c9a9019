import { createSeededRandom } from '@camphorpitch/wire'
import type { Fault } from '../experiment/schema.ts'
import { scenarioSchema, type Scenario } from './schema.ts'

const DATABASE = 'orders'
const INSTANCES = 3
const FAILURE_DOMAINS = ['north', 'middle', 'south']
/** When the first fault may begin and how long the fleet has after the last one, in milliseconds. */
const FIRST_AT_MS = 1_000
const CALM_END_MS = 5_000
/** Shortest and longest fault, in milliseconds: shorter than any timeout of the proxy, and longer than most. */
const SHORTEST_MS = 150
const LONGEST_MS = 3_500
const LONGEST_DELAY_MS = 60
const MOST_LOST_ANSWERS = 6

interface Draw {
  /** A whole number from 0 to below `most`. */
  pick: (most: number) => number
  /** Time of a fault's begin and end. */
  atMs: number
  endMs: number
  vms: number
  /** Proxies that were killed or stopped, which no other fault may name. */
  gone: Set<string>
}

type FaultDrawer = (draw: Draw) => Fault[]

/** Each brings one trouble about and ends it again, as far as it ends. */
const drawers: Record<string, FaultDrawer> = {
  freezePrimary: ({ atMs, endMs }) => [{ kind: 'freeze-primary', atMs, database: DATABASE, forMs: endMs - atMs }],
  pauseVm: draw => drawVmFaults(draw, (vm, { atMs, endMs }) => [{ kind: 'signal-vm', atMs, vm, signal: 'SIGSTOP' }, { kind: 'signal-vm', atMs: endMs, vm, signal: 'SIGCONT' }]),
  killVm: draw => drawLastingVmFaults(draw, 'SIGKILL'),
  stopVm: draw => drawLastingVmFaults(draw, 'SIGTERM'),
  cutPeers: draw => drawEndpointFaults(draw, { cut: { peers: listOthers(draw) } }, { cut: { peers: [] } }),
  loseReplies: ({ atMs, pick }) => [{ kind: 'endpoint', atMs, endpoint: pickEndpoint(pick), faults: { dropReplies: 1 + pick(MOST_LOST_ANSWERS) } }],
  slowEndpoint: draw => drawEndpointFaults(draw, { statementDelayMs: 1 + draw.pick(LONGEST_DELAY_MS) }, { statementDelayMs: 0 }),
  lagReplica: draw => drawEndpointFaults(draw, { applyDelayMs: LONGEST_DELAY_MS * (1 + draw.pick(LONGEST_DELAY_MS)) }, { applyDelayMs: 0 }),
  silenceLink: draw => drawLinkFaults(draw, (['silent', 'silentToServer', 'silentToClient'] as const)[draw.pick(3)]!),
  resetLink: draw => drawLinkFaults(draw, 'reset'),
  delayLink: draw => drawLinkFaults(draw, 'open', 1 + draw.pick(LONGEST_DELAY_MS)),
  platformOutage: ({ atMs, endMs }) => drawPlatformFaults(atMs, endMs, { outage: true }, { outage: false }),
  platformHang: ({ atMs, endMs }) => drawPlatformFaults(atMs, endMs, { hang: true }, { hang: false }),
  platformSlow: ({ atMs, endMs, pick }) => drawPlatformFaults(atMs, endMs, { slowMs: LONGEST_DELAY_MS * (1 + pick(MOST_LOST_ANSWERS)) }, { slowMs: 0 }),
  platformLosesAnswers: ({ atMs, endMs }) => drawPlatformFaults(atMs, endMs, { loseAnswerRate: 0.5 }, { loseAnswerRate: 0 })
}
/** Ends a primary for good; a second one could leave no majority that knows what was acknowledged. */
const killPrimary: FaultDrawer = ({ atMs }) => [{ kind: 'kill-primary', atMs, database: DATABASE }]

function pickEndpoint (pick: Draw['pick']): string {
  return `${DATABASE}-${1 + pick(INSTANCES)}`
}

function listOthers ({ pick }: Draw): string[] {
  const names = Array.from({ length: INSTANCES }, (_, i) => `${DATABASE}-${i + 1}`)
  return names.filter(() => pick(2) === 0)
}

function drawEndpointFaults ({ atMs, endMs, pick }: Draw, begin: Record<string, unknown>, end: Record<string, unknown>): Fault[] {
  const endpoint = pickEndpoint(pick)
  return [{ kind: 'endpoint', atMs, endpoint, faults: begin }, { kind: 'endpoint', atMs: endMs, endpoint, faults: end }]
}

function drawLinkFaults ({ atMs, endMs, pick }: Draw, mode: Extract<Fault, { kind: 'link' }>['mode'], delayMs = 0): Fault[] {
  const endpoint = pickEndpoint(pick)
  return [{ kind: 'link', atMs, endpoint, mode, delayMs }, { kind: 'link', atMs: endMs, endpoint, mode: 'open', delayMs: 0 }]
}

function drawPlatformFaults (atMs: number, endMs: number, begin: Record<string, unknown>, end: Record<string, unknown>): Fault[] {
  return [{ kind: 'platform', atMs, faults: begin }, { kind: 'platform', atMs: endMs, faults: end }]
}

function drawVmFaults (draw: Draw, create: (vm: string, draw: Draw) => Fault[]): Fault[] {
  const vm = `vm-${1 + draw.pick(draw.vms)}`
  return draw.gone.has(vm) ? [] : create(vm, draw)
}

/** One proxy at least goes on; the one that ends is replaced by another. */
function drawLastingVmFaults (draw: Draw, signal: 'SIGKILL' | 'SIGTERM'): Fault[] {
  if (draw.gone.size >= draw.vms - 2) return []
  return drawVmFaults(draw, (vm, { atMs, endMs, gone, pick }) => {
    gone.add(vm)
    const replacement = `vm-${draw.vms + gone.size}`
    return [{ kind: 'signal-vm', atMs, vm, signal }, { kind: 'start-vm', atMs: endMs, vm: replacement, failureDomain: FAILURE_DOMAINS[pick(FAILURE_DOMAINS.length)]! }]
  })
}

export interface DrawOptions {
  /** Most troubles in one scenario; they may overlap. */
  mostFaults?: number
  durationMs?: number
}

/**
 * Draws a scenario from a seed: troubles of every kind, in series and overlapping, each of which ends.
 *
 * @example drawScenario(17) // the same scenario every time
 */
export function drawScenario (seed: number, { mostFaults = 6, durationMs = 14_000 }: DrawOptions = {}): Scenario {
  const random = createSeededRandom(seed)
  const pick = (most: number): number => Math.floor(random() * most)
  const vms = 3 + pick(3)
  const gone = new Set<string>()
  const names = Object.keys(drawers)
  const faults: Fault[] = []
  const lastEndMs = durationMs - CALM_END_MS
  for (let left = 1 + pick(mostFaults); left > 0; left--) {
    const atMs = FIRST_AT_MS + pick(lastEndMs - FIRST_AT_MS - SHORTEST_MS)
    const endMs = Math.min(lastEndMs, atMs + SHORTEST_MS + pick(LONGEST_MS - SHORTEST_MS))
    faults.push(...drawers[names[pick(names.length)]!]!({ pick, atMs, endMs, vms, gone }))
  }
  if (pick(3) === 0) faults.push(...killPrimary({ pick, atMs: FIRST_AT_MS + pick(lastEndMs - FIRST_AT_MS), endMs: lastEndMs, vms, gone }))
  return scenarioSchema.parse({ name: `soak-${seed}`, about: `drawn from seed ${seed}`, fleet: { vms }, durationMs, faults, expect: { allFaults: false } })
}
