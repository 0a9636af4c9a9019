import { selectReadTarget, type ReadRequirement, type ReadTarget } from '../routing/select-read-target.ts'
import { probeWithTimeout } from './confirm-position.ts'
import { computeTimeLeftMs, type AcceptedRequest, type ServingContext } from './serving-context.ts'

/** Longest time until a group that does not change is checked again. */
const RECHECK_INTERVAL_MS = 50
/** Longest time between two rounds of probes while a read waits for a replica. */
const REPLICA_RECHECK_INTERVAL_MS = 1
/** Longest time for the first probes of the replicas, and again for the wait for one, while the primary could serve the read. */
const MAX_REPLICA_WAIT_MS = 50

function selectTarget (context: ServingContext, requirement: ReadRequirement, excluded: ReadonlySet<string>): ReadTarget {
  return selectReadTarget({
    instances: context.group.listInstances(),
    primary: context.group.findPrimary()?.endpoint.endpoint,
    requirement,
    history: context.readBaselineHistory(),
    nowMs: context.clock.readNow(),
    failureDomain: context.failureDomain,
    countOutstanding: endpoint => context.pools.countOutstandingRequests(endpoint),
    excluded
  })
}

/** Probes every reachable instance that is not excluded; resolves as soon as a replica that can serve the read is known, or when all probes have ended. */
async function probeReplicas (context: ServingContext, requirement: ReadRequirement, excluded: ReadonlySet<string>, timeoutMs: number): Promise<void> {
  const primary = context.group.findPrimary()?.endpoint.endpoint
  const reachableEndpoints = context.group.listInstances().filter(i => i.isReachable && !excluded.has(i.endpoint.endpoint)).map(i => i.endpoint.endpoint)
  await new Promise<void>(resolve => {
    const probes = reachableEndpoints.map(async name => {
      await probeWithTimeout(context, name, timeoutMs)
      const target = selectTarget(context, requirement, excluded)
      if (target.kind === 'instance' && target.endpoint !== primary) resolve()
    })
    Promise.all(probes).then(() => resolve(), () => resolve())
  })
}

/**
 * Finds the position that an instance must hold to serve the read: the one that the request requires;
 * none, if an instance satisfies the request's maximum age; else the group's baseline. Returns `null`
 * when no majority responds to tell the baseline in time.
 */
async function findRequirement (context: ServingContext, request: AcceptedRequest, excluded: ReadonlySet<string>): Promise<ReadRequirement | null> {
  const { maxAgeMs } = request
  if (request.required !== null) return { required: request.required, maxAgeMs }
  if (maxAgeMs > 0 && selectTarget(context, { required: null, maxAgeMs }, excluded).kind === 'instance') return { required: null, maxAgeMs }
  try {
    return { required: await context.group.readBaseline(Math.max(1, computeTimeLeftMs(context, request))), maxAgeMs }
  } catch (error) {
    context.logger.debug('baseline position unavailable for read', { request: request.requestId, database: request.database, reason: String(error) })
    return null
  }
}

/** Selects a replica by the last known statuses, else by probes, else after a short wait; falls back to the primary. */
async function selectTargetWithProbes (context: ServingContext, request: AcceptedRequest, requirement: ReadRequirement, excluded: ReadonlySet<string>): Promise<ReadTarget> {
  const knownTarget = selectTarget(context, requirement, excluded)
  if (isReplicaTarget(knownTarget)) return knownTarget
  const probeMs = Math.min(MAX_REPLICA_WAIT_MS, computeTimeLeftMs(context, request))
  if (probeMs <= 0) return knownTarget
  await probeReplicas(context, requirement, excluded, probeMs)
  const probedTarget = selectTarget(context, requirement, excluded)
  if (probedTarget.kind === 'none' || isReplicaTarget(probedTarget)) return probedTarget
  const waitMs = Math.min(MAX_REPLICA_WAIT_MS, computeTimeLeftMs(context, request))
  return waitMs <= 0 ? probedTarget : await waitForReplica(context, requirement, excluded, waitMs)
}

function isReplicaTarget (target: ReadTarget): boolean {
  return target.kind === 'instance' && !target.isPrimary
}

async function waitForReplica (context: ServingContext, requirement: ReadRequirement, excluded: ReadonlySet<string>, waitMs: number): Promise<ReadTarget> {
  const startedAtMs = context.clock.readNow()
  for (;;) {
    await context.waitForChange(REPLICA_RECHECK_INTERVAL_MS)
    const waitedMs = context.clock.readNow() - startedAtMs
    await probeReplicas(context, requirement, excluded, Math.max(1, waitMs - waitedMs))
    const target = selectTarget(context, requirement, excluded)
    if (isReplicaTarget(target) || context.clock.readNow() - startedAtMs >= waitMs) return target
  }
}

/**
 * Finds the instance for a read: a replica known to hold the required position, else one that a probe
 * shows to hold it, else the primary after a short wait for a replica. When there is none, it waits
 * until the request's deadline for the first instance that holds the position. `excluded` is cleared
 * when no other instance can serve the read.
 */
export async function findReadTarget (context: ServingContext, request: AcceptedRequest, excluded: Set<string>): Promise<ReadTarget> {
  let lastTarget: ReadTarget = { kind: 'none', reason: 'no majority of the instances answers' }
  for (;;) {
    const requirement = await findRequirement(context, request, excluded)
    if (requirement !== null) {
      lastTarget = await selectTargetWithProbes(context, request, requirement, excluded)
      if (lastTarget.kind === 'instance') return lastTarget
    }
    const timeLeftMs = computeTimeLeftMs(context, request)
    if (timeLeftMs <= 0) return lastTarget
    // A failure may be temporary, as during a change of primary, so excluded instances are tried again.
    excluded.clear()
    await context.waitForChange(Math.min(timeLeftMs, RECHECK_INTERVAL_MS))
  }
}
