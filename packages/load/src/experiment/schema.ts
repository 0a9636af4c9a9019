import { nameSchema, rateSchema } from '@camphorpitch/wire'
import { z } from 'zod'
import { linkModes } from '../fleet/loopback-link.ts'

const millisecondsSchema = z.number().int().nonnegative()

/** Size and delays of the stand-ins. Loopback adds no latency: one-way times are part of the delays. */
export const experimentFleetSchema = z.strictObject({
  vms: z.number().int().min(1).max(20),
  databases: z.array(nameSchema).min(1).max(9),
  instancesPerDatabase: z.number().int().min(1).max(9),
  /** Connections that each instance accepts. */
  maxConnections: z.number().int().min(3),
  /** Statements that each instance runs at once. */
  slots: z.number().int().positive(),
  connectDelayMs: z.number().nonnegative(),
  replicationDelayMs: z.number().nonnegative(),
  /** Time that each statement takes at the instance. */
  statementDelayMs: z.number().nonnegative()
})

export const workspaceLoadSchema = z.strictObject({
  workspace: nameSchema,
  rate: rateSchema,
  /** Connections, each with one statement at a time. */
  callers: z.number().int().positive().max(500),
  /** Operations a second over all callers; used by the open loop. */
  offeredPerSecond: z.number().positive()
})
export type WorkspaceLoad = z.infer<typeof workspaceLoadSchema>

export const loadSchema = z.strictObject({
  /** An open loop keeps its schedule whatever the answers; a closed one waits for each. */
  loop: z.enum(['open', 'closed']),
  /** Wait between the operations of a closed loop. */
  thinkTimeMs: millisecondsSchema,
  /** Weights of the operations. */
  mix: z.strictObject({ read: z.number().nonnegative(), write: z.number().nonnegative(), transaction: z.number().nonnegative() }),
  /** Operations after which a caller moves to the next VM with its session; 0 for never. */
  operationsPerVm: z.number().int().nonnegative(),
  /** Age that reads accept; 0 for read-your-writes. */
  maxAgeMs: millisecondsSchema,
  /** Time after which a caller gives a statement up and goes to another VM. */
  timeoutMs: millisecondsSchema.min(1)
})

const atMs = millisecondsSchema
export const faultSchema = z.discriminatedUnion('kind', [
  z.strictObject({ atMs, kind: z.literal('kill-primary'), database: nameSchema }),
  /** The primary accepts connections and answers nothing for a while. */
  z.strictObject({ atMs, kind: z.literal('freeze-primary'), database: nameSchema, forMs: millisecondsSchema }),
  /** Body of `POST /faults` at an endpoint stand-in. */
  z.strictObject({ atMs, kind: z.literal('endpoint'), endpoint: nameSchema, faults: z.record(z.string(), z.unknown()) }),
  /** What the path between all proxies and an endpoint does from now on. */
  z.strictObject({ atMs, kind: z.literal('link'), endpoint: nameSchema, mode: z.enum(linkModes), delayMs: millisecondsSchema.default(0) }),
  /** Body of `POST /faults` at the platform stand-in. */
  z.strictObject({ atMs, kind: z.literal('platform'), faults: z.record(z.string(), z.unknown()) }),
  z.strictObject({ atMs, kind: z.literal('signal-vm'), vm: nameSchema, signal: z.enum(['SIGTERM', 'SIGKILL', 'SIGSTOP', 'SIGCONT']) }),
  /** Marks an endpoint as leaving in its database's description. */
  z.strictObject({ atMs, kind: z.literal('leave-endpoint'), database: nameSchema, endpoint: nameSchema }),
  z.strictObject({ atMs, kind: z.literal('start-vm'), vm: nameSchema, failureDomain: nameSchema })
])
export type Fault = z.infer<typeof faultSchema>

/** A whole experiment, after its preset has filled in what the file leaves out. */
export const experimentSchema = z.strictObject({
  name: nameSchema,
  fleet: experimentFleetSchema,
  workspaces: z.array(workspaceLoadSchema).min(1).max(50),
  load: loadSchema,
  durationMs: z.number().int().min(1_000).max(3_600_000),
  /** Operations due before this time are left out of the measures. */
  warmupMs: millisecondsSchema,
  seed: z.number().int(),
  faults: z.array(faultSchema),
  /** Runs the same against a naive proxy as well. */
  baseline: z.boolean()
})
export type Experiment = z.infer<typeof experimentSchema>
