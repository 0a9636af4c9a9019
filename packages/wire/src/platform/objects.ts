import { z } from 'zod'

const namePattern = /^[a-z][a-z0-9-]{0,62}$/
/** Names of workspaces, databases, endpoints and VMs: lower-case letters, digits and hyphens. */
export const nameSchema = z.string().regex(namePattern, 'expected lower-case letters, digits and hyphens, beginning with a letter')
export const portSchema = z.number().int().min(1).max(65535)

/** Rate and burst of a workspace over the whole fleet. */
export const rateSchema = z.strictObject({
  statementsPerSecond: z.number().positive().max(1_000_000),
  burst: z.number().int().positive().max(1_000_000)
})
export type Rate = z.infer<typeof rateSchema>

export const databaseAccessSchema = z.strictObject({
  access: z.enum(['read', 'read-write']).default('read-write'),
  /** Maximum age of the data that reads accept when the client states none, in milliseconds; 0 means read-your-writes. */
  defaultMaxAgeMs: z.number().int().nonnegative().default(0)
})

/** The document that defines all limits and routes of a workspace, and whether clients need a key. Object kind `contract`. */
export const contractSchema = z.strictObject({
  workspace: nameSchema,
  rate: rateSchema,
  /** An open contract requires no key: any client may use its databases. */
  open: z.boolean().default(false),
  databases: z.record(nameSchema, databaseAccessSchema),
  /** Timeout of a statement, in milliseconds, including the time that it waits. */
  statementTimeoutMs: z.number().int().min(10).max(600_000).default(10_000),
  /** Maximum number of concurrent client connections to each VM. */
  maxConnectionsPerVm: z.number().int().positive().max(100_000).default(1_000)
})
export type Contract = z.infer<typeof contractSchema>

/** Digests of a workspace's keys. Object kind `key-ring`, named after the workspace. */
export const keyRingSchema = z.strictObject({
  workspace: nameSchema,
  keys: z.array(z.strictObject({
    id: nameSchema,
    /** Hexadecimal SHA1(SHA1(key)), as `mysql_native_password` stores it. */
    digest: z.string().regex(/^[0-9a-f]{40}$/),
    grantedAt: z.string(),
    note: z.string().max(200).default('')
  }))
})
export type KeyRing = z.infer<typeof keyRingSchema>

export const endpointSchema = z.strictObject({
  endpoint: nameSchema,
  host: z.string(),
  port: portSchema,
  failureDomain: nameSchema,
  region: nameSchema.default('default'),
  /** Maximum number of connections that the instance accepts from the whole fleet. */
  maxConnections: z.number().int().min(3).max(10_000).default(20),
  /** Number of statements that the instance runs concurrently. */
  slots: z.number().int().positive().max(1_000).default(3),
  /** A leaving instance gets no new statements and is replaced as primary, but counts for quorums until it is removed. */
  state: z.enum(['live', 'leaving']).optional()
})
export type Endpoint = z.infer<typeof endpointSchema>

/** A database group as the platform describes it. Object kind `database`. */
export const databaseSchema = z.strictObject({
  database: nameSchema,
  endpoints: z.array(endpointSchema).min(1).max(9),
  /** Credentials with which the proxy connects to the endpoints. */
  user: z.string().default('camphorpitch'),
  password: z.string().default('')
})
export type Database = z.infer<typeof databaseSchema>

/** Secrets of the fleet. Object kind `fleet-secret`, name `session`. */
export const fleetSecretSchema = z.strictObject({
  /** HMAC-SHA256 keys for session tokens, in hexadecimal. The first one signs; any of them verifies. */
  sessionKeys: z.array(z.string().regex(/^[0-9a-f]{64}$/)).min(1)
})
export type FleetSecret = z.infer<typeof fleetSecretSchema>

/** The VM that owns each share of the fleet's limits, and counts its use. Object kind `limit-owners`, name `owners`. */
export const limitOwnersSchema = z.strictObject({
  /** Owner of each share, by share name; `epoch` is the number of times that the owner has changed. */
  shares: z.record(z.string(), z.strictObject({
    vm: nameSchema,
    incarnation: z.number().int(),
    epoch: z.number().int(),
    /** Whether the previous owner, if any, had permanently stopped counting the share before this entry was written. */
    released: z.boolean().default(false)
  })),
  /** VMs, of which a majority must confirm an owner's lease. */
  witnesses: z.array(nameSchema).default([]),
  /** `witnesses` of the previous version; a majority of them must know this version before it is used or replaced. */
  previousWitnesses: z.array(nameSchema).default([])
})
export type LimitOwners = z.infer<typeof limitOwnersSchema>

/** Schemas of all object kinds that the system stores in the platform's object service. */
export const objectSchemas = {
  contract: contractSchema,
  'key-ring': keyRingSchema,
  database: databaseSchema,
  'fleet-secret': fleetSecretSchema,
  'limit-owners': limitOwnersSchema
} as const
export type ObjectKind = keyof typeof objectSchemas
export const objectKinds = Object.keys(objectSchemas) as ObjectKind[]
