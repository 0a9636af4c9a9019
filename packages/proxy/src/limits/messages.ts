import { limitOwnersSchema } from '@camphorpitch/wire'
import { z } from 'zod'

/** Use of a grant so far. Counts are cumulative, so that repeated and lost reports do no harm. */
export const grantReportSchema = z.object({
  id: z.number().int(),
  spent: z.number().int().nonnegative(),
  /** False once the entry VM can spend no more tokens of the grant. */
  open: z.boolean(),
  /** Time between the last use of the grant and the sending of this report. */
  ageMs: z.number().nonnegative()
})
export type GrantReport = z.infer<typeof grantReportSchema>

/** Tokens that an entry VM requests from one share of a workspace. */
export const demandItemSchema = z.object({
  workspace: z.string(),
  share: z.number().int().nonnegative(),
  /** Tokens for requests that are waiting for admission. */
  need: z.number().int().nonnegative(),
  /** Further tokens for requests that are expected soon. */
  extra: z.number().int().nonnegative()
})
export type DemandItem = z.infer<typeof demandItemSchema>

/** Sent by an entry VM to the owner of shares: requests tokens and reports the use of earlier grants. */
export const demandSchema = z.object({
  type: z.literal('demand'),
  /** Increases with each demand that this incarnation sends. */
  seq: z.number().int(),
  items: z.array(demandItemSchema),
  /** Incarnation of the owner that issued the reported grants. */
  reportsFor: z.number().int(),
  reports: z.array(grantReportSchema)
})
export type Demand = z.infer<typeof demandSchema>

/** The owner's response to one demand item; `tokens` is 0 when it grants nothing. */
export const grantSchema = z.object({
  workspace: z.string(),
  share: z.number().int(),
  id: z.number().int(),
  tokens: z.number().int().nonnegative(),
  /** Tokens that the owner has left after this grant. */
  available: z.number(),
  /** Time until the owner expects to have a token; 0 when it has one now. */
  retryAfterMs: z.number().nonnegative(),
  /** False when the responding VM does not own the share, may not count it at present, or knows no limit for it. */
  counting: z.boolean()
})
export type Grant = z.infer<typeof grantSchema>

/** Sent by an owner to an entry VM in response to a demand. */
export const grantsSchema = z.object({
  type: z.literal('grants'),
  /** `seq` of the demand. */
  seq: z.number().int(),
  /** Incarnation of the entry VM that sent the demand. */
  incarnation: z.number().int(),
  items: z.array(grantSchema)
})
export type Grants = z.infer<typeof grantsSchema>

export const versionedOwnersSchema = z.object({ version: z.number().int(), value: limitOwnersSchema })
export type VersionedOwners = z.infer<typeof versionedOwnersSchema>

/** Sent to a witness, by an owner or by a VM that is to become one, to learn which version of the owners object the witness knows. */
export const proofRequestSchema = z.object({
  type: z.literal('proof-request'),
  nonce: z.number().int(),
  /** Version that the requesting process knows. */
  version: z.number().int()
})

/** A witness's response to a proof request. */
export const proofReplySchema = z.object({
  type: z.literal('proof-reply'),
  nonce: z.number().int(),
  /** Incarnation of the requesting process, so that a later process of that VM does not take the reply as its own. */
  incarnation: z.number().int(),
  /** Version that the witness knows. */
  version: z.number().int(),
  /** Set when the requesting process knows an older version than the witness. */
  newer: versionedOwnersSchema.optional()
})

/** Sends the owners object to a VM that may know only an older version. */
export const ownersUpdateSchema = z.object({ type: z.literal('owners-update'), owners: versionedOwnersSchema })

/** All messages that VMs exchange in the `limits` slice. */
export const limitMessageSchema = z.discriminatedUnion('type', [
  demandSchema, grantsSchema, proofRequestSchema, proofReplySchema, ownersUpdateSchema
])
export type LimitMessage = z.infer<typeof limitMessageSchema>
