import { logPositionSchema } from '@camphorpitch/wire'
import { z } from 'zod'
import { configurationSchema } from '../configuration/configuration.ts'
import { endpointEntrySchema } from '../directory/endpoint-entry.ts'

/** What a VM registers of itself in the store. */
export const vmEntrySchema = z.object({
  vm: z.string(),
  host: z.string(),
  port: z.number().int(),
  failureDomain: z.string(),
  region: z.string(),
  incarnation: z.number()
})
export type VmEntry = z.infer<typeof vmEntrySchema>

/** What a VM knows of a service's group. Ages are in milliseconds when the report is sent. */
export const groupReportSchema = z.object({
  service: z.string(),
  primary: z.string(),
  term: z.number().int(),
  /** Age of the last proof that the primary leads; absent without one. */
  leadershipAgeMs: z.number().optional(),
  sample: z.object({ ageMs: z.number(), position: logPositionSchema }).optional(),
  acknowledged: logPositionSchema.optional(),
  acknowledgedAgeMs: z.number().optional(),
  /** Age of the primary's last answer to the VM. */
  heardAgeMs: z.number().optional(),
  /** For how long the VM's oldest write at the primary has gone without an answer; 0 for none. */
  pendingWriteMs: z.number()
})
export type GroupReport = z.infer<typeof groupReportSchema>

/** Asks a VM for its report. */
export const pollSchema = z.object({
  type: z.literal('poll'),
  sequence: z.number().int(),
  /** The sender, for a VM that does not know it yet. */
  vm: vmEntrySchema,
  configurationVersion: z.number().int(),
  /** Revision up to which the sender knows the endpoints. */
  endpointsAsOf: z.number()
})

export const reportSchema = z.object({
  type: z.literal('report'),
  sequence: z.number().int(),
  groups: z.array(groupReportSchema),
  /** Operations asked for in the last window, by workspace. */
  demand: z.array(z.tuple([z.string(), z.number()])),
  /** The configuration, where it is newer than the asker's. */
  configuration: configurationSchema.optional(),
  endpointsAsOf: z.number(),
  /** The endpoints, where the asker knows an older state. */
  endpoints: z.array(endpointEntrySchema).optional()
})
export type Report = z.infer<typeof reportSchema>

/** A promoter asks that a primary no longer be trusted, and that no writes be sent to it. */
export const revokeSchema = z.object({
  type: z.literal('revoke'),
  service: z.string(),
  endpoint: z.string(),
  term: z.number().int(),
  attempt: z.string(),
  /** Whether statements that are running are waited for, as the primary still works. */
  isPlanned: z.boolean()
})
export const revokedSchema = z.object({
  type: z.literal('revoked'),
  service: z.string(),
  attempt: z.string(),
  /** Latest position that the VM knows to be acknowledged. */
  acknowledged: logPositionSchema.optional()
})
/** A promoter tells how its attempt ended. */
export const promotedSchema = z.object({
  type: z.literal('promoted'),
  service: z.string(),
  /** The new primary; absent when there is none. */
  endpoint: z.string().optional(),
  term: z.number().int()
})

export const fleetMessageSchema = z.discriminatedUnion('type', [pollSchema, reportSchema, revokeSchema, revokedSchema, promotedSchema])
export type FleetMessage = z.infer<typeof fleetMessageSchema>
