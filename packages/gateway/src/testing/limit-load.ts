import { createSeededRandom } from '@camphorpitch/wire'
import type { Workspace } from '../configuration/configuration.ts'
import { LimitFleet } from './limit-fleet.ts'
import { VirtualTime } from './virtual-time.ts'

const STEP_MS = 5
const WINDOW_MS = 5_000
const TOLERANCE = { overshoot: 0.1, slack: 20 }
/** Clients return at most this often, and give up after their deadline. */
const MAX_RETURNS = 2
const DEADLINE_MS = 2_000
/** Time that an operation may wait for its token: a quarter of an objective of 500 ms. */
const MAX_WAIT_MS = 125
/** Pause after which a client connects again whose VM does not run. */
const RECONNECT_MS = 100

export interface LimitLoad {
  vms: number
  workspaces: Workspace[]
  /** Operations requested per second. */
  readRate: (workspace: Workspace, nowMs: number) => number
  durationMs: number
  seed: number
  /** What happens to the fleet, by time in milliseconds. */
  events?: Record<number, (fleet: LimitFleet) => void>
  /** For how long after its start a VM answers permit requests late, and by how much. */
  slowStart?: { forMs: number, delayMs: number }
}

export interface LimitLoadResult {
  /** Operations of each workspace: when they began, and whether they were admitted in the end. */
  operations: Map<string, Array<{ beganAtMs: number, isAdmitted: boolean }>>
  /** When operations of each workspace ran. */
  ranAtMs: Map<string, number[]>
  messagesPerOperation: number
}

/** Plays a load on a fleet that counts limits. Clients that are refused return when they are told to, on another VM. */
export async function runLimitLoad (load: LimitLoad): Promise<LimitLoadResult> {
  const { vms, workspaces, readRate, durationMs, seed, events = {}, slowStart } = load
  const time = new VirtualTime()
  time.start()
  try {
    const random = createSeededRandom(seed)
    const fleet = new LimitFleet({ time, vms, workspaces, slowStart })
    const operations: LimitLoadResult['operations'] = new Map(workspaces.map(w => [w.name, []]))
    const ranAtMs: LimitLoadResult['ranAtMs'] = new Map(workspaces.map(w => [w.name, []]))
    const runOperation = async (workspace: string, beganAtMs: number): Promise<boolean> => {
      for (let returns = 0; returns <= MAX_RETURNS;) {
        const running = fleet.listRunning()
        if (running.length === 0) await time.waitOutside(RECONNECT_MS)
        else {
          const verdict = await fleet.request(running[Math.floor(random() * running.length)]!.entry.vm, workspace, MAX_WAIT_MS)
          if (verdict.isAdmitted) {
            ranAtMs.get(workspace)!.push(time.readNow())
            return true
          }
          returns++
          await time.waitOutside(verdict.retryAfterMs)
        }
        if (time.readNow() - beganAtMs > DEADLINE_MS) return false
      }
      return false
    }
    for (let nowMs = 0; nowMs < durationMs; nowMs += STEP_MS) {
      events[nowMs]?.(fleet)
      for (const workspace of workspaces) {
        const count = Math.floor(readRate(workspace, nowMs) * STEP_MS / 1_000 + random())
        for (let i = 0; i < count; i++) {
          const operation = { beganAtMs: nowMs, isAdmitted: false }
          operations.get(workspace.name)!.push(operation)
          runOperation(workspace.name, nowMs).then(isAdmitted => { operation.isAdmitted = isAdmitted }, () => {})
        }
      }
      await time.advance(STEP_MS)
    }
    await time.advance(DEADLINE_MS)
    const operationCount = [...operations.values()].reduce((sum, o) => sum + o.length, 0)
    return { operations, ranAtMs, messagesPerOperation: fleet.messageCount / operationCount }
  } finally {
    time.stop()
  }
}

/** Computes the fraction of operations that were refused in the end, of those that began in a time. */
export function measureRefused ({ operations }: LimitLoadResult, workspaces: readonly Workspace[], fromMs = 0, toMs = Infinity): number {
  const begun = workspaces.flatMap(w => operations.get(w.name)!).filter(o => o.beganAtMs >= fromMs && o.beganAtMs < toMs)
  return begun.filter(o => !o.isAdmitted).length / begun.length
}

/** Counts the operations that ran in the window of a workspace in which most of them did. */
export function countBusiestWindow (ranAtMs: readonly number[]): number {
  const sorted = [...ranAtMs].sort((a, b) => a - b)
  let most = 0
  for (let start = 0, end = 0; end < sorted.length; end++) {
    while (sorted[end]! - sorted[start]! > WINDOW_MS) start++
    most = Math.max(most, end - start + 1)
  }
  return most
}

/** Counts the operations that ran in the window of a workspace that holds the fewest, between two times. */
export function countCalmestWindow (ranAtMs: readonly number[], fromMs: number, toMs: number): number {
  let fewest = Infinity
  for (let startMs = fromMs; startMs + WINDOW_MS <= toMs; startMs += 100) fewest = Math.min(fewest, ranAtMs.filter(t => t >= startMs && t < startMs + WINDOW_MS).length)
  return fewest
}

/** Computes how many operations of a workspace may run in any window. */
export function computeMaxPerWindow ({ ratePerSecond = 0, burst = 0 }: Workspace): number {
  return (ratePerSecond * WINDOW_MS / 1_000 + burst) * (1 + TOLERANCE.overshoot) + TOLERANCE.slack
}
