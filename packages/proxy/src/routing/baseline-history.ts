import { comparePositions, hasReached, type InstanceStatus, type LogPosition } from '@camphorpitch/wire'
import type { InstanceView } from '../failover/group-view.ts'

/** Every write acknowledged before `atMs` lies at or before `position`. */
export interface Baseline {
  atMs: number
  position: LogPosition
}

/** Baselines, the newest first. */
export type BaselineHistory = readonly Baseline[]

const MAX_BASELINES = 128
/** Baselines nearer to each other than this are not kept apart. */
const MIN_BASELINE_SPACING_MS = 50

/**
 * Derives a baseline from the last probes: an acknowledged write is on a majority of the instances,
 * so the latest log over any majority holds all that was acknowledged before the first of its probes.
 */
export function computeBaseline (instances: readonly InstanceView[]): Baseline | undefined {
  const majoritySize = Math.floor(instances.length / 2) + 1
  const probed = instances.filter(i => i.status !== null).sort((a, b) => b.probedAtMs - a.probedAtMs)
  const newestProbes = probed.slice(0, majoritySize)
  if (newestProbes.length < majoritySize) return undefined
  let position = newestProbes[0]?.status?.logged
  for (const { status } of newestProbes) {
    if (status !== null && position !== undefined && comparePositions(status.logged, position) > 0) position = status.logged
  }
  const atMs = newestProbes.at(-1)?.probedAtMs
  if (position === undefined || atMs === undefined) return undefined
  return { atMs, position }
}

/** Adds what the last probes show. */
export function recordBaseline (history: BaselineHistory, instances: readonly InstanceView[]): BaselineHistory {
  const baseline = computeBaseline(instances)
  if (baseline === undefined) return history
  const newestBaseline = history[0]
  if (newestBaseline !== undefined && baseline.atMs < newestBaseline.atMs + MIN_BASELINE_SPACING_MS) return history
  return [baseline, ...history].slice(0, MAX_BASELINES)
}

/** Time of the newest baseline that the instance surely holds; `-Infinity` when it is not known to hold any. */
export function findHeldBaselineTimeMs (history: BaselineHistory, status: InstanceStatus): number {
  const newestHeld = history.find(b => hasReached(status.applied, status.termStarts, b.position))
  return newestHeld === undefined ? -Infinity : newestHeld.atMs
}
