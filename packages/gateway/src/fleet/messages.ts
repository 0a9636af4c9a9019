import { logPositionSchema, type LogPosition } from '@camphorpitch/wire'
import { z } from 'zod'
import { configurationSchema } from '../configuration/configuration.ts'

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
export interface GroupReport {
  service: string
  primary: string
  term: number
  /** Age of the last proof that the primary leads; `null` without one. */
  leadershipAgeMs: number | null
  sample: { ageMs: number, position: LogPosition } | null
  acknowledged: LogPosition | null
  acknowledgedAgeMs: number | null
  /** Age of the primary's last answer to the VM. */
  primaryResponseAgeMs: number | null
  /** For how long the VM's oldest write at the primary has gone without an answer; 0 for none. */
  pendingWriteAgeMs: number
}

const ageMsSchema = z.number().nullable()
const positionSchema = z.tuple([z.number().int(), z.number().int()]).nullable()

/** A group's report on the wire: fields without names, as reports make up most of the traffic between VMs. */
export const groupReportSchema = z.tuple([z.string(), z.string(), z.number().int(), ageMsSchema, ageMsSchema, positionSchema, positionSchema, ageMsSchema, ageMsSchema, z.number()])
export type EncodedGroupReport = z.infer<typeof groupReportSchema>

function encodePosition (position: LogPosition | null | undefined): [number, number] | null {
  return position === null || position === undefined ? null : [position.term, position.index]
}

function decodePosition (encoded: [number, number] | null): LogPosition | null {
  return encoded === null ? null : { term: encoded[0], index: encoded[1] }
}

export function encodeGroupReport (report: GroupReport): EncodedGroupReport {
  return [report.service, report.primary, report.term, report.leadershipAgeMs, report.sample?.ageMs ?? null, encodePosition(report.sample?.position), encodePosition(report.acknowledged), report.acknowledgedAgeMs, report.primaryResponseAgeMs, report.pendingWriteAgeMs]
}

export function decodeGroupReport (encoded: EncodedGroupReport): GroupReport {
  const [service, primary, term, leadershipAgeMs, sampleAgeMs, samplePosition, acknowledged, acknowledgedAgeMs, primaryResponseAgeMs, pendingWriteAgeMs] = encoded
  const decodedSamplePosition = decodePosition(samplePosition)
  const sample = sampleAgeMs === null || decodedSamplePosition === null ? null : { ageMs: sampleAgeMs, position: decodedSamplePosition }
  return { service, primary, term, leadershipAgeMs, sample, acknowledged: decodePosition(acknowledged), acknowledgedAgeMs, primaryResponseAgeMs, pendingWriteAgeMs }
}

/** Asks a VM for its report. */
export const pollSchema = z.object({
  type: z.literal('poll'),
  sequence: z.number().int(),
  /** The sender, for a VM that may not know it yet. */
  vm: vmEntrySchema.optional(),
  /** VMs that the sender knows, itself included. */
  vmsKnown: z.number().int(),
})

export const reportSchema = z.object({
  type: z.literal('report'),
  sequence: z.number().int(),
  groups: z.array(groupReportSchema),
  /** Operations asked for in the last window, by workspace. */
  demand: z.array(z.tuple([z.string(), z.number()])),
  configurationVersion: z.number().int(),
  /** All VMs, where the asker knows fewer. */
  vms: z.array(vmEntrySchema).optional()
})
export type Report = z.infer<typeof reportSchema>

/** Asks a VM for its configuration. */
export const configurationWantedSchema = z.object({ type: z.literal('configurationWanted') })
export const configurationOfferedSchema = z.object({ type: z.literal('configurationOffered'), configuration: configurationSchema })

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

/** Asks a VM that counts a workspace's limit to admit one operation. */
export const permitSchema = z.object({
  type: z.literal('permit'),
  request: z.number().int(),
  workspace: z.string(),
  /** Whether another VM has refused the operation before. */
  isRepeated: z.boolean(),
  /** Whether it has been admitted already, and is only to be counted. */
  isAdmitted: z.boolean()
})
export type Permit = z.infer<typeof permitSchema>
export const permittedSchema = z.object({
  type: z.literal('permitted'),
  request: z.number().int(),
  result: z.enum(['admitted', 'refused', 'notCounted']),
  /** When one is likely to be admitted, in milliseconds. */
  retryAfterMs: z.number().optional(),
  /** Whether the workspace asks for well below its limit. */
  isCalm: z.boolean()
})
export type Permitted = z.infer<typeof permittedSchema>

/** A VM ends after it has served its last client. */
export const leftSchema = z.object({ type: z.literal('left'), incarnation: z.number() })

export const fleetMessageSchema = z.discriminatedUnion('type', [leftSchema, pollSchema, reportSchema, revokeSchema, revokedSchema, promotedSchema, permitSchema, permittedSchema, configurationWantedSchema, configurationOfferedSchema])
export type FleetMessage = z.infer<typeof fleetMessageSchema>
