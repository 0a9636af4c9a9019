import { comparePositions, hasReached, type InstanceStatus, type LogPosition } from '@camphorpitch/wire'
import type { InstanceView } from '../failover/group-view.ts'

/** A bound on acknowledged writes: each one acknowledged before `atMs` is at or before `position` in the log. */
export interface Baseline {
  /** Monotonic milliseconds of this VM. */
  atMs: number
  position: LogPosition
}

/** Baselines, newest first. */
export type BaselineHistory = readonly Baseline[]

/** Longest history kept; older baselines are dropped. */
const MAX_BASELINES = 128
/** A baseline that follows the previous one by less than this is not added. */
const MIN_BASELINE_SPACING_MS = 50

/**
 * Computes a baseline from the last probes; `undefined` when fewer than a majority have a status. An
 * acknowledged write is on a majority of the instances, so the latest log position over any majority
 * includes every write acknowledged before the oldest probe of that majority.
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

/** Adds the baseline computed from the last probes, unless it is too close to the newest one. */
export function recordBaseline (history: BaselineHistory, instances: readonly InstanceView[]): BaselineHistory {
  const baseline = computeBaseline(instances)
  if (baseline === undefined) return history
  const newestBaseline = history[0]
  if (newestBaseline !== undefined && baseline.atMs < newestBaseline.atMs + MIN_BASELINE_SPACING_MS) return history
  return [baseline, ...history].slice(0, MAX_BASELINES)
}

/** Time of the newest baseline whose position the instance has applied; `-Infinity` when it is not known to have applied any. */
export function findHeldBaselineTimeMs (history: BaselineHistory, status: InstanceStatus): number {
  const newestHeld = history.find(b => hasReached(status.applied, status.termStarts, b.position))
  return newestHeld === undefined ? -Infinity : newestHeld.atMs
}
