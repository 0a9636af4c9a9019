import { z } from 'zod'
import { logPositionSchema } from '../database/position.ts'

/** Kinds of statements that a gateway explains. */
export const explainedKinds = ['read', 'write', 'transaction'] as const
export type ExplainedKind = typeof explainedKinds[number]

/** An endpoint as the decision about a statement sees it. Ages are in milliseconds. */
const explainedCandidateSchema = z.object({
  endpoint: z.string(),
  failureDomain: z.string(),
  isPrimary: z.boolean(),
  /** 0 in the VM's failure domain, 1 in its region, 2 elsewhere. */
  distance: z.number().int(),
  /** Estimated response time of a read, with penalties. */
  estimatedMs: z.number(),
  averageResponseMs: z.number().nullable(),
  /** Age of the endpoint's last response to this VM, from which the average is; `null` before the first. */
  responseAgeMs: z.number().nullable(),
  /** The queue that the statement would join: this VM's statements that run there and that wait for a connection. */
  running: z.number().int(),
  waiting: z.number().int(),
  slots: z.number().int(),
  hasIdleConnection: z.boolean(),
  isDraining: z.boolean(),
  isAvoided: z.boolean(),
  isWarmingUp: z.boolean(),
  isLagging: z.boolean(),
  /** Return time that the client would be told if it were refused while it waits for a connection there. */
  returnMs: z.number()
})

/** Where a statement would go now, and why, as `/explain` on a gateway's metrics address returns it. */
export const statementExplanationSchema = z.object({
  vm: z.string(),
  workspace: z.string(),
  database: z.string(),
  kind: z.enum(explainedKinds),
  service: z.string(),
  configurationVersion: z.number().int(),
  /** Absent for all regions. */
  allowedRegions: z.array(z.string()).optional(),
  /** Endpoints to which it would go, with the fraction of such statements; empty if it would be refused. */
  destinations: z.array(z.object({ endpoint: z.string(), share: z.number() })),
  /** Position that the endpoint's log must hold. */
  requiredPosition: logPositionSchema.nullable(),
  /** Why it would be refused now, with the return time; `null` if it would not. */
  refusal: z.string().nullable(),
  candidates: z.array(explainedCandidateSchema),
  ruledOut: z.array(z.object({ endpoint: z.string(), failureDomain: z.string(), reason: z.string() })),
  evacuations: z.array(z.object({ domain: z.string(), phase: z.string(), learnedAgeMs: z.number(), source: z.string() })),
  primary: z.object({ endpoint: z.string(), term: z.number().int(), /** Age of the primary's last response; `null` before the first. */ responseAgeMs: z.number().nullable(), /** Time left of the leadership lease; 0 without one. */ leaseLeftMs: z.number(), isWritable: z.boolean() }).nullable(),
  /** The decision about leaving the failure domain; absent without the setting `leaving`. */
  leaving: z.object({ home: z.array(z.string()), share: z.number(), excessMs: z.number().nullable(), /** Age of the oldest report of another VM that it used; `null` if none was. */ reportAgeMs: z.number().nullable() }).optional()
})
export type StatementExplanation = z.infer<typeof statementExplanationSchema>
