import { nameSchema, rateSchema } from '@camphorpitch/wire'
import { z } from 'zod'
import { linkModes } from '../fleet/loopback-link.ts'

const millisecondsSchema = z.number().int().nonnegative()

/** Size of the fleet and delays of the stand-ins. Loopback adds no latency, so the delays include one-way network times. */
export const experimentFleetSchema = z.strictObject({
  vms: z.number().int().min(1).max(20),
  databases: z.array(nameSchema).min(1).max(9),
  instancesPerDatabase: z.number().int().min(1).max(9),
  /** Maximum number of connections to each instance. */
  maxConnections: z.number().int().min(3),
  /** Number of statements that each instance runs at the same time. */
  slots: z.number().int().positive(),
  connectDelayMs: z.number().nonnegative(),
  replicationDelayMs: z.number().nonnegative(),
  /** Execution time of each statement at the instance. */
  statementDelayMs: z.number().nonnegative()
})

export const workspaceLoadSchema = z.strictObject({
  workspace: nameSchema,
  rate: rateSchema,
  /** Number of clients. Each has one connection and runs one statement at a time. */
  callers: z.number().int().positive().max(500),
  /** Operations per second of all clients together, in an open loop. */
  offeredPerSecond: z.number().positive()
})
export type WorkspaceLoad = z.infer<typeof workspaceLoadSchema>

export const loadSchema = z.strictObject({
  /** Clients of an open loop keep their schedule even if responses are late; those of a closed loop wait for each response. */
  loop: z.enum(['open', 'closed']),
  /** Time between a response and the next operation, in a closed loop. */
  thinkTimeMs: millisecondsSchema,
  /** Relative weights of the kinds of operation. */
  mix: z.strictObject({ read: z.number().nonnegative(), write: z.number().nonnegative(), transaction: z.number().nonnegative() }),
  /** Number of operations after which a client moves to the next VM with its session; 0 for never. */
  operationsPerVm: z.number().int().nonnegative(),
  /** Maximum staleness that reads accept; 0 for read-your-writes. */
  maxAgeMs: millisecondsSchema,
  /** Time after which a client abandons a statement and connects to another VM. */
  timeoutMs: millisecondsSchema.min(1)
})

const atMs = millisecondsSchema
export const faultSchema = z.discriminatedUnion('kind', [
  z.strictObject({ atMs, kind: z.literal('kill-primary'), database: nameSchema }),
  /** For `forMs`, the primary accepts connections but sends no responses. */
  z.strictObject({ atMs, kind: z.literal('freeze-primary'), database: nameSchema, forMs: millisecondsSchema }),
  /** Body of `POST /faults` at an endpoint stand-in. */
  z.strictObject({ atMs, kind: z.literal('endpoint'), endpoint: nameSchema, faults: z.record(z.string(), z.unknown()) }),
  /** Sets the mode of the link between all proxies and an endpoint. */
  z.strictObject({ atMs, kind: z.literal('link'), endpoint: nameSchema, mode: z.enum(linkModes), delayMs: millisecondsSchema.default(0) }),
  /** Body of `POST /faults` at the platform stand-in. */
  z.strictObject({ atMs, kind: z.literal('platform'), faults: z.record(z.string(), z.unknown()) }),
  z.strictObject({ atMs, kind: z.literal('signal-vm'), vm: nameSchema, signal: z.enum(['SIGTERM', 'SIGKILL', 'SIGSTOP', 'SIGCONT']) }),
  /** Marks an endpoint as leaving in its database's description. */
  z.strictObject({ atMs, kind: z.literal('leave-endpoint'), database: nameSchema, endpoint: nameSchema }),
  z.strictObject({ atMs, kind: z.literal('start-vm'), vm: nameSchema, failureDomain: nameSchema })
])
export type Fault = z.infer<typeof faultSchema>

/** A complete experiment, with the missing fields of the file taken from its preset. */
export const experimentSchema = z.strictObject({
  name: nameSchema,
  fleet: experimentFleetSchema,
  workspaces: z.array(workspaceLoadSchema).min(1).max(50),
  load: loadSchema,
  durationMs: z.number().int().min(1_000).max(3_600_000),
  /** Operations due before this time are not measured. */
  warmupMs: millisecondsSchema,
  seed: z.number().int(),
  faults: z.array(faultSchema),
  /** Whether to run the same experiment against the naive baseline as well. */
  baseline: z.boolean()
})
export type Experiment = z.infer<typeof experimentSchema>
