import { logPositionSchema, type LogPosition } from '@camphorpitch/wire'
import { z } from 'zod'
import { configurationSchema } from '../configuration/configuration.ts'
import { endpointListingSchema, MAX_PORT } from '../directory/endpoint-entry.ts'

/** The entry that a VM registers for itself in the store. */
export const vmEntrySchema = z.object({
  vm: z.string(),
  host: z.string(),
  port: z.number().int().min(1).max(MAX_PORT),
  failureDomain: z.string(),
  region: z.string(),
  incarnation: z.number(),
  /** Capacity for serving other VMs' statements, in cores; absent if the VM does not serve any. */
  capacity: z.number().positive().optional()
})
export type VmEntry = z.infer<typeof vmEntrySchema>

/** What a VM knows about a service's group. Ages are in milliseconds at the time when the report is created. */
export interface GroupReport {
  service: string
  primary: string
  term: number
  /** Age of the latest proof that the primary leads; `null` without one. */
  leadershipAgeMs: number | null
  sample: { ageMs: number, position: LogPosition } | null
  acknowledged: LogPosition | null
  acknowledgedAgeMs: number | null
  /** Age of the primary's last response to the VM; `null` without one. */
  primaryResponseAgeMs: number | null
  /** Age of the VM's oldest write to the primary that is still without a response; 0 when there is none. */
  pendingWriteAgeMs: number
}

const ageMsSchema = z.number().nullable()
const positionSchema = z.tuple([z.number().int(), z.number().int()]).nullable()

/** A group report on the wire, without field names: reports make up most of the traffic between VMs. */
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

/** Requests a VM's report. */
export const pollSchema = z.object({
  type: z.literal('poll'),
  sequence: z.number().int(),
  /** The sender's entry, for a receiver that may not know the sender yet. */
  vm: vmEntrySchema.optional(),
  /** Number of VMs that the sender knows, itself included; 0 if neither the store nor another VM has listed them. */
  vmsKnown: z.number().int(),
  /** Whether neither the store nor another VM has listed the endpoints to the sender; absent if it knows them. */
  lacksEndpoints: z.boolean().optional()
})

/** Evacuated failure domains as of a revision of the store. */
export const evacuationReportSchema = z.object({
  epoch: z.number().int().nonnegative(),
  number: z.number().int().nonnegative(),
  /**
   * Name, epoch and number of the object's revision, age in milliseconds (`null` if it is not known), and for how long the sender keeps it
   * although the store's copy lacks it (`null` if the store has it).
   */
  domains: z.array(z.tuple([z.string(), z.number().int().nonnegative(), z.number().int().nonnegative(), ageMsSchema, ageMsSchema]))
})
export type EvacuationReport = z.infer<typeof evacuationReportSchema>

/** An endpoint that has left its group, as VMs tell each other. */
const departureSchema = z.object({
  endpoint: z.string(),
  startedAtMs: z.number(),
  address: z.string().optional(),
  isDraining: z.boolean().optional(),
  isGone: z.boolean().optional(),
  isPresumed: z.boolean().optional()
})

/** Has an end count as presumed unless the sender says that it is proven: earlier builds don't distinguish the two. */
function decodeDeparture<T extends { isGone?: boolean, isPresumed?: boolean }> (departure: T): T {
  return departure.isGone === true ? { ...departure, isPresumed: departure.isPresumed !== false } : departure
}

/** Response to a poll. */
export const reportSchema = z.object({
  type: z.literal('report'),
  sequence: z.number().int(),
  groups: z.array(groupReportSchema),
  /** Number of operations requested in the last window, by workspace. */
  demand: z.array(z.tuple([z.string(), z.number()])),
  configurationVersion: z.number().int(),
  /** Endpoints that have left their groups, and whose commits the remaining ones may not hold yet; absent if there are none. */
  departures: z.array(departureSchema.extend({ service: z.string() }).transform(decodeDeparture)).optional(),
  /** Reads per second that the sender's clients request, by service; absent without the setting `leaving`. */
  reads: z.array(z.tuple([z.string(), z.number().nonnegative()])).optional(),
  /** Absent while the sender has known of no evacuation. */
  evacuations: evacuationReportSchema.optional(),
  /** VMs of a small fleet whose polls no longer reach the sender; absent if there are none. */
  silent: z.array(z.string()).optional(),
  /** Whether the sender knows the endpoints; only if the poll's sender lacks them. */
  hasEndpoints: z.boolean().optional(),
  /** All VMs that the sender knows to be running; only if the poll's sender knows fewer. All members of the fleet if it knows none. */
  vms: z.array(vmEntrySchema).optional()
})
export type Report = z.infer<typeof reportSchema>

/** Requests a VM's configuration. */
export const configurationWantedSchema = z.object({ type: z.literal('configurationWanted') })
/** Response to `configurationWanted`. */
export const configurationOfferedSchema = z.object({ type: z.literal('configurationOffered'), configuration: configurationSchema })

/** Requests the endpoints that a VM knows. */
export const endpointsWantedSchema = z.object({ type: z.literal('endpointsWanted') })
/** Response to `endpointsWanted`. */
export const endpointsOfferedSchema = z.object({ type: z.literal('endpointsOffered'), listing: endpointListingSchema })

/** A promoting VM requests that the receiver revoke a primary's verified leadership, and send it no further writes. */
export const revokeSchema = z.object({
  type: z.literal('revoke'),
  service: z.string(),
  endpoint: z.string(),
  term: z.number().int(),
  attempt: z.string(),
  /** Whether the primary still works, so that the receiver waits for its writes in flight before it confirms. */
  isPlanned: z.boolean()
})
const knownOrderSchema = z.object({
  endpoint: z.string(),
  startedAtMs: z.number(),
  replacedTerm: z.number().int(),
  received: logPositionSchema,
  epoch: z.number().int()
})

/** Confirms a revocation. */
export const revokedSchema = z.object({
  type: z.literal('revoked'),
  service: z.string(),
  attempt: z.string(),
  /** Latest position that the sender knows to be acknowledged. */
  acknowledged: logPositionSchema.optional(),
  /** The primary that the sender knows, and its term. */
  primary: z.object({ endpoint: z.string(), term: z.number().int() }).optional(),
  /** The latest primary that the sender has seen to be a replica since. */
  formerPrimary: z.object({ endpoint: z.string(), term: z.number().int() }).optional(),
  /** An order that the sender knows and that may still take effect. */
  openOrder: knownOrderSchema.optional(),
  /** The group's endpoints that the sender knows. */
  endpoints: z.array(z.object({ endpoint: z.string(), startedAtMs: z.number() })).default([]),
  /** Endpoints that the sender has seen leave the group or restart without their logs. */
  departures: z.array(departureSchema.extend({ logEnd: logPositionSchema.nullable() }).transform(decodeDeparture)).default([]),
  /** Age of the sender's latest acknowledged commit; absent without one. */
  lastCommitAgeMs: z.number().optional(),
  /** Time since the sender's start. */
  uptimeMs: z.number().default(0),
  /** Whether the sender knows VMs that were removed from the fleet and may still run. */
  hasMissingVms: z.boolean().default(false)
})
/** A promoting VM announces an order that it is about to send. */
export const orderedSchema = z.object({
  type: z.literal('ordered'),
  service: z.string(),
  order: knownOrderSchema
})
/** A promoting VM announces the outcome of its attempt. */
export const promotedSchema = z.object({
  type: z.literal('promoted'),
  service: z.string(),
  /** The new primary; absent if the attempt failed. */
  endpoint: z.string().optional(),
  term: z.number().int()
})

/** Requests that a VM which counts a workspace's limit admit one operation. */
export const permitSchema = z.object({
  type: z.literal('permit'),
  request: z.number().int(),
  workspace: z.string(),
  /** Whether the operation was sent to another VM before, which refused it. */
  isRepeated: z.boolean(),
  /** Whether the operation has already been admitted, so that the receiver only counts it. */
  isAdmitted: z.boolean(),
  /** How long the operation may wait for a token, in milliseconds; 0 if absent. */
  maxDelayMs: z.number().nonnegative().optional(),
  /** Whether the receiver, if it refuses, plans when the client should return, as no other VM will be asked. */
  plansReturn: z.boolean().optional()
})
export type Permit = z.infer<typeof permitSchema>
/** Response to a `permit` request. */
export const permittedSchema = z.object({
  type: z.literal('permitted'),
  request: z.number().int(),
  result: z.enum(['admitted', 'refused', 'notCounted']),
  /** After how many milliseconds an operation is likely to be admitted. */
  retryAfterMs: z.number().optional(),
  /** How long an admitted operation must wait before it runs, in milliseconds; 0 if absent. */
  delayMs: z.number().nonnegative().optional(),
  /** When the operation was counted, on the sender's clock; absent from earlier builds. */
  countedAtMs: z.number().optional(),
  /** Tokens that the sender has left of its share; negative while operations wait for theirs. */
  tokensLeft: z.number().optional(),
  /** Whether the workspace's demand is well below its limit; `false` from earlier builds, which do not tell. */
  isBelowLimit: z.boolean().default(false),
  /** Whether enough of the sender's share is left that operations may run before they are counted; `false` from earlier builds. */
  hasReserve: z.boolean().default(false)
})
export type Permitted = z.infer<typeof permittedSchema>
/** Gives back the token of an operation that was counted and has not run, as the response came too late for its client. */
export const permitReleasedSchema = z.object({ type: z.literal('permitReleased'), workspace: z.string(), countedAtMs: z.number() })
export type PermitReleased = z.infer<typeof permitReleasedSchema>

/** Asks whether the receiver may be acting on a claim of the failover duty, after the store has returned from an older copy. */
export const claimsWantedSchema = z.object({
  type: z.literal('claimsWanted'),
  inquiry: z.number().int(),
  service: z.string(),
  /** The store's epoch that the sender knows. */
  epoch: z.number().int().nonnegative()
})
export type ClaimsWanted = z.infer<typeof claimsWantedSchema>
/** Response to `claimsWanted`. */
export const claimsReportedSchema = z.object({
  type: z.literal('claimsReported'),
  inquiry: z.number().int(),
  /** Whether the sender may be acting on a claim, or knows another epoch than it was asked about. */
  isHeld: z.boolean()
})
export type ClaimsReported = z.infer<typeof claimsReportedSchema>

/** A VM announces that it leaves the fleet, after it has served its last client. */
export const leftSchema = z.object({ type: z.literal('left'), incarnation: z.number() })

export const fleetMessageSchema = z.discriminatedUnion('type', [
  leftSchema,
  pollSchema,
  reportSchema,
  revokeSchema,
  revokedSchema,
  orderedSchema,
  promotedSchema,
  permitSchema,
  permittedSchema,
  permitReleasedSchema,
  configurationWantedSchema,
  configurationOfferedSchema,
  endpointsWantedSchema,
  endpointsOfferedSchema,
  claimsWantedSchema,
  claimsReportedSchema
])
export type FleetMessage = z.infer<typeof fleetMessageSchema>
