import { portSchema } from '@camphorpitch/wire'
import { z } from 'zod'

const DEFAULT_CONNECT_DELAY_MS = 12

export const memberSchema = z.strictObject({ instance: z.string().regex(/^[a-z][a-z0-9-]{0,62}$/), host: z.string(), port: portSchema })

/** Settings of one stand-in instance. Port 0 takes a free port. */
export const endpointSettingsSchema = z.strictObject({
  instance: z.string().regex(/^[a-z][a-z0-9-]{0,62}$/, 'expected lower-case letters, digits and hyphens'),
  host: z.string().default('127.0.0.1'),
  port: z.number().int().min(0).max(65535).default(0),
  controlPort: z.number().int().min(0).max(65535).default(0),
  failureDomain: z.string().default('default'),
  /** Addresses of the group's instances; replicas need only that of `initialPrimary`. */
  members: z.array(memberSchema).default([]),
  /** Instance that is primary in `initialTerm`. */
  initialPrimary: z.string(),
  initialTerm: z.number().int().positive().default(1),
  maxConnections: z.number().int().positive().default(20),
  /** Number of statements that run at the same time. */
  slots: z.number().int().positive().default(3),
  connectDelayMs: z.number().nonnegative().default(DEFAULT_CONNECT_DELAY_MS),
  replicationDelayMs: z.number().nonnegative().default(0),
  applyDelayMs: z.number().nonnegative().default(0),
  statementDelayMs: z.number().nonnegative().default(0),
  /**
   * File that keeps the promised term and the log over a restart. Without it, the instance must not be started again
   * under the same name, since it would have forgotten what it promised and acknowledged.
   */
  stateFile: z.string().optional(),
  /** Seed of the generator that picks the statements to fail. */
  seed: z.number().int().default(1),
  user: z.string().default('camphorpitch'),
  password: z.string().default(''),
  logLevel: z.enum(['error', 'warn', 'info', 'debug', 'silent']).default('info')
})
export type EndpointSettings = z.infer<typeof endpointSettingsSchema>
export type EndpointOptions = z.input<typeof endpointSettingsSchema>

/** Faults that can be switched while the instance runs; a fault that a change omits stays as it is. */
export const faultsSchema = z.strictObject({
  /** Accepts connections but sends nothing; replication stops in both directions. */
  freeze: z.boolean(),
  /** `callers` cuts the connections of clients without closing them; `peers` names the instances with which replication is cut. */
  cut: z.strictObject({ callers: z.boolean().default(false), peers: z.array(z.string()).default([]) }),
  statementDelayMs: z.number().nonnegative(),
  replicationDelayMs: z.number().nonnegative(),
  applyDelayMs: z.number().nonnegative(),
  connectDelayMs: z.number().nonnegative(),
  /** Fraction of statements, 0 to 1, that fail before they run. */
  failRate: z.number().min(0).max(1),
  /** Number of next statements that run but get no reply. */
  dropReplies: z.number().int().nonnegative()
}).partial()
export type Faults = Required<z.infer<typeof faultsSchema>>
export type FaultChange = z.input<typeof faultsSchema>
