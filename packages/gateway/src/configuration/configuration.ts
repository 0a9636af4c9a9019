import { z } from 'zod'

export const consistencyLevels = ['primary', 'boundedStaleness', 'readYourWrites'] as const

export const routeSchema = z.object({
  name: z.string(),
  database: z.string(),
  service: z.string(),
  consistency: z.enum(consistencyLevels),
  /** Longest time for one statement, in milliseconds. */
  statementTimeoutMs: z.number().positive(),
  /** Time within which an operation should be answered, in milliseconds. */
  objectiveMs: z.number().positive(),
  /** 0 goes first. */
  priority: z.number().int(),
  /** Age that a read may show, in milliseconds; 0 shows every acknowledged write. */
  maxStalenessMs: z.number().nonnegative(),
  isPublic: z.boolean()
})
export type Route = z.infer<typeof routeSchema>

export const serviceSchema = z.object({
  name: z.string(),
  /** Connections that one endpoint accepts from all callers together. */
  maxConnections: z.number().int().positive(),
  /** Replicas that must have received a commit before it is acknowledged. */
  syncReplicas: z.number().int().nonnegative()
})
export type Service = z.infer<typeof serviceSchema>

export const workspaceSchema = z.object({
  name: z.string(),
  keys: z.array(z.string()),
  /** Operations a second over all VMs; absent for no limit. */
  ratePerSecond: z.number().nonnegative().optional(),
  burst: z.number().nonnegative().optional()
})
export type Workspace = z.infer<typeof workspaceSchema>

export const configurationSchema = z.object({
  version: z.number().int(),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  workspaces: z.array(workspaceSchema),
  /** A transaction idle for this long may be ended, in milliseconds. */
  transactionIdleMs: z.number().positive()
})
export type Configuration = z.infer<typeof configurationSchema>
