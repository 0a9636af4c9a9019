import { z } from 'zod'

export const consistencyLevels = ['primary', 'boundedStaleness', 'readYourWrites'] as const

export const routeSchema = z.object({
  name: z.string(),
  database: z.string(),
  service: z.string(),
  consistency: z.enum(consistencyLevels),
  /** Longest time that one statement may take, in milliseconds. */
  statementTimeoutMs: z.number().positive(),
  /** Response time that operations should stay within, in milliseconds. */
  objectiveMs: z.number().positive(),
  /** 0 is the highest priority. */
  priority: z.number().int(),
  /** How stale the data of a read may be, in milliseconds; with 0 a read shows every acknowledged write. */
  maxStalenessMs: z.number().nonnegative(),
  isPublic: z.boolean(),
  /** Regions whose endpoints may run the route's operations; all if empty or absent. */
  allowedRegions: z.array(z.string()).optional()
})
export type Route = z.infer<typeof routeSchema>

export const serviceSchema = z.object({
  name: z.string(),
  /** Number of connections that one endpoint accepts in total, from all clients. */
  maxConnections: z.number().int().positive(),
  /** Replicas that must have received a commit before it is acknowledged. */
  syncReplicas: z.number().int().nonnegative(),
  /** Limit of the requests to an endpoint that is warming up; absent for no limit. */
  warmup: z.object({
    /** Time that an endpoint takes to warm up, in seconds. */
    durationS: z.number().nonnegative(),
    /** Requests per second from all VMs together. */
    requestsPerSecond: z.number().positive()
  }).optional()
})
export type Service = z.infer<typeof serviceSchema>

export const workspaceSchema = z.object({
  name: z.string(),
  keys: z.array(z.string()),
  /** Limit of operations per second over all VMs; absent for no limit. */
  ratePerSecond: z.number().nonnegative().optional(),
  /** Number of operations by which a window may exceed the rate; 0 if absent. */
  burst: z.number().nonnegative().optional(),
  /** Regions whose endpoints may run the workspace's operations; all if empty or absent. */
  allowedRegions: z.array(z.string()).optional()
})
export type Workspace = z.infer<typeof workspaceSchema>

export const configurationSchema = z.object({
  version: z.number().int(),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  workspaces: z.array(workspaceSchema),
  /** Idle time after which a transaction may be ended, in milliseconds. */
  transactionIdleMs: z.number().positive()
})
export type Configuration = z.infer<typeof configurationSchema>
